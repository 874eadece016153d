//! Queries that the server itself sends to endpoints. The result of each is one row with one column.

use crate::endpoints::answer::read_answer;
use crate::endpoints::connection::{IoError, IoLimits, PeerConnection};
use crate::endpoints::pool::{AcquiredConnection, ConnectionPool};
use crate::messages::control::ConnectError;
use crate::protocol::{decode, encode};
use routing::AttemptOutcome;
use std::net::SocketAddr;

/// The result of a query.
pub struct QueryResult {
    /// How the query ended.
    pub outcome: AttemptOutcome,
    /// The bytes of the column; empty if the query failed.
    pub column: Vec<u8>,
}

/// The statement that returns an endpoint's load report.
pub const HEALTH_STATEMENT: &str = "SHOW health";

/// Sends a statement on a pooled or a new connection, and reads its result.
///
/// # Errors
/// No connection could be opened, or the statement was not sent.
pub fn query_endpoint(
    pool: &ConnectionPool,
    addr: SocketAddr,
    statement: &str,
    limits: IoLimits,
) -> Result<QueryResult, ConnectError> {
    loop {
        let AcquiredConnection { mut connection, is_reused } = pool.acquire(&addr, limits)?;
        match send_query(&mut connection, statement, limits) {
            Ok(()) => {}
            // The endpoint closed the connection while it was idle in the pool.
            Err(IoError::ConnectionLost) if is_reused => continue,
            Err(_) => return Err(AttemptOutcome::Unreachable.into()),
        }
        let answer = read_answer(connection, limits);
        if let Some(connection) = answer.connection {
            pool.return_after_answer(addr, connection);
        }
        let column = decode::first_row_value(&answer.value).unwrap_or_default().to_vec();
        return Ok(QueryResult { outcome: answer.outcome, column });
    }
}

/// Sends a statement in a Query message.
///
/// # Errors
/// The connection was lost, the deadline passed or the query was cancelled before the last byte was sent.
pub fn send_query(connection: &mut PeerConnection, statement: &str, limits: IoLimits) -> Result<(), IoError> {
    let mut message = Vec::new();
    encode::query(&mut message, statement);
    connection.write(&[&message], limits)
}
