//! Health checks, and the queries of primary discovery: one coroutine each. They share the attempts' connections.

use crate::endpoints::connection::IoLimits;
use crate::endpoints::load_report;
use crate::endpoints::pool::ConnectionPool;
use crate::endpoints::query::{query, HEALTH_STATEMENT};
use crate::messages::control::{ConnectError, ControlMessage, HealthCheckEnd, QueryAnswer, QueryEnd};
use crate::runtime::cancellation::CancellationToken;
use may::sync::mpsc::Sender;
use routing::time::{TimeDelta, Timestamp};
use routing::{AttemptOutcome, EndpointIndex, EndpointReport};
use std::net::SocketAddr;

/// Who the endpoint is and how often its log passed to a new primary, by PostgreSQL's own functions.
const IDENTITY_STATEMENT: &str =
    "SELECT concat_ws(',', current_setting('cluster_name'), timeline_id) FROM pg_control_checkpoint()";

/// Reports the end of a health check exactly once: an endpoint whose check never ended would not be checked again.
struct HealthCheckGuard {
    control: Sender<ControlMessage>,
    end: Option<HealthCheckEnd>,
}

impl Drop for HealthCheckGuard {
    fn drop(&mut self) {
        if let Some(end) = self.end.take() {
            let _ = self.control.send(ControlMessage::HealthCheckEnded(end));
        }
    }
}

/// Asks an endpoint for its load report.
pub fn check_health(
    pool: &ConnectionPool,
    control: Sender<ControlMessage>,
    endpoint: EndpointIndex,
    addr: SocketAddr,
    timeout: TimeDelta,
) {
    // Until it has ended otherwise.
    let end = HealthCheckEnd {
        endpoint,
        outcome: AttemptOutcome::ConnectionLost,
        elapsed: timeout,
        report: EndpointReport::default(),
    };
    let mut guard = HealthCheckGuard { control, end: Some(end) };
    let started_at = pool.timers.now();
    let result = query_health(pool, addr, started_at + timeout);
    if let Some(end) = &mut guard.end {
        end.elapsed = pool.timers.now() - started_at;
        match result {
            Ok(answer) => {
                end.outcome = answer.outcome;
                end.report = answer.report;
            }
            Err(error) => end.outcome = error.outcome,
        }
    }
}

fn query_health(
    pool: &ConnectionPool,
    addr: SocketAddr,
    deadline: Timestamp,
) -> Result<QueryAnswer, ConnectError> {
    let cancellation = CancellationToken::default();
    let limits = IoLimits { deadline, cancellation: &cancellation };
    let result = query(pool, addr, HEALTH_STATEMENT, limits)?;
    let report = std::str::from_utf8(&result.column).map(load_report::parse).unwrap_or_default();
    Ok(QueryAnswer { outcome: result.outcome, report, identity: None })
}

/// Reports the end of a query exactly once, however its coroutine ends.
struct QueryGuard {
    control: Sender<ControlMessage>,
    end: Option<QueryEnd>,
}

impl Drop for QueryGuard {
    fn drop(&mut self) {
        if let Some(end) = self.end.take() {
            let _ = self.control.send(ControlMessage::QueryEnded(end));
        }
    }
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
    let mut guard = QueryGuard { control, end: Some(QueryEnd { endpoint, queried_at, answer }) };
    let answer = query_identity_and_health(pool, addr, queried_at + timeout, asks_identity);
    if let Some(end) = &mut guard.end {
        end.answer = answer;
    }
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
    let cancellation = CancellationToken::default();
    let limits = IoLimits { deadline, cancellation: &cancellation };
    let result = query(pool, addr, IDENTITY_STATEMENT, limits)?;
    Ok(String::from_utf8(result.column).unwrap_or_default())
}
