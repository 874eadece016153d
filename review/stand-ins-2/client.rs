//! A client: one connection, one query at a time.

use crate::record;
use crate::wire;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How long clients wait for the answer to a read and to a write, in milliseconds: within 40 to 100 % of the deadlines.
const READ_MS: u32 = 900;
const WRITE_MS: u32 = 2_500;
/// For how long a query that is not served is sent again.
const RETRIES_FOR: Duration = Duration::from_secs(8);

/// The answer to a query. All fields are empty if the connection ended or no answer came in time.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub row: Option<String>,
    pub error: Option<String>,
    pub is_complete: bool,
}

impl Answer {
    pub fn text(&self) -> String {
        match (&self.row, &self.error, self.is_complete) {
            (Some(row), None, true) => format!("row '{row}'"),
            (_, Some(code), _) => format!("error {code}"),
            _ => "no answer".to_string(),
        }
    }

    pub fn is_served(&self) -> bool {
        self.row.is_some() && self.error.is_none() && self.is_complete
    }
}

pub struct Client {
    stream: TcpStream,
    name: String,
    /// The session's token; `None` without a session.
    pub token: Option<String>,
    pub origin: Option<String>,
}

impl Client {
    /// Connects; `session` is `new` or a token.
    pub fn connect(addr: SocketAddr, name: &str, session: Option<&str>) -> Option<Client> {
        let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(2)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(8))).ok()?;
        let mut body = 196_608u32.to_be_bytes().to_vec();
        body.extend(b"user\0backend\0database\0store\0");
        if let Some(session) = session {
            body.extend(format!("gingerwick.session\0{session}\0").as_bytes());
        }
        body.push(0);
        let mut out = ((body.len() + 4) as u32).to_be_bytes().to_vec();
        out.extend(body);
        stream.write_all(&out).ok()?;
        let mut client = Client { stream, name: name.to_string(), token: None, origin: None };
        let greeting = client.read_answer();
        (greeting.is_complete && greeting.error.is_none()).then_some(client)
    }

    /// Sends a query and waits for its answer.
    pub fn query(&mut self, statement: &str) -> Answer {
        record::line(&format!("{} sends     {statement}", self.name));
        self.send(statement);
        let answer = self.read_answer();
        record::line(&format!("{} receives  {}", self.name, answer.text()));
        answer
    }

    /// Sends a query again, each time with another id, as long as it is refused. Returns the last answer.
    pub fn query_until_served(&mut self, id: &str, statement: impl Fn(&str) -> String) -> Answer {
        let started = Instant::now();
        for number in 0.. {
            let answer = self.query(&statement(&format!("{id}-{number}")));
            if answer.is_served() || started.elapsed() > RETRIES_FOR {
                return answer;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Answer::default()
    }

    /// Sends a query without waiting for its answer.
    pub fn send(&mut self, statement: &str) {
        let _ = self.stream.write_all(&wire::query(statement));
    }

    pub fn read_answer(&mut self) -> Answer {
        let mut answer = Answer::default();
        while let Some(message) = wire::read_message(&mut self.stream) {
            let body = &message.body;
            match message.tag {
                b'D' => answer.row = body.get(6..).map(|value| String::from_utf8_lossy(value).into_owned()),
                b'E' => {
                    let fields = body.split(|byte| *byte == 0);
                    let mut codes = fields.filter(|field| field.first() == Some(&b'C'));
                    answer.error = codes.next().map(|code| String::from_utf8_lossy(&code[1..]).into_owned());
                }
                b'S' => {
                    let text = String::from_utf8_lossy(body).into_owned();
                    let mut parts = text.split('\0');
                    let (name, value) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
                    match name {
                        "gingerwick.session" => self.token = Some(value.to_string()),
                        "gingerwick.origin" => self.origin = Some(value.to_string()),
                        _ => {}
                    }
                }
                b'I' => answer.is_complete = true,
                b'Z' => {
                    answer.is_complete = true;
                    return answer;
                }
                _ => {}
            }
        }
        answer.is_complete = false;
        answer
    }
}

/// The text of a read.
pub fn read(id: &str, class: &str, group: i64, key: &str) -> String {
    format!("/* id={id},c={class},d={READ_MS},cluster={group} */ SELECT content FROM kv WHERE name = '{key}'")
}

/// The text of a write.
pub fn write(id: &str, class: &str, group: i64, key: &str, value: &str) -> String {
    let hex: String = value.bytes().map(|byte| format!("{byte:02x}")).collect();
    format!(
        "/* id={id},c={class},d={WRITE_MS},cluster={group} */ INSERT INTO kv (name, content) \
         VALUES ('{key}', '\\x{hex}') RETURNING content"
    )
}
