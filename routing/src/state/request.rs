//! Open requests and their attempts in flight.

use crate::events::{AttemptEnd, AttemptOutcome, EndpointIndex, GroupIndex, MethodIndex};
use crate::time::{TimeDelta, Timestamp};

/// Phase in the lifecycle of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequestPhase {
    /// The request waits for an endpoint.
    #[default]
    Waiting,
    /// An attempt of the request is in flight.
    InFlight,
    /// The request was answered or no longer needs an answer.
    Done,
}

/// Event in the lifecycle of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEvent {
    /// An attempt may have become possible: the request arrived, or the state of its group changed.
    AttemptPossible,
    /// An endpoint was selected for the next attempt.
    EndpointSelected(EndpointIndex),
    /// No further attempt can give a useful answer.
    CannotSucceed,
    /// The attempt in flight ended without an answer for the client.
    AttemptFailed,
    /// The request no longer needs an answer.
    Closed,
    /// The final answer must be given now.
    AnswerDue,
}

/// Arrival time and deadlines of a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestDeadlines {
    pub arrived_at: Timestamp,
    /// An answer after this time has no value.
    pub useful_until: Timestamp,
    /// The final answer must be given by this time.
    pub answer_by: Timestamp,
}

impl RequestDeadlines {
    /// The time at which half of the time between arrival and `answer_by` has passed.
    pub fn half_timeout_at(&self) -> Timestamp {
        self.arrived_at + (self.answer_by - self.arrived_at) / 2
    }
}

/// What session guarantees require: the position that a read must see, or the session whose write is recorded.
#[derive(Clone, Copy, Debug, Default)]
pub struct SessionRequirement {
    /// Position that a read must see, in addition to its staleness bound: the arrival time of a strong read, or a
    /// position that the session has written or seen; `None` if no such position is known.
    pub required_position: Option<Timestamp>,
    /// Whether `required_position` includes a position that the session has seen. Endpoints do not check such a
    /// position themselves.
    pub includes_seen_position: bool,
    /// Session for which a write is recorded; `None` for a read or if this instance keeps no session positions.
    pub recorded_session: Option<u64>,
}

/// Summary of the attempts of a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptHistory {
    /// Number of attempts started.
    pub started: u32,
    /// Whether an attempt has reached an endpoint, executed or not.
    pub reached_endpoint: bool,
    /// End of the retry window; `None` until the request may have been executed.
    pub retry_until: Option<Timestamp>,
    /// Number of attempts rejected because the endpoint was not the primary or its data was too stale.
    pub eligibility_rejections: u32,
    /// Endpoint of the last failed attempt.
    pub last_failed_endpoint: Option<EndpointIndex>,
}

impl AttemptHistory {
    /// Records an attempt that did not succeed.
    pub fn record_failure(&mut self, end: &AttemptEnd) {
        let not_sent = matches!(end.outcome, AttemptOutcome::NotSent | AttemptOutcome::Unreachable);
        self.reached_endpoint |= !not_sent;
        self.eligibility_rejections += u32::from(end.outcome == AttemptOutcome::NotEligible);
        self.last_failed_endpoint = Some(end.attempt.endpoint);
    }
}

/// A request that is waiting or has an attempt in flight.
#[derive(Default)]
pub struct Request {
    pub phase: RequestPhase,
    pub method: MethodIndex,
    pub group: GroupIndex,
    pub deadlines: RequestDeadlines,
    pub session: SessionRequirement,
    /// Whether the request is its client's retry, of a method whose late answers have no value. The client has then
    /// most likely stopped waiting for the answer to its earlier request.
    pub client_retry: bool,
    pub attempts: AttemptHistory,
    pub in_flight: Option<InFlightAttempt>,
}

/// The attempt of a request that is in flight.
pub struct InFlightAttempt {
    /// Index among the attempts of the request, from 0.
    pub number: u32,
    pub started_at: Timestamp,
    /// Expected work at the endpoint, in seconds.
    pub work: f64,
    /// An answer that takes at least this long counts as late, which indicates a queue at the endpoint.
    pub queue_threshold: TimeDelta,
    /// Whether at least half of the endpoint's concurrency limit was in use when the attempt started.
    pub under_pressure: bool,
}
