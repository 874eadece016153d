//! Health checks and the queries of primary discovery. Each runs in its own coroutine, on connections from the same
//! pool as attempts.

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

/// The statement that returns an endpoint's cluster name and timeline, `name,timeline`, by PostgreSQL's own
/// functions. The timeline increases with each promotion.
const IDENTITY_STATEMENT: &str =
    "SELECT concat_ws(',', current_setting('cluster_name'), timeline_id) FROM pg_control_checkpoint()";

/// Reports the end of a health check exactly once, even if its coroutine panics: an endpoint is not checked again
/// before its last check has ended.
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

/// Queries an endpoint's load report and reports the end of the health check to the control loop.
pub fn check_health(
    pool: &ConnectionPool,
    control: Sender<ControlMessage>,
    endpoint: EndpointIndex,
    addr: SocketAddr,
    timeout: TimeDelta,
) {
    // The result if the coroutine panics.
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

/// Queries an endpoint's load report.
///
/// # Errors
/// No connection could be opened, or the statement was not sent.
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

/// Reports the end of a discovery query exactly once, even if its coroutine panics.
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

/// A query of primary discovery.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryQuery {
    /// The endpoint to query.
    pub endpoint: EndpointIndex,
    /// The endpoint's address.
    pub addr: SocketAddr,
    /// Query the endpoint's identity as well as its load report.
    pub with_identity: bool,
}

/// Queries an endpoint for primary discovery and reports the answer to the control loop.
pub fn query_for_discovery(
    pool: &ConnectionPool,
    control: Sender<ControlMessage>,
    query: &DiscoveryQuery,
    timeout: TimeDelta,
) {
    let queried_at = pool.timers.now();
    let answer = Err(AttemptOutcome::ConnectionLost.into());
    let end = QueryEnd { endpoint: query.endpoint, queried_at, answer };
    let mut guard = QueryGuard { control, end: Some(end) };
    let answer = query_identity_and_health(pool, query, queried_at + timeout);
    if let Some(end) = &mut guard.end {
        end.answer = answer;
    }
}

/// Queries an endpoint's load report, after its identity if that is wanted.
///
/// # Errors
/// No connection could be opened, or a statement was not sent.
fn query_identity_and_health(
    pool: &ConnectionPool,
    query: &DiscoveryQuery,
    deadline: Timestamp,
) -> Result<QueryAnswer, ConnectError> {
    let addr = query.addr;
    let identity = if query.with_identity { Some(query_identity(pool, addr, deadline)?) } else { None };
    let answer = query_health(pool, addr, deadline)?;
    Ok(QueryAnswer { identity, ..answer })
}

/// Queries an endpoint's identity. An identity that is not UTF-8 becomes empty, which matches no endpoint's name.
///
/// # Errors
/// No connection could be opened, or the statement was not sent.
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
