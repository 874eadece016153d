//! Edge cases of the watch on discovery: lists in unusual formats, and watches that never complete an event or never
//! answer.

use crate::fixture::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

/// The head of a response without a Content-Length.
const HEAD: &str = "HTTP/1.1 200 OK\r\n\r\n";

/// Starts a discovery service that handles the n-th watch request with the n-th script, and further requests with the
/// last script. The receiver gets the time of each watch request.
fn start_scripted_discovery(
    scripts: Vec<fn(&mut TcpStream, &str)>,
    list: String,
) -> (SocketAddr, Receiver<Instant>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    let (addr, (request, requests)) =
        (listener.local_addr().expect("the listener has no address"), channel());
    thread::spawn(move || {
        let script_per_request = (0..).map(|index: usize| scripts[index.min(scripts.len() - 1)]);
        for (mut stream, script) in listener.incoming().flatten().zip(script_per_request) {
            let (request, list) = (request.clone(), list.clone());
            thread::spawn(move || {
                if stream.read(&mut [0; 1024]).is_ok_and(|read| read > 0) {
                    let _ = request.send(Instant::now());
                    script(&mut stream, &list);
                }
            });
        }
    });
    (addr, requests)
}

/// Starts an instance that learns its endpoints only from a discovery service with `scripts`. The list is complete, and
/// is spread over several lines if `indented`.
fn start_router(
    scripts: Vec<fn(&mut TcpStream, &str)>,
    indented: bool,
) -> (RouterProcess, Receiver<Instant>) {
    let ((primary, arrivals), (replica, _)) = (StubEndpoint::start(true), StubEndpoint::start(false));
    let hosts = [list_entry(&primary, "p", "SERVING"), list_entry(&replica, "r", "SERVING")].join(",");
    let list = format!(r#"{{"seq":4,"whole":true,"hosts":[{hosts}]}}"#);
    let list = if indented { list.replace(',', ",\n\n  ").replace('{', "{\n\t") } else { list };
    let (discovery, requests) = start_scripted_discovery(scripts, list);
    let config = format!(r#"{{"seed":"8c1f30d27a5be964","settings":{SETTINGS}}}"#);
    let listen = free_address();
    let child = spawn_router(&config, listen, discovery);
    let (watch_lines, next_marker) = (channel().0, Default::default());
    (RouterProcess { child, listen, watch_lines, primary, replica, arrivals, next_marker }, requests)
}

/// Sends the whole list and keeps the watch open.
fn send_list_and_keep_open(stream: &mut TcpStream, list: &str) {
    let _ = stream.write_all(format!("{HEAD}{list}").as_bytes());
    thread::sleep(WAIT_TIMEOUT);
}

/// Sends the whole list, without a Content-Length or a line end, and closes the watch.
fn send_list_and_close(stream: &mut TcpStream, list: &str) {
    let _ = stream.write_all(format!("{HEAD}{list}").as_bytes());
}

/// Sends the list without its last byte and closes the watch.
fn send_truncated_list_and_close(stream: &mut TcpStream, list: &str) {
    let _ = stream.write_all(format!("{HEAD}{}", &list[..list.len() - 1]).as_bytes());
}

/// Sends the response head, the first 20 bytes of the list and then spaces, one byte every 50 ms. The event never ends.
fn send_endless_event(stream: &mut TcpStream, list: &str) {
    let mut bytes = list.bytes().take(20).chain(std::iter::repeat(b' '));
    let _ = stream.write_all(HEAD.as_bytes());
    while stream.write_all(&[bytes.next().unwrap_or_default()]).is_ok() {
        thread::sleep(Duration::from_millis(50));
    }
}

/// Sends nothing and keeps the watch open.
fn never_answer(_: &mut TcpStream, _: &str) {
    thread::sleep(WAIT_TIMEOUT);
}

/// Waits until the instance serves a write. Panics after `within`.
fn wait_until_served(router: &RouterProcess, within: Duration) {
    let (mut client, until) = (Client::connect(router.listen), Instant::now() + within);
    while client.request("order", "good", 1000) != default_value() {
        assert!(Instant::now() < until, "the instance did not accept the list");
        thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_list_over_several_lines_with_empty_lines_is_accepted() {
    let (router, _requests) = start_router(vec![send_list_and_keep_open], true);
    wait_until_served(&router, Duration::from_secs(2));
}

#[test]
fn a_list_without_length_or_line_end_is_accepted_only_if_complete() {
    let scripts = vec![send_truncated_list_and_close, send_list_and_close, never_answer];
    let (router, requests) = start_router(scripts, false);
    (0..3).for_each(|_| _ = requests.recv_timeout(WAIT_TIMEOUT).expect("the watch was not requested again"));
    wait_until_served(&router, Duration::from_secs(2));
}

#[test]
fn a_watch_without_a_complete_event_or_an_answer_is_reopened() {
    let (router, requests) =
        start_router(vec![send_endless_event, never_answer, send_list_and_keep_open], false);
    let request = || requests.recv_timeout(WAIT_TIMEOUT).expect("the watch was not requested again");
    let (first, second, third) = (request(), request(), request());
    // An instance must learn of a change within six seconds. Both delays together must stay below that.
    assert!(
        second - first < Duration::from_millis(3_500),
        "the watch with an incomplete event was reopened too late: {:?}",
        second - first
    );
    assert!(
        third - second < Duration::from_millis(1_500),
        "the watch without an answer was reopened too late: {:?}",
        third - second
    );
    wait_until_served(&router, Duration::from_secs(2));
}
