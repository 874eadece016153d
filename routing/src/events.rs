//! Events that a host reports to the routing policy, and actions that the policy requests. No decision is made here.
//!
//! The host converts its own identifiers to [`RequestId`], [`EndpointIndex`] and [`GroupIndex`], and its own times to
//! [`Timestamp`] and [`TimeDelta`].

use crate::time::{TimeDelta, Timestamp};

/// Number that the host gives a request. Numbers ascend and are never reused.
pub type RequestId = u64;
/// Index that the host gives an endpoint. Indexes are dense, start at 0, and stay the same while the instance runs.
pub type EndpointIndex = usize;
/// Index that the host gives a replication group. Indexes are dense and start at 0.
pub type GroupIndex = usize;
/// Index into [`RoutingSettings::methods`](crate::RoutingSettings::methods).
pub type MethodIndex = usize;

/// Status of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// The endpoint may get new attempts.
    Serving,
    /// The endpoint is about to stop and must not get new attempts.
    Draining,
    /// The endpoint is no longer in the list.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointRecord {
    /// The listed endpoint.
    pub endpoint: EndpointIndex,
    /// Replication group of the endpoint.
    pub group: GroupIndex,
    /// Zone of the endpoint, as an index among the zones that the host knows.
    pub zone: usize,
    /// Whether the endpoint may get new attempts.
    pub status: EndpointStatus,
    /// Whether the list names the endpoint as the primary of its group.
    pub primary: bool,
    /// When the endpoint's process last started; `None` if that is unknown or too long ago to matter.
    pub started_at: Option<Timestamp>,
    /// Whether `started_at` is only the latest possible start time. A later record replaces such a time.
    pub start_is_upper_bound: bool,
}

/// The role of a member in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The member that executes writes.
    Primary,
    /// A member that replicates the primary's log.
    Replica,
}

/// An endpoint's report of its own state. Any part may be missing, outdated or wrong.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointReport {
    /// Commit time up to which the endpoint's data is complete.
    pub position: Option<Timestamp>,
    /// The role that the endpoint claims.
    pub role: Option<Role>,
    /// Fraction of the endpoint's cores that is busy.
    pub load: Option<f64>,
}

/// Which member of a group may be assumed to be the group's primary. A host that starts from a cached endpoint list
/// restricts the eligible members until a primary is verified; any other host leaves [`PrimaryEligibility::Any`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PrimaryEligibility {
    /// The member with the latest claim.
    #[default]
    Any,
    /// No member.
    NoMember,
    /// Only this member, and only while it claims to be the primary.
    Only(EndpointIndex),
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint answered with a value.
    Succeeded,
    /// The endpoint answered with an error. The request may have been executed.
    Failed,
    /// The endpoint rejected the attempt without reading it, because the endpoint is overloaded or draining.
    Rejected,
    /// No answer arrived within the timeout.
    TimedOut,
    /// No connection to the endpoint could be made.
    Unreachable,
    /// The connection broke while the attempt was in flight.
    ConnectionLost,
    /// The attempt was cancelled while it was in flight.
    Cancelled,
    /// The attempt was not sent completely, so the endpoint cannot have executed it.
    NotSent,
    /// The endpoint did not execute the attempt, because it is not the primary or its data is too stale.
    NotEligible,
}

impl AttemptOutcome {
    /// Whether the outcome proves that the attempt was not executed.
    pub fn proves_not_executed(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected
                | AttemptOutcome::Unreachable
                | AttemptOutcome::NotSent
                | AttemptOutcome::NotEligible
        )
    }
}

/// A request that arrived at this instance.
#[derive(Clone, Debug)]
pub struct RequestArrival {
    /// Number that the host has given the request.
    pub request: RequestId,
    /// Method of the request. A request of a method that the settings do not have is rejected.
    pub method: MethodIndex,
    /// The group that holds the data of the request.
    pub group: GroupIndex,
    /// Session of the client; `None` if the client has no session.
    pub session: Option<u64>,
    /// Time from the commit of the session's last write to the arrival of the request; `None` if the client has not
    /// sent this time.
    pub last_write: Option<TimeDelta>,
    /// Highest position that the session is known to have seen; `None` if there is none. A read of any method must
    /// see at least this position.
    pub seen_position: Option<Timestamp>,
    /// When the host received the request. The latency objective counts from this time.
    pub received_at: Timestamp,
    /// When the client stops waiting for the answer.
    pub deadline: Timestamp,
    /// Whether the client has sent the request as a retry of an earlier one.
    pub client_retry: bool,
}

/// Identity of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Index of the attempt among the attempts of the request, from 0.
    pub number: u32,
    /// The endpoint to which the attempt is sent.
    pub endpoint: EndpointIndex,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// The attempt that has ended.
    pub attempt: AttemptId,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Time from the start to the end of the attempt.
    pub elapsed: TimeDelta,
    /// Whether the request needs no further answer from the policy.
    pub request_closed: bool,
    /// Session of the request if the request is a write and has a session.
    pub write_session: Option<u64>,
    /// What the answer itself states about the endpoint, as of the time of the answer.
    pub answer_report: EndpointReport,
    /// Report that the endpoint sent along with the answer. It may be older than the answer.
    pub load_report: EndpointReport,
}

/// An event that the host reports.
#[derive(Clone, Debug)]
pub enum Event {
    /// Records of the endpoint list have been received.
    EndpointList {
        /// Whether the records are the complete list; otherwise they are changes to the list.
        complete: bool,
        /// The records, in the order in which they apply.
        records: Vec<EndpointRecord>,
    },
    /// A group's [`PrimaryEligibility`] has changed.
    PrimaryEligibility {
        /// The group with the change.
        group: GroupIndex,
        /// The eligibility from now on.
        eligibility: PrimaryEligibility,
    },
    /// A poll of the endpoint list failed, or the watch of the list ended.
    EndpointListFailed,
    /// A client sent a request.
    RequestArrived(RequestArrival),
    /// The response to the client has started, so the policy must no longer answer the request.
    ResponseStarted {
        /// The request that is being answered.
        request: RequestId,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnd),
    /// A client has closed its connection or cancelled its request.
    ClientGone {
        /// The client's request.
        request: RequestId,
    },
    /// A timer set by [`Action::SetTimer`] has fired.
    TimerFired {
        /// The tag that the timer was set with.
        tag: u64,
    },
    /// A health check has ended.
    HealthCheckEnded {
        /// The endpoint that was checked.
        endpoint: EndpointIndex,
        /// How the health check ended.
        outcome: AttemptOutcome,
        /// Time from the start to the end of the health check.
        elapsed: TimeDelta,
        /// What the endpoint reported; empty if it did not answer.
        report: EndpointReport,
    },
    /// Another instance has sent a message. The policy ignores it.
    PeerMessage {
        /// The instance that sent the message.
        from: u32,
        /// Content of the message.
        bytes: Vec<u8>,
    },
}

/// An action that the policy requests from the host.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt: send a request to an endpoint.
    StartAttempt {
        /// The request to send.
        request: RequestId,
        /// The endpoint that gets the request.
        endpoint: EndpointIndex,
        /// Time from the start of the attempt after which the endpoint starts no work on the attempt.
        timeout: TimeDelta,
    },
    /// Answer the client that the request was not executed or may safely be retried.
    Reject {
        /// The request to answer.
        request: RequestId,
        /// Retry-After for the client; `None` if the settings do not allow one.
        retry_after: Option<TimeDelta>,
    },
    /// Answer the client that the request may have been executed and must not be retried.
    Abort {
        /// The request to answer.
        request: RequestId,
    },
    /// Cancel an attempt in flight.
    CancelAttempt {
        /// The request of the attempt.
        request: RequestId,
        /// Index of the attempt among the attempts of the request.
        attempt: u32,
    },
    /// Report [`Event::TimerFired`] at a given time.
    SetTimer {
        /// The tag to report.
        tag: u64,
        /// When to report the tag.
        at: Timestamp,
    },
    /// Check the health of an endpoint and report [`Event::HealthCheckEnded`].
    CheckHealth {
        /// The endpoint to check.
        endpoint: EndpointIndex,
    },
    /// Poll the endpoint list, or renew the watch of the list.
    WatchEndpointList,
    /// Fetch the complete endpoint list.
    FetchEndpointList,
    /// Write a line to the log.
    Log(String),
}
