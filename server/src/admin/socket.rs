//! The admin socket: a client sends the name of a page on one line and receives the page. A separate thread serves
//! one client at a time, with a timeout and a size limit for its request, so that the admin socket does not delay
//! requests.

use crate::admin::view::{AdminView, PageError, PAGE_TIMEOUT};
use crate::log;
use crate::runtime::terms::{Term, Vocabulary};
use metrics_exporter_prometheus::PrometheusHandle;
use std::fs;
use std::io::{self, ErrorKind, Read, Write};
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};
use thiserror::Error;

/// The maximum length of the line with a page's name, in bytes.
const MAX_REQUEST_BYTES: usize = 1 << 10;
/// The maximum number of characters of an unknown page's name that the error message repeats.
const MAX_NAME_SHOWN: usize = 40;
/// The interval at which the recorder aggregates the samples of histograms. Without the aggregation, the samples
/// would accumulate in memory while the metrics page is not requested.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
/// The pause after a failed accept(2).
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The permissions of the socket: only the user under which the server runs can connect.
const SOCKET_MODE: u32 = 0o600;
/// The start of a response that is an error message instead of a page.
const ERROR_PREFIX: &str = "error: ";
const HTTP_NOT_FOUND: &str = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
/// The name of the metrics page, which is the same in earlier and standard terms. The page is also served over
/// HTTP.
const METRICS_PAGE: &str = "metrics";
/// The maximum number of descriptors in use, for the listener, the client that is being served, and the next client.
pub const DESCRIPTORS: usize = 4;

/// A page of the admin socket in earlier or standard terms.
pub struct Page {
    /// The page's two names. The one by which it is requested selects the terms in which it is rendered.
    pub name: Term,
    /// The description of the page in `query-router show --help`.
    pub description: &'static str,
    render: fn(&AdminView, Vocabulary) -> Result<String, PageError>,
}

/// All pages except `metrics`.
pub static PAGES: [Page; 4] = [
    Page {
        name: Term::new("clients", "connections"),
        description: "connections and requests by client class and address, and rejections by reason",
        render: AdminView::client_page,
    },
    Page {
        name: Term::new("limits", "resources"),
        description: "use and limit of each resource, such as descriptors and buffer memory",
        render: AdminView::limits_page,
    },
    Page {
        name: Term::new("stores", "endpoints"),
        description: "state of each endpoint: address, role, requests in flight, lag, load",
        render: AdminView::endpoint_page,
    },
    Page {
        name: Term::new("rpcs", "requests"),
        description: "open requests, oldest first",
        render: AdminView::request_page,
    },
];

/// Why the admin socket cannot be created, or a page cannot be requested.
#[derive(Debug, Error)]
pub enum AdminSocketError {
    /// The path exists and is not a socket.
    #[error("{}: the file exists and is not a socket", .0.display())]
    NotASocket(PathBuf),
    /// Another process is listening on the socket at the path.
    #[error("{}: another process is listening on this socket", .0.display())]
    InUse(PathBuf),
    /// An operation on the socket failed.
    #[error("{}: {error}", path.display())]
    Io {
        /// The path of the socket.
        path: PathBuf,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The server's error message: the server does not know the page, or cannot render the page now.
    #[error("{0}")]
    Page(String),
}

fn io_error(path: &Path) -> impl Fn(io::Error) -> AdminSocketError + '_ {
    |error| AdminSocketError::Io { path: path.to_path_buf(), error }
}

/// Creates the socket at a path and serves pages on a separate thread.
///
/// # Errors
/// The path exists and is not a socket, another process is listening there, or the operating system reports an error.
pub fn serve(path: &Path, recorder: PrometheusHandle, view: AdminView) -> Result<(), AdminSocketError> {
    remove_stale_socket(path)?;
    let listener = UnixListener::bind(path).map_err(io_error(path))?;
    let permissions = fs::Permissions::from_mode(SOCKET_MODE);
    fs::set_permissions(path, permissions).map_err(io_error(path))?;
    let upkeep = recorder.clone();
    spawn_thread("metrics-upkeep", move || run_upkeep(&upkeep)).map_err(io_error(path))?;
    spawn_thread("admin-socket", move || serve_clients(&listener, &recorder, &view)).map_err(io_error(path))
}

/// Removes the socket of a process that was killed, on which nobody is listening.
fn remove_stale_socket(path: &Path) -> Result<(), AdminSocketError> {
    match fs::symlink_metadata(path) {
        Ok(found) if !found.file_type().is_socket() => Err(AdminSocketError::NotASocket(path.to_path_buf())),
        Ok(_) if UnixStream::connect(path).is_ok() => Err(AdminSocketError::InUse(path.to_path_buf())),
        Ok(_) => fs::remove_file(path).map_err(io_error(path)),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(()),
        Err(error) => Err(io_error(path)(error)),
    }
}

fn spawn_thread(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new().name(name.into()).spawn(run).map(drop)
}

fn run_upkeep(recorder: &PrometheusHandle) {
    loop {
        thread::sleep(UPKEEP_INTERVAL);
        recorder.run_upkeep();
    }
}

fn serve_clients(listener: &UnixListener, recorder: &PrometheusHandle, view: &AdminView) {
    for stream in listener.incoming() {
        match stream {
            // Errors are ignored: a client whose connection has failed cannot receive an error message either.
            Ok(stream) => _ = serve_client(stream, recorder, view),
            Err(error) => {
                log!(WARN, reason = error; "connection to the admin socket not accepted");
                thread::sleep(ACCEPT_RETRY_DELAY);
            }
        }
    }
}

fn serve_client(mut stream: UnixStream, recorder: &PrometheusHandle, view: &AdminView) -> io::Result<()> {
    stream.set_write_timeout(Some(PAGE_TIMEOUT))?;
    let request = read_line(&mut stream)?;
    stream.write_all(response(&request, recorder, view).as_bytes())
}

fn response(request: &str, recorder: &PrometheusHandle, view: &AdminView) -> String {
    let parts: Vec<&str> = request.split_ascii_whitespace().collect();
    match parts[..] {
        [METRICS_PAGE] => view.metrics_page(recorder),
        ["GET", "/metrics", ..] => http_response(&view.metrics_page(recorder)),
        ["GET", ..] => HTTP_NOT_FOUND.into(),
        [name] => render_page(name, view),
        _ => unknown_page_error(&parts.join(" ")),
    }
}

fn http_response(body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain; version=0.0.4\r\nContent-Length: {length}\r\n\
         Connection: close\r\n\r\n{body}"
    )
}

fn render_page(name: &str, view: &AdminView) -> String {
    match find_page(name) {
        Some((page, vocabulary)) => {
            let text = (page.render)(view, vocabulary);
            text.unwrap_or_else(|error| format!("{ERROR_PREFIX}{error}\n"))
        }
        None => unknown_page_error(name),
    }
}

/// Finds a page by one of its names, and the vocabulary that this name selects.
fn find_page(name: &str) -> Option<(&'static Page, Vocabulary)> {
    let named = |vocabulary| move |page: &&Page| page.name.text(vocabulary) == name;
    let found = |vocabulary| PAGES.iter().find(named(vocabulary)).map(|page| (page, vocabulary));
    found(Vocabulary::Earlier).or_else(|| found(Vocabulary::Standard))
}

fn unknown_page_error(name: &str) -> String {
    let earlier = PAGES.iter().map(|page| page.name.earlier);
    let standard = PAGES.iter().map(|page| page.name.standard);
    let known = earlier.chain(standard).collect::<Vec<&str>>().join(", ");
    let name: String = name.chars().take(MAX_NAME_SHOWN).collect();
    format!("{ERROR_PREFIX}unknown page {name:?}; the pages are {known}, {METRICS_PAGE}\n")
}

/// Reads the line that a client sends. Without a line feed, the line ends where the client shuts down its sending
/// side.
///
/// # Errors
/// The line is not complete within [`PAGE_TIMEOUT`], is too long, or cannot be read.
fn read_line(stream: &mut UnixStream) -> io::Result<String> {
    let deadline = Instant::now() + PAGE_TIMEOUT;
    let mut bytes = Vec::new();
    while !bytes.contains(&b'\n') {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(remaining))?;
        let mut chunk = [0; 256];
        let length = stream.read(&mut chunk)?;
        if length == 0 {
            break;
        }
        bytes.extend_from_slice(&chunk[..length]);
        if bytes.len() > MAX_REQUEST_BYTES {
            return Err(ErrorKind::InvalidData.into());
        }
    }
    let end = bytes.iter().position(|byte| *byte == b'\n').unwrap_or(bytes.len());
    Ok(String::from_utf8_lossy(&bytes[..end]).trim().to_string())
}

/// Requests a page from the server that is listening on the socket at `path`.
///
/// # Errors
/// No server is listening there, it does not answer in time, or it answers with an error.
pub fn request_page(path: &Path, name: &str) -> Result<String, AdminSocketError> {
    let mut stream = UnixStream::connect(path).map_err(io_error(path))?;
    // The server serves a page in three steps, each with this timeout.
    stream.set_read_timeout(Some(PAGE_TIMEOUT * 3)).map_err(io_error(path))?;
    stream.write_all(format!("{name}\n").as_bytes()).map_err(io_error(path))?;
    let mut text = String::new();
    stream.read_to_string(&mut text).map_err(io_error(path))?;
    match text.strip_prefix(ERROR_PREFIX) {
        Some(reason) => Err(AdminSocketError::Page(reason.trim_end().to_string())),
        None => Ok(text),
    }
}
