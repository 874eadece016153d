//! Turns of client connections: limits of a turn, recent use of a client, and the order of the queue.

use admission::turns::budget::TurnBudget;
use admission::turns::queue::{TurnId, TurnQueue, TurnRequest};
use admission::turns::recent_use::RecentUse;
use proptest::prelude::*;
use proptest_support::seeded_cases;
use routing::time::{TimeDelta, Timestamp};

const MICRO: TimeDelta = TimeDelta::from_micros(1);
const MILLI: TimeDelta = TimeDelta::from_millis(1);
/// The recent use of a client that sends little.
const LIGHT: TimeDelta = TimeDelta::from_micros(100);
/// The recent use of a client that floods the instance.
const HEAVY: TimeDelta = TimeDelta::from_millis(100);

fn wait_for_turn(queue: &mut TurnQueue<u32>, recent_use: TimeDelta, waiter: u32) -> TurnId {
    match queue.request(recent_use, waiter) {
        TurnRequest::Waits(id) => id,
        TurnRequest::Begins => panic!("the turn of {waiter} begins at once"),
    }
}

/// A queue whose turns have used up the time until the next poll.
fn exhausted_queue() -> TurnQueue<u32> {
    let mut queue = TurnQueue::default();
    assert_eq!(queue.request(HEAVY, 0), TurnRequest::Begins);
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
fn earlier_use_counts_less_and_more_use_counts_more() {
    let start = Timestamp(0);
    let mut recent_use = RecentUse::new(start);
    assert_eq!(recent_use.at(start), TimeDelta::ZERO);
    recent_use.add(start, MILLI * 8);
    assert_eq!(recent_use.at(start), MILLI * 8);
    assert_eq!(recent_use.at(start + MILLI * 1_000), MILLI * 4);
    recent_use.add(start + MILLI * 1_000, MILLI);
    assert_eq!(recent_use.at(start + MILLI * 1_000), MILLI * 5);
    assert!(recent_use.at(start + MILLI * 60_000) < MICRO);
}

#[test]
fn turns_wait_for_a_poll_once_their_time_is_used_up() {
    let mut queue = exhausted_queue();
    assert!(queue.needs_poll());
    wait_for_turn(&mut queue, LIGHT, 1);
    wait_for_turn(&mut queue, LIGHT, 2);
    assert_eq!(queue.on_poll(), Some(1));
    // No second turn is granted while the first one lasts.
    assert_eq!(queue.on_poll(), None);
}

#[test]
fn clients_with_little_use_come_first_and_after_every_second_poll_the_one_that_waited_longest() {
    let mut queue = exhausted_queue();
    for heavy in 100..104 {
        wait_for_turn(&mut queue, HEAVY, heavy);
    }
    let mut served = Vec::new();
    for light in 0..8 {
        wait_for_turn(&mut queue, LIGHT, light);
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
    let first = wait_for_turn(&mut queue, LIGHT, 1);
    let second = wait_for_turn(&mut queue, LIGHT, 2);
    wait_for_turn(&mut queue, LIGHT, 3);
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
            let load = if *is_light { LIGHT } else { HEAVY };
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
