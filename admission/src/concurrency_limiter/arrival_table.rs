//! Table of rules that decides on an arriving request.

use super::types::ShedReason;

/// Input of the decision on an arriving request.
pub struct ArrivalInput {
    pub is_retry: bool,
    pub within_retry_budget: bool,
    /// Requests of the client's class, in flight and waiting.
    pub class_requests: usize,
    pub max_class_requests: usize,
    /// Requests in flight of all classes.
    pub in_flight: usize,
    pub max_in_flight: usize,
    /// Waiting requests of all classes.
    pub waiting: usize,
    pub max_waiting: usize,
    /// Waiting requests of the client, including this one, divided by the weight of the class.
    pub queue_share: u64,
    /// The largest queue share of any client.
    pub max_queue_share: u64,
}

/// Outcome of the decision on an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ArrivalOutcome {
    Admit,
    Wait,
    /// Wait in the place of another request, which is displaced from the full queue.
    Displace,
    Shed(ShedReason),
}

/// A rule: inputs that `matches` accepts have this outcome.
struct Rule {
    matches: fn(&ArrivalInput) -> bool,
    outcome: ArrivalOutcome,
}

/// The rules in order of precedence. The first one that matches the input applies.
const RULES: &[Rule] = &[
    Rule {
        matches: |input| input.is_retry && !input.within_retry_budget,
        outcome: ArrivalOutcome::Shed(ShedReason::RetryBudget),
    },
    Rule {
        matches: |input| input.class_requests >= input.max_class_requests,
        outcome: ArrivalOutcome::Shed(ShedReason::ClassLimit),
    },
    Rule { matches: |input| input.in_flight < input.max_in_flight, outcome: ArrivalOutcome::Admit },
    Rule { matches: |input| input.waiting < input.max_waiting, outcome: ArrivalOutcome::Wait },
    Rule { matches: |input| input.queue_share < input.max_queue_share, outcome: ArrivalOutcome::Displace },
    Rule { matches: |_| true, outcome: ArrivalOutcome::Shed(ShedReason::QueueFull) },
];

/// The outcome of the first rule that matches.
pub fn decide(input: &ArrivalInput) -> ArrivalOutcome {
    RULES.iter().find(|rule| (rule.matches)(input)).map_or(ArrivalOutcome::Admit, |rule| rule.outcome)
}
