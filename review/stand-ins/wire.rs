//! Messages of PostgreSQL's protocol, version 3, as the stand-ins read and write them.

use std::io::{Read, Write};
use std::net::TcpStream;

/// A message with its tag.
pub struct Message {
    pub tag: u8,
    pub body: Vec<u8>,
}

/// Reads one tagged message; `None` if the connection ends or nothing arrives within its read timeout.
pub fn read_message(stream: &mut TcpStream) -> Option<Message> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).ok()?;
    let length = u32::from_be_bytes(head[1..].try_into().ok()?) as usize;
    let mut body = vec![0; length.checked_sub(4)?];
    stream.read_exact(&mut body).ok()?;
    Some(Message { tag: head[0], body })
}

/// Reads a startup message without its length; `None` if the connection ends.
pub fn read_startup(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut body = vec![0; (u32::from_be_bytes(length) as usize).checked_sub(4)?];
    stream.read_exact(&mut body).ok()?;
    Some(body)
}

pub fn append_message(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
}

pub fn append_ready(out: &mut Vec<u8>) {
    append_message(out, b'Z', b"I");
}

/// RowDescription, DataRow and CommandComplete for one row of one binary column.
pub fn append_value(out: &mut Vec<u8>, value: &[u8]) {
    let mut description = vec![0, 1];
    description.extend(b"content\0");
    description.extend([0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 255, 255, 255, 255, 255, 255, 0, 1]);
    append_message(out, b'T', &description);
    let mut row = vec![0, 1];
    row.extend((value.len() as u32).to_be_bytes());
    row.extend(value);
    append_message(out, b'D', &row);
    append_message(out, b'C', b"SELECT 1\0");
}

pub fn append_error(out: &mut Vec<u8>, code: &str, text: &str) {
    append_message(out, b'E', format!("SERROR\0VERROR\0C{code}\0M{text}\0\0").as_bytes());
}

pub fn append_status(out: &mut Vec<u8>, name: &str, value: &str) {
    append_message(out, b'S', format!("{name}\0{value}\0").as_bytes());
}

pub fn query(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    append_message(&mut out, b'Q', format!("{text}\0").as_bytes());
    out
}

/// A startup message of the user `backend` and the database `store`, with a session parameter if there is one.
pub fn startup(session: Option<&str>) -> Vec<u8> {
    let mut body = b"\0\x03\0\0user\0backend\0database\0store\0".to_vec();
    if let Some(session) = session {
        body.extend(format!("gingerwick.session\0{session}\0").as_bytes());
    }
    body.push(0);
    let mut out = (body.len() as u32 + 4).to_be_bytes().to_vec();
    out.extend(body);
    out
}

/// The field `code` of an ErrorResponse.
pub fn error_field(body: &[u8], code: u8) -> String {
    let field = body.split(|&byte| byte == 0).find(|field| field.first() == Some(&code));
    field.map_or(String::new(), |field| String::from_utf8_lossy(&field[1..]).into_owned())
}

/// The outcome of one query, as a client sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The value of the row.
    Value(Vec<u8>),
    /// An error, by its SQLSTATE.
    Error(String),
    /// An empty query's answer.
    Empty,
    /// The connection ended, or the time was over, before the answer was complete.
    Missing,
}

impl Answer {
    /// A short text for the record.
    pub fn text(&self) -> String {
        match self {
            Answer::Value(value) => {
                let text = String::from_utf8_lossy(&value[..value.len().min(60)]).trim_end().to_string();
                format!("value {text:?} of {} bytes", value.len())
            }
            Answer::Error(code) => format!("error {code}"),
            Answer::Empty => "empty".into(),
            Answer::Missing => "no answer".into(),
        }
    }
}

/// A client's connection to an instance.
pub struct Client {
    pub stream: TcpStream,
    /// The newest session token.
    pub token: Option<String>,
}

impl Client {
    /// Connects and waits for the greeting; `None` if it does not come.
    pub fn open(addr: &str, session: Option<&str>, patience_ms: u64) -> Option<Client> {
        let addr = addr.parse().ok()?;
        let patience = std::time::Duration::from_millis(patience_ms);
        let mut stream = TcpStream::connect_timeout(&addr, patience).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(patience)).ok()?;
        stream.write_all(&startup(session)).ok()?;
        let mut client = Client { stream, token: None };
        loop {
            let message = read_message(&mut client.stream)?;
            match message.tag {
                b'Z' => return Some(client),
                b'E' => return None,
                _ => client.keep_token(&message),
            }
        }
    }

    fn keep_token(&mut self, message: &Message) {
        let text = String::from_utf8_lossy(&message.body).into_owned();
        let mut parts = text.split('\0');
        if message.tag == b'S' && parts.next() == Some("gingerwick.session") {
            self.token = parts.next().map(str::to_string);
        }
    }

    /// Sends a statement; false if the connection has ended.
    pub fn send(&mut self, text: &str) -> bool {
        self.stream.write_all(&query(text)).is_ok()
    }

    /// Reads the answer to the next statement.
    pub fn receive(&mut self) -> Answer {
        let mut answer = Answer::Missing;
        loop {
            let Some(message) = read_message(&mut self.stream) else { return Answer::Missing };
            match message.tag {
                b'D' => answer = Answer::Value(message.body[6..].to_vec()),
                b'E' => {
                    answer = Answer::Error(error_field(&message.body, b'C'));
                    if error_field(&message.body, b'S') == "FATAL" {
                        return answer;
                    }
                }
                b'I' => answer = Answer::Empty,
                b'Z' => return answer,
                _ => self.keep_token(&message),
            }
        }
    }

    pub fn ask(&mut self, text: &str) -> Answer {
        if self.send(text) {
            self.receive()
        } else {
            Answer::Missing
        }
    }
}
