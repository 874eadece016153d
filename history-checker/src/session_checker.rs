//! What holds of a session from one request to the next: the session guarantees of Terry et al. (*Session Guarantees for
//! Weakly Consistent Replicated Data*, PDIS 1994), and that losses are reported.

use crate::checker::Checker;
use crate::history::{includes, Answer, Kind, LogPoint, RequestRecord, ShownValue, SESSION_LOST};
use crate::verdict::Rule;
use std::collections::BTreeMap;

/// What one session has seen of one group and was not told to be lost.
#[derive(Default)]
struct SessionView {
    written: Vec<LogPoint>,
    read: Vec<LogPoint>,
    /// All of it, also what an answer that broke a rule left behind.
    ever: Vec<LogPoint>,
}

impl Checker<'_> {
    pub(crate) fn check_session(&mut self, records: &[RequestRecord]) {
        let mut views: BTreeMap<i64, SessionView> = BTreeMap::new();
        for record in records {
            match &record.answer {
                Answer::Value(value) => {
                    let Some(shown) = ShownValue::parse(value) else { continue };
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
        let has_all = |seen: &[LogPoint]| seen.iter().all(|seen| includes(forks, point, *seen));
        let (has_writes, has_reads) = (has_all(&view.written), has_all(&view.read));
        let is_read = record.kind == Kind::Read;
        if !(has_writes && has_reads) {
            // Reported once; the session goes on from what it was shown.
            *view = SessionView { ever: std::mem::take(&mut view.ever), ..SessionView::default() };
        }
        view.ever.push(point);
        let seen = if is_read { &mut view.read } else { &mut view.written };
        seen.push(point);
        let broken = match (is_read, has_writes, has_reads) {
            (_, true, true) => return,
            (false, ..) => Rule::WritesFollowReads,
            (true, false, _) => Rule::ReadYourWrites,
            (true, true, false) => Rule::MonotonicReads,
        };
        self.verdict.report(broken, &record.id, format!("was answered at {point:?}"));
    }

    fn check_loss(&mut self, view: &SessionView, record: &RequestRecord) {
        let forks = self.history.forks_of(record.group);
        let newest = LogPoint::newest(forks);
        if view.ever.iter().all(|seen| includes(forks, newest, *seen)) {
            let detail = "was told of a loss that is none".into();
            self.verdict.report(Rule::LossReported, &record.id, detail);
        }
        if self.execution_count(&record.id) > 0 {
            let detail = "ran although a loss was told instead".into();
            self.verdict.report(Rule::AtMostOnce, &record.id, detail);
        }
    }
}
