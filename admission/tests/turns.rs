//! Turns of client connections: limits of a turn, allowance of a client, and the order of the queue.

use admission::turns::allowance::WorkAllowance;
use admission::turns::budget::TurnBudget;
use admission::turns::queue::{ClientLoad, TurnId, TurnQueue, TurnRequest};
use proptest::prelude::*;
use proptest_support::seeded_cases;
use routing::time::{TimeDelta, Timestamp};

const MICRO: TimeDelta = TimeDelta::from_micros(1);
const MILLI: TimeDelta = TimeDelta::from_millis(1);

fn wait_for_turn(queue: &mut TurnQueue<u32>, load: ClientLoad, waiter: u32) -> TurnId {
    match queue.request(load, waiter) {
        TurnRequest::Waits(id) => id,
        TurnRequest::Begins => panic!("the turn of {waiter} begins at once"),
    }
}

/// A queue whose turns have used up the time until the next poll.
fn exhausted_queue() -> TurnQueue<u32> {
    let mut queue = TurnQueue::default();
    assert_eq!(queue.request(ClientLoad::Heavy, 0), TurnRequest::Begins);
    assert_eq!(queue.end(None, MILLI * 5), None);
    queue
}

#[test]
fn a_turn_ends_by_messages_bytes_time_and_requests() {
    let start = Timestamp(1_000);
    assert!(!TurnBudget::start(start).is_exhausted(start));
    assert!(TurnBudget::start(start).is_exhausted(start + MILLI));
    let exhausted_by = |add: fn(&mut TurnBudget)| {
        let mut budget = TurnBudget::start(start);
        (0..100).for_each(|_| add(&mut budget));
        budget.is_exhausted(start)
    };
    assert!(exhausted_by(TurnBudget::add_message));
    assert!(exhausted_by(TurnBudget::add_request));
    assert!(exhausted_by(|budget| budget.add_bytes(1_000)));
    assert!(!exhausted_by(|budget| budget.add_bytes(100)));
}

#[test]
fn an_allowance_is_used_up_and_grows_again() {
    let start = Timestamp(0);
    let mut allowance = WorkAllowance::new(start);
    assert!(allowance.is_within(start));
    allowance.charge(start, MILLI * 1_000);
    assert!(!allowance.is_within(start));
    assert!(!allowance.is_within(start + MILLI * 900));
    // One large message does not set a client back for long.
    assert!(allowance.is_within(start + MILLI * 1_100));
}

#[test]
fn turns_wait_for_a_poll_once_their_time_is_used_up() {
    let mut queue = exhausted_queue();
    assert!(queue.needs_poll());
    wait_for_turn(&mut queue, ClientLoad::Light, 1);
    wait_for_turn(&mut queue, ClientLoad::Light, 2);
    assert_eq!(queue.on_poll(), Some(1));
    // No second turn is granted while the first one lasts.
    assert_eq!(queue.on_poll(), None);
}

#[test]
fn light_clients_come_first_and_a_heavy_one_after_every_second_poll() {
    let mut queue = exhausted_queue();
    for heavy in 100..104 {
        wait_for_turn(&mut queue, ClientLoad::Heavy, heavy);
    }
    let mut served = Vec::new();
    for light in 0..8 {
        wait_for_turn(&mut queue, ClientLoad::Light, light);
        let Some(granted) = queue.on_poll() else { panic!("nobody is granted a turn") };
        served.push(granted);
        // Whoever was granted the turn uses up the time until the next poll.
        assert_eq!(queue.end(queue.granted(), MILLI * 2), None);
    }
    let heavy: Vec<u32> = served.iter().copied().filter(|client| *client >= 100).collect();
    assert_eq!(heavy, [100, 101, 102, 103], "served {served:?}");
}

#[test]
fn a_withdrawn_turn_passes_to_the_next_connection() {
    let mut queue = exhausted_queue();
    let first = wait_for_turn(&mut queue, ClientLoad::Light, 1);
    let second = wait_for_turn(&mut queue, ClientLoad::Light, 2);
    wait_for_turn(&mut queue, ClientLoad::Light, 3);
    assert_eq!(queue.on_poll(), Some(1));
    assert_eq!(queue.cancel(second), None);
    assert_eq!(queue.cancel(first), Some(3));
}

proptest! {
    #![proptest_config(seeded_cases(256, 20_68))]

    /// Whatever connections do, each one that waits is granted a turn after at most two polls for each one before it.
    #[test]
    fn every_waiting_connection_is_granted_a_turn(
        loads in prop::collection::vec((any::<bool>(), 0_i64..3_000), 1..40),
    ) {
        let mut queue = exhausted_queue();
        let mut waiting = std::collections::BTreeSet::new();
        for (index, (is_light, _)) in loads.iter().enumerate() {
            let load = if *is_light { ClientLoad::Light } else { ClientLoad::Heavy };
            wait_for_turn(&mut queue, load, index as u32);
            waiting.insert(index as u32);
        }
        for _ in 0..2 * loads.len() {
            prop_assert!(waiting.is_empty() || queue.needs_poll());
            let mut granted = queue.on_poll();
            while let Some(client) = granted {
                prop_assert!(waiting.remove(&client), "{client} was granted two turns");
                let used = MICRO * loads[client as usize].1;
                granted = queue.end(queue.granted(), used);
            }
        }
        prop_assert!(waiting.is_empty(), "never granted: {waiting:?}");
        prop_assert_eq!(queue.waiting(), 0);
    }
}
