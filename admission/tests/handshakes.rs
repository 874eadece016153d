//! The handshake queue, the backoff after failed accepts, and classification by network and user.

use admission::accept_backoff::{AcceptAction, AcceptBackoff, AcceptError};
use admission::client_address::ClientAddress;
use admission::client_class::{classify, validate, DEFAULT_CLASS};
use admission::handshake_queue::{EnqueueResult, HandshakeId, HandshakeQueue};
use admission::{AddressPrefixes, ClassError, ClientClass};
use proptest::prelude::*;
use proptest::test_runner::TestCaseResult;
use proptest_support::seeded_cases;
use routing::time::TimeDelta;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};

/// The loopback address 127.0.0.nth.
fn address(nth: u8) -> ClientAddress {
    ClientAddress::new(IpAddr::from(Ipv4Addr::new(127, 0, 0, nth)), AddressPrefixes::default())
}

/// Enqueues a handshake into a full queue; returns it and the one it displaces.
fn enqueue_displacing(queue: &mut HandshakeQueue, nth: u8) -> (HandshakeId, HandshakeId) {
    match queue.enqueue(address(nth)) {
        EnqueueResult::AddedByDisplacing { added, displaced } => (added, displaced),
        other => panic!("a full queue displaces a handshake: {other:?}"),
    }
}

#[test]
fn handshakes_that_never_end_displace_those_of_their_own_address() {
    let mut queue = HandshakeQueue::new(8);
    for _ in 0..1_000 {
        match queue.enqueue(address(1)) {
            EnqueueResult::Added(_) => {}
            EnqueueResult::AddedByDisplacing { displaced, .. } => {
                assert!(!queue.remove(displaced), "it is displaced already");
            }
            EnqueueResult::Rejected => panic!("all displaced handshakes have left"),
        }
    }
    let (desk, _) = enqueue_displacing(&mut queue, 2);
    // With one handshake per address the oldest is displaced, so that a client has time for one round trip.
    for nth in 3..10 {
        let (_, displaced) = enqueue_displacing(&mut queue, nth);
        assert_ne!(displaced, desk);
        queue.remove(displaced);
    }
    assert!(queue.remove(desk), "its handshake ends in the queue");
}

#[test]
fn while_displaced_handshakes_stay_open_no_more_enter_than_there_are_descriptors() {
    let mut queue = HandshakeQueue::new(4);
    let (mut displaced, mut full) = (Vec::new(), 0);
    for nth in 0..100 {
        match queue.enqueue(address(nth)) {
            EnqueueResult::Added(_) => {}
            EnqueueResult::AddedByDisplacing { displaced: other, .. } => displaced.push(other),
            EnqueueResult::Rejected => full += 1,
        }
    }
    assert_eq!((displaced.len(), full, queue.len()), (4, 92, 4));
    queue.remove(displaced[0]);
    assert!(matches!(queue.enqueue(address(200)), EnqueueResult::AddedByDisplacing { .. }));
}

#[test]
fn failing_accepts_neither_spin_nor_stall() {
    for error in [
        AcceptError::Aborted,
        AcceptError::NoDescriptor,
        AcceptError::NoMemory,
        AcceptError::Interrupted,
        AcceptError::Other,
    ] {
        let mut backoff = AcceptBackoff::default();
        let (mut total, mut longest) = (TimeDelta::ZERO, TimeDelta::ZERO);
        for _ in 0..1_000 {
            let wait = match backoff.failed(error) {
                AcceptAction::RetryNow => TimeDelta::ZERO,
                AcceptAction::Wait(wait) => wait,
                AcceptAction::RejectOne { wait, wait_on_failure } => {
                    assert!(error == AcceptError::NoDescriptor && wait_on_failure > wait);
                    wait
                }
            };
            (total, longest) = (total + wait, longest.max(wait));
        }
        assert!(total >= TimeDelta::from_millis(100), "{error:?}: a thousand accepts within {total:?}");
        assert!(longest <= TimeDelta::from_millis(100), "{error:?}: no accept for {longest:?}");
    }
}

#[test]
fn the_accept_backoff_starts_again_after_a_success() {
    let mut backoff = AcceptBackoff::default();
    let aborted = backoff.failed(AcceptError::Aborted);
    assert_eq!(aborted, AcceptAction::RetryNow, "an aborted connection does not delay the next");
    (0..10).for_each(|_| _ = backoff.failed(AcceptError::NoMemory));
    backoff.accepted();
    let first_wait = AcceptAction::Wait(TimeDelta::from_millis(1));
    assert_eq!(backoff.failed(AcceptError::NoMemory), first_wait);
}

#[test]
fn a_client_is_in_the_class_that_describes_it_most_closely() {
    let class = |name: &str, networks: &[&str], users: &[&str]| ClientClass {
        networks: networks.iter().map(|range| range.parse().expect("a valid network")).collect(),
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
    let northern = IpAddr::from([10, 1, 2, 3]);
    let name = |address, user| &*classes[classify(&classes, address, user)].name;
    assert_eq!(name(northern, Some("till")), "desk", "a user goes before a narrower network");
    assert_eq!(name(northern, Some("clerk")), "north");
    assert_eq!(name(northern, None), "north");
    assert_eq!(name(IpAddr::from([10, 9, 2, 3]), None), "house");
    assert_eq!(name(IpAddr::from([11, 1, 2, 3]), Some("till")), DEFAULT_CLASS);
    assert_eq!(name(IpAddr::from([11, 1, 2, 3]), Some("report")), "report");
    let network = "10.0.0.0/8".parse().expect("a valid network");
    let twice = [class("a", &["10.0.0.0/8"], &["x", "y"]), class("b", &["10.0.0.0/8"], &["y"])];
    assert_eq!(validate(&twice, 10), [ClassError::DuplicateNetwork(network)]);
    let twice = [class("a", &[], &["x", "y"]), class("b", &[], &["z", "y"])];
    assert_eq!(validate(&twice, 10), [ClassError::DuplicateUser("y".into())]);
}

/// What one step of a random sequence does; the addresses are 127.0.0.0 to 127.0.0.4.
#[derive(Clone, Copy, Debug)]
enum Step {
    Enqueue {
        address: u8,
    },
    /// One of the handshakes in the queue ends.
    End {
        nth: u8,
    },
    /// One of the displaced handshakes closes its connection.
    CloseDisplaced {
        nth: u8,
    },
}

fn any_step() -> impl Strategy<Value = Step> {
    (0..8u8, any::<u8>()).prop_map(|(kind, nth)| match kind {
        0..=4 => Step::Enqueue { address: kind },
        5 | 6 => Step::End { nth },
        _ => Step::CloseDisplaced { nth },
    })
}

/// A queue, and the handshakes that must be in it and that it has displaced.
struct CheckedQueue {
    queue: HandshakeQueue,
    max_handshakes: usize,
    /// The handshakes in the queue, by the address each is from.
    queued: BTreeMap<HandshakeId, u8>,
    displaced: Vec<HandshakeId>,
}

impl CheckedQueue {
    fn apply(&mut self, step: Step) -> TestCaseResult {
        match step {
            Step::Enqueue { address } => self.enqueue(address)?,
            Step::End { nth } => {
                let nth = usize::from(nth) % self.queued.len().max(1);
                if let Some(handshake) = self.queued.keys().nth(nth).copied() {
                    self.queued.remove(&handshake);
                    prop_assert!(self.queue.remove(handshake));
                }
            }
            Step::CloseDisplaced { nth } if !self.displaced.is_empty() => {
                let handshake = self.displaced.swap_remove(usize::from(nth) % self.displaced.len());
                prop_assert!(!self.queue.remove(handshake));
            }
            Step::CloseDisplaced { .. } => {}
        }
        prop_assert_eq!(self.queue.len(), self.queued.len());
        prop_assert!(self.queue.len() + self.displaced.len() <= self.queue.max_descriptors());
        Ok(())
    }

    fn enqueue(&mut self, from: u8) -> TestCaseResult {
        match self.queue.enqueue(address(from)) {
            EnqueueResult::Added(added) => {
                prop_assert!(self.queued.len() < self.max_handshakes);
                self.queued.insert(added, from);
            }
            EnqueueResult::AddedByDisplacing { added, displaced } => {
                let most = self.queued.remove(&displaced).expect("a displaced handshake was in the queue");
                let count = |address| self.queued.values().filter(|other| **other == address).count();
                prop_assert!((0..5).all(|address| address == most || count(address) <= count(most) + 1));
                self.displaced.push(displaced);
                self.queued.insert(added, from);
            }
            EnqueueResult::Rejected => {
                prop_assert!(self.queued.len() >= self.max_handshakes);
                prop_assert!(self.displaced.len() >= self.max_handshakes);
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(seeded_cases(256, 20_28))]

    /// Over any sequence of steps the queue holds no more than its limit, a displaced handshake is one of an
    /// address with the most, and each leaves once.
    #[test]
    fn the_queue_is_bounded_and_displaces_handshakes_of_the_address_with_most(
        max_handshakes in 1..6usize,
        steps in prop::collection::vec(any_step(), 1..200),
    ) {
        let queue = HandshakeQueue::new(max_handshakes);
        let mut queue =
            CheckedQueue { queue, max_handshakes, queued: BTreeMap::new(), displaced: Vec::new() };
        for step in steps {
            queue.apply(step)?;
        }
    }
}
