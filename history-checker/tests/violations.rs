//! Checks a correct history, which has no violations, and changes to it that violate a rule and must be reported.

mod support;

use history_checker::{
    check, Answer, FateAnswer, History, Kind, RequestRecord, Rule, Violation, FATE_UNKNOWN, SESSION_LOST,
};
use std::collections::BTreeMap;
use support::{at, execution, record, value};

/// A correct history of group 1, whose log forked at position 990. The requests are named by their ids:
/// - The session writes (`w`) and reads (`r`), is told that a failover lost what it observed beyond 990 (`l`), and
///   then writes (`a`) and reads (`b`) again.
/// - Without a session, `x` is a write whose answer is missing since the router was killed, `t` is a write that its
///   client retried with its idempotency key, and `p` is a rejected write.
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
            // The failover lost this execution and its deduplication record, so the retry was executed again.
            execution("t", at(0, 1_006)),
            execution("t", at(1, 1_125)),
            execution("a", at(1, 1_130)),
        ],
        forks: BTreeMap::from([(1, vec![0, 990])]),
        staleness_bound_ms: 800,
        ..History::default()
    }
}

/// A change to the correct history that violates a rule.
struct ViolationCase {
    name: &'static str,
    /// The rule that the check must report.
    rule: Rule,
    /// Id of the request that the check must report.
    subject: &'static str,
    change: fn(&mut History),
}

/// The first record with this request id. Sessions come before requests without a session.
fn request<'h>(history: &'h mut History, id: &str) -> &'h mut RequestRecord {
    let requests = history.sessions.iter_mut().flatten().chain(&mut history.without_session);
    requests.into_iter().find(|request| request.id == id).expect("a request with this id")
}

/// Index of the first execution of a request.
fn first_execution_index(history: &History, id: &str) -> usize {
    history.executions.iter().position(|execution| execution.id == id).expect("an execution with this id")
}

fn set_fate(history: &mut History, id: &str, answer: Answer) {
    let fate = history.fates.iter_mut().find(|fate| fate.id == id).expect("a fate with this id");
    fate.answer = answer;
}

/// Asserts that the check reports each case under its rule and for its request, with at most one other violation.
fn assert_each_is_reported(cases: &[ViolationCase]) {
    for ViolationCase { name, rule, subject, change } in cases {
        let mut history = correct_history();
        change(&mut history);
        let violations = check(&history).violations;
        let is_reported =
            violations.iter().any(|violation| violation.rule == *rule && violation.subject == *subject);
        assert!(is_reported, "{name}: {violations:?}");
        // Some changes violate two rules; none may lead to violations of rules that it does not affect.
        assert!(violations.len() <= 2, "{name}: {violations:?}");
    }
}

#[test]
fn a_correct_history_passes() {
    let violations = check(&correct_history()).violations;
    assert!(violations.is_empty(), "{violations:?}");
}

#[test]
fn violations_detected_by_endpoints_are_counted() {
    let mut history = correct_history();
    let (rule, subject, detail) =
        (Rule::DrainGrace, "s-1".to_string(), "received a statement after the drain grace".to_string());
    history.endpoint_violations.push(Violation { rule, subject, detail });
    assert_eq!(check(&history).count(Rule::DrainGrace), 1);
}

#[test]
fn missing_and_wrong_answers_are_reported() {
    assert_each_is_reported(&[
        ViolationCase {
            name: "no answer",
            rule: Rule::OneAnswer,
            subject: "b",
            change: |history| request(history, "b").answer = Answer::Missing,
        },
        ViolationCase {
            name: "two answers",
            rule: Rule::OneAnswer,
            subject: "b",
            change: |history| request(history, "b").has_extra_answer = true,
        },
        ViolationCase {
            name: "the value of another request",
            rule: Rule::OneAnswer,
            subject: "b",
            change: |history| request(history, "b").answer = value("w", at(1, 1_135)),
        },
        ViolationCase {
            name: "a malformed value",
            rule: Rule::OneAnswer,
            subject: "b",
            change: |history| request(history, "b").answer = Answer::Value("b 1 x".into()),
        },
        ViolationCase {
            name: "two requests with the same id",
            rule: Rule::OneAnswer,
            subject: "p",
            change: |history| {
                history.without_session.push(record("p", Kind::Write, 1_060, Answer::Aborted));
            },
        },
    ]);
}

#[test]
fn late_answers_and_answers_without_execution_are_reported() {
    assert_each_is_reported(&[
        ViolationCase {
            name: "answered after the timeout",
            rule: Rule::InTime,
            subject: "r",
            change: |history| request(history, "r").answered_ms += 400,
        },
        ViolationCase {
            name: "a value for a write that no endpoint executed",
            rule: Rule::OneAnswer,
            subject: "a",
            change: |history| history.executions.retain(|execution| execution.id != "a"),
        },
    ]);
}

#[test]
fn wrong_executions_are_reported() {
    assert_each_is_reported(&[
        ViolationCase {
            name: "a write without an idempotency key executed twice",
            rule: Rule::AtMostOnce,
            subject: "x",
            change: |history| history.executions.push(execution("x", at(0, 1_006))),
        },
        ViolationCase {
            name: "a write with an idempotency key executed twice on the live branch",
            rule: Rule::AtMostOnce,
            subject: "t",
            change: |history| history.executions.push(execution("t", at(1, 1_126))),
        },
        ViolationCase {
            name: "rejected and executed",
            rule: Rule::AtMostOnce,
            subject: "x",
            change: |history| request(history, "x").answer = Answer::Rejected(None),
        },
        ViolationCase {
            name: "executed, but answered with the error for lost data",
            rule: Rule::AtMostOnce,
            subject: "l",
            change: |history| {
                request(history, "l").kind = Kind::Write;
                history.executions.push(execution("l", at(1, 1_121)));
            },
        },
        ViolationCase {
            name: "executed by a former primary",
            rule: Rule::WritesAtPrimary,
            subject: "x",
            change: |history| {
                let index = first_execution_index(history, "x");
                history.executions[index].at_primary = false;
            },
        },
    ]);
}

#[test]
fn stale_reads_are_reported() {
    assert_each_is_reported(&[
        ViolationCase {
            name: "a read of data older than the staleness bound",
            rule: Rule::BoundedStaleness,
            subject: "o",
            change: |history| {
                history.without_session.push(record("o", Kind::Read, 2_000, value("o", at(1, 1_199))));
            },
        },
        ViolationCase {
            name: "a read of data older than the session's own write",
            rule: Rule::ReadYourWrites,
            subject: "r",
            change: |history| request(history, "r").answer = value("r", at(0, 999)),
        },
        ViolationCase {
            name: "a read on the new branch that lacks the session's own write",
            rule: Rule::ReadYourWrites,
            subject: "l",
            change: |history| request(history, "l").answer = value("l", at(1, 1_119)),
        },
        ViolationCase {
            name: "a read of data older than that of an earlier read",
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
fn wrong_handling_of_lost_data_is_reported() {
    assert_each_is_reported(&[
        ViolationCase {
            name: "a write on a branch that lacks observed data",
            rule: Rule::WritesFollowReads,
            subject: "l",
            change: |history| {
                let write = request(history, "l");
                write.kind = Kind::Write;
                write.answer = value("l", at(1, 1_120));
                history.executions.push(execution("l", at(1, 1_120)));
            },
        },
        ViolationCase {
            name: "the error for lost data without lost data",
            rule: Rule::LossReported,
            subject: "l",
            change: |history| {
                history.forks.insert(1, vec![0, 1_010]);
                let lost = first_execution_index(history, "t");
                history.executions.remove(lost);
            },
        },
    ]);
}

#[test]
fn wrong_fates_are_reported() {
    assert_each_is_reported(&[
        ViolationCase {
            name: "reported as never executed, but was executed",
            rule: Rule::FateCorrect,
            subject: "x",
            change: |history| set_fate(history, "x", Answer::Value("never".into())),
        },
        ViolationCase {
            name: "reported as never executed, but was executed later",
            rule: Rule::FateCorrect,
            subject: "p",
            change: |history| history.executions.push(execution("p", at(1, 5_000))),
        },
        ViolationCase {
            name: "reported as executed, but was not executed",
            rule: Rule::FateCorrect,
            subject: "p",
            change: |history| set_fate(history, "p", Answer::Value("ran 1050".into())),
        },
        ViolationCase {
            name: "reported with a wrong commit position",
            rule: Rule::FateCorrect,
            subject: "x",
            change: |history| set_fate(history, "x", Answer::Value("ran 1004".into())),
        },
        ViolationCase {
            name: "answered with an error other than an unknown fate",
            rule: Rule::FateCorrect,
            subject: "t",
            change: |history| set_fate(history, "t", Answer::Error("42601".into())),
        },
    ]);
}
