//! The concurrency limiter: which requests it admits, queues and sheds.

#[allow(dead_code)] // Each test file uses only a part of the support code.
mod support;

use admission::client_class::DEFAULT_CLASS;
use admission::concurrency_limiter::{
    Arrival, ClientKey, ConcurrencyLimiter, ConcurrencyLimits, Decision, RequestId, ShedReason, ShedRequest,
};
use admission::retry_budget::{RetryBudgets, MAX_REMEMBERED};
use routing::time::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use support::at_ms;
use support::requests::{classes, client, limits, MAX_RETRY_AFTER};

/// A limiter and its decisions so far.
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

    /// Lets a request with a timeout of 1 s arrive, and returns its id.
    fn arrive(&mut self, ms: i64, client: &ClientKey, is_retry: bool) -> RequestId {
        self.last_request += 1;
        let arrival = Arrival {
            request: self.last_request,
            client: client.clone(),
            is_retry,
            deadline: at_ms(ms + 1_000),
        };
        let mut decisions = Vec::new();
        self.limiter.arrive(at_ms(ms), arrival, &mut decisions);
        for decision in decisions {
            match decision {
                Decision::Admit { request, .. } => _ = self.admitted.insert(request),
                Decision::Shed(ShedRequest { request, reason, .. }) => self.shed.push((request, reason)),
            }
        }
        self.last_request
    }

    /// Lets a first attempt of each of these clients arrive at the same time.
    fn arrive_all(&mut self, ms: i64, clients: impl IntoIterator<Item = ClientKey>) -> Vec<RequestId> {
        clients.into_iter().map(|client| self.arrive(ms, &client, false)).collect()
    }

    fn tick(&mut self, ms: i64) -> Vec<Decision> {
        let mut decisions = Vec::new();
        self.limiter.tick(at_ms(ms), &mut decisions);
        decisions
    }

    fn remove(&mut self, ms: i64, request: RequestId) -> Vec<Decision> {
        let mut decisions = Vec::new();
        self.limiter.remove(at_ms(ms), request, &mut decisions);
        decisions
    }

    /// Lets a request arrive and ends it immediately. Returns whether the request was admitted.
    fn arrive_and_remove(&mut self, ms: i64, client: &ClientKey, is_retry: bool) -> bool {
        let request = self.arrive(ms, client, is_retry);
        self.remove(ms, request);
        self.admitted.contains(&request)
    }
}

/// A client that keeps `open` requests waiting or in flight, and sends a new one whenever one of them has ended.
struct ClosedLoopClient {
    key: ClientKey,
    open: usize,
}

/// Simulates two seconds in which these clients send requests and each admitted request takes 20 ms. Returns the number
/// of admitted requests of each client.
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
            limiter.remove(at_ms(ms), request, &mut decisions);
        }
        limiter.tick(at_ms(ms), &mut decisions);
        for (nth, client) in clients.iter().enumerate() {
            while open[nth] < client.open {
                last_request += 1;
                client_of.insert(last_request, nth);
                open[nth] += 1;
                let (client, deadline) = (client.key.clone(), at_ms(ms + 1_000));
                let arrival = Arrival { request: last_request, client, is_retry: false, deadline };
                limiter.arrive(at_ms(ms), arrival, &mut decisions);
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
fn a_client_with_a_hundredfold_load_gets_the_share_of_other_clients() {
    for max_in_flight in [1, 10] {
        let heavy = ClosedLoopClient { key: client(DEFAULT_CLASS, 0), open: 100 };
        let light = (1..50).map(|nth| ClosedLoopClient { key: client(DEFAULT_CLASS, nth), open: 1 });
        let clients: Vec<ClosedLoopClient> = [heavy].into_iter().chain(light).collect();
        let admitted = run_closed_loop(limits(max_in_flight, 1_000), &clients);
        let (min, max) = (admitted.iter().min().unwrap_or(&0), admitted.iter().max().unwrap_or(&0));
        assert!(admitted.iter().sum::<usize>() >= 95 * max_in_flight, "capacity was not used: {admitted:?}");
        // The heavy client may have more: its requests arrive first, when no request is in flight.
        assert!(max - min <= 1 + max_in_flight, "{max_in_flight} in flight: {admitted:?}");
    }
}

#[test]
fn classes_share_by_weight_and_unused_shares_are_redistributed() {
    let interactive = |open| ClosedLoopClient { key: client("interactive", 1), open };
    let other = || ClosedLoopClient { key: client(DEFAULT_CLASS, 2), open: 50 };
    for max_in_flight in [1, 4, 16] {
        let admitted = run_closed_loop(limits(max_in_flight, 1_000), &[interactive(50), other()]);
        let share = admitted[0] as f64 / (admitted[0] + admitted[1]) as f64;
        assert!((0.72..0.78).contains(&share), "{max_in_flight} in flight: {admitted:?}");
    }
    // A class that never has more than one request is always served next. The other class uses the rest of the
    // capacity.
    let admitted = run_closed_loop(limits(4, 1_000), &[interactive(1), other()]);
    assert!((49..=51).contains(&admitted[0]) && admitted[1] >= 345, "{admitted:?}");
}

#[test]
fn waiting_requests_are_shed_after_the_interval_or_the_target_wait() {
    let (mut fixture, slow, other) =
        (Fixture::new(limits(1, 10)), client(DEFAULT_CLASS, 1), client(DEFAULT_CLASS, 2));
    let first = fixture.arrive(0, &slow, false);
    assert!(fixture.admitted.contains(&first));
    let second = fixture.arrive(0, &slow, false);
    let third = fixture.arrive(95, &slow, false);
    assert_eq!(
        fixture.limiter.next_tick(),
        Some(at_ms(100)),
        "at first a request may wait for the whole interval"
    );
    assert!(matches!(
        &fixture.tick(100)[..],
        [Decision::Shed(ShedRequest { request, reason: ShedReason::WaitedTooLong, .. })] if *request == second
    ));
    // This client's queue has not been empty for the interval, so that the target wait applies to this client only.
    assert_eq!(fixture.limiter.next_tick(), Some(at_ms(105)));
    let fourth = fixture.arrive(100, &other, false);
    assert!(matches!(
        &fixture.tick(150)[..],
        [Decision::Shed(ShedRequest { request, .. })] if *request == third
    ));
    let admitted = Decision::Admit { request: fourth, waited: TimeDelta::from_millis(51) };
    assert_eq!(fixture.remove(151, first), [admitted]);
    // No request waits for more than a fourth of its timeout.
    let arrival = Arrival { request: 99, client: slow, is_retry: false, deadline: at_ms(200 + 40) };
    fixture.limiter.arrive(at_ms(200), arrival, &mut Vec::new());
    assert_eq!(fixture.limiter.next_tick(), Some(at_ms(210)));
}

#[test]
fn a_full_queue_displaces_the_newest_request_of_the_heaviest_client() {
    let (mut fixture, heavy, light) =
        (Fixture::new(limits(1, 4)), client(DEFAULT_CLASS, 1), client(DEFAULT_CLASS, 2));
    let requests = fixture.arrive_all(0, vec![heavy.clone(); 5]);
    assert!(fixture.shed.is_empty());
    let excess = fixture.arrive(1, &heavy, false);
    assert_eq!(fixture.shed, [(excess, ShedReason::QueueFull)]);
    fixture.arrive(1, &light, false);
    assert_eq!(
        fixture.shed[1..],
        [(requests[4], ShedReason::Displaced)],
        "the newest request of the heavy client"
    );
    // A request cannot displace another one if its own client would then have the largest share of the queue. A higher
    // weight makes the share smaller.
    let batch = fixture.arrive_all(2, vec![client("batch", 9); 4]);
    assert_eq!(fixture.shed.last(), Some(&(batch[3], ShedReason::QueueFull)), "{:?}", fixture.shed);
    let interactive = fixture.arrive_all(3, vec![client("interactive", 9); 2]);
    assert!(fixture.shed.iter().all(|(request, _)| !interactive.contains(request)), "{:?}", fixture.shed);
}

#[test]
fn requests_above_a_class_limit_are_shed_below_the_concurrency_limit() {
    let mut fixture = Fixture::new(limits(10, 10));
    let batch = fixture.arrive_all(0, (0..4).map(|nth| client("batch", nth)));
    assert_eq!(fixture.shed, [(batch[3], ShedReason::ClassLimit)]);
    assert_eq!(fixture.remove(1, batch[0]), []);
    let after_removal = fixture.arrive(2, &client("batch", 4), false);
    assert!(fixture.admitted.contains(&after_removal));
    // When the limit is lowered below the requests in flight, these are kept and further ones are shed.
    let mut lowered = classes();
    lowered[1].max_requests = Some(1);
    let mut decisions = Vec::new();
    fixture.limiter.set_limits(at_ms(3), limits(1, 10), lowered, &mut decisions);
    assert!(decisions.is_empty(), "{decisions:?}");
    let excess = fixture.arrive(4, &client("batch", 5), false);
    assert_eq!(fixture.shed.last(), Some(&(excess, ShedReason::ClassLimit)));
}

#[test]
fn retries_are_limited_to_a_percentage_of_first_attempts() {
    let mut fixture = Fixture::new(ConcurrencyLimits { retry_percent: Some(10), ..limits(100, 10) });
    let known = client(DEFAULT_CLASS, 1);
    // A new client may retry once, and again after a pause.
    let first = fixture.arrive(0, &known, true);
    let second = fixture.arrive(1, &known, true);
    let third = fixture.arrive(10_001, &known, true);
    assert!(fixture.admitted.contains(&first) && fixture.admitted.contains(&third));
    assert_eq!(fixture.shed, [(second, ShedReason::RetryBudget)]);
    for request in [first, third] {
        fixture.remove(10_002, request);
    }
    // A hundred first attempts add ten retries to the budget of the client.
    for nth in 0..100 {
        fixture.arrive_and_remove(10_003 + nth, &known, false);
    }
    let admitted = (0..30).filter(|nth| fixture.arrive_and_remove(10_200 + nth, &known, true));
    assert_eq!(admitted.count(), 10);
    // Of 10,000 clients that retry once at the same time, as many are admitted as the server's budget allows.
    let admitted =
        (0..10_000).filter(|nth| fixture.arrive_and_remove(40_000, &client(DEFAULT_CLASS, 10 + nth), true));
    assert_eq!(admitted.count(), 100);
}

#[test]
fn a_million_clients_leave_a_bounded_number_of_retry_budgets() {
    let mut budgets = RetryBudgets::new(20, 1_000);
    for nth in 0..1_000_000u32 {
        budgets.record_admitted(Timestamp(i64::from(nth)), &nth, false);
        assert!(budgets.client_count() <= MAX_REMEMBERED + 1);
    }
    for nth in 0..MAX_REMEMBERED as u32 {
        budgets.record_admitted(at_ms(20_000) + TimeDelta(i64::from(nth)), &(nth % 3), false);
    }
    assert_eq!(budgets.client_count(), 3, "requests of other clients evict expired budgets");
}
