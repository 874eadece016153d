//! Parses an endpoint's answer before any of it is forwarded to the client. The parser does not rely on the
//! endpoint to follow the protocol: a message that the grammar does not allow at its position makes the whole
//! answer invalid.

use crate::endpoints::load_report::{self, parse_unsigned_decimal};
use crate::messages::control::AnswerMetadata;
use crate::protocol::decode;
use crate::protocol::framing::{parse_frame, HEADER_BYTES, LENGTH_BYTES, MAX_VALUE_BYTES};
use crate::protocol::sqlstate::endpoint as sqlstate;
use crate::runtime::clock;
use routing::{AttemptOutcome, Role};
use sessions::epochs::Epoch;
use std::ops::Range;

/// The state of the parser, which determines the messages that may come next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// After a startup message was sent.
    ExpectAuthentication,
    /// After AuthenticationOk.
    Authenticated,
    /// After a query was sent.
    #[default]
    ExpectDescription,
    /// After RowDescription.
    ExpectRow,
    /// After DataRow.
    ExpectCompletion,
    /// After CommandComplete or EmptyQueryResponse.
    Complete,
    /// After ErrorResponse.
    Failed,
    /// After an empty query was sent.
    ExpectEmptyResponse,
    /// After ReadyForQuery.
    Done,
    /// After a message that the grammar does not allow.
    Invalid,
}

/// A transition of the parser from one state to another by a message.
struct Transition {
    /// The state in which the message is allowed.
    from: State,
    /// The tag of the message.
    tag: u8,
    /// The maximum length that the message may declare. The length includes the length field but not the tag.
    max_bytes: usize,
    /// Checks the message's body.
    is_valid: fn(&[u8]) -> bool,
    /// The state after the message.
    to: State,
}

const fn transition(
    from: State,
    tag: u8,
    max_bytes: usize,
    is_valid: fn(&[u8]) -> bool,
    to: State,
) -> Transition {
    Transition { from, tag, max_bytes, is_valid, to }
}

/// The maximum length of an error, a row description or a command tag.
const MAX_SHORT_BYTES: usize = 1 << 10;
/// The body of AuthenticationOk: the code 0.
const AUTHENTICATION_OK: [u8; 4] = [0; 4];
/// The length of AuthenticationOk.
const AUTHENTICATION_BYTES: usize = LENGTH_BYTES + AUTHENTICATION_OK.len();
/// The length of the body of BackendKeyData, which consists of a process id and a secret key.
const KEY_DATA_BODY_BYTES: usize = 8;
/// The length of BackendKeyData.
const KEY_DATA_BYTES: usize = LENGTH_BYTES + KEY_DATA_BODY_BYTES;
/// The body of ReadyForQuery outside a transaction.
const READY_IDLE: &[u8] = b"I";
/// The length of ReadyForQuery.
const READY_BYTES: usize = LENGTH_BYTES + READY_IDLE.len();

fn is_ready(body: &[u8]) -> bool {
    body == READY_IDLE
}

/// All transitions of the parser.
const GRAMMAR: &[Transition] = &[
    transition(
        State::ExpectAuthentication,
        b'R',
        AUTHENTICATION_BYTES,
        |body| body == AUTHENTICATION_OK,
        State::Authenticated,
    ),
    transition(State::ExpectAuthentication, b'E', MAX_SHORT_BYTES, decode::is_valid_error, State::Failed),
    transition(
        State::Authenticated,
        b'K',
        KEY_DATA_BYTES,
        |body| body.len() == KEY_DATA_BODY_BYTES,
        State::Authenticated,
    ),
    transition(State::Authenticated, b'Z', READY_BYTES, is_ready, State::Done),
    transition(State::Authenticated, b'E', MAX_SHORT_BYTES, decode::is_valid_error, State::Failed),
    transition(
        State::ExpectDescription,
        b'T',
        MAX_SHORT_BYTES,
        decode::describes_one_column,
        State::ExpectRow,
    ),
    transition(State::ExpectDescription, b'E', MAX_SHORT_BYTES, decode::is_valid_error, State::Failed),
    transition(State::ExpectRow, b'D', MAX_VALUE_BYTES, has_one_column, State::ExpectCompletion),
    transition(State::ExpectRow, b'E', MAX_SHORT_BYTES, decode::is_valid_error, State::Failed),
    transition(State::ExpectCompletion, b'C', MAX_SHORT_BYTES, decode::is_printable_string, State::Complete),
    transition(State::ExpectCompletion, b'E', MAX_SHORT_BYTES, decode::is_valid_error, State::Failed),
    transition(State::Complete, b'Z', READY_BYTES, is_ready, State::Done),
    transition(State::Failed, b'Z', READY_BYTES, is_ready, State::Done),
    transition(State::ExpectEmptyResponse, b'I', LENGTH_BYTES, <[u8]>::is_empty, State::Complete),
];

/// Whether a body is a DataRow with exactly one column that is not null.
fn has_one_column(body: &[u8]) -> bool {
    decode::single_column_value(body).is_some()
}

/// The maximum number of bytes of asynchronous messages (ParameterStatus and NoticeResponse) in one answer.
/// Asynchronous messages are allowed at any position.
const MAX_ASYNCHRONOUS_BYTES: usize = 8 << 10;

/// The room for the messages that follow a long one, in bytes: command tag, ParameterStatus messages, ReadyForQuery.
const TRAILER_BYTES: usize = 512;

/// The tags of a value's messages, in order: RowDescription, DataRow and CommandComplete.
const VALUE_TAGS: &[u8; 3] = b"TDC";

/// An incremental parser of one answer. By default, it expects the answer to a query.
#[derive(Debug, Default)]
pub struct ResponseParser {
    state: State,
    /// The offset of the next message in the connection's buffer.
    offset: usize,
    /// The ranges of the value's messages in the buffer, in the order of [`VALUE_TAGS`].
    value_parts: [Range<usize>; VALUE_TAGS.len()],
    /// The number of bytes of asynchronous messages so far.
    asynchronous_bytes: usize,
    /// The outcome that the ErrorResponse determines; `None` if there was no ErrorResponse.
    error_outcome: Option<AttemptOutcome>,
    metadata: AnswerMetadata,
}

impl ResponseParser {
    /// Creates a parser of the answer to a startup message.
    pub fn for_startup() -> ResponseParser {
        ResponseParser { state: State::ExpectAuthentication, ..ResponseParser::default() }
    }

    /// Creates a parser of the answer to an empty query.
    pub fn for_empty_query() -> ResponseParser {
        ResponseParser { state: State::ExpectEmptyResponse, ..ResponseParser::default() }
    }

    /// Parses the complete messages in the buffer, which contains all bytes of the answer so far. Returns the outcome
    /// once the answer is complete or invalid, and `None` before that.
    pub fn parse(&mut self, buffer: &[u8]) -> Option<AttemptOutcome> {
        while !matches!(self.state, State::Done | State::Invalid) {
            let &tag = buffer.get(self.offset)?;
            self.parse_message(tag, buffer)?;
        }
        Some(self.outcome(AttemptOutcome::Failed))
    }

    /// The number of bytes that the buffer must hold for the answer, as far as that is known. The message that is incomplete
    /// was checked by [`ResponseParser::parse`], so it is not too long.
    pub fn expected_bytes(&self, buffer: &[u8]) -> usize {
        let length_at = self.offset + HEADER_BYTES - LENGTH_BYTES;
        let length = buffer.get(length_at..).and_then(|rest| rest.first_chunk());
        length.map_or(0, |length| length_at + u32::from_be_bytes(*length) as usize + TRAILER_BYTES)
    }

    /// Parses one message; returns `None` if it is incomplete.
    fn parse_message(&mut self, tag: u8, buffer: &[u8]) -> Option<()> {
        let is_asynchronous = matches!(tag, b'S' | b'N');
        let is_allowed = |transition: &&Transition| transition.from == self.state && transition.tag == tag;
        let transition = GRAMMAR.iter().find(is_allowed);
        let max_bytes = match transition {
            _ if is_asynchronous => MAX_ASYNCHRONOUS_BYTES - self.asynchronous_bytes,
            Some(transition) => transition.max_bytes,
            None => 0,
        };
        let start = self.offset;
        let next = match parse_frame(buffer, start, max_bytes) {
            Ok(None) if max_bytes > 0 => return None,
            Ok(Some(frame)) => {
                self.offset = frame.body.end;
                let body = &buffer[frame.body];
                if is_asynchronous {
                    self.asynchronous_bytes += self.offset - start;
                    self.handle_asynchronous(tag, body)
                } else {
                    transition
                        .filter(|transition| (transition.is_valid)(body))
                        .map(|transition| transition.to)
                }
            }
            _ => None,
        };
        if tag == b'E' && next.is_some() {
            self.handle_error(&buffer[start + HEADER_BYTES..self.offset]);
        } else if let Some(part) = VALUE_TAGS.iter().position(|&value_tag| value_tag == tag) {
            self.value_parts[part] = start..self.offset;
        }
        self.state = next.unwrap_or(State::Invalid);
        Some(())
    }

    /// Handles an ErrorResponse. Once the first message of a value has arrived, no SQLSTATE proves that the request
    /// was not executed.
    fn handle_error(&mut self, body: &[u8]) {
        let code = decode::error_field(body, b'C').unwrap_or_default();
        let value_has_begun = matches!(self.state, State::ExpectRow | State::ExpectCompletion);
        let outcome = if value_has_begun { AttemptOutcome::Failed } else { outcome_of_sqlstate(code) };
        self.error_outcome = Some(outcome);
    }

    /// Handles a NoticeResponse or ParameterStatus; returns the next state, or `None` if the message is malformed.
    fn handle_asynchronous(&mut self, tag: u8, body: &[u8]) -> Option<State> {
        if tag == b'N' {
            return decode::is_valid_error(body).then_some(self.state);
        }
        match decode::parse_parameter_status(body)? {
            ("recovery", "off") => self.metadata.answer_report.role = Some(Role::Primary),
            ("recovery", "on") => self.metadata.answer_report.role = Some(Role::Replica),
            ("lsn_ms", millis) => {
                self.metadata.answer_report.position =
                    parse_unsigned_decimal(millis).and_then(clock::timestamp_from_unix_ms);
            }
            ("health", fields) => self.metadata.load_report = load_report::parse(fields),
            ("epoch", text) => self.metadata.epoch = parse_epoch(text),
            _ => {}
        }
        Some(self.state)
    }

    /// The outcome of the part of the answer that was read, or `incomplete` if that part does not determine an
    /// outcome yet. An error or a complete value determines the outcome, even if the connection is lost after it.
    pub fn outcome(&self, incomplete: AttemptOutcome) -> AttemptOutcome {
        match (self.state, self.error_outcome) {
            (State::Invalid, _) => AttemptOutcome::Failed,
            (_, Some(outcome)) => outcome,
            (State::Complete | State::Done, None) => AttemptOutcome::Succeeded,
            _ => incomplete,
        }
    }

    /// Whether the connection can be reused after the answer: the answer is complete, and no bytes follow it.
    pub fn leaves_connection_reusable(&self, buffer: &[u8]) -> bool {
        self.state == State::Done && self.offset == buffer.len()
    }

    /// What the answer reports about its endpoint; empty if the answer is invalid.
    pub fn metadata(&self) -> AnswerMetadata {
        if self.state == State::Invalid {
            AnswerMetadata::default()
        } else {
            self.metadata
        }
    }

    /// Extracts the three messages of the value from the buffer, to be forwarded to the client. The buffer is reused
    /// if no other messages are between them.
    pub fn value(&self, mut buffer: Vec<u8>) -> Vec<u8> {
        let [description, row, completion] = self.value_parts.clone();
        if description.end != row.start || row.end != completion.start {
            return [&buffer[description], &buffer[row], &buffer[completion]].concat();
        }
        buffer.truncate(completion.end);
        buffer.drain(..description.start);
        buffer
    }
}

/// The outcome of an attempt that was answered with an error. Only the codes that are listed here prove that the
/// request was not executed.
fn outcome_of_sqlstate(code: &str) -> AttemptOutcome {
    match code {
        sqlstate::READ_ONLY_SQL_TRANSACTION | sqlstate::SNAPSHOT_TOO_OLD => AttemptOutcome::NotEligible,
        sqlstate::TOO_MANY_CONNECTIONS => AttemptOutcome::Rejected,
        _ => AttemptOutcome::Failed,
    }
}

/// Parses an epoch such as `3@1790000000123`: its number, and its start position in Unix milliseconds. In the form
/// `3`, the start position is unknown. Returns `None` if the text is malformed.
fn parse_epoch(text: &str) -> Option<Epoch> {
    let (number, start_position) = match text.split_once('@') {
        Some((number, millis)) => {
            (number, Some(parse_unsigned_decimal(millis).and_then(clock::timestamp_from_unix_ms)?))
        }
        None => (text, None),
    };
    let is_digits = number.bytes().all(|byte| byte.is_ascii_digit());
    let number = number.parse().ok().filter(|_| is_digits)?;
    Some(Epoch { number, start_position })
}
