//! The checker itself: correct histories pass, and a history that breaks one guarantee is reported for that one.

use history_checker::{
    check, Answer, Execution, FateAnswer, History, Kind, LogPoint, RequestRecord, Rule, Violation,
    FATE_UNKNOWN, SESSION_LOST,
};
use proptest::prelude::*;
use proptest_support::seeded_cases;
use std::collections::BTreeMap;

/// The value that an endpoint at this point of the log answers to the request.
fn value(id: &str, point: LogPoint) -> Answer {
    Answer::Value(format!("{id} {} {} {}", point.at_ms, point.branch, point.at_ms))
}

/// A request to group 1 that is answered after 5 ms of its 400.
fn record(id: &str, kind: Kind, sent_ms: i64, answer: Answer) -> RequestRecord {
    let (id, answered_ms) = (id.to_string(), sent_ms + 5);
    RequestRecord {
        id,
        group: 1,
        kind,
        sent_ms,
        answered_ms,
        timeout_ms: 400,
        answer,
        surplus: false,
        cut_off: false,
    }
}

/// The execution of a write at the primary of group 1.
fn execution(id: &str, point: LogPoint) -> Execution {
    Execution { id: id.to_string(), group: 1, point, at_primary: true }
}

fn at(branch: usize, at_ms: i64) -> LogPoint {
    LogPoint { branch, at_ms }
}

/// A correct history. A session writes at 1,000, reads up to 1,010, gets the report at 1,120 that a failover lost all
/// beyond 990, and writes again; beside it a write without an answer, one that was rejected and one that a client
/// repeated with its idempotency key.
fn correct_history() -> History {
    let session = vec![
        record("w", Kind::Write, 1_000, value("w", at(0, 1_000))),
        record("r", Kind::Read, 1_050, value("r", at(0, 1_010))),
        record("l", Kind::Read, 1_120, Answer::Error(SESSION_LOST.into())),
        record("a", Kind::Write, 1_130, value("a", at(1, 1_130))),
        record("b", Kind::Read, 1_140, value("b", at(1, 1_135))),
    ];
    let cut_off = RequestRecord { cut_off: true, ..record("x", Kind::Write, 1_005, Answer::Missing) };
    let keyed = record("t", Kind::KeyedWrite, 1_006, Answer::Aborted);
    let keyed_again = record("t", Kind::KeyedWrite, 1_007, value("t", at(0, 1_006)));
    let fate = |id: &str, answer| FateAnswer { id: id.into(), answered_ms: 1_200, answer };
    History {
        without_session: vec![
            cut_off,
            keyed,
            keyed_again,
            record("p", Kind::Write, 1_050, Answer::Rejected(Some(40))),
        ],
        sessions: vec![session],
        fates: vec![
            fate("x", Answer::Value("ran 1005".into())),
            fate("p", Answer::Value("never".into())),
            fate("t", Answer::Error(FATE_UNKNOWN.into())),
        ],
        executions: vec![
            execution("w", at(0, 1_000)),
            execution("x", at(0, 1_005)),
            // Lost with the tail of the log, and with it the deduplication record of its group.
            execution("t", at(0, 1_006)),
            execution("t", at(1, 1_125)),
            execution("a", at(1, 1_130)),
        ],
        forks: BTreeMap::from([(1, vec![0, 990])]),
        bound_ms: 800,
        ..History::default()
    }
}

/// A change to the correct history that breaks one guarantee, and what has to be reported for it.
struct Breach {
    name: &'static str,
    rule: Rule,
    /// The id of the request that is reported.
    subject: &'static str,
    change: fn(&mut History),
}

/// The first record of a request.
fn request<'h>(history: &'h mut History, id: &str) -> &'h mut RequestRecord {
    let requests = history.sessions.iter_mut().flatten().chain(&mut history.without_session);
    requests.into_iter().find(|request| request.id == id).expect("a request with this id")
}

/// The first execution of a request.
fn first_execution(history: &History, id: &str) -> usize {
    history.executions.iter().position(|execution| execution.id == id).expect("an execution with this id")
}

fn set_fate(history: &mut History, id: &str, answer: Answer) {
    let fate = history.fates.iter_mut().find(|fate| fate.id == id).expect("a fate with this id");
    fate.answer = answer;
}

/// Each breach is reported under its rule for its request, and at most one other violation.
fn assert_each_is_reported(breaches: &[Breach]) {
    for Breach { name, rule, subject, change } in breaches {
        let mut history = correct_history();
        change(&mut history);
        let violations = check(&history).violations;
        let is_reported =
            violations.iter().any(|violation| violation.rule == *rule && violation.subject == *subject);
        assert!(is_reported, "{name}: {violations:?}");
        // Some break two rules, as a write that was executed and rejected; none breaks what it does not touch.
        assert!(violations.len() <= 2, "{name}: {violations:?}");
    }
}

#[test]
fn a_correct_history_passes() {
    let violations = check(&correct_history()).violations;
    assert!(violations.is_empty(), "{violations:?}");
}

#[test]
fn violations_that_endpoints_saw_are_counted() {
    let mut history = correct_history();
    let (rule, subject, detail) = (Rule::DrainGrace, "s-1".to_string(), "got one".to_string());
    history.endpoint_violations.push(Violation { rule, subject, detail });
    assert_eq!(check(&history).count(Rule::DrainGrace), 1);
}

#[test]
fn breaches_in_answers_are_reported() {
    assert_each_is_reported(&[
        Breach {
            name: "no answer",
            rule: Rule::OneAnswer,
            subject: "b",
            change: |history| request(history, "b").answer = Answer::Missing,
        },
        Breach {
            name: "two answers",
            rule: Rule::OneAnswer,
            subject: "b",
            change: |history| request(history, "b").surplus = true,
        },
        Breach {
            name: "the value of another request",
            rule: Rule::OneAnswer,
            subject: "b",
            change: |history| request(history, "b").answer = value("w", at(1, 1_135)),
        },
        Breach {
            name: "a malformed value",
            rule: Rule::OneAnswer,
            subject: "b",
            change: |history| request(history, "b").answer = Answer::Value("b 1 x".into()),
        },
        Breach {
            name: "one id for two requests",
            rule: Rule::OneAnswer,
            subject: "p",
            change: |history| {
                history.without_session.push(record("p", Kind::Write, 1_060, Answer::Aborted));
            },
        },
    ]);
}

#[test]
fn late_answers_and_answers_without_an_execution_are_reported() {
    assert_each_is_reported(&[
        Breach {
            name: "late",
            rule: Rule::InTime,
            subject: "r",
            change: |history| request(history, "r").answered_ms += 400,
        },
        Breach {
            name: "an answer to a write that no endpoint executed",
            rule: Rule::OneAnswer,
            subject: "a",
            change: |history| history.executions.retain(|execution| execution.id != "a"),
        },
    ]);
}

#[test]
fn breaches_in_executions_are_reported() {
    assert_each_is_reported(&[
        Breach {
            name: "executed twice",
            rule: Rule::AtMostOnce,
            subject: "x",
            change: |history| history.executions.push(execution("x", at(0, 1_006))),
        },
        Breach {
            name: "a keyed write executed twice",
            rule: Rule::AtMostOnce,
            subject: "t",
            change: |history| history.executions.push(execution("t", at(1, 1_126))),
        },
        Breach {
            name: "rejected and executed",
            rule: Rule::AtMostOnce,
            subject: "x",
            change: |history| request(history, "x").answer = Answer::Rejected(None),
        },
        Breach {
            name: "executed despite the report of a loss",
            rule: Rule::AtMostOnce,
            subject: "l",
            change: |history| {
                request(history, "l").kind = Kind::Write;
                history.executions.push(execution("l", at(1, 1_121)));
            },
        },
        Breach {
            name: "executed at a former primary",
            rule: Rule::WritesAtPrimary,
            subject: "x",
            change: |history| {
                let nth = first_execution(history, "x");
                history.executions[nth].at_primary = false;
            },
        },
    ]);
}

#[test]
fn breaches_of_reads_are_reported() {
    assert_each_is_reported(&[
        Breach {
            name: "stale data",
            rule: Rule::BoundedStaleness,
            subject: "o",
            change: |history| {
                history.without_session.push(record("o", Kind::Read, 2_000, value("o", at(1, 1_199))));
            },
        },
        Breach {
            name: "older than its own write",
            rule: Rule::ReadYourWrites,
            subject: "r",
            change: |history| request(history, "r").answer = value("r", at(0, 999)),
        },
        Breach {
            name: "its own write missing on the new log",
            rule: Rule::ReadYourWrites,
            subject: "l",
            change: |history| request(history, "l").answer = value("l", at(1, 1_119)),
        },
        Breach {
            name: "older than an earlier read",
            rule: Rule::MonotonicReads,
            subject: "b",
            change: |history| {
                let newer = record("c", Kind::Read, 1_136, value("c", at(1, 1_136)));
                history.sessions[0].insert(4, newer);
            },
        },
    ]);
}

#[test]
fn breaches_about_losses_are_reported() {
    assert_each_is_reported(&[
        Breach {
            name: "a write after what was lost",
            rule: Rule::WritesFollowReads,
            subject: "l",
            change: |history| {
                let write = request(history, "l");
                write.kind = Kind::Write;
                write.answer = value("l", at(1, 1_120));
                history.executions.push(execution("l", at(1, 1_120)));
            },
        },
        Breach {
            name: "a loss reported where nothing was lost",
            rule: Rule::LossReported,
            subject: "l",
            change: |history| {
                history.forks.insert(1, vec![0, 1_010]);
                let lost = first_execution(history, "t");
                history.executions.remove(lost);
            },
        },
    ]);
}

#[test]
fn breaches_in_fates_are_reported() {
    assert_each_is_reported(&[
        Breach {
            name: "never, and it was executed",
            rule: Rule::FateCorrect,
            subject: "x",
            change: |history| set_fate(history, "x", Answer::Value("never".into())),
        },
        Breach {
            name: "never, and it was executed later",
            rule: Rule::FateCorrect,
            subject: "p",
            change: |history| history.executions.push(execution("p", at(1, 5_000))),
        },
        Breach {
            name: "ran, and it was not executed",
            rule: Rule::FateCorrect,
            subject: "p",
            change: |history| set_fate(history, "p", Answer::Value("ran 1050".into())),
        },
        Breach {
            name: "another commit time",
            rule: Rule::FateCorrect,
            subject: "x",
            change: |history| set_fate(history, "x", Answer::Value("ran 1004".into())),
        },
        Breach {
            name: "an unknown error code",
            rule: Rule::FateCorrect,
            subject: "t",
            change: |history| set_fate(history, "t", Answer::Error("42601".into())),
        },
    ]);
}

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
        let latest_seen = self.seen.iter().map(|point| point.at_ms).max().unwrap_or(0);
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
        self.forks[point.branch..].iter().any(|fork| point.at_ms > *fork)
    }

    fn into_history(self) -> History {
        let forks = [0].into_iter().chain(self.forks).collect();
        History {
            sessions: vec![self.requests],
            executions: self.executions,
            forks: BTreeMap::from([(1, forks)]),
            bound_ms: 800,
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
