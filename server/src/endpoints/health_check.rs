//! Health checks, and the queries of primary discovery: one coroutine each. They share the attempts' connections.

use crate::endpoints::completion_guard::CompletionGuard;
use crate::endpoints::connection::IoLimits;
use crate::endpoints::load_report;
use crate::endpoints::pool::ConnectionPool;
use crate::endpoints::query::{query, QueryResult, HEALTH_STATEMENT};
use crate::messages::control::{ConnectError, ControlMessage, HealthCheckEnd, QueryAnswer, QueryEnd};
use crate::runtime::cancellation::CancellationToken;
use may::sync::mpsc::Sender;
use routing::time::{TimeDelta, Timestamp};
use routing::{AttemptOutcome, EndpointIndex, EndpointReport};
use std::net::SocketAddr;

/// Who the endpoint is and how often its log passed to a new primary, by PostgreSQL's own functions.
const IDENTITY_STATEMENT: &str =
    "SELECT concat_ws(',', current_setting('cluster_name'), timeline_id) FROM pg_control_checkpoint()";

/// Asks an endpoint for its load report.
pub fn check_health(
    pool: &ConnectionPool,
    control: Sender<ControlMessage>,
    endpoint: EndpointIndex,
    addr: SocketAddr,
    timeout: TimeDelta,
) {
    let if_lost = HealthCheckEnd {
        endpoint,
        outcome: AttemptOutcome::ConnectionLost,
        elapsed: timeout,
        report: EndpointReport::default(),
    };
    let guard = CompletionGuard::new(control, if_lost, ControlMessage::HealthCheckEnded);
    let started_at = pool.timers.now();
    let result = query_health(pool, addr, started_at + timeout);
    let elapsed = pool.timers.now() - started_at;
    let (outcome, report) = match result {
        Ok(answer) => (answer.outcome, answer.report),
        Err(error) => (error.outcome, EndpointReport::default()),
    };
    guard.complete(HealthCheckEnd { endpoint, outcome, elapsed, report });
}

/// The column that the endpoint answers to a statement.
fn query_column(
    pool: &ConnectionPool,
    addr: SocketAddr,
    statement: &str,
    deadline: Timestamp,
) -> Result<QueryResult, ConnectError> {
    let cancellation = CancellationToken::default();
    query(pool, addr, statement, IoLimits { deadline, cancellation: &cancellation })
}

fn query_health(
    pool: &ConnectionPool,
    addr: SocketAddr,
    deadline: Timestamp,
) -> Result<QueryAnswer, ConnectError> {
    let result = query_column(pool, addr, HEALTH_STATEMENT, deadline)?;
    let report = std::str::from_utf8(&result.column).map(load_report::parse).unwrap_or_default();
    Ok(QueryAnswer { outcome: result.outcome, report, identity: None })
}

/// Asks an endpoint what primary discovery has to know of it.
pub fn query_for_discovery(
    pool: &ConnectionPool,
    control: Sender<ControlMessage>,
    endpoint: EndpointIndex,
    addr: SocketAddr,
    timeout: TimeDelta,
    asks_identity: bool,
) {
    let queried_at = pool.timers.now();
    let answer = Err(AttemptOutcome::ConnectionLost.into());
    let if_lost = QueryEnd { endpoint, queried_at, answer };
    let guard = CompletionGuard::new(control, if_lost, ControlMessage::QueryEnded);
    let answer = query_identity_and_health(pool, addr, queried_at + timeout, asks_identity);
    guard.complete(QueryEnd { endpoint, queried_at, answer });
}

fn query_identity_and_health(
    pool: &ConnectionPool,
    addr: SocketAddr,
    deadline: Timestamp,
    asks_identity: bool,
) -> Result<QueryAnswer, ConnectError> {
    let identity = if asks_identity { Some(query_identity(pool, addr, deadline)?) } else { None };
    let answer = query_health(pool, addr, deadline)?;
    Ok(QueryAnswer { identity, ..answer })
}

/// What cannot be read is no name, and so nobody's.
fn query_identity(
    pool: &ConnectionPool,
    addr: SocketAddr,
    deadline: Timestamp,
) -> Result<String, ConnectError> {
    let result = query_column(pool, addr, IDENTITY_STATEMENT, deadline)?;
    Ok(String::from_utf8(result.column).unwrap_or_default())
}
