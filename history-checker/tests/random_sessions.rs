//! Checks random sessions: a correct one has no violations, and one with an outdated answer to a read has.

mod support;

use history_checker::{check, Answer, Execution, History, Kind, LogPoint, RequestRecord, Rule, SESSION_LOST};
use proptest::prelude::*;
use proptest_support::seeded_cases;
use std::collections::BTreeMap;
use support::{at, execution, record, value};

/// One step of a random session. Steps are 10 ms apart.
#[derive(Clone, Copy, Debug)]
enum Step {
    Write,
    /// A read from an endpoint with this replication lag.
    Read {
        lag_ms: i64,
    },
    /// A failover that loses the last `lost_ms` milliseconds of the log, at most back to the previous failover.
    FailOver {
        lost_ms: i64,
    },
}

fn any_step() -> impl Strategy<Value = Step> {
    (0..6u8, 0..500i64).prop_map(|(kind, ms)| match kind {
        0 => Step::Write,
        5 => Step::FailOver { lost_ms: ms },
        _ => Step::Read { lag_ms: ms },
    })
}

/// A session whose answers satisfy every guarantee.
#[derive(Default)]
struct CorrectSession {
    requests: Vec<RequestRecord>,
    executions: Vec<Execution>,
    /// Position at which each branch after the first one forked, in milliseconds.
    forks: Vec<i64>,
    /// Points that the session has observed since the last reported loss.
    observed: Vec<LogPoint>,
    /// Index of the last read that followed an observation, and a point 1 ms too old for that read.
    /// `None` after a reported loss.
    last_read: Option<(usize, LogPoint)>,
}

impl CorrectSession {
    fn apply(&mut self, id: &str, now: i64, step: Step) {
        match step {
            Step::Write => self.request(id, now, Kind::Write, now),
            Step::Read { lag_ms } => self.request(id, now, Kind::Read, now - lag_ms),
            Step::FailOver { lost_ms } => {
                let last = self.forks.last().copied().unwrap_or(0);
                self.forks.push((now - lost_ms).max(last + 1));
            }
        }
    }

    /// A request that is answered by an endpoint at position `endpoint_ms`, or at the latest observed position if that
    /// is greater. If a failover lost observed data, the answer is the error for that.
    fn request(&mut self, id: &str, now: i64, kind: Kind, endpoint_ms: i64) {
        if self.observed.iter().any(|point| self.is_lost(point)) {
            self.observed.clear();
            self.last_read = None;
            self.requests.push(record(id, kind, now, Answer::Error(SESSION_LOST.into())));
            return;
        }
        let branch = self.forks.len();
        let latest_observed = self.observed.iter().map(|point| point.position_ms).max().unwrap_or(0);
        let point = at(branch, if kind == Kind::Write { now } else { endpoint_ms.max(latest_observed) });
        if kind == Kind::Write {
            self.executions.push(execution(id, point));
        } else if latest_observed > 0 {
            self.last_read = Some((self.requests.len(), at(branch, latest_observed - 1)));
        }
        self.observed.push(point);
        self.requests.push(record(id, kind, now, value(id, point)));
    }

    fn is_lost(&self, point: &LogPoint) -> bool {
        self.forks[point.branch..].iter().any(|fork| point.position_ms > *fork)
    }

    fn into_history(self) -> History {
        let forks = [0].into_iter().chain(self.forks).collect();
        History {
            sessions: vec![self.requests],
            executions: self.executions,
            forks: BTreeMap::from([(1, forks)]),
            staleness_bound_ms: 800,
            ..History::default()
        }
    }
}

proptest! {
    #![proptest_config(seeded_cases(256, 20_26))]

    /// A correct session has no violations, whatever failovers happen. After its last read's answer is replaced by an
    /// older one, a violation is reported.
    #[test]
    fn correct_sessions_pass_and_an_outdated_read_is_reported(
        steps in prop::collection::vec(any_step(), 2..60),
    ) {
        let mut session = CorrectSession::default();
        for (index, step) in steps.into_iter().enumerate() {
            session.apply(&format!("i{index}"), 10_000 + 10 * index as i64, step);
        }
        let last_read = session.last_read;
        let mut history = session.into_history();
        prop_assert!(check(&history).violations.is_empty(), "{:?}", check(&history).violations);
        if let Some((index, older)) = last_read {
            let read = &mut history.sessions[0][index];
            read.answer = value(&read.id, older);
            let verdict = check(&history);
            prop_assert!(verdict.count(Rule::ReadYourWrites) + verdict.count(Rule::MonotonicReads) > 0);
        }
    }
}
