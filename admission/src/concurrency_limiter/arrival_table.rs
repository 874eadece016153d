//! What happens to a request that has come, as a table.

use super::types::ShedReason;

/// What the decision on a request that has come is made from.
pub struct Case {
    pub is_retry: bool,
    pub within_retry_budget: bool,
    pub class_requests: usize,
    pub max_class_requests: usize,
    pub in_flight: usize,
    pub max_in_flight: usize,
    pub waiting: usize,
    pub max_waiting: usize,
    /// Requests of its client that wait, in proportion to the client's weight, with this one.
    pub queue_share: u64,
    /// The greatest of any client.
    pub max_queue_share: u64,
}

/// What follows for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Admit,
    Wait,
    /// It waits in place of another.
    Displace,
    Shed(ShedReason),
}

type Row = (fn(&Case) -> bool, Step);

/// The first row that fits counts.
const TABLE: &[Row] = &[
    (|case| case.is_retry && !case.within_retry_budget, Step::Shed(ShedReason::RetryBudget)),
    (|case| case.class_requests >= case.max_class_requests, Step::Shed(ShedReason::ClassLimit)),
    (|case| case.in_flight < case.max_in_flight, Step::Admit),
    (|case| case.waiting < case.max_waiting, Step::Wait),
    (|case| case.queue_share < case.max_queue_share, Step::Displace),
    (|_| true, Step::Shed(ShedReason::QueueFull)),
];

/// What follows for a request that has come.
pub fn decide(case: &Case) -> Step {
    TABLE.iter().find(|(fits, _)| fits(case)).map_or(Step::Admit, |(_, step)| *step)
}
