//! The watch on discovery against its clock: what it misses counts as told 6 s after it fell silent.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use recovery::watch_schedule::{WatchSchedule, OPEN_TIMEOUT};
use routing::time::{TimeDelta, Timestamp};

const TOLD: TimeDelta = TimeDelta::from_millis(6_000);
/// An empty line comes so often.
const BEAT: TimeDelta = TimeDelta::from_millis(2_000);

/// What becomes of one attempt to open a watch anew.
#[derive(Clone, Copy, Debug)]
enum Try {
    Refused,
    /// The address swallows the connection.
    Swallowed,
    /// The connection stands, and no answer comes.
    Mute,
}

fn ms(ms: i64) -> TimeDelta {
    TimeDelta::from_millis(ms)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(27), ..ProptestConfig::default() })]

    /// Whatever went before, and whatever hinders it twice, a pushed watch that fell silent is open again
    /// before what it missed counts as told.
    #[test]
    fn a_sound_watch_that_falls_silent_is_open_again_in_time(
        before in prop::collection::vec((0usize..32, 0i64..1_900), 0..12),
        beats in 1i64..20,
        since_beat in 0i64..2_000,
        tries in prop::collection::vec((prop::sample::select(vec![Try::Refused, Try::Swallowed, Try::Mute]),
            0usize..32), 0..3),
        grace in prop::option::of(1i64..10_000),
        chance in 0usize..32,
    ) {
        let mut watching = WatchSchedule::new(true, grace.map(ms));
        let mut now = Timestamp(1_000_000_000_000);
        for (chance, lasts) in before {
            watching.requested(now);
            now = now + ms(lasts);
            now = now + watching.ended(chance, None);
        }
        watching.requested(now);
        let mut by = watching.next_event_due();
        for _ in 0..beats {
            now = now + BEAT;
            prop_assert!(now < by, "a watch on which all is well is given up");
            by = watching.event_received(now);
        }
        let silent = now + ms(since_beat);
        now = by + watching.ended(chance, None);
        for (hindered, chance) in tries {
            now = match hindered {
                Try::Refused => now,
                Try::Swallowed => now + OPEN_TIMEOUT,
                Try::Mute => watching.requested(now),
            };
            now = now + watching.ended(chance, None);
        }
        prop_assert!(now < silent + TOLD, "{:?} after it fell silent", now - silent);
    }

    /// What an agent has counts as told though no watch is open: the pause leaves half of the grace, unless
    /// that is shorter than any pause. A service that is asked is left alone for longer and longer.
    #[test]
    fn no_pause_outlasts_half_of_the_grace_where_lists_are_pushed(
        grace in 100i64..3_000,
        chances in prop::collection::vec(0usize..32, 1..20),
    ) {
        let mut watching = WatchSchedule::new(true, Some(ms(grace)));
        let mut queried_at = WatchSchedule::new(false, Some(ms(grace)));
        let mut last = TimeDelta::ZERO;
        for chance in chances {
            prop_assert!(watching.ended(chance, None) <= ms(grace) / 2);
            let pause = queried_at.ended(0, None);
            prop_assert!(pause >= last && pause <= BEAT);
            last = pause;
        }
    }
}

#[test]
fn a_watch_that_opens_and_ends_at_once_is_not_asked_for_without_pause() {
    let (mut watching, now) = (WatchSchedule::new(false, None), Timestamp(1_000_000_000_000));
    let pauses: Vec<TimeDelta> = (0..8)
        .map(|_| {
            watching.requested(now);
            watching.event_received(now);
            watching.ended(31, None)
        })
        .collect();
    assert!(pauses[7] > ms(1_500), "{pauses:?}");
    watching.reset_backoff();
    assert!(watching.ended(31, None) <= ms(50), "news, or another address, ends that");
}

#[test]
fn a_watch_that_stood_shortens_one_pause_and_not_those_behind_connections_that_never_come_up() {
    let (mut watching, now) = (WatchSchedule::new(false, None), Timestamp(1_000_000_000_000));
    watching.requested(now);
    watching.event_received(now + BEAT);
    let pauses: Vec<TimeDelta> = (0..8).map(|_| watching.ended(31, None)).collect();
    assert!(pauses[0] <= ms(50) && pauses[7] > ms(1_500), "{pauses:?}");
}
