//! Sessions that their clients carry: tokens opened and sealed, what this front remembers of them beside.

use crate::mailbox::{Answer, Seen};
use routing::rng::Mwc;
use routing::time::{Moment, Span};
use sessions::kept::{Kept, MOST_KEPT};
use sessions::marks::{Block, Mark, Marks};
use sessions::token::{lasts, Keys, SessionId, Token, Unfit};
use std::fmt;
use std::path::Path;
use std::sync::{Mutex, MutexGuard};

/// One connection's session.
pub struct Carried {
    session: SessionId,
    audience: String,
    marks: Marks,
}

/// Why a token is not taken; each has a code of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused(Unfit);

impl Refused {
    pub fn code(self) -> &'static str {
        match self.0 {
            Unfit::Expired => "ZG003",
            _ => "ZG002",
        }
    }
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

pub struct Carry {
    keys: Mutex<Keys>,
    lasts: Span,
    kept: Mutex<Kept>,
    names: Mutex<Mwc>,
}

/// Reads a file of keys. A fault names file and line.
pub fn read_keys(path: &Path) -> Result<Keys, String> {
    let text = std::fs::read_to_string(path).map_err(|why| format!("{}: {why}", path.display()))?;
    Keys::parse(&text).map_err(|why| format!("{}:{why}", path.display()))
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn unix_s(now: Moment) -> i64 {
    now.0.div_euclid(1_000_000_000)
}

impl Carry {
    pub fn new(keys: Keys, lasts: Span, seed: u64) -> Carry {
        let kept = Mutex::new(Kept::new(MOST_KEPT, lasts));
        Carry { keys: Mutex::new(keys), lasts, kept, names: Mutex::new(Mwc::new(seed)) }
    }

    pub fn set_keys(&self, keys: Keys) {
        *lock(&self.keys) = keys;
    }

    /// Takes up a token, or begins a session where none is given.
    pub fn begin(&self, now: Moment, word: &str, audience: &str) -> Result<Carried, Refused> {
        if word.is_empty() || word == "new" {
            let (mut session, mut names) = (SessionId::default(), lock(&self.names));
            session.iter_mut().for_each(|byte| *byte = names.below(256) as u8);
            return Ok(Carried { session, audience: audience.to_string(), marks: Marks::default() });
        }
        let opened = lock(&self.keys).open(word, audience, unix_s(now));
        let Token { session, marks, .. } = opened.map_err(Refused)?;
        Ok(Carried { session, audience: audience.to_string(), marks })
    }

    /// What the session has seen of a group, here or elsewhere.
    pub fn mark(&self, now: Moment, carried: &mut Carried, group: Block) -> Option<Mark> {
        lock(&self.kept).merge(now, carried.session, &mut carried.marks);
        carried.marks.of(group)
    }

    /// Takes in what an answer has shown; the token that goes with it, where it is another than before.
    pub fn answered(
        &self,
        now: Moment,
        carried: &mut Carried,
        group: Block,
        answer: &Answer,
    ) -> Option<String> {
        match answer {
            // The mark that is lost stays until the client has been told.
            Answer::Value(_, Seen { mark: Some(mark), lost: false }) => {
                carried.marks.see(group, *mark);
                lock(&self.kept).merge(now, carried.session, &mut carried.marks);
            }
            Answer::Lost(anew) => {
                carried.marks.strike(group);
                carried.marks.see(group, *anew);
                lock(&self.kept).strike(&carried.session, group);
            }
            _ => return None,
        }
        self.token(now, carried)
    }

    pub fn token(&self, now: Moment, carried: &Carried) -> Option<String> {
        let issued = unix_s(now);
        let (session, marks) = (carried.session, carried.marks.clone());
        let token = Token { session, issued, expires: issued + lasts(self.lasts), marks };
        lock(&self.keys).seal(&token, &carried.audience)
    }
}
