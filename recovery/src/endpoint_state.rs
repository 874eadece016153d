//! The state of one listed endpoint, as a table, and what is known of it since this start.

use routing::time::Timestamp;
use routing::{EndpointReport, GroupIndex, Role};

/// How far an endpoint is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It has not answered since this start.
    #[default]
    NotAnswered,
    /// It has answered, and is the endpoint that the list names as far as that can be known.
    Identified,
    /// It has answered and cannot say who it is, and the list is too old to be trusted with that.
    Anonymous,
    /// Another endpoint answers at its address.
    WrongIdentity,
    /// It did not answer: a machine that is down, or a partition.
    Silent,
    /// Its machine says that nothing listens there.
    Refusing,
    /// Discovery does not list it.
    Removed,
}

/// What can happen to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointEvent {
    /// It answered, and is the one that it should be.
    Answered,
    /// It answered as another one.
    AnsweredAsAnother,
    /// It answered and did not say who it is.
    AnsweredAnonymously,
    /// It did not answer.
    NoAnswer,
    /// Its machine refused the connection.
    ConnectionRefused,
    /// Discovery lists it.
    Listed,
    /// Discovery does not list it any more.
    Unlisted,
}

/// What the routing policy has to be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing.
    Nothing,
    /// The endpoint may be used.
    Admit,
    /// It may not be used any more.
    Withdraw,
}

/// In a state that matches, on this event, go to this state, with this effect.
pub type Row = (fn(EndpointState) -> bool, EndpointEvent, EndpointState, Effect);

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

/// The first row that fits counts. An endpoint that was identified and then falls silent is left to the routing policy,
/// which ejects it; only one that turns out to be another, or is not listed any more, is withdrawn.
pub const TABLE: &[Row] = &[
    (removed, EndpointEvent::Listed, EndpointState::NotAnswered, Effect::Nothing),
    (removed, EndpointEvent::Unlisted, EndpointState::Removed, Effect::Nothing),
    (any, EndpointEvent::Unlisted, EndpointState::Removed, Effect::Withdraw),
    (identified, EndpointEvent::AnsweredAsAnother, EndpointState::WrongIdentity, Effect::Withdraw),
    (unidentified, EndpointEvent::Answered, EndpointState::Identified, Effect::Admit),
    (identified, EndpointEvent::Answered, EndpointState::Identified, Effect::Nothing),
    (unidentified, EndpointEvent::AnsweredAsAnother, EndpointState::WrongIdentity, Effect::Nothing),
    (unidentified, EndpointEvent::AnsweredAnonymously, EndpointState::Anonymous, Effect::Nothing),
    (identified, EndpointEvent::AnsweredAnonymously, EndpointState::Identified, Effect::Nothing),
    (listed, EndpointEvent::NoAnswer, EndpointState::Silent, Effect::Nothing),
    (listed, EndpointEvent::ConnectionRefused, EndpointState::Refusing, Effect::Nothing),
];

/// The state after an event and its effect, if a row fits.
pub fn next(state: EndpointState, event: EndpointEvent) -> Option<(EndpointState, Effect)> {
    let row = TABLE.iter().find(|(from, on, ..)| from(state) && *on == event);
    row.map(|(_, _, to, effect)| (*to, *effect))
}

/// What one answer said of its endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoleReport {
    /// Its role.
    pub role: Option<Role>,
    /// Its position.
    pub position: Option<Timestamp>,
    /// How often its log has passed to a new primary: PostgreSQL's timeline.
    pub timeline: Option<u32>,
}

impl RoleReport {
    /// From a report of an endpoint, with its timeline if that is known.
    pub fn new(report: EndpointReport, timeline: Option<u32>) -> RoleReport {
        RoleReport { role: report.role, position: report.position, timeline }
    }
}

/// What is known of one endpoint since this start.
#[derive(Clone, Debug, Default)]
pub struct RecoveringEndpoint {
    /// Its group.
    pub group: GroupIndex,
    /// How far it is known.
    pub state: EndpointState,
    /// Its last report.
    pub report: RoleReport,
    /// The first position that it reported as a primary on the present timeline: a member that has passed it got that part
    /// of the log from here.
    pub first_primary_position: Option<Timestamp>,
    /// Answers in a row in which it said that it is primary.
    pub consecutive_claims: u32,
    /// When the query was sent whose answer is `report`.
    pub queried_at: Timestamp,
    /// When that answer came.
    pub reported_at: Timestamp,
    /// One query at least has ended.
    pub queried: bool,
    /// When the last one ended.
    pub query_ended_at: Timestamp,
    /// A query is in flight.
    pub query_in_flight: bool,
    /// Queries in a row that failed.
    pub consecutive_failures: u32,
    /// When it is to be queried next; none while it is not.
    pub query_due: Option<Timestamp>,
    /// The routing policy was told that it may be used.
    pub admitted: bool,
}

impl RecoveringEndpoint {
    /// Takes what it reported in answer to a query sent at `queried_at`.
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

    /// Whether it has answered as the endpoint that the list names.
    pub fn is_identified(&self) -> bool {
        self.state == EndpointState::Identified
    }

    /// Whether it claims to be primary.
    pub fn claims_primary(&self) -> bool {
        self.is_identified() && self.report.role == Some(Role::Primary)
    }
}
