//! Health checks and role queries. Each runs in its own coroutine and uses connections of the same pool as attempts.

use crate::endpoints::completion_guard::CompletionGuard;
use crate::endpoints::connection::IoLimits;
use crate::endpoints::load_report;
use crate::endpoints::pool::ConnectionPool;
use crate::endpoints::query::{query_endpoint, QueryResult, HEALTH_STATEMENT};
use crate::messages::control::{
    ConnectError, ControlMessage, EndpointQueryAnswer, HealthCheckResult, RoleQueryResult,
};
use crate::runtime::cancellation::CancellationToken;
use may::sync::mpsc::Sender;
use routing::time::{TimeDelta, Timestamp};
use routing::{AttemptOutcome, EndpointIndex, EndpointReport};
use std::net::SocketAddr;

/// The statement that returns an endpoint's cluster name and timeline as `name,timeline`. It uses only functions of
/// PostgreSQL. The timeline increases with each promotion of a replica.
const IDENTITY_STATEMENT: &str =
    "SELECT concat_ws(',', current_setting('cluster_name'), timeline_id) FROM pg_control_checkpoint()";

/// Queries an endpoint's load report, and reports the result of the health check to the control loop.
pub fn check_health(
    pool: &ConnectionPool,
    control: Sender<ControlMessage>,
    endpoint: EndpointIndex,
    addr: SocketAddr,
    timeout: TimeDelta,
) {
    let after_panic = HealthCheckResult {
        endpoint,
        outcome: AttemptOutcome::ConnectionLost,
        elapsed: timeout,
        report: EndpointReport::default(),
    };
    let guard = CompletionGuard::new(control, after_panic, ControlMessage::HealthCheckEnded);
    let started_at = pool.timers.now();
    let result = EndpointQueries { pool, addr, deadline: started_at + timeout }.load_report();
    let elapsed = pool.timers.now() - started_at;
    let (outcome, report) = match result {
        Ok(answer) => (answer.outcome, answer.report),
        Err(error) => (error.outcome, EndpointReport::default()),
    };
    guard.complete(HealthCheckResult { endpoint, outcome, elapsed, report });
}

/// A query by which primary discovery learns an endpoint's role. The role is part of the load report.
#[derive(Clone, Copy, Debug)]
pub struct RoleQuery {
    /// The endpoint to query.
    pub endpoint: EndpointIndex,
    /// The address at which the endpoint is listed.
    pub addr: SocketAddr,
    /// Whether to query the endpoint's identity too, so that another endpoint at the address is recognized.
    pub with_identity: bool,
}

/// Runs a role query and reports the result to the control loop.
pub fn query_role(
    pool: &ConnectionPool,
    control: Sender<ControlMessage>,
    query: &RoleQuery,
    timeout: TimeDelta,
) {
    let queried_at = pool.timers.now();
    let answer = Err(AttemptOutcome::ConnectionLost.into());
    let RoleQuery { endpoint, addr, with_identity } = *query;
    let after_panic = RoleQueryResult { endpoint, queried_at, answer };
    let guard = CompletionGuard::new(control, after_panic, ControlMessage::RoleQueryEnded);
    let queries = EndpointQueries { pool, addr, deadline: queried_at + timeout };
    let answer = if with_identity { queries.identity_and_load_report() } else { queries.load_report() };
    guard.complete(RoleQueryResult { endpoint, queried_at, answer });
}

/// Queries to one endpoint, with a common deadline.
struct EndpointQueries<'a> {
    pool: &'a ConnectionPool,
    addr: SocketAddr,
    deadline: Timestamp,
}

impl EndpointQueries<'_> {
    /// Sends a statement and returns its result.
    ///
    /// # Errors
    /// No connection could be opened, or the statement was not sent.
    fn query(&self, statement: &str) -> Result<QueryResult, ConnectError> {
        let cancellation = CancellationToken::default();
        let limits = IoLimits { deadline: self.deadline, cancellation: &cancellation };
        query_endpoint(self.pool, self.addr, statement, limits)
    }

    /// Queries the endpoint's load report.
    ///
    /// # Errors
    /// As for [`EndpointQueries::query`].
    fn load_report(&self) -> Result<EndpointQueryAnswer, ConnectError> {
        let result = self.query(HEALTH_STATEMENT)?;
        let report = std::str::from_utf8(&result.column).map(load_report::parse).unwrap_or_default();
        Ok(EndpointQueryAnswer { outcome: result.outcome, report, identity: None })
    }

    /// Queries the endpoint's identity, `name,timeline`. An identity that is not UTF-8 becomes empty, which matches no
    /// endpoint's name.
    ///
    /// # Errors
    /// As for [`EndpointQueries::query`].
    fn identity(&self) -> Result<String, ConnectError> {
        let result = self.query(IDENTITY_STATEMENT)?;
        Ok(String::from_utf8(result.column).unwrap_or_default())
    }

    /// Queries the endpoint's identity and then its load report.
    ///
    /// # Errors
    /// As for [`EndpointQueries::query`].
    fn identity_and_load_report(&self) -> Result<EndpointQueryAnswer, ConnectError> {
        let identity = self.identity()?;
        Ok(EndpointQueryAnswer { identity: Some(identity), ..self.load_report()? })
    }
}
