//! An incremental parser of discovery's HTTP response to a watch: the head, the chunked encoding, and the events in
//! the body. The parser does no I/O, and accepts the bytes in pieces of any size.

use httparse::{parse_chunk_size, Response, Status, EMPTY_HEADER};
use thiserror::Error;

/// The maximum length of a list in bytes. Real lists are much shorter.
const MAX_LIST_BYTES: usize = 4 << 20;
/// The maximum length of the HTTP head in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// The maximum number of HTTP headers.
const MAX_HEADERS: usize = 32;
const HTTP_OK: u16 = 200;

/// An event of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// A heartbeat, which is an empty line: the list has not changed.
    Unchanged,
    /// A list: the text of one JSON object, including the white space inside the object.
    List(Vec<u8>),
}

/// Why a response cannot be parsed any further.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum StreamError {
    /// The head is not valid HTTP or is longer than the limit.
    #[error("response head is not valid HTTP or is longer than {MAX_HEAD_BYTES} bytes")]
    BadHead,
    /// The status is not 200.
    #[error("response status is not 200")]
    BadStatus,
    /// The size of a chunk is not a hexadecimal number.
    #[error("chunk size is not a hexadecimal number")]
    BadChunkSize,
    /// A chunk is not followed by a line end.
    #[error("chunk is not followed by a line end")]
    UnterminatedChunk,
    /// A list is longer than the limit.
    #[error("endpoint list is longer than {MAX_LIST_BYTES} bytes")]
    ListTooLong,
    /// The body contains something other than JSON objects and white space.
    #[error("response body contains text outside a JSON object")]
    NotAnObject,
    /// The response ended within a list.
    #[error("response ended within an endpoint list")]
    TruncatedList,
}

/// The state of the search for the end of a JSON object.
#[derive(Default)]
struct Scanner {
    /// The offset of the next byte to scan in the decoded body.
    offset: usize,
    /// The number of braces and brackets that are open.
    depth: usize,
    in_string: bool,
    escaped: bool,
    /// An object has ended on the current line, so the end of the line is not a heartbeat.
    after_object: bool,
}

/// An incremental parser of one response to a watch.
#[derive(Default)]
pub struct WatchStream {
    /// Received bytes that have not been decoded yet.
    raw: Vec<u8>,
    /// The decoded body.
    body: Vec<u8>,
    /// The number of bytes at the start of `body` that were returned as events or skipped.
    consumed: usize,
    scanner: Scanner,
    head_complete: bool,
    chunked: bool,
    /// The number of bytes of the current chunk that have not been decoded yet. If the body is not chunked, the
    /// number counts the whole body instead, and starts at `usize::MAX` if the length of the body is unknown.
    remaining: usize,
    /// The line end after the current chunk has not arrived yet.
    expects_chunk_end: bool,
    ended: bool,
}

impl WatchStream {
    /// Adds received bytes and decodes them as far as possible.
    ///
    /// # Errors
    /// The response is not valid HTTP with status 200, or a list is longer than the limit.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<(), StreamError> {
        self.raw.extend_from_slice(bytes);
        if !self.head_complete && !self.parse_head()? {
            return Ok(());
        }
        // Decoded bytes are removed once per call. Removing each chunk on its own would take quadratic time for many
        // small chunks.
        let mut decoded = 0;
        let result = self.decode_body(&mut decoded);
        self.raw.drain(..decoded);
        result?;
        // While `remaining` is 0, `raw` contains an incomplete chunk size, or bytes after the end of the response.
        // Their number is limited too.
        if self.body.len() > MAX_LIST_BYTES || (self.remaining == 0 && self.raw.len() > MAX_LIST_BYTES) {
            return Err(StreamError::ListTooLong);
        }
        Ok(())
    }

    /// Decodes the body from offset `decoded` of `raw`, and advances `decoded` past the decoded bytes.
    fn decode_body(&mut self, decoded: &mut usize) -> Result<(), StreamError> {
        loop {
            if self.remaining > 0 {
                self.decode_body_part(decoded);
                if self.remaining > 0 || !self.chunked {
                    self.ended = self.remaining == 0;
                    return Ok(());
                }
                self.expects_chunk_end = true;
            }
            if !self.chunked || self.ended {
                return Ok(());
            }
            if self.expects_chunk_end && !self.skip_chunk_end(decoded)? {
                return Ok(());
            }
            match parse_chunk_size(&self.raw[*decoded..]) {
                Ok(Status::Complete((used, size))) => {
                    *decoded += used;
                    self.remaining = usize::try_from(size).unwrap_or(usize::MAX);
                    self.ended = size == 0;
                }
                Ok(Status::Partial) => return Ok(()),
                Err(_) => return Err(StreamError::BadChunkSize),
            }
        }
    }

    /// Copies the available part of the current chunk, or of a body that is not chunked, to `body`.
    fn decode_body_part(&mut self, decoded: &mut usize) {
        let available = self.remaining.min(self.raw.len() - *decoded);
        self.body.extend_from_slice(&self.raw[*decoded..*decoded + available]);
        *decoded += available;
        self.remaining -= available;
    }

    /// Skips the line end after a chunk. Returns false if it has not arrived completely.
    fn skip_chunk_end(&mut self, decoded: &mut usize) -> Result<bool, StreamError> {
        match self.raw[*decoded..].first_chunk::<2>() {
            None => Ok(false),
            Some(b"\r\n") => {
                *decoded += 2;
                self.expects_chunk_end = false;
                Ok(true)
            }
            Some(_) => Err(StreamError::UnterminatedChunk),
        }
    }

    /// Parses the HTTP head. Returns false if it has not arrived completely.
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

    /// Whether the HTTP head has arrived completely.
    pub fn is_head_complete(&self) -> bool {
        self.head_complete
    }

    /// Whether the response has arrived completely.
    pub fn is_complete(&self) -> bool {
        self.ended
    }

    /// Returns the next event, or `None` if it has not arrived completely.
    ///
    /// # Errors
    /// The body contains something other than JSON objects and white space, or ended within an object.
    pub fn next_event(&mut self) -> Result<Option<WatchEvent>, StreamError> {
        while let Some(&byte) = self.body.get(self.scanner.offset) {
            self.scanner.offset += 1;
            if let Some(event) = self.scan(byte)? {
                return Ok(Some(event));
            }
        }
        self.body.drain(..self.consumed);
        self.scanner.offset -= std::mem::take(&mut self.consumed);
        if self.ended && self.scanner.depth > 0 {
            return Err(StreamError::TruncatedList);
        }
        Ok(None)
    }

    /// Scans one byte. If the byte completes an event, returns the event.
    fn scan(&mut self, byte: u8) -> Result<Option<WatchEvent>, StreamError> {
        if self.scanner.depth > 0 {
            let object_ended = self.scanner.scan_object(byte);
            return Ok(object_ended.then(|| self.take_object()));
        }
        match byte {
            b'{' => self.scanner.depth = 1,
            b'\n' => {
                self.consumed = self.scanner.offset;
                if !std::mem::take(&mut self.scanner.after_object) {
                    return Ok(Some(WatchEvent::Unchanged));
                }
            }
            b' ' | b'\t' | b'\r' => self.consumed = self.scanner.offset,
            _ => return Err(StreamError::NotAnObject),
        }
        Ok(None)
    }

    /// Copies the object that ends at the scanner's offset.
    fn take_object(&mut self) -> WatchEvent {
        self.scanner.after_object = true;
        let object = self.body[self.consumed..self.scanner.offset].to_vec();
        self.consumed = self.scanner.offset;
        WatchEvent::List(object)
    }
}

impl Scanner {
    /// Scans one byte of an object. Returns true if the byte ends the object.
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

/// The value of the header with this name; `None` if it is missing or not UTF-8.
fn header<'a>(response: &'a Response, name: &str) -> Option<&'a str> {
    let header = response.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(header.value).ok()
}
