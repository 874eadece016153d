//! An incremental parser of discovery's response to a watch: the HTTP head, the chunked encoding, and the events in
//! the body. It does no I/O, and accepts the bytes in pieces of any size.

use httparse::{parse_chunk_size, Response, Status, EMPTY_HEADER};
use thiserror::Error;

/// The longest list that is accepted, in bytes; real lists are much shorter.
const MAX_LIST_BYTES: usize = 4 << 20;
/// The longest HTTP head that is accepted, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// The most HTTP headers that are accepted.
const MAX_HEADERS: usize = 32;
const HTTP_OK: u16 = 200;

/// An event of the watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// A heartbeat, which is an empty line: the list has not changed.
    Unchanged,
    /// The text of one JSON object, with any white space inside it.
    List(Vec<u8>),
}

/// Why a response cannot be parsed any further.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum StreamError {
    /// The head is not valid HTTP.
    #[error("unreadable response head")]
    BadHead,
    /// The status is not 200.
    #[error("response status is not 200")]
    BadStatus,
    /// The size of a chunk is not a number.
    #[error("unreadable chunk size")]
    BadChunkSize,
    /// A chunk is not followed by a line end.
    #[error("chunk without an end")]
    UnterminatedChunk,
    /// A list is longer than the limit.
    #[error("endpoint list too long")]
    ListTooLong,
    /// The body contains something other than JSON objects.
    #[error("event is not a list")]
    NotAnObject,
    /// The response ended within a list.
    #[error("response ended within a list")]
    TruncatedList,
}

/// The progress of the search for the end of a JSON object.
#[derive(Default)]
struct Scanner {
    /// The offset of the next byte to scan.
    at: usize,
    /// The number of open braces and brackets.
    depth: usize,
    in_string: bool,
    escaped: bool,
    /// An object has ended on the present line, so the end of the line is not a heartbeat.
    after_object: bool,
}

/// An incremental parser of one response to a watch.
#[derive(Default)]
pub struct WatchStream {
    /// Bytes that were received but not decoded from HTTP.
    raw: Vec<u8>,
    /// The decoded body.
    text: Vec<u8>,
    /// The number of bytes of `text` that were returned as events.
    consumed: usize,
    scanner: Scanner,
    head_complete: bool,
    chunked: bool,
    /// Bytes that are missing of the present chunk, or of a body of known length.
    remaining: usize,
    /// The line end after a chunk has not arrived yet.
    expects_chunk_end: bool,
    ended: bool,
}

impl WatchStream {
    /// Adds bytes that were received.
    ///
    /// # Errors
    /// The response is not valid HTTP with status 200, or a list is too long.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<(), StreamError> {
        self.raw.extend_from_slice(bytes);
        if !self.head_complete && !self.parse_head()? {
            return Ok(());
        }
        // Decoded bytes are removed once per call: removing each chunk would take quadratic time for many small chunks.
        let mut at = 0;
        let result = self.parse_body(&mut at);
        self.raw.drain(..at);
        result?;
        if self.text.len() > MAX_LIST_BYTES || (self.remaining == 0 && self.raw.len() > MAX_LIST_BYTES) {
            return Err(StreamError::ListTooLong);
        }
        Ok(())
    }

    /// Decodes the body from offset `at` of `raw`, and advances `at` past the decoded bytes.
    fn parse_body(&mut self, at: &mut usize) -> Result<(), StreamError> {
        loop {
            if self.remaining > 0 {
                self.take_body_part(at);
                if self.remaining > 0 || !self.chunked {
                    self.ended = self.remaining == 0;
                    return Ok(());
                }
                self.expects_chunk_end = true;
            }
            if !self.chunked || self.ended {
                return Ok(());
            }
            if self.expects_chunk_end && !self.take_chunk_end(at)? {
                return Ok(());
            }
            match parse_chunk_size(&self.raw[*at..]) {
                Ok(Status::Complete((used, size))) => {
                    *at += used;
                    self.remaining = usize::try_from(size).unwrap_or(usize::MAX);
                    self.ended = size == 0;
                }
                Ok(Status::Partial) => return Ok(()),
                Err(_) => return Err(StreamError::BadChunkSize),
            }
        }
    }

    /// Moves the available part of the present chunk to `text`.
    fn take_body_part(&mut self, at: &mut usize) {
        let available = self.remaining.min(self.raw.len() - *at);
        self.text.extend_from_slice(&self.raw[*at..*at + available]);
        *at += available;
        self.remaining -= available;
    }

    /// Skips the line end after a chunk; returns false if it has not arrived yet.
    fn take_chunk_end(&mut self, at: &mut usize) -> Result<bool, StreamError> {
        match self.raw[*at..].first_chunk::<2>() {
            None => Ok(false),
            Some(b"\r\n") => {
                *at += 2;
                self.expects_chunk_end = false;
                Ok(true)
            }
            Some(_) => Err(StreamError::UnterminatedChunk),
        }
    }

    /// Parses the head; returns false if it is incomplete.
    fn parse_head(&mut self) -> Result<bool, StreamError> {
        let mut headers = [EMPTY_HEADER; MAX_HEADERS];
        let mut response = Response::new(&mut headers);
        let used = match response.parse(&self.raw) {
            Ok(Status::Complete(used)) => used,
            Ok(Status::Partial) if self.raw.len() < MAX_HEAD_BYTES => return Ok(false),
            _ => return Err(StreamError::BadHead),
        };
        if response.code != Some(HTTP_OK) {
            return Err(StreamError::BadStatus);
        }
        let encoding = header(&response, "transfer-encoding");
        self.chunked = encoding.is_some_and(|encoding| encoding.to_ascii_lowercase().contains("chunked"));
        if !self.chunked {
            let length = header(&response, "content-length").and_then(|length| length.trim().parse().ok());
            self.remaining = length.unwrap_or(usize::MAX);
            self.ended = self.remaining == 0;
        }
        self.head_complete = true;
        self.raw.drain(..used);
        Ok(true)
    }

    /// Whether the head is complete.
    pub fn is_head_complete(&self) -> bool {
        self.head_complete
    }

    /// Whether the response is complete.
    pub fn is_complete(&self) -> bool {
        self.ended
    }

    /// The next complete event, if there is one.
    ///
    /// # Errors
    /// The body contains something other than JSON objects, or ended within one.
    pub fn next_event(&mut self) -> Result<Option<WatchEvent>, StreamError> {
        while let Some(&byte) = self.text.get(self.scanner.at) {
            self.scanner.at += 1;
            if let Some(event) = self.scan(byte)? {
                return Ok(Some(event));
            }
        }
        self.text.drain(..self.consumed);
        self.scanner.at -= std::mem::take(&mut self.consumed);
        if self.ended && self.scanner.depth > 0 {
            return Err(StreamError::TruncatedList);
        }
        Ok(None)
    }

    /// Scans one byte; returns the event that ends with it, if any.
    fn scan(&mut self, byte: u8) -> Result<Option<WatchEvent>, StreamError> {
        if self.scanner.depth > 0 {
            let object_ended = self.scanner.scan_object(byte);
            return Ok(object_ended.then(|| self.take_object()));
        }
        match byte {
            b'{' => self.scanner.depth = 1,
            b'\n' => {
                self.consumed = self.scanner.at;
                if !std::mem::take(&mut self.scanner.after_object) {
                    return Ok(Some(WatchEvent::Unchanged));
                }
            }
            b' ' | b'\t' | b'\r' => self.consumed = self.scanner.at,
            _ => return Err(StreamError::NotAnObject),
        }
        Ok(None)
    }

    /// Takes the object that ends at the scanner's offset.
    fn take_object(&mut self) -> WatchEvent {
        self.scanner.after_object = true;
        let object = self.text[self.consumed..self.scanner.at].to_vec();
        self.consumed = self.scanner.at;
        WatchEvent::List(object)
    }
}

impl Scanner {
    /// Scans one byte of an object; returns true if the object ends with it.
    fn scan_object(&mut self, byte: u8) -> bool {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' if self.in_string => self.escaped = true,
            b'"' => self.in_string = !self.in_string,
            _ if self.in_string => {}
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth -= 1,
            _ => {}
        }
        self.depth == 0
    }
}

/// The value of a header by its name.
fn header<'a>(response: &'a Response, name: &str) -> Option<&'a str> {
    let header = response.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(header.value).ok()
}
