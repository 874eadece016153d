//! Handling of the messages of clients: new requests and their admission, disconnections, and queries for the fate of
//! a write.

use crate::control::active_request::{ActiveRequest, ExecutionState, PendingResponse};
use crate::control::control_loop::ControlLoop;
use crate::control::executed_ids::IncomingWrite;
use crate::control::request_queue::QueuedRequest;
use crate::control::router_state::RouterState;
use crate::log;
use crate::messages::control::{FateQuery, IncomingRequest};
use crate::messages::request::{ClientRequest, RequestIdentity};
use crate::messages::response::Response;
use crate::protocol::sqlstate::{ClientError, SqlState};
use crate::runtime::clock::NANOS_PER_MILLI;
use recovery::primary_discovery;
use routing::time::{TimeDelta, Timestamp};
use routing::{Access, Event, Idempotency, MethodIndex, RequestArrival, RequestId, RoutingSettings};
use sessions::epochs::PositionStatus;
use sessions::positions::GroupNumber;
use std::sync::Arc;
use write_journal::record_state::{Deduplication, Fate};

/// The counter of writes that were rejected because there was no memory for their ids.
const NO_ID_PLACE_COUNTER: &str = "gingerwick_writes_without_id_memory_total";
/// The error for a request whose group number is not in the endpoint list.
const UNKNOWN_GROUP: ClientError =
    ClientError::new(SqlState::UNDEFINED_OBJECT, "cluster names no listed group");
/// The error for a request whose id another open request has.
const ID_IN_USE: ClientError = ClientError::new(SqlState::DUPLICATE_OBJECT, "id is that of an open query");
/// The error for a write whose id is that of an earlier write.
const ID_EXECUTED: ClientError = ClientError::new(
    SqlState::DUPLICATE_OBJECT,
    "id is that of an earlier write, which may have been executed",
);

impl ControlLoop {
    /// Adds a new request to the request queue, or admits it at once if requests are not limited.
    pub(super) fn on_request(&mut self, now: Timestamp, queued: QueuedRequest) {
        let mut admitted = Vec::new();
        match &mut self.state.queue {
            Some(queue) => queue.arrive(now, queued, &mut admitted),
            None => admitted.push(queued),
        }
        self.admit(now, admitted);
    }

    /// Passes admitted requests to the routing policy. Then releases the slots of finished requests, and passes on
    /// the requests that are admitted to these slots.
    pub(super) fn admit(&mut self, now: Timestamp, mut admitted: Vec<QueuedRequest>) {
        loop {
            for queued in admitted.drain(..) {
                let request = queued.request();
                if self.state.requests.len() >= self.config.max_open_requests {
                    let retry_after = self.config.settings.max_retry_after;
                    queued.incoming.ticket.answer(Response::Rejected { retry_after });
                    self.state.finished.push(request);
                } else if !self.state.open_request(now, queued, &self.config.settings) {
                    // A request that was opened is added to `finished` when it is released. This one was not opened.
                    self.state.finished.push(request);
                }
            }
            let finished = std::mem::take(&mut self.state.finished);
            let Some(queue) = self.state.queue.as_mut().filter(|_| !finished.is_empty()) else { return };
            for request in finished {
                queue.remove(now, request, &mut admitted);
            }
        }
    }

    /// Discards a request whose client has disconnected.
    pub(super) fn on_client_gone(&mut self, now: Timestamp, request: RequestId) {
        let mut admitted = Vec::new();
        let queue = self.state.queue.as_mut();
        if queue.is_some_and(|queue| queue.client_gone(now, request, &mut admitted)) {
            return self.admit(now, admitted);
        }
        let state = &mut self.state;
        let active = state.requests.get_mut(request);
        if active.is_some_and(|active| active.discard(&state.metrics, now)) {
            state.report_to_policy(now, Event::ClientGone { request });
            state.close(now, request);
        }
    }

    /// Answers a query for the fate of a write from the write journal. Without a journal the fate is unknown.
    pub(super) fn on_fate_query(&mut self, query: FateQuery) {
        let FateQuery { id, origin, ticket } = query;
        let request_open = self.state.ids.contains(id.as_str());
        match &self.state.journal {
            Some(journal) => {
                journal.query_fate(id, origin, request_open, |fate| ticket.answer(Response::Fate(fate)));
            }
            None => ticket.answer(Response::Fate(Fate::Unknown)),
        }
    }
}

impl RouterState {
    /// Opens a request and reports it to the routing policy. Returns false if the request cannot be routed and was
    /// answered instead.
    fn open_request(&mut self, now: Timestamp, queued: QueuedRequest, settings: &RoutingSettings) -> bool {
        let QueuedRequest { incoming, received_at } = queued;
        let arrival = match self.check_request(&incoming, received_at, settings) {
            Ok(arrival) => arrival,
            Err(response) => {
                incoming.ticket.answer(response);
                return false;
            }
        };
        let request = arrival.request;
        let abort_at = arrival.deadline - settings.clock_resolution;
        let active = self.new_active_request(*incoming, received_at, abort_at, settings);
        self.ids.insert(active.identity.id.clone());
        self.requests.insert(request, active);
        self.deadlines.set_abort_time(abort_at, request);
        let waiting = primary_discovery::Event::RequestWaiting { group: arrival.group };
        self.report_to_primary_discovery(now, waiting);
        self.report_to_policy(now, Event::RequestArrived(arrival));
        true
    }

    /// Checks whether a request can be routed, and converts it to the routing policy's type.
    ///
    /// # Errors
    /// The response to a request that cannot be routed: no list is known yet, the group is unknown, the session's
    /// position is lost, the id is in use, it is that of an earlier write, or there is no memory for it.
    fn check_request(
        &mut self,
        incoming: &IncomingRequest,
        received_at: Timestamp,
        settings: &RoutingSettings,
    ) -> Result<RequestArrival, Response> {
        let ClientRequest { identity, session, .. } = &incoming.header;
        if self.groups.is_empty() {
            // No endpoint list has been received yet, so the group may exist.
            return Err(Response::Rejected { retry_after: settings.max_retry_after });
        }
        let group = self.groups.get(&identity.group).ok_or(Response::Error(UNKNOWN_GROUP))?;
        let seen_position = match session
            .seen_position
            .map(|seen| self.epochs.position_status(identity.group, seen))
        {
            Some(PositionStatus::Lost) => {
                let restart_position = self.epochs.restart_position(identity.group);
                return Err(Response::SessionLost { restart_position });
            }
            Some(PositionStatus::OnLog(position) | PositionStatus::UnknownEpoch(position)) => Some(position),
            None => None,
        };
        // An endpoint would drop the second of two requests with the same id as a duplicate.
        if self.ids.contains(&identity.id) {
            return Err(Response::Error(ID_IN_USE));
        }
        if !self.is_new_or_deduplicated(&incoming.header, received_at, settings) {
            return Err(Response::Error(ID_EXECUTED));
        }
        if self.keeps_id(identity.method, settings) && !self.executed_ids.try_reserve(received_at) {
            metrics::counter!(NO_ID_PLACE_COUNTER).increment(1);
            log!(WARN, kept = self.executed_ids.len(); "write rejected, there is no memory for its id");
            return Err(Response::Rejected { retry_after: settings.max_retry_after });
        }
        Ok(RequestArrival {
            request: incoming.ticket.request,
            method: identity.method,
            group,
            session: session.number,
            last_write: session.since_last_write,
            seen_position,
            received_at,
            deadline: incoming.header.deadline,
            client_retry: incoming.header.client_retry,
        })
    }

    /// Whether the request's id is not that of an earlier write that would be executed again. Journaled writes are checked
    /// by the write journal.
    fn is_new_or_deduplicated(
        &mut self,
        header: &ClientRequest,
        now: Timestamp,
        settings: &RoutingSettings,
    ) -> bool {
        if !self.keeps_id(header.identity.method, settings) {
            return true;
        }
        let idempotency = settings.methods.get(header.identity.method).map(|method| method.idempotency);
        let RequestIdentity { id, group, .. } = &header.identity;
        let deduplication = deduplication(idempotency, *group, settings.clock_resolution);
        let write = IncomingWrite { id, group: *group, deadline: header.deadline, deduplication };
        self.executed_ids.allows(now, &write)
    }

    /// Whether the id of a request of this method is kept if it may have been executed.
    fn keeps_id(&self, method: MethodIndex, settings: &RoutingSettings) -> bool {
        let idempotency = settings.methods.get(method).map(|method| method.idempotency);
        self.journal.is_none() && idempotency != Some(Idempotency::Idempotent)
    }

    /// Creates the control loop's state of a new request.
    fn new_active_request(
        &self,
        incoming: IncomingRequest,
        received_at: Timestamp,
        abort_at: Timestamp,
        settings: &RoutingSettings,
    ) -> ActiveRequest {
        let IncomingRequest { header, text, ticket } = incoming;
        let method = settings.methods.get(header.identity.method);
        let idempotency = method.map(|method| method.idempotency);
        let is_read = method.is_some_and(|method| method.access != Access::Write);
        ActiveRequest {
            execution: ExecutionState {
                must_run_once: idempotency != Some(Idempotency::Idempotent),
                is_journaled: self.journal.is_some() && idempotency != Some(Idempotency::Idempotent),
                deduplication: deduplication(idempotency, header.identity.group, settings.clock_resolution),
                ..ExecutionState::default()
            },
            identity: header.identity,
            is_read,
            session: header.session,
            response: PendingResponse { ticket: Some(ticket), received_at, abort_at },
            text: Arc::new(text),
            attempt: None,
        }
    }
}

/// The scope and window in which endpoints drop duplicates of a write; `None` without an idempotency key.
fn deduplication(
    idempotency: Option<Idempotency>,
    group: GroupNumber,
    clock_resolution: TimeDelta,
) -> Option<Deduplication> {
    let Some(Idempotency::Keyed { all_groups, dedup_window }) = idempotency else { return None };
    let millis = |delta: TimeDelta| delta.0 / NANOS_PER_MILLI;
    let group = (!all_groups).then_some(group);
    Some(Deduplication::new(group, millis(dedup_window), millis(clock_resolution)))
}
