//! Who is let in, after each step of any story; and plain cases.

use admission::client_address::{ClientAddress, MAX_REMEMBERED};
use admission::client_class::{validate, DEFAULT_CLASS};
use admission::connection_limiter::ConnectionLimits;
use admission::{
    AddressPrefixes, AdmittedConnection, ClassError, ClientClass, ConnectionLimiter, ConnectionRate,
    RejectionReason,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use routing::time::{TimeDelta, Timestamp};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

fn at(ms: i64) -> Timestamp {
    Timestamp(ms * 1_000_000)
}

fn connection_limits(classes: Vec<ClientClass>, capacity: usize) -> ConnectionLimits {
    ConnectionLimits { classes, prefixes: AddressPrefixes::default(), capacity }
}

fn v4(a: u8, b: u8, c: u8) -> IpAddr {
    Ipv4Addr::new(127, a, b, c).into()
}

fn desk() -> ClientClass {
    ClientClass {
        networks: vec!["127.9.0.0/16".parse().expect("a range")],
        reserved: 4,
        ..ClientClass::named("desk")
    }
}

fn begin(classes: Vec<ClientClass>, capacity: usize) -> ConnectionLimiter {
    ConnectionLimiter::new(connection_limits(classes, capacity), TimeDelta::from_millis(60_000), 7)
        .expect("they fit")
}

fn reason(admission: &mut ConnectionLimiter, ms: i64, networks: IpAddr) -> Option<RejectionReason> {
    admission.admit(at(ms), networks, None).err().map(|refusal| refusal.reason)
}

#[test]
fn what_is_kept_for_known_clients_stays_theirs_whatever_comes() {
    let mut front = begin(
        vec![desk(), ClientClass { max_per_address: Some(2), ..ClientClass::named(DEFAULT_CLASS) }],
        10,
    );
    let mut passes: Vec<AdmittedConnection> = Vec::new();
    for nth in 0..200 {
        passes.extend(front.admit(at(nth), v4(1, 0, nth as u8), None));
    }
    assert_eq!(passes.len(), 6, "the others get what is not kept");
    assert_eq!(reason(&mut front, 300, v4(1, 0, 250)), Some(RejectionReason::Reserved));
    for nth in 0..4 {
        passes.push(front.admit(at(301), v4(9, 1, nth), None).expect("kept for it"));
    }
    assert_eq!(reason(&mut front, 302, v4(9, 1, 9)), Some(RejectionReason::Reserved), "all is taken");
    // A place of the others' that is given back is anybody's.
    front.release(at(303), passes.remove(0));
    passes.push(front.admit(at(304), v4(9, 1, 9), None).expect("free"));
    // One that the desk has beyond what is kept is free again, and so the others' as well.
    front.release(at(305), passes.pop().expect("the last"));
    assert_eq!(reason(&mut front, 306, v4(1, 0, 250)), None);
    assert_eq!(front.connections_by_class().collect::<Vec<_>>(), [("desk", 4), (DEFAULT_CLASS, 6)]);
}

#[test]
fn a_source_has_its_number_and_its_pace_and_a_prefix_is_one_source() {
    let rate = Some(ConnectionRate { per_second: 10, burst: 3 });
    let mut front = begin(
        vec![ClientClass { rate, max_per_address: Some(5), ..ClientClass::named(DEFAULT_CLASS) }],
        1_000,
    );
    let networks = |host: u128| IpAddr::from(Ipv6Addr::from_bits((0x2001_0db8 << 96) | host));
    let passes: Vec<AdmittedConnection> =
        (0..3).map(|host| front.admit(at(0), networks(host), None).expect("a burst")).collect();
    let refusal = front.admit(at(0), networks(77), None).expect_err("one /64 is one source");
    assert_eq!(refusal.reason, RejectionReason::Rate);
    assert!(
        (TimeDelta::from_millis(100)..TimeDelta::from_millis(801)).contains(&refusal.retry_after),
        "{refusal:?}"
    );
    assert_eq!(reason(&mut front, 0, networks(1 << 64)), None, "the next /64 is another");
    assert_eq!(reason(&mut front, 99, networks(3)), Some(RejectionReason::Rate));
    assert_eq!(reason(&mut front, 100, networks(3)), None);
    assert_eq!(reason(&mut front, 200, networks(3)), None);
    assert_eq!(reason(&mut front, 9_000, networks(3)), Some(RejectionReason::AddressLimit));
    passes.into_iter().for_each(|pass| front.release(at(9_001), pass));
    assert_eq!(reason(&mut front, 9_002, networks(3)), None);
    let mapped = IpAddr::from(Ipv4Addr::new(10, 0, 0, 1).to_ipv6_mapped());
    let (plain, all) = (IpAddr::from([10, 0, 0, 1]), AddressPrefixes::default());
    assert_eq!(ClientAddress::new(mapped, all), ClientAddress::new(plain, all));
    assert_eq!(
        IpAddr::from(ClientAddress::new(plain, AddressPrefixes { v4: 24, v6: 64 })),
        IpAddr::from([10, 0, 0, 0])
    );
}

#[test]
fn who_is_turned_away_in_a_crowd_is_told_times_that_lie_apart() {
    let mut front =
        begin(vec![ClientClass { max_connections: Some(1), ..ClientClass::named(DEFAULT_CLASS) }], 50);
    let _held = front.admit(at(0), v4(1, 1, 1), None).expect("the first");
    let decisions: Vec<i64> = (0..1_000)
        .map(|nth| front.admit(at(1), v4(1, 2, nth as u8), None).expect_err("full").retry_after.0 / 1_000_000)
        .collect();
    // All at the same moment: the later ones are told to wait longer, and no tenth of a second gets a tenth
    // of them.
    let mut tenths: BTreeMap<i64, usize> = BTreeMap::new();
    decisions.iter().for_each(|ms| *tenths.entry(ms / 100).or_default() += 1);
    assert!(tenths.values().all(|many| *many < 100), "{tenths:?}");
    assert!(
        decisions[990..].iter().min() > decisions[..10].iter().max(),
        "{:?} {:?}",
        &decisions[..10],
        &decisions[990..]
    );
}

#[test]
fn times_lie_apart_under_the_longest_that_may_be_told_as_well() {
    let longest = TimeDelta::from_millis(500);
    let classes = vec![ClientClass { max_connections: Some(1), ..ClientClass::named(DEFAULT_CLASS) }];
    let mut front = ConnectionLimiter::new(connection_limits(classes, 50), longest, 7).expect("they fit");
    let _held = front.admit(at(0), v4(1, 1, 1), None).expect("the first");
    let mut tenths: BTreeMap<i64, usize> = BTreeMap::new();
    for nth in 0..1_000 {
        let decisions = front.admit(at(1), v4(1, 2, nth as u8), None).expect_err("full").retry_after;
        assert!(decisions <= longest);
        *tenths.entry(decisions.0 / 100_000_000).or_default() += 1;
    }
    assert!(tenths.values().all(|many| *many < 400), "{tenths:?}");
}

#[test]
fn limits_that_contradict_each_other_are_all_said() {
    let range = "10.0.0.0/8".parse().expect("a range");
    let classes = vec![
        ClientClass {
            networks: vec![range],
            reserved: 9,
            max_connections: Some(8),
            ..ClientClass::named("a")
        },
        ClientClass { networks: vec![range], ..ClientClass::named("b") },
        ClientClass::named("b"),
        ClientClass {
            networks: vec!["::/0".parse().expect("a range")],
            reserved: 5,
            ..ClientClass::named(DEFAULT_CLASS)
        },
    ];
    let faults = validate(&classes, 13);
    for fault in [
        ClassError::ReservesMoreThanLimit("a".into()),
        ClassError::DuplicateNetwork(range),
        ClassError::DuplicateName("b".into()),
        ClassError::DescribesNobody("b".into()),
        ClassError::DefaultClassDescribed,
        ClassError::ReservesMoreThanCapacity { reserved: 14, capacity: 13 },
    ] {
        assert!(faults.contains(&fault), "{fault}: {faults:?}");
    }
    let mut front = begin(vec![desk()], 10);
    assert!(front.set_limits(connection_limits(classes, 10)).is_err());
    assert_eq!(reason(&mut front, 0, v4(9, 0, 0)), None, "all goes on as before");
}

#[test]
fn a_million_sources_leave_no_more_than_is_remembered_at_most() {
    let rate = Some(ConnectionRate { per_second: 1, burst: 2 });
    let mut front = begin(vec![ClientClass { rate, ..ClientClass::named(DEFAULT_CLASS) }], 100);
    let slow = v4(255, 255, 255);
    for _ in 0..2 {
        let pass = front.admit(at(0), slow, None).expect("its burst");
        front.release(at(0), pass);
    }
    assert_eq!(reason(&mut front, 1, slow), Some(RejectionReason::Rate));
    for nth in 0..1_000_000u32 {
        // All within the second in which each is remembered.
        let now = Timestamp(1_000_000 + i64::from(nth) * 900);
        let pass = front.admit(now, Ipv4Addr::from_bits(nth).into(), None).expect("its first");
        front.release(now, pass);
        assert!(front.remembered_addresses() <= MAX_REMEMBERED + 1);
    }
    assert_eq!(front.remembered_addresses(), MAX_REMEMBERED);
    // Who is furthest from its pace is forgotten last: all others came once.
    assert_eq!(reason(&mut front, 950, slow), Some(RejectionReason::Rate));
    let pass = front.admit(at(60_000), slow, None).expect("back to its pace");
    front.release(at(70_000), pass);
    assert_eq!(front.remembered_addresses(), 0);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(20_26),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Any story of arrivals, ends and new settings: nobody is let in past a limit, nobody is rejected
    /// without one, and what is kept for a class is there for it.
    #[test]
    fn nobody_gets_in_past_a_limit_and_nobody_is_turned_away_without_one(
        reserves in (0..6usize, 0..6usize),
        limits in (1..9usize, 1..9usize, 1..20u32, 1..5u32),
        steps in prop::collection::vec((0..10u8, 0..4u8, 0..4u8, 0..400i64), 1..200),
    ) {
        let capacity = 16;
        let rate = ConnectionRate { per_second: limits.2, burst: limits.3 };
        let ranged = |name: &str, range: &str, reserved| {
            ClientClass { networks: vec![range.parse().expect("a range")], reserved, ..ClientClass::named(name) }
        };
        let classes = |lower: usize| vec![
            ranged("desk", "127.9.0.0/16", reserves.0),
            // Round the first: the narrowest range counts.
            ClientClass { max_connections: Some((5 + limits.0 - lower.min(4)).max(reserves.1)), ..ranged("house", "127.8.0.0/15", reserves.1) },
            ClientClass { max_per_address: Some(limits.1), rate: Some(rate), ..ClientClass::named(DEFAULT_CLASS) },
        ];
        let mut front = begin(classes(0), capacity);
        let (mut now, mut passes, mut lower, mut changed) = (Timestamp(0), Vec::<(AdmittedConnection, IpAddr)>::new(), 0, false);
        let mut came: BTreeMap<IpAddr, Vec<Timestamp>> = BTreeMap::new();
        for (what, net, host, wait) in steps {
            now = now + TimeDelta::from_millis(wait / 8);
            if what == 9 {
                lower = usize::from(host);
                changed = true;
                front.set_limits(connection_limits(classes(lower), capacity)).expect("they fit");
                continue;
            }
            if what >= 6 {
                if !passes.is_empty() {
                    let (pass, _) = passes.swap_remove(usize::from(host) % passes.len());
                    front.release(now, pass);
                }
                continue;
            }
            let (networks, classes) = (v4(7 + net, 0, host), classes(lower));
            let class = match net { 2 => &classes[0], 1 => &classes[1], _ => &classes[2] };
            let mine = passes.iter().filter(|(pass, _)| pass.class == class.name).count();
            let by_source = passes.iter().filter(|(_, other)| *other == networks).count();
            let reserved = |class: &ClientClass| {
                let held = passes.iter().filter(|(pass, _)| pass.class == class.name).count();
                class.reserved.saturating_sub(held)
            };
            let for_others: usize = classes.iter().filter(|other| other.name != class.name).map(reserved).sum();
            match front.admit(now, networks, None) {
                Ok(pass) => {
                    prop_assert_eq!(&pass.class, &class.name);
                    prop_assert!(class.max_connections.is_none_or(|max_connections| mine < max_connections));
                    prop_assert!(class.max_per_address.is_none_or(|max_per_address| by_source < max_per_address));
                    prop_assert!(passes.len() < capacity);
                    prop_assert!(changed || mine < class.reserved || passes.len() + for_others < capacity);
                    let came = came.entry(networks).or_default();
                    came.push(now);
                    if class.rate.is_some() {
                        let lately = came.iter().filter(|then| now - **then < TimeDelta::from_millis(1_000)).count();
                        prop_assert!(lately <= (rate.per_second + rate.burst) as usize, "{lately} within a second");
                    }
                    passes.push((pass, networks));
                }
                Err(refusal) => {
                    let cause = match refusal.reason {
                        RejectionReason::Rate => class.rate.is_some(),
                        RejectionReason::AddressLimit => class.max_per_address.is_some_and(|max_per_address| by_source >= max_per_address),
                        RejectionReason::ClassLimit => class.max_connections.is_some_and(|max_connections| mine >= max_connections),
                        RejectionReason::Reserved => passes.len() + for_others >= capacity,
                        RejectionReason::Handshakes => false,
                    };
                    prop_assert!(cause, "{refusal:?}");
                    prop_assert!(refusal.retry_after > TimeDelta::ZERO);
                    let promised = mine < class.reserved && class.max_connections.is_none_or(|max_connections| mine < max_connections);
                    prop_assert!(changed || !promised || refusal.reason != RejectionReason::Reserved, "it was kept for it");
                }
            }
            let held: usize = front.connections_by_class().map(|(_, held)| held).sum();
            prop_assert_eq!(held, passes.len());
        }
    }
}
