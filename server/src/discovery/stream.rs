//! The answer of discovery to a watch, in pieces split anywhere: HTTP head, chunks, and the events in them. No socket is used
//! here.

use httparse::{parse_chunk_size, Response, Status, EMPTY_HEADER};
use thiserror::Error;

/// More than any list takes.
const MAX_LIST_BYTES: usize = 4 << 20;
const MAX_HEAD_BYTES: usize = 16 << 10;
const MAX_HEADERS: usize = 32;
const HTTP_OK: u16 = 200;

/// What a watch reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// An empty line: nothing has changed.
    Unchanged,
    /// The text of one object, whatever white space is in it.
    List(Vec<u8>),
}

/// Why an answer cannot be followed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum StreamError {
    /// Its head is no HTTP.
    #[error("unreadable response head")]
    BadHead,
    /// It is not 200.
    #[error("response status is not 200")]
    BadStatus,
    /// The size of a chunk is none.
    #[error("unreadable chunk size")]
    BadChunkSize,
    /// A chunk has no line end behind it.
    #[error("chunk without an end")]
    UnterminatedChunk,
    /// A list is too long.
    #[error("endpoint list too long")]
    ListTooLong,
    /// Something that is no list.
    #[error("event is not a list")]
    NotAList,
    /// It ended within a list.
    #[error("response ended within a list")]
    CutOff,
}

/// How far the text has been scanned for the end of the object that has begun.
#[derive(Default)]
struct Scanner {
    at: usize,
    depth: usize,
    in_string: bool,
    escaped: bool,
    /// An object has ended on this line: the end of the line says nothing more.
    behind_object: bool,
}

/// An answer to a watch.
#[derive(Default)]
pub struct WatchStream {
    raw: Vec<u8>,
    text: Vec<u8>,
    /// The text up to here was given out.
    consumed: usize,
    scanner: Scanner,
    head_complete: bool,
    chunked: bool,
    /// What of the present chunk, or of a body of known length, is still to come.
    remaining: usize,
    /// The line end behind a chunk is still to come.
    expects_chunk_end: bool,
    ended: bool,
}

impl WatchStream {
    /// Adds bytes that were read.
    ///
    /// # Errors
    /// They cannot be followed.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<(), StreamError> {
        self.raw.extend_from_slice(bytes);
        if !self.head_complete && !self.parse_head()? {
            return Ok(());
        }
        // What is done with is removed once: chunk by chunk, a flood of small ones would cost the worker their square.
        let mut at = 0;
        let result = self.parse_body(&mut at);
        self.raw.drain(..at);
        result?;
        if self.text.len() > MAX_LIST_BYTES || (self.remaining == 0 && self.raw.len() > MAX_LIST_BYTES) {
            return Err(StreamError::ListTooLong);
        }
        Ok(())
    }

    /// Parses the body from `at` on.
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

    fn take_body_part(&mut self, at: &mut usize) {
        let available = self.remaining.min(self.raw.len() - *at);
        self.text.extend_from_slice(&self.raw[*at..*at + available]);
        *at += available;
        self.remaining -= available;
    }

    /// The line end behind a chunk; false if it is not there yet.
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

    /// The head; false if not all of it is there.
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

    /// Whether the answer has begun.
    pub fn has_begun(&self) -> bool {
        self.head_complete
    }

    /// Whether the answer is complete.
    pub fn has_ended(&self) -> bool {
        self.ended
    }

    /// The next complete event.
    ///
    /// # Errors
    /// What comes is no event.
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
            return Err(StreamError::CutOff);
        }
        Ok(None)
    }

    /// Scans one byte; an event if it ends with it.
    fn scan(&mut self, byte: u8) -> Result<Option<WatchEvent>, StreamError> {
        if self.scanner.depth > 0 {
            let object_ended = self.scanner.scan_object(byte);
            return Ok(object_ended.then(|| self.take_object()));
        }
        match byte {
            b'{' => self.scanner.depth = 1,
            b'\n' => {
                self.consumed = self.scanner.at;
                if !std::mem::take(&mut self.scanner.behind_object) {
                    return Ok(Some(WatchEvent::Unchanged));
                }
            }
            b' ' | b'\t' | b'\r' => self.consumed = self.scanner.at,
            _ => return Err(StreamError::NotAList),
        }
        Ok(None)
    }

    fn take_object(&mut self) -> WatchEvent {
        self.scanner.behind_object = true;
        let object = self.text[self.consumed..self.scanner.at].to_vec();
        self.consumed = self.scanner.at;
        WatchEvent::List(object)
    }
}

impl Scanner {
    /// Scans one byte of an object; true if the object ends with it.
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

fn header<'a>(response: &'a Response, name: &str) -> Option<&'a str> {
    let header = response.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(header.value).ok()
}
