//! One record during random events: a reported fate remains true, and no attempt is sent that could contradict it.

use proptest::prelude::*;
use proptest::test_runner::TestCaseResult;
use proptest_support::seeded_cases;
use write_journal::record_state::{
    decide_fate, transition, Fate, FateDecision, FateEvidence, RecordEvent, RecordState, SendPermission,
    Transition,
};

/// One step of a random sequence. A step that is not possible in the current state has no effect.
#[derive(Clone, Copy, Debug)]
enum Step {
    FirstAttempt,
    RetryAttempt,
    DuplicateAttempt,
    /// The endpoint executes a write that was sent.
    Execute,
    /// The journal records that the write was executed.
    RecordExecuted,
    /// The journal records that the write was not executed.
    RecordNotExecuted,
    QueryFate {
        covered: bool,
    },
}

fn any_step() -> impl Strategy<Value = Option<Step>> {
    (0..8u8, any::<bool>()).prop_map(|(kind, flag)| match kind {
        0 => Some(Step::FirstAttempt),
        1 => Some(Step::RetryAttempt),
        2 => Some(Step::RecordExecuted),
        3 => Some(Step::RecordNotExecuted),
        4 => flag.then_some(Step::Execute),
        5 | 6 => Some(Step::QueryFate { covered: flag }),
        _ => Some(Step::DuplicateAttempt),
    })
}

/// A record, the last reported fate, and the true state of the write.
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
            Step::FirstAttempt => self.handle(RecordEvent::FirstAttempt),
            Step::RetryAttempt => self.handle(RecordEvent::RetryAttempt),
            Step::DuplicateAttempt => self.handle(RecordEvent::DuplicateAttempt { remaining_ms: 5 }),
            Step::RecordExecuted if self.was_sent && self.was_executed => {
                self.handle(RecordEvent::Executed(Some(5)))
            }
            // An executed write cannot be proved not to have been executed.
            Step::RecordNotExecuted if !self.was_executed => self.handle(RecordEvent::NotExecuted),
            Step::Execute if self.was_sent && self.state == Some(RecordState::Pending) => {
                self.was_executed = true;
                Ok(())
            }
            Step::QueryFate { covered } => self.query_fate(covered),
            Step::RecordExecuted | Step::RecordNotExecuted | Step::Execute => Ok(()),
        }
    }

    /// Checks that the reported fate is true, and that it is the same as the last one if both are known.
    fn query_fate(&mut self, covered: bool) -> TestCaseResult {
        let evidence = FateEvidence { state: self.state, covered, request_open: false };
        let FateDecision { fate, must_bar } = decide_fate(evidence);
        let before = self.last_fate.filter(|before| *before != Fate::Unknown);
        if let Some(before) = before.filter(|_| fate != Fate::Unknown) {
            prop_assert_eq!(fate, before);
        }
        prop_assert!(
            !(fate == Fate::NeverExecuted && self.was_executed),
            "an executed write was reported as never executed"
        );
        prop_assert!(
            self.was_executed || !matches!(fate, Fate::Executed(_)),
            "a write was reported as executed that was not"
        );
        if must_bar {
            self.state = transition(self.state, RecordEvent::Bar).state;
        }
        self.last_fate = Some(fate);
        Ok(())
    }

    /// Checks that no attempt is sent without a record or after a report that the write is never executed, and that a
    /// final state does not change.
    fn handle(&mut self, event: RecordEvent) -> TestCaseResult {
        let Transition { state, permission } = transition(self.state, event);
        let is_attempt = matches!(event, RecordEvent::FirstAttempt | RecordEvent::RetryAttempt);
        let is_duplicate = matches!(permission, SendPermission::GrantedAsDuplicate { .. });
        if is_duplicate {
            prop_assert_eq!(
                self.state,
                Some(RecordState::Pending),
                "a duplicate was sent of a write that is not pending"
            );
        }
        if is_duplicate || (is_attempt && permission == SendPermission::Granted) {
            prop_assert_ne!(
                self.last_fate,
                Some(Fate::NeverExecuted),
                "an attempt was sent after the fate was reported"
            );
            prop_assert_eq!(
                state,
                Some(RecordState::Pending),
                "an attempt was sent without a pending record"
            );
            self.was_sent = true;
        }
        let is_allowed = matches!(
            (self.state, state),
            (Some(RecordState::Executed(_)), Some(RecordState::Executed(_)))
                | (Some(RecordState::Barred), Some(RecordState::Barred))
                | (Some(RecordState::Pending | RecordState::NotExecuted) | None, _)
        );
        prop_assert!(is_allowed, "a final state changed");
        self.state = state;
        Ok(())
    }
}

proptest! {
    #![proptest_config(seeded_cases(512, 20_26))]

    #[test]
    fn reported_fates_are_never_contradicted(steps in prop::collection::vec(any_step(), 1..40)) {
        let mut record = CheckedRecord::default();
        for step in steps.into_iter().flatten() {
            record.apply(step)?;
        }
    }
}
