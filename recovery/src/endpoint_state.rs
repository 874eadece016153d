//! State machine of one listed endpoint, as a transition table, and the data collected about it since this start.

use routing::time::Timestamp;
use routing::{EndpointReport, GroupIndex, Role};

/// What is known about an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// No query has been answered since this start.
    #[default]
    NotAnswered,
    /// It has answered and is the listed endpoint, by its reported identity or its address.
    Identified,
    /// It has answered without reporting its identity, and the list is too old to identify it by its address.
    Anonymous,
    /// Another endpoint answers at its address.
    WrongIdentity,
    /// A query was not answered: the machine is down or unreachable.
    Silent,
    /// The machine refuses the connection: no process listens on the port.
    Refusing,
    /// Discovery no longer lists it.
    Removed,
}

/// Events that affect the state of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointEvent {
    /// It answered and is the listed endpoint.
    Answered,
    /// It answered with the identity of another endpoint.
    AnsweredAsAnother,
    /// It answered without reporting its identity.
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

/// The notification of the routing policy that a transition requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// No notification.
    Nothing,
    /// The endpoint may be used.
    Admit,
    /// The endpoint may no longer be used.
    Withdraw,
}

/// Result of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transition {
    /// The new state.
    pub state: EndpointState,
    /// The notification that the routing policy requires.
    pub effect: Effect,
}

/// A transition rule: in a state that `from` matches, the event `on` leads to the state `to`, with this effect.
struct Rule {
    from: fn(EndpointState) -> bool,
    on: EndpointEvent,
    to: EndpointState,
    effect: Effect,
}

fn any(_: EndpointState) -> bool {
    true
}

fn identified(state: EndpointState) -> bool {
    state == EndpointState::Identified
}

fn removed(state: EndpointState) -> bool {
    state == EndpointState::Removed
}

fn listed(state: EndpointState) -> bool {
    !removed(state)
}

fn unidentified(state: EndpointState) -> bool {
    !removed(state) && !identified(state)
}

/// The first rule that matches applies. An identified endpoint that stops answering is not withdrawn, since the
/// routing policy ejects it; only an endpoint with a wrong identity or one that is no longer listed is withdrawn.
const RULES: &[Rule] = &[
    Rule {
        from: removed,
        on: EndpointEvent::Listed,
        to: EndpointState::NotAnswered,
        effect: Effect::Nothing,
    },
    Rule { from: removed, on: EndpointEvent::Unlisted, to: EndpointState::Removed, effect: Effect::Nothing },
    Rule { from: any, on: EndpointEvent::Unlisted, to: EndpointState::Removed, effect: Effect::Withdraw },
    Rule {
        from: identified,
        on: EndpointEvent::AnsweredAsAnother,
        to: EndpointState::WrongIdentity,
        effect: Effect::Withdraw,
    },
    Rule {
        from: unidentified,
        on: EndpointEvent::Answered,
        to: EndpointState::Identified,
        effect: Effect::Admit,
    },
    Rule {
        from: identified,
        on: EndpointEvent::Answered,
        to: EndpointState::Identified,
        effect: Effect::Nothing,
    },
    Rule {
        from: unidentified,
        on: EndpointEvent::AnsweredAsAnother,
        to: EndpointState::WrongIdentity,
        effect: Effect::Nothing,
    },
    Rule {
        from: unidentified,
        on: EndpointEvent::AnsweredAnonymously,
        to: EndpointState::Anonymous,
        effect: Effect::Nothing,
    },
    Rule {
        from: identified,
        on: EndpointEvent::AnsweredAnonymously,
        to: EndpointState::Identified,
        effect: Effect::Nothing,
    },
    Rule { from: listed, on: EndpointEvent::NoAnswer, to: EndpointState::Silent, effect: Effect::Nothing },
    Rule {
        from: listed,
        on: EndpointEvent::ConnectionRefused,
        to: EndpointState::Refusing,
        effect: Effect::Nothing,
    },
];

/// The transition that an event causes, if a rule matches.
pub fn next(state: EndpointState, event: EndpointEvent) -> Option<Transition> {
    let rule = RULES.iter().find(|rule| (rule.from)(state) && rule.on == event)?;
    Some(Transition { state: rule.to, effect: rule.effect })
}

/// Role, position and timeline that an endpoint reported in one answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoleReport {
    /// Role of the endpoint.
    pub role: Option<Role>,
    /// Position of the endpoint on its log, as a commit time.
    pub position: Option<Timestamp>,
    /// PostgreSQL timeline of its log, which increases with each promotion of a primary.
    pub timeline: Option<u32>,
}

impl RoleReport {
    /// Creates a report from an endpoint's report and its timeline, if known.
    pub fn new(report: EndpointReport, timeline: Option<u32>) -> RoleReport {
        RoleReport { role: report.role, position: report.position, timeline }
    }
}

/// Data collected about one endpoint since this start.
#[derive(Clone, Debug, Default)]
pub struct RecoveringEndpoint {
    /// Group of the endpoint.
    pub group: GroupIndex,
    /// Current state of the endpoint.
    pub state: EndpointState,
    /// Its last report.
    pub report: RoleReport,
    /// The first position that it reported as a primary on the current timeline. A member that has passed this
    /// position received that part of the log from this endpoint.
    pub first_primary_position: Option<Timestamp>,
    /// Consecutive answers in which it claimed to be primary.
    pub consecutive_claims: u32,
    /// When the query or request that `report` answers was sent.
    pub queried_at: Timestamp,
    /// When `report` was received.
    pub reported_at: Timestamp,
    /// At least one query has ended.
    pub queried: bool,
    /// When the last query ended.
    pub query_ended_at: Timestamp,
    /// A query is in flight.
    pub query_in_flight: bool,
    /// Consecutive failed queries.
    pub consecutive_failures: u32,
    /// When the next query is scheduled, if any.
    pub query_due: Option<Timestamp>,
    /// The routing policy has been notified that the endpoint may be used.
    pub admitted: bool,
}

impl RecoveringEndpoint {
    /// Records a report received at `now`, in the answer to a query sent at `queried_at`.
    pub fn take_report(&mut self, report: RoleReport, queried_at: Timestamp, now: Timestamp) {
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

    /// Whether it has answered and is the listed endpoint.
    pub fn is_identified(&self) -> bool {
        self.state == EndpointState::Identified
    }

    /// Whether it is identified and its last reported role is primary.
    pub fn claims_primary(&self) -> bool {
        self.is_identified() && self.report.role == Some(Role::Primary)
    }
}
