//! Parsing of an endpoint's answer, before any of it is forwarded to the client. An endpoint may send anything, so
//! a message that the grammar does not allow at its position makes the whole answer invalid.

use crate::endpoints::load_report::{self, parse_unsigned_decimal};
use crate::messages::control::AnswerMetadata;
use crate::protocol::decode;
use crate::protocol::framing::{parse_frame, HEADER_BYTES, LENGTH_BYTES, MAX_VALUE_BYTES};
use crate::protocol::sqlstate::endpoint as sqlstate;
use crate::runtime::clock;
use routing::{AttemptOutcome, Role};
use sessions::epochs::Epoch;
use std::ops::Range;

/// The state of the parser: which message may come next.
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

/// A transition of the parser.
struct Rule {
    /// The state in which the rule applies.
    from: State,
    /// The tag of the message.
    tag: u8,
    /// The greatest length that the message may declare, which counts the length field but not the tag.
    max_bytes: usize,
    /// Whether the message's body is valid.
    is_valid: fn(&[u8]) -> bool,
    /// The state that the message leads to.
    to: State,
}

const fn rule(from: State, tag: u8, max_bytes: usize, is_valid: fn(&[u8]) -> bool, to: State) -> Rule {
    Rule { from, tag, max_bytes, is_valid, to }
}

/// The greatest length of errors, row descriptions and command tags.
const MAX_SHORT_BYTES: usize = 1 << 10;
/// The body of AuthenticationOk, whose code is 0.
const AUTHENTICATION_OK: [u8; 4] = [0; 4];
/// The length of AuthenticationOk.
const AUTHENTICATION_BYTES: usize = LENGTH_BYTES + AUTHENTICATION_OK.len();
/// The body of BackendKeyData in bytes: a process id and a secret key.
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

/// The transitions of all states.
const GRAMMAR: &[Rule] = &[
    rule(
        State::ExpectAuthentication,
        b'R',
        AUTHENTICATION_BYTES,
        |body| body == AUTHENTICATION_OK,
        State::Authenticated,
    ),
    rule(State::ExpectAuthentication, b'E', MAX_SHORT_BYTES, decode::is_valid_error, State::Failed),
    rule(
        State::Authenticated,
        b'K',
        KEY_DATA_BYTES,
        |body| body.len() == KEY_DATA_BODY_BYTES,
        State::Authenticated,
    ),
    rule(State::Authenticated, b'Z', READY_BYTES, is_ready, State::Done),
    rule(State::Authenticated, b'E', MAX_SHORT_BYTES, decode::is_valid_error, State::Failed),
    rule(State::ExpectDescription, b'T', MAX_SHORT_BYTES, decode::describes_one_column, State::ExpectRow),
    rule(State::ExpectDescription, b'E', MAX_SHORT_BYTES, decode::is_valid_error, State::Failed),
    rule(State::ExpectRow, b'D', MAX_VALUE_BYTES, has_one_column, State::ExpectCompletion),
    rule(State::ExpectRow, b'E', MAX_SHORT_BYTES, decode::is_valid_error, State::Failed),
    rule(State::ExpectCompletion, b'C', MAX_SHORT_BYTES, decode::is_printable_string, State::Complete),
    rule(State::ExpectCompletion, b'E', MAX_SHORT_BYTES, decode::is_valid_error, State::Failed),
    rule(State::Complete, b'Z', READY_BYTES, is_ready, State::Done),
    rule(State::Failed, b'Z', READY_BYTES, is_ready, State::Done),
    rule(State::ExpectEmptyResponse, b'I', LENGTH_BYTES, <[u8]>::is_empty, State::Complete),
];

/// Whether a body is a DataRow with exactly one column that is not null.
fn has_one_column(body: &[u8]) -> bool {
    decode::single_column_value(body).is_some()
}

/// The bytes of asynchronous messages (ParameterStatus, NoticeResponse) in one answer. They are allowed at any
/// position.
const MAX_ASYNCHRONOUS_BYTES: usize = 8 << 10;

/// The tags of a value's messages, in order: RowDescription, DataRow and CommandComplete.
const VALUE_TAGS: &[u8; 3] = b"TDC";

/// An incremental parser of one answer.
#[derive(Debug, Default)]
pub struct ResponseParser {
    state: State,
    /// The offset of the next message in the connection's buffer.
    at: usize,
    /// The ranges of the value's messages in the buffer, in the order of [`VALUE_TAGS`].
    value_parts: [Range<usize>; VALUE_TAGS.len()],
    asynchronous_bytes: usize,
    /// The outcome by the ErrorResponse, if there was one.
    error: Option<AttemptOutcome>,
    metadata: AnswerMetadata,
}

impl ResponseParser {
    /// A parser of the answer to a startup message.
    pub fn for_startup() -> ResponseParser {
        ResponseParser { state: State::ExpectAuthentication, ..ResponseParser::default() }
    }

    /// A parser of the answer to an empty query.
    pub fn for_empty_query() -> ResponseParser {
        ResponseParser { state: State::ExpectEmptyResponse, ..ResponseParser::default() }
    }

    /// Parses the messages that are complete in the buffer; returns the outcome once the answer is complete or invalid.
    pub fn parse(&mut self, buffer: &[u8]) -> Option<AttemptOutcome> {
        while !matches!(self.state, State::Done | State::Invalid) {
            let &tag = buffer.get(self.at)?;
            self.parse_message(tag, buffer)?;
        }
        Some(self.outcome(AttemptOutcome::Failed))
    }

    /// Parses one message; `None` if it is incomplete.
    fn parse_message(&mut self, tag: u8, buffer: &[u8]) -> Option<()> {
        let is_asynchronous = matches!(tag, b'S' | b'N');
        let rule = GRAMMAR.iter().find(|rule| rule.from == self.state && rule.tag == tag);
        let max_bytes = match rule {
            _ if is_asynchronous => MAX_ASYNCHRONOUS_BYTES - self.asynchronous_bytes,
            Some(rule) => rule.max_bytes,
            None => 0,
        };
        let start = self.at;
        let next = match parse_frame(buffer, start, max_bytes) {
            Ok(None) if max_bytes > 0 => return None,
            Ok(Some(frame)) => {
                self.at = frame.body.end;
                let body = &buffer[frame.body];
                if is_asynchronous {
                    self.asynchronous_bytes += self.at - start;
                    self.handle_asynchronous(tag, body)
                } else {
                    rule.filter(|rule| (rule.is_valid)(body)).map(|rule| rule.to)
                }
            }
            _ => None,
        };
        if tag == b'E' && next.is_some() {
            self.handle_error(&buffer[start + HEADER_BYTES..self.at]);
        } else if let Some(part) = VALUE_TAGS.iter().position(|&part| part == tag) {
            self.value_parts[part] = start..self.at;
        }
        self.state = next.unwrap_or(State::Invalid);
        Some(())
    }

    /// Handles an ErrorResponse. After the first message of a value, no error code proves that the request was not
    /// executed.
    fn handle_error(&mut self, body: &[u8]) {
        let code = decode::error_field(body, b'C').unwrap_or_default();
        let value_begun = matches!(self.state, State::ExpectRow | State::ExpectCompletion);
        let outcome = if value_begun { AttemptOutcome::Failed } else { outcome_of_code(code) };
        self.error = Some(outcome);
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

    /// The outcome if nothing more is read, or `incomplete` if the answer does not determine one yet. An error or a
    /// complete value does, even if the connection was lost after it.
    pub fn outcome(&self, incomplete: AttemptOutcome) -> AttemptOutcome {
        match (self.state, self.error) {
            (State::Invalid, _) => AttemptOutcome::Failed,
            (_, Some(outcome)) => outcome,
            (State::Complete | State::Done, None) => AttemptOutcome::Succeeded,
            _ => incomplete,
        }
    }

    /// Whether the connection can be reused: the answer is complete, and no bytes follow it.
    pub fn leaves_connection_reusable(&self, buffer: &[u8]) -> bool {
        self.state == State::Done && self.at == buffer.len()
    }

    /// What the answer reported about its endpoint; empty if the answer is invalid.
    pub fn metadata(&self) -> AnswerMetadata {
        if self.state == State::Invalid {
            AnswerMetadata::default()
        } else {
            self.metadata
        }
    }

    /// Extracts the three messages of the value from the buffer, to be forwarded to the client. The buffer is
    /// reused if no other message is between them.
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

/// The outcome for an error code. Only the codes that are listed prove that the request was not executed.
fn outcome_of_code(code: &str) -> AttemptOutcome {
    match code {
        sqlstate::READ_ONLY_SQL_TRANSACTION | sqlstate::SNAPSHOT_TOO_OLD => AttemptOutcome::NotEligible,
        sqlstate::TOO_MANY_CONNECTIONS => AttemptOutcome::Rejected,
        _ => AttemptOutcome::Failed,
    }
}

/// Parses an epoch such as `3@1790000000123`: its number and its start position in Unix milliseconds.
/// Without a position, as in `3`, the start position is unknown.
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
