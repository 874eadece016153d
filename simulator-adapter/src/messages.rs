//! The messages between the simulator and the adapter, one JSON object a line. Identifiers use the terms of the routing
//! policy; a `rename` attribute gives the name on the wire where the two differ. Times are in nanoseconds unless the
//! name of a field says otherwise.

use host_support::bootstrap_config::BootstrapConfig;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// A message from the simulator. `instance` is the number of the instance that it concerns.
#[derive(Deserialize)]
pub enum InputMessage<'a> {
    /// Begins a batch of messages, which all happen at the same time.
    #[serde(rename = "Frame")]
    BeginBatch {
        #[serde(rename = "nowNs")]
        now_ns: i64,
        /// Returned in the reply that ends the batch's replies.
        serial: u64,
    },
    /// Ends the batch and requests the replies to it.
    #[serde(rename = "Go")]
    EndBatch {},
    /// Starts an instance.
    Start {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "rngSeed")]
        seed: u64,
        #[serde(rename = "bootInfo")]
        config: Box<BootstrapConfig>,
    },
    /// Removes an instance with all of its state.
    #[serde(rename = "Detach")]
    Remove {
        #[serde(rename = "front")]
        instance: u32,
    },
    /// Defines the content of an endpoint list, which [`Self::EndpointList`] messages then name by its number.
    DefineList {
        #[serde(rename = "page")]
        list: usize,
        records: Vec<ListRecord>,
    },
    /// Discovery delivered an endpoint list, or failed.
    #[serde(rename = "Discovery")]
    EndpointList {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "how")]
        kind: ListKind,
        #[serde(default, rename = "page")]
        list: usize,
    },
    #[serde(borrow, rename = "Inbound")]
    RequestArrived(RequestArrived<'a>),
    /// An endpoint began to send the response to a request.
    #[serde(borrow, rename = "Flowing")]
    ResponseStarted(RequestRef<'a>),
    #[serde(borrow, rename = "AttemptEnd")]
    AttemptEnded(AttemptEnded<'a>),
    /// The client of a request has closed its connection.
    #[serde(borrow, rename = "Gone")]
    ClientGone(RequestRef<'a>),
    /// A timer that the policy has set is due.
    #[serde(rename = "Fired")]
    TimerFired {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "nonce")]
        tag: u64,
    },
    /// A health check has ended.
    #[serde(rename = "ProbeResult")]
    HealthCheckEnded {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(borrow, rename = "store")]
        endpoint: Cow<'a, str>,
        status: Status,
        #[serde(default, rename = "waitTimeNs")]
        elapsed_ns: i64,
        /// Values of the report fields that the instance's configuration names, in the same order.
        #[serde(default, rename = "pressure")]
        report: Option<Vec<Option<f64>>>,
    },
    /// Another instance sent a message.
    #[serde(rename = "Inbox")]
    PeerMessage {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "src")]
        from: u32,
        /// The content in hexadecimal digits.
        #[serde(borrow)]
        bytes: Cow<'a, str>,
    },
}

/// Identifies an open request of an instance.
#[derive(Deserialize)]
pub struct RequestRef<'a> {
    #[serde(rename = "front")]
    pub instance: u32,
    #[serde(borrow, rename = "requestId")]
    pub request_id: Cow<'a, str>,
}

/// A client sent a request to an instance.
#[derive(Deserialize)]
pub struct RequestArrived<'a> {
    #[serde(rename = "front")]
    pub instance: u32,
    #[serde(borrow, rename = "requestId")]
    pub request_id: Cow<'a, str>,
    #[serde(default, rename = "dbNo")]
    pub group: i64,
    /// Key of the session in hexadecimal digits. `None` for a request without a session.
    #[serde(default, borrow, rename = "connKey")]
    pub session_key: Option<Cow<'a, str>>,
    #[serde(rename = "dropDeadNs")]
    pub deadline_ns: i64,
    /// Whether the client marked the request as a retry.
    #[serde(default, rename = "repeat")]
    pub is_retry: bool,
    /// Index of the method in the instance's configuration.
    #[serde(default, rename = "profile")]
    pub method: usize,
    /// Time from the commit of the session's last write to the request's arrival, in milliseconds. 0 if it is not
    /// known.
    #[serde(default, rename = "lastWriteMs")]
    pub last_write_ms: f64,
}

/// An attempt has ended.
#[derive(Deserialize)]
pub struct AttemptEnded<'a> {
    #[serde(rename = "front")]
    pub instance: u32,
    #[serde(borrow, rename = "requestId")]
    pub request_id: Cow<'a, str>,
    /// Number of the attempt among those of its request.
    #[serde(default, rename = "hop")]
    pub attempt: u32,
    /// Whether the request needs no further answer.
    #[serde(default, rename = "doneFlag")]
    pub request_closed: bool,
    #[serde(borrow, rename = "store")]
    pub endpoint: Cow<'a, str>,
    #[serde(default, rename = "waitTimeNs")]
    pub elapsed_ns: i64,
    pub status: Status,
    /// The endpoint's position in milliseconds, times 4, plus the code of its role. 0 if neither is known.
    #[serde(default, rename = "progress")]
    pub position_and_role: i64,
    /// Values of the report fields that the instance's configuration names, in the same order.
    #[serde(default, rename = "pressure")]
    pub report: Option<Vec<Option<f64>>>,
}

/// What discovery delivered.
#[derive(Clone, Copy, Deserialize, PartialEq)]
pub enum ListKind {
    /// Only some of the endpoints.
    Partial,
    /// All endpoints.
    Complete,
    /// All endpoints, from a stored list. Handled like [`Self::Complete`].
    Persisted,
    /// No list, since discovery failed.
    Error,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Status {
    Ok,
    Internal,
    ResourceExhausted,
    DeadlineExceeded,
    Unavailable,
    Aborted,
    Cancelled,
    TooLate,
    NotFound,
}

/// An endpoint in an endpoint list.
#[derive(Clone, Deserialize)]
pub struct ListRecord {
    #[serde(default, rename = "set")]
    pub group: i64,
    /// 1 for a primary.
    #[serde(default, rename = "isPrimary")]
    pub is_primary: f64,
    #[serde(rename = "store")]
    pub endpoint: String,
    /// Start time of the endpoint. 0 if it is not known.
    #[serde(default, rename = "launchedNs")]
    pub started_ns: i64,
    pub availability: Availability,
    #[serde(default, rename = "failureDomain")]
    pub zone: usize,
}

/// Status of an endpoint in an endpoint list.
#[derive(Clone, Copy, Deserialize)]
pub enum Availability {
    #[serde(rename = "healthy")]
    Serving,
    #[serde(rename = "cordoned")]
    Draining,
    #[serde(rename = "deregistered")]
    Removed,
}

/// A message to the simulator: an action of an instance's policy, or the end of a batch's replies.
#[derive(Serialize)]
pub enum OutputMessage<'a> {
    #[serde(rename = "Forward")]
    StartAttempt {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "requestId")]
        request_id: &'a str,
        #[serde(rename = "store")]
        endpoint: &'a str,
        #[serde(rename = "limitNs")]
        timeout_ns: i64,
    },
    #[serde(rename = "Shed")]
    Reject {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "requestId")]
        request_id: &'a str,
        /// Retry-After time. 0 if there is none.
        #[serde(rename = "comeBackNs")]
        retry_after_ns: i64,
    },
    #[serde(rename = "RespondError")]
    Abort {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "requestId")]
        request_id: &'a str,
    },
    #[serde(rename = "Withdraw")]
    CancelAttempt {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "requestId")]
        request_id: &'a str,
        #[serde(rename = "hop")]
        attempt: u32,
    },
    #[serde(rename = "Remind")]
    SetTimer {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "nonce")]
        tag: u64,
        #[serde(rename = "timeNs")]
        at_ns: i64,
    },
    #[serde(rename = "SoundOut")]
    CheckHealth {
        #[serde(rename = "front")]
        instance: u32,
        #[serde(rename = "store")]
        endpoint: &'a str,
    },
    #[serde(rename = "Watch")]
    WatchEndpointList {
        #[serde(rename = "front")]
        instance: u32,
        enable: bool,
    },
    #[serde(rename = "ListAll")]
    FetchEndpointList {
        #[serde(rename = "front")]
        instance: u32,
    },
    #[serde(rename = "Remark")]
    Log {
        #[serde(rename = "front")]
        instance: u32,
        message: &'a str,
    },
    /// Ends the replies to the batch with this serial number.
    #[serde(rename = "Yield")]
    EndReplies { serial: u64 },
}

/// Appends a message as one line.
pub fn append(replies: &mut Vec<u8>, message: &OutputMessage) {
    serde_json::to_writer(&mut *replies, message).expect("plain values always serialise");
    replies.push(b'\n');
}
