//! Marks, epochs, tokens: what each refuses, and a random life of sessions over instances, judged by a history
//! of its own.

use proptest::prelude::*;
use proptest_support::seeded_cases;
use routing::time::{TimeDelta, Timestamp};
use sessions::epochs::{Epoch, EpochHistory, PositionStatus};
use sessions::positions::{LogPosition, SessionPositions, MAX_POSITIONS};
use sessions::session_cache::SessionCache;
use sessions::token::{Keys, Token, TokenError, MAX_TEXT_BYTES};

const NOW: i64 = 1_790_000_000;

fn at(ms: i64) -> Timestamp {
    Timestamp(ms * 1_000_000)
}

fn mark(epoch: u32, ms: i64) -> LogPosition {
    LogPosition { epoch, position: at(ms) }
}

fn keys(text: &str) -> Keys {
    Keys::parse(text).expect("sound keys")
}

const FIRST: &str = "1 000102030405060708090a0b0c0d0e0f";
const BOTH: &str = "1 000102030405060708090a0b0c0d0e0f\n2 ffeeddccbbaa99887766554433221100 # since Tuesday\n";

fn token(positions: &[(i64, LogPosition)]) -> Token {
    let mut all = SessionPositions::default();
    positions.iter().for_each(|(group, mark)| all.advance(*group, *mark));
    Token { session: [7; 16], issued: NOW, expires: NOW + 3_600, positions: all }
}

#[test]
fn marks_only_rise_and_a_later_epoch_goes_before_a_later_position() {
    let mut positions = SessionPositions::default();
    positions.advance(3, mark(1, 500));
    positions.advance(3, mark(1, 400));
    assert_eq!(positions.get(3), Some(mark(1, 500)));
    positions.advance(3, mark(2, 450));
    assert_eq!(positions.get(3), Some(mark(2, 450)));
    positions.advance(3, mark(0, 600));
    assert_eq!(positions.get(3), Some(mark(2, 600)), "without an epoch the position alone counts");
    assert_eq!(positions.get(4), None);
}

#[test]
fn more_groups_than_there_is_room_for_share_a_floor_and_forget_nothing() {
    let mut positions = SessionPositions::default();
    for group in 0..40 {
        positions.advance(group, mark(1, 1_000 + group));
    }
    assert_eq!(positions.by_group().len(), MAX_POSITIONS);
    for group in 0..40 {
        assert!(positions.get(group).is_some_and(|mark| mark.position >= at(1_000 + group)), "{group}");
    }
}

#[test]
fn a_mark_beyond_a_fork_is_lost_and_one_before_it_stands() {
    let mut epochs = EpochHistory::default();
    assert_eq!(epochs.status(1, mark(4, 900)), PositionStatus::OnLog(at(900)), "nothing is known");
    epochs.record(1, Epoch { number: 4, began: Some(at(100)) });
    assert_eq!(epochs.status(1, mark(4, 900)), PositionStatus::OnLog(at(900)));
    assert_eq!(epochs.status(1, mark(5, 900)), PositionStatus::UnknownEpoch(at(900)));
    epochs.record(1, Epoch { number: 5, began: Some(at(800)) });
    assert_eq!(epochs.status(1, mark(4, 801)), PositionStatus::Lost);
    assert_eq!(epochs.status(1, mark(4, 800)), PositionStatus::OnLog(at(800)));
    assert_eq!(
        epochs.status(1, mark(0, 900)),
        PositionStatus::OnLog(at(900)),
        "it was told without an epoch"
    );
    // Two epochs later the first fork still counts.
    epochs.record(1, Epoch { number: 6, began: Some(at(2_000)) });
    assert_eq!(epochs.status(1, mark(4, 850)), PositionStatus::Lost);
    assert_eq!(epochs.status(1, mark(5, 1_900)), PositionStatus::OnLog(at(1_900)));
    assert_eq!(epochs.status(2, mark(4, 9)), PositionStatus::OnLog(at(9)), "another group has its own");
}

#[test]
fn a_loss_that_was_told_is_not_brought_back_by_a_front_that_remembers_what_was_lost() {
    let (mut epochs, session, now) = (EpochHistory::default(), [7; 16], at(0));
    let [mut here, mut elsewhere] = [(); 2].map(|()| SessionCache::new(9, TimeDelta::from_millis(60_000)));
    let mut presented = SessionPositions::default();
    presented.advance(1, mark(1, 900));
    presented.advance(2, mark(1, 700));
    here.merge(now, session, &mut presented);
    elsewhere.merge(now, session, &mut presented);
    for (number, began) in [(2, 500), (3, 600)] {
        epochs.record(1, Epoch { number, began: Some(at(began)) });
    }
    assert_eq!(epochs.status(1, presented.get(1).expect("seen")), PositionStatus::Lost);
    let mut before = presented.clone();
    presented.remove(1);
    presented.advance(1, epochs.restart_position(1));
    here.remove_position(&session, 1);
    // The client that was not reached by this comes with what it had, and is told again.
    here.merge(now, session, &mut before);
    assert_eq!(epochs.status(1, before.get(1).expect("seen")), PositionStatus::Lost);
    for front in [&mut here, &mut elsewhere] {
        front.merge(now, session, &mut presented);
        assert_eq!(
            presented.get(1),
            Some(mark(3, 600)),
            "told once, it goes on from where the new log began"
        );
        assert_eq!(epochs.status(1, mark(3, 600)), PositionStatus::OnLog(at(600)));
        assert_eq!(presented.get(2), Some(mark(1, 700)), "another group is not touched");
    }
}

#[test]
fn an_answer_from_a_log_that_was_left_shows_nothing() {
    let mut epochs = EpochHistory::default();
    epochs.record(1, Epoch { number: 5, began: Some(at(800)) });
    let get = |number| Some(Epoch { number, began: None });
    let seen = mark(4, 700);
    assert!(epochs.shows(1, seen, get(5), Some(at(900))));
    assert!(epochs.shows(1, seen, get(4), Some(at(750))), "not at the fork yet: common to both");
    assert!(!epochs.shows(1, seen, get(4), Some(at(900))), "it went on by itself");
    assert!(!epochs.shows(1, mark(5, 900), get(4), Some(at(950))));
    assert!(
        !epochs.shows(2, mark(5, 900), get(4), Some(at(950))),
        "where no fork is known, by its number alone"
    );
    assert!(!epochs.shows(1, seen, get(5), Some(at(699))), "behind what was seen");
    assert!(epochs.shows(1, seen, None, Some(at(700))), "an endpoint that says no epoch");
}

#[test]
fn tokens_open_for_their_audience_in_their_time_under_any_known_key() {
    let (old, both) = (keys(FIRST), keys(BOTH));
    let presented = token(&[(3, mark(1, NOW * 1_000)), (9, mark(0, 5))]);
    let text = old.seal(&presented, "desk/bookings").expect("sealed");
    assert!(text.len() <= MAX_TEXT_BYTES);
    assert_eq!(
        both.open(&text, "desk/bookings", NOW),
        Ok(presented.clone()),
        "the key was changed meanwhile"
    );
    let newer = both.seal(&presented, "desk/bookings").expect("sealed");
    assert_eq!(old.open(&newer, "desk/bookings", NOW), Err(TokenError::UnknownKey));
    assert_eq!(both.open(&text, "desk/bookingss", NOW), Err(TokenError::Unauthenticated), "another client's");
    assert_eq!(both.open(&text, "des/kbookings", NOW), Err(TokenError::Unauthenticated));
    assert_eq!(both.open(&text, "desk/bookings", NOW + 3_600), Err(TokenError::Expired));
    assert_eq!(both.open(&text, "desk/bookings", NOW - 60), Err(TokenError::FromFuture));
    for bad in ["", "new", "AAAA", "%%%", &"A".repeat(MAX_TEXT_BYTES + 1)] {
        assert_eq!(both.open(bad, "desk/bookings", NOW), Err(TokenError::Malformed), "{bad}");
    }
    for cut in 0..text.len() {
        assert!(both.open(&text[..cut], "desk/bookings", NOW).is_err(), "cut at {cut}");
    }
    let between = Token { positions: SessionPositions::default(), ..presented };
    let mut between = between;
    between.positions.advance(3, LogPosition { epoch: 1, position: Timestamp(1_500_000) });
    let text = both.seal(&between, "a/b").expect("sealed");
    let opened = both.open(&text, "a/b", NOW).expect("it opens");
    assert!(opened.positions.get(3) >= between.positions.get(3), "rounded up: never less than was seen");
    println!("a token with positions of 2 groups has {} characters", text.len());
}

#[test]
fn keys_are_read_strictly_and_never_shown() {
    for (text, why) in [
        ("", "1: no key"),
        ("# none\n", "1: no key"),
        ("1 00", "1: the key is not 32 hex digits or more"),
        ("\n256 000102030405060708090a0b0c0d0e0f", "2: the id is no number from 0 to 255"),
        ("1 000102030405060708090a0b0c0d0e0", "1: the key is not 32 hex digits or more"),
        ("1 +00102030405060708090a0b0c0d0e0f", "1: the key is not 32 hex digits or more"),
        ("1 000102030405060708090a0b0c0d0e0f\n1 ffeeddccbbaa99887766554433221100", "2: the id stands twice"),
        ("1", "1: an id and a key are wanted"),
    ] {
        assert_eq!(
            Keys::parse(text).map(|_| ()).map_err(|error| error.to_string()),
            Err(why.to_string()),
            "{text}"
        );
    }
    assert_eq!(format!("{:?}", keys(BOTH)), "{1, 2}");
}

#[test]
fn a_million_sessions_that_never_come_back_keep_to_their_room_and_leave_it() {
    let mut cached = SessionCache::new(50_000, TimeDelta::from_millis(60_000));
    let name = |nth: u32| {
        let mut name = [0; 16];
        name[..4].copy_from_slice(&nth.to_be_bytes());
        name
    };
    let mut positions = SessionPositions::default();
    positions.advance(1, mark(1, 5));
    for nth in 0..1_000_000 {
        cached.merge(at(i64::from(nth)), name(nth), &mut positions.clone());
        assert!(cached.len() <= 50_000);
    }
    // A second connection of the newest one, which has seen less.
    let mut less = SessionPositions::default();
    cached.merge(at(1_000_000), name(999_999), &mut less);
    assert_eq!(less.get(1), Some(mark(1, 5)));
    cached.merge(at(2_000_000), name(5), &mut positions);
    assert_eq!(cached.len(), 1, "their time is over");
}

proptest! {
    #![proptest_config(seeded_cases(256, 20_26))]

    #[test]
    fn any_marks_survive_the_way_and_any_changed_byte_is_seen(
        seen in prop::collection::vec((0..i64::MAX, 0..9u32, 1..8_000_000_000_000i64), 0..24),
        at_byte in any::<prop::sample::Index>(),
        with in 1..=255u8,
    ) {
        let mut presented = token(&[]);
        seen.iter().for_each(|(group, epoch, ms)| presented.positions.advance(*group, mark(*epoch, *ms)));
        let keys = keys(BOTH);
        let text = keys.seal(&presented, "a/b").expect("sealed");
        prop_assert!(text.len() <= MAX_TEXT_BYTES);
        prop_assert_eq!(keys.open(&text, "a/b", NOW), Ok(presented));
        let mut bytes = text.into_bytes();
        let nth = at_byte.index(bytes.len());
        bytes[nth] ^= with;
        if let Ok(changed) = String::from_utf8(bytes) {
            prop_assert!(keys.open(&changed, "a/b", NOW).is_err());
        }
    }

    /// Sessions on two instances, whose members lag, with switches that lose the tail of the log. Every read
    /// that is let through is held against a history that knows all: it shows no less than the session has
    /// seen, unless the session was told of the loss in between.
    #[test]
    fn no_session_is_shown_less_than_it_has_seen(
        steps in prop::collection::vec((0..10u8, 0..4usize, any::<u8>()), 1..300),
    ) {
        // The log as it is true: each entry has the epoch in which it was written.
        let mut epochs_true: Vec<(u32, i64)> = vec![(1, 0)];
        let mut fronts = [EpochHistory::default(), EpochHistory::default()];
        // By session: what it carries, and what it has seen in truth (epoch and position), as this test
        // remembers it.
        let mut presented: Vec<SessionPositions> = vec![SessionPositions::default(); 4];
        let mut saw: Vec<Option<(u32, i64)>> = vec![None; 4];
        let mut now = 1_000i64;
        // Stores: the epoch each stands on and how far it has come.
        let mut stores = [(1u32, 1_000i64), (1, 990), (1, 980)];
        for (kind, who, how) in steps {
            now += 10;
            let latest = epochs_true[epochs_true.len() - 1].0;
            match kind {
                // Shipping: followers of the true log come on, by some of what they lack.
                0..=2 => {
                    for store in stores.iter_mut().filter(|store| store.0 == latest) {
                        store.1 = store.1.max(now - i64::from(how));
                    }
                }
                // A switch: the heir begins a new epoch where it stands; others that were ahead of it are
                // left behind.
                3 if how < 40 => {
                    let heir = who % 3;
                    if stores[heir].0 == latest {
                        let fork = stores[heir].1;
                        epochs_true.push((latest + 1, fork));
                        for (nth, store) in stores.iter_mut().enumerate() {
                            if nth == heir || (store.0 == latest && store.1 <= fork) {
                                store.0 = latest + 1;
                            }
                        }
                    }
                }
                // An answer: the instance asks with what it knows, some endpoint answers, the instance judges the
                // answer.
                _ => {
                    let (front, store) = (&mut fronts[usize::from(how) % 2], stores[usize::from(how / 2) % 3]);
                    let positions = &mut presented[who];
                    let verdict = positions.get(1).map(|mark| (mark, front.status(1, mark)));
                    if let Some((_, PositionStatus::Lost)) = verdict {
                        // Told, and begun anew.
                        positions.remove(1);
                        positions.advance(1, front.restart_position(1));
                        saw[who] = None;
                        continue;
                    }
                    let began = epochs_true.iter().find(|(epoch, _)| *epoch == store.0).map(|(_, began)| at(*began));
                    let epoch = Epoch { number: store.0, began };
                    front.record(1, epoch);
                    let position = at(store.1);
                    let shows = verdict.is_none_or(|(mark, _)| front.shows(1, mark, Some(epoch), Some(position)));
                    if shows {
                        if let Some((seen_epoch, seen)) = saw[who] {
                            // What was seen lies on the log that answered: no fork below it between the two.
                            let lost = epochs_true
                                .iter()
                                .any(|(number, began)| *number > seen_epoch && *number <= store.0 && *began < seen);
                            prop_assert!(!lost, "what it saw is lost, and it was not told");
                            prop_assert!(store.1 >= seen, "less than seen: {} of {seen}", store.1);
                        }
                        positions.advance(1, LogPosition { epoch: store.0, position });
                        saw[who] = Some((store.0, store.1));
                    }
                }
            }
        }
    }
}
