//! Starts attempts, health checks and role queries, each in its own coroutine.

use crate::endpoints::attempt::run_attempt;
use crate::endpoints::health_check::{check_health, query_role, RoleQuery};
use crate::endpoints::pool::ConnectionPool;
use crate::messages::control::{AttemptJob, ControlMessage};
use crate::runtime::clock::Timers;
use crate::runtime::metrics::Metrics;
use crate::runtime::tasks::spawn;
use crate::storage::journal::WriteJournal;
use may::sync::mpsc::Sender;
use routing::time::TimeDelta;
use routing::EndpointIndex;
use std::net::SocketAddr;
use std::sync::Arc;

/// Starts attempts, health checks and role queries, and gives them the resources that they share.
#[derive(Clone)]
pub struct EndpointDispatcher {
    /// The pool of connections to endpoints.
    pub pool: Arc<ConnectionPool>,
    /// The channel to the control loop, for results.
    pub control: Sender<ControlMessage>,
    /// The timeout of health checks and role queries.
    pub health_check_timeout: TimeDelta,
    /// The write journal; `None` if writes are not recorded.
    pub journal: Option<Arc<WriteJournal>>,
    /// The counters and histograms of requests, attempts and health checks.
    pub metrics: Arc<Metrics>,
}

impl EndpointDispatcher {
    /// The timers of the process.
    pub fn timers(&self) -> &Arc<Timers> {
        &self.pool.timers
    }

    /// Starts an attempt. Its result is sent as [`ControlMessage::AttemptEnded`].
    pub fn start_attempt(&self, job: AttemptJob) {
        let this = self.clone();
        spawn(move || run_attempt(&this.pool, this.journal.as_deref(), this.control, &job));
    }

    /// Starts a health check. Its result is sent as [`ControlMessage::HealthCheckEnded`].
    pub fn check_health(&self, endpoint: EndpointIndex, addr: SocketAddr) {
        let this = self.clone();
        spawn(move || check_health(&this.pool, this.control, endpoint, addr, this.health_check_timeout));
    }

    /// Starts a role query. Its result is sent as [`ControlMessage::RoleQueryEnded`].
    pub fn query_role(&self, query: RoleQuery) {
        let this = self.clone();
        spawn(move || query_role(&this.pool, this.control, &query, this.health_check_timeout));
    }
}
