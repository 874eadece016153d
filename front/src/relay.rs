//! What a store's answer to a call-out means, read from its messages whole before any of it goes on.

use crate::clock;
use crate::pg;
use gingerwick::iface::{Outcome, Role, Told};

/// An answer as far as it has come.
#[derive(Debug, Default)]
pub struct Reply {
    /// The next message in the connection's buffer.
    at: usize,
    /// RowDescription, DataRow and CommandComplete, as they came.
    pub value: Vec<u8>,
    rows: u32,
    complete: bool,
    error: Option<Outcome>,
    pub note: Told,
    pub report: Told,
    /// ReadyForQuery has come: the connection is free again.
    pub ready: bool,
}

impl Reply {
    /// Reads on; the outcome once it is known. A fault of the store's speech may have run.
    pub fn read(&mut self, buffer: &[u8]) -> Option<Outcome> {
        loop {
            let frame = match pg::frame(buffer, self.at, pg::MOST_VALUE) {
                Ok(Some(frame)) => frame,
                Ok(None) => return None,
                Err(_) => return Some(Outcome::Errored),
            };
            let (start, body) = (self.at, &buffer[frame.body.clone()]);
            self.at = frame.body.end;
            match frame.tag {
                b'T' | b'D' | b'C' => {
                    self.rows += u32::from(frame.tag == b'D');
                    self.complete |= frame.tag == b'C';
                    if self.value.len() + (self.at - start) > 2 * pg::MOST_VALUE {
                        return Some(Outcome::Errored);
                    }
                    self.value.extend_from_slice(&buffer[start..self.at]);
                }
                b'E' => self.error = Some(of_code(pg::field(body, b'C').unwrap_or_default())),
                b'S' => self.parameter(body),
                b'Z' => {
                    self.ready = true;
                    return Some(self.outcome(Outcome::Errored));
                }
                _ => {}
            }
        }
    }

    /// What it comes to where nothing more will be read; `cut` where it had not said enough. A fatal error or a
    /// whole value counts, whatever became of the connection behind it.
    pub fn outcome(&self, cut: Outcome) -> Outcome {
        match self.error {
            Some(outcome) => outcome,
            None if self.whole() => Outcome::Ok,
            None => cut,
        }
    }

    fn whole(&self) -> bool {
        self.rows == 1 && self.complete
    }

    /// The only column of the only row.
    pub fn column(&self) -> Option<&[u8]> {
        let mut at = 0;
        while let Ok(Some(frame)) = pg::frame(&self.value, at, pg::MOST_VALUE) {
            if frame.tag == b'D' {
                return pg::only_column(&self.value[frame.body]);
            }
            at = frame.body.end;
        }
        None
    }

    fn parameter(&mut self, body: &[u8]) {
        match pg::parameter(body) {
            Some(("recovery", "off")) => self.note.role = Some(Role::Primary),
            Some(("recovery", "on")) => self.note.role = Some(Role::Replica),
            Some(("lsn_ms", ms)) => self.note.position = ms.parse().ok().and_then(clock::from_unix_ms),
            Some(("health", fields)) => self.report = report(fields),
            _ => {}
        }
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

/// A load report, `name=value` pairs: `x0` is the position, `x1` 1 from a primary, `util` the busy part.
pub fn report(fields: &str) -> Told {
    let mut told = Told::default();
    for (name, value) in fields.split(',').filter_map(|pair| pair.split_once('=')) {
        let Ok(value) = value.trim().parse::<f64>() else { continue };
        match name.trim() {
            "x0" => told.position = clock::from_unix_s(value),
            "x1" => told.role = Some(if value == 1.0 { Role::Primary } else { Role::Replica }),
            "util" | "load_share" => told.load = Some(value),
            _ => {}
        }
    }
    told
}
