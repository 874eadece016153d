//! Constructors of events, reports and list entries with default values, for tests with and without the harness.

use super::{START, TICK};
use routing::time::{TimeDelta, Timestamp};
use routing::*;

/// Creates a policy at [`START`]. Returns it with the actions that it requested at its start.
pub fn policy_at_start(seed: u64, routing_settings: &RoutingSettings) -> (RoutingPolicy, Vec<Action>) {
    let mut actions = Vec::new();
    let policy = RoutingPolicy::new(seed, routing_settings, START, &mut actions);
    (policy, actions)
}

/// The list entry of a serving endpoint of group 0 in zone 0 with an unknown start time.
pub fn serving_record(endpoint: EndpointIndex, primary: bool) -> EndpointRecord {
    EndpointRecord {
        endpoint,
        group: 0,
        zone: 0,
        status: EndpointStatus::Serving,
        primary,
        started_at: None,
        start_is_upper_bound: false,
    }
}

/// A request to group 0 that is not a client's retry and has no session.
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

/// The end of an attempt `elapsed` after it was sent. The request stays open, the attempt has no write session, and the
/// reports are empty.
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

/// An endpoint's report of a position and a role, without a load.
pub fn endpoint_report(position: Timestamp, role: Role) -> EndpointReport {
    EndpointReport { position: Some(position), role: Some(role), load: None }
}

/// The end of a health check of `endpoint` that succeeded with `report` after one [`TICK`].
pub fn health_check_succeeded(endpoint: EndpointIndex, report: EndpointReport) -> Event {
    Event::HealthCheckEnded { endpoint, outcome: AttemptOutcome::Succeeded, elapsed: TICK, report }
}

/// The endpoint of the first attempt of `request` among `actions`.
pub fn attempt_started(actions: &[Action], request: RequestId) -> Option<EndpointIndex> {
    actions.iter().find_map(|action| match action {
        Action::StartAttempt { request: started, endpoint, .. } if *started == request => Some(*endpoint),
        _ => None,
    })
}
