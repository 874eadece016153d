//! The request of a client: the header of its statement, checked against the configuration, and the statement's text.

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

/// The exclusive upper bound of a position, in Unix milliseconds: a time in the year 2255.
const MAX_POSITION_MS: i64 = 9_000_000_000_000;
/// The maximum timeout of a request, in milliseconds: a day. Longer timeouts are reduced to this one.
const MAX_TIMEOUT_MS: i64 = 86_400_000;
/// The error for a request whose method, the value of `c`, is not in the configuration.
const UNKNOWN_METHOD: ClientError = ClientError::new(SqlState::UNDEFINED_OBJECT, "c names no known class");
/// The error for a request whose last write, the value of `after`, is not a valid position.
const POSITION_OUT_OF_RANGE: ClientError =
    ClientError::new(SqlState::DATETIME_FIELD_OVERFLOW, "after is out of range");

/// What the server needs to know about a method to check the header of a request.
#[derive(Clone, Copy)]
struct Method {
    index: MethodIndex,
    /// The key in the method's statements identifies a session.
    has_session: bool,
}

/// The methods of the configuration, by name.
pub struct MethodTable {
    methods: HashMap<String, Method>,
}

impl MethodTable {
    /// Creates a table of methods. The names are in the order of `settings.methods`.
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
    /// The client's id of the request, which must be unique among the open requests of all clients.
    pub id: Arc<str>,
    /// The index of the method in the settings of the routing policy.
    pub method: MethodIndex,
    /// The number of the group to which the request is sent.
    pub group: GroupNumber,
}

/// What a client has specified about the session of a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestSession {
    /// The number of the session; `None` if the request belongs to no session.
    pub number: Option<u64>,
    /// The time since the session's last write was committed; `None` if the client has not specified it.
    pub since_last_write: Option<TimeDelta>,
    /// The position in the group's log that the session has seen; `None` if the client has no session token, or the
    /// session has seen no position of the group. A read must be served from a log that contains the position.
    pub seen_position: Option<LogPosition>,
}

/// A client's request whose header was checked.
#[derive(Debug)]
pub struct ClientRequest {
    /// The id, method and group of the request.
    pub identity: RequestIdentity,
    /// What the client has specified about its session.
    pub session: RequestSession,
    /// When the client's timeout expires.
    pub deadline: Timestamp,
    /// The client has marked the request as a retry of an earlier one.
    pub client_retry: bool,
    /// The client whose limits apply to the request; `None` if the request is not limited.
    pub client: Option<ClientKey>,
}

/// The text of a request's statement.
pub struct RequestText {
    /// The body of the Query message.
    pub body: Vec<u8>,
    /// Where the body contains the digits of the client's timeout, which are replaced when the request is sent.
    pub timeout_digits: Range<usize>,
    /// The memory of the request: its body, its state in all components, and its answer up to a usual size.
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
        let method = *methods.methods.get(header.method).ok_or(UNKNOWN_METHOD)?;
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

/// The time since the session's last write, whose position is `after_ms` in Unix milliseconds; `None` if the client
/// has specified no position, or 0.
///
/// Positions are in whole milliseconds, so only a position in the next millisecond is sure to include the write.
///
/// # Errors
/// The position is out of range. If an invalid position were ignored, the session's reads would have no staleness
/// bound.
fn since_last_write(now: Timestamp, after_ms: Option<i64>) -> Result<Option<TimeDelta>, ClientError> {
    match after_ms.unwrap_or(0) {
        0 => Ok(None),
        millis if (1..MAX_POSITION_MS).contains(&millis) => {
            Ok(Some(now - Timestamp((millis + 1) * NANOS_PER_MILLI)))
        }
        _ => Err(POSITION_OUT_OF_RANGE),
    }
}

/// The number of the session with this key: the key as a hexadecimal number or, if the key is not such a number,
/// its FNV-1a hash.
fn session_number(key: &str) -> u64 {
    const HEXADECIMAL: u32 = 16;
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let hash = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    u64::from_str_radix(key, HEXADECIMAL).unwrap_or_else(|_| key.bytes().fold(OFFSET_BASIS, hash))
}
