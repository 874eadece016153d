//! A correct history passes, and one that breaks one guarantee is reported for that one.

mod support;

use history_checker::{
    check, Answer, FateAnswer, History, Kind, RequestRecord, Rule, Violation, FATE_UNKNOWN, SESSION_LOST,
};
use std::collections::BTreeMap;
use support::{at, execution, record, value};

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
    let router_killed =
        RequestRecord { router_killed: true, ..record("x", Kind::Write, 1_005, Answer::Missing) };
    let keyed = record("t", Kind::KeyedWrite, 1_006, Answer::Aborted);
    let keyed_again = record("t", Kind::KeyedWrite, 1_007, value("t", at(0, 1_006)));
    let fate = |id: &str, answer| FateAnswer { id: id.into(), answered_ms: 1_200, answer };
    History {
        without_session: vec![
            router_killed,
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
        staleness_bound_ms: 800,
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
            change: |history| request(history, "b").has_extra_answer = true,
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
