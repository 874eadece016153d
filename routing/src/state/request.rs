//! A request that is open, and its attempt in flight.

use crate::events::{AttemptEnd, AttemptOutcome, EndpointIndex, GroupIndex, MethodIndex};
use crate::time::{TimeDelta, Timestamp};

/// How far a request has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequestPhase {
    /// It waits for an endpoint.
    #[default]
    Waiting,
    /// An attempt is in flight.
    InFlight,
    /// It has its final answer, or needs none.
    Done,
}

/// What can happen to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEvent {
    /// Something that may let it go on: its arrival, or a change in its group.
    Progress,
    /// An endpoint was selected for its next attempt.
    EndpointSelected(EndpointIndex),
    /// No attempt that could still start would be of use.
    NoProspect,
    /// Its attempt ended without an answer for the client.
    AttemptFailed,
    /// It needs no answer any more.
    Closed,
    /// The last moment for a final answer.
    AnswerDue,
}

/// When a request arrived, and the deadlines that count from its arrival.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestDeadlines {
    pub arrived_at: Timestamp,
    /// An answer after this time has no value.
    pub useful_until: Timestamp,
    /// Its final answer must be given by then.
    pub answer_by: Timestamp,
}

impl RequestDeadlines {
    /// When half of the time that the request has is over.
    pub fn half_time(&self) -> Timestamp {
        self.arrived_at + (self.answer_by - self.arrived_at) / 2
    }
}

/// What a request's session needs: the positions that a read must see, and the writes that later reads must.
#[derive(Clone, Copy, Debug, Default)]
pub struct SessionRequirement {
    /// The position that a read must see however stale it may be: that of its arrival, or of what its session wrote or
    /// saw.
    pub required_position: Option<Timestamp>,
    /// Its session has seen a position that no endpoint checks by itself.
    pub carries_position: bool,
    /// The session that a write is recorded for, if sessions are remembered here.
    pub recorded_session: Option<u64>,
}

/// What the attempts of a request have come to.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptHistory {
    /// Attempts started.
    pub started: u32,
    /// One of them has reached an endpoint, whether or not it ran.
    pub reached_endpoint: bool,
    /// Set once the request may have run: until then it may be retried.
    pub retry_until: Option<Timestamp>,
    /// Attempts rejected because the endpoint was not the primary or too stale.
    pub eligibility_rejections: u32,
    /// The endpoint of the last failed attempt, used again only if it is the only one.
    pub last_failed_endpoint: Option<EndpointIndex>,
}

impl AttemptHistory {
    /// An attempt has ended without a value.
    pub fn record_failure(&mut self, end: &AttemptEnd) {
        let not_sent = matches!(end.outcome, AttemptOutcome::NotSent | AttemptOutcome::Unreachable);
        self.reached_endpoint |= !not_sent;
        self.eligibility_rejections += u32::from(end.outcome == AttemptOutcome::NotEligible);
        self.last_failed_endpoint = Some(end.attempt.endpoint);
    }
}

/// An open request.
#[derive(Default)]
pub struct Request {
    pub phase: RequestPhase,
    pub method: MethodIndex,
    pub group: GroupIndex,
    pub deadlines: RequestDeadlines,
    pub session: SessionRequirement,
    /// Its client sent it before, most likely until an answer had no value any more.
    pub client_retry: bool,
    pub attempts: AttemptHistory,
    pub in_flight: Option<InFlightAttempt>,
}

/// An attempt that is in flight.
pub struct InFlightAttempt {
    /// Among the attempts of its request, from 0.
    pub number: u32,
    pub started_at: Timestamp,
    /// Expected work at the endpoint, in seconds.
    pub work: f64,
    /// An answer that takes longer than this is a sign of a queue at the endpoint.
    pub queue_threshold: TimeDelta,
    /// At least half of the endpoint's concurrency limit was in use when it started.
    pub under_pressure: bool,
}
