//! Rules for the sequence of a session's requests: the session guarantees of Terry et al. (*Session Guarantees for
//! Weakly Consistent Replicated Data*, PDIS 1994), and that lost data is reported.

use crate::checker::Checker;
use crate::history::{log_includes, Answer, AnswerValue, Kind, LogPoint, RequestRecord, SESSION_LOST};
use crate::verdict::Rule;
use std::collections::BTreeMap;

/// Log points of one group that a session has observed and that were not reported as lost.
#[derive(Default)]
struct SessionView {
    written: Vec<LogPoint>,
    read: Vec<LogPoint>,
    /// All of them, including those before an answer that violated a guarantee.
    observed: Vec<LogPoint>,
}

impl Checker<'_> {
    pub(crate) fn check_session(&mut self, records: &[RequestRecord]) {
        let mut views: BTreeMap<i64, SessionView> = BTreeMap::new();
        for record in records {
            match &record.answer {
                Answer::Value(value) => {
                    let Some(shown) = AnswerValue::parse(value) else { continue };
                    self.check_guarantees(views.entry(record.group).or_default(), record, shown.point);
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
        let includes_all = |seen: &[LogPoint]| seen.iter().all(|seen| log_includes(forks, point, *seen));
        let (has_writes, has_reads) = (includes_all(&view.written), includes_all(&view.read));
        let is_read = record.kind == Kind::Read;
        if !(has_writes && has_reads) {
            // Each violation is reported once: further answers are compared with this one.
            *view = SessionView { observed: std::mem::take(&mut view.observed), ..SessionView::default() };
        }
        view.observed.push(point);
        let seen = if is_read { &mut view.read } else { &mut view.written };
        seen.push(point);
        let violated = match (is_read, has_writes, has_reads) {
            (_, true, true) => return,
            (false, ..) => Rule::WritesFollowReads,
            (true, false, _) => Rule::ReadYourWrites,
            (true, true, false) => Rule::MonotonicReads,
        };
        self.verdict.report(violated, &record.id, format!("was answered at {point:?}"));
    }

    fn check_loss(&mut self, view: &SessionView, record: &RequestRecord) {
        let forks = self.history.forks_of(record.group);
        let current_end = LogPoint::current_end(forks);
        if view.observed.iter().all(|seen| log_includes(forks, current_end, *seen)) {
            let detail = "was reported a loss that did not happen".into();
            self.verdict.report(Rule::LossReported, &record.id, detail);
        }
        if self.execution_count(&record.id) > 0 {
            let detail = "was executed although a loss was reported instead".into();
            self.verdict.report(Rule::AtMostOnce, &record.id, detail);
        }
    }
}
