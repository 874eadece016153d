//! Replays recorded sequences of events through the routing policy and compares every action with what the policy
//! did when the recording was made, so that refactorings change no decision.
//!
//! The events are generated from a seed and react to the actions, as those of a real host do. `tests/data/replay.txt`
//! has the number of actions of each run and a checksum over them. `REPLAY_RECORD=1` rewrites that file, which belongs
//! only in a commit that changes decisions on purpose and says why.

#[allow(dead_code)] // Each test file uses a part of it.
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
const STEPS: usize = 6_000;

/// The settings of the runs, with their names in the recording.
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
    sent: Timestamp,
}

/// A simulated host that reports random events.
struct Player {
    policy: RoutingPolicy,
    routing_settings: RoutingSettings,
    now: Timestamp,
    draws: Mwc,
    next_request: RequestId,
    attempts: Vec<Attempt>,
    /// Number of attempts of each open request.
    open_requests: BTreeMap<RequestId, u32>,
    timers: BTreeSet<(Timestamp, u64)>,
    pending_health_checks: Vec<EndpointIndex>,
    actions: usize,
    checksum: u64,
}

impl Player {
    fn new(routing_settings: RoutingSettings, seed: u64) -> Player {
        let (policy, actions) = support::policy_at_start(seed, &routing_settings);
        let now = support::START;
        let mut player = Player {
            policy,
            routing_settings,
            now,
            draws: Mwc::new(seed ^ 0x5eed),
            next_request: 0,
            attempts: Vec::new(),
            open_requests: BTreeMap::new(),
            timers: BTreeSet::new(),
            pending_health_checks: Vec::new(),
            actions: 0,
            checksum: 0xcbf2_9ce4_8422_2325,
        };
        player.apply_actions(actions);
        let records =
            (0..ENDPOINTS).map(|endpoint| player.entry(endpoint, EndpointStatus::Serving)).collect();
        player.report(Event::EndpointList { complete: true, records });
        player
    }

    fn draw(&mut self, end: usize) -> usize {
        self.draws.below(end)
    }

    fn entry(&mut self, endpoint: EndpointIndex, status: EndpointStatus) -> EndpointRecord {
        let started_at =
            (self.draw(8) == 0).then(|| self.now - TimeDelta::from_millis(self.draw(4_000) as i64));
        EndpointRecord {
            endpoint,
            group: endpoint / 3,
            zone: endpoint % 2,
            status,
            primary: endpoint.is_multiple_of(3),
            started_at,
            start_is_upper_bound: self.draw(16) == 0,
        }
    }

    /// Draws a report of an endpoint: often correct, sometimes outdated, incomplete, or with a position in the future.
    fn endpoint_report(&mut self, endpoint: EndpointIndex) -> EndpointReport {
        let lag = [0, 5, 40, 300, 1_200, -400][self.draw(6)];
        let position = (self.draw(5) > 0).then(|| self.now - TimeDelta::from_millis(lag));
        let primary = endpoint.is_multiple_of(3) != (self.draw(12) == 0);
        let role = (self.draw(4) > 0).then_some(if primary { Role::Primary } else { Role::Replica });
        let load = (self.draw(3) == 0).then(|| self.draw(100) as f64 / 100.0);
        EndpointReport { position, role, load }
    }

    fn arrive(&mut self) {
        let method = self.draw(self.routing_settings.methods.len());
        let deadline = self.now
            + self.routing_settings.methods[method].deadline.mul_f64(0.3 + self.draw(70) as f64 / 100.0);
        let request = self.next_request;
        self.next_request += 1;
        self.open_requests.insert(request, 0);
        let arrival = RequestArrival {
            request,
            method,
            group: self.draw(GROUPS),
            session: (self.draw(2) == 0).then(|| self.draw(5) as u64),
            last_write: (self.draw(4) == 0).then(|| TimeDelta::from_millis(self.draw(400) as i64)),
            seen_position: (self.draw(8) == 0)
                .then(|| self.now - TimeDelta::from_millis(self.draw(900) as i64)),
            received_at: self.now - TimeDelta::from_millis(self.draw(3) as i64),
            deadline,
            client_retry: self.draw(6) == 0,
        };
        self.report(Event::RequestArrived(arrival));
    }

    fn end_attempt(&mut self) {
        if self.attempts.is_empty() {
            return;
        }
        let nth = self.draw(self.attempts.len());
        let Attempt { request, number, endpoint, sent } = self.attempts.remove(nth);
        let confirmed = self.policy.may_send_attempt(self.now, request, number, endpoint);
        self.record(&format!("confirms {request} {number} {endpoint} {confirmed}"));
        // All outcomes except success.
        let outcomes = &support::OUTCOMES[1..];
        let outcome =
            if self.draw(4) > 0 { AttemptOutcome::Succeeded } else { outcomes[self.draw(outcomes.len())] };
        let request_closed =
            outcome == AttemptOutcome::Succeeded || !self.open_requests.contains_key(&request);
        if request_closed {
            self.open_requests.remove(&request);
        }
        let (answer_report, load_report) = (self.endpoint_report(endpoint), self.endpoint_report(endpoint));
        let write_session = (self.draw(3) == 0).then(|| self.draw(5) as u64);
        let end = support::attempt_end(request, number, endpoint, outcome, self.now - sent);
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
        ][self.draw(5)];
        let load_report = if outcome == AttemptOutcome::Succeeded {
            self.endpoint_report(endpoint)
        } else {
            EndpointReport::default()
        };
        self.report(Event::HealthCheckEnded {
            endpoint,
            outcome,
            elapsed: support::TICK,
            report: load_report,
        });
    }

    fn change_list(&mut self) {
        let endpoint = self.draw(ENDPOINTS);
        let status = [
            EndpointStatus::Serving,
            EndpointStatus::Serving,
            EndpointStatus::Draining,
            EndpointStatus::Removed,
        ][self.draw(4)];
        let records = vec![self.entry(endpoint, status)];
        self.report(Event::EndpointList { complete: false, records });
    }

    fn change_eligibility(&mut self) {
        let group = self.draw(GROUPS);
        let only = PrimaryEligibility::Only(group * 3 + self.draw(3));
        let eligibility =
            [PrimaryEligibility::Any, PrimaryEligibility::Any, PrimaryEligibility::NoMember, only]
                [self.draw(4)];
        self.report(Event::PrimaryEligibility { group, eligibility });
    }

    fn leave(&mut self) {
        let open_requests: Vec<RequestId> = self.open_requests.keys().copied().collect();
        if let Some(&request) = open_requests.get(self.draw(open_requests.len().max(1))) {
            self.open_requests.remove(&request);
            self.report(Event::ClientGone { request });
        }
    }

    fn advance(&mut self, duration: TimeDelta) {
        let until = self.now + duration;
        while let Some(&due) = self.timers.first().filter(|due| due.0 <= until) {
            self.timers.remove(&due);
            self.now = self.now.max(due.0);
            self.report(Event::TimerFired { tag: due.1 });
        }
        self.now = until;
    }

    fn step(&mut self) {
        match self.draw(24) {
            0..=7 => self.arrive(),
            8..=14 => self.end_attempt(),
            15..=17 => self.end_health_check(),
            18 => self.leave(),
            19 if self.draw(4) == 0 => self.change_list(),
            19 if self.draw(4) == 0 => self.change_eligibility(),
            19 if self.draw(4) == 0 => self.report(Event::EndpointListFailed),
            _ => {
                let duration = TimeDelta::from_millis([0, 1, 4, 20, 90][self.draw(5)]);
                self.advance(duration);
            }
        }
    }

    fn report(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.policy.on_event(self.now, event, &mut actions);
        self.apply_actions(actions);
    }

    fn apply_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            let line = match action {
                Action::StartAttempt { request, endpoint, timeout } => {
                    let made = self.open_requests.entry(request).or_default();
                    self.attempts.push(Attempt { request, number: *made, endpoint, sent: self.now });
                    *made += 1;
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

    /// Adds a line to the checksum (FNV-1a).
    fn record(&mut self, line: &str) {
        self.actions += 1;
        for byte in line.bytes().chain([b'\n']) {
            self.checksum = (self.checksum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

fn play() -> String {
    let mut text = String::new();
    for (name, routing_settings) in recorded_settings() {
        for seed in 1..=6 {
            let mut player = Player::new(routing_settings.clone(), seed);
            for _ in 0..STEPS {
                player.step();
            }
            let Player { actions, checksum, .. } = player;
            writeln!(text, "{name} {seed} {actions} {checksum:016x}").expect("a string takes all");
        }
    }
    text
}

#[test]
fn every_action_matches_the_recording() {
    let played = play();
    if std::env::var_os("REPLAY_RECORD").is_some() {
        std::fs::write("tests/data/replay.txt", &played).expect("a writable file");
        return;
    }
    for (played, recorded) in played.lines().zip(RECORDED.lines()) {
        assert_eq!(played, recorded, "run, seed, actions, checksum");
    }
    assert_eq!(played.lines().count(), RECORDED.lines().count());
}
