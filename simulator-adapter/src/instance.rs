//! An instance of the routing policy, and the maps between the identifiers on the wire and the policy's indices.

use crate::error::HostError;
use crate::messages::{
    append, AttemptEnded, Availability, ListRecord, OutputMessage, RequestArrived, Status,
};
use host_support::bootstrap_config::BootstrapConfig;
use host_support::id_interner::IdInterner;
use host_support::request_registry::RequestRegistry;
use host_support::routing_settings::routing_settings;
use routing::time::{TimeDelta, Timestamp};
use routing::{
    Access, Action, AttemptEnd, AttemptId, AttemptOutcome, EndpointRecord, EndpointReport, EndpointStatus,
    Event, RequestArrival, RequestId, Role, RoutingPolicy,
};
use std::collections::HashMap;

/// Number of role codes. The end of an attempt states the endpoint's position in milliseconds times this number, plus the
/// code of its role.
const ROLE_CODES: i64 = 4;
const PRIMARY_CODE: i64 = 1;
const REPLICA_CODE: i64 = 2;

/// State of an open request.
struct OpenRequest {
    /// Id of the request on the wire.
    wire_id: String,
    /// Session of the request if it is a write.
    write_session: Option<u64>,
}

/// An instance of the routing policy.
pub struct Instance {
    number: u32,
    policy: RoutingPolicy,
    /// Time that corresponds to position 0.
    position_origin: Timestamp,
    /// Names of the values in load reports, in their order.
    report_fields: Vec<String>,
    endpoints: IdInterner<String>,
    groups: IdInterner<i64>,
    /// The policy's ids of open requests, by the ids on the wire.
    request_ids: HashMap<String, RequestId>,
    requests: RequestRegistry<OpenRequest>,
    /// Whether the requests of a method are writes, by the method's index.
    is_write: Vec<bool>,
    next_request: RequestId,
    /// Actions that the policy requested and that were not written yet.
    actions: Vec<Action>,
}

impl Instance {
    /// Starts an instance. `number` identifies it on the wire.
    ///
    /// # Errors
    /// The configuration is invalid.
    pub fn start(
        number: u32,
        seed: u64,
        config: &BootstrapConfig,
        now: Timestamp,
    ) -> Result<Instance, HostError> {
        let settings = routing_settings(config)?;
        let mut actions = Vec::new();
        let policy = RoutingPolicy::new(seed, &settings, now, &mut actions);
        Ok(Instance {
            number,
            policy,
            position_origin: Timestamp(config.replication.position_origin_ns),
            report_fields: config.report.fields.clone(),
            endpoints: IdInterner::default(),
            groups: IdInterner::default(),
            request_ids: HashMap::new(),
            requests: RequestRegistry::default(),
            is_write: settings.methods.iter().map(|method| method.access == Access::Write).collect(),
            next_request: 0,
            actions,
        })
    }

    /// Reports an event to the policy.
    pub fn on_event(&mut self, now: Timestamp, event: Event) {
        self.policy.on_event(now, event, &mut self.actions);
    }

    /// The policy's id of an open request.
    pub fn request_id(&self, wire_id: &str) -> Option<RequestId> {
        self.request_ids.get(wire_id).copied()
    }

    /// Converts the records of an endpoint list.
    pub fn endpoint_records(&mut self, records: &[ListRecord]) -> Vec<EndpointRecord> {
        records.iter().map(|record| self.endpoint_record(record)).collect()
    }

    fn endpoint_record(&mut self, record: &ListRecord) -> EndpointRecord {
        EndpointRecord {
            endpoint: self.endpoints.intern(record.endpoint.clone()),
            group: self.groups.intern(record.group),
            zone: record.zone,
            status: match record.availability {
                Availability::Serving => EndpointStatus::Serving,
                Availability::Draining => EndpointStatus::Draining,
                Availability::Removed => EndpointStatus::Removed,
            },
            primary: record.is_primary == 1.0,
            started_at: (record.started_ns > 0).then_some(Timestamp(record.started_ns)),
            start_is_upper_bound: false,
        }
    }

    /// Registers a new request and converts it to the policy's event.
    ///
    /// # Errors
    /// The session key is not a hexadecimal number of 64 bits.
    pub fn request_arrived(
        &mut self,
        arrived: RequestArrived,
        now: Timestamp,
    ) -> Result<RequestArrival, HostError> {
        let session = arrived.session_key.as_deref().map(parse_session_key).transpose()?;
        let request = self.next_request;
        self.next_request += 1;
        let is_write = self.is_write.get(arrived.method) == Some(&true);
        let write_session = session.filter(|_| is_write);
        self.request_ids.insert(arrived.request_id.to_string(), request);
        let open = OpenRequest { wire_id: arrived.request_id.into_owned(), write_session };
        self.requests.insert(request, open);
        let last_write_ns = (arrived.last_write_ms * 1e6) as i64;
        Ok(RequestArrival {
            request,
            method: arrived.method,
            group: self.groups.intern(arrived.group),
            session,
            last_write: (arrived.last_write_ms > 0.0).then_some(TimeDelta(last_write_ns)),
            seen_position: None,
            received_at: now,
            deadline: Timestamp(arrived.deadline_ns),
            client_retry: arrived.is_retry,
        })
    }

    /// Converts the end of an attempt to the policy's event. `None` if its request or its endpoint is not known.
    pub fn attempt_ended(&self, ended: &AttemptEnded) -> Option<AttemptEnd> {
        let request = self.request_id(&ended.request_id)?;
        Some(AttemptEnd {
            attempt: AttemptId {
                request,
                number: ended.attempt,
                endpoint: self.endpoints.get(&*ended.endpoint)?,
            },
            outcome: attempt_outcome(ended.status),
            elapsed: TimeDelta(ended.elapsed_ns),
            request_closed: ended.request_closed,
            write_session: self.requests.get(request).and_then(|open| open.write_session),
            answer_report: self.answer_report(ended.position_and_role),
            load_report: self.load_report(ended.report.as_deref()),
        })
    }

    /// Converts the end of a health check to the policy's event. `None` if its endpoint is not known.
    pub fn health_check_ended(
        &self,
        endpoint: &str,
        status: Status,
        elapsed_ns: i64,
        report: Option<&[Option<f64>]>,
    ) -> Option<Event> {
        Some(Event::HealthCheckEnded {
            endpoint: self.endpoints.get(endpoint)?,
            outcome: attempt_outcome(status),
            elapsed: TimeDelta(elapsed_ns),
            report: self.load_report(report),
        })
    }

    fn answer_report(&self, position_and_role: i64) -> EndpointReport {
        let millis = position_and_role / ROLE_CODES;
        EndpointReport {
            position: (millis > 0).then(|| self.position_origin + TimeDelta::from_millis(millis)),
            role: match position_and_role % ROLE_CODES {
                PRIMARY_CODE => Some(Role::Primary),
                REPLICA_CODE => Some(Role::Replica),
                _ => None,
            },
            load: None,
        }
    }

    fn load_report(&self, values: Option<&[Option<f64>]>) -> EndpointReport {
        let mut report = EndpointReport::default();
        for (name, value) in self.report_fields.iter().zip(values.unwrap_or_default()) {
            match (name.as_str(), value) {
                // The position in seconds.
                ("x0", Some(secs)) => {
                    let since_origin = TimeDelta((secs * 1e9).floor() as i64);
                    report.position = Some(self.position_origin + since_origin);
                }
                ("load_share", Some(share)) => report.load = Some(*share),
                // The role: 1 for a primary.
                ("x1", Some(role)) => {
                    report.role = Some(if *role == 1.0 { Role::Primary } else { Role::Replica });
                }
                _ => {}
            }
        }
        report
    }

    /// Removes an attempt that has ended, and closes its request if `close` is set.
    pub fn end_attempt(&mut self, request: RequestId, close: bool) {
        let removed = self.requests.end_attempt(request, close);
        self.remove_wire_id(removed);
    }

    /// Closes a request that was answered or whose client has closed its connection.
    pub fn close_request(&mut self, request: RequestId) {
        let removed = self.requests.close(request);
        self.remove_wire_id(removed);
    }

    fn remove_wire_id(&mut self, removed: Option<OpenRequest>) {
        if let Some(OpenRequest { wire_id, .. }) = removed {
            self.request_ids.remove(&wire_id);
        }
    }

    /// Appends the actions that the policy requested to the replies, in their order.
    pub fn write_actions(&mut self, replies: &mut Vec<u8>) {
        for action in std::mem::take(&mut self.actions) {
            if let Some(message) = self.action_message(&action) {
                append(replies, &message);
            }
            self.update_requests(&action);
        }
    }

    /// Updates the open requests for an action that was written.
    fn update_requests(&mut self, action: &Action) {
        match action {
            Action::StartAttempt { request, .. } => {
                self.requests.start_attempt(*request);
            }
            Action::Reject { request, .. } | Action::Abort { request } => {
                self.close_request(*request);
            }
            _ => {}
        }
    }

    fn wire_id(&self, request: RequestId) -> Option<&str> {
        self.requests.get(request).map(|open| open.wire_id.as_str())
    }

    /// The message for an action. `None` if the action's request is not open.
    fn action_message<'a>(&'a self, action: &'a Action) -> Option<OutputMessage<'a>> {
        let instance = self.number;
        Some(match action {
            Action::StartAttempt { request, endpoint, timeout } => OutputMessage::StartAttempt {
                instance,
                request_id: self.wire_id(*request)?,
                endpoint: self.endpoints.id(*endpoint),
                timeout_ns: timeout.0,
            },
            Action::Reject { request, retry_after } => OutputMessage::Reject {
                instance,
                request_id: self.wire_id(*request)?,
                retry_after_ns: retry_after.map_or(0, |wait| wait.0),
            },
            Action::Abort { request } => {
                OutputMessage::Abort { instance, request_id: self.wire_id(*request)? }
            }
            Action::CancelAttempt { request, attempt } => OutputMessage::CancelAttempt {
                instance,
                request_id: self.wire_id(*request)?,
                attempt: *attempt,
            },
            Action::SetTimer { tag, at } => OutputMessage::SetTimer { instance, tag: *tag, at_ns: at.0 },
            Action::CheckHealth { endpoint } => {
                OutputMessage::CheckHealth { instance, endpoint: self.endpoints.id(*endpoint) }
            }
            Action::WatchEndpointList => OutputMessage::WatchEndpointList { instance, enable: true },
            Action::FetchEndpointList => OutputMessage::FetchEndpointList { instance },
            Action::Log(message) => OutputMessage::Log { instance, message },
        })
    }
}

fn parse_session_key(key: &str) -> Result<u64, HostError> {
    u64::from_str_radix(key, 16).map_err(|_| HostError::InvalidSessionKey(key.to_string()))
}

fn attempt_outcome(status: Status) -> AttemptOutcome {
    match status {
        Status::Ok => AttemptOutcome::Succeeded,
        Status::Internal => AttemptOutcome::Failed,
        Status::ResourceExhausted => AttemptOutcome::Rejected,
        Status::DeadlineExceeded => AttemptOutcome::TimedOut,
        Status::Unavailable => AttemptOutcome::Unreachable,
        Status::Aborted => AttemptOutcome::ConnectionLost,
        Status::Cancelled => AttemptOutcome::Cancelled,
        Status::TooLate => AttemptOutcome::NotSent,
        Status::NotFound => AttemptOutcome::NotEligible,
    }
}
