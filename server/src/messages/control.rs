//! The messages to the control loop, and the attempts that it starts.

use crate::messages::endpoint_list::ListedEndpoint;
use crate::messages::journal_entry::{JournalEntry, JournalVerdict};
use crate::messages::request::{ClientRequest, RequestText};
use crate::messages::response::ResponseTicket;
use crate::messages::snapshot::ServerSnapshot;
use crate::runtime::cancellation::CancellationToken;
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

/// A request received from a client.
pub struct IncomingRequest {
    /// The checked header of the statement.
    pub header: ClientRequest,
    /// The text of the statement.
    pub text: RequestText,
    /// Answers the request.
    pub ticket: ResponseTicket,
}

/// A question whether an attempt may still be sent, asked right before the send.
pub struct AttemptConfirmation {
    /// The attempt.
    pub attempt: AttemptId,
    /// Receives true if the attempt may be sent.
    pub reply: Sender<bool>,
}

/// The end of a health check.
pub struct HealthCheckEnd {
    /// The endpoint.
    pub endpoint: EndpointIndex,
    /// The outcome.
    pub outcome: AttemptOutcome,
    /// The duration of the health check.
    pub elapsed: TimeDelta,
    /// The endpoint's load report; empty if it sent none.
    pub report: EndpointReport,
}

/// A client's query for the fate of a write.
pub struct FateQuery {
    /// The id of the write.
    pub id: String,
    /// The origin of the write: the journal in which it was recorded, if the client named it.
    pub origin: Option<Origin>,
    /// Answers the query.
    pub ticket: ResponseTicket,
}

/// The end of a query of primary discovery.
pub struct RoleQueryEnd {
    /// The endpoint.
    pub endpoint: EndpointIndex,
    /// When the query was sent.
    pub queried_at: Timestamp,
    /// The endpoint's answer, or why there is none.
    pub answer: Result<EndpointQueryAnswer, ConnectError>,
}

/// The limits on requests, and the client classes that share them.
#[derive(Clone)]
pub struct QueueLimits {
    /// The limits on requests in flight and waiting.
    pub limits: ConcurrencyLimits,
    /// The client classes.
    pub classes: Vec<ClientClass>,
}

/// A message to the control loop.
pub enum ControlMessage {
    /// A client has sent a request.
    Request(Box<IncomingRequest>),
    /// A client has disconnected.
    ClientGone {
        /// The client's pending request.
        request: RequestId,
    },
    /// An attempt is about to be sent.
    ConfirmAttempt(AttemptConfirmation),
    /// An endpoint has reported its epoch before an attempt is sent.
    EpochReported {
        /// The request of the attempt.
        request: RequestId,
        /// The reported epoch.
        epoch: Epoch,
    },
    /// An attempt has ended.
    AttemptEnded(Box<AttemptResult>),
    /// A health check has ended.
    HealthCheckEnded(HealthCheckEnd),
    /// Discovery has sent an endpoint list, or changes to it.
    EndpointList {
        /// The list is complete; otherwise it holds only the changed endpoints.
        complete: bool,
        /// The listed endpoints.
        endpoints: Vec<ListedEndpoint>,
    },
    /// The watch on discovery has ended.
    DiscoveryWatchEnded,
    /// A client queries the fate of a write.
    QueryFate(FateQuery),
    /// The list that was cached before the start.
    CachedList(CachedEndpointList),
    /// A query of primary discovery has ended.
    RoleQueryEnded(RoleQueryEnd),
    /// The limits on requests have changed; `None` removes them.
    SetQueueLimits(Option<QueueLimits>),
    /// The admin socket requests a snapshot.
    Snapshot {
        /// Receives the snapshot.
        reply: mpsc::Sender<ServerSnapshot>,
    },
    /// A scheduled wake-up.
    WakeUp {
        /// The time for which it was scheduled.
        at: Timestamp,
    },
}

/// An endpoint's answer to a health check or a query of primary discovery.
#[derive(Clone, Debug)]
pub struct EndpointQueryAnswer {
    /// The outcome.
    pub outcome: AttemptOutcome,
    /// The endpoint's load report.
    pub report: EndpointReport,
    /// The endpoint's own `name,timeline`, if the query asked for it.
    pub identity: Option<String>,
}

/// Why no connection to an endpoint was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectError {
    /// The outcome for an attempt that needed the connection.
    pub outcome: AttemptOutcome,
    /// The endpoint's host refused the connection, so nothing listens at the address.
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

/// The request as an attempt sends it, and the steps before the send.
pub struct OutgoingRequest {
    /// The text of the statement.
    pub text: Arc<RequestText>,
    /// The entry to record in the write journal first, if any.
    pub journal_entry: Option<JournalEntry>,
    /// The endpoint's epoch must be known first, to check that its log contains the session's position.
    pub needs_epoch: bool,
}

/// The parameters of an attempt.
pub struct AttemptJob {
    /// The attempt.
    pub attempt: AttemptId,
    /// The address of the endpoint.
    pub addr: SocketAddr,
    /// The start time and the deadline.
    pub times: AttemptTimes,
    /// The request to send.
    pub outgoing: OutgoingRequest,
    /// Cancels the attempt.
    pub cancellation: Arc<CancellationToken>,
}

/// What an answer reports about its endpoint, apart from the value.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerMetadata {
    /// The role and position of the endpoint when it answered.
    pub answer_report: EndpointReport,
    /// The load report that the answer carried, which may be older.
    pub load_report: EndpointReport,
    /// The epoch of the log that the endpoint answered from.
    pub epoch: Option<Epoch>,
}

/// The end of an attempt.
pub struct AttemptResult {
    /// The attempt.
    pub attempt: AttemptId,
    /// When the attempt was started.
    pub started_at: Timestamp,
    /// The outcome.
    pub outcome: AttemptOutcome,
    /// The messages of the value; empty unless the attempt succeeded.
    pub value: Vec<u8>,
    /// What the answer reports about its endpoint.
    pub metadata: AnswerMetadata,
    /// The verdict of the write journal, if it was asked. An attempt that it allows is not necessarily sent.
    pub journal_verdict: Option<JournalVerdict>,
}

impl AttemptResult {
    /// The report of an attempt that was not sent.
    pub fn not_sent(attempt: AttemptId, started_at: Timestamp) -> AttemptResult {
        AttemptResult {
            attempt,
            started_at,
            outcome: AttemptOutcome::NotSent,
            value: Vec::new(),
            metadata: AnswerMetadata::default(),
            journal_verdict: None,
        }
    }
}
