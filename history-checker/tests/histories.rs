//! The checker itself: honest histories pass, and a history that breaks one guarantee is reported for that one.

use history_checker::{
    check, Answer, Execution, FateAnswer, History, Kind, LogPoint, RequestRecord, Rule, Violation,
    FATE_UNKNOWN, SESSION_LOST,
};
use proptest::prelude::*;
use proptest_support::seeded_cases;
use std::collections::BTreeMap;

fn value(id: &str, point: LogPoint) -> Answer {
    Answer::Value(format!("{id} {} {} {}", point.at_ms, point.branch, point.at_ms))
}

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

fn execution(id: &str, point: LogPoint) -> Execution {
    Execution { id: id.to_string(), group: 1, point, at_primary: true }
}

fn at(branch: usize, at_ms: i64) -> LogPoint {
    LogPoint { branch, at_ms }
}

/// A session that writes at 1,000, reads up to 1,010, is told at 1,120 that a failover lost all beyond 990, and
/// writes on; a write without an answer beside it.
fn honest() -> History {
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
            // The tail took it along, and its group's memory of it.
            execution("t", at(0, 1_006)),
            execution("t", at(1, 1_125)),
            execution("a", at(1, 1_130)),
        ],
        forks: BTreeMap::from([(1, vec![0, 990])]),
        bound_ms: 800,
        ..History::default()
    }
}

#[test]
fn a_history_that_breaks_one_guarantee_is_reported_for_that_one_and_its_request() {
    assert!(check(&honest()).violations.is_empty(), "{:?}", check(&honest()).violations);
    type Change = fn(&mut History);
    let breaks: [(&str, Rule, &str, Change); 23] = [
        ("no answer", Rule::OneAnswer, "b", |h| h.sessions[0][4].answer = Answer::Missing),
        ("two answers", Rule::OneAnswer, "b", |h| h.sessions[0][4].surplus = true),
        ("another's value", Rule::OneAnswer, "b", |h| h.sessions[0][4].answer = value("w", at(1, 1_135))),
        ("a value that is none", Rule::OneAnswer, "b", |h| {
            h.sessions[0][4].answer = Answer::Value("b 1 x".into());
        }),
        ("an answer to a write that no endpoint ran", Rule::OneAnswer, "a", |h| {
            h.executions.retain(|execution| execution.id != "a");
        }),
        ("an id for two", Rule::OneAnswer, "p", |h| {
            h.without_session.push(record("p", Kind::Write, 1_060, Answer::Aborted));
        }),
        ("late", Rule::InTime, "r", |h| h.sessions[0][1].answered_ms += 400),
        ("run twice", Rule::AtMostOnce, "x", |h| h.executions.push(execution("x", at(0, 1_006)))),
        ("a keyed write run twice", Rule::AtMostOnce, "t", |h| {
            h.executions.push(execution("t", at(1, 1_126)));
        }),
        ("rejected and run", Rule::AtMostOnce, "x", |h| {
            h.without_session[0].answer = Answer::Rejected(None);
        }),
        ("run beside a loss", Rule::AtMostOnce, "l", |h| {
            h.sessions[0][2].kind = Kind::Write;
            h.executions.push(execution("l", at(1, 1_121)));
        }),
        ("old data", Rule::BoundedStaleness, "o", |h| {
            h.without_session.push(record("o", Kind::Read, 2_000, value("o", at(1, 1_199))));
        }),
        ("an old primary", Rule::WritesAtPrimary, "x", |h| h.executions[1].at_primary = false),
        ("not its own write", Rule::ReadYourWrites, "r", |h| {
            h.sessions[0][1].answer = value("r", at(0, 999));
        }),
        ("its own write on the log that was left", Rule::ReadYourWrites, "l", |h| {
            h.sessions[0][2].answer = value("l", at(1, 1_119));
        }),
        ("less than before", Rule::MonotonicReads, "b", |h| {
            let later = record("c", Kind::Read, 1_136, value("c", at(1, 1_136)));
            h.sessions[0].insert(4, later);
        }),
        ("a write beyond what was lost", Rule::WritesFollowReads, "l", |h| {
            h.sessions[0][2].kind = Kind::Write;
            h.sessions[0][2].answer = value("l", at(1, 1_120));
            h.executions.push(execution("l", at(1, 1_120)));
        }),
        ("a loss that is none", Rule::LossReported, "l", |h| {
            h.forks.insert(1, vec![0, 1_010]);
            h.executions.remove(2);
        }),
        ("never, and it ran", Rule::FateCorrect, "x", |h| h.fates[0].answer = Answer::Value("never".into())),
        ("never, and it ran later", Rule::FateCorrect, "p", |h| {
            h.executions.push(execution("p", at(1, 5_000)));
        }),
        ("ran, and it did not", Rule::FateCorrect, "p", |h| {
            h.fates[1].answer = Answer::Value("ran 1050".into());
        }),
        ("another commit", Rule::FateCorrect, "x", |h| h.fates[0].answer = Answer::Value("ran 1004".into())),
        ("told by an unknown code", Rule::FateCorrect, "t", |h| {
            h.fates[2].answer = Answer::Error("42601".into());
        }),
    ];
    for (name, rule, subject, change) in breaks {
        let mut history = honest();
        change(&mut history);
        let verdict = check(&history);
        let reported =
            verdict.violations.iter().any(|violation| violation.rule == rule && violation.subject == subject);
        assert!(reported, "{name}: {:?}", verdict.violations);
        // Some break two at once, as a write that ran and was rejected; none breaks what it doesn't touch.
        assert!(verdict.violations.len() <= 2, "{name}: {:?}", verdict.violations);
    }
    let mut history = honest();
    let (rule, subject, detail) = (Rule::DrainGrace, "s-1".to_string(), "got one".to_string());
    history.endpoint_violations.push(Violation { rule, subject, detail });
    assert_eq!(check(&history).count(Rule::DrainGrace), 1, "what endpoints saw themselves counts");
}

proptest! {
    #![proptest_config(seeded_cases(256, 20_26))]

    /// Sessions over any failovers, served by endpoints that keep every guarantee, are reported for nothing; the
    /// same with one answer from an endpoint that is before what was seen are reported.
    #[test]
    fn honest_sessions_pass_and_one_step_back_does_not(
        steps in prop::collection::vec((0..6u8, 0..500i64), 2..60),
    ) {
        let (mut forks, mut seen) = (vec![0], Vec::<LogPoint>::new());
        let (mut session, mut executions) = (Vec::new(), Vec::new());
        let mut back = None;
        for (index, (step, lag)) in steps.into_iter().enumerate() {
            let (id, now) = (format!("i{index}"), 10_000 + 10 * index as i64);
            let branch = forks.len() - 1;
            if step == 5 {
                forks.push((now - lag).max(forks[branch] + 1));
                continue;
            }
            let kind = if step == 0 { Kind::Write } else { Kind::Read };
            let is_lost = |point: &LogPoint| forks[point.branch + 1..].iter().any(|fork| point.at_ms > *fork);
            if seen.iter().any(is_lost) {
                seen.clear();
                back = None;
                session.push(record(&id, kind, now, Answer::Error(SESSION_LOST.into())));
                continue;
            }
            let most = seen.iter().map(|point| point.at_ms).max().unwrap_or(0);
            let point = at(branch, if step == 0 { now } else { (now - lag).max(most) });
            if step == 0 {
                executions.push(execution(&id, point));
            } else if most > 0 {
                back = Some((session.len(), at(branch, most - 1)));
            }
            seen.push(point);
            session.push(record(&id, kind, now, value(&id, point)));
        }
        let forks = BTreeMap::from([(1, forks)]);
        let mut history =
            History { sessions: vec![session], executions, forks, bound_ms: 800, ..History::default() };
        prop_assert!(check(&history).violations.is_empty(), "{:?}", check(&history).violations);
        if let Some((index, point)) = back {
            let id = history.sessions[0][index].id.clone();
            history.sessions[0][index].answer = value(&id, point);
            let verdict = check(&history);
            prop_assert!(verdict.count(Rule::ReadYourWrites) + verdict.count(Rule::MonotonicReads) > 0);
        }
    }
}
