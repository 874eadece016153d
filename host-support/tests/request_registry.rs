//! The registry of requests against a model: each value is given back once, and only when nothing more can come.

use host_support::request_registry::RequestRegistry;
use proptest::prelude::*;
use routing::RequestId;
use std::collections::BTreeMap;

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

#[derive(Clone, Copy, Debug, Default)]
struct Model {
    given_back: bool,
    in_flight: u32,
    closed: bool,
}

/// Applies a step to both; what the registry gives back, or none if the step is not possible here.
fn apply(
    registry: &mut RequestRegistry<RequestId>,
    models: &mut BTreeMap<RequestId, Model>,
    request: RequestId,
    step: Step,
) -> Option<Option<RequestId>> {
    let model = models.get(&request).copied();
    match (model, step) {
        (None, Step::Insert) => {
            registry.insert(request, request);
            models.insert(request, Model::default());
            Some(None)
        }
        (Some(model), Step::StartAttempt) if !model.given_back && !model.closed => {
            registry.start_attempt(request);
            models.insert(request, Model { in_flight: model.in_flight + 1, ..model });
            Some(None)
        }
        (Some(model), Step::EndAttempt { closed }) if model.in_flight > 0 => {
            let in_flight = model.in_flight - 1;
            models.insert(request, Model { in_flight, closed: model.closed || closed, ..model });
            Some(registry.end_attempt(request, closed))
        }
        (Some(model), Step::Close) => {
            models.insert(request, Model { closed: true, ..model });
            Some(registry.close(request))
        }
        _ => None,
    }
}

proptest! {
    #[test]
    fn each_value_is_given_back_once_and_only_when_nothing_more_can_come(
        steps in prop::collection::vec((0u64..8, any_step()), 1..200),
    ) {
        let mut registry = RequestRegistry::default();
        let mut models = BTreeMap::new();
        // In the end every request is closed and every attempt ends.
        let ending = [Step::Close].into_iter().chain([Step::EndAttempt { closed: true }; 200]);
        let endings = (0..8).flat_map(|request| ending.clone().map(move |step| (request, step)));
        for (request, step) in steps.into_iter().chain(endings) {
            let Some(given_back) = apply(&mut registry, &mut models, request, step) else { continue };
            let model = models.get_mut(&request).expect("inserted");
            let is_over = !model.given_back && model.in_flight == 0 && model.closed;
            prop_assert_eq!(given_back, is_over.then_some(request));
            model.given_back |= is_over;
            prop_assert_eq!(registry.get(request).is_some(), !model.given_back);
            prop_assert_eq!(registry.is_open(request), !model.closed);
            let kept = models.values().filter(|model| !model.given_back).count();
            prop_assert_eq!(registry.len(), kept);
        }
        prop_assert!(registry.is_empty());
    }
}
