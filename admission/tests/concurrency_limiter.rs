//! The concurrency limiter: which requests it admits, queues and sheds. Plain cases, and a property test against a
//! model over random sequences of steps.

use admission::client_address::{AddressPrefixes, ClientAddress};
use admission::client_class::DEFAULT_CLASS;
use admission::concurrency_limiter::{
    Arrival, ClientKey, ConcurrencyLimiter, ConcurrencyLimits, Decision, LoadShed, RequestId, ShedReason,
    INTERVAL,
};
use admission::retry_budget::{RetryBudgets, MAX_REMEMBERED};
use admission::ClientClass;
use proptest::prelude::*;
use proptest::test_runner::TestCaseResult;
use proptest_support::seeded_cases;
use routing::time::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr};

/// Longest Retry-After that the limiter may report.
const MAX_RETRY_AFTER: TimeDelta = TimeDelta::from_millis(2_000);

fn at(ms: i64) -> Timestamp {
    Timestamp(ms * 1_000_000)
}

/// The `nth` client address, in a class.
fn client(class: &str, nth: u32) -> ClientKey {
    let address = IpAddr::from(Ipv4Addr::from_bits(0x7f00_0000 + nth));
    ClientKey { class: class.into(), address: ClientAddress::new(address, AddressPrefixes::default()) }
}

fn limits(max_in_flight: usize, max_waiting: usize) -> ConcurrencyLimits {
    ConcurrencyLimits {
        max_in_flight,
        max_waiting,
        target_wait: TimeDelta::from_millis(10),
        retry_percent: None,
    }
}

/// Class `desk` with three times the default weight, and class `batch` with at most three requests at once.
fn classes() -> Vec<ClientClass> {
    let networks = |range: &str| vec![range.parse().expect("a valid network")];
    vec![
        ClientClass { networks: networks("127.9.0.0/16"), weight: 3, ..ClientClass::named("desk") },
        ClientClass {
            networks: networks("127.8.0.0/16"),
            max_requests: Some(3),
            ..ClientClass::named("batch")
        },
    ]
}

/// A limiter with what it decided so far.
struct Fixture {
    limiter: ConcurrencyLimiter,
    last_request: RequestId,
    admitted: BTreeSet<RequestId>,
    shed: Vec<(RequestId, ShedReason)>,
}

impl Fixture {
    fn new(limits: ConcurrencyLimits) -> Fixture {
        let limiter = ConcurrencyLimiter::new(limits, classes(), MAX_RETRY_AFTER, 7);
        Fixture { limiter, last_request: 0, admitted: BTreeSet::new(), shed: Vec::new() }
    }

    /// A request with a timeout of 1 s arrives; returns its id.
    fn arrive(&mut self, ms: i64, client: &ClientKey, is_retry: bool) -> RequestId {
        self.last_request += 1;
        let arrival = Arrival {
            request: self.last_request,
            client: client.clone(),
            is_retry,
            deadline: at(ms + 1_000),
        };
        let mut decisions = Vec::new();
        self.limiter.arrive(at(ms), arrival, &mut decisions);
        for decision in decisions {
            match decision {
                Decision::Admit { request, .. } => _ = self.admitted.insert(request),
                Decision::Shed(LoadShed { request, reason, .. }) => self.shed.push((request, reason)),
            }
        }
        self.last_request
    }

    /// One first attempt of each of these clients at the same time.
    fn arrive_all(&mut self, ms: i64, clients: impl IntoIterator<Item = ClientKey>) -> Vec<RequestId> {
        clients.into_iter().map(|client| self.arrive(ms, &client, false)).collect()
    }

    fn tick(&mut self, ms: i64) -> Vec<Decision> {
        let mut decisions = Vec::new();
        self.limiter.tick(at(ms), &mut decisions);
        decisions
    }

    fn remove(&mut self, ms: i64, request: RequestId) -> Vec<Decision> {
        let mut decisions = Vec::new();
        self.limiter.remove(at(ms), request, &mut decisions);
        decisions
    }

    /// A request arrives and ends at once; whether it was admitted.
    fn is_admitted_and_removed(&mut self, ms: i64, client: &ClientKey, is_retry: bool) -> bool {
        let request = self.arrive(ms, client, is_retry);
        self.remove(ms, request);
        self.admitted.contains(&request)
    }
}

/// A client that always has `open` requests at the limiter, waiting or in flight.
struct ClosedLoopClient {
    key: ClientKey,
    open: usize,
}

/// Runs these clients for two seconds in which each request takes 20 ms; returns how many requests of each were
/// admitted.
fn run_closed_loop(limits: ConcurrencyLimits, clients: &[ClosedLoopClient]) -> Vec<usize> {
    let mut limiter = ConcurrencyLimiter::new(limits, classes(), MAX_RETRY_AFTER, 7);
    let (mut last_request, mut client_of) = (0, BTreeMap::new());
    let (mut open, mut admitted) = (vec![0usize; clients.len()], vec![0usize; clients.len()]);
    let mut ends: BTreeSet<(i64, RequestId)> = BTreeSet::new();
    for ms in 0..2_000 {
        let mut decisions = Vec::new();
        while let Some((_, request)) = ends.first().copied().filter(|(end, _)| *end <= ms) {
            ends.pop_first();
            open[client_of[&request]] -= 1;
            limiter.remove(at(ms), request, &mut decisions);
        }
        limiter.tick(at(ms), &mut decisions);
        for (nth, client) in clients.iter().enumerate() {
            while open[nth] < client.open {
                last_request += 1;
                client_of.insert(last_request, nth);
                open[nth] += 1;
                let (client, deadline) = (client.key.clone(), at(ms + 1_000));
                let arrival = Arrival { request: last_request, client, is_retry: false, deadline };
                limiter.arrive(at(ms), arrival, &mut decisions);
            }
        }
        for decision in decisions {
            match decision {
                Decision::Admit { request, .. } => {
                    admitted[client_of[&request]] += 1;
                    ends.insert((ms + 20, request));
                }
                Decision::Shed(shed) => open[client_of[&shed.request]] -= 1,
            }
        }
    }
    admitted
}

#[test]
fn a_client_with_a_hundred_times_the_load_of_forty_nine_others_gets_an_equal_share() {
    for max_in_flight in [1, 10] {
        let heavy = ClosedLoopClient { key: client(DEFAULT_CLASS, 0), open: 100 };
        let light = (1..50).map(|nth| ClosedLoopClient { key: client(DEFAULT_CLASS, nth), open: 1 });
        let clients: Vec<ClosedLoopClient> = [heavy].into_iter().chain(light).collect();
        let admitted = run_closed_loop(limits(max_in_flight, 1_000), &clients);
        let (least, most) = (admitted.iter().min().unwrap_or(&0), admitted.iter().max().unwrap_or(&0));
        assert!(
            admitted.iter().sum::<usize>() >= 95 * max_in_flight,
            "capacity is left unused: {admitted:?}"
        );
        // The heavy client arrived first, when the instance was idle.
        assert!(most - least <= 1 + max_in_flight, "{max_in_flight} in flight: {admitted:?}");
    }
}

#[test]
fn classes_share_by_weight_and_unused_capacity_goes_to_the_others() {
    let desk = |open| ClosedLoopClient { key: client("desk", 1), open };
    let other = || ClosedLoopClient { key: client(DEFAULT_CLASS, 2), open: 50 };
    for max_in_flight in [1, 4, 16] {
        let admitted = run_closed_loop(limits(max_in_flight, 1_000), &[desk(50), other()]);
        let share = admitted[0] as f64 / (admitted[0] + admitted[1]) as f64;
        assert!((0.72..0.78).contains(&share), "{max_in_flight} in flight: {admitted:?}");
    }
    // With one request at a time the desk is always next, and the rest of the capacity is the others'.
    let admitted = run_closed_loop(limits(4, 1_000), &[desk(1), other()]);
    assert!((49..=51).contains(&admitted[0]) && admitted[1] >= 345, "{admitted:?}");
}

#[test]
fn a_waiting_request_is_shed_in_time_and_a_persistent_queue_is_held_to_the_target() {
    let (mut fixture, slow, other) =
        (Fixture::new(limits(1, 10)), client(DEFAULT_CLASS, 1), client(DEFAULT_CLASS, 2));
    let first = fixture.arrive(0, &slow, false);
    assert!(fixture.admitted.contains(&first));
    let second = fixture.arrive(0, &slow, false);
    let third = fixture.arrive(95, &slow, false);
    assert_eq!(fixture.limiter.due(), Some(at(100)), "a short burst may be worked off for one interval");
    assert!(matches!(
        &fixture.tick(100)[..],
        [Decision::Shed(LoadShed { request, reason: ShedReason::WaitedTooLong, .. })] if *request == second
    ));
    // The queue persists: from now on the target wait counts, for this client and for no other.
    assert_eq!(fixture.limiter.due(), Some(at(105)));
    let fourth = fixture.arrive(100, &other, false);
    assert!(matches!(
        &fixture.tick(150)[..],
        [Decision::Shed(LoadShed { request, .. })] if *request == third
    ));
    let admitted = Decision::Admit { request: fourth, waited: TimeDelta::from_millis(51) };
    assert_eq!(fixture.remove(151, first), [admitted]);
    // No request waits for more than a quarter of its timeout.
    let arrival = Arrival { request: 99, client: slow, is_retry: false, deadline: at(200 + 40) };
    fixture.limiter.arrive(at(200), arrival, &mut Vec::new());
    assert_eq!(fixture.limiter.due(), Some(at(210)));
}

#[test]
fn a_full_queue_displaces_the_newest_request_of_the_client_with_most_waiting() {
    let (mut fixture, heavy, light) =
        (Fixture::new(limits(1, 4)), client(DEFAULT_CLASS, 1), client(DEFAULT_CLASS, 2));
    let requests = fixture.arrive_all(0, vec![heavy.clone(); 5]);
    assert!(fixture.shed.is_empty());
    let excess = fixture.arrive(1, &heavy, false);
    assert_eq!(fixture.shed, [(excess, ShedReason::QueueFull)]);
    fixture.arrive(1, &light, false);
    assert_eq!(fixture.shed[1..], [(requests[4], ShedReason::Displaced)], "the newest of the heavy client");
    // A class may have no more requests than its limit, and its share of the queue follows its weight.
    let batch = fixture.arrive_all(2, vec![client("batch", 9); 4]);
    assert_eq!(fixture.shed.last(), Some(&(batch[3], ShedReason::QueueFull)), "{:?}", fixture.shed);
    let desk = fixture.arrive_all(3, vec![client("desk", 9); 2]);
    assert!(fixture.shed.iter().all(|(request, _)| !desk.contains(request)), "{:?}", fixture.shed);
}

#[test]
fn a_class_at_its_request_limit_is_rejected_while_the_instance_has_capacity() {
    let mut fixture = Fixture::new(limits(10, 10));
    let batch = fixture.arrive_all(0, (0..4).map(|nth| client("batch", nth)));
    assert_eq!(fixture.shed, [(batch[3], ShedReason::ClassLimit)]);
    assert_eq!(fixture.remove(1, batch[0]), []);
    let after_removal = fixture.arrive(2, &client("batch", 4), false);
    assert!(fixture.admitted.contains(&after_removal));
    // Lowered below the requests in flight: none of them is shed, and no further one is admitted.
    let mut lowered = classes();
    lowered[1].max_requests = Some(1);
    let mut decisions = Vec::new();
    fixture.limiter.set_limits(at(3), limits(1, 10), lowered, &mut decisions);
    assert!(decisions.is_empty(), "{decisions:?}");
    let excess = fixture.arrive(4, &client("batch", 5), false);
    assert_eq!(fixture.shed.last(), Some(&(excess, ShedReason::ClassLimit)));
}

#[test]
fn retries_are_limited_to_a_share_of_first_attempts() {
    let mut fixture = Fixture::new(ConcurrencyLimits { retry_percent: Some(10), ..limits(100, 10) });
    let known = client(DEFAULT_CLASS, 1);
    // A client that was never seen may retry once, and again after a quiet period.
    let first = fixture.arrive(0, &known, true);
    let second = fixture.arrive(1, &known, true);
    let third = fixture.arrive(10_001, &known, true);
    assert!(fixture.admitted.contains(&first) && fixture.admitted.contains(&third));
    assert_eq!(fixture.shed, [(second, ShedReason::RetryBudget)]);
    for request in [first, third] {
        fixture.remove(10_002, request);
    }
    // A hundred first attempts earn ten retries.
    for nth in 0..100 {
        fixture.is_admitted_and_removed(10_003 + nth, &known, false);
    }
    let admitted = (0..30).filter(|nth| fixture.is_admitted_and_removed(10_200 + nth, &known, true));
    assert_eq!(admitted.count(), 10);
    // 10,000 clients retry once each at the same time: as many pass as the instance may have in flight.
    let admitted = (0..10_000)
        .filter(|nth| fixture.is_admitted_and_removed(40_000, &client(DEFAULT_CLASS, 10 + nth), true));
    assert_eq!(admitted.count(), 100);
}

#[test]
fn a_million_clients_leave_a_bounded_number_of_retry_budgets() {
    let mut budgets = RetryBudgets::new(20, 1_000);
    for nth in 0..1_000_000u32 {
        budgets.admitted(Timestamp(i64::from(nth)), &nth, false);
        assert!(budgets.remembered() <= MAX_REMEMBERED + 1);
    }
    for nth in 0..MAX_REMEMBERED as u32 {
        budgets.admitted(at(20_000) + TimeDelta(i64::from(nth)), &(nth % 3), false);
    }
    assert_eq!(budgets.remembered(), 3, "expired budgets are removed as other clients arrive");
}

/// The classes that the property test draws clients from.
const CLASS_NAMES: [&str; 3] = ["desk", "batch", DEFAULT_CLASS];

/// One step of a random sequence.
#[derive(Clone, Debug)]
enum Step {
    Arrive { class: u8, nth: u8, is_retry: bool, timeout_ms: i64 },
    Remove(u8),
    Advance { ms: i64 },
    SetLimits { max_in_flight: u8, max_waiting: u8 },
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..3u8, 0..4u8, any::<bool>(), 1..2_000i64).prop_map(|(class, nth, is_retry, timeout_ms)| {
            Step::Arrive { class, nth, is_retry, timeout_ms }
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

/// A limiter, and the state that its input and its decisions so far must have led to.
struct CheckedLimiter {
    limiter: ConcurrencyLimiter,
    limits: ConcurrencyLimits,
    now: Timestamp,
    last_request: RequestId,
    waiting: BTreeMap<RequestId, WaitingRequest>,
    in_flight: BTreeMap<RequestId, ClientKey>,
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
            Step::Arrive { class, nth, is_retry, timeout_ms } => {
                let client = client(CLASS_NAMES[usize::from(class)], u32::from(nth));
                self.arrive(client, is_retry, TimeDelta::from_millis(timeout_ms))?;
            }
            Step::Remove(nth) => self.remove(usize::from(nth))?,
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

    /// Ends one of the requests that wait or are in flight, if there is any.
    fn remove(&mut self, nth: usize) -> TestCaseResult {
        let open: Vec<RequestId> = self.waiting.keys().chain(self.in_flight.keys()).copied().collect();
        let Some(&request) = open.get(nth % open.len().max(1)) else { return Ok(()) };
        self.waiting.remove(&request);
        self.in_flight.remove(&request);
        self.finished.insert(request);
        let mut decisions = Vec::new();
        self.limiter.remove(self.now, request, &mut decisions);
        self.record(decisions)
    }

    /// Time passes; the limiter is called whenever it is due, as by the timers of its host.
    fn advance(&mut self, by: TimeDelta) -> TestCaseResult {
        let until = self.now + by;
        while let Some(due) = self.limiter.due().filter(|due| *due <= until) {
            self.now = self.now.max(due);
            let mut decisions = Vec::new();
            self.limiter.tick(self.now, &mut decisions);
            prop_assert!(!decisions.is_empty(), "due with nothing to shed");
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

    /// Each request is decided on once, in time, and a shed one gets a Retry-After within the limit.
    fn record(&mut self, decisions: Vec<Decision>) -> TestCaseResult {
        for decision in decisions {
            let request = match &decision {
                Decision::Admit { request, .. } => *request,
                Decision::Shed(shed) => shed.request,
            };
            let is_decided = self.finished.contains(&request) || self.in_flight.contains_key(&request);
            prop_assert!(!is_decided, "decided twice: {decision:?}");
            let waiting = self.waiting.remove(&request).expect("a decision is on a waiting request");
            let waited = self.now - waiting.arrived;
            prop_assert!(waited <= INTERVAL.min(waiting.timeout / 4), "it waited {waited:?}");
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

    /// No more requests are in flight than the limit allows, unless it was just lowered, and none waits below it.
    fn check_capacity(&self, limit_was_lowered: bool) -> TestCaseResult {
        let (in_flight, limit) = (self.in_flight.len(), self.limits.max_in_flight);
        prop_assert!(
            in_flight <= limit
                || limit_was_lowered
                || self.limiter.due().is_none()
                || !self.waiting.is_empty()
        );
        prop_assert!(
            self.waiting.is_empty() || in_flight >= limit,
            "there is capacity and {:?} wait",
            self.waiting
        );
        Ok(())
    }

    /// The limiter's own counts by class agree, and the class with a request limit is within it.
    fn check_counts(&self) -> TestCaseResult {
        let counts: BTreeMap<&str, (usize, usize)> = self
            .limiter
            .requests_by_class()
            .map(|(name, counts)| (name, (counts.in_flight, counts.waiting)))
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

    /// Over any sequence of steps each request is decided on once and in time, no request waits while there is
    /// capacity, none is admitted while there is none, and all counts agree.
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
