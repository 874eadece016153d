//! The concurrency limiter: which requests it admits, queues and sheds.

#[allow(dead_code)] // Each test file uses a part of it.
mod support;

use admission::client_class::DEFAULT_CLASS;
use admission::concurrency_limiter::{
    Arrival, ClientKey, ConcurrencyLimiter, ConcurrencyLimits, Decision, RequestId, ShedReason, ShedRequest,
};
use admission::retry_budget::{RetryBudgets, MAX_REMEMBERED};
use routing::time::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use support::at;
use support::requests::{classes, client, limits, MAX_RETRY_AFTER};

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
                Decision::Shed(ShedRequest { request, reason, .. }) => self.shed.push((request, reason)),
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
    assert_eq!(
        fixture.limiter.next_tick(),
        Some(at(100)),
        "a short burst may be worked off for one interval"
    );
    assert!(matches!(
        &fixture.tick(100)[..],
        [Decision::Shed(ShedRequest { request, reason: ShedReason::WaitedTooLong, .. })] if *request == second
    ));
    // The queue persists: from now on the target wait counts, for this client and for no other.
    assert_eq!(fixture.limiter.next_tick(), Some(at(105)));
    let fourth = fixture.arrive(100, &other, false);
    assert!(matches!(
        &fixture.tick(150)[..],
        [Decision::Shed(ShedRequest { request, .. })] if *request == third
    ));
    let admitted = Decision::Admit { request: fourth, waited: TimeDelta::from_millis(51) };
    assert_eq!(fixture.remove(151, first), [admitted]);
    // No request waits for more than a quarter of its timeout.
    let arrival = Arrival { request: 99, client: slow, is_retry: false, deadline: at(200 + 40) };
    fixture.limiter.arrive(at(200), arrival, &mut Vec::new());
    assert_eq!(fixture.limiter.next_tick(), Some(at(210)));
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
