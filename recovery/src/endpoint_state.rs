//! State machine of a listed endpoint, as a transition table, and the data collected about an endpoint since the
//! instance started.

use routing::time::Timestamp;
use routing::{EndpointReport, GroupIndex, Role};

/// What is known about an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// The endpoint has not answered a query since the instance started.
    #[default]
    NotAnswered,
    /// The endpoint has answered and is the listed one, according to its reported identity or its address.
    Identified,
    /// The endpoint has answered without reporting its identity, and the list is too old to identify the endpoint by
    /// its address.
    Anonymous,
    /// Another endpoint answers at the listed address.
    WrongIdentity,
    /// The last query was not answered: the machine is down or unreachable.
    Silent,
    /// The machine refused the last connection: no process listens on the port.
    Refusing,
    /// Discovery no longer lists the endpoint.
    Removed,
}

/// Events that affect the state of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointEvent {
    /// The endpoint answered and is the listed one.
    Answered,
    /// The answer contained the identity of another endpoint.
    AnsweredWithWrongIdentity,
    /// The answer contained no identity.
    AnsweredAnonymously,
    /// A query was not answered.
    NoAnswer,
    /// The connection was refused.
    ConnectionRefused,
    /// Discovery lists the endpoint.
    Listed,
    /// Discovery no longer lists the endpoint.
    Unlisted,
}

/// Notification of the routing policy that a transition requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// No notification.
    Nothing,
    /// The endpoint may be used.
    Admit,
    /// The endpoint may no longer be used.
    Withdraw,
}

/// New state after an event, and the notification that the transition requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transition {
    /// The new state.
    pub state: EndpointState,
    /// The notification of the routing policy that the transition requires.
    pub effect: Effect,
}

/// A transition rule: in a state that `from` accepts, the event `on` leads to the state `to`, with the effect
/// `effect`.
struct Rule {
    from: fn(EndpointState) -> bool,
    on: EndpointEvent,
    to: EndpointState,
    effect: Effect,
}

fn is_any(_: EndpointState) -> bool {
    true
}

fn is_identified(state: EndpointState) -> bool {
    state == EndpointState::Identified
}

fn is_removed(state: EndpointState) -> bool {
    state == EndpointState::Removed
}

fn is_listed(state: EndpointState) -> bool {
    !is_removed(state)
}

fn is_unidentified(state: EndpointState) -> bool {
    !is_removed(state) && !is_identified(state)
}

/// The first matching rule applies. An identified endpoint that stops answering is not withdrawn, because the routing
/// policy ejects it. Only an endpoint with a wrong identity or one that is no longer listed is withdrawn.
const RULES: &[Rule] = &[
    Rule {
        from: is_removed,
        on: EndpointEvent::Listed,
        to: EndpointState::NotAnswered,
        effect: Effect::Nothing,
    },
    Rule {
        from: is_removed,
        on: EndpointEvent::Unlisted,
        to: EndpointState::Removed,
        effect: Effect::Nothing,
    },
    Rule { from: is_any, on: EndpointEvent::Unlisted, to: EndpointState::Removed, effect: Effect::Withdraw },
    Rule {
        from: is_identified,
        on: EndpointEvent::AnsweredWithWrongIdentity,
        to: EndpointState::WrongIdentity,
        effect: Effect::Withdraw,
    },
    Rule {
        from: is_unidentified,
        on: EndpointEvent::Answered,
        to: EndpointState::Identified,
        effect: Effect::Admit,
    },
    Rule {
        from: is_identified,
        on: EndpointEvent::Answered,
        to: EndpointState::Identified,
        effect: Effect::Nothing,
    },
    Rule {
        from: is_unidentified,
        on: EndpointEvent::AnsweredWithWrongIdentity,
        to: EndpointState::WrongIdentity,
        effect: Effect::Nothing,
    },
    Rule {
        from: is_unidentified,
        on: EndpointEvent::AnsweredAnonymously,
        to: EndpointState::Anonymous,
        effect: Effect::Nothing,
    },
    Rule {
        from: is_identified,
        on: EndpointEvent::AnsweredAnonymously,
        to: EndpointState::Identified,
        effect: Effect::Nothing,
    },
    Rule { from: is_listed, on: EndpointEvent::NoAnswer, to: EndpointState::Silent, effect: Effect::Nothing },
    Rule {
        from: is_listed,
        on: EndpointEvent::ConnectionRefused,
        to: EndpointState::Refusing,
        effect: Effect::Nothing,
    },
];

/// Returns the transition that an event causes; `None` if no rule matches and the state does not change.
pub fn transition(state: EndpointState, event: EndpointEvent) -> Option<Transition> {
    let rule = RULES.iter().find(|rule| (rule.from)(state) && rule.on == event)?;
    Some(Transition { state: rule.to, effect: rule.effect })
}

/// Role, position and timeline that an endpoint reported in one answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoleReport {
    /// Role of the endpoint.
    pub role: Option<Role>,
    /// Position of the endpoint on the group's log, as a commit time.
    pub position: Option<Timestamp>,
    /// PostgreSQL timeline of the endpoint's log. It increases with each promotion of a primary.
    pub timeline: Option<u32>,
}

impl RoleReport {
    /// Creates a report from an endpoint's report and the timeline of the endpoint's log, if known.
    pub fn new(report: EndpointReport, timeline: Option<u32>) -> RoleReport {
        RoleReport { role: report.role, position: report.position, timeline }
    }
}

/// Data collected about an endpoint since the instance started.
#[derive(Clone, Debug, Default)]
pub struct RecoveringEndpoint {
    /// Group of the endpoint.
    pub group: GroupIndex,
    /// Current state of the endpoint.
    pub state: EndpointState,
    /// Last report of the endpoint. If it contained no role, the role is that of an earlier report.
    pub report: RoleReport,
    /// The first position that the endpoint reported as a primary on the current timeline. A member that has passed
    /// this position received that part of the log from the endpoint.
    pub first_primary_position: Option<Timestamp>,
    /// Number of consecutive answers in which the endpoint claimed to be primary.
    pub consecutive_claims: u32,
    /// When the query, request or health check was sent whose answer contained `report`.
    pub queried_at: Timestamp,
    /// When `report` was received.
    pub reported_at: Timestamp,
    /// Whether at least one query has ended, with or without an answer.
    pub queried: bool,
    /// When the last query ended.
    pub query_ended_at: Timestamp,
    /// Whether a query is in flight.
    pub query_in_flight: bool,
    /// Number of consecutive failed queries.
    pub consecutive_failures: u32,
    /// When the next query is scheduled, if any.
    pub query_due: Option<Timestamp>,
    /// Whether the routing policy has been notified that the endpoint may be used.
    pub admitted: bool,
}

impl RecoveringEndpoint {
    /// Records a report received at `now` in the answer to a query sent at `queried_at`.
    pub fn record_report(&mut self, report: RoleReport, queried_at: Timestamp, now: Timestamp) {
        let timeline_changed = report.timeline != self.report.timeline;
        match report.role {
            Some(Role::Primary) if timeline_changed => {
                self.consecutive_claims = 1;
                self.first_primary_position = report.position;
            }
            Some(Role::Primary) => {
                self.consecutive_claims = self.consecutive_claims.saturating_add(1);
                self.first_primary_position = self.first_primary_position.or(report.position);
            }
            Some(Role::Replica) => {
                self.consecutive_claims = 0;
                self.first_primary_position = None;
            }
            None => {}
        }
        let role = report.role.or(self.report.role);
        self.report = RoleReport { role, ..report };
        self.queried_at = queried_at;
        self.reported_at = now;
    }

    /// Whether the endpoint has answered and is the listed one.
    pub fn is_identified(&self) -> bool {
        self.state == EndpointState::Identified
    }

    /// Whether the endpoint is identified and its last reported role is primary.
    pub fn claims_primary(&self) -> bool {
        self.is_identified() && self.report.role == Some(Role::Primary)
    }
}
