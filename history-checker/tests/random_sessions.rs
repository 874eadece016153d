//! Random sessions that are served correctly pass, and are reported with one answer that is too old.

mod support;

use history_checker::{check, Answer, Execution, History, Kind, LogPoint, RequestRecord, Rule, SESSION_LOST};
use proptest::prelude::*;
use proptest_support::seeded_cases;
use std::collections::BTreeMap;
use support::{at, execution, record, value};

/// What one step of a random sequence does, 10 ms after the one before.
#[derive(Clone, Copy, Debug)]
enum Step {
    Write,
    /// A read from an endpoint so many milliseconds behind.
    Read {
        lag_ms: i64,
    },
    /// A failover that loses the last milliseconds of the log.
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

/// One session served by endpoints that keep every guarantee.
#[derive(Default)]
struct CorrectSession {
    requests: Vec<RequestRecord>,
    executions: Vec<Execution>,
    /// Where each later branch of the log forked off, in milliseconds.
    forks: Vec<i64>,
    seen: Vec<LogPoint>,
    /// The last read since a loss that had to show something, and a point just before that.
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

    /// A request that an endpoint at this time of the log answers, or the next one that has what the session saw.
    fn request(&mut self, id: &str, now: i64, kind: Kind, endpoint_ms: i64) {
        if self.seen.iter().any(|point| self.is_lost(point)) {
            self.seen.clear();
            self.last_read = None;
            self.requests.push(record(id, kind, now, Answer::Error(SESSION_LOST.into())));
            return;
        }
        let branch = self.forks.len();
        let latest_seen = self.seen.iter().map(|point| point.position_ms).max().unwrap_or(0);
        let point = at(branch, if kind == Kind::Write { now } else { endpoint_ms.max(latest_seen) });
        if kind == Kind::Write {
            self.executions.push(execution(id, point));
        } else if latest_seen > 0 {
            self.last_read = Some((self.requests.len(), at(branch, latest_seen - 1)));
        }
        self.seen.push(point);
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

    /// Sessions over any failovers, served by endpoints that keep every guarantee, have no violation; with the answer
    /// to one read replaced by an older one they have.
    #[test]
    fn correct_sessions_pass_and_one_older_answer_is_reported(
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
