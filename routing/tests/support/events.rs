//! Events and records of a plain shape, for tests that run a routing policy by hand or through the harness.

use super::{START, TICK};
use routing::time::{TimeDelta, Timestamp};
use routing::*;

/// A policy made at [`START`] with `seed`, and the actions it asked for when it was made.
pub fn policy_at_start(seed: u64, routing_settings: &RoutingSettings) -> (RoutingPolicy, Vec<Action>) {
    let mut actions = Vec::new();
    let policy = RoutingPolicy::new(seed, routing_settings, START, &mut actions);
    (policy, actions)
}

/// The list entry of a serving endpoint of group 0 and zone 0 whose start is not known.
pub fn serving_record(endpoint: EndpointIndex, primary: bool) -> EndpointRecord {
    EndpointRecord {
        endpoint,
        group: 0,
        zone: 0,
        status: EndpointStatus::Serving,
        primary,
        started_at: None,
        start_presumed: false,
    }
}

/// A request to group 0 of no session, with no position seen and no write of its own; not a client's retry.
pub fn arrival(
    request: RequestId,
    method: MethodIndex,
    received_at: Timestamp,
    deadline: Timestamp,
) -> RequestArrival {
    RequestArrival {
        request,
        method,
        group: 0,
        session: None,
        last_write: None,
        seen_position: None,
        received_at,
        deadline,
        client_retry: false,
    }
}

/// The end of an attempt, `elapsed` after it was sent, that leaves its request open: of no write session, with
/// empty reports.
pub fn attempt_end(
    request: RequestId,
    number: u32,
    endpoint: EndpointIndex,
    outcome: AttemptOutcome,
    elapsed: TimeDelta,
) -> AttemptEnd {
    AttemptEnd {
        attempt: AttemptId { request, number, endpoint },
        outcome,
        elapsed,
        request_closed: false,
        write_session: None,
        answer_report: EndpointReport::default(),
        load_report: EndpointReport::default(),
    }
}

/// What an endpoint reports of itself: its `position` and its `role`, no load.
pub fn endpoint_report(position: Timestamp, role: Role) -> EndpointReport {
    EndpointReport { position: Some(position), role: Some(role), load: None }
}

/// A health check of `endpoint` that succeeded after one [`TICK`] with `report`.
pub fn health_check_succeeded(endpoint: EndpointIndex, report: EndpointReport) -> Event {
    Event::HealthCheckEnded { endpoint, outcome: AttemptOutcome::Succeeded, elapsed: TICK, report }
}

/// The endpoint to which `actions` start an attempt of `request`, if they do.
pub fn attempt_started(actions: &[Action], request: RequestId) -> Option<EndpointIndex> {
    actions.iter().find_map(|action| match action {
        Action::StartAttempt { request: started, endpoint, .. } if *started == request => Some(*endpoint),
        _ => None,
    })
}
