//! Property test: over random sequences of steps, the concurrency limiter agrees with a model.

#[allow(dead_code)] // Each test file uses only a part of the support code.
mod support;

use admission::client_class::DEFAULT_CLASS;
use admission::concurrency_limiter::{
    Arrival, ClientKey, ConcurrencyLimiter, ConcurrencyLimits, Decision, RequestId, ShedReason,
    CODEL_INTERVAL,
};
use proptest::prelude::*;
use proptest::test_runner::TestCaseResult;
use proptest_support::seeded_cases;
use routing::time::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use support::requests::{classes, client, limits, MAX_RETRY_AFTER};

/// The classes to which the clients of the property test belong.
const CLASS_NAMES: [&str; 3] = ["interactive", "batch", DEFAULT_CLASS];

/// One step of a random sequence.
#[derive(Clone, Debug)]
enum Step {
    /// A request arrives from the client `client` of the class with index `class`.
    Arrive { class: u8, client: u8, is_retry: bool, timeout_ms: i64 },
    /// One of the requests that wait or are in flight ends. The number selects which one.
    Remove(u8),
    /// Time passes.
    Advance { ms: i64 },
    /// The limits change.
    SetLimits { max_in_flight: u8, max_waiting: u8 },
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..3u8, 0..4u8, any::<bool>(), 1..2_000i64).prop_map(|(class, client, is_retry, timeout_ms)| {
            Step::Arrive { class, client, is_retry, timeout_ms }
        }),
        4 => any::<u8>().prop_map(Step::Remove),
        3 => (0..60i64).prop_map(|ms| Step::Advance { ms }),
        1 => (1..6u8, 0..8u8).prop_map(|(max_in_flight, max_waiting)| {
            Step::SetLimits { max_in_flight, max_waiting }
        }),
    ]
}

/// A request that the limiter has not decided on yet.
#[derive(Debug)]
struct WaitingRequest {
    client: ClientKey,
    arrived: Timestamp,
    timeout: TimeDelta,
}

/// A limiter, and the state that is expected after the steps and decisions so far.
struct CheckedLimiter {
    limiter: ConcurrencyLimiter,
    limits: ConcurrencyLimits,
    now: Timestamp,
    last_request: RequestId,
    waiting: BTreeMap<RequestId, WaitingRequest>,
    in_flight: BTreeMap<RequestId, ClientKey>,
    /// Requests that were shed or have ended.
    finished: BTreeSet<RequestId>,
}

impl CheckedLimiter {
    fn new(retry_percent: Option<u32>) -> CheckedLimiter {
        let limits = ConcurrencyLimits { retry_percent, ..limits(2, 3) };
        CheckedLimiter {
            limiter: ConcurrencyLimiter::new(limits, classes(), MAX_RETRY_AFTER, 3),
            limits,
            now: Timestamp(0),
            last_request: 0,
            waiting: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            finished: BTreeSet::new(),
        }
    }

    fn apply(&mut self, step: Step) -> TestCaseResult {
        let limit_before = self.limits.max_in_flight;
        match step {
            Step::Arrive { class, client: offset, is_retry, timeout_ms } => {
                let client = client(CLASS_NAMES[usize::from(class)], u32::from(offset));
                self.arrive(client, is_retry, TimeDelta::from_millis(timeout_ms))?;
            }
            Step::Remove(index) => self.remove(usize::from(index))?,
            Step::Advance { ms } => self.advance(TimeDelta::from_millis(ms))?,
            Step::SetLimits { max_in_flight, max_waiting } => {
                self.set_limits(max_in_flight.into(), max_waiting.into())?;
            }
        }
        self.check_capacity(self.limits.max_in_flight < limit_before)?;
        self.check_counts()
    }

    fn arrive(&mut self, client: ClientKey, is_retry: bool, timeout: TimeDelta) -> TestCaseResult {
        self.last_request += 1;
        let (request, deadline) = (self.last_request, self.now + timeout);
        let waiting = WaitingRequest { client: client.clone(), arrived: self.now, timeout };
        self.waiting.insert(request, waiting);
        let mut decisions = Vec::new();
        self.limiter.arrive(self.now, Arrival { request, client, is_retry, deadline }, &mut decisions);
        self.record(decisions)
    }

    /// Ends one of the requests that wait or are in flight, if there are any.
    fn remove(&mut self, index: usize) -> TestCaseResult {
        let open: Vec<RequestId> = self.waiting.keys().chain(self.in_flight.keys()).copied().collect();
        let Some(&request) = open.get(index % open.len().max(1)) else { return Ok(()) };
        self.waiting.remove(&request);
        self.in_flight.remove(&request);
        self.finished.insert(request);
        let mut decisions = Vec::new();
        self.limiter.remove(self.now, request, &mut decisions);
        self.record(decisions)
    }

    /// Lets time pass, and calls the limiter at the times that it requests, as the timers of the server do.
    fn advance(&mut self, by: TimeDelta) -> TestCaseResult {
        let until = self.now + by;
        while let Some(next_tick) = self.limiter.next_tick().filter(|next_tick| *next_tick <= until) {
            self.now = self.now.max(next_tick);
            let mut decisions = Vec::new();
            self.limiter.tick(self.now, &mut decisions);
            prop_assert!(!decisions.is_empty(), "a tick was requested, but it shed no request");
            self.record(decisions)?;
        }
        self.now = until;
        Ok(())
    }

    fn set_limits(&mut self, max_in_flight: usize, max_waiting: usize) -> TestCaseResult {
        self.limits = ConcurrencyLimits { max_in_flight, max_waiting, ..self.limits };
        let mut decisions = Vec::new();
        self.limiter.set_limits(self.now, self.limits, classes(), &mut decisions);
        self.record(decisions)
    }

    /// Checks that each decision is the first on its request and in time, and that the Retry-After time of a shed
    /// request is within the limit. Updates the expected state.
    fn record(&mut self, decisions: Vec<Decision>) -> TestCaseResult {
        for decision in decisions {
            let request = match &decision {
                Decision::Admit { request, .. } => *request,
                Decision::Shed(shed) => shed.request,
            };
            let is_decided = self.finished.contains(&request) || self.in_flight.contains_key(&request);
            prop_assert!(!is_decided, "a second decision on a request: {decision:?}");
            let waiting = self.waiting.remove(&request).expect("the decision is on a waiting request");
            let waited = self.now - waiting.arrived;
            prop_assert!(
                waited <= CODEL_INTERVAL.min(waiting.timeout / 4),
                "the request waited for {waited:?}"
            );
            match decision {
                Decision::Admit { .. } => _ = self.in_flight.insert(request, waiting.client),
                Decision::Shed(shed) => {
                    prop_assert!(shed.retry_after > TimeDelta::ZERO && shed.retry_after <= MAX_RETRY_AFTER);
                    let has_retry_budget = self.limits.retry_percent.is_some();
                    prop_assert!(shed.reason != ShedReason::RetryBudget || has_retry_budget);
                    self.finished.insert(request);
                }
            }
        }
        Ok(())
    }

    /// Checks that no more requests are in flight than the limit allows, unless the limit was just lowered, and that no
    /// request waits while fewer are in flight.
    fn check_capacity(&self, limit_was_lowered: bool) -> TestCaseResult {
        let (in_flight, limit) = (self.in_flight.len(), self.limits.max_in_flight);
        prop_assert!(
            in_flight <= limit
                || limit_was_lowered
                || self.limiter.next_tick().is_none()
                || !self.waiting.is_empty()
        );
        prop_assert!(
            self.waiting.is_empty() || in_flight >= limit,
            "requests wait below the concurrency limit: {:?}",
            self.waiting
        );
        Ok(())
    }

    /// Checks that the limiter's counts by class agree with the expected state, and that the class with a request limit
    /// is within the limit.
    fn check_counts(&self) -> TestCaseResult {
        let counts: BTreeMap<Arc<str>, (usize, usize)> = self
            .limiter
            .requests_by_class()
            .map(|entry| (entry.class, (entry.requests.in_flight, entry.requests.waiting)))
            .collect();
        let expected = |name: &str| {
            let in_flight = self.in_flight.values().filter(|client| &*client.class == name).count();
            let waiting = self.waiting.values().filter(|waiting| &*waiting.client.class == name).count();
            (in_flight, waiting)
        };
        for name in CLASS_NAMES {
            prop_assert_eq!(counts.get(name).copied().unwrap_or_default(), expected(name), "class {}", name);
        }
        let (in_flight, waiting) = expected("batch");
        prop_assert!(in_flight + waiting <= 3);
        Ok(())
    }
}

proptest! {
    #![proptest_config(seeded_cases(400, 20_27))]

    /// Over any sequence of steps, there is one decision on each request and it is in time, no request waits below the
    /// concurrency limit, none is admitted above it, and all counts agree.
    #[test]
    fn each_request_is_decided_once_and_none_waits_while_there_is_capacity(
        steps in prop::collection::vec(any_step(), 1..200),
        retry_percent in prop::option::of(0..100u32),
    ) {
        let mut limiter = CheckedLimiter::new(retry_percent);
        for step in steps {
            limiter.apply(step)?;
        }
    }
}
