//! Whose requests are worked on, after each step of any story; and plain cases.

use admission::client_address::{AddressPrefixes, ClientAddress};
use admission::client_class::DEFAULT_CLASS;
use admission::concurrency_limiter::{
    Arrival, ClientKey, ConcurrencyLimiter, ConcurrencyLimits, Decision, LoadShed, RequestId, ShedReason,
    INTERVAL,
};
use admission::retry_budget::{RetryBudgets, MAX_REMEMBERED};
use admission::ClientClass;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use routing::time::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr};

fn at(ms: i64) -> Timestamp {
    Timestamp(ms * 1_000_000)
}

fn client(class: &str, nth: u32) -> ClientKey {
    let networks = IpAddr::from(Ipv4Addr::from_bits(0x7f00_0000 + nth));
    ClientKey { class: class.into(), address: ClientAddress::new(networks, AddressPrefixes::default()) }
}

fn limits(max_in_flight: usize, max_waiting: usize) -> ConcurrencyLimits {
    ConcurrencyLimits {
        max_in_flight,
        max_waiting,
        target_wait: TimeDelta::from_millis(10),
        retry_percent: None,
    }
}

fn classes() -> Vec<ClientClass> {
    let networks = |range: &str| vec![range.parse().expect("a range")];
    vec![
        ClientClass { networks: networks("127.9.0.0/16"), weight: 3, ..ClientClass::named("desk") },
        ClientClass {
            networks: networks("127.8.0.0/16"),
            max_requests: Some(3),
            ..ClientClass::named("batch")
        },
    ]
}

struct Front {
    limiter: ConcurrencyLimiter,
    next: RequestId,
    /// Whose requests are under way.
    under_way: BTreeMap<RequestId, ClientKey>,
    shed: Vec<(RequestId, ShedReason)>,
}

impl Front {
    fn new(limits: ConcurrencyLimits) -> Front {
        let limiter = ConcurrencyLimiter::new(limits, classes(), TimeDelta::from_millis(2_000), 7);
        Front { limiter, next: 0, under_way: BTreeMap::new(), shed: Vec::new() }
    }

    fn ask(&mut self, ms: i64, who: &ClientKey, is_retry: bool) -> RequestId {
        self.next += 1;
        let ask = Arrival { request: self.next, client: who.clone(), is_retry, deadline: at(ms + 1_000) };
        let mut done = Vec::new();
        self.limiter.arrive(at(ms), ask, &mut done);
        self.see(done, who);
        self.next
    }

    fn see(&mut self, done: Vec<Decision>, who: &ClientKey) {
        for turn in done {
            match turn {
                Decision::Admit { request, .. } => _ = self.under_way.insert(request, who.clone()),
                Decision::Shed(LoadShed { request, reason, .. }) => self.shed.push((request, reason)),
            }
        }
    }

    fn has(&self, request: RequestId) -> bool {
        self.under_way.contains_key(&request)
    }
}

/// So many clients that always have so many requests here, for two seconds in which each takes 20 ms; how many of
/// each were worked on.
fn contend(limits: ConcurrencyLimits, clients: &[(ClientKey, usize)]) -> Vec<usize> {
    let mut limiter = ConcurrencyLimiter::new(limits, classes(), TimeDelta::from_millis(2_000), 7);
    let (mut next, mut whose) = (0, BTreeMap::new());
    let (mut here, mut passed) = (vec![0usize; clients.len()], vec![0usize; clients.len()]);
    let mut ends: BTreeSet<(i64, RequestId)> = BTreeSet::new();
    for ms in 0..2_000 {
        let mut done = Vec::new();
        while let Some((_, request)) = ends.first().copied().filter(|(end, _)| *end <= ms) {
            ends.pop_first();
            here[whose[&request]] -= 1;
            limiter.remove(at(ms), request, &mut done);
        }
        limiter.tick(at(ms), &mut done);
        for nth in 0..clients.len() {
            while here[nth] < clients[nth].1 {
                next += 1;
                whose.insert(next, nth);
                here[nth] += 1;
                let (client, deadline) = (clients[nth].0.clone(), at(ms + 1_000));
                limiter.arrive(
                    at(ms),
                    Arrival { request: next, client, is_retry: false, deadline },
                    &mut done,
                );
            }
        }
        for turn in done {
            match turn {
                Decision::Admit { request, .. } => {
                    passed[whose[&request]] += 1;
                    ends.insert((ms + 20, request));
                }
                Decision::Shed(shed) => here[whose[&shed.request]] -= 1,
            }
        }
    }
    passed
}

#[test]
fn of_fifty_clients_one_that_asks_for_a_hundred_times_as_much_gets_no_more() {
    for max_in_flight in [1, 10] {
        let wild = (client(DEFAULT_CLASS, 0), 100);
        let clients: Vec<_> =
            [wild].into_iter().chain((1..50).map(|nth| (client(DEFAULT_CLASS, nth), 1))).collect();
        let passed = contend(limits(max_in_flight, 1_000), &clients);
        let (least, max_connections) = (passed.iter().min().unwrap_or(&0), passed.iter().max().unwrap_or(&0));
        assert!(passed.iter().sum::<usize>() >= 95 * max_in_flight, "work is left undone: {passed:?}");
        // It came first, and found all of the instance free.
        assert!(max_connections - least <= 1 + max_in_flight, "{max_in_flight} at once: {passed:?}");
    }
}

#[test]
fn classes_get_what_their_weights_give_and_what_one_leaves_is_the_others() {
    let (desk, other) = (client("desk", 1), client(DEFAULT_CLASS, 2));
    for max_in_flight in [1, 4, 16] {
        let passed = contend(limits(max_in_flight, 1_000), &[(desk.clone(), 50), (other.clone(), 50)]);
        let part = passed[0] as f64 / (passed[0] + passed[1]) as f64;
        assert!((0.72..0.78).contains(&part), "{max_in_flight} at once: {passed:?}");
    }
    // One at a time: it is always next, and all else is the others'.
    let passed = contend(limits(4, 1_000), &[(desk, 1), (other, 50)]);
    assert!((49..=51).contains(&passed[0]) && passed[1] >= 345, "{passed:?}");
}

#[test]
fn who_waits_is_told_in_time_and_a_queue_that_stands_is_kept_short() {
    let (mut front, who, other) =
        (Front::new(limits(1, 10)), client(DEFAULT_CLASS, 1), client(DEFAULT_CLASS, 2));
    let first = front.ask(0, &who, false);
    assert!(front.has(first));
    let second = front.ask(0, &who, false);
    let third = front.ask(95, &who, false);
    assert_eq!(front.limiter.due(), Some(at(100)), "a queue that came by chance may be worked off");
    let mut done = Vec::new();
    front.limiter.tick(at(100), &mut done);
    assert!(
        matches!(&done[..], [Decision::Shed(LoadShed { request, reason: ShedReason::WaitedTooLong, .. })] if *request == second)
    );
    // It stands: from now on the target counts, for this client and for no other.
    assert_eq!(front.limiter.due(), Some(at(105)));
    let fourth = front.ask(100, &other, false);
    done.clear();
    front.limiter.tick(at(150), &mut done);
    assert!(matches!(&done[..], [Decision::Shed(LoadShed { request, .. })] if *request == third));
    done.clear();
    front.limiter.remove(at(151), first, &mut done);
    assert_eq!(done, [Decision::Admit { request: fourth, waited: TimeDelta::from_millis(51) }]);
    // Nobody waits for more than a quarter of its client's time.
    let deadline = at(200 + 40);
    front.limiter.arrive(at(200), Arrival { request: 99, client: who, is_retry: false, deadline }, &mut done);
    assert_eq!(front.limiter.due(), Some(at(210)));
}

#[test]
fn where_all_places_are_taken_who_has_most_of_them_gives_one_up() {
    let (mut front, wild, calm) =
        (Front::new(limits(1, 4)), client(DEFAULT_CLASS, 1), client(DEFAULT_CLASS, 2));
    let all: Vec<RequestId> = (0..5).map(|_| front.ask(0, &wild, false)).collect();
    assert!(front.shed.is_empty());
    let more = front.ask(1, &wild, false);
    assert_eq!(front.shed, [(more, ShedReason::QueueFull)]);
    front.ask(1, &calm, false);
    assert_eq!(front.shed[1..], [(all[4], ShedReason::Displaced)], "the newest");
    // A class may have no more than is set for it, and where it has a weight it crowds by that.
    let batch: Vec<RequestId> = (0..4).map(|_| front.ask(2, &client("batch", 9), false)).collect();
    assert_eq!(front.shed.last(), Some(&(batch[3], ShedReason::QueueFull)), "{:?}", front.shed);
    let desk: Vec<RequestId> = (0..2).map(|_| front.ask(3, &client("desk", 9), false)).collect();
    assert!(front.shed.iter().all(|(request, _)| !desk.contains(request)), "{:?}", front.shed);
}

#[test]
fn a_class_with_its_most_rpcs_is_refused_though_there_is_room() {
    let mut front = Front::new(limits(10, 10));
    let batch: Vec<RequestId> = (0..4).map(|nth| front.ask(0, &client("batch", nth), false)).collect();
    assert_eq!(front.shed, [(batch[3], ShedReason::ClassLimit)]);
    let mut done = Vec::new();
    front.limiter.remove(at(1), batch[0], &mut done);
    let again = front.ask(2, &client("batch", 4), false);
    assert!(front.has(again));
    // Lowered below what is here: nobody is rejected, and nobody more is let in.
    let mut lower = classes();
    lower[1].max_requests = Some(1);
    front.limiter.set_limits(at(3), limits(1, 10), lower, &mut done);
    assert!(done.is_empty(), "{done:?}");
    let another = front.ask(4, &client("batch", 5), false);
    assert_eq!(front.shed.last(), Some(&(another, ShedReason::ClassLimit)));
}

#[test]
fn repeats_are_a_part_of_the_first_tries_and_a_storm_of_them_feeds_nobody() {
    let with = ConcurrencyLimits { retry_percent: Some(10), ..limits(100, 10) };
    let mut front = Front::new(with);
    let who = client(DEFAULT_CLASS, 1);
    // A client that was never seen may repeat once, and again when it has been quiet.
    let one = front.ask(0, &who, true);
    let two = front.ask(1, &who, true);
    let three = front.ask(10_001, &who, true);
    assert!(front.has(one) && front.has(three));
    assert_eq!(front.shed, [(two, ShedReason::RetryBudget)]);
    let mut done = Vec::new();
    let mut leave = |front: &mut Front, ms, request| front.limiter.remove(at(ms), request, &mut done);
    for request in [one, three] {
        leave(&mut front, 10_002, request);
    }
    // A hundred first tries are good for ten.
    for nth in 0..100 {
        let request = front.ask(10_003 + nth, &who, false);
        leave(&mut front, 10_003 + nth, request);
    }
    let good = (0..30).filter(|nth| {
        let request = front.ask(10_200 + nth, &who, true);
        leave(&mut front, 10_200 + nth, request);
        front.has(request)
    });
    assert_eq!(good.count(), 10);
    // 10,000 clients that each come again once, at once: what the instance can work on, and no more.
    let good = (0..10_000).filter(|nth| {
        let request = front.ask(40_000, &client(DEFAULT_CLASS, 10 + nth), true);
        leave(&mut front, 40_000, request);
        front.has(request)
    });
    assert_eq!(good.count(), 100);
}

#[test]
fn a_million_clients_leave_no_more_budgets_than_are_remembered_at_most() {
    let mut retry_percent = RetryBudgets::new(20, 1_000);
    for nth in 0..1_000_000u32 {
        retry_percent.admitted(Timestamp(i64::from(nth)), &nth, false);
        assert!(retry_percent.remembered() <= MAX_REMEMBERED + 1);
    }
    for nth in 0..MAX_REMEMBERED as u32 {
        retry_percent.admitted(at(20_000) + TimeDelta(i64::from(nth)), &(nth % 3), false);
    }
    assert_eq!(retry_percent.remembered(), 3, "what is old goes as others come");
}

#[derive(Clone, Debug)]
enum Told {
    Asks { class: u8, nth: u8, is_retry: bool, timeout: i64 },
    Leaves(u8),
    Waits(i64),
    Sets { max_in_flight: u8, max_waiting: u8 },
}

fn decisions() -> impl Strategy<Value = Told> {
    prop_oneof![
        6 => (0..3u8, 0..4u8, any::<bool>(), 1..2_000i64).prop_map(|(class, nth, is_retry, timeout)| {
            Told::Asks { class, nth, is_retry, timeout }
        }),
        4 => any::<u8>().prop_map(Told::Leaves),
        3 => (0..60i64).prop_map(Told::Waits),
        1 => (1..6u8, 0..8u8).prop_map(|(max_in_flight, max_waiting)| Told::Sets { max_in_flight, max_waiting }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(20_27),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Any story: each request passes or is shed once at the most; while somebody waits the instance is full; nobody
    /// is let through while it is; nobody waits longer than may be; and all counts add up.
    #[test]
    fn each_rpc_has_one_turn_and_no_room_is_left_while_somebody_waits(
        steps in prop::collection::vec(decisions(), 1..200),
        retry_percent in prop::option::of(0..100u32),
    ) {
        let names = ["desk", "batch", DEFAULT_CLASS];
        let mut now = Timestamp(0);
        let mut set = ConcurrencyLimits { retry_percent, ..limits(2, 3) };
        let mut limiter = ConcurrencyLimiter::new(set, classes(), TimeDelta::from_millis(2_000), 3);
        let (mut next, mut waits, mut under_way) = (0, BTreeMap::new(), BTreeMap::new());
        let mut over: BTreeSet<RequestId> = BTreeSet::new();
        for step in steps {
            let (mut done, mut whens, mut lowered) = (Vec::new(), Vec::new(), false);
            match step {
                Told::Asks { class, nth, is_retry, timeout } => {
                    next += 1;
                    let client = client(names[usize::from(class)], u32::from(nth));
                    let ask = Arrival { request: next, client: client.clone(), is_retry, deadline: now + TimeDelta::from_millis(timeout) };
                    waits.insert(next, (client, now, timeout));
                    limiter.arrive(now, ask, &mut done);
                }
                Told::Leaves(nth) => {
                    let here: Vec<RequestId> = waits.keys().chain(under_way.keys()).copied().collect();
                    if let Some(&request) = here.get(usize::from(nth) % here.len().max(1)) {
                        waits.remove(&request);
                        under_way.remove(&request);
                        over.insert(request);
                        limiter.remove(now, request, &mut done);
                    }
                }
                Told::Waits(ms) => {
                    // The host comes back when it is due, as its alarms do.
                    let until = now + TimeDelta::from_millis(ms);
                    while let Some(due) = limiter.due().filter(|due| *due <= until) {
                        now = now.max(due);
                        let before = done.len();
                        limiter.tick(now, &mut done);
                        prop_assert!(done.len() > before, "due, and nobody to shed");
                        whens.resize(done.len(), now);
                    }
                    now = until;
                }
                Told::Sets { max_in_flight, max_waiting } => {
                    lowered = usize::from(max_in_flight) < set.max_in_flight;
                    set = ConcurrencyLimits { max_in_flight: max_in_flight.into(), max_waiting: max_waiting.into(), ..set };
                    limiter.set_limits(now, set, classes(), &mut done);
                }
            }
            whens.resize(done.len(), now);
            for (turn, now) in done.into_iter().zip(whens) {
                let request = match &turn {
                    Decision::Admit { request, .. } => *request,
                    Decision::Shed(shed) => shed.request,
                };
                prop_assert!(!over.contains(&request) && !under_way.contains_key(&request), "two turns: {turn:?}");
                let (client, came, timeout) = waits.remove(&request).expect("it waits, or has just come");
                let max_connections = INTERVAL.min(TimeDelta::from_millis(timeout) / 4);
                prop_assert!(now - came <= max_connections, "it waited {:?}", now - came);
                match turn {
                    Decision::Admit { .. } => _ = under_way.insert(request, client),
                    Decision::Shed(shed) => {
                        prop_assert!(shed.retry_after > TimeDelta::ZERO && shed.retry_after <= TimeDelta::from_millis(2_000));
                        prop_assert!(shed.reason != ShedReason::RetryBudget || set.retry_percent.is_some());
                        over.insert(request);
                    }
                }
            }
            prop_assert!(under_way.len() <= set.max_in_flight || lowered || limiter.due().is_none() || !waits.is_empty());
            prop_assert!(waits.is_empty() || under_way.len() >= set.max_in_flight, "room is left and {waits:?} wait");
            let count = |classify: &dyn Fn(&str) -> usize| names.map(classify);
            let decisions: BTreeMap<&str, (usize, usize)> =
                limiter.requests_by_class().map(|(name, counts)| (name, (counts.in_flight, counts.waiting))).collect();
            let under = |name: &str| under_way.values().filter(|client| &*client.class == name).count();
            let wait = |name: &str| waits.values().filter(|(client, ..)| &*client.class == name).count();
            prop_assert_eq!(count(&|name| decisions.get(name).map_or(0, |decisions| decisions.0)), count(&under));
            prop_assert_eq!(count(&|name| decisions.get(name).map_or(0, |decisions| decisions.1)), count(&wait));
            prop_assert!(under("batch") + wait("batch") <= 3);
        }
    }
}
