//! Admission: the head of a statement becomes an RPC of a known method with a time to be answered by.

use crate::ledger::Weight;
use crate::pg::Head;
use admission::turnstile::Client;
use routing::iface::{Facts, MethodIx, Need};
use routing::time::{Moment, Span};
use sessions::marks::Mark;
use std::collections::HashMap;
use std::ops::Range;
use std::sync::Arc;

/// What the start facts say about RPCs at the door.
pub struct Terms {
    methods: HashMap<String, (MethodIx, bool)>,
}

impl Terms {
    pub fn new(names: Vec<String>, facts: &Facts) -> Terms {
        let keyed = |ix: usize| matches!(facts.methods[ix].need, Need::Write | Need::Session);
        Terms { methods: names.into_iter().enumerate().map(|(ix, name)| (name, (ix, keyed(ix)))).collect() }
    }
}

/// A statement as it came, and where in it the digits of its patience stand.
pub struct Query {
    pub body: Vec<u8>,
    pub patience: Range<usize>,
    pub weight: Weight,
}

#[derive(Debug)]
pub struct Admission {
    /// Names it among the open ones of all clients.
    pub id: Arc<str>,
    pub method: MethodIx,
    pub cluster: i64,
    pub session: Option<u64>,
    pub last_write: Option<Span>,
    /// What its session has seen of the group, where it carries that.
    pub mark: Option<Mark>,
    pub deadline: Moment,
    pub repeat: bool,
    pub patience: Range<usize>,
    /// Whom it counts for, where RPCs have turns.
    pub client: Option<Client>,
}

/// A day: no client waits as long, and no time beyond it is reckoned with.
const LONGEST_MS: i64 = 86_400_000;

pub fn admit(terms: &Terms, now: Moment, head: &Head) -> Result<Admission, (&'static str, &'static str)> {
    let &(method, keyed) = terms.methods.get(head.class).ok_or(("42704", "c names no known class"))?;
    // Passed over, a position out of range would make a session's read one without a bound. It is told in
    // whole milliseconds, as stores' are: only one beyond it is sure to show what was written in it.
    let after = match head.after_ms.unwrap_or(0) {
        0 => None,
        ms @ 1..9_000_000_000_000 => Some(now - Moment((ms + 1) * 1_000_000)),
        _ => return Err(("22008", "after is out of range")),
    };
    Ok(Admission {
        id: head.id.into(),
        method,
        cluster: head.cluster,
        session: head.key.filter(|_| keyed).map(session),
        last_write: after,
        mark: None,
        deadline: now + Span::millis(head.patience_ms.min(LONGEST_MS)),
        repeat: head.repeat,
        patience: head.patience.clone(),
        client: None,
    })
}

/// A session's number: its sixteen hex digits, or where it is named otherwise a hash of the name (FNV-1a).
fn session(key: &str) -> u64 {
    let hash = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    u64::from_str_radix(key, 16).unwrap_or_else(|_| key.bytes().fold(0xcbf2_9ce4_8422_2325, hash))
}
