//! The rules, applied to the records of a run by the id of each request.

use crate::fault_soak::client::{Fate, RequestRecord};
use crate::fault_soak::endpoint::{Arrival, ArrivalLog};
use crate::fault_soak::instance::InstanceEnd;
use std::time::{Duration, Instant};

/// How long after its deadline a request may get its answer.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// How long after its client's close an attempt may still begin.
const LEAVE_GRACE: Duration = Duration::from_millis(100);
/// How much more time than its client has left an attempt may declare.
const TIMEOUT_SLACK: Duration = Duration::from_millis(150);
/// Requests that arrive later than this after the signal must be answered before the kill.
const ARRIVAL_GRACE: Duration = Duration::from_millis(700);
/// The time limits on sockets are this much longer than the rules say.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// Converts MiB to bytes by a shift.
const MIB_SHIFT: usize = 20;
/// Log lines by which the daemon reports that it has broken one of its own rules.
const VIOLATION_LINES: [&str; 2] = ["panicked", "violation"];

/// What was counted in a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Requests that were sent completely.
    pub requests: usize,
    /// Requests that got their value.
    pub served: usize,
    /// Requests that were rejected or failed.
    pub refused: usize,
    /// Requests whose client has left.
    pub left: usize,
    /// Requests that were answered late.
    pub late: usize,
    /// Requests that were not answered in time on a connection that stayed open.
    pub unanswered: usize,
    /// Valid requests of a flood that were executed.
    pub flood_executed: usize,
    /// Requests that clients have left behind in great numbers, not counted in the others.
    pub left_behind: usize,
    /// Requests that were not read before their connection was closed or their instance killed.
    pub not_read: usize,
    /// Faults that were injected into system calls.
    pub faults: usize,
    /// Instances that were killed because they had not exited in time.
    pub killed: usize,
    /// The most memory that an instance has used, in bytes.
    pub peak_memory_bytes: usize,
    /// The processor time that the instances have used until they were told to end.
    pub cpu_time: Duration,
}

/// The verdict on a run.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// What was counted.
    pub counts: Counts,
    /// The broken rules, one line each.
    pub violations: Vec<String>,
    /// The log of each instance.
    pub logs: Vec<String>,
    /// How long the answers to requests took, in ascending order.
    pub answer_times: Vec<Duration>,
}

/// Judges the records of a run.
pub fn judge(
    records: &[RequestRecord],
    arrivals: &ArrivalLog,
    ends: &[InstanceEnd],
    started: Instant,
) -> Verdict {
    let mut verdict = Verdict::default();
    for record in records {
        let end = &ends[record.instance];
        let arrivals = arrivals.of(&record.id);
        verdict.count(record, end);
        verdict.answer_times.extend(answer_time(record));
        verdict.violations.extend(broken_rules(record, &arrivals, end, started));
    }
    verdict.answer_times.sort();
    for (index, end) in ends.iter().enumerate() {
        verdict.logs.push(end.log.clone());
        verdict.counts.faults += end.faults;
        verdict.counts.killed += usize::from(end.killed_at.is_some());
        verdict.counts.peak_memory_bytes = verdict.counts.peak_memory_bytes.max(end.peak_memory_bytes);
        verdict.counts.cpu_time += end.cpu_time;
        verdict.violations.extend(broken_memory_limit(index, end));
        if let Some(early_end) = &end.early_end {
            let last_line = end.log.lines().last().unwrap_or_default();
            verdict.violations.push(format!(
                "instance {index} has ended before it was told to ({early_end}), faults {:?}, floods {:?}, last line of its log: {last_line}",
                end.plan.faults, end.plan.floods
            ));
        }
        for line in end.log.lines().filter(|line| VIOLATION_LINES.iter().any(|text| line.contains(text))) {
            verdict.violations.push(format!("instance {index} ({}): {line}", end.plan.faults));
        }
    }
    verdict
}

impl Verdict {
    /// The time within which this percentage of the answers came; zero if there were none.
    pub fn percentile(&self, percent: usize) -> Duration {
        let index = self.answer_times.len() * percent / 100;
        self.answer_times.get(index).or(self.answer_times.last()).copied().unwrap_or_default()
    }

    /// Adds the broken rules of requests that their clients have left behind, and counts these.
    pub fn add_left_behind(
        &mut self,
        records: &[RequestRecord],
        arrivals: &ArrivalLog,
        ends: &[InstanceEnd],
        started: Instant,
    ) {
        self.counts.left_behind += records.len();
        for record in records {
            let (end, arrivals) = (&ends[record.instance], arrivals.of(&record.id));
            self.violations.extend(broken_rules(record, &arrivals, end, started));
        }
    }

    fn count(&mut self, record: &RequestRecord, end: &InstanceEnd) {
        let counts = &mut self.counts;
        counts.requests += 1;
        counts.late +=
            usize::from(answer_time(record).is_some_and(|took| took > record.deadline + ANSWER_GRACE));
        counts.unanswered += usize::from(record.fate == Fate::Unanswered);
        match &record.fate {
            Fate::Value(_) => counts.served += 1,
            Fate::Rejected | Fate::Failed(_) => counts.refused += 1,
            Fate::Left => counts.left += 1,
            Fate::Closed { .. } if !was_read(record, end) => counts.not_read += 1,
            Fate::Closed { .. } | Fate::Unanswered => {}
        }
    }
}

/// The rule that an instance breaks by its use of memory.
fn broken_memory_limit(index: usize, end: &InstanceEnd) -> Option<String> {
    let (used, limit) = (end.peak_memory_bytes, end.plan.memory_mb << MIB_SHIFT);
    (used > limit).then(|| format!("instance {index} used {used} bytes of memory, its limit is {limit}"))
}

/// Whether the instance had read the request when it closed the connection.
fn was_read(record: &RequestRecord, end: &InstanceEnd) -> bool {
    let read_bytes = end.closed.read_bytes(record.port, record.connected_at);
    read_bytes.is_some_and(|read| read >= record.sent_bytes)
}

/// The rules that a request breaks, one line each.
fn broken_rules(
    record: &RequestRecord,
    arrivals: &[Arrival],
    end: &InstanceEnd,
    started: Instant,
) -> Vec<String> {
    let mut broken = broken_attempts(record, arrivals);
    broken.extend(broken_answer(record, end));
    broken.iter().map(|rule| describe(rule, record, arrivals, end, started)).collect()
}

/// The time from when a request was due to be handled until its fate was known.
fn time_to_end(record: &RequestRecord) -> Duration {
    let due_since = record.answered_before_at.map_or(record.sent_at, |at| at.max(record.sent_at));
    record.ended_at - due_since
}

/// How long the answer to a request took; `None` if it got none.
fn answer_time(record: &RequestRecord) -> Option<Duration> {
    let is_answered = matches!(record.fate, Fate::Value(_) | Fate::Rejected | Fate::Failed(_));
    is_answered.then(|| time_to_end(record))
}

/// The rule that the answer to a request breaks.
fn broken_answer(record: &RequestRecord, end: &InstanceEnd) -> Option<String> {
    let took = time_to_end(record);
    match &record.fate {
        Fate::Left => None,
        Fate::Value(value) if *value != record.id.as_bytes() => {
            Some(format!("wrong value {:?}", String::from_utf8_lossy(value)))
        }
        Fate::Value(_) | Fate::Rejected | Fate::Failed(_) => {
            (took > record.deadline + ANSWER_GRACE).then(|| format!("answered late, after {took:?}"))
        }
        Fate::Closed { half_answered: true } if end.killed_at.is_none() => Some("half an answer".into()),
        Fate::Closed { .. } => match end.killed_at {
            // A request that was completed after the kill was never taken.
            Some(killed_at) if record.sent_at >= killed_at => None,
            // The kill ended the connection, and only requests that arrived late must have been answered before.
            Some(killed_at) if record.ended_at >= killed_at => {
                let arrived_after = record.sent_at.saturating_duration_since(end.term_at);
                (arrived_after > ARRIVAL_GRACE + SOCKET_SLACK).then(|| {
                    format!("arrived {arrived_after:?} after SIGTERM and not answered before SIGKILL")
                })
            }
            _ => was_read(record, end).then(|| "read, and its connection closed without an answer".into()),
        },
        Fate::Unanswered => Some(format!("not answered within {took:?}")),
    }
}

/// The rules that the attempts of a request break.
fn broken_attempts(record: &RequestRecord, arrivals: &[Arrival]) -> Vec<String> {
    let mut broken = Vec::new();
    let executions = arrivals.iter().filter(|arrival| arrival.executed).count();
    if record.is_write && executions > 1 {
        broken.push(format!("executed {executions} times"));
    }
    if record.is_repeated {
        return broken;
    }
    let has_ended = matches!(record.fate, Fate::Left | Fate::Value(_) | Fate::Rejected | Fate::Failed(_));
    for arrival in arrivals {
        let after_end = arrival.at.saturating_duration_since(record.ended_at);
        if has_ended && after_end > LEAVE_GRACE + SOCKET_SLACK {
            broken.push(format!("forwarded {after_end:?} after it had ended"));
        }
        let left = (record.sent_at + record.deadline).saturating_duration_since(arrival.at);
        let declared = Duration::from_millis(arrival.timeout_ms);
        if declared > left + TIMEOUT_SLACK {
            broken.push(format!("declares {declared:?}, but its client has {left:?} left"));
        }
    }
    broken
}

/// One line with all that is known of a broken rule; times are since the start of the run.
fn describe(
    rule: &str,
    record: &RequestRecord,
    arrivals: &[Arrival],
    end: &InstanceEnd,
    started: Instant,
) -> String {
    let at = |at: Instant| at.saturating_duration_since(started).as_millis();
    let attempts: Vec<String> = arrivals
        .iter()
        .map(|arrival| {
            format!("{}ms(d={},executed={})", at(arrival.at), arrival.timeout_ms, arrival.executed)
        })
        .collect();
    format!(
        "{rule}: request {} of instance {} port {}, write={}, deadline {:?}, sent at {}ms, ended at {}ms as {:?}, \
         attempts {attempts:?}, SIGTERM at {}ms, killed at {:?}ms, faults {:?}",
        record.id,
        record.instance,
        record.port,
        record.is_write,
        record.deadline,
        at(record.sent_at),
        at(record.ended_at),
        record.fate,
        at(end.term_at),
        end.killed_at.map(at),
        end.plan.faults,
    )
}
