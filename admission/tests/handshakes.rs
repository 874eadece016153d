//! The lobby, the door, and classes by who clients say that they are.

use admission::accept_backoff::{AcceptBackoff, AcceptError, AcceptStep};
use admission::client_address::ClientAddress;
use admission::client_class::{classify, validate, DEFAULT_CLASS};
use admission::handshake_queue::{Enqueued, HandshakeId, HandshakeQueue};
use admission::{AddressPrefixes, ClassError, ClientClass};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use routing::time::TimeDelta;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};

fn address(nth: u8) -> ClientAddress {
    ClientAddress::new(IpAddr::from(Ipv4Addr::new(127, 0, 0, nth)), AddressPrefixes::default())
}

#[test]
fn a_flood_that_never_says_its_name_pushes_out_itself() {
    let mut queue = HandshakeQueue::new(8);
    for _ in 0..1_000 {
        match queue.enqueue(address(1)) {
            Enqueued::Free(_) => {}
            Enqueued::Displacing { displaced: other, .. } => {
                assert!(!queue.leave(other), "it was asked to make way");
            }
            Enqueued::Full => panic!("those asked have left"),
        }
    }
    let Enqueued::Displacing { entered: desk, .. } = queue.enqueue(address(2)) else {
        panic!("it always comes in")
    };
    // Of many sources too: who came first goes first, and a client needs one round trip to say its name.
    for nth in 3..10 {
        let Enqueued::Displacing { displaced: other, .. } = queue.enqueue(address(nth)) else {
            panic!("it always comes in")
        };
        assert_ne!(other, desk);
        queue.leave(other);
    }
    assert!(queue.leave(desk), "it says its name and is through");
}

#[test]
fn while_nobody_goes_no_more_come_in_than_there_are_descriptors() {
    let mut queue = HandshakeQueue::new(4);
    let (mut asked, mut full) = (Vec::new(), 0);
    for nth in 0..100 {
        match queue.enqueue(address(nth)) {
            Enqueued::Free(_) => {}
            Enqueued::Displacing { displaced: other, .. } => asked.push(other),
            Enqueued::Full => full += 1,
        }
    }
    assert_eq!((asked.len(), full, queue.len()), (4, 92, 4));
    queue.leave(asked[0]);
    assert!(matches!(queue.enqueue(address(200)), Enqueued::Displacing { .. }));
}

#[test]
fn the_door_neither_spins_nor_stands_still() {
    for error in [
        AcceptError::Aborted,
        AcceptError::NoDescriptor,
        AcceptError::NoMemory,
        AcceptError::Interrupted,
        AcceptError::Other,
    ] {
        let (mut acceptor, mut waited, mut longest) =
            (AcceptBackoff::default(), TimeDelta::ZERO, TimeDelta::ZERO);
        for _ in 0..1_000 {
            let wait = match acceptor.failed(error) {
                AcceptStep::RetryNow => TimeDelta::ZERO,
                AcceptStep::Wait(wait) => wait,
                AcceptStep::RejectOne { wait: decisions, wait_on_failure: not } => {
                    assert!(error == AcceptError::NoDescriptor && not > decisions);
                    decisions
                }
            };
            (waited, longest) = (waited + wait, longest.max(wait));
        }
        assert!(waited >= TimeDelta::from_millis(100), "{error:?}: a thousand tries in {waited:?}");
        assert!(longest <= TimeDelta::from_millis(100), "{error:?}: it stands still for {longest:?}");
    }
    let mut acceptor = AcceptBackoff::default();
    assert_eq!(
        acceptor.failed(AcceptError::Aborted),
        AcceptStep::RetryNow,
        "one that is over costs the next nothing"
    );
    (0..10).for_each(|_| _ = acceptor.failed(AcceptError::NoMemory));
    acceptor.accepted();
    assert_eq!(
        acceptor.failed(AcceptError::NoMemory),
        AcceptStep::Wait(TimeDelta::from_millis(1)),
        "what is past is past"
    );
}

#[test]
fn a_client_is_of_the_class_that_describes_it_most_closely() {
    let class = |name: &str, networks: &[&str], users: &[&str]| ClientClass {
        networks: networks.iter().map(|range| range.parse().expect("a range")).collect(),
        users: users.iter().map(|user| (*user).into()).collect(),
        ..ClientClass::named(name)
    };
    let classes = [
        class("house", &["10.0.0.0/8"], &[]),
        class("desk", &["10.0.0.0/8"], &["desk", "till"]),
        class("north", &["10.1.0.0/16"], &[]),
        class("report", &[], &["report"]),
        ClientClass::named(DEFAULT_CLASS),
    ];
    assert_eq!(validate(&classes, 10), []);
    let ten = IpAddr::from([10, 1, 2, 3]);
    let name = |networks, user| &*classes[classify(&classes, networks, user)].name;
    assert_eq!(name(ten, Some("till")), "desk", "a user goes before a narrower range");
    assert_eq!(name(ten, Some("clerk")), "north");
    assert_eq!(name(ten, None), "north");
    assert_eq!(name(IpAddr::from([10, 9, 2, 3]), None), "house");
    assert_eq!(name(IpAddr::from([11, 1, 2, 3]), Some("till")), DEFAULT_CLASS);
    assert_eq!(name(IpAddr::from([11, 1, 2, 3]), Some("report")), "report");
    let range = "10.0.0.0/8".parse().expect("a range");
    let twice = [class("a", &["10.0.0.0/8"], &["x", "y"]), class("b", &["10.0.0.0/8"], &["y"])];
    assert_eq!(validate(&twice, 10), [ClassError::DuplicateNetwork(range)]);
    let twice = [class("a", &[], &["x", "y"]), class("b", &[], &["z", "y"])];
    assert_eq!(validate(&twice, 10), [ClassError::DuplicateUser("y".into())]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(20_28),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Any story of who comes and goes: the lobby holds no more than it may, whoever makes way is of a source
    /// that has most, and each goes once.
    #[test]
    fn the_lobby_holds_what_it_may_and_who_crowds_it_makes_way(
        max_connections in 1..6usize,
        steps in prop::collection::vec((0..8u8, any::<u8>()), 1..200),
    ) {
        let mut queue = HandshakeQueue::new(max_connections);
        let (mut inside, mut leaving) = (BTreeMap::<HandshakeId, u8>::new(), Vec::new());
        for (what, nth) in steps {
            if what == 7 {
                if !leaving.is_empty() {
                    let place = leaving.swap_remove(usize::from(nth) % leaving.len());
                    prop_assert!(!queue.leave(place));
                }
            } else if what >= 5 {
                if let Some(place) = inside.keys().nth(usize::from(nth) % inside.len().max(1)).copied() {
                    inside.remove(&place);
                    prop_assert!(queue.leave(place));
                }
            } else {
                match queue.enqueue(address(what)) {
                    Enqueued::Free(place) => {
                        prop_assert!(inside.len() < max_connections);
                        inside.insert(place, what);
                    }
                    Enqueued::Displacing { entered: place, displaced: other } => {
                        let classify = inside.remove(&other).expect("it was inside");
                        let count = |whose| inside.values().filter(|other| **other == whose).count();
                        prop_assert!((0..5).all(|whose| whose == classify || count(whose) <= count(classify) + 1));
                        leaving.push(other);
                        inside.insert(place, what);
                    }
                    Enqueued::Full => prop_assert!(inside.len() >= max_connections && leaving.len() >= max_connections),
                }
            }
            prop_assert_eq!(queue.len(), inside.len());
            prop_assert!(queue.len() + leaving.len() <= queue.max_descriptors());
        }
    }
}
