//! The request registry against a model: the value of each request is returned exactly once, when the request is closed
//! and none of its attempts is in flight.

use host_support::request_registry::RequestRegistry;
use proptest::prelude::*;
use proptest::test_runner::TestCaseResult;
use routing::RequestId;
use std::collections::BTreeMap;

/// One step of a random sequence. It applies to one request.
#[derive(Clone, Copy, Debug)]
enum Step {
    Insert,
    StartAttempt,
    EndAttempt { closed: bool },
    Close,
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::Insert),
        Just(Step::StartAttempt),
        any::<bool>().prop_map(|closed| Step::EndAttempt { closed }),
        Just(Step::Close),
    ]
}

/// The expected state of a request.
#[derive(Clone, Copy, Debug, Default)]
struct Model {
    /// The registry has returned the value of the request.
    returned: bool,
    in_flight: u32,
    closed: bool,
}

/// A registry in which the value of each request is its own id, and the models of the requests.
#[derive(Default)]
struct CheckedRegistry {
    registry: RequestRegistry<RequestId>,
    models: BTreeMap<RequestId, Model>,
}

impl CheckedRegistry {
    /// Applies a step if it is possible for the request, and checks that the last step returns the value.
    fn apply(&mut self, request: RequestId, step: Step) -> TestCaseResult {
        let Some(value) = self.apply_if_possible(request, step) else { return Ok(()) };
        let model = self.models.get_mut(&request).expect("inserted");
        let is_last = !model.returned && model.in_flight == 0 && model.closed;
        prop_assert_eq!(value, is_last.then_some(request));
        model.returned |= is_last;
        prop_assert_eq!(self.registry.get(request).is_some(), !model.returned);
        prop_assert_eq!(self.registry.is_open(request), !model.closed);
        let held = self.models.values().filter(|model| !model.returned).count();
        prop_assert_eq!(self.registry.len(), held);
        Ok(())
    }

    /// Applies a step and returns what the registry returned, or `None` if the step is not possible for the request.
    fn apply_if_possible(&mut self, request: RequestId, step: Step) -> Option<Option<RequestId>> {
        let Some(model) = self.models.get_mut(&request) else {
            if let Step::Insert = step {
                self.registry.insert(request, request);
                self.models.insert(request, Model::default());
                return Some(None);
            }
            return None;
        };
        match step {
            Step::StartAttempt if !model.returned && !model.closed => {
                self.registry.start_attempt(request);
                model.in_flight += 1;
                Some(None)
            }
            Step::EndAttempt { closed } if model.in_flight > 0 => {
                model.in_flight -= 1;
                model.closed |= closed;
                Some(self.registry.end_attempt(request, closed))
            }
            Step::Close => {
                model.closed = true;
                Some(self.registry.close(request))
            }
            _ => None,
        }
    }
}

proptest! {
    #[test]
    fn a_value_is_returned_once_after_its_request_and_attempts_end(
        steps in prop::collection::vec((0u64..8, any_step()), 1..200),
    ) {
        let mut registry = CheckedRegistry::default();
        // At the end of the sequence, every request is closed and every attempt ends.
        let ending = [Step::Close].into_iter().chain([Step::EndAttempt { closed: true }; 200]);
        let endings = (0..8).flat_map(|request| ending.clone().map(move |step| (request, step)));
        for (request, step) in steps.into_iter().chain(endings) {
            registry.apply(request, step)?;
        }
        prop_assert!(registry.registry.is_empty());
    }
}
