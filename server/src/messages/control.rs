//! The messages that the control loop receives, and the jobs that it gives to attempts.

use crate::messages::endpoint_list::ListedEndpoint;
use crate::messages::journal_entry::{JournalEntry, JournalVerdict};
use crate::messages::request::{ClientRequest, RequestText};
use crate::messages::response::ResponseTicket;
use crate::messages::snapshot::ServerSnapshot;
use crate::runtime::cancellation::CancellationToken;
use crate::runtime::resource_limits::BufferCharge;
use admission::concurrency_limiter::ConcurrencyLimits;
use admission::ClientClass;
use endpoint_cache::CachedEndpointList;
use may::sync::mpsc::Sender;
use routing::time::{TimeDelta, Timestamp};
use routing::{AttemptId, AttemptOutcome, EndpointIndex, EndpointReport, RequestId};
use sessions::epochs::Epoch;
use std::net::SocketAddr;
use std::sync::{mpsc, Arc};
use write_journal::record_state::Origin;

/// A request from a client, as its connection sends it to the control loop.
pub struct IncomingRequest {
    /// The header of the statement, checked against the configuration.
    pub header: ClientRequest,
    /// The statement that is forwarded to an endpoint.
    pub text: RequestText,
    /// Sends the response to the client's connection.
    pub ticket: ResponseTicket,
}

/// A question to the control loop right before an attempt is sent: whether the attempt may still be sent.
pub struct AttemptConfirmation {
    /// The attempt that is about to be sent.
    pub attempt: AttemptId,
    /// The epoch of the endpoint's log, as the endpoint has reported it on the connection of the attempt; `None` if it
    /// is not known.
    pub epoch: Option<Epoch>,
    /// Receives true if the attempt may be sent, and false otherwise.
    pub reply: Sender<bool>,
}

/// The result of a health check.
pub struct HealthCheckResult {
    /// The endpoint that was checked.
    pub endpoint: EndpointIndex,
    /// How the health check ended.
    pub outcome: AttemptOutcome,
    /// The time that the health check took.
    pub elapsed: TimeDelta,
    /// The endpoint's load report; empty if the endpoint sent none.
    pub report: EndpointReport,
}

/// A client's query for the fate of a write.
pub struct FateQuery {
    /// The client's id of the write.
    pub id: String,
    /// The origin of the write, which identifies the journal that recorded the write; `None` if the client named none.
    pub origin: Option<Origin>,
    /// Sends the response to the client's connection.
    pub ticket: ResponseTicket,
}

/// The result of a role query: a query by which primary discovery learns an endpoint's role.
pub struct RoleQueryResult {
    /// The endpoint that was queried.
    pub endpoint: EndpointIndex,
    /// When the query was started.
    pub queried_at: Timestamp,
    /// The endpoint's answer, or why the query was not sent.
    pub answer: Result<EndpointQueryAnswer, ConnectError>,
}

/// The limits of the request queue, and the client classes that share them.
#[derive(Clone)]
pub struct QueueLimits {
    /// The limits on requests in flight and on waiting requests.
    pub limits: ConcurrencyLimits,
    /// The client classes of the operators' file.
    pub classes: Vec<ClientClass>,
}

/// A message to the control loop.
pub enum ControlMessage {
    /// A client has sent a request.
    Request(Box<IncomingRequest>),
    /// A request needs no response any more: its client has disconnected, or its connection is being closed after
    /// an error. One message is sent for each such request.
    ClientGone {
        /// The request, which had not been answered.
        request: RequestId,
    },
    /// An attempt is about to be sent and waits for confirmation.
    ConfirmAttempt(AttemptConfirmation),
    /// An attempt has ended.
    AttemptEnded(Box<AttemptResult>),
    /// A health check has ended.
    HealthCheckEnded(HealthCheckResult),
    /// Discovery has sent an endpoint list, or changes to it.
    EndpointList {
        /// Whether the list is complete; otherwise it contains only the endpoints that have changed.
        complete: bool,
        /// The entries of the list.
        endpoints: Vec<ListedEndpoint>,
    },
    /// The watch on discovery has ended.
    DiscoveryWatchEnded,
    /// A client queries the fate of a write.
    QueryFate(FateQuery),
    /// The endpoint list that was cached before the process was started.
    CachedList(CachedEndpointList),
    /// A role query has ended.
    RoleQueryEnded(RoleQueryResult),
    /// The limits on requests have changed; `None` removes them.
    SetQueueLimits(Option<QueueLimits>),
    /// The admin socket requests a snapshot.
    Snapshot {
        /// Receives the snapshot.
        reply: mpsc::Sender<ServerSnapshot>,
    },
    /// The time of a scheduled wake-up has come.
    WakeUp {
        /// The time for which the wake-up was scheduled.
        at: Timestamp,
    },
}

/// An endpoint's answer to a health check or a role query.
#[derive(Clone, Debug)]
pub struct EndpointQueryAnswer {
    /// How the query ended.
    pub outcome: AttemptOutcome,
    /// The endpoint's load report; empty if the endpoint sent no valid one.
    pub report: EndpointReport,
    /// The endpoint's own name and timeline, as `name,timeline`; `None` if the query did not ask for them.
    pub identity: Option<String>,
}

/// Why no connection to an endpoint could be opened, or why a query was not sent on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectError {
    /// The outcome of an attempt that needed the connection.
    pub outcome: AttemptOutcome,
    /// The endpoint's machine refused the connection, because no process listens at the address.
    pub refused: bool,
}

impl From<AttemptOutcome> for ConnectError {
    fn from(outcome: AttemptOutcome) -> ConnectError {
        ConnectError { outcome, refused: false }
    }
}

/// The start time and the deadline of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTimes {
    /// When the control loop started the attempt.
    pub started_at: Timestamp,
    /// When the attempt times out.
    pub deadline: Timestamp,
}

/// The request as an attempt sends it, and what the attempt must do before sending it.
pub struct OutgoingRequest {
    /// The statement, whose timeout is replaced before it is sent.
    pub text: Arc<RequestText>,
    /// The entry that must be recorded in the write journal first; `None` if the request is not journaled.
    pub journal_entry: Option<JournalEntry>,
    /// Whether the endpoint's epoch must be known before the request is sent, to check that the endpoint's log
    /// contains the position that the session has seen.
    pub needs_epoch: bool,
}

/// Everything that a coroutine needs to run an attempt.
pub struct AttemptJob {
    /// Identifies the attempt, with its request and endpoint.
    pub attempt: AttemptId,
    /// The address of the endpoint.
    pub addr: SocketAddr,
    /// The start time and the deadline of the attempt.
    pub times: AttemptTimes,
    /// The request to send, and what must be done before it is sent.
    pub outgoing: OutgoingRequest,
    /// Lets the control loop cancel the attempt.
    pub cancellation: Arc<CancellationToken>,
}

/// What an answer reports about its endpoint, in addition to the value.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerMetadata {
    /// The role and position of the endpoint when it answered.
    pub answer_report: EndpointReport,
    /// The load report in the answer, which the endpoint may have made earlier.
    pub load_report: EndpointReport,
    /// The epoch of the endpoint's log when it answered; `None` if the endpoint reported none.
    pub epoch: Option<Epoch>,
}

/// The result of an attempt, which is reported to the control loop.
pub struct AttemptResult {
    /// Identifies the attempt, with its request and endpoint.
    pub attempt: AttemptId,
    /// When the control loop started the attempt.
    pub started_at: Timestamp,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// The encoded messages of the value; empty unless the attempt succeeded.
    pub value: Vec<u8>,
    /// The memory of the value beyond what the request has reserved; `None` without an answer.
    pub charge: Option<BufferCharge>,
    /// What the answer reports about its endpoint; empty without an answer.
    pub metadata: AnswerMetadata,
    /// The verdict of the write journal; `None` if the journal was not asked. An attempt that the journal allows is
    /// not necessarily sent.
    pub journal_verdict: Option<JournalVerdict>,
}

impl AttemptResult {
    /// The result of an attempt that was not sent.
    pub fn not_sent(attempt: AttemptId, started_at: Timestamp) -> AttemptResult {
        AttemptResult {
            attempt,
            started_at,
            outcome: AttemptOutcome::NotSent,
            value: Vec::new(),
            charge: None,
            metadata: AnswerMetadata::default(),
            journal_verdict: None,
        }
    }
}
