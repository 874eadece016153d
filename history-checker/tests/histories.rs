//! The checker itself: honest histories pass, and a history that breaks one guarantee is blamed for that one.

use history_checker::{
    judge, Answer, Fate, History, Kind, Offence, Point, Record, Rule, Run, LOST, NOT_KNOWN,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

fn value(id: &str, point: Point) -> Answer {
    Answer::Value(format!("{id} {} {} {}", point.at_ms, point.branch, point.at_ms))
}

fn record(id: &str, kind: Kind, sent_ms: i64, answer: Answer) -> Record {
    let (id, answered_ms) = (id.to_string(), sent_ms + 5);
    Record { id, group: 1, kind, sent_ms, answered_ms, patience_ms: 400, answer, more: false, cut: false }
}

fn run(id: &str, point: Point) -> Run {
    Run { id: id.to_string(), group: 1, point, by_primary: true }
}

fn at(branch: usize, at_ms: i64) -> Point {
    Point { branch, at_ms }
}

/// A session that writes at 1,000, reads up to 1,010, is told at 1,120 that a switch lost all beyond 990, and
/// writes on; a write without an answer beside it.
fn honest() -> History {
    let session = vec![
        record("w", Kind::Write, 1_000, value("w", at(0, 1_000))),
        record("r", Kind::Read, 1_050, value("r", at(0, 1_010))),
        record("l", Kind::Read, 1_120, Answer::Error(LOST.into())),
        record("a", Kind::Write, 1_130, value("a", at(1, 1_130))),
        record("b", Kind::Read, 1_140, value("b", at(1, 1_135))),
    ];
    let cut = Record { cut: true, ..record("x", Kind::Write, 1_005, Answer::None) };
    let token = record("t", Kind::Tokened, 1_006, Answer::Aborted);
    let token_again = record("t", Kind::Tokened, 1_007, value("t", at(0, 1_006)));
    let fate = |id: &str, answer| Fate { id: id.into(), told_ms: 1_200, answer };
    History {
        loose: vec![cut, token, token_again, record("p", Kind::Write, 1_050, Answer::PushedBack(Some(40)))],
        sessions: vec![session],
        fates: vec![
            fate("x", Answer::Value("ran 1005".into())),
            fate("p", Answer::Value("never".into())),
            fate("t", Answer::Error(NOT_KNOWN.into())),
        ],
        runs: vec![
            run("w", at(0, 1_000)),
            run("x", at(0, 1_005)),
            // The tail took it along, and its group's memory of it.
            run("t", at(0, 1_006)),
            run("t", at(1, 1_125)),
            run("a", at(1, 1_130)),
        ],
        forks: BTreeMap::from([(1, vec![0, 990])]),
        bound_ms: 800,
        ..History::default()
    }
}

#[test]
fn a_history_that_breaks_one_guarantee_is_blamed_for_that_one_and_its_rpc() {
    assert!(judge(&honest()).offences.is_empty(), "{:?}", judge(&honest()).offences);
    type Change = fn(&mut History);
    let breaks: [(&str, Rule, &str, Change); 23] = [
        ("no answer", Rule::Lost, "b", |h| h.sessions[0][4].answer = Answer::None),
        ("two answers", Rule::Lost, "b", |h| h.sessions[0][4].more = true),
        ("another's value", Rule::Lost, "b", |h| h.sessions[0][4].answer = value("w", at(1, 1_135))),
        ("a value that is none", Rule::Lost, "b", |h| {
            h.sessions[0][4].answer = Answer::Value("b 1 x".into());
        }),
        ("an answer to a write that no store ran", Rule::Lost, "a", |h| h.runs.retain(|run| run.id != "a")),
        ("an id for two", Rule::Lost, "p", |h| {
            h.loose.push(record("p", Kind::Write, 1_060, Answer::Aborted));
        }),
        ("late", Rule::Late, "r", |h| h.sessions[0][1].answered_ms += 400),
        ("run twice", Rule::Twice, "x", |h| h.runs.push(run("x", at(0, 1_006)))),
        ("a token run twice", Rule::Twice, "t", |h| h.runs.push(run("t", at(1, 1_126)))),
        ("pushed back and run", Rule::Twice, "x", |h| {
            h.loose[0].answer = Answer::PushedBack(None);
        }),
        ("run beside a loss", Rule::Twice, "l", |h| {
            h.sessions[0][2].kind = Kind::Write;
            h.runs.push(run("l", at(1, 1_121)));
        }),
        ("old data", Rule::Stale, "o", |h| {
            h.loose.push(record("o", Kind::Read, 2_000, value("o", at(1, 1_199))));
        }),
        ("a former primary", Rule::Astray, "x", |h| h.runs[1].by_primary = false),
        ("not its own write", Rule::OwnWrites, "r", |h| h.sessions[0][1].answer = value("r", at(0, 999))),
        ("its own write on the log that was left", Rule::OwnWrites, "l", |h| {
            h.sessions[0][2].answer = value("l", at(1, 1_119));
        }),
        ("less than before", Rule::Monotonic, "b", |h| {
            let later = record("c", Kind::Read, 1_136, value("c", at(1, 1_136)));
            h.sessions[0].insert(4, later);
        }),
        ("a write beyond what was lost", Rule::WritesFollowReads, "l", |h| {
            h.sessions[0][2].kind = Kind::Write;
            h.sessions[0][2].answer = value("l", at(1, 1_120));
            h.runs.push(run("l", at(1, 1_120)));
        }),
        ("a loss that is none", Rule::Told, "l", |h| {
            h.forks.insert(1, vec![0, 1_010]);
            h.runs.remove(2);
        }),
        ("never, and it ran", Rule::Fate, "x", |h| h.fates[0].answer = Answer::Value("never".into())),
        ("never, and it ran later", Rule::Fate, "p", |h| h.runs.push(run("p", at(1, 5_000)))),
        ("ran, and it did not", Rule::Fate, "p", |h| h.fates[1].answer = Answer::Value("ran 1050".into())),
        ("another commit", Rule::Fate, "x", |h| h.fates[0].answer = Answer::Value("ran 1004".into())),
        ("told by an unknown code", Rule::Fate, "t", |h| {
            h.fates[2].answer = Answer::Error("42601".into());
        }),
    ];
    for (name, rule, whose, change) in breaks {
        let mut history = honest();
        change(&mut history);
        let verdict = judge(&history);
        let blamed = verdict.offences.iter().any(|offence| offence.rule == rule && offence.whose == whose);
        assert!(blamed, "{name}: {:?}", verdict.offences);
        // Some break two at once, as a write that ran and was pushed back; none breaks what it doesn't touch.
        assert!(verdict.offences.len() <= 2, "{name}: {:?}", verdict.offences);
    }
    let mut history = honest();
    let (rule, whose, words) = (Rule::Drains, "s-1".to_string(), "got one".to_string());
    history.seen.push(Offence { rule, whose, words });
    assert_eq!(judge(&history).of(Rule::Drains), 1, "what stores saw themselves counts");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(20_26),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Sessions over any switches, served by stores that keep every guarantee, are blamed for nothing; the
    /// same with one answer from a store that stands before what was seen are blamed.
    #[test]
    fn honest_sessions_pass_and_one_step_back_does_not(
        steps in prop::collection::vec((0..6u8, 0..500i64), 2..60),
    ) {
        let (mut forks, mut seen) = (vec![0], Vec::<Point>::new());
        let (mut session, mut runs) = (Vec::new(), Vec::new());
        let mut back = None;
        for (nth, (what, lag)) in steps.into_iter().enumerate() {
            let (id, now) = (format!("i{nth}"), 10_000 + 10 * nth as i64);
            let branch = forks.len() - 1;
            if what == 5 {
                forks.push((now - lag).max(forks[branch] + 1));
                continue;
            }
            let kind = if what == 0 { Kind::Write } else { Kind::Read };
            let gone = |seen: &Point| forks[seen.branch + 1..].iter().any(|fork| seen.at_ms > *fork);
            if seen.iter().any(gone) {
                seen.clear();
                back = None;
                session.push(record(&id, kind, now, Answer::Error(LOST.into())));
                continue;
            }
            let most = seen.iter().map(|seen| seen.at_ms).max().unwrap_or(0);
            let point = at(branch, if what == 0 { now } else { (now - lag).max(most) });
            if what == 0 {
                runs.push(run(&id, point));
            } else if most > 0 {
                back = Some((session.len(), at(branch, most - 1)));
            }
            seen.push(point);
            session.push(record(&id, kind, now, value(&id, point)));
        }
        let forks = BTreeMap::from([(1, forks)]);
        let mut history =
            History { sessions: vec![session], runs, forks, bound_ms: 800, ..History::default() };
        prop_assert!(judge(&history).offences.is_empty(), "{:?}", judge(&history).offences);
        if let Some((nth, point)) = back {
            let id = history.sessions[0][nth].id.clone();
            history.sessions[0][nth].answer = value(&id, point);
            let verdict = judge(&history);
            prop_assert!(verdict.of(Rule::OwnWrites) + verdict.of(Rule::Monotonic) > 0);
        }
    }
}
