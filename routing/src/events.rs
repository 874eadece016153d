//! Events that a host reports to the routing policy, and actions that the policy requests. No decision is made here.
//!
//! A host maps its own identifiers to [`RequestId`], [`EndpointIndex`] and [`GroupIndex`], and its own times to
//! [`Timestamp`] and [`TimeDelta`].

use crate::time::{TimeDelta, Timestamp};

/// The host's number of a request: ascending and never reused.
pub type RequestId = u64;
/// The host's dense index of an endpoint, constant while the instance runs.
pub type EndpointIndex = usize;
/// The host's dense index of a replication group.
pub type GroupIndex = usize;
/// Index into [`RoutingSettings::methods`](crate::RoutingSettings::methods).
pub type MethodIndex = usize;

/// Status of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// It may get new attempts.
    Serving,
    /// It is about to stop and may get no new attempts.
    Draining,
    /// It is not listed any more.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointRecord {
    /// The endpoint.
    pub endpoint: EndpointIndex,
    /// Its replication group.
    pub group: GroupIndex,
    /// Its zone.
    pub zone: usize,
    /// Whether it may get new attempts.
    pub status: EndpointStatus,
    /// The list names it as the primary of its group.
    pub primary: bool,
    /// When its process last started, if that was recent.
    pub started_at: Option<Timestamp>,
    /// Whether `started_at` is only the latest possible start time. A later record replaces such a time.
    pub start_is_upper_bound: bool,
}

/// The role of a member in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It executes writes.
    Primary,
    /// It replicates the primary's log.
    Replica,
}

/// An endpoint's report of its own state. Any part may be missing, outdated or wrong.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointReport {
    /// Commit time up to which its data is complete.
    pub position: Option<Timestamp>,
    /// Its role.
    pub role: Option<Role>,
    /// Fraction of its cores that is busy.
    pub load: Option<f64>,
}

/// Which member of a group may be assumed to be its primary. A host that starts from a cached endpoint list restricts
/// this until a primary is verified; otherwise it is always [`PrimaryEligibility::Any`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PrimaryEligibility {
    /// The member with the latest claim.
    #[default]
    Any,
    /// No member.
    NoMember,
    /// Only this member, as long as it claims to be primary.
    Only(EndpointIndex),
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint answered with a value.
    Succeeded,
    /// The endpoint answered with an error; the request may have been executed.
    Failed,
    /// The endpoint rejected it unread: overloaded or draining.
    Rejected,
    /// No answer came in time.
    TimedOut,
    /// No connection could be made.
    Unreachable,
    /// The connection broke while the attempt was in flight.
    ConnectionLost,
    /// It was cancelled while in flight.
    Cancelled,
    /// Its last byte was never sent.
    NotSent,
    /// The endpoint rejected it unexecuted: it is not the primary, or its data is too stale.
    NotEligible,
}

impl AttemptOutcome {
    /// Whether it proves that the request was not executed.
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
    /// Number of the request.
    pub request: RequestId,
    /// Its method.
    pub method: MethodIndex,
    /// The group that holds its data.
    pub group: GroupIndex,
    /// Its client's session.
    pub session: Option<u64>,
    /// Time between the commit of its session's last write and its arrival, if clients send that.
    pub last_write: Option<TimeDelta>,
    /// Position that its session has seen: a read of any method must see at least this position.
    pub seen_position: Option<Timestamp>,
    /// When the host received it; the latency objective counts from this time.
    pub received_at: Timestamp,
    /// When its client stops waiting for the answer.
    pub deadline: Timestamp,
    /// It is a retry by its client.
    pub client_retry: bool,
}

/// Identity of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// Its request.
    pub request: RequestId,
    /// Index among the attempts of the request.
    pub number: u32,
    /// The endpoint that it is sent to.
    pub endpoint: EndpointIndex,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// The attempt.
    pub attempt: AttemptId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Time since its start.
    pub elapsed: TimeDelta,
    /// The request needs no answer any more.
    pub request_closed: bool,
    /// Session of the write, if the attempt was one.
    pub write_session: Option<u64>,
    /// Report in the answer itself, valid as of now.
    pub answer_report: EndpointReport,
    /// Report that accompanied the answer, which may be older.
    pub load_report: EndpointReport,
}

/// An event that the host reports.
#[derive(Clone, Debug)]
pub enum Event {
    /// Records of the endpoint list were received.
    EndpointList {
        /// The records are the complete list, not changes to it.
        complete: bool,
        /// The records.
        records: Vec<EndpointRecord>,
    },
    /// Changes which member of a group may be assumed to be the primary.
    PrimaryEligibility {
        /// The group.
        group: GroupIndex,
        /// The new eligibility.
        eligibility: PrimaryEligibility,
    },
    /// A poll of the endpoint list failed, or its watch ended.
    EndpointListFailed,
    /// A client sent a request.
    RequestArrived(RequestArrival),
    /// The response to the client has started: the policy must not answer the request any more.
    ResponseStarted {
        /// The request.
        request: RequestId,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnd),
    /// A client has closed its connection or cancelled.
    ClientGone {
        /// Its request.
        request: RequestId,
    },
    /// A timer set by [`Action::SetTimer`] has fired.
    TimerFired {
        /// The tag that it was set with.
        tag: u64,
    },
    /// A health check has ended.
    HealthCheckEnded {
        /// The endpoint checked.
        endpoint: EndpointIndex,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Time since its start.
        elapsed: TimeDelta,
        /// What the endpoint reported.
        report: EndpointReport,
    },
    /// Another instance sent a message; not used.
    PeerMessage {
        /// The instance.
        from: u32,
        /// Its message.
        bytes: Vec<u8>,
    },
}

/// An action that the policy requests of the host.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to an endpoint.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// The endpoint to send it to.
        endpoint: EndpointIndex,
        /// Time limit for the endpoint.
        timeout: TimeDelta,
    },
    /// Answer that the request was not executed or may be retried.
    Reject {
        /// The request.
        request: RequestId,
        /// Retry-After for the client, if the settings allow one.
        retry_after: Option<TimeDelta>,
    },
    /// Answer that the request may have been executed and must not be retried.
    Abort {
        /// The request.
        request: RequestId,
    },
    /// Cancel an attempt in flight.
    CancelAttempt {
        /// Its request.
        request: RequestId,
        /// Index of the attempt.
        attempt: u32,
    },
    /// Report [`Event::TimerFired`] at a time.
    SetTimer {
        /// The tag to report.
        tag: u64,
        /// Time at which to report it.
        at: Timestamp,
    },
    /// Query the health of an endpoint.
    CheckHealth {
        /// The endpoint.
        endpoint: EndpointIndex,
    },
    /// Poll the endpoint list, or renew its watch.
    WatchEndpointList,
    /// Fetch the whole endpoint list.
    FetchEndpointList,
    /// Write a line to the log.
    Log(String),
}
