//! The memory of the ids of executed writes: lifetime, deduplication windows and size.

use routing::time::{TimeDelta, Timestamp};
use server::control::executed_ids::{ExecutedIds, IncomingWrite};
use std::sync::Arc;
use write_journal::record_state::Deduplication;

const START: Timestamp = Timestamp(1_000_000_000);

fn second(count: i64) -> TimeDelta {
    TimeDelta::from_millis(1_000 * count)
}

fn write<'a>(id: &'a str, group: i64, deduplication: Option<Deduplication>) -> IncomingWrite<'a> {
    IncomingWrite { id, group, deadline: START + second(1), deduplication }
}

#[test]
fn an_id_is_refused_until_its_lifetime_is_over_and_again_after_a_repetition() {
    let mut ids = ExecutedIds::default();
    ids.record(START, Arc::from("a"), START, None);
    assert!(ids.allows(START, &write("b", 1, None)));
    assert!(!ids.allows(START + second(29), &write("a", 1, None)));
    ids.record(START + second(29), Arc::from("a"), START + second(28), None);
    assert!(!ids.allows(START + second(58), &write("a", 1, None)));
    assert!(ids.allows(START + second(60), &write("a", 1, None)));
    assert!(ids.is_empty(), "an expired id was kept");
}

#[test]
fn a_keyed_write_is_repeated_only_in_its_scope_and_window() {
    let in_group = Some(Deduplication { group: Some(1), window_ms: 1_500 });
    let mut ids = ExecutedIds::default();
    ids.record(START, Arc::from("a"), START, in_group);
    assert!(ids.allows(START, &write("a", 1, in_group)));
    assert!(!ids.allows(START, &write("a", 1, None)), "without a key");
    let other_group = Some(Deduplication { group: Some(2), window_ms: 1_500 });
    assert!(!ids.allows(START, &write("a", 2, other_group)), "in another group");
    let late = IncomingWrite { deadline: START + second(2), ..write("a", 1, in_group) };
    assert!(!ids.allows(START, &late), "its last attempt may be after the window");
    // The window begins with the first execution, not with the repetition.
    ids.record(START + second(1), Arc::from("a"), START + second(1), in_group);
    assert!(!ids.allows(START + second(1), &late));
}

#[test]
fn the_number_of_ids_is_limited_and_the_oldest_are_dropped() {
    let mut ids = ExecutedIds::default();
    for number in 0..40_000_i64 {
        let at = START + TimeDelta(number);
        ids.record(at, Arc::from(number.to_string()), at, None);
    }
    assert_eq!(ids.len(), 32_768);
    let now = START + TimeDelta(40_000);
    assert!(ids.allows(now, &write("0", 1, None)));
    assert!(!ids.allows(now, &write("39999", 1, None)));
}
