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

type Rule = (fn(&Case) -> bool, Step);

/// The first rule that matches applies.
const RULES: &[Rule] = &[
    (|case| case.is_retry && !case.within_retry_budget, Step::Shed(ShedReason::RetryBudget)),
    (|case| case.class_requests >= case.max_class_requests, Step::Shed(ShedReason::ClassLimit)),
    (|case| case.in_flight < case.max_in_flight, Step::Admit),
    (|case| case.waiting < case.max_waiting, Step::Wait),
    (|case| case.queue_share < case.max_queue_share, Step::Displace),
    (|_| true, Step::Shed(ShedReason::QueueFull)),
];

/// Decides on an arriving request.
pub fn decide(case: &Case) -> Step {
    RULES.iter().find(|(matches, _)| matches(case)).map_or(Step::Admit, |(_, step)| *step)
}
