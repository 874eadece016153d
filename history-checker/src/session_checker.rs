//! Checks the sequence of a session's requests: the session guarantees of Terry et al. (*Session Guarantees for Weakly
//! Consistent Replicated Data*, PDIS 1994), and that a session receives the error for lost data only if data that it
//! had observed was lost.

use crate::checker::Checker;
use crate::history::{log_includes, Answer, AnswerValue, Kind, LogPoint, RequestRecord, SESSION_LOST};
use crate::verdict::Rule;
use std::collections::BTreeMap;

/// Points on one group's log that a session has observed and that were not reported to the session as lost.
#[derive(Default)]
struct SessionView {
    /// Commits of the session's writes since the last violation.
    written: Vec<LogPoint>,
    /// States that the session's reads observed since the last violation.
    read: Vec<LogPoint>,
    /// All points, including those from before a violation.
    observed: Vec<LogPoint>,
}

impl Checker<'_> {
    pub(crate) fn check_session(&mut self, records: &[RequestRecord]) {
        let mut views: BTreeMap<i64, SessionView> = BTreeMap::new();
        for record in records {
            match &record.answer {
                Answer::Value(value) => {
                    let Some(value) = AnswerValue::parse(value) else { continue };
                    self.check_guarantees(views.entry(record.group).or_default(), record, value.point);
                }
                Answer::Error(code) if code == SESSION_LOST => {
                    let view = views.remove(&record.group).unwrap_or_default();
                    self.check_loss(&view, record);
                }
                _ => {}
            }
        }
    }

    fn check_guarantees(&mut self, view: &mut SessionView, record: &RequestRecord, point: LogPoint) {
        let forks = self.history.forks_of(record.group);
        let includes_all =
            |earlier: &[LogPoint]| earlier.iter().all(|seen| log_includes(forks, point, *seen));
        let (has_writes, has_reads) = (includes_all(&view.written), includes_all(&view.read));
        let is_read = record.kind == Kind::Read;
        if !(has_writes && has_reads) {
            // Later answers are compared only with this one, so that each violation is reported once.
            *view = SessionView { observed: std::mem::take(&mut view.observed), ..SessionView::default() };
        }
        view.observed.push(point);
        let points = if is_read { &mut view.read } else { &mut view.written };
        points.push(point);
        let violated = match (is_read, has_writes, has_reads) {
            (_, true, true) => return,
            (false, ..) => Rule::WritesFollowReads,
            (true, false, _) => Rule::ReadYourWrites,
            (true, true, false) => Rule::MonotonicReads,
        };
        let detail = format!("was answered at {point:?}, which lacks data that the session had observed");
        self.verdict.add_violation(violated, &record.id, detail);
    }

    fn check_loss(&mut self, view: &SessionView, record: &RequestRecord) {
        let forks = self.history.forks_of(record.group);
        let current_end = LogPoint::current_end(forks);
        if view.observed.iter().all(|seen| log_includes(forks, current_end, *seen)) {
            let detail = "was answered with the error for lost data, but no observed data was lost".into();
            self.verdict.add_violation(Rule::LossReported, &record.id, detail);
        }
        if self.execution_count(&record.id) > 0 {
            let detail = "was executed, but was answered with the error for lost data".into();
            self.verdict.add_violation(Rule::AtMostOnce, &record.id, detail);
        }
    }
}
