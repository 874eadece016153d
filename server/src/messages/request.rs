//! A client's request: the header of its statement, checked against the configuration.

use crate::protocol::sqlstate::{ClientError, SqlState};
use crate::protocol::statement::RequestHeader;
use crate::runtime::clock::NANOS_PER_MILLI;
use crate::runtime::resource_limits::BufferCharge;
use admission::concurrency_limiter::ClientKey;
use routing::time::{TimeDelta, Timestamp};
use routing::{Access, MethodIndex, RoutingSettings};
use sessions::positions::{GroupNumber, LogPosition};
use std::collections::HashMap;
use std::ops::Range;
use std::sync::Arc;

/// Positions from this on are not valid times, in Unix milliseconds (the year 2255).
const MAX_POSITION_MS: i64 = 9_000_000_000_000;
/// The longest timeout of a client, in milliseconds: a day. Longer ones are reduced to it.
const MAX_TIMEOUT_MS: i64 = 86_400_000;

/// A method of the configuration.
#[derive(Clone, Copy)]
struct Method {
    index: MethodIndex,
    /// The key in the method's statements names the session.
    has_session: bool,
}

/// The methods by name.
pub struct MethodTable {
    methods: HashMap<String, Method>,
}

impl MethodTable {
    /// Creates a table from the names of the methods, in the order of the settings.
    pub fn new(names: Vec<String>, settings: &RoutingSettings) -> MethodTable {
        let method = |index: MethodIndex| Method {
            index,
            has_session: matches!(settings.methods[index].access, Access::Write | Access::SessionRead),
        };
        let methods = names.into_iter().enumerate().map(|(index, name)| (name, method(index)));
        MethodTable { methods: methods.collect() }
    }
}

/// The id, method and group of a request.
#[derive(Clone, Debug)]
pub struct RequestIdentity {
    /// The id, unique among the open requests of all clients.
    pub id: Arc<str>,
    /// The method.
    pub method: MethodIndex,
    /// The number of the group.
    pub group: GroupNumber,
}

/// The session of a request, as far as the client has specified it.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestSession {
    /// The number of the session, if the request has one.
    pub number: Option<u64>,
    /// The time since the session's last write was committed, if the client has specified it.
    pub since_last_write: Option<TimeDelta>,
    /// The position in the group's log that the session has seen, if the client carries a token. A read must be
    /// served from a log that contains it.
    pub seen_position: Option<LogPosition>,
}

/// A client's request whose header was checked.
#[derive(Debug)]
pub struct ClientRequest {
    /// The id, method and group.
    pub identity: RequestIdentity,
    /// The client's session.
    pub session: RequestSession,
    /// When the client's timeout expires.
    pub deadline: Timestamp,
    /// The client has marked the request as a retry.
    pub client_retry: bool,
    /// The client that the request is attributed to, if requests are limited.
    pub client: Option<ClientKey>,
}

/// The text of a request's statement.
pub struct RequestText {
    /// The body of the Query message.
    pub body: Vec<u8>,
    /// The range of the timeout's digits in the body.
    pub timeout_digits: Range<usize>,
    /// The charge for the body's memory.
    pub charge: BufferCharge,
}

impl ClientRequest {
    /// Checks the header of a statement that was read at `now`.
    ///
    /// # Errors
    /// The method is unknown, or the position of the last write is out of range.
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
                since_last_write: since_last_write(now, header.after_ms)?,
                seen_position: None,
            },
            deadline: now + timeout,
            client_retry: header.is_retry,
            client: None,
        })
    }
}

/// The time since the session's last write, whose position is `after_ms` in Unix milliseconds.
///
/// Positions are whole milliseconds, so only a position in the next millisecond is sure to include the write.
///
/// # Errors
/// The position is out of range. It is not ignored, because reads of the session would then have no bound on
/// staleness.
fn since_last_write(now: Timestamp, after_ms: Option<i64>) -> Result<Option<TimeDelta>, ClientError> {
    match after_ms.unwrap_or(0) {
        0 => Ok(None),
        millis if (1..MAX_POSITION_MS).contains(&millis) => {
            Ok(Some(now - Timestamp((millis + 1) * NANOS_PER_MILLI)))
        }
        _ => Err(ClientError::new(SqlState::DATETIME_FIELD_OVERFLOW, "after is out of range")),
    }
}

/// The number of a session: its key as a hexadecimal number, or the FNV-1a hash of a key that is not one.
fn session_number(key: &str) -> u64 {
    const HEXADECIMAL: u32 = 16;
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let hash = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    u64::from_str_radix(key, HEXADECIMAL).unwrap_or_else(|_| key.bytes().fold(OFFSET_BASIS, hash))
}
