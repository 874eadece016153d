//! Starts attempts, health checks and queries, each in a coroutine of its own.

use crate::endpoints::attempt::run_attempt;
use crate::endpoints::health_check::{check_health, query_for_discovery};
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

/// What attempts, health checks and queries need.
#[derive(Clone)]
pub struct AttemptDispatcher {
    /// Their connections.
    pub pool: Arc<ConnectionPool>,
    /// Whom they report to.
    pub control: Sender<ControlMessage>,
    /// How long health checks and queries may take.
    pub health_check_timeout: TimeDelta,
    /// The journal of writes, if there is one.
    pub journal: Option<Arc<WriteJournal>>,
    /// What is counted.
    pub metrics: Arc<Metrics>,
}

impl AttemptDispatcher {
    /// The timers.
    pub fn timers(&self) -> &Arc<Timers> {
        &self.pool.timers
    }

    /// Starts an attempt.
    pub fn start_attempt(&self, job: AttemptJob) {
        let this = self.clone();
        spawn(move || run_attempt(&this.pool, this.journal.as_deref(), this.control, &job));
    }

    /// Starts a health check.
    pub fn check_health(&self, endpoint: EndpointIndex, addr: SocketAddr) {
        let this = self.clone();
        spawn(move || check_health(&this.pool, this.control, endpoint, addr, this.health_check_timeout));
    }

    /// Starts a query of primary discovery.
    pub fn query(&self, endpoint: EndpointIndex, addr: SocketAddr, asks_identity: bool) {
        let this = self.clone();
        let timeout = self.health_check_timeout;
        spawn(move || {
            query_for_discovery(&this.pool, this.control, endpoint, addr, timeout, asks_identity);
        });
    }
}
