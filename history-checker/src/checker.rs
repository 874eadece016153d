//! Checks a history: the rules for single requests, for executions and for reported fates of writes.

use crate::history::{
    log_includes, Answer, AnswerValue, Execution, FateAnswer, History, Kind, LogPoint, RequestRecord,
    FATE_UNKNOWN,
};
use crate::verdict::{Rule, Verdict};
use std::collections::{HashMap, HashSet};

/// Reported fate of a write that was not executed and will never be executed.
const FATE_NEVER: &str = "never";
/// Reported fate of a write in flight.
const FATE_UNDER_WAY: &str = "under way";
/// Reported fate of an executed write, followed by its commit position if that is known.
const FATE_RAN: &str = "ran";

/// Checks one history and collects its violations.
pub(crate) struct Checker<'a> {
    pub history: &'a History,
    /// Executions by request id.
    executions: HashMap<&'a str, Vec<&'a Execution>>,
    pub verdict: Verdict,
}

/// Checks a history against all rules. The verdict includes the violations that the endpoints detected.
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

    /// Number of executions of a write that the live branch of its group's log includes.
    fn live_execution_count(&self, id: &str) -> usize {
        let is_live = |execution: &&&Execution| {
            let forks = self.history.forks_of(execution.group);
            log_includes(forks, LogPoint::current_end(forks), execution.point)
        };
        self.executions.get(id).into_iter().flatten().filter(is_live).count()
    }

    fn check_requests(&mut self) {
        let history = self.history;
        let mut ids = HashSet::new();
        for record in history.without_session.iter().chain(history.sessions.iter().flatten()) {
            self.check_request(record);
            // Only a write with an idempotency key may be sent more than once under the same id.
            if !ids.insert(&record.id) && record.kind != Kind::KeyedWrite {
                let detail = "is the id of more than one request".into();
                self.verdict.add_violation(Rule::OneAnswer, &record.id, detail);
            }
        }
    }

    fn check_executions(&mut self) {
        for execution in self.history.executions.iter().filter(|execution| !execution.at_primary) {
            let detail =
                format!("was executed on branch {}, not by the primary of its group", execution.point.branch);
            self.verdict.add_violation(Rule::WritesAtPrimary, &execution.id, detail);
        }
    }

    /// Checks the rules for a single request.
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
        if record.has_extra_answer || (*answer == Answer::Missing && !record.router_killed) {
            let detail = format!("has no answer or more than one ({answer:?}), exactly one is allowed");
            self.verdict.add_violation(Rule::OneAnswer, id, detail);
        }
        let took_ms = record.answered_ms - record.sent_ms;
        let max_ms = timeout_ms + self.history.scheduling_slack_ms;
        if took_ms > max_ms && !record.router_killed {
            let detail = format!("was answered after {took_ms} ms, at most {max_ms} ms are allowed");
            self.verdict.add_violation(Rule::InTime, id, detail);
        }
    }

    fn check_at_most_once(&mut self, record: &RequestRecord) {
        let id = &record.id;
        // A failover that loses an execution of a write also loses the group's deduplication record of its idempotency
        // key. The write may then be executed again, so only executions that the live branch includes count.
        let count = match record.kind {
            Kind::KeyedWrite => self.live_execution_count(id),
            Kind::Read | Kind::Write => self.execution_count(id),
        };
        if count > 1 {
            self.verdict.add_violation(
                Rule::AtMostOnce,
                id,
                format!("was executed {count} times, at most once is allowed"),
            );
        }
        // A write with an idempotency key may be rejected although an earlier attempt was executed: the client can
        // safely retry it.
        let rejected = matches!(record.answer, Answer::Rejected(_)) && record.kind == Kind::Write;
        if rejected && self.execution_count(id) > 0 {
            self.verdict.add_violation(Rule::AtMostOnce, id, "was executed although it was rejected".into());
        }
    }

    fn check_value(&mut self, record: &RequestRecord, value: &str) {
        let RequestRecord { id, kind, sent_ms, .. } = record;
        let is_read = *kind == Kind::Read;
        let parsed = AnswerValue::parse(value).filter(|parsed| parsed.id == id);
        if parsed.is_none() || (!is_read && self.execution_count(id) == 0) {
            let detail = format!("was answered with a value that was not created for it: {value}");
            self.verdict.add_violation(Rule::OneAnswer, id, detail);
        }
        let oldest_allowed_ms = sent_ms - self.history.staleness_bound_ms - self.history.network_slack_ms;
        if let Some(data) = parsed.filter(|data| is_read && data.consistent_until_ms < oldest_allowed_ms) {
            let (age_ms, max_ms) = (sent_ms - data.consistent_until_ms, sent_ms - oldest_allowed_ms);
            let detail = format!("was answered with data {age_ms} ms old, at most {max_ms} ms are allowed");
            self.verdict.add_violation(Rule::BoundedStaleness, id, detail);
        }
    }

    fn check_fate(&mut self, fate: &FateAnswer) {
        let executions = self.executions.get(fate.id.as_str()).into_iter().flatten();
        let points: Vec<LogPoint> = executions.map(|execution| execution.point).collect();
        let is_wrong = match &fate.answer {
            Answer::Value(value) if value == FATE_NEVER => !points.is_empty(),
            Answer::Value(value) if value == FATE_UNDER_WAY => false,
            Answer::Value(value) => {
                !points.iter().any(|point| matches_execution(value, *point, fate.answered_ms))
            }
            Answer::Error(code) => code != FATE_UNKNOWN,
            // No fate was reported, so there is nothing to check.
            Answer::Rejected(_) | Answer::Aborted | Answer::Missing => false,
        };
        if is_wrong {
            let detail =
                format!("has the executions {points:?}, but its fate was reported as {:?}", fate.answer);
            self.verdict.add_violation(Rule::FateCorrect, &fate.id, detail);
        }
    }
}

/// Whether the reported fate of an executed write matches the execution at `point`: the execution precedes the report,
/// and the reported commit position, if there is one, is that of the execution.
fn matches_execution(reported: &str, point: LogPoint, answered_ms: i64) -> bool {
    let Some(commit) = reported.strip_prefix(FATE_RAN).map(str::trim) else { return false };
    point.position_ms <= answered_ms && (commit.is_empty() || commit.parse() == Ok(point.position_ms))
}
