//! Open requests and their attempts in flight.

use crate::events::{AttemptEnd, AttemptOutcome, EndpointIndex, GroupIndex, MethodIndex};
use crate::time::{TimeDelta, Timestamp};

/// Phase of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequestPhase {
    /// Waiting for an endpoint.
    #[default]
    Waiting,
    /// An attempt is in flight.
    InFlight,
    /// Answered, or no answer is needed any more.
    Done,
}

/// Event in the lifecycle of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEvent {
    /// It may be possible to start an attempt: the request arrived, or its group changed.
    Progress,
    /// An endpoint was selected for its next attempt.
    EndpointSelected(EndpointIndex),
    /// No attempt that could still start would be of use.
    NoProspect,
    /// Its attempt ended without an answer for the client.
    AttemptFailed,
    /// No answer is needed any more.
    Closed,
    /// The final answer is due.
    AnswerDue,
}

/// Arrival and deadlines of a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestDeadlines {
    pub arrived_at: Timestamp,
    /// An answer after this time has no value.
    pub useful_until: Timestamp,
    /// Its final answer must be given by this time.
    pub answer_by: Timestamp,
}

impl RequestDeadlines {
    /// The middle of the time between arrival and `answer_by`.
    pub fn half_time(&self) -> Timestamp {
        self.arrived_at + (self.answer_by - self.arrived_at) / 2
    }
}

/// Session guarantees of a request: the position that a read must see, and the session that a write is recorded for.
#[derive(Clone, Copy, Debug, Default)]
pub struct SessionRequirement {
    /// Position that a read must see regardless of its bound on staleness: that of its arrival, or of what its
    /// session wrote or read before.
    pub required_position: Option<Timestamp>,
    /// The required position includes one that the session has seen, which endpoints do not check themselves.
    pub carries_position: bool,
    /// Session that a write is recorded for, if this instance keeps session positions.
    pub recorded_session: Option<u64>,
}

/// Summary of the attempts of a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptHistory {
    /// Number of attempts started.
    pub started: u32,
    /// An attempt has reached an endpoint, whether or not it was executed.
    pub reached_endpoint: bool,
    /// End of the retry window, set once the request may have been executed.
    pub retry_until: Option<Timestamp>,
    /// Number of attempts rejected because the endpoint was not the primary or too stale.
    pub eligibility_rejections: u32,
    /// Endpoint of the last failed attempt.
    pub last_failed_endpoint: Option<EndpointIndex>,
}

impl AttemptHistory {
    /// Records an attempt that ended without a value.
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
    /// It is a client's retry: the client has most likely given up waiting for an earlier answer.
    pub client_retry: bool,
    pub attempts: AttemptHistory,
    pub in_flight: Option<InFlightAttempt>,
}

/// An attempt in flight.
pub struct InFlightAttempt {
    /// Index among the attempts of its request.
    pub number: u32,
    pub started_at: Timestamp,
    /// Expected work at the endpoint, in seconds.
    pub work: f64,
    /// Latency from which an answer indicates a queue at the endpoint.
    pub queue_threshold: TimeDelta,
    /// At least half of the endpoint's concurrency limit was in use when it started.
    pub under_pressure: bool,
}
