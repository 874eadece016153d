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
    let result = EndpointQueries { pool, addr, deadline: started_at + timeout }.health();
    let elapsed = pool.timers.now() - started_at;
    let (outcome, report) = match result {
        Ok(answer) => (answer.outcome, answer.report),
        Err(error) => (error.outcome, EndpointReport::default()),
    };
    guard.complete(HealthCheckEnd { endpoint, outcome, elapsed, report });
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
    let queries = EndpointQueries { pool, addr, deadline: queried_at + timeout };
    let answer = if asks_identity { queries.identity_and_health() } else { queries.health() };
    guard.complete(QueryEnd { endpoint, queried_at, answer });
}

/// Queries to one endpoint that end by one deadline.
struct EndpointQueries<'a> {
    pool: &'a ConnectionPool,
    addr: SocketAddr,
    deadline: Timestamp,
}

impl EndpointQueries<'_> {
    fn column(&self, statement: &str) -> Result<QueryResult, ConnectError> {
        let cancellation = CancellationToken::default();
        let limits = IoLimits { deadline: self.deadline, cancellation: &cancellation };
        query(self.pool, self.addr, statement, limits)
    }

    fn health(&self) -> Result<QueryAnswer, ConnectError> {
        let result = self.column(HEALTH_STATEMENT)?;
        let report = std::str::from_utf8(&result.column).map(load_report::parse).unwrap_or_default();
        Ok(QueryAnswer { outcome: result.outcome, report, identity: None })
    }

    /// What cannot be read is no name, and so nobody's.
    fn identity(&self) -> Result<String, ConnectError> {
        let result = self.column(IDENTITY_STATEMENT)?;
        Ok(String::from_utf8(result.column).unwrap_or_default())
    }

    fn identity_and_health(&self) -> Result<QueryAnswer, ConnectError> {
        let identity = self.identity()?;
        Ok(QueryAnswer { identity: Some(identity), ..self.health()? })
    }
}
