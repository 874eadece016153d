//! What a host reports to the routing policy and what the policy asks for. No decision is made here.
//!
//! A host maps its own identifiers to [`RequestId`], [`EndpointIndex`] and [`GroupIndex`], and its own times to
//! [`Timestamp`] and [`TimeDelta`].

use crate::time::{TimeDelta, Timestamp};

/// A number that the host gives each request, rising and never used twice.
pub type RequestId = u64;
/// The host's dense index of an endpoint; the same endpoint keeps it for the life of an instance.
pub type EndpointIndex = usize;
/// The host's dense index of a replication group.
pub type GroupIndex = usize;
/// Index into [`RoutingSettings::methods`](crate::RoutingSettings::methods).
pub type MethodIndex = usize;

/// Whether an endpoint may get new attempts, by the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// It may.
    Serving,
    /// It is about to stop and may get none.
    Draining,
    /// It is no longer listed.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointRecord {
    /// Which endpoint.
    pub endpoint: EndpointIndex,
    /// Its replication group.
    pub group: GroupIndex,
    /// Its zone.
    pub zone: usize,
    /// Whether it may get attempts.
    pub status: EndpointStatus,
    /// The list names it as the primary of its group.
    pub primary: bool,
    /// When its process last started, if that was recent.
    pub started_at: Option<Timestamp>,
    /// `started_at` is only the latest possible time; a later record goes before it.
    pub start_presumed: bool,
}

/// The role of a member in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It takes writes.
    Primary,
    /// It applies the primary's log.
    Replica,
}

/// What an endpoint reports of itself. Any part may be missing, outdated or wrong.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointReport {
    /// The commit time up to which its data is complete.
    pub position: Option<Timestamp>,
    /// Its role.
    pub role: Option<Role>,
    /// The fraction of its cores that is busy.
    pub load: Option<f64>,
}

/// Which member of a group may be taken for its primary. A host that starts from a cached endpoint list restricts this
/// until a primary is verified; otherwise it is always [`PrimaryEligibility::Any`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PrimaryEligibility {
    /// Whichever has the latest claim.
    #[default]
    Any,
    /// None.
    Nobody,
    /// Only this one, as long as it claims to be primary.
    Only(EndpointIndex),
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint answered with a value.
    Succeeded,
    /// The endpoint answered with an error; the request may have run.
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
    /// The endpoint rejected it untouched: not the primary, or its data is too stale.
    NotEligible,
}

impl AttemptOutcome {
    /// Whether it proves that the request did not run.
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

/// A request that a client has sent to this instance.
#[derive(Clone, Debug)]
pub struct RequestArrival {
    /// Its number.
    pub request: RequestId,
    /// Its method.
    pub method: MethodIndex,
    /// The group that holds its data.
    pub group: GroupIndex,
    /// Its client's session.
    pub session: Option<u64>,
    /// How long before the arrival its session's last write was committed, if clients carry that.
    pub last_write: Option<TimeDelta>,
    /// The position that its session has seen: a read must show at least that, whatever its method.
    pub seen_position: Option<Timestamp>,
    /// When it came to the host; the latency objective counts from then.
    pub received_at: Timestamp,
    /// When its client gives it up.
    pub deadline: Timestamp,
    /// Its client says that it sent the request before.
    pub client_retry: bool,
}

/// Which attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// Its request.
    pub request: RequestId,
    /// Its number among the attempts of the request, from 0.
    pub number: u32,
    /// Where it is sent.
    pub endpoint: EndpointIndex,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// Which attempt.
    pub attempt: AttemptId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Time since it started.
    pub elapsed: TimeDelta,
    /// The request needs no answer any more.
    pub request_closed: bool,
    /// If it was a write, the session that it was made for.
    pub write_session: Option<u64>,
    /// What the answer itself says of the endpoint, as of now.
    pub answer_report: EndpointReport,
    /// A load report that came with it, as old as that is.
    pub load_report: EndpointReport,
}

/// Something that has happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Records of the endpoint list have come.
    EndpointList {
        /// They are the whole list, not changes to it.
        complete: bool,
        /// The records.
        records: Vec<EndpointRecord>,
    },
    /// Which member may be taken for the primary from now on.
    PrimaryEligibility {
        /// The group.
        group: GroupIndex,
        /// The member.
        eligibility: PrimaryEligibility,
    },
    /// A poll of the endpoint list failed, or its watch ended.
    EndpointListFailed,
    /// A client sent a request.
    RequestArrived(RequestArrival),
    /// The client has begun to get its answer: the request is no longer the policy's.
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
        /// Time since it started.
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

/// Something for the host to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to an endpoint.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// Where to.
        endpoint: EndpointIndex,
        /// The time that the endpoint has for it.
        timeout: TimeDelta,
    },
    /// Answer that the request did not run, or may be sent again.
    Reject {
        /// The request.
        request: RequestId,
        /// The Retry-After to tell, if one may be told.
        retry_after: Option<TimeDelta>,
    },
    /// Answer that the request may have run and must not be sent again.
    Abort {
        /// The request.
        request: RequestId,
    },
    /// Cancel an attempt in flight.
    CancelAttempt {
        /// Its request.
        request: RequestId,
        /// Its number.
        attempt: u32,
    },
    /// Report [`Event::TimerFired`] at a time.
    SetTimer {
        /// The tag to report.
        tag: u64,
        /// When.
        at: Timestamp,
    },
    /// Ask an endpoint for a health report.
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
