//! Whose RPCs are worked on, after each step of any story; and plain cases.

use admission::class::OTHERS;
use admission::repeats::{Repeats, MOST_REMEMBERED};
use admission::source::{Prefixes, Source};
use admission::turnstile::{Ask, Client, RpcId, Shed, Turn, Turns, Turnstile, Why, INTERVAL};
use admission::Class;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use routing::time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr};

fn at(ms: i64) -> Moment {
    Moment(ms * 1_000_000)
}

fn client(class: &str, nth: u32) -> Client {
    let from = IpAddr::from(Ipv4Addr::from_bits(0x7f00_0000 + nth));
    Client { class: class.into(), source: Source::of(from, Prefixes::default()) }
}

fn turns(at_once: usize, waiting: usize) -> Turns {
    Turns { at_once, waiting, target: Span::millis(10), repeats: None }
}

fn classes() -> Vec<Class> {
    let from = |range: &str| vec![range.parse().expect("a range")];
    vec![
        Class { from: from("127.9.0.0/16"), weight: 3, ..Class::named("desk") },
        Class { from: from("127.8.0.0/16"), rpcs: Some(3), ..Class::named("batch") },
    ]
}

struct Front {
    turnstile: Turnstile,
    next: RpcId,
    /// Whose RPCs are under way.
    under_way: BTreeMap<RpcId, Client>,
    shed: Vec<(RpcId, Why)>,
}

impl Front {
    fn new(turns: Turns) -> Front {
        let turnstile = Turnstile::new(turns, classes(), Span::millis(2_000), 7);
        Front { turnstile, next: 0, under_way: BTreeMap::new(), shed: Vec::new() }
    }

    fn ask(&mut self, ms: i64, who: &Client, repeat: bool) -> RpcId {
        self.next += 1;
        let ask = Ask { rpc: self.next, client: who.clone(), repeat, deadline: at(ms + 1_000) };
        let mut done = Vec::new();
        self.turnstile.arrive(at(ms), ask, &mut done);
        self.see(done, who);
        self.next
    }

    fn see(&mut self, done: Vec<Turn>, who: &Client) {
        for turn in done {
            match turn {
                Turn::Pass(rpc, _) => _ = self.under_way.insert(rpc, who.clone()),
                Turn::Shed(Shed { rpc, why, .. }) => self.shed.push((rpc, why)),
            }
        }
    }

    fn has(&self, rpc: RpcId) -> bool {
        self.under_way.contains_key(&rpc)
    }
}

/// So many clients that always have so many RPCs here, for two seconds in which each takes 20 ms; how many of
/// each were worked on.
fn contend(turns: Turns, clients: &[(Client, usize)]) -> Vec<usize> {
    let mut turnstile = Turnstile::new(turns, classes(), Span::millis(2_000), 7);
    let (mut next, mut whose) = (0, BTreeMap::new());
    let (mut here, mut passed) = (vec![0usize; clients.len()], vec![0usize; clients.len()]);
    let mut ends: BTreeSet<(i64, RpcId)> = BTreeSet::new();
    for ms in 0..2_000 {
        let mut done = Vec::new();
        while let Some((_, rpc)) = ends.first().copied().filter(|(end, _)| *end <= ms) {
            ends.pop_first();
            here[whose[&rpc]] -= 1;
            turnstile.leave(at(ms), rpc, &mut done);
        }
        turnstile.tick(at(ms), &mut done);
        for nth in 0..clients.len() {
            while here[nth] < clients[nth].1 {
                next += 1;
                whose.insert(next, nth);
                here[nth] += 1;
                let (client, deadline) = (clients[nth].0.clone(), at(ms + 1_000));
                turnstile.arrive(at(ms), Ask { rpc: next, client, repeat: false, deadline }, &mut done);
            }
        }
        for turn in done {
            match turn {
                Turn::Pass(rpc, _) => {
                    passed[whose[&rpc]] += 1;
                    ends.insert((ms + 20, rpc));
                }
                Turn::Shed(shed) => here[whose[&shed.rpc]] -= 1,
            }
        }
    }
    passed
}

#[test]
fn of_fifty_clients_one_that_asks_for_a_hundred_times_as_much_gets_no_more() {
    for at_once in [1, 10] {
        let wild = (client(OTHERS, 0), 100);
        let clients: Vec<_> = [wild].into_iter().chain((1..50).map(|nth| (client(OTHERS, nth), 1))).collect();
        let passed = contend(turns(at_once, 1_000), &clients);
        let (least, most) = (passed.iter().min().unwrap_or(&0), passed.iter().max().unwrap_or(&0));
        assert!(passed.iter().sum::<usize>() >= 95 * at_once, "work is left undone: {passed:?}");
        // It came first, and found all of the front free.
        assert!(most - least <= 1 + at_once, "{at_once} at once: {passed:?}");
    }
}

#[test]
fn classes_get_what_their_weights_give_and_what_one_leaves_is_the_others() {
    let (desk, other) = (client("desk", 1), client(OTHERS, 2));
    for at_once in [1, 4, 16] {
        let passed = contend(turns(at_once, 1_000), &[(desk.clone(), 50), (other.clone(), 50)]);
        let part = passed[0] as f64 / (passed[0] + passed[1]) as f64;
        assert!((0.72..0.78).contains(&part), "{at_once} at once: {passed:?}");
    }
    // One at a time: it is always next, and all else is the others'.
    let passed = contend(turns(4, 1_000), &[(desk, 1), (other, 50)]);
    assert!((49..=51).contains(&passed[0]) && passed[1] >= 345, "{passed:?}");
}

#[test]
fn who_waits_is_told_in_time_and_a_queue_that_stands_is_kept_short() {
    let (mut front, who, other) = (Front::new(turns(1, 10)), client(OTHERS, 1), client(OTHERS, 2));
    let first = front.ask(0, &who, false);
    assert!(front.has(first));
    let second = front.ask(0, &who, false);
    let third = front.ask(95, &who, false);
    assert_eq!(front.turnstile.due(), Some(at(100)), "a queue that came by chance may be worked off");
    let mut done = Vec::new();
    front.turnstile.tick(at(100), &mut done);
    assert!(matches!(&done[..], [Turn::Shed(Shed { rpc, why: Why::Waited, .. })] if *rpc == second));
    // It stands: from now on the target counts, for this client and for no other.
    assert_eq!(front.turnstile.due(), Some(at(105)));
    let fourth = front.ask(100, &other, false);
    done.clear();
    front.turnstile.tick(at(150), &mut done);
    assert!(matches!(&done[..], [Turn::Shed(Shed { rpc, .. })] if *rpc == third));
    done.clear();
    front.turnstile.leave(at(151), first, &mut done);
    assert_eq!(done, [Turn::Pass(fourth, Span::millis(51))]);
    // Nobody waits for more than a quarter of its client's time.
    let deadline = at(200 + 40);
    front.turnstile.arrive(at(200), Ask { rpc: 99, client: who, repeat: false, deadline }, &mut done);
    assert_eq!(front.turnstile.due(), Some(at(210)));
}

#[test]
fn where_all_places_are_taken_who_has_most_of_them_gives_one_up() {
    let (mut front, wild, calm) = (Front::new(turns(1, 4)), client(OTHERS, 1), client(OTHERS, 2));
    let all: Vec<RpcId> = (0..5).map(|_| front.ask(0, &wild, false)).collect();
    assert!(front.shed.is_empty());
    let more = front.ask(1, &wild, false);
    assert_eq!(front.shed, [(more, Why::Crowd)]);
    front.ask(1, &calm, false);
    assert_eq!(front.shed[1..], [(all[4], Why::Displaced)], "the newest");
    // A class may have no more than is set for it, and where it has a weight it crowds by that.
    let batch: Vec<RpcId> = (0..4).map(|_| front.ask(2, &client("batch", 9), false)).collect();
    assert_eq!(front.shed.last(), Some(&(batch[3], Why::Crowd)), "{:?}", front.shed);
    let desk: Vec<RpcId> = (0..2).map(|_| front.ask(3, &client("desk", 9), false)).collect();
    assert!(front.shed.iter().all(|(rpc, _)| !desk.contains(rpc)), "{:?}", front.shed);
}

#[test]
fn a_class_with_its_most_rpcs_is_refused_though_there_is_room() {
    let mut front = Front::new(turns(10, 10));
    let batch: Vec<RpcId> = (0..4).map(|nth| front.ask(0, &client("batch", nth), false)).collect();
    assert_eq!(front.shed, [(batch[3], Why::Rpcs)]);
    let mut done = Vec::new();
    front.turnstile.leave(at(1), batch[0], &mut done);
    let again = front.ask(2, &client("batch", 4), false);
    assert!(front.has(again));
    // Lowered below what is here: nobody is turned away, and nobody more is let in.
    let mut lower = classes();
    lower[1].rpcs = Some(1);
    front.turnstile.set(at(3), turns(1, 10), lower, &mut done);
    assert!(done.is_empty(), "{done:?}");
    let another = front.ask(4, &client("batch", 5), false);
    assert_eq!(front.shed.last(), Some(&(another, Why::Rpcs)));
}

#[test]
fn repeats_are_a_part_of_the_first_tries_and_a_storm_of_them_feeds_nobody() {
    let with = Turns { repeats: Some(10), ..turns(100, 10) };
    let mut front = Front::new(with);
    let who = client(OTHERS, 1);
    // A client that was never seen may repeat once, and again when it has been quiet.
    let one = front.ask(0, &who, true);
    let two = front.ask(1, &who, true);
    let three = front.ask(10_001, &who, true);
    assert!(front.has(one) && front.has(three));
    assert_eq!(front.shed, [(two, Why::Repeats)]);
    let mut done = Vec::new();
    let mut leave = |front: &mut Front, ms, rpc| front.turnstile.leave(at(ms), rpc, &mut done);
    for rpc in [one, three] {
        leave(&mut front, 10_002, rpc);
    }
    // A hundred first tries are good for ten.
    for nth in 0..100 {
        let rpc = front.ask(10_003 + nth, &who, false);
        leave(&mut front, 10_003 + nth, rpc);
    }
    let good = (0..30).filter(|nth| {
        let rpc = front.ask(10_200 + nth, &who, true);
        leave(&mut front, 10_200 + nth, rpc);
        front.has(rpc)
    });
    assert_eq!(good.count(), 10);
    // 10,000 clients that each come again once, at once: what the front can work on, and no more.
    let good = (0..10_000).filter(|nth| {
        let rpc = front.ask(40_000, &client(OTHERS, 10 + nth), true);
        leave(&mut front, 40_000, rpc);
        front.has(rpc)
    });
    assert_eq!(good.count(), 100);
}

#[test]
fn a_million_clients_leave_no_more_budgets_than_are_remembered_at_most() {
    let mut repeats = Repeats::new(20, 1_000);
    for nth in 0..1_000_000u32 {
        repeats.taken(Moment(i64::from(nth)), &nth, false);
        assert!(repeats.remembered() <= MOST_REMEMBERED + 1);
    }
    for nth in 0..MOST_REMEMBERED as u32 {
        repeats.taken(at(20_000) + Span(i64::from(nth)), &(nth % 3), false);
    }
    assert_eq!(repeats.remembered(), 3, "what is old goes as others come");
}

#[derive(Clone, Debug)]
enum Told {
    Asks { class: u8, nth: u8, repeat: bool, patience: i64 },
    Leaves(u8),
    Waits(i64),
    Sets { at_once: u8, waiting: u8 },
}

fn told() -> impl Strategy<Value = Told> {
    prop_oneof![
        6 => (0..3u8, 0..4u8, any::<bool>(), 1..2_000i64).prop_map(|(class, nth, repeat, patience)| {
            Told::Asks { class, nth, repeat, patience }
        }),
        4 => any::<u8>().prop_map(Told::Leaves),
        3 => (0..60i64).prop_map(Told::Waits),
        1 => (1..6u8, 0..8u8).prop_map(|(at_once, waiting)| Told::Sets { at_once, waiting }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(20_27),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Any story: each RPC passes or is shed once at the most; while somebody waits the front is full; nobody
    /// is let through while it is; nobody waits longer than may be; and all counts add up.
    #[test]
    fn each_rpc_has_one_turn_and_no_room_is_left_while_somebody_waits(
        steps in prop::collection::vec(told(), 1..200),
        repeats in prop::option::of(0..100u32),
    ) {
        let names = ["desk", "batch", OTHERS];
        let mut now = Moment(0);
        let mut set = Turns { repeats, ..turns(2, 3) };
        let mut turnstile = Turnstile::new(set, classes(), Span::millis(2_000), 3);
        let (mut next, mut waits, mut under_way) = (0, BTreeMap::new(), BTreeMap::new());
        let mut over: BTreeSet<RpcId> = BTreeSet::new();
        for step in steps {
            let (mut done, mut whens, mut lowered) = (Vec::new(), Vec::new(), false);
            match step {
                Told::Asks { class, nth, repeat, patience } => {
                    next += 1;
                    let client = client(names[usize::from(class)], u32::from(nth));
                    let ask = Ask { rpc: next, client: client.clone(), repeat, deadline: now + Span::millis(patience) };
                    waits.insert(next, (client, now, patience));
                    turnstile.arrive(now, ask, &mut done);
                }
                Told::Leaves(nth) => {
                    let here: Vec<RpcId> = waits.keys().chain(under_way.keys()).copied().collect();
                    if let Some(&rpc) = here.get(usize::from(nth) % here.len().max(1)) {
                        waits.remove(&rpc);
                        under_way.remove(&rpc);
                        over.insert(rpc);
                        turnstile.leave(now, rpc, &mut done);
                    }
                }
                Told::Waits(ms) => {
                    // The host comes back when it is due, as its alarms do.
                    let until = now + Span::millis(ms);
                    while let Some(due) = turnstile.due().filter(|due| *due <= until) {
                        now = now.max(due);
                        let before = done.len();
                        turnstile.tick(now, &mut done);
                        prop_assert!(done.len() > before, "due, and nobody to shed");
                        whens.resize(done.len(), now);
                    }
                    now = until;
                }
                Told::Sets { at_once, waiting } => {
                    lowered = usize::from(at_once) < set.at_once;
                    set = Turns { at_once: at_once.into(), waiting: waiting.into(), ..set };
                    turnstile.set(now, set, classes(), &mut done);
                }
            }
            whens.resize(done.len(), now);
            for (turn, now) in done.into_iter().zip(whens) {
                let rpc = match &turn {
                    Turn::Pass(rpc, _) => *rpc,
                    Turn::Shed(shed) => shed.rpc,
                };
                prop_assert!(!over.contains(&rpc) && !under_way.contains_key(&rpc), "two turns: {turn:?}");
                let (client, came, patience) = waits.remove(&rpc).expect("it waits, or has just come");
                let most = INTERVAL.min(Span::millis(patience) / 4);
                prop_assert!(now - came <= most, "it waited {:?}", now - came);
                match turn {
                    Turn::Pass(..) => _ = under_way.insert(rpc, client),
                    Turn::Shed(shed) => {
                        prop_assert!(shed.come_back > Span::ZERO && shed.come_back <= Span::millis(2_000));
                        prop_assert!(shed.why != Why::Repeats || set.repeats.is_some());
                        over.insert(rpc);
                    }
                }
            }
            prop_assert!(under_way.len() <= set.at_once || lowered || turnstile.due().is_none() || !waits.is_empty());
            prop_assert!(waits.is_empty() || under_way.len() >= set.at_once, "room is left and {waits:?} wait");
            let count = |of: &dyn Fn(&str) -> usize| names.map(of);
            let told: BTreeMap<&str, (usize, usize)> =
                turnstile.classes().map(|(name, under_way, waits)| (name, (under_way, waits))).collect();
            let under = |name: &str| under_way.values().filter(|client| &*client.class == name).count();
            let wait = |name: &str| waits.values().filter(|(client, ..)| &*client.class == name).count();
            prop_assert_eq!(count(&|name| told.get(name).map_or(0, |told| told.0)), count(&under));
            prop_assert_eq!(count(&|name| told.get(name).map_or(0, |told| told.1)), count(&wait));
            prop_assert!(under("batch") + wait("batch") <= 3);
        }
    }
}
