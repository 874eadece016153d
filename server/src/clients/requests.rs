//! The handling of a client's messages: startup, queries, and the other messages of the frontend protocol.

use crate::clients::connection::ClientConnection;
use crate::clients::response_encoding::{encode_rejection, encode_response};
use crate::clients::response_queue::PendingRequest;
use crate::clients::session_tokens::rejection_sqlstate;
use crate::log;
use crate::messages::control::{ControlMessage, FateQuery, IncomingRequest};
use crate::messages::request::{ClientRequest, RequestText};
use crate::messages::response::{Response, ResponseTicket};
use crate::protocol::decode::StartupParameters;
use crate::protocol::encode::{self, Greeting, Severity};
use crate::protocol::frontend_codec::FrontendMessage;
use crate::protocol::sqlstate::{ClientError, SqlState};
use crate::protocol::statement::{self, Statement};
use routing::time::TimeDelta;
use routing::RequestId;
use sessions::positions::GroupNumber;
use sessions::token::TokenError;
use std::ops::Range;
use std::sync::atomic::Ordering;
use write_journal::record_state::Origin;

/// The counter of requests that were rejected because memory was short.
const REJECTED_COUNTER: &str = "gingerwick_requests_without_memory_total";
/// The response byte to SSLRequest and GSSENCRequest: encryption is not supported.
const NO_ENCRYPTION: u8 = b'N';
/// The group number of a pending fate query, which is not addressed to a group.
const NO_GROUP: GroupNumber = 0;
/// The error message for the extended query protocol and function calls, which are not supported.
const ONLY_SIMPLE_QUERIES: &str = "only simple queries are taken";
/// The start of the error message for a rejected session token; the reason follows.
const TOKEN_REJECTED_PREFIX: &str = "the session's token is not taken: ";

impl ClientConnection {
    /// Handles complete messages that were read, as far as the limits and the connection's turn allow.
    pub fn handle_messages(&mut self) {
        while self.may_handle_message() && self.has_turn_left() {
            let Some(message) = self.codec.next_message() else { return };
            if let Some(budget) = self.turns.budget_mut() {
                budget.add_message();
            }
            self.handle_message(message);
        }
    }

    /// Whether the connection's turn allows another message. Shortly before the process may be killed, the messages that
    /// were read are rejected in any case.
    fn has_turn_left(&self) -> bool {
        let now = self.context.timers.now();
        self.has_answer_time_passed() || (self.turns.is_active() && !self.turns.is_exhausted(now))
    }

    fn handle_message(&mut self, message: FrontendMessage) {
        match message {
            FrontendMessage::EncryptionRequest => self.responses.push_ready(vec![NO_ENCRYPTION]),
            FrontendMessage::Startup { minor_version, parameters } => {
                self.start_session(minor_version, &parameters);
            }
            FrontendMessage::Query(body) => {
                self.has_queried = true;
                self.message_due_since = None;
                self.handle_query(body);
            }
            FrontendMessage::Sync => self.push(encode::ready_for_query),
            FrontendMessage::Unsupported { is_function_call } => self.reject_unsupported(is_function_call),
            FrontendMessage::CancelRequest | FrontendMessage::Terminate => self.input_closed = true,
            FrontendMessage::Invalid(error) => self.fail(error.code, error.message),
        }
    }

    /// Queues an error for a message of the extended protocol or a function call. Only a function call gets a
    /// ReadyForQuery here; in the extended protocol, ReadyForQuery answers the client's Sync.
    fn reject_unsupported(&mut self, is_function_call: bool) {
        self.push(|out| {
            let code = SqlState::FEATURE_NOT_SUPPORTED;
            encode::error_response(out, Severity::Error, code, ONLY_SIMPLE_QUERIES, None);
            if is_function_call {
                encode::ready_for_query(out);
            }
        });
    }

    /// Handles a StartupMessage: admits the client, opens its session and sends the greeting.
    fn start_session(&mut self, minor_version: u16, parameters: &StartupParameters) {
        if let Some(permit) = &mut self.permit {
            if let Err(rejection) = permit.admit_with_user(&parameters.user) {
                return self.reject_with(&rejection);
            }
            let client = permit.client();
            self.set_client(client);
        }
        let token = match self.open_session(parameters) {
            Ok(token) => token,
            Err(error) => {
                let reason = format!("{TOKEN_REJECTED_PREFIX}{error}");
                return self.fail(rejection_sqlstate(error), &reason);
            }
        };
        let wants_session = parameters.session.is_some();
        let journal = self.context.journal.as_ref().filter(|_| wants_session);
        let origin = journal.map(|journal| journal.origin());
        let connection = self.context.next_connection.fetch_add(1, Ordering::Relaxed) as u32;
        self.push(|out| {
            let session_token = token.as_deref();
            let origin = origin.as_deref();
            encode::greeting(out, &Greeting { minor_version, connection, session_token, origin });
        });
    }

    /// Starts or resumes the client's session, and returns its token; `None` if the client asked for no session or no
    /// session keys are configured.
    ///
    /// # Errors
    /// The client's token is invalid, has expired, or was issued for another audience.
    fn open_session(&mut self, parameters: &StartupParameters) -> Result<Option<String>, TokenError> {
        let (Some(tokens), Some(token)) = (&self.context.session_tokens, &parameters.session) else {
            return Ok(None);
        };
        let now = self.context.timers.now();
        let session = tokens.open(now, token, &parameters.audience)?;
        let token = tokens.issue(now, &session);
        self.session = Some(session);
        Ok(token)
    }

    /// Handles a Query: queues its response at once, or sends a request to the control loop.
    fn handle_query(&mut self, body: Vec<u8>) {
        let now = self.context.timers.now();
        let waited = self.received_at.map_or(TimeDelta::ZERO, |received_at| now - received_at);
        let request = match statement::parse(&body) {
            Statement::Empty => return self.push_with_ready(encode::empty_query_response),
            Statement::NoEffect(command) => {
                return self.push_with_ready(|out| encode::command_complete(out, command));
            }
            Statement::QueryFate { id, origin } => {
                let origin = origin.and_then(Origin::parse);
                return self.query_fate(id.to_string(), origin);
            }
            Statement::Invalid(error) => Err(error),
            Statement::Request(header) => {
                let timeout_digits = header.timeout_digits.clone();
                let request = ClientRequest::new(&self.context.methods, now, &header);
                request.map(|request| (request, timeout_digits))
            }
        };
        match request {
            Ok((mut request, timeout_digits)) => {
                request.deadline = request.deadline - waited;
                self.send_request(request, body, timeout_digits);
            }
            Err(error) => self.push_error(error),
        }
    }

    /// Assigns the process-internal id of a request.
    fn next_request_id(&self) -> RequestId {
        self.context.next_request.fetch_add(1, Ordering::Relaxed)
    }

    /// Asks the control loop for the fate of a write.
    fn query_fate(&mut self, id: String, origin: Option<Origin>) {
        if let Some(budget) = self.turns.budget_mut() {
            budget.add_request();
        }
        let request = self.next_request_id();
        let reserved_bytes = id.len();
        self.responses.push_pending(PendingRequest { request, group: NO_GROUP, reserved_bytes });
        let ticket = ResponseTicket::new(request, self.channel.clone());
        let _ = self.context.control.send(ControlMessage::QueryFate(FateQuery { id, origin, ticket }));
    }

    /// Sends a request to the control loop, or rejects it if its time is over, if there is no memory for it, or if it could
    /// not be answered before the process is killed. `timeout_digits` is the range of the digits of its timeout in the body.
    fn send_request(&mut self, mut header: ClientRequest, body: Vec<u8>, timeout_digits: Range<usize>) {
        if let Some(answer_by) = self.context.shutdown.answer_by() {
            header.deadline = header.deadline.min(answer_by);
        }
        // The buffer may have become the body, which has a charge of its own.
        self.update_charge();
        let has_expired = header.deadline <= self.context.timers.now();
        let charge = self.reserve_request(body.capacity());
        if charge.is_none() {
            self.report_request_without_memory(body.capacity());
        }
        let charge = charge.filter(|_| !has_expired);
        let Some(charge) = charge.filter(|_| !self.has_answer_time_passed()) else {
            let response = Response::Rejected { retry_after: self.context.max_retry_after };
            return self.responses.push_ready(encode_response(response, None));
        };
        if let (Some(tokens), Some(session)) = (&self.context.session_tokens, &mut self.session) {
            header.session.seen_position =
                tokens.seen_position(self.context.timers.now(), session, header.identity.group);
        }
        header.client.clone_from(&self.client);
        if let Some(budget) = self.turns.budget_mut() {
            budget.add_request();
        }
        let request = self.next_request_id();
        let (group, reserved_bytes) = (header.identity.group, charge.bytes());
        self.responses.push_pending(PendingRequest { request, group, reserved_bytes });
        let text = RequestText { body, timeout_digits, charge };
        let ticket = ResponseTicket::new(request, self.channel.clone());
        // If the control loop has ended, the dropped ticket answers the request as aborted.
        let incoming = IncomingRequest { header, text, ticket };
        let _ = self.context.control.send(ControlMessage::Request(Box::new(incoming)));
    }

    /// Logs and counts a request for which there is no memory.
    fn report_request_without_memory(&self, statement_bytes: usize) {
        let resources = &self.context.resources;
        let (in_use, limit) = (resources.buffer_bytes(), resources.max_buffer_bytes());
        let held = self.charge.bytes() + self.responses.pending_bytes();
        metrics::counter!(REJECTED_COUNTER).increment(1);
        log!(
            WARN, statement_bytes = statement_bytes, held = held, in_use = in_use, limit = limit;
            "request rejected, memory is short"
        );
    }

    /// Queues the messages that `write` appends, as one response.
    fn push(&mut self, write: impl FnOnce(&mut Vec<u8>)) {
        let mut out = Vec::new();
        write(&mut out);
        self.responses.push_ready(out);
    }

    /// Queues the messages that `write` appends and a ReadyForQuery, as one response.
    fn push_with_ready(&mut self, write: impl FnOnce(&mut Vec<u8>)) {
        self.push(|out| {
            write(out);
            encode::ready_for_query(out);
        });
    }

    /// Queues an error after which the connection stays open.
    fn push_error(&mut self, error: ClientError) {
        self.push_with_ready(|out| {
            encode::error_response(out, Severity::Error, error.code, error.message, None);
        });
    }

    /// Queues a fatal error after all other responses.
    pub fn push_fatal(&mut self, code: SqlState, reason: &str) {
        self.push(|out| encode::error_response(out, Severity::Fatal, code, reason, None));
    }

    /// Queues the rejection of a connection that was not admitted, and stops processing messages.
    pub fn reject(&mut self, reason: &str, retry_after: Option<TimeDelta>) {
        self.push(|out| encode_rejection(out, reason, retry_after));
        self.input_closed = true;
    }
}
