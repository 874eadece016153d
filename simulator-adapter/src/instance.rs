//! One instance of the routing policy, and the maps between the wire's identifiers and the policy's indices.

use crate::error::HostError;
use crate::messages::{self, append, Availability, Inbound, Out, Record, Status};
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

/// Positions count ticks of a quarter of a millisecond; the two lowest bits hold the role.
const TICKS_PER_MILLI: i64 = 4;

/// State of an open request.
struct OpenRequest {
    wire_id: String,
    /// Session of the request, if it is a write.
    write_session: Option<u64>,
}

/// An instance of the routing policy.
pub struct Instance {
    number: u32,
    policy: RoutingPolicy,
    /// The origin of positions.
    position_origin: Timestamp,
    report_fields: Vec<String>,
    endpoints: IdInterner<String>,
    groups: IdInterner<i64>,
    request_ids: HashMap<String, RequestId>,
    requests: RequestRegistry<OpenRequest>,
    /// Whether requests of a method are writes, by method.
    is_write: Vec<bool>,
    next_request: RequestId,
    actions: Vec<Action>,
}

impl Instance {
    /// Starts an instance.
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

    /// The number of an open request.
    pub fn request(&self, wire_id: &str) -> Option<RequestId> {
        self.request_ids.get(wire_id).copied()
    }

    /// The records of an endpoint list.
    pub fn endpoint_records(&mut self, records: &[Record]) -> Vec<EndpointRecord> {
        records.iter().map(|record| self.endpoint_record(record)).collect()
    }

    fn endpoint_record(&mut self, record: &Record) -> EndpointRecord {
        EndpointRecord {
            endpoint: self.endpoints.intern(record.store.clone()),
            group: self.groups.intern(record.set),
            zone: record.failure_domain,
            status: match record.availability {
                Availability::Healthy => EndpointStatus::Serving,
                Availability::Cordoned => EndpointStatus::Draining,
                Availability::Deregistered => EndpointStatus::Removed,
            },
            primary: record.is_primary == 1.0,
            started_at: (record.launched_ns > 0).then_some(Timestamp(record.launched_ns)),
            start_is_upper_bound: false,
        }
    }

    /// Registers a new request.
    ///
    /// # Errors
    /// The session key is not in hexadecimal digits.
    pub fn request_arrived(&mut self, inbound: Inbound, now: Timestamp) -> Result<RequestArrival, HostError> {
        let session = inbound.conn_key.as_deref().map(session_number).transpose()?;
        let request = self.next_request;
        self.next_request += 1;
        let is_write = self.is_write.get(inbound.profile) == Some(&true);
        let write_session = session.filter(|_| is_write);
        self.request_ids.insert(inbound.request_id.to_string(), request);
        let open = OpenRequest { wire_id: inbound.request_id.into_owned(), write_session };
        self.requests.insert(request, open);
        let last_write_ns = (inbound.last_write_ms * 1e6) as i64;
        Ok(RequestArrival {
            request,
            method: inbound.profile,
            group: self.groups.intern(inbound.db_no),
            session,
            last_write: (inbound.last_write_ms > 0.0).then_some(TimeDelta(last_write_ns)),
            seen_position: None,
            received_at: now,
            deadline: Timestamp(inbound.drop_dead_ns),
            client_retry: inbound.is_retry,
        })
    }

    /// The end of an attempt, if its request and its endpoint are known.
    pub fn attempt_ended(&self, end: &messages::AttemptEnd) -> Option<AttemptEnd> {
        let request = self.request(&end.request_id)?;
        Some(AttemptEnd {
            attempt: AttemptId { request, number: end.hop, endpoint: self.endpoints.get(&*end.store)? },
            outcome: outcome(end.status),
            elapsed: TimeDelta(end.wait_time_ns),
            request_closed: end.done_flag,
            write_session: self.requests.get(request).and_then(|open| open.write_session),
            answer_report: self.answer_report(end.progress),
            load_report: self.load_report(end.pressure.as_deref()),
        })
    }

    /// The end of a health check, if its endpoint is known.
    pub fn health_check_ended(
        &self,
        endpoint: &str,
        status: Status,
        wait_time_ns: i64,
        pressure: Option<&[Option<f64>]>,
    ) -> Option<Event> {
        Some(Event::HealthCheckEnded {
            endpoint: self.endpoints.get(endpoint)?,
            outcome: outcome(status),
            elapsed: TimeDelta(wait_time_ns),
            report: self.load_report(pressure),
        })
    }

    fn answer_report(&self, progress: i64) -> EndpointReport {
        let millis = progress / TICKS_PER_MILLI;
        EndpointReport {
            position: (millis > 0).then(|| self.position_origin + TimeDelta::from_millis(millis)),
            role: match progress % TICKS_PER_MILLI {
                1 => Some(Role::Primary),
                2 => Some(Role::Replica),
                _ => None,
            },
            load: None,
        }
    }

    fn load_report(&self, values: Option<&[Option<f64>]>) -> EndpointReport {
        let mut report = EndpointReport::default();
        for (name, value) in self.report_fields.iter().zip(values.unwrap_or_default()) {
            match (name.as_str(), value) {
                ("x0", Some(secs)) => {
                    let since_origin = TimeDelta((secs * 1e9).floor() as i64);
                    report.position = Some(self.position_origin + since_origin);
                }
                ("load_share", Some(share)) => report.load = Some(*share),
                ("x1", Some(role)) => {
                    report.role = Some(if *role == 1.0 { Role::Primary } else { Role::Replica });
                }
                _ => {}
            }
        }
        report
    }

    /// Removes an attempt that has ended.
    pub fn end_attempt(&mut self, request: RequestId, closed: bool) {
        let removed = self.requests.end_attempt(request, closed);
        self.forget(removed);
    }

    /// Closes a request that was answered or whose client has left.
    pub fn close(&mut self, request: RequestId) {
        let removed = self.requests.close(request);
        self.forget(removed);
    }

    fn forget(&mut self, removed: Option<OpenRequest>) {
        if let Some(OpenRequest { wire_id, .. }) = removed {
            self.request_ids.remove(&wire_id);
        }
    }

    /// Writes the actions that the policy requested, in order.
    pub fn write_actions(&mut self, replies: &mut Vec<u8>) {
        for action in std::mem::take(&mut self.actions) {
            if let Some(message) = self.message(&action) {
                append(replies, &message);
            }
            self.register(&action);
        }
    }

    fn register(&mut self, action: &Action) {
        match action {
            Action::StartAttempt { request, .. } => {
                self.requests.start_attempt(*request);
            }
            Action::Reject { request, .. } | Action::Abort { request } => self.close(*request),
            _ => {}
        }
    }

    fn wire_id(&self, request: RequestId) -> Option<&str> {
        self.requests.get(request).map(|open| open.wire_id.as_str())
    }

    fn message<'a>(&'a self, action: &'a Action) -> Option<Out<'a>> {
        let front = self.number;
        Some(match action {
            Action::StartAttempt { request, endpoint, timeout } => Out::Forward {
                front,
                request_id: self.wire_id(*request)?,
                store: self.endpoints.id(*endpoint),
                limit_ns: timeout.0,
            },
            Action::Reject { request, retry_after } => Out::Shed {
                front,
                request_id: self.wire_id(*request)?,
                retry_after_ns: retry_after.map_or(0, |wait| wait.0),
            },
            Action::Abort { request } => Out::RespondError { front, request_id: self.wire_id(*request)? },
            Action::CancelAttempt { request, attempt } => {
                Out::Withdraw { front, request_id: self.wire_id(*request)?, hop: *attempt }
            }
            Action::SetTimer { tag, at } => Out::Remind { front, nonce: *tag, time_ns: at.0 },
            Action::CheckHealth { endpoint } => {
                Out::HealthCheck { front, store: self.endpoints.id(*endpoint) }
            }
            Action::WatchEndpointList => Out::Watch { front, enable: true },
            Action::FetchEndpointList => Out::ListAll { front },
            Action::Log(message) => Out::Remark { front, message },
        })
    }
}

fn session_number(key: &str) -> Result<u64, HostError> {
    u64::from_str_radix(key, 16).map_err(|_| HostError::BadSessionKey(key.to_string()))
}

fn outcome(status: Status) -> AttemptOutcome {
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
