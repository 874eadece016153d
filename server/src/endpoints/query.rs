//! Queries of the server's own: one statement, one column.

use crate::endpoints::answer::read_answer;
use crate::endpoints::connection::{IoLimits, IoStop, PeerConnection};
use crate::endpoints::pool::ConnectionPool;
use crate::messages::control::ConnectError;
use crate::protocol::{decode, encode};
use routing::AttemptOutcome;
use std::net::SocketAddr;

/// The answer to a query.
pub struct QueryResult {
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Its one column.
    pub column: Vec<u8>,
}

/// The statement that asks for a load report.
pub const HEALTH_STATEMENT: &str = "SHOW health";

/// Sends one statement, on an idle connection or a new one.
pub fn query(
    pool: &ConnectionPool,
    addr: SocketAddr,
    statement: &str,
    limits: IoLimits,
) -> Result<QueryResult, ConnectError> {
    loop {
        let reused = pool.reuse(&addr, limits);
        let is_reused = reused.is_some();
        let mut connection = reused.map_or_else(|| pool.open(&addr, limits), Ok)?;
        connection.arm(limits);
        match send(&mut connection, statement, limits) {
            Ok(()) => {}
            // The endpoint closed it while it was idle.
            Err(IoStop::ConnectionLost) if is_reused => continue,
            Err(_) => return Err(AttemptOutcome::Unreachable.into()),
        }
        let answer = read_answer(connection, limits);
        if let Some(connection) = answer.connection {
            pool.give_back(addr, connection);
        }
        let column = decode::only_row(&answer.value).unwrap_or_default().to_vec();
        return Ok(QueryResult { outcome: answer.outcome, column });
    }
}

/// Sends a statement.
pub fn send(connection: &mut PeerConnection, statement: &str, limits: IoLimits) -> Result<(), IoStop> {
    let mut message = Vec::new();
    encode::query(&mut message, statement);
    connection.write(&[&message], limits)
}
