//! Recovery under seeded random news, its rules checked after every step, and plain cases for what each guard
//! is for.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use recovery::group::Standing as GroupStanding;
use recovery::lives::{Lives, Offer, Verdict, APART};
use recovery::pace::{is_news, Pace};
use recovery::proof::{Floor, COUNTS_FOR};
use recovery::regain::{Action, Event, Failure, Identity, Member, Regain};
use recovery::store::{Standing, Word};
use recovery::trust::{step, Age, Times};
use routing::iface::{Clearance, Role, Told};
use routing::time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet};

const DAY: i64 = 86_400_000;
/// Some day in 2026, in Unix milliseconds.
const START: i64 = 1_790_000_000_000;

fn at(ms: i64) -> Moment {
    Moment(ms * 1_000_000)
}

fn primary(position: i64, timeline: u32) -> Word {
    Word { role: Some(Role::Primary), position: Some(at(position)), timeline: Some(timeline) }
}

fn replica(position: i64, timeline: u32) -> Word {
    Word { role: Some(Role::Replica), ..primary(position, timeline) }
}

/// A recovery, and what its host has been told by it.
struct Rig {
    regain: Regain,
    now: i64,
    out: BTreeSet<usize>,
    open: BTreeSet<usize>,
    cleared: BTreeMap<usize, Clearance>,
    asked: usize,
    most_out: usize,
}

impl Rig {
    /// `groups` groups of three stores each, listed `age` milliseconds ago.
    fn new(groups: usize, age: i64) -> Rig {
        let confirmed = at(START - age);
        let times = Some(Times { confirmed, saved: confirmed });
        let mut rig = Rig {
            regain: Regain::new(times, true, usize::MAX),
            now: START,
            out: BTreeSet::new(),
            open: BTreeSet::new(),
            cleared: BTreeMap::new(),
            asked: 0,
            most_out: 0,
        };
        let members = (0..groups * 3).map(|store| Member { store, group: store / 3 }).collect();
        rig.give(Event::Kept { members, floors: Vec::new() });
        rig
    }

    fn give(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.regain.handle(at(self.now), event, &mut actions);
        for action in actions {
            match action {
                Action::Ask { store } => {
                    assert!(self.out.insert(store), "a store has one question at a time");
                    self.asked += 1;
                }
                Action::Admit { store } => assert!(self.open.insert(store), "admitted once"),
                Action::Shut { store } => {
                    self.open.remove(&store);
                }
                Action::Clear { group, clearance } => {
                    self.cleared.insert(group, clearance);
                }
            }
        }
        self.most_out = self.most_out.max(self.out.len());
    }

    fn pass(&mut self, ms: i64) {
        self.now += ms;
        self.give(Event::Tick);
    }

    fn answer(&mut self, store: usize, word: Word) {
        self.say(store, Identity::Right, word);
    }

    fn say(&mut self, store: usize, identity: Identity, word: Word) {
        for _ in 0..200 {
            if self.out.contains(&store) {
                break;
            }
            self.pass(100);
        }
        assert!(self.out.remove(&store), "store {store} is asked in the end");
        let asked = at(self.now);
        self.now += 1;
        self.give(Event::Answered { store, asked, identity, word });
    }

    fn fail(&mut self, store: usize, why: Failure) {
        while !self.out.remove(&store) {
            self.pass(100);
        }
        self.give(Event::Failed { store, why });
    }

    fn vouch(&mut self, stores: impl IntoIterator<Item = usize>) {
        let members = stores.into_iter().map(|store| Member { store, group: store / 3 }).collect();
        self.give(Event::Listed { whole: true, members, gone: Vec::new() });
    }

    fn clearance(&self, group: usize) -> Clearance {
        self.cleared.get(&group).copied().unwrap_or_default()
    }
}

#[test]
fn nobody_is_cleared_before_a_primary_has_proved_itself() {
    let mut rig = Rig::new(1, 5_000);
    assert_eq!(rig.clearance(0), Clearance::Barred);
    rig.answer(0, primary(START, 1));
    assert_eq!(rig.clearance(0), Clearance::Barred, "a claim alone, the others not heard");
    rig.answer(1, replica(START - 20, 1));
    assert_eq!(rig.clearance(0), Clearance::Barred);
    rig.answer(2, replica(START - 20, 1));
    assert_eq!(rig.clearance(0), Clearance::Only(0), "all are accounted for, and the list is fresh");
}

#[test]
fn on_an_old_list_a_majority_must_follow() {
    let mut rig = Rig::new(1, 2 * DAY);
    for _ in 0..6 {
        rig.answer(0, primary(rig.now, 1));
        rig.answer(1, replica(START - 5_000, 1));
        rig.answer(2, replica(START - 5_000, 1));
    }
    assert_eq!(rig.clearance(0), Clearance::Barred, "its replicas stand still: it may be cut off");
    rig.answer(1, replica(rig.now, 1));
    rig.answer(0, primary(rig.now, 1));
    assert_eq!(rig.clearance(0), Clearance::Only(0), "one of two replicas has passed what it told");
}

#[test]
fn who_follows_another_log_is_no_follower() {
    let mut rig = Rig::new(1, 2 * DAY);
    for _ in 0..6 {
        rig.answer(0, primary(rig.now, 2));
        // It follows a former primary that goes on, and so stands ahead of most that is true.
        rig.answer(1, replica(rig.now + 5, 1));
        rig.fail(2, Failure::Silent);
        assert_eq!(rig.clearance(0), Clearance::Barred);
    }
    rig.answer(1, replica(rig.now, 2));
    rig.answer(0, primary(rig.now, 2));
    assert_eq!(rig.clearance(0), Clearance::Only(0));
}

#[test]
fn the_older_the_list_the_more_often_a_primary_must_have_said_so() {
    for (age, rounds) in [(5_000, 1), (600_000, 2), (DAY / 2, 2), (2 * DAY, 3)] {
        let mut rig = Rig::new(1, age);
        rig.fail(2, Failure::Silent);
        for round in 1..=rounds {
            assert_eq!(rig.clearance(0), Clearance::Barred, "{age} ms old, before answer {round}");
            rig.answer(0, primary(rig.now, 1));
            rig.answer(1, replica(rig.now, 1));
        }
        assert_eq!(rig.clearance(0), Clearance::Only(0), "{age} ms old");
    }
}

#[test]
fn discovery_vouches_for_members_and_each_is_asked_all_the_same() {
    let mut rig = Rig::new(1, 2 * DAY);
    rig.vouch(0..3);
    rig.answer(0, primary(rig.now, 1));
    rig.fail(1, Failure::Silent);
    assert_eq!(rig.clearance(0), Clearance::Barred, "the third has not been asked yet, and may claim it too");
    rig.fail(2, Failure::Silent);
    assert_eq!(rig.clearance(0), Clearance::Free);
}

#[test]
fn a_former_primary_that_goes_on_is_disproved_by_a_later_timeline() {
    for age in [5_000, DAY * 2] {
        let mut rig = Rig::new(1, age);
        for _ in 0..5 {
            rig.answer(0, primary(rig.now, 1));
            rig.answer(1, replica(rig.now - 20, 2));
            // Its successor says nothing at all.
            rig.fail(2, Failure::Silent);
            assert_eq!(rig.clearance(0), Clearance::Barred);
        }
        rig.answer(2, primary(rig.now, 2));
        for _ in 0..4 {
            rig.answer(1, replica(rig.now, 2));
            rig.answer(2, primary(rig.now, 2));
        }
        assert_eq!(rig.clearance(0), Clearance::Only(2));
    }
}

#[test]
fn silence_is_no_account_of_a_member_and_a_refusal_is() {
    let mut rig = Rig::new(1, 5_000);
    rig.answer(0, primary(START, 1));
    rig.answer(1, Word { timeline: None, ..replica(START - 10, 1) });
    rig.fail(2, Failure::Silent);
    assert_eq!(rig.clearance(0), Clearance::Barred, "the silent one may have taken over");
    rig.fail(2, Failure::Refused);
    assert_eq!(rig.clearance(0), Clearance::Only(0));
}

#[test]
fn two_claims_that_nothing_tells_apart_clear_nobody_until_one_stands_behind() {
    let untold = |word: Word| Word { timeline: None, ..word };
    let mut rig = Rig::new(1, 5_000);
    rig.answer(2, untold(replica(START - 40, 1)));
    for _ in 0..3 {
        rig.answer(0, untold(primary(rig.now, 1)));
        rig.answer(1, untold(primary(rig.now, 1)));
        assert_eq!(rig.clearance(0), Clearance::Barred);
    }
    assert_eq!(rig.regain.standing(0), Some(GroupStanding::Contested));
    // The first stands still: asked after the other had told more, it says less.
    let still = rig.now - 50;
    rig.answer(1, untold(primary(rig.now, 1)));
    rig.answer(0, untold(primary(still, 1)));
    assert_eq!(rig.clearance(0), Clearance::Only(1));
}

#[test]
fn less_than_was_known_before_this_start_proves_nothing() {
    let mut rig = Rig::new(1, 5_000);
    let floor = Floor { timeline: Some(3), position: Some(at(START - 5_000)) };
    rig.give(Event::Kept { members: Vec::new(), floors: vec![(0, floor)] });
    for word in [primary(START, 2), primary(START - 6_000, 3)] {
        rig.answer(0, word);
        rig.answer(1, Word { timeline: word.timeline, ..replica(START - 7_000, 1) });
        rig.answer(2, Word { timeline: word.timeline, ..replica(START - 7_000, 1) });
        assert_eq!(rig.clearance(0), Clearance::Barred);
    }
    rig.answer(0, primary(START, 3));
    assert_eq!(rig.clearance(0), Clearance::Only(0));
}

#[test]
fn an_address_with_another_store_behind_it_is_never_opened_and_shut_when_it_turns_into_one() {
    let mut rig = Rig::new(2, 5_000);
    rig.say(0, Identity::Wrong, primary(START, 9));
    assert!(!rig.open.contains(&0));
    rig.answer(1, replica(START - 10, 1));
    rig.answer(2, replica(START - 10, 1));
    assert_eq!(rig.clearance(0), Clearance::Barred);
    rig.say(1, Identity::Wrong, replica(START, 1));
    assert!(!rig.open.contains(&1), "it was open, and another answers there now");
}

#[test]
fn who_cannot_say_its_name_is_believed_on_a_fresh_list_alone() {
    let mut fresh = Rig::new(1, 5_000);
    let mut old = Rig::new(1, 600_000);
    for rig in [&mut fresh, &mut old] {
        rig.say(0, Identity::Untold, Word { timeline: None, ..primary(START, 1) });
    }
    assert!(fresh.open.contains(&0) && !old.open.contains(&0));
    assert_eq!(old.regain.store(0).map(|store| store.standing), Some(Standing::Nameless));
    old.vouch(0..3);
    old.say(0, Identity::Untold, Word { timeline: None, ..primary(old.now, 1) });
    old.fail(1, Failure::Silent);
    old.fail(2, Failure::Silent);
    assert_eq!(old.clearance(0), Clearance::Free, "discovery names it, and it claims alone");
}

#[test]
fn discovery_shuts_what_it_leaves_out_and_a_cleared_one_stays_watched_while_another_claims() {
    let mut rig = Rig::new(1, 5_000);
    rig.answer(0, primary(START, 1));
    rig.answer(1, primary(START, 2));
    rig.answer(2, replica(START - 10, 2));
    assert_eq!(rig.clearance(0), Clearance::Only(1));
    assert!(rig.open.contains(&0));
    rig.vouch(0..3);
    assert_eq!(rig.clearance(0), Clearance::Only(1), "the former one still claims it");
    rig.vouch(1..3);
    assert!(!rig.open.contains(&0));
    assert_eq!(rig.clearance(0), Clearance::Free);
    assert!(rig.regain.is_over());
    rig.pass(60_000);
    assert_eq!(rig.regain.due(at(rig.now)), None, "nobody is asked any more");
}

#[test]
fn a_confirmed_primary_that_denies_is_barred_at_once() {
    let mut rig = Rig::new(1, 5_000);
    rig.answer(0, primary(START, 1));
    rig.answer(1, replica(START - 10, 1));
    rig.answer(2, replica(START - 10, 1));
    let told = Told { role: Some(Role::Replica), position: Some(at(rig.now)), load: None };
    let asked = at(rig.now);
    rig.give(Event::Overheard { store: 0, asked, told });
    assert_eq!(rig.clearance(0), Clearance::Barred);
}

#[test]
fn where_stores_cannot_be_asked_only_discovery_frees() {
    let mut rig = Rig::new(1, 5_000);
    rig.regain = Regain::new(None, false, 8);
    rig.out.clear();
    let members = (0..3).map(|store| Member { store, group: 0 }).collect();
    rig.give(Event::Kept { members, floors: Vec::new() });
    assert!(rig.out.is_empty() && rig.clearance(0) == Clearance::Barred);
    rig.vouch(0..3);
    assert_eq!(rig.clearance(0), Clearance::Free);
}

#[test]
fn ten_thousand_stores_are_asked_a_few_at_a_time_and_a_wanted_group_first() {
    for (age, wave) in [(5_000, 64), (600_000, 32), (7_200_000, 16), (2 * DAY, 8)] {
        let groups = 3_334;
        let mut rig = Rig::new(groups, age);
        let wanted = groups - 1;
        rig.give(Event::Wanted { group: wanted });
        let (mut rounds, mut wanted_at, mut heard) = (0, None, BTreeSet::new());
        while heard.len() < groups * 3 {
            rounds += 1;
            assert!(rounds < 100_000, "all are heard in the end");
            let asked: Vec<usize> = rig.out.iter().copied().collect();
            for store in asked {
                rig.out.remove(&store);
                heard.insert(store);
                let word = if store % 3 == 0 { primary(rig.now, 1) } else { replica(rig.now, 1) };
                let asked = at(rig.now);
                rig.give(Event::Answered { store, asked, identity: Identity::Right, word });
            }
            if wanted_at.is_none() && matches!(rig.clearance(wanted), Clearance::Only(_)) {
                wanted_at = Some(rounds);
            }
            rig.pass(1);
        }
        assert!(rig.most_out <= wave, "{} at a time", rig.most_out);
        assert!(wanted_at.is_some_and(|at| at < 400), "{wanted_at:?} of {rounds}");
    }
}

#[test]
fn the_step_of_age_goes_by_what_is_shown_when_the_clock_cannot_be_right() {
    let times = |confirmed: i64, saved: i64| Some(Times { confirmed: at(confirmed), saved: at(saved) });
    let age = |times, shown| step(times, at(START), shown).age;
    assert_eq!(age(times(START - 59_000, START - 59_000), None), Age::Fresh);
    assert_eq!(age(times(START - 61_000, START - 1_000), None), Age::Recent);
    assert_eq!(age(times(START - DAY, START - DAY), None), Age::Old);
    assert_eq!(age(times(START - DAY - 1, START), None), Age::Unknown);
    assert_eq!(age(times(START + 10_000, START + 10_000), None), Age::Unknown, "a list from the future");
    assert_eq!(age(times(START - 1_000, START - 60_000), None), Age::Unknown, "the clock was set back");
    assert_eq!(age(None, None), Age::Unknown);
    // Our clock says five seconds, the stores say an hour and more.
    assert_eq!(age(times(START - 5_000, START - 5_000), Some(at(START + DAY / 12))), Age::Old);
}

#[test]
fn another_life_of_discovery_is_taken_once_it_has_shown_itself_twice_and_an_old_copy_is_not() {
    let whole = |seq| Offer { seq, whole: true, empty: false };
    let mut lives = Lives::new(40, true);
    assert_eq!(lives.offer(at(0), Offer { empty: true, ..whole(50) }), Verdict::Pass, "all is lost there");
    assert_eq!(lives.offer(at(0), whole(41)), Verdict::Take);
    // An old copy, then our own life again: forgotten.
    assert_eq!(lives.offer(at(100), whole(5)), Verdict::Suspect);
    assert_eq!(lives.offer(at(200), whole(42)), Verdict::Take);
    assert_eq!(lives.offer(at(9_000), whole(5)), Verdict::Suspect);
    assert_eq!(lives.look_again(), Some(at(9_000) + APART));
    assert_eq!(lives.offer(at(9_100), whole(5)), Verdict::Suspect, "too soon");
    assert_eq!(lives.offer(at(9_200), Offer { whole: false, ..whole(6) }), Verdict::Pass);
    assert_eq!(lives.offer(at(9_000) + APART, whole(4)), Verdict::Suspect, "older than what it showed");
    assert_eq!(lives.offer(at(9_000) + APART + APART, whole(4)), Verdict::Take);
    assert_eq!(lives.seq(), 4);
    assert_eq!(
        lives.offer(at(20_000), Offer { empty: true, ..whole(9) }),
        Verdict::Take,
        "its life, its word"
    );
}

#[test]
fn saves_follow_changes_and_leave_a_failing_disk_alone() {
    let gap = Span::millis(1_000);
    let mut pace = Pace::new(gap);
    assert_eq!(pace.due(), None);
    pace.changed(at(START));
    pace.changed(at(START + 100));
    let due = pace.due().expect("soon");
    assert!(due >= at(START) && due <= at(START + 200), "soon after the first of several changes");
    pace.begins(due);
    pace.ended(due, true);
    pace.changed(due);
    assert_eq!(pace.due(), Some(due + gap));
    let (mut now, mut pauses) = (due, Vec::new());
    for _ in 0..12 {
        let next = pace.due().expect("what failed is made up for");
        pauses.push(next - now);
        now = next;
        pace.begins(now);
        pace.ended(now, false);
    }
    assert!(pauses.windows(2).all(|two| two[0] <= two[1]), "{pauses:?}");
    assert_eq!(pauses.last(), Some(&Span::millis(60_000)));
    let word = primary(START, 1);
    assert!(is_news(None, word) && !is_news(Some(word), primary(START + 100, 1)));
    assert!(is_news(Some(word), primary(START + 100, 2)) && is_news(Some(word), primary(START + 9_000, 1)));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(20_26),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A world in which each group has one true primary on the latest timeline, which may be another at any
    /// time, and former ones that go on claiming on theirs. Whatever is asked, answered and lost in whatever
    /// order: nobody but a store that was true primary when it was last asked is ever cleared.
    #[test]
    fn only_a_true_primary_is_cleared(
        ages in 0..5usize,
        steps in prop::collection::vec((0..10u8, 0..9usize, any::<u8>()), 1..300),
    ) {
        let age = [1_000, 50_000, 600_000, 2 * DAY, -DAY][ages];
        let mut rig = Rig::new(3, age);
        // By store: the timeline it is on, whether it believes itself primary, and where it stands since it
        // was cut.
        let mut timeline = [1u32; 9];
        let mut claims: [bool; 9] = std::array::from_fn(|store| store % 3 == 0);
        let mut truth = [0usize, 3, 6];
        let mut cut: [Option<i64>; 9] = [None; 9];
        let mut switched = [0i64; 3];
        let (mut vouched, mut cleared) = (false, [None; 3]);
        for (kind, store, how) in steps {
            let group = store / 3;
            match kind {
                // A failover before or after the start: the former one follows, or goes on by itself.
                0 if how < 60 && rig.now - switched[group] > 3_000 => {
                    let latest = timeline[group * 3..group * 3 + 3].iter().max().copied().unwrap_or(1);
                    let before = truth[group];
                    if store != before {
                        let goes_on = how % 2 == 0;
                        for other in group * 3..group * 3 + 3 {
                            if other == before && goes_on {
                                continue;
                            }
                            // A quarter of the replicas has not heard of it yet.
                            let behind = other != store && how % 4 == 3;
                            if !behind {
                                (timeline[other], claims[other], cut[other]) = (latest + 1, other == store, None);
                            } else {
                                claims[other] = false;
                                cut[other] = Some(rig.now - 10);
                            }
                        }
                        truth[group] = store;
                        switched[group] = rig.now;
                    }
                }
                0 | 1 => rig.pass(i64::from(how) * 10),
                2..=7 => {
                    if rig.out.remove(&store) {
                        let position = cut[store].unwrap_or(rig.now - if claims[store] { 0 } else { 5 });
                        let role = if claims[store] { Role::Primary } else { Role::Replica };
                        let word =
                            Word { role: Some(role), position: Some(at(position)), timeline: Some(timeline[store]) };
                        let asked = at(rig.now);
                        rig.now += 1;
                        rig.give(Event::Answered { store, asked, identity: Identity::Right, word });
                    }
                }
                8 => {
                    if rig.out.remove(&store) {
                        // Who refuses is not running; a store that claims is.
                        let why = if how % 3 == 0 && !claims[store] { Failure::Refused } else { Failure::Silent };
                        rig.give(Event::Failed { store, why });
                    }
                }
                _ if how < 10 && !vouched && age != 1_000 => {
                    vouched = true;
                    rig.vouch(0..9);
                }
                _ => rig.give(Event::Wanted { group }),
            }
            for group in 0..3 {
                if let Clearance::Only(store) = rig.clearance(group) {
                    if cleared[group] != Some(store) {
                        // It was the true one when the words that prove it were said.
                        let was = store == truth[group] || at(rig.now) - COUNTS_FOR <= at(switched[group]);
                        prop_assert!(was, "group {group}: {store} cleared, {} is true", truth[group]);
                    }
                    cleared[group] = Some(store);
                } else {
                    cleared[group] = None;
                }
            }
            prop_assert!(rig.out.len() <= rig.regain.step(at(rig.now)).wave.max(64));
        }
        // Whatever happened: once all can be heard and discovery is back, each group has its primary.
        rig.vouch(0..9);
        cut = [None; 9];
        for group in 0..3 {
            let latest = timeline[truth[group]];
            for store in group * 3..group * 3 + 3 {
                (timeline[store], claims[store]) = (latest, store == truth[group]);
            }
        }
        for _ in 0..400 {
            let asked: Vec<usize> = rig.out.iter().copied().collect();
            for store in asked {
                rig.out.remove(&store);
                let role = if claims[store] { Role::Primary } else { Role::Replica };
                let position = cut[store].unwrap_or(rig.now);
                let word = Word { role: Some(role), position: Some(at(position)), timeline: Some(timeline[store]) };
                let asked = at(rig.now);
                rig.give(Event::Answered { store, asked, identity: Identity::Right, word });
            }
            rig.pass(50);
        }
        prop_assert!(rig.regain.is_over(), "{:?}", rig.cleared);
    }
}
