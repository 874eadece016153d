//! Runs the routing policy on generated sequences of events and compares its actions with a recording, so that a
//! refactoring cannot change a decision unnoticed.
//!
//! The events are generated from a seed and depend on the policy's actions, as the events of a real host do.
//! `tests/data/replay.txt` holds the number of recorded lines of each run and a checksum of them. `REPLAY_RECORD=1`
//! rewrites that file. A commit may contain a rewritten file only if it changes decisions on purpose and says why.

#[allow(dead_code)] // Each test file uses only a part of the support code.
mod support;

use routing::rng::Mwc;
use routing::time::{TimeDelta, Timestamp};
use routing::RoutingPolicy;
use routing::*;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

const RECORDED: &str = include_str!("data/replay.txt");
const GROUPS: usize = 4;
const ENDPOINTS: usize = GROUPS * 3;
/// Number of random steps in each run.
const STEPS: usize = 6_000;

/// The settings of the runs, with their names in the recording.
///
/// The recording fixes the names. Those whose meaning is not plain: "usual" stands for the default settings, "refuses"
/// for endpoints that reject a read for which their data is too stale, "holds" for endpoints that let such a read wait,
/// "no-probes" for a policy without health checks, "marks-remembered" for a policy that keeps the positions of
/// sessions' writes, and "gone-stays-open" for a policy to which endpoints missing from the list stay usable.
fn recorded_settings() -> Vec<(&'static str, RoutingSettings)> {
    let defaults = || support::routing_settings(LagHandling::ServeStale);
    vec![
        ("usual", defaults()),
        ("refuses", support::routing_settings(LagHandling::Reject)),
        ("holds", support::routing_settings(LagHandling::Wait(TimeDelta::from_millis(100)))),
        ("many-instances", RoutingSettings { instances: 300, ..defaults() }),
        ("one-instance", RoutingSettings { instances: 1, ..defaults() }),
        ("no-probes", RoutingSettings { may_check_health: false, ..defaults() }),
        (
            "no-probes-refuses",
            RoutingSettings { may_check_health: false, ..support::routing_settings(LagHandling::Reject) },
        ),
        ("pushed-lists", RoutingSettings { max_list_poll_interval: None, ..defaults() }),
        (
            "marks-remembered",
            RoutingSettings { clients_send_last_write: false, may_cancel: false, ..defaults() },
        ),
        (
            "gone-stays-open",
            RoutingSettings { unlisted_stay_usable: true, max_retry_after: None, ..defaults() },
        ),
        ("few-attempts", RoutingSettings { max_attempts: 2, instances: 30, ..defaults() }),
    ]
}

/// An attempt in flight.
struct Attempt {
    request: RequestId,
    number: u32,
    endpoint: EndpointIndex,
    sent_at: Timestamp,
}

/// A simulated host that reports random events and keeps a checksum of the actions.
struct SimulatedHost {
    policy: RoutingPolicy,
    routing_settings: RoutingSettings,
    now: Timestamp,
    rng: Mwc,
    next_request: RequestId,
    attempts: Vec<Attempt>,
    /// Number of attempts so far of each open request.
    open_requests: BTreeMap<RequestId, u32>,
    /// The timers that have not fired: due time and tag.
    timers: BTreeSet<(Timestamp, u64)>,
    pending_health_checks: Vec<EndpointIndex>,
    /// Number of recorded lines.
    line_count: usize,
    checksum: u64,
}

impl SimulatedHost {
    fn new(routing_settings: RoutingSettings, seed: u64) -> SimulatedHost {
        let (policy, actions) = support::policy_at_start(seed, &routing_settings);
        let now = support::START;
        let mut host = SimulatedHost {
            policy,
            routing_settings,
            now,
            rng: Mwc::new(seed ^ 0x5eed),
            next_request: 0,
            attempts: Vec::new(),
            open_requests: BTreeMap::new(),
            timers: BTreeSet::new(),
            pending_health_checks: Vec::new(),
            line_count: 0,
            checksum: 0xcbf2_9ce4_8422_2325,
        };
        host.apply_actions(actions);
        let records =
            (0..ENDPOINTS).map(|endpoint| host.list_record(endpoint, EndpointStatus::Serving)).collect();
        host.report(Event::EndpointList { complete: true, records });
        host
    }

    /// A random number below `end`.
    fn random(&mut self, end: usize) -> usize {
        self.rng.below(end)
    }

    fn list_record(&mut self, endpoint: EndpointIndex, status: EndpointStatus) -> EndpointRecord {
        let started_at =
            (self.random(8) == 0).then(|| self.now - TimeDelta::from_millis(self.random(4_000) as i64));
        EndpointRecord {
            endpoint,
            group: endpoint / 3,
            zone: endpoint % 2,
            status,
            primary: endpoint.is_multiple_of(3),
            started_at,
            start_is_upper_bound: self.random(16) == 0,
        }
    }

    /// A random report of an endpoint: often correct, sometimes outdated, incomplete, or with a position in the future.
    fn endpoint_report(&mut self, endpoint: EndpointIndex) -> EndpointReport {
        let lag = [0, 5, 40, 300, 1_200, -400][self.random(6)];
        let position = (self.random(5) > 0).then(|| self.now - TimeDelta::from_millis(lag));
        let primary = endpoint.is_multiple_of(3) != (self.random(12) == 0);
        let role = (self.random(4) > 0).then_some(if primary { Role::Primary } else { Role::Replica });
        let load = (self.random(3) == 0).then(|| self.random(100) as f64 / 100.0);
        EndpointReport { position, role, load }
    }

    fn arrive(&mut self) {
        let method = self.random(self.routing_settings.methods.len());
        let deadline = self.now
            + self.routing_settings.methods[method].deadline.mul_f64(0.3 + self.random(70) as f64 / 100.0);
        let request = self.next_request;
        self.next_request += 1;
        self.open_requests.insert(request, 0);
        let arrival = RequestArrival {
            request,
            method,
            group: self.random(GROUPS),
            session: (self.random(2) == 0).then(|| self.random(5) as u64),
            last_write: (self.random(4) == 0).then(|| TimeDelta::from_millis(self.random(400) as i64)),
            seen_position: (self.random(8) == 0)
                .then(|| self.now - TimeDelta::from_millis(self.random(900) as i64)),
            received_at: self.now - TimeDelta::from_millis(self.random(3) as i64),
            deadline,
            client_retry: self.random(6) == 0,
        };
        self.report(Event::RequestArrived(arrival));
    }

    fn end_random_attempt(&mut self) {
        if self.attempts.is_empty() {
            return;
        }
        let nth = self.random(self.attempts.len());
        let Attempt { request, number, endpoint, sent_at } = self.attempts.remove(nth);
        let may_send = self.policy.may_send_attempt(self.now, request, number, endpoint);
        // "confirms" is the recorded word for the policy's answer whether the attempt may be sent.
        self.record(&format!("confirms {request} {number} {endpoint} {may_send}"));
        let failures = &support::OUTCOMES[1..];
        let outcome = if self.random(4) > 0 {
            AttemptOutcome::Succeeded
        } else {
            failures[self.random(failures.len())]
        };
        let request_closed =
            outcome == AttemptOutcome::Succeeded || !self.open_requests.contains_key(&request);
        if request_closed {
            self.open_requests.remove(&request);
        }
        let (answer_report, load_report) = (self.endpoint_report(endpoint), self.endpoint_report(endpoint));
        let write_session = (self.random(3) == 0).then(|| self.random(5) as u64);
        let end = support::attempt_end(request, number, endpoint, outcome, self.now - sent_at);
        self.report(Event::AttemptEnded(AttemptEnd {
            request_closed,
            write_session,
            answer_report,
            load_report,
            ..end
        }));
    }

    fn end_health_check(&mut self) {
        let Some(endpoint) = self.pending_health_checks.pop() else { return };
        let outcome = [
            AttemptOutcome::Succeeded,
            AttemptOutcome::Succeeded,
            AttemptOutcome::Succeeded,
            AttemptOutcome::Rejected,
            AttemptOutcome::TimedOut,
        ][self.random(5)];
        let report = if outcome == AttemptOutcome::Succeeded {
            self.endpoint_report(endpoint)
        } else {
            EndpointReport::default()
        };
        self.report(Event::HealthCheckEnded { endpoint, outcome, elapsed: support::TICK, report });
    }

    fn change_list(&mut self) {
        let endpoint = self.random(ENDPOINTS);
        let status = [
            EndpointStatus::Serving,
            EndpointStatus::Serving,
            EndpointStatus::Draining,
            EndpointStatus::Removed,
        ][self.random(4)];
        let records = vec![self.list_record(endpoint, status)];
        self.report(Event::EndpointList { complete: false, records });
    }

    fn change_eligibility(&mut self) {
        let group = self.random(GROUPS);
        let only = PrimaryEligibility::Only(group * 3 + self.random(3));
        let eligibility =
            [PrimaryEligibility::Any, PrimaryEligibility::Any, PrimaryEligibility::NoMember, only]
                [self.random(4)];
        self.report(Event::PrimaryEligibility { group, eligibility });
    }

    fn disconnect_client(&mut self) {
        let open_requests: Vec<RequestId> = self.open_requests.keys().copied().collect();
        if let Some(&request) = open_requests.get(self.random(open_requests.len().max(1))) {
            self.open_requests.remove(&request);
            self.report(Event::ClientGone { request });
        }
    }

    fn advance(&mut self, duration: TimeDelta) {
        let until = self.now + duration;
        while let Some(&(due, tag)) = self.timers.first().filter(|(due, _)| *due <= until) {
            self.timers.remove(&(due, tag));
            self.now = self.now.max(due);
            self.report(Event::TimerFired { tag });
        }
        self.now = until;
    }

    fn random_step(&mut self) {
        match self.random(24) {
            0..=7 => self.arrive(),
            8..=14 => self.end_random_attempt(),
            15..=17 => self.end_health_check(),
            18 => self.disconnect_client(),
            19 if self.random(4) == 0 => self.change_list(),
            19 if self.random(4) == 0 => self.change_eligibility(),
            19 if self.random(4) == 0 => self.report(Event::EndpointListFailed),
            _ => {
                let duration = TimeDelta::from_millis([0, 1, 4, 20, 90][self.random(5)]);
                self.advance(duration);
            }
        }
    }

    fn report(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.policy.on_event(self.now, event, &mut actions);
        self.apply_actions(actions);
    }

    /// Applies the actions and records one line for each. The first word of a line is part of the recorded checksum:
    /// "withdraw" stands for a cancelled attempt, "remind" for a timer, "probe" for a health check and "remark" for a
    /// log line.
    fn apply_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            let line = match action {
                Action::StartAttempt { request, endpoint, timeout } => {
                    let attempt_count = self.open_requests.entry(request).or_default();
                    self.attempts.push(Attempt {
                        request,
                        number: *attempt_count,
                        endpoint,
                        sent_at: self.now,
                    });
                    *attempt_count += 1;
                    format!("send {request} {endpoint} {}", timeout.0)
                }
                Action::Reject { request, retry_after } => {
                    self.open_requests.remove(&request);
                    format!("reject {request} {}", retry_after.map_or(-1, |delay| delay.0))
                }
                Action::Abort { request } => {
                    self.open_requests.remove(&request);
                    format!("abort {request}")
                }
                Action::CancelAttempt { request, attempt } => format!("withdraw {request} {attempt}"),
                Action::SetTimer { tag, at } => {
                    self.timers.insert((at, tag));
                    format!("remind {tag} {}", at.0)
                }
                Action::CheckHealth { endpoint } => {
                    self.pending_health_checks.push(endpoint);
                    format!("probe {endpoint}")
                }
                Action::WatchEndpointList => "watch".to_string(),
                Action::FetchEndpointList => "fetch".to_string(),
                Action::Log(_) => "remark".to_string(),
            };
            self.record(&line);
        }
    }

    /// Adds a line to the checksum, which is computed by FNV-1a.
    fn record(&mut self, line: &str) {
        self.line_count += 1;
        for byte in line.bytes().chain([b'\n']) {
            self.checksum = (self.checksum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

/// Runs all settings with all seeds. Returns one line for each run, as in the recording.
fn run_all() -> String {
    let mut text = String::new();
    for (name, routing_settings) in recorded_settings() {
        for seed in 1..=6 {
            let mut host = SimulatedHost::new(routing_settings.clone(), seed);
            for _ in 0..STEPS {
                host.random_step();
            }
            let SimulatedHost { line_count, checksum, .. } = host;
            writeln!(text, "{name} {seed} {line_count} {checksum:016x}").expect("a string accepts any text");
        }
    }
    text
}

#[test]
fn every_action_matches_the_recording() {
    let actual = run_all();
    if std::env::var_os("REPLAY_RECORD").is_some() {
        std::fs::write("tests/data/replay.txt", &actual).expect("the recording is writable");
        return;
    }
    for (actual, recorded) in actual.lines().zip(RECORDED.lines()) {
        assert_eq!(actual, recorded, "a run differs from its recording: name, seed, lines, checksum");
    }
    assert_eq!(actual.lines().count(), RECORDED.lines().count(), "the recording has another number of runs");
}
