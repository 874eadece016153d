//! What is counted, for whoever looks after the front. Where nobody does, nothing is installed that counts,
//! and each call ends at once.

use metrics::{counter, histogram, Counter, Histogram};
use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};
use routing::iface::{MethodIx, Outcome};
use routing::time::Span;

/// How an RPC was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Ok,
    PushedBack,
    Aborted,
    Refused,
    /// Its client left first.
    Gone,
}

const ENDINGS: [(Ending, &str); 5] = [
    (Ending::Ok, "ok"),
    (Ending::PushedBack, "pushed back"),
    (Ending::Aborted, "aborted"),
    (Ending::Refused, "refused"),
    (Ending::Gone, "gone"),
];

const OUTCOMES: [(Outcome, &str); 9] = [
    (Outcome::Ok, "ok"),
    (Outcome::Errored, "errored"),
    (Outcome::Full, "full"),
    (Outcome::TimedOut, "timed out"),
    (Outcome::Unreachable, "unreachable"),
    (Outcome::Broken, "broken"),
    (Outcome::Withdrawn, "withdrawn"),
    (Outcome::Moot, "moot"),
    (Outcome::Lagged, "lagged"),
];

/// Seconds: from a tenth of a millisecond to the longest that clients wait.
const BUCKETS: [f64; 13] = [1e-4, 3e-4, 1e-3, 3e-3, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0];

struct Method {
    endings: [Counter; 5],
    took: Histogram,
}

pub struct Tally {
    methods: Vec<Method>,
    call_outs: [Counter; 9],
    call_out_took: Histogram,
    probes: [Counter; 9],
}

impl Tally {
    /// For methods of these names. Whoever installs a recorder does so before.
    pub fn new(methods: &[String]) -> Tally {
        let method = |name: &String| Method {
            endings: ENDINGS.map(
                |(_, word)| counter!("gingerwick_rpcs_total", "method" => name.clone(), "answer" => word),
            ),
            took: histogram!("gingerwick_rpc_seconds", "method" => name.clone()),
        };
        Tally {
            methods: methods.iter().map(method).collect(),
            call_outs: OUTCOMES.map(|(_, word)| counter!("gingerwick_call_outs_total", "outcome" => word)),
            call_out_took: histogram!("gingerwick_call_out_seconds"),
            probes: OUTCOMES.map(|(_, word)| counter!("gingerwick_probes_total", "outcome" => word)),
        }
    }

    pub fn ended(&self, method: MethodIx, how: Ending, took: Span) {
        let Some(method) = self.methods.get(method) else { return };
        let nth = ENDINGS.iter().position(|(ending, _)| *ending == how);
        nth.into_iter().for_each(|nth| method.endings[nth].increment(1));
        method.took.record(took.secs());
    }

    pub fn called_out(&self, outcome: Outcome, took: Span) {
        count(&self.call_outs, outcome);
        self.call_out_took.record(took.secs());
    }

    pub fn probed(&self, outcome: Outcome) {
        count(&self.probes, outcome);
    }
}

fn count(counters: &[Counter; 9], outcome: Outcome) {
    let nth = OUTCOMES.iter().position(|(other, _)| *other == outcome);
    nth.into_iter().for_each(|nth| counters[nth].increment(1));
}

/// Has all that is counted from now on kept for whoever asks.
///
/// # Errors
/// Something else counts already.
pub fn install() -> Result<PrometheusHandle, BuildError> {
    PrometheusBuilder::new().set_buckets(&BUCKETS)?.install_recorder()
}
