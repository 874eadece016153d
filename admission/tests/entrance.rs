//! The lobby, the door, and classes by who clients say that they are.

use admission::class::{check, of, OTHERS};
use admission::door::{Door, Step, Trouble};
use admission::lobby::{Entrance, Lobby, Place};
use admission::source::Source;
use admission::{Class, Fault, Prefixes};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use routing::time::Span;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};

fn source(nth: u8) -> Source {
    Source::of(IpAddr::from(Ipv4Addr::new(127, 0, 0, nth)), Prefixes::default())
}

#[test]
fn a_flood_that_never_says_its_name_pushes_out_itself() {
    let mut lobby = Lobby::new(8);
    for _ in 0..1_000 {
        match lobby.enter(source(1)) {
            Entrance::Free(_) => {}
            Entrance::For(_, other) => assert!(!lobby.leave(other), "it was asked to make way"),
            Entrance::Full => panic!("those asked have left"),
        }
    }
    let Entrance::For(desk, _) = lobby.enter(source(2)) else { panic!("it always comes in") };
    // Of many sources too: who came first goes first, and a client needs one round trip to say its name.
    for nth in 3..10 {
        let Entrance::For(_, other) = lobby.enter(source(nth)) else { panic!("it always comes in") };
        assert_ne!(other, desk);
        lobby.leave(other);
    }
    assert!(lobby.leave(desk), "it says its name and is through");
}

#[test]
fn while_nobody_goes_no_more_come_in_than_there_are_descriptors() {
    let mut lobby = Lobby::new(4);
    let (mut asked, mut full) = (Vec::new(), 0);
    for nth in 0..100 {
        match lobby.enter(source(nth)) {
            Entrance::Free(_) => {}
            Entrance::For(_, other) => asked.push(other),
            Entrance::Full => full += 1,
        }
    }
    assert_eq!((asked.len(), full, lobby.len()), (4, 92, 4));
    lobby.leave(asked[0]);
    assert!(matches!(lobby.enter(source(200)), Entrance::For(..)));
}

#[test]
fn the_door_neither_spins_nor_stands_still() {
    for trouble in
        [Trouble::Over, Trouble::Descriptors, Trouble::Memory, Trouble::Interrupted, Trouble::Other]
    {
        let (mut door, mut waited, mut longest) = (Door::default(), Span::ZERO, Span::ZERO);
        for _ in 0..1_000 {
            let wait = match door.jammed(trouble) {
                Step::Again => Span::ZERO,
                Step::Wait(wait) => wait,
                Step::Tell { told, not } => {
                    assert!(trouble == Trouble::Descriptors && not > told);
                    told
                }
            };
            (waited, longest) = (waited + wait, longest.max(wait));
        }
        assert!(waited >= Span::millis(100), "{trouble:?}: a thousand tries in {waited:?}");
        assert!(longest <= Span::millis(100), "{trouble:?}: it stands still for {longest:?}");
    }
    let mut door = Door::default();
    assert_eq!(door.jammed(Trouble::Over), Step::Again, "one that is over costs the next nothing");
    (0..10).for_each(|_| _ = door.jammed(Trouble::Memory));
    door.opened();
    assert_eq!(door.jammed(Trouble::Memory), Step::Wait(Span::millis(1)), "what is past is past");
}

#[test]
fn a_client_is_of_the_class_that_describes_it_most_closely() {
    let class = |name: &str, from: &[&str], users: &[&str]| Class {
        from: from.iter().map(|range| range.parse().expect("a range")).collect(),
        users: users.iter().map(|user| (*user).into()).collect(),
        ..Class::named(name)
    };
    let classes = [
        class("house", &["10.0.0.0/8"], &[]),
        class("desk", &["10.0.0.0/8"], &["desk", "till"]),
        class("north", &["10.1.0.0/16"], &[]),
        class("report", &[], &["report"]),
        Class::named(OTHERS),
    ];
    assert_eq!(check(&classes, 10), []);
    let ten = IpAddr::from([10, 1, 2, 3]);
    let name = |from, user| &*classes[of(&classes, from, user)].name;
    assert_eq!(name(ten, Some("till")), "desk", "a user goes before a narrower range");
    assert_eq!(name(ten, Some("clerk")), "north");
    assert_eq!(name(ten, None), "north");
    assert_eq!(name(IpAddr::from([10, 9, 2, 3]), None), "house");
    assert_eq!(name(IpAddr::from([11, 1, 2, 3]), Some("till")), OTHERS);
    assert_eq!(name(IpAddr::from([11, 1, 2, 3]), Some("report")), "report");
    let range = "10.0.0.0/8".parse().expect("a range");
    let twice = [class("a", &["10.0.0.0/8"], &["x", "y"]), class("b", &["10.0.0.0/8"], &["y"])];
    assert_eq!(check(&twice, 10), [Fault::SameRange(range)]);
    let twice = [class("a", &[], &["x", "y"]), class("b", &[], &["z", "y"])];
    assert_eq!(check(&twice, 10), [Fault::SameUser("y".into())]);
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
        most in 1..6usize,
        steps in prop::collection::vec((0..8u8, any::<u8>()), 1..200),
    ) {
        let mut lobby = Lobby::new(most);
        let (mut inside, mut leaving) = (BTreeMap::<Place, u8>::new(), Vec::new());
        for (what, nth) in steps {
            if what == 7 {
                if !leaving.is_empty() {
                    let place = leaving.swap_remove(usize::from(nth) % leaving.len());
                    prop_assert!(!lobby.leave(place));
                }
            } else if what >= 5 {
                if let Some(place) = inside.keys().nth(usize::from(nth) % inside.len().max(1)).copied() {
                    inside.remove(&place);
                    prop_assert!(lobby.leave(place));
                }
            } else {
                match lobby.enter(source(what)) {
                    Entrance::Free(place) => {
                        prop_assert!(inside.len() < most);
                        inside.insert(place, what);
                    }
                    Entrance::For(place, other) => {
                        let of = inside.remove(&other).expect("it was inside");
                        let count = |whose| inside.values().filter(|other| **other == whose).count();
                        prop_assert!((0..5).all(|whose| whose == of || count(whose) <= count(of) + 1));
                        leaving.push(other);
                        inside.insert(place, what);
                    }
                    Entrance::Full => prop_assert!(inside.len() >= most && leaving.len() >= most),
                }
            }
            prop_assert_eq!(lobby.len(), inside.len());
            prop_assert!(lobby.len() + leaving.len() <= lobby.most());
        }
    }
}
