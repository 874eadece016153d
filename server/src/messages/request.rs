//! A client's request: the header of its statement, checked against the settings.

use crate::protocol::sqlstate::{ClientError, SqlState};
use crate::protocol::statement::RequestHeader;
use crate::runtime::resource_limits::BufferCharge;
use admission::concurrency_limiter::ClientKey;
use routing::time::{TimeDelta, Timestamp};
use routing::{Access, MethodIndex, RoutingSettings};
use sessions::positions::{GroupNumber, LogPosition};
use std::collections::HashMap;
use std::ops::Range;
use std::sync::Arc;

/// Positions beyond this are no times.
const MAX_POSITION_MS: i64 = 9_000_000_000_000;
const NANOS_PER_MILLI: i64 = 1_000_000;
/// A day: no client waits for longer, and no time beyond it is reckoned with.
const MAX_TIMEOUT_MS: i64 = 86_400_000;

#[derive(Clone, Copy)]
struct Method {
    index: MethodIndex,
    /// Its statements name their session by their key.
    has_session: bool,
}

/// The methods by their names.
pub struct MethodTable {
    methods: HashMap<String, Method>,
}

impl MethodTable {
    /// From names, in the order of the settings.
    pub fn new(names: Vec<String>, settings: &RoutingSettings) -> MethodTable {
        let method = |index: MethodIndex| Method {
            index,
            has_session: matches!(settings.methods[index].access, Access::Write | Access::SessionRead),
        };
        let methods = names.into_iter().enumerate().map(|(index, name)| (name, method(index)));
        MethodTable { methods: methods.collect() }
    }
}

/// Which request it is, and what it is about.
#[derive(Clone, Debug)]
pub struct RequestIdentity {
    /// Names it among the open ones of all clients.
    pub id: Arc<str>,
    /// Its method.
    pub method: MethodIndex,
    /// Its group.
    pub group: GroupNumber,
}

/// The session of a request, as far as the client tells it.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestSession {
    /// Its number.
    pub number: Option<u64>,
    /// How long ago its last write was committed, if the client says so.
    pub last_write: Option<TimeDelta>,
    /// What it has seen of the group, if the client carries a token. A read must show that much.
    pub seen: Option<LogPosition>,
}

/// A request as a client sent it, checked.
#[derive(Debug)]
pub struct ClientRequest {
    /// Which it is.
    pub identity: RequestIdentity,
    /// Its session.
    pub session: RequestSession,
    /// When its client gives it up.
    pub deadline: Timestamp,
    /// Its client says that it sent it before.
    pub client_retry: bool,
    /// Whom it is counted for, if requests are limited.
    pub client: Option<ClientKey>,
}

/// The text of a request's statement.
pub struct RequestText {
    /// The body of the Query message.
    pub body: Vec<u8>,
    /// Where the digits of its timeout are.
    pub timeout_digits: Range<usize>,
    /// The charge of its buffer.
    pub charge: BufferCharge,
}

impl ClientRequest {
    /// From the header of a statement that was read at `now`.
    ///
    /// # Errors
    /// It names an unknown method, or a position out of range.
    pub fn new(
        methods: &MethodTable,
        now: Timestamp,
        header: &RequestHeader,
    ) -> Result<ClientRequest, ClientError> {
        let unknown_method = ClientError::new(SqlState::UNDEFINED_OBJECT, "c names no known class");
        let method = *methods.methods.get(header.method).ok_or(unknown_method)?;
        let timeout = TimeDelta::from_millis(header.timeout_ms.min(MAX_TIMEOUT_MS));
        Ok(ClientRequest {
            identity: RequestIdentity { id: header.id.into(), method: method.index, group: header.group },
            session: RequestSession {
                number: header.key.filter(|_| method.has_session).map(session_number),
                last_write: last_write(now, header.after_ms)?,
                seen: None,
            },
            deadline: now + timeout,
            client_retry: header.is_retry,
            client: None,
        })
    }
}

/// Ignored, a position out of range would make a session's read one without a bound. It is given in whole milliseconds, as
/// endpoints' are: only one beyond it is sure to show what was written in it.
fn last_write(now: Timestamp, after_ms: Option<i64>) -> Result<Option<TimeDelta>, ClientError> {
    match after_ms.unwrap_or(0) {
        0 => Ok(None),
        millis if (1..MAX_POSITION_MS).contains(&millis) => {
            Ok(Some(now - Timestamp((millis + 1) * NANOS_PER_MILLI)))
        }
        _ => Err(ClientError::new(SqlState::DATETIME_FIELD_OVERFLOW, "after is out of range")),
    }
}

/// A session's number: its sixteen hex digits, or if it is named otherwise a hash of its name (FNV-1a).
fn session_number(key: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let hash = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    u64::from_str_radix(key, 16).unwrap_or_else(|_| key.bytes().fold(OFFSET_BASIS, hash))
}
