//! Who is let in, after each step of any story; and plain cases.

use admission::class::{check, OTHERS};
use admission::source::{Source, MOST_REMEMBERED};
use admission::{Admission, Class, Fault, Pass, Prefixes, Rate, Why};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use routing::time::{Moment, Span};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

fn at(ms: i64) -> Moment {
    Moment(ms * 1_000_000)
}

fn v4(a: u8, b: u8, c: u8) -> IpAddr {
    Ipv4Addr::new(127, a, b, c).into()
}

fn desk() -> Class {
    Class { from: vec!["127.9.0.0/16".parse().expect("a range")], keep: 4, ..Class::named("desk") }
}

fn begin(classes: Vec<Class>, room: usize) -> Admission {
    Admission::new(classes, Prefixes::default(), (room, Span::millis(60_000)), 7).expect("they fit")
}

fn why(admission: &mut Admission, ms: i64, from: IpAddr) -> Option<Why> {
    admission.arrive(at(ms), from, None).err().map(|refusal| refusal.why)
}

#[test]
fn what_is_kept_for_known_clients_stays_theirs_whatever_comes() {
    let mut front = begin(vec![desk(), Class { each: Some(2), ..Class::named(OTHERS) }], 10);
    let mut passes: Vec<Pass> = Vec::new();
    for nth in 0..200 {
        passes.extend(front.arrive(at(nth), v4(1, 0, nth as u8), None));
    }
    assert_eq!(passes.len(), 6, "the others get what is not kept");
    assert_eq!(why(&mut front, 300, v4(1, 0, 250)), Some(Why::Room));
    for nth in 0..4 {
        passes.push(front.arrive(at(301), v4(9, 1, nth), None).expect("kept for it"));
    }
    assert_eq!(why(&mut front, 302, v4(9, 1, 9)), Some(Why::Room), "all is taken");
    // A place of the others' that is given back is anybody's.
    front.leave(at(303), passes.remove(0));
    passes.push(front.arrive(at(304), v4(9, 1, 9), None).expect("free"));
    // One that the desk has beyond what is kept is free again, and so the others' as well.
    front.leave(at(305), passes.pop().expect("the last"));
    assert_eq!(why(&mut front, 306, v4(1, 0, 250)), None);
    assert_eq!(front.held().collect::<Vec<_>>(), [("desk", 4), (OTHERS, 6)]);
}

#[test]
fn a_source_has_its_number_and_its_pace_and_a_prefix_is_one_source() {
    let rate = Some(Rate { per_s: 10, burst: 3 });
    let mut front = begin(vec![Class { rate, each: Some(5), ..Class::named(OTHERS) }], 1_000);
    let from = |host: u128| IpAddr::from(Ipv6Addr::from_bits((0x2001_0db8 << 96) | host));
    let passes: Vec<Pass> =
        (0..3).map(|host| front.arrive(at(0), from(host), None).expect("a burst")).collect();
    let refusal = front.arrive(at(0), from(77), None).expect_err("one /64 is one source");
    assert_eq!(refusal.why, Why::Rate);
    assert!((Span::millis(100)..Span::millis(801)).contains(&refusal.come_back), "{refusal:?}");
    assert_eq!(why(&mut front, 0, from(1 << 64)), None, "the next /64 is another");
    assert_eq!(why(&mut front, 99, from(3)), Some(Why::Rate));
    assert_eq!(why(&mut front, 100, from(3)), None);
    assert_eq!(why(&mut front, 200, from(3)), None);
    assert_eq!(why(&mut front, 9_000, from(3)), Some(Why::Each));
    passes.into_iter().for_each(|pass| front.leave(at(9_001), pass));
    assert_eq!(why(&mut front, 9_002, from(3)), None);
    let mapped = IpAddr::from(Ipv4Addr::new(10, 0, 0, 1).to_ipv6_mapped());
    let (plain, all) = (IpAddr::from([10, 0, 0, 1]), Prefixes::default());
    assert_eq!(Source::of(mapped, all), Source::of(plain, all));
    assert_eq!(IpAddr::from(Source::of(plain, Prefixes { v4: 24, v6: 64 })), IpAddr::from([10, 0, 0, 0]));
}

#[test]
fn who_is_turned_away_in_a_crowd_is_told_times_that_lie_apart() {
    let mut front = begin(vec![Class { most: Some(1), ..Class::named(OTHERS) }], 50);
    let _held = front.arrive(at(0), v4(1, 1, 1), None).expect("the first");
    let told: Vec<i64> = (0..1_000)
        .map(|nth| front.arrive(at(1), v4(1, 2, nth as u8), None).expect_err("full").come_back.0 / 1_000_000)
        .collect();
    // All at the same moment: the later ones are told to wait longer, and no tenth of a second gets a tenth
    // of them.
    let mut tenths: BTreeMap<i64, usize> = BTreeMap::new();
    told.iter().for_each(|ms| *tenths.entry(ms / 100).or_default() += 1);
    assert!(tenths.values().all(|many| *many < 100), "{tenths:?}");
    assert!(told[990..].iter().min() > told[..10].iter().max(), "{:?} {:?}", &told[..10], &told[990..]);
}

#[test]
fn times_lie_apart_under_the_longest_that_may_be_told_as_well() {
    let longest = Span::millis(500);
    let classes = vec![Class { most: Some(1), ..Class::named(OTHERS) }];
    let mut front = Admission::new(classes, Prefixes::default(), (50, longest), 7).expect("they fit");
    let _held = front.arrive(at(0), v4(1, 1, 1), None).expect("the first");
    let mut tenths: BTreeMap<i64, usize> = BTreeMap::new();
    for nth in 0..1_000 {
        let told = front.arrive(at(1), v4(1, 2, nth as u8), None).expect_err("full").come_back;
        assert!(told <= longest);
        *tenths.entry(told.0 / 100_000_000).or_default() += 1;
    }
    assert!(tenths.values().all(|many| *many < 400), "{tenths:?}");
}

#[test]
fn limits_that_contradict_each_other_are_all_said() {
    let range = "10.0.0.0/8".parse().expect("a range");
    let classes = vec![
        Class { from: vec![range], keep: 9, most: Some(8), ..Class::named("a") },
        Class { from: vec![range], ..Class::named("b") },
        Class::named("b"),
        Class { from: vec!["::/0".parse().expect("a range")], keep: 5, ..Class::named(OTHERS) },
    ];
    let faults = check(&classes, 13);
    for fault in [
        Fault::KeepsMoreThanMost("a".into()),
        Fault::SameRange(range),
        Fault::Twice("b".into()),
        Fault::Nobody("b".into()),
        Fault::Nobody(OTHERS.into()),
        Fault::KeepTooMuch { kept: 14, room: 13 },
    ] {
        assert!(faults.contains(&fault), "{fault}: {faults:?}");
    }
    let mut front = begin(vec![desk()], 10);
    assert!(front.set(classes, Prefixes::default(), 10).is_err());
    assert_eq!(why(&mut front, 0, v4(9, 0, 0)), None, "all goes on as before");
}

#[test]
fn a_million_sources_leave_no_more_than_is_remembered_at_most() {
    let rate = Some(Rate { per_s: 1, burst: 2 });
    let mut front = begin(vec![Class { rate, ..Class::named(OTHERS) }], 100);
    let slow = v4(255, 255, 255);
    for _ in 0..2 {
        let pass = front.arrive(at(0), slow, None).expect("its burst");
        front.leave(at(0), pass);
    }
    assert_eq!(why(&mut front, 1, slow), Some(Why::Rate));
    for nth in 0..1_000_000u32 {
        // All within the second in which each is remembered.
        let now = Moment(1_000_000 + i64::from(nth) * 900);
        let pass = front.arrive(now, Ipv4Addr::from_bits(nth).into(), None).expect("its first");
        front.leave(now, pass);
        assert!(front.remembered() <= MOST_REMEMBERED + 1);
    }
    assert_eq!(front.remembered(), MOST_REMEMBERED);
    // Who is furthest from its pace is forgotten last: all others came once.
    assert_eq!(why(&mut front, 950, slow), Some(Why::Rate));
    let pass = front.arrive(at(60_000), slow, None).expect("back to its pace");
    front.leave(at(70_000), pass);
    assert_eq!(front.remembered(), 0);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(20_26),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Any story of arrivals, ends and new settings: nobody is let in past a limit, nobody is turned away
    /// without one, and what is kept for a class is there for it.
    #[test]
    fn nobody_gets_in_past_a_limit_and_nobody_is_turned_away_without_one(
        keeps in (0..6usize, 0..6usize),
        limits in (1..9usize, 1..9usize, 1..20u32, 1..5u32),
        steps in prop::collection::vec((0..10u8, 0..4u8, 0..4u8, 0..400i64), 1..200),
    ) {
        let room = 16;
        let rate = Rate { per_s: limits.2, burst: limits.3 };
        let ranged = |name: &str, range: &str, keep| {
            Class { from: vec![range.parse().expect("a range")], keep, ..Class::named(name) }
        };
        let classes = |lower: usize| vec![
            ranged("desk", "127.9.0.0/16", keeps.0),
            // Round the first: the narrowest range counts.
            Class { most: Some((5 + limits.0 - lower.min(4)).max(keeps.1)), ..ranged("house", "127.8.0.0/15", keeps.1) },
            Class { each: Some(limits.1), rate: Some(rate), ..Class::named(OTHERS) },
        ];
        let mut front = begin(classes(0), room);
        let (mut now, mut passes, mut lower, mut changed) = (Moment(0), Vec::<(Pass, IpAddr)>::new(), 0, false);
        let mut came: BTreeMap<IpAddr, Vec<Moment>> = BTreeMap::new();
        for (what, net, host, wait) in steps {
            now = now + Span::millis(wait / 8);
            if what == 9 {
                lower = usize::from(host);
                changed = true;
                front.set(classes(lower), Prefixes::default(), room).expect("they fit");
                continue;
            }
            if what >= 6 {
                if !passes.is_empty() {
                    let (pass, _) = passes.swap_remove(usize::from(host) % passes.len());
                    front.leave(now, pass);
                }
                continue;
            }
            let (from, classes) = (v4(7 + net, 0, host), classes(lower));
            let class = match net { 2 => &classes[0], 1 => &classes[1], _ => &classes[2] };
            let mine = passes.iter().filter(|(pass, _)| pass.class == class.name).count();
            let by_source = passes.iter().filter(|(_, other)| *other == from).count();
            let kept = |class: &Class| {
                let held = passes.iter().filter(|(pass, _)| pass.class == class.name).count();
                class.keep.saturating_sub(held)
            };
            let for_others: usize = classes.iter().filter(|other| other.name != class.name).map(kept).sum();
            match front.arrive(now, from, None) {
                Ok(pass) => {
                    prop_assert_eq!(&pass.class, &class.name);
                    prop_assert!(class.most.is_none_or(|most| mine < most));
                    prop_assert!(class.each.is_none_or(|each| by_source < each));
                    prop_assert!(passes.len() < room);
                    prop_assert!(changed || mine < class.keep || passes.len() + for_others < room);
                    let came = came.entry(from).or_default();
                    came.push(now);
                    if class.rate.is_some() {
                        let lately = came.iter().filter(|then| now - **then < Span::millis(1_000)).count();
                        prop_assert!(lately <= (rate.per_s + rate.burst) as usize, "{lately} within a second");
                    }
                    passes.push((pass, from));
                }
                Err(refusal) => {
                    let cause = match refusal.why {
                        Why::Rate => class.rate.is_some(),
                        Why::Each => class.each.is_some_and(|each| by_source >= each),
                        Why::Most => class.most.is_some_and(|most| mine >= most),
                        Why::Room => passes.len() + for_others >= room,
                        Why::Lobby => false,
                    };
                    prop_assert!(cause, "{refusal:?}");
                    prop_assert!(refusal.come_back > Span::ZERO);
                    let promised = mine < class.keep && class.most.is_none_or(|most| mine < most);
                    prop_assert!(changed || !promised || refusal.why != Why::Room, "it was kept for it");
                }
            }
            let held: usize = front.held().map(|(_, held)| held).sum();
            prop_assert_eq!(held, passes.len());
        }
    }
}
