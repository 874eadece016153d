//! What the control loop is told, and the attempts that it starts.

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

/// A request that has come from a client.
pub struct IncomingRequest {
    /// Its header.
    pub header: ClientRequest,
    /// Its text.
    pub text: RequestText,
    /// The obligation to answer it.
    pub ticket: ResponseTicket,
}

/// Asked right before an attempt's bytes are sent.
pub struct ConfirmAttempt {
    /// Which attempt.
    pub attempt: AttemptId,
    /// Whether it may be sent.
    pub reply: Sender<bool>,
}

/// A health check has ended.
pub struct HealthCheckEnd {
    /// The endpoint.
    pub endpoint: EndpointIndex,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Time since it started.
    pub elapsed: TimeDelta,
    /// What the endpoint reported.
    pub report: EndpointReport,
}

/// A client asks what became of a write.
pub struct FateQuery {
    /// The id of the write.
    pub id: String,
    /// Where it was sent.
    pub origin: Option<Origin>,
    /// The obligation to answer.
    pub ticket: ResponseTicket,
}

/// A query of primary discovery has ended.
pub struct QueryEnd {
    /// The endpoint.
    pub endpoint: EndpointIndex,
    /// When the query was sent.
    pub queried_at: Timestamp,
    /// Its answer.
    pub answer: Result<QueryAnswer, ConnectError>,
}

/// The limits on requests, and the classes of clients.
#[derive(Clone)]
pub struct QueueLimits {
    /// The limits.
    pub limits: ConcurrencyLimits,
    /// The classes.
    pub classes: Vec<ClientClass>,
}

/// What the control loop is told.
pub enum ControlMessage {
    /// A client sent a request.
    Request(Box<IncomingRequest>),
    /// A client closed its connection.
    ClientGone {
        /// Its request.
        request: RequestId,
    },
    /// An attempt is about to be sent.
    Confirm(ConfirmAttempt),
    /// An endpoint has reported its epoch, before an attempt is sent.
    EpochReported {
        /// The request of the attempt.
        request: RequestId,
        /// The epoch.
        epoch: Epoch,
    },
    /// An attempt has ended.
    AttemptEnded(Box<AttemptReport>),
    /// A health check has ended.
    HealthCheckEnded(HealthCheckEnd),
    /// Discovery gave a list, or changes to it.
    EndpointList {
        /// It is the whole list.
        complete: bool,
        /// Its entries.
        endpoints: Vec<ListedEndpoint>,
    },
    /// The watch on discovery ended.
    EndpointListFailed,
    /// A client asks what became of a write.
    QueryFate(FateQuery),
    /// A list was cached before this start.
    CachedList(CachedEndpointList),
    /// A query of primary discovery has ended.
    QueryEnded(QueryEnd),
    /// The limits on requests have changed; none: there are none.
    SetQueueLimits(Option<QueueLimits>),
    /// Operators want to see what there is.
    Snapshot {
        /// Where it goes.
        reply: mpsc::Sender<ServerSnapshot>,
    },
    /// The wake-up that was set for this time.
    WakeUp {
        /// The time.
        at: Timestamp,
    },
}

/// What an endpoint answered to a query.
#[derive(Clone, Debug)]
pub struct QueryAnswer {
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// What it reported.
    pub report: EndpointReport,
    /// Its name and timeline in its own words, if it was asked for them.
    pub identity: Option<String>,
}

/// Why no connection to an endpoint was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectError {
    /// What that is to an attempt.
    pub outcome: AttemptOutcome,
    /// The endpoint's machine itself says that nothing listens there.
    pub refused: bool,
}

impl From<AttemptOutcome> for ConnectError {
    fn from(outcome: AttemptOutcome) -> ConnectError {
        ConnectError { outcome, refused: false }
    }
}

/// When an attempt was started, and when it times out.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTimes {
    /// When it was started.
    pub started_at: Timestamp,
    /// When it times out.
    pub deadline: Timestamp,
}

/// What an attempt sends, and what must be done before.
pub struct OutgoingRequest {
    /// What is sent.
    pub text: Arc<RequestText>,
    /// What must be recorded first.
    pub journal_entry: Option<JournalEntry>,
    /// It must go to a log that has what its session saw: the endpoint reports its epoch first.
    pub needs_epoch: bool,
}

/// An attempt to be made.
pub struct AttemptJob {
    /// Which attempt.
    pub attempt: AttemptId,
    /// The address of its endpoint.
    pub addr: SocketAddr,
    /// Its times.
    pub times: AttemptTimes,
    /// What it sends.
    pub outgoing: OutgoingRequest,
    /// Cancels it.
    pub cancellation: Arc<CancellationToken>,
}

/// What an answer says of its endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerReports {
    /// What the answer itself says, as of now.
    pub answer: EndpointReport,
    /// A load report that came with it.
    pub load: EndpointReport,
    /// The epoch of the log that it was answered from.
    pub epoch: Option<Epoch>,
}

/// What became of an attempt.
pub struct AttemptReport {
    /// Which attempt.
    pub attempt: AttemptId,
    /// When it was started.
    pub started_at: Timestamp,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The messages of the value.
    pub value: Vec<u8>,
    /// What the answer says of its endpoint.
    pub reports: AnswerReports,
    /// What the journal said, if it was asked, whether or not the attempt was sent then.
    pub journal_verdict: Option<JournalVerdict>,
}

impl AttemptReport {
    /// Of an attempt that was not sent.
    pub fn not_sent(attempt: AttemptId, started_at: Timestamp) -> AttemptReport {
        AttemptReport {
            attempt,
            started_at,
            outcome: AttemptOutcome::NotSent,
            value: Vec::new(),
            reports: AnswerReports::default(),
            journal_verdict: None,
        }
    }
}
