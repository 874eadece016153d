//! The judgement: what holds of each request by itself, of executions, and of what clients were told of writes.

use crate::history::{
    includes, Answer, Execution, FateAnswer, History, Kind, LogPoint, RequestRecord, ShownValue, FATE_UNKNOWN,
};
use crate::verdict::{Rule, Verdict};
use std::collections::{HashMap, HashSet};

/// What a client is told of a write that never ran, and never will.
const FATE_NEVER: &str = "never";
/// What a client is told of a write that is open.
const FATE_UNDER_WAY: &str = "under way";
/// What a client is told of a write that ran, with the position of its commit if that is known.
const FATE_RAN: &str = "ran";

pub(crate) struct Checker<'a> {
    pub history: &'a History,
    executions: HashMap<&'a str, Vec<&'a Execution>>,
    pub verdict: Verdict,
}

/// Judges a history by all rules.
pub fn check(history: &History) -> Verdict {
    let mut executions: HashMap<&str, Vec<&Execution>> = HashMap::new();
    for execution in &history.executions {
        executions.entry(&execution.id).or_default().push(execution);
    }
    let verdict = Verdict { violations: history.endpoint_violations.clone(), ..Verdict::default() };
    let mut checker = Checker { history, executions, verdict };
    checker.check_requests();
    checker.check_executions();
    history.sessions.iter().for_each(|session| checker.check_session(session));
    history.fates.iter().for_each(|fate| checker.check_fate(fate));
    checker.verdict
}

impl Checker<'_> {
    pub(crate) fn execution_count(&self, id: &str) -> usize {
        self.executions.get(id).map_or(0, Vec::len)
    }

    /// Executions on the log that goes on.
    fn lasting_execution_count(&self, id: &str) -> usize {
        let lasts = |execution: &&&Execution| {
            let forks = self.history.forks_of(execution.group);
            includes(forks, LogPoint::newest(forks), execution.point)
        };
        self.executions.get(id).into_iter().flatten().filter(lasts).count()
    }

    fn check_requests(&mut self) {
        let history = self.history;
        let mut ids = HashSet::new();
        for record in history.without_session.iter().chain(history.sessions.iter().flatten()) {
            self.check_request(record);
            // A write with a key may be sent again under its id; nothing else may.
            if !ids.insert(&record.id) && record.kind != Kind::KeyedWrite {
                self.verdict.report(Rule::OneAnswer, &record.id, "is the id of two requests".into());
            }
        }
    }

    fn check_executions(&mut self) {
        for execution in self.history.executions.iter().filter(|execution| !execution.at_primary) {
            let detail = format!("ran on branch {}, which is dead", execution.point.branch);
            self.verdict.report(Rule::WritesAtPrimary, &execution.id, detail);
        }
    }

    /// What holds of a request by itself.
    fn check_request(&mut self, record: &RequestRecord) {
        self.verdict.requests += 1;
        self.check_one_answer_in_time(record);
        self.check_at_most_once(record);
        if let Answer::Value(value) = &record.answer {
            self.verdict.succeeded += 1;
            self.check_value(record, value);
        }
    }

    fn check_one_answer_in_time(&mut self, record: &RequestRecord) {
        let RequestRecord { id, answer, timeout_ms, .. } = record;
        if record.surplus || (*answer == Answer::Missing && !record.cut_off) {
            let detail = format!("has no answer, or more than one ({answer:?})");
            self.verdict.report(Rule::OneAnswer, id, detail);
        }
        let took_ms = record.answered_ms - record.sent_ms;
        if took_ms > timeout_ms + self.history.scheduling_slack_ms && !record.cut_off {
            let detail = format!("was answered after {took_ms} ms, wanted within {timeout_ms}");
            self.verdict.report(Rule::InTime, id, detail);
        }
    }

    fn check_at_most_once(&mut self, record: &RequestRecord) {
        let id = &record.id;
        // The group's memory of a key goes with the tail that a failover loses, as the first execution does.
        let count = match record.kind {
            Kind::KeyedWrite => self.lasting_execution_count(id),
            Kind::Read | Kind::Write => self.execution_count(id),
        };
        if count > 1 {
            self.verdict.report(Rule::AtMostOnce, id, format!("ran {count} times"));
        }
        // That one with a key is rejected says nothing of the attempt before, and trying again is harmless.
        let rejected = matches!(record.answer, Answer::Rejected(_)) && record.kind == Kind::Write;
        if rejected && self.execution_count(id) > 0 {
            self.verdict.report(Rule::AtMostOnce, id, "ran and was rejected".into());
        }
    }

    fn check_value(&mut self, record: &RequestRecord, value: &str) {
        let RequestRecord { id, kind, sent_ms, .. } = record;
        let is_read = *kind == Kind::Read;
        let shown = ShownValue::parse(value).filter(|shown| shown.id == id);
        if shown.is_none() || (!is_read && self.execution_count(id) == 0) {
            let detail = format!("got a value that was not made for it: {value}");
            self.verdict.report(Rule::OneAnswer, id, detail);
        }
        let oldest = sent_ms - self.history.bound_ms - self.history.network_slack_ms;
        if let Some(shown) = shown.filter(|shown| is_read && shown.consistent_until_ms < oldest) {
            let age_ms = sent_ms - shown.consistent_until_ms;
            self.verdict.report(Rule::BoundedStaleness, id, format!("got data {age_ms} ms old"));
        }
    }

    fn check_fate(&mut self, fate: &FateAnswer) {
        let executions = self.executions.get(fate.id.as_str()).into_iter().flatten();
        let points: Vec<LogPoint> = executions.map(|execution| execution.point).collect();
        let is_wrong = match &fate.answer {
            Answer::Value(value) if value == FATE_NEVER => !points.is_empty(),
            Answer::Value(value) if value == FATE_UNDER_WAY => false,
            Answer::Value(value) => !points.iter().any(|point| fits(value, *point, fate.answered_ms)),
            Answer::Error(code) => code != FATE_UNKNOWN,
            // No answer, or that it cannot be told now: nothing was said of the write.
            Answer::Rejected(_) | Answer::Aborted | Answer::Missing => false,
        };
        if is_wrong {
            let detail = format!("told {:?}, ran {points:?}", fate.answer);
            self.verdict.report(Rule::FateCorrect, &fate.id, detail);
        }
    }
}

/// Whether "it ran", with the position of its commit perhaps, is true of an execution.
fn fits(reported: &str, point: LogPoint, answered_ms: i64) -> bool {
    let Some(commit) = reported.strip_prefix(FATE_RAN).map(str::trim) else { return false };
    point.at_ms <= answered_ms && (commit.is_empty() || commit.parse() == Ok(point.at_ms))
}
