//! The admission decision for an arriving request, as a table of rules.

use super::types::ShedReason;

/// Input of the admission decision for an arriving request.
pub struct Case {
    pub is_retry: bool,
    pub within_retry_budget: bool,
    pub class_requests: usize,
    pub max_class_requests: usize,
    pub in_flight: usize,
    pub max_in_flight: usize,
    pub waiting: usize,
    pub max_waiting: usize,
    /// Waiting requests of its client including this one, divided by the weight of its class.
    pub queue_share: u64,
    /// The largest queue share of any client.
    pub max_queue_share: u64,
}

/// Outcome of the admission decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Admit,
    Wait,
    /// Wait, and displace another request from the full queue.
    Displace,
    Shed(ShedReason),
}

/// In the cases that `matches` accepts, the decision is `step`.
struct Rule {
    matches: fn(&Case) -> bool,
    step: Step,
}

/// The first rule that matches applies.
const RULES: &[Rule] = &[
    Rule {
        matches: |case| case.is_retry && !case.within_retry_budget,
        step: Step::Shed(ShedReason::RetryBudget),
    },
    Rule {
        matches: |case| case.class_requests >= case.max_class_requests,
        step: Step::Shed(ShedReason::ClassLimit),
    },
    Rule { matches: |case| case.in_flight < case.max_in_flight, step: Step::Admit },
    Rule { matches: |case| case.waiting < case.max_waiting, step: Step::Wait },
    Rule { matches: |case| case.queue_share < case.max_queue_share, step: Step::Displace },
    Rule { matches: |_| true, step: Step::Shed(ShedReason::QueueFull) },
];

/// Decides on an arriving request.
pub fn decide(case: &Case) -> Step {
    RULES.iter().find(|rule| (rule.matches)(case)).map_or(Step::Admit, |rule| rule.step)
}
