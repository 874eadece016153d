//! The counters and histograms for operators. Without an admin socket no recorder is installed, and each call returns
//! immediately.

use crate::runtime::terms::Term;
use metrics::{counter, histogram, Counter, Histogram};
use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};
use routing::time::TimeDelta;
use routing::{AttemptOutcome, MethodIndex};

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// The request was answered with a value.
    Value,
    /// The request was not executed, or can safely be retried.
    Rejected,
    /// The request may have been executed.
    Aborted,
    /// The request is invalid, or the position that its session has seen is lost.
    Error,
    /// The client disconnected before the response.
    ClientGone,
}

/// All kinds of responses, and their label values.
pub const RESPONSE_KINDS: [(ResponseKind, Term); 5] = [
    (ResponseKind::Value, Term::same("ok")),
    (ResponseKind::Rejected, Term::new("pushed back", "rejected")),
    (ResponseKind::Aborted, Term::same("aborted")),
    (ResponseKind::Error, Term::new("refused", "error")),
    (ResponseKind::ClientGone, Term::new("gone", "client_gone")),
];

/// All outcomes of attempts and health checks, and their label values.
pub const ATTEMPT_OUTCOMES: [(AttemptOutcome, Term); 9] = [
    (AttemptOutcome::Succeeded, Term::same("ok")),
    (AttemptOutcome::Failed, Term::new("errored", "failed")),
    (AttemptOutcome::Rejected, Term::new("full", "rejected")),
    (AttemptOutcome::TimedOut, Term::new("timed out", "timed_out")),
    (AttemptOutcome::Unreachable, Term::same("unreachable")),
    (AttemptOutcome::ConnectionLost, Term::new("broken", "connection_lost")),
    (AttemptOutcome::Cancelled, Term::new("withdrawn", "cancelled")),
    (AttemptOutcome::NotSent, Term::new("moot", "not_sent")),
    (AttemptOutcome::NotEligible, Term::new("lagged", "not_eligible")),
];

/// The upper bounds of the histograms' buckets, in seconds: from a tenth of a millisecond to the longest time that
/// clients wait.
const LATENCY_BUCKETS: [f64; 13] = [1e-4, 3e-4, 1e-3, 3e-3, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0];

/// The metrics of requests of one method.
struct MethodMetrics {
    responses: [Counter; RESPONSE_KINDS.len()],
    latency: Histogram,
}

/// The metrics of requests, attempts and health checks.
pub struct Metrics {
    methods: Vec<MethodMetrics>,
    attempts: [Counter; ATTEMPT_OUTCOMES.len()],
    attempt_latency: Histogram,
    health_checks: [Counter; ATTEMPT_OUTCOMES.len()],
}

impl MethodMetrics {
    fn new(name: &str) -> MethodMetrics {
        let response = |label: &'static str| counter!("gingerwick_rpcs_total", "method" => name.to_string(), "answer" => label);
        MethodMetrics {
            responses: RESPONSE_KINDS.map(|(_, label)| response(label.earlier)),
            latency: histogram!("gingerwick_rpc_seconds", "method" => name.to_string()),
        }
    }
}

impl Metrics {
    /// Creates the metrics for methods with these names. The metrics are recorded only if the recorder was
    /// installed before.
    pub fn new(methods: &[String]) -> Metrics {
        Metrics {
            methods: methods.iter().map(|name| MethodMetrics::new(name)).collect(),
            attempts: ATTEMPT_OUTCOMES
                .map(|(_, label)| counter!("gingerwick_call_outs_total", "outcome" => label.earlier)),
            attempt_latency: histogram!("gingerwick_call_out_seconds"),
            health_checks: ATTEMPT_OUTCOMES
                .map(|(_, label)| counter!("gingerwick_probes_total", "outcome" => label.earlier)),
        }
    }

    /// Counts a request that has ended, and records its latency. Does nothing if the method's index is unknown.
    pub fn request_answered(&self, method: MethodIndex, kind: ResponseKind, latency: TimeDelta) {
        let Some(method) = self.methods.get(method) else { return };
        if let Some(index) = RESPONSE_KINDS.iter().position(|(known, _)| *known == kind) {
            method.responses[index].increment(1);
        }
        method.latency.record(latency.as_secs_f64());
    }

    /// Counts an attempt that has ended, and records its latency.
    pub fn attempt_ended(&self, outcome: AttemptOutcome, latency: TimeDelta) {
        count(&self.attempts, outcome);
        self.attempt_latency.record(latency.as_secs_f64());
    }

    /// Counts a health check that has ended.
    pub fn health_check_ended(&self, outcome: AttemptOutcome) {
        count(&self.health_checks, outcome);
    }
}

/// Increments the counter of an outcome.
fn count(counters: &[Counter; ATTEMPT_OUTCOMES.len()], outcome: AttemptOutcome) {
    if let Some(index) = ATTEMPT_OUTCOMES.iter().position(|(known, _)| *known == outcome) {
        counters[index].increment(1);
    }
}

/// Installs the recorder of all metrics that are created from now on. The returned handle renders the metrics.
///
/// # Errors
/// A recorder is installed already.
pub fn install_recorder() -> Result<PrometheusHandle, BuildError> {
    PrometheusBuilder::new().set_buckets(&LATENCY_BUCKETS)?.install_recorder()
}
