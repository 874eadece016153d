//! What an endpoint's answer means, read from its messages before any of them is passed on. Any endpoint may send anything:
//! what is not exactly where the grammar has it makes the answer invalid, however it goes on.

use crate::endpoints::load_report::{self, plain_number};
use crate::messages::control::AnswerReports;
use crate::protocol::decode;
use crate::protocol::framing::{frame, HEADER_BYTES, MAX_VALUE_BYTES};
use crate::protocol::sqlstate::endpoint as sqlstate;
use crate::runtime::clock;
use routing::{AttemptOutcome, Role};
use sessions::epochs::Epoch;
use std::ops::Range;

/// How far an answer has come, and so what may come next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// Behind a startup message.
    ExpectAuthentication,
    Authenticated,
    /// Behind a query.
    #[default]
    ExpectDescription,
    ExpectRow,
    ExpectCompletion,
    Complete,
    Failed,
    /// Behind an empty query.
    ExpectEmptyResponse,
    Done,
    Invalid,
}

/// In this state a message with this tag, of at most this length and with a body that fits, leads to that state.
struct Rule {
    from: State,
    tag: u8,
    max_bytes: usize,
    fits: fn(&[u8]) -> bool,
    to: State,
}

const fn rule(from: State, tag: u8, max_bytes: usize, fits: fn(&[u8]) -> bool, to: State) -> Rule {
    Rule { from, tag, max_bytes, fits, to }
}

const MAX_SHORT_BYTES: usize = 1 << 10;
const READY_BYTES: usize = 5;

fn is_ready(body: &[u8]) -> bool {
    body == b"I"
}

const GRAMMAR: &[Rule] = &[
    rule(State::ExpectAuthentication, b'R', 8, |body| body == [0; 4], State::Authenticated),
    rule(State::ExpectAuthentication, b'E', MAX_SHORT_BYTES, decode::is_error, State::Failed),
    rule(State::Authenticated, b'K', 12, |body| body.len() == 8, State::Authenticated),
    rule(State::Authenticated, b'Z', READY_BYTES, is_ready, State::Done),
    rule(State::Authenticated, b'E', MAX_SHORT_BYTES, decode::is_error, State::Failed),
    rule(State::ExpectDescription, b'T', MAX_SHORT_BYTES, decode::describes_one_column, State::ExpectRow),
    rule(State::ExpectDescription, b'E', MAX_SHORT_BYTES, decode::is_error, State::Failed),
    rule(State::ExpectRow, b'D', MAX_VALUE_BYTES, has_one_column, State::ExpectCompletion),
    rule(State::ExpectRow, b'E', MAX_SHORT_BYTES, decode::is_error, State::Failed),
    rule(State::ExpectCompletion, b'C', MAX_SHORT_BYTES, decode::is_text, State::Complete),
    rule(State::ExpectCompletion, b'E', MAX_SHORT_BYTES, decode::is_error, State::Failed),
    rule(State::Complete, b'Z', READY_BYTES, is_ready, State::Done),
    rule(State::Failed, b'Z', READY_BYTES, is_ready, State::Done),
    rule(State::ExpectEmptyResponse, b'I', 4, <[u8]>::is_empty, State::Complete),
];

fn has_one_column(body: &[u8]) -> bool {
    decode::only_column(body).is_some()
}

/// Parameters and notices may come anywhere before the end, but not without one: so many bytes in all.
const MAX_ASIDE_BYTES: usize = 8 << 10;

/// The messages of a value, in order.
const VALUE_TAGS: &[u8; 3] = b"TDC";

/// An answer as far as it has come.
#[derive(Debug, Default)]
pub struct ResponseParser {
    state: State,
    /// Where the next message begins in the connection's buffer.
    at: usize,
    /// Where RowDescription, DataRow and CommandComplete are.
    value_parts: [Range<usize>; VALUE_TAGS.len()],
    aside_bytes: usize,
    error: Option<AttemptOutcome>,
    reports: AnswerReports,
}

impl ResponseParser {
    /// Of the answer to a startup message.
    pub fn for_startup() -> ResponseParser {
        ResponseParser { state: State::ExpectAuthentication, ..ResponseParser::default() }
    }

    /// Of the answer to an empty query.
    pub fn for_empty_query() -> ResponseParser {
        ResponseParser { state: State::ExpectEmptyResponse, ..ResponseParser::default() }
    }

    /// Goes on with all that has come; the outcome once it is known.
    pub fn parse(&mut self, buffer: &[u8]) -> Option<AttemptOutcome> {
        while !matches!(self.state, State::Done | State::Invalid) {
            let &tag = buffer.get(self.at)?;
            self.parse_message(tag, buffer)?;
        }
        Some(self.outcome(AttemptOutcome::Failed))
    }

    /// Takes one message; none if not all of it is there.
    fn parse_message(&mut self, tag: u8, buffer: &[u8]) -> Option<()> {
        let is_aside = matches!(tag, b'S' | b'N');
        let rule = GRAMMAR.iter().find(|rule| rule.from == self.state && rule.tag == tag);
        let max_bytes = match rule {
            _ if is_aside => MAX_ASIDE_BYTES - self.aside_bytes,
            Some(rule) => rule.max_bytes,
            None => 0,
        };
        let start = self.at;
        let next = match frame(buffer, start, max_bytes) {
            Ok(None) if max_bytes > 0 => return None,
            Ok(Some(frame)) => {
                self.at = frame.body.end;
                let body = &buffer[frame.body];
                if is_aside {
                    self.aside_bytes += self.at - start;
                    self.take_aside(tag, body)
                } else {
                    rule.filter(|rule| (rule.fits)(body)).map(|rule| rule.to)
                }
            }
            _ => None,
        };
        if tag == b'E' && next.is_some() {
            self.take_error(&buffer[start + HEADER_BYTES..self.at]);
        } else if let Some(part) = VALUE_TAGS.iter().position(|&part| part == tag) {
            self.value_parts[part] = start..self.at;
        }
        self.state = next.unwrap_or(State::Invalid);
        Some(())
    }

    /// Behind the head of a value even an error that says that it did not run is no proof.
    fn take_error(&mut self, body: &[u8]) {
        let code = decode::error_field(body, b'C').unwrap_or_default();
        let value_begun = matches!(self.state, State::ExpectRow | State::ExpectCompletion);
        let outcome = if value_begun { AttemptOutcome::Failed } else { outcome_of_code(code) };
        self.error = Some(outcome);
    }

    /// A message that may come at any point of an answer.
    fn take_aside(&mut self, tag: u8, body: &[u8]) -> Option<State> {
        if tag == b'N' {
            return decode::is_error(body).then_some(self.state);
        }
        match decode::parameter(body)? {
            ("recovery", "off") => self.reports.answer.role = Some(Role::Primary),
            ("recovery", "on") => self.reports.answer.role = Some(Role::Replica),
            ("lsn_ms", millis) => {
                self.reports.answer.position = plain_number(millis).and_then(clock::from_unix_ms);
            }
            ("health", fields) => self.reports.load = load_report::parse(fields),
            ("epoch", text) => self.reports.epoch = parse_epoch(text),
            _ => {}
        }
        Some(self.state)
    }

    /// What the answer comes to if nothing more is read; `cut_off` if it had not said enough. A fatal error or a complete value
    /// counts, whatever became of the connection behind it.
    pub fn outcome(&self, cut_off: AttemptOutcome) -> AttemptOutcome {
        match (self.state, self.error) {
            (State::Invalid, _) => AttemptOutcome::Failed,
            (_, Some(outcome)) => outcome,
            (State::Complete | State::Done, None) => AttemptOutcome::Succeeded,
            _ => cut_off,
        }
    }

    /// Whether the connection can be used again: the answer is at its end, and nothing is behind it.
    pub fn frees_connection(&self, buffer: &[u8]) -> bool {
        self.state == State::Done && self.at == buffer.len()
    }

    /// What the answer said of its endpoint; an invalid one has said nothing.
    pub fn reports(&self) -> AnswerReports {
        if self.state == State::Invalid {
            AnswerReports::default()
        } else {
            self.reports
        }
    }

    /// What is passed on: the three messages of the value as they came, in the buffer itself if nothing is between them.
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

/// The border between what did not run and what may have.
fn outcome_of_code(code: &str) -> AttemptOutcome {
    match code {
        sqlstate::READ_ONLY_SQL_TRANSACTION | sqlstate::SNAPSHOT_TOO_OLD => AttemptOutcome::NotEligible,
        sqlstate::TOO_MANY_CONNECTIONS => AttemptOutcome::Rejected,
        _ => AttemptOutcome::Failed,
    }
}

/// An epoch, `3@1790000000123`: its number and the position at which it began, in Unix milliseconds; `3` alone if that is not
/// known.
fn parse_epoch(text: &str) -> Option<Epoch> {
    let (number, began) = match text.split_once('@') {
        Some((number, millis)) => (number, Some(plain_number(millis).and_then(clock::from_unix_ms)?)),
        None => (text, None),
    };
    let is_digits = number.bytes().all(|byte| byte.is_ascii_digit());
    let number = number.parse().ok().filter(|_| is_digits)?;
    Some(Epoch { number, began })
}
