//! One record through any events in any order: a fate that was reported stays true, and nothing is sent against it.

use proptest::prelude::*;
use proptest::test_runner::TestCaseResult;
use proptest_support::seeded_cases;
use write_journal::record_state::{
    decide_fate, transition, Evidence, Fate, FateDecision, RecordEvent, RecordState, SendPermission,
    Transition,
};

/// What one step of a random sequence does, if it is possible.
#[derive(Clone, Copy, Debug)]
enum Step {
    Start,
    Retry,
    Duplicate,
    /// The endpoint executes a write that was sent.
    Execute,
    /// It is recorded that the write was executed.
    RecordExecuted,
    /// It is recorded that the write was not executed.
    RecordNotExecuted,
    QueryFate {
        covered: bool,
    },
}

fn any_step() -> impl Strategy<Value = Option<Step>> {
    (0..8u8, any::<bool>()).prop_map(|(kind, flag)| match kind {
        0 => Some(Step::Start),
        1 => Some(Step::Retry),
        2 => Some(Step::RecordExecuted),
        3 => Some(Step::RecordNotExecuted),
        4 => flag.then_some(Step::Execute),
        5 | 6 => Some(Step::QueryFate { covered: flag }),
        _ => Some(Step::Duplicate),
    })
}

/// A record, and what is true of its write.
#[derive(Debug, Default)]
struct CheckedRecord {
    state: Option<RecordState>,
    last_fate: Option<Fate>,
    was_sent: bool,
    was_executed: bool,
}

impl CheckedRecord {
    fn apply(&mut self, step: Step) -> TestCaseResult {
        match step {
            Step::Start => self.handle(RecordEvent::FirstAttempt),
            Step::Retry => self.handle(RecordEvent::RetryAttempt),
            Step::Duplicate => self.handle(RecordEvent::DuplicateAttempt { remaining_ms: 5 }),
            Step::RecordExecuted if self.was_sent && self.was_executed => {
                self.handle(RecordEvent::Executed(Some(5)))
            }
            // An executed write cannot be proved not to have run.
            Step::RecordNotExecuted if !self.was_executed => self.handle(RecordEvent::NotExecuted),
            Step::Execute if self.was_sent && self.state == Some(RecordState::Pending) => {
                self.was_executed = true;
                Ok(())
            }
            Step::QueryFate { covered } => self.query_fate(covered),
            Step::RecordExecuted | Step::RecordNotExecuted | Step::Execute => Ok(()),
        }
    }

    /// A fate that is reported is true, and the same as before if that was final.
    fn query_fate(&mut self, covered: bool) -> TestCaseResult {
        let evidence = Evidence { state: self.state, covered, request_open: false };
        let FateDecision { fate, must_bar } = decide_fate(evidence);
        let before = self.last_fate.filter(|before| *before != Fate::Unknown);
        if let Some(before) = before.filter(|_| fate != Fate::Unknown) {
            prop_assert_eq!(fate, before);
        }
        prop_assert!(!(fate == Fate::NeverExecuted && self.was_executed), "it ran");
        prop_assert!(self.was_executed || !matches!(fate, Fate::Executed(_)), "it did not run");
        if must_bar {
            self.state = transition(self.state, RecordEvent::Bar).state;
        }
        self.last_fate = Some(fate);
        Ok(())
    }

    /// Nothing is sent without a record or against a reported fate, and a settled record stays settled.
    fn handle(&mut self, event: RecordEvent) -> TestCaseResult {
        let Transition { state, permission } = transition(self.state, event);
        let asks = matches!(event, RecordEvent::FirstAttempt | RecordEvent::RetryAttempt);
        let is_duplicate = matches!(permission, SendPermission::GrantedAsDuplicate { .. });
        if is_duplicate {
            prop_assert_eq!(self.state, Some(RecordState::Pending), "a duplicate is of a pending write");
        }
        if is_duplicate || (asks && permission == SendPermission::Granted) {
            prop_assert_ne!(self.last_fate, Some(Fate::NeverExecuted), "sent against a reported fate");
            prop_assert_eq!(state, Some(RecordState::Pending), "nothing is sent without a record");
            self.was_sent = true;
        }
        let is_allowed = matches!(
            (self.state, state),
            (Some(RecordState::Executed(_)), Some(RecordState::Executed(_)))
                | (Some(RecordState::Barred), Some(RecordState::Barred))
                | (Some(RecordState::Pending | RecordState::NotExecuted) | None, _)
        );
        prop_assert!(is_allowed, "what is settled stays settled");
        self.state = state;
        Ok(())
    }
}

proptest! {
    #![proptest_config(seeded_cases(512, 20_26))]

    #[test]
    fn no_reported_fate_is_ever_contradicted(steps in prop::collection::vec(any_step(), 1..40)) {
        let mut record = CheckedRecord::default();
        for step in steps.into_iter().flatten() {
            record.apply(step)?;
        }
    }
}
