//! What a store's answer means, read from its messages whole before any of it goes on. Any store may lie:
//! what does not stand just where the grammar has it spoils the answer, however it goes on.

use crate::clock;
use crate::pg;
use routing::iface::{Outcome, Role, Told};
use sessions::epochs::Epoch;
use std::ops::Range;

/// How far an answer has come, and so what may come next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Place {
    /// Behind a start-up message.
    Greeting,
    Greeted,
    /// Behind a query.
    #[default]
    Asked,
    Described,
    Row,
    Complete,
    Failed,
    /// Behind an empty query.
    Hushed,
    Done,
    Spoilt,
}

/// One row: here a message with this tag, at most so long and with a body that fits, leads there.
type Rule = (Place, u8, usize, fn(&[u8]) -> bool, Place);

const SHORT: usize = 1 << 10;

const GRAMMAR: &[Rule] = &[
    (Place::Greeting, b'R', 8, |body| body == [0; 4], Place::Greeted),
    (Place::Greeting, b'E', SHORT, pg::is_error, Place::Failed),
    (Place::Greeted, b'K', 12, |body| body.len() == 8, Place::Greeted),
    (Place::Greeted, b'Z', 5, |body| body == b"I", Place::Done),
    (Place::Greeted, b'E', SHORT, pg::is_error, Place::Failed),
    (Place::Asked, b'T', SHORT, pg::describes_one_column, Place::Described),
    (Place::Asked, b'E', SHORT, pg::is_error, Place::Failed),
    (Place::Described, b'D', pg::MOST_VALUE, |body| pg::only_column(body).is_some(), Place::Row),
    (Place::Described, b'E', SHORT, pg::is_error, Place::Failed),
    (Place::Row, b'C', SHORT, pg::is_text, Place::Complete),
    (Place::Row, b'E', SHORT, pg::is_error, Place::Failed),
    (Place::Complete, b'Z', 5, |body| body == b"I", Place::Done),
    (Place::Failed, b'Z', 5, |body| body == b"I", Place::Done),
    (Place::Hushed, b'I', 4, <[u8]>::is_empty, Place::Complete),
];

/// Parameters and notices may stand anywhere before the end, but not without one: so many bytes in all.
const MOST_ASIDE: usize = 8 << 10;

/// An answer as far as it has come.
#[derive(Debug, Default)]
pub struct Reply {
    place: Place,
    /// The next message in the connection's buffer.
    at: usize,
    /// Where RowDescription, DataRow and CommandComplete stand.
    parts: [Range<usize>; 3],
    aside: usize,
    error: Option<Outcome>,
    pub note: Told,
    pub report: Told,
    /// The epoch of the log that it was answered from.
    pub epoch: Option<Epoch>,
}

impl Reply {
    pub fn to_start_up() -> Reply {
        Reply { place: Place::Greeting, ..Reply::default() }
    }

    pub fn to_empty_query() -> Reply {
        Reply { place: Place::Hushed, ..Reply::default() }
    }

    /// Reads on in all that has come; the outcome once it is known.
    pub fn read(&mut self, buffer: &[u8]) -> Option<Outcome> {
        while !matches!(self.place, Place::Done | Place::Spoilt) {
            let &tag = buffer.get(self.at)?;
            let aside = matches!(tag, b'S' | b'N');
            let rule = GRAMMAR.iter().find(|rule| rule.0 == self.place && rule.1 == tag);
            let most = if aside { MOST_ASIDE - self.aside } else { rule.map_or(0, |rule| rule.2) };
            let start = self.at;
            let next = match pg::frame(buffer, start, most) {
                Ok(None) if most > 0 => return None,
                Ok(Some(frame)) => {
                    self.at = frame.body.end;
                    let body = &buffer[frame.body];
                    if aside {
                        self.aside += self.at - start;
                        self.aside(tag, body)
                    } else {
                        rule.filter(|rule| rule.3(body)).map(|rule| rule.4)
                    }
                }
                _ => None,
            };
            if tag == b'E' && next.is_some() {
                // Behind the head of a value even a "never ran" is no proof.
                let code = pg::field(&buffer[start + 5..self.at], b'C').unwrap_or_default();
                let early = self.place != Place::Described && self.place != Place::Row;
                self.error = Some(if early { of_code(code) } else { Outcome::Errored });
            } else if let Some(part) = b"TDC".iter().position(|&part| part == tag) {
                self.parts[part] = start..self.at;
            }
            self.place = next.unwrap_or(Place::Spoilt);
        }
        Some(self.outcome(Outcome::Errored))
    }

    /// What stands beside an answer, and may stand there at any point of it.
    fn aside(&mut self, tag: u8, body: &[u8]) -> Option<Place> {
        match (tag, pg::parameter(body)) {
            (b'N', _) => return pg::is_error(body).then_some(self.place),
            (_, Some(("recovery", "off"))) => self.note.role = Some(Role::Primary),
            (_, Some(("recovery", "on"))) => self.note.role = Some(Role::Replica),
            (_, Some(("lsn_ms", ms))) => self.note.position = number(ms).and_then(clock::from_unix_ms),
            (_, Some(("health", fields))) => self.report = report(fields),
            (_, Some(("epoch", word))) => self.epoch = epoch(word),
            (_, named) => return named.map(|_| self.place),
        }
        Some(self.place)
    }

    /// What it comes to where nothing more will be read; `cut` where it had not said enough. A fatal error or
    /// a whole value counts, whatever became of the connection behind it.
    pub fn outcome(&self, cut: Outcome) -> Outcome {
        match (self.place, self.error) {
            (Place::Spoilt, _) => Outcome::Errored,
            (_, Some(outcome)) => outcome,
            (Place::Complete | Place::Done, None) => Outcome::Ok,
            _ => cut,
        }
    }

    /// Whether the connection is free again: the answer is at its end, and nothing stands behind it.
    pub fn frees(&self, buffer: &[u8]) -> bool {
        self.place == Place::Done && self.at == buffer.len()
    }

    /// What the answer said of its store beside the value; a spoilt one has said nothing.
    pub fn told(&self) -> (Told, Told) {
        if self.place == Place::Spoilt {
            Default::default()
        } else {
            (self.note, self.report)
        }
    }

    /// The epoch that it told, unless it was spoilt.
    pub fn told_epoch(&self) -> Option<Epoch> {
        self.epoch.filter(|_| self.place != Place::Spoilt)
    }

    /// What is passed on: its three messages as they came, in the buffer itself where nothing stands between
    /// them.
    pub fn value(&self, mut buffer: Vec<u8>) -> Vec<u8> {
        let [heads, row, end] = self.parts.clone();
        if heads.end != row.start || row.end != end.start {
            return [&buffer[heads], &buffer[row], &buffer[end]].concat();
        }
        buffer.truncate(end.end);
        buffer.drain(..heads.start);
        buffer
    }
}

/// The border between what never ran and what may have.
fn of_code(code: &str) -> Outcome {
    match code {
        "25006" | "72000" => Outcome::Lagged,
        "53300" => Outcome::Full,
        _ => Outcome::Errored,
    }
}

/// Digits with at most one point among them: no sign, no exponent, no `nan` or `inf`.
fn number(word: &str) -> Option<f64> {
    let plain = word.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    word.parse().ok().filter(|_| plain)
}

/// An epoch, `3@1790000000123`: its number and the position at which it began, in Unix milliseconds; `3`
/// alone where that is not known.
fn epoch(word: &str) -> Option<Epoch> {
    let (number_word, began) =
        word.split_once('@').map_or((word, None), |(number, began)| (number, Some(began)));
    let began = match began {
        Some(ms) => Some(number(ms).and_then(clock::from_unix_ms)?),
        None => None,
    };
    let number =
        number_word.parse().ok().filter(|_| number_word.bytes().all(|byte| byte.is_ascii_digit()))?;
    Some(Epoch { number, began })
}

/// A load report, `name=value` pairs: `x0` is the position, `x1` 1 from a primary, `util` the busy part. One
/// that can't be read in any part tells nothing at all.
pub fn report(fields: &str) -> Told {
    let read = |fields: &str| {
        let mut told = Told::default();
        for pair in fields.split(',') {
            let (name, value) = pair.split_once('=')?;
            match (name.trim(), number(value.trim())?) {
                ("x0", value) => told.position = Some(clock::from_unix_s(value)?),
                ("x1", 1.0) => told.role = Some(Role::Primary),
                ("x1", 0.0) => told.role = Some(Role::Replica),
                ("x1", _) => return None,
                ("util" | "load_share", value) => told.load = Some(value),
                _ => {}
            }
        }
        Some(told)
    };
    read(fields).unwrap_or_default()
}
