//! Requests: their admission, clients that are gone, and what became of a write.

use crate::control::active_request::{ActiveRequest, ExecutionState, PendingResponse};
use crate::control::control_loop::ControlLoop;
use crate::control::request_queue::QueuedRequest;
use crate::control::router_state::RouterState;
use crate::messages::control::{FateQuery, IncomingRequest};
use crate::messages::request::ClientRequest;
use crate::messages::response::Response;
use crate::protocol::sqlstate::{ClientError, SqlState};
use recovery::primary_discovery;
use routing::time::{TimeDelta, Timestamp};
use routing::{Access, Event, Idempotency, RequestArrival, RequestId, RoutingSettings};
use sessions::epochs::PositionStatus;
use sessions::positions::GroupNumber;
use std::sync::Arc;
use write_journal::record_state::{Deduplication, Fate};

const NANOS_PER_MILLI: i64 = 1_000_000;
const UNKNOWN_GROUP: ClientError =
    ClientError::new(SqlState::UNDEFINED_OBJECT, "cluster names no listed group");
const ID_IN_USE: ClientError = ClientError::new(SqlState::DUPLICATE_OBJECT, "id is that of an open query");

impl ControlLoop {
    pub(super) fn on_request(&mut self, now: Timestamp, queued: QueuedRequest) {
        let mut admitted = Vec::new();
        match &mut self.state.queue {
            Some(queue) => queue.arrive(now, queued, &mut admitted),
            None => admitted.push(queued),
        }
        self.admit(now, admitted);
    }

    /// Passes admitted requests on to the routing policy, and those that may go on because of that.
    pub(super) fn admit(&mut self, now: Timestamp, mut admitted: Vec<QueuedRequest>) {
        loop {
            for queued in admitted.drain(..) {
                let request = queued.request();
                if self.state.requests.len() >= self.config.max_open_requests {
                    let retry_after = self.config.settings.max_retry_after;
                    queued.incoming.ticket.answer(Response::Rejected { retry_after });
                    self.state.finished.push(request);
                } else if !self.state.take_request(now, queued, &self.config.settings) {
                    // Unless it is open, nothing else would tell that nothing more comes of it.
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

    pub(super) fn on_client_gone(&mut self, now: Timestamp, request: RequestId) {
        let mut admitted = Vec::new();
        let queue = self.state.queue.as_mut();
        if queue.is_some_and(|queue| queue.client_gone(now, request, &mut admitted)) {
            return self.admit(now, admitted);
        }
        let state = &mut self.state;
        let active = state.requests.get_mut(request);
        if active.is_some_and(|active| active.discard(&state.metrics, now)) {
            state.report(now, Event::ClientGone { request });
            state.close(request);
        }
    }

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
    /// Takes a request; false if it was answered instead.
    fn take_request(&mut self, now: Timestamp, queued: QueuedRequest, settings: &RoutingSettings) -> bool {
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
        let active = self.active_request(*incoming, received_at, abort_at, settings);
        self.ids.insert(active.identity.id.clone());
        self.requests.insert(request, active);
        self.deadlines.set_abort_time(abort_at, request);
        let waiting = primary_discovery::Event::RequestWaiting { group: arrival.group };
        self.report_to_discovery(now, waiting);
        self.report(now, Event::RequestArrived(arrival));
        true
    }

    /// A request as the routing policy has it.
    ///
    /// # Errors
    /// The response, if it cannot be taken.
    fn check_request(
        &self,
        incoming: &IncomingRequest,
        received_at: Timestamp,
        settings: &RoutingSettings,
    ) -> Result<RequestArrival, Response> {
        let ClientRequest { identity, session, .. } = &incoming.header;
        if self.groups.is_empty() {
            // No list has come yet: which groups there are is not known.
            return Err(Response::Rejected { retry_after: settings.max_retry_after });
        }
        let group = self.groups.get(&identity.group).ok_or(Response::Error(UNKNOWN_GROUP))?;
        let seen_position = match session.seen.map(|seen| self.epochs.status(identity.group, seen)) {
            Some(PositionStatus::Lost) => {
                let restart_position = self.epochs.restart_position(identity.group);
                return Err(Response::SessionLost { restart_position });
            }
            Some(PositionStatus::OnLog(position) | PositionStatus::UnknownEpoch(position)) => Some(position),
            None => None,
        };
        // An endpoint would take the second request for a duplicate of the first.
        if self.ids.contains(&identity.id) {
            return Err(Response::Error(ID_IN_USE));
        }
        Ok(RequestArrival {
            request: incoming.ticket.request,
            method: identity.method,
            group,
            session: session.number,
            last_write: session.last_write,
            seen_position,
            received_at,
            deadline: incoming.header.deadline,
            client_retry: incoming.header.client_retry,
        })
    }

    fn active_request(
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

/// Where and for how long duplicates of a write are dropped, if it has an idempotency key.
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
