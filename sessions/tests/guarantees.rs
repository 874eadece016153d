//! Positions, epochs and tokens: what each accepts and rejects. A property test holds sessions on two instances
//! against a model of the log through random failovers.

use proptest::prelude::*;
use proptest::test_runner::TestCaseResult;
use proptest_support::seeded_cases;
use routing::time::{TimeDelta, Timestamp};
use sessions::epochs::{Epoch, EpochHistory, PositionStatus};
use sessions::positions::{LogPosition, SessionPositions, MAX_POSITIONS};
use sessions::session_cache::SessionCache;
use sessions::token::{Token, TokenError, TokenKeys, MAX_TOKEN_CHARS};

/// The time of issue of the tokens, in Unix seconds.
const NOW: i64 = 1_790_000_000;
/// The audience of most tokens: their user and database.
const AUDIENCE: &str = "desk/bookings";

fn at(ms: i64) -> Timestamp {
    Timestamp(ms * 1_000_000)
}

/// A position on the log of an epoch; epoch 0 is that of an endpoint which reports none.
fn position(epoch: u32, ms: i64) -> LogPosition {
    LogPosition { epoch, position: at(ms) }
}

fn keys(text: &str) -> TokenKeys {
    TokenKeys::parse(text).expect("valid keys")
}

/// A key file.
const FIRST: &str = "1 000102030405060708090a0b0c0d0e0f";
/// The same file after a second key was added.
const BOTH: &str = "1 000102030405060708090a0b0c0d0e0f\n2 ffeeddccbbaa99887766554433221100 # since Tuesday\n";

/// A token that carries these positions by group and is valid for an hour.
fn token(positions: &[(i64, LogPosition)]) -> Token {
    let mut seen = SessionPositions::default();
    positions.iter().for_each(|(group, position)| seen.advance(*group, *position));
    Token { session: [7; 16], issued: NOW, expires: NOW + 3_600, positions: seen }
}

#[test]
fn positions_only_advance_and_a_later_epoch_goes_before_a_later_position() {
    let mut positions = SessionPositions::default();
    positions.advance(3, position(1, 500));
    positions.advance(3, position(1, 400));
    assert_eq!(positions.get(3), Some(position(1, 500)));
    positions.advance(3, position(2, 450));
    assert_eq!(positions.get(3), Some(position(2, 450)));
    positions.advance(3, position(0, 600));
    assert_eq!(positions.get(3), Some(position(2, 600)), "without an epoch the position alone counts");
    assert_eq!(positions.get(4), None);
}

#[test]
fn groups_above_the_maximum_share_a_lower_bound() {
    let mut positions = SessionPositions::default();
    for group in 0..40 {
        positions.advance(group, position(1, 1_000 + group));
    }
    assert_eq!(positions.by_group().len(), MAX_POSITIONS);
    for group in 0..40 {
        assert!(
            positions.get(group).is_some_and(|position| position.position >= at(1_000 + group)),
            "{group}"
        );
    }
}

#[test]
fn a_position_beyond_a_fork_is_lost_and_one_before_it_is_not() {
    let mut epochs = EpochHistory::default();
    assert_eq!(
        epochs.position_status(1, position(4, 900)),
        PositionStatus::OnLog(at(900)),
        "nothing is known"
    );
    epochs.record(1, Epoch { number: 4, start_position: Some(at(100)) });
    assert_eq!(epochs.position_status(1, position(4, 900)), PositionStatus::OnLog(at(900)));
    assert_eq!(epochs.position_status(1, position(5, 900)), PositionStatus::UnknownEpoch(at(900)));
    epochs.record(1, Epoch { number: 5, start_position: Some(at(800)) });
    assert_eq!(epochs.position_status(1, position(4, 801)), PositionStatus::Lost);
    assert_eq!(epochs.position_status(1, position(4, 800)), PositionStatus::OnLog(at(800)));
    assert_eq!(
        epochs.position_status(1, position(0, 900)),
        PositionStatus::OnLog(at(900)),
        "it was reported without an epoch"
    );
    // Two epochs later the first fork still counts.
    epochs.record(1, Epoch { number: 6, start_position: Some(at(2_000)) });
    assert_eq!(epochs.position_status(1, position(4, 850)), PositionStatus::Lost);
    assert_eq!(epochs.position_status(1, position(5, 1_900)), PositionStatus::OnLog(at(1_900)));
    assert_eq!(
        epochs.position_status(2, position(4, 9)),
        PositionStatus::OnLog(at(9)),
        "another group has its own"
    );
}

#[test]
fn a_reported_loss_is_not_undone_by_an_instance_that_cached_the_lost_position() {
    let (mut epochs, session, now) = (EpochHistory::default(), [7; 16], at(0));
    let [mut here, mut elsewhere] = [(); 2].map(|()| SessionCache::new(9, TimeDelta::from_millis(60_000)));
    let mut presented = SessionPositions::default();
    presented.advance(1, position(1, 900));
    presented.advance(2, position(1, 700));
    here.merge(now, session, &mut presented);
    elsewhere.merge(now, session, &mut presented);
    for (number, start_ms) in [(2, 500), (3, 600)] {
        epochs.record(1, Epoch { number, start_position: Some(at(start_ms)) });
    }
    assert_eq!(epochs.position_status(1, presented.get(1).expect("seen")), PositionStatus::Lost);
    let mut before = presented.clone();
    presented.remove(1);
    presented.advance(1, epochs.restart_position(1));
    here.remove_position(&session, 1);
    // A client that missed the report presents its old position, and the loss is reported again.
    here.merge(now, session, &mut before);
    assert_eq!(epochs.position_status(1, before.get(1).expect("seen")), PositionStatus::Lost);
    for instance in [&mut here, &mut elsewhere] {
        instance.merge(now, session, &mut presented);
        assert_eq!(
            presented.get(1),
            Some(position(3, 600)),
            "after the report it continues from where the new log began"
        );
        assert_eq!(epochs.position_status(1, position(3, 600)), PositionStatus::OnLog(at(600)));
        assert_eq!(presented.get(2), Some(position(1, 700)), "another group is unchanged");
    }
}

#[test]
fn an_answer_from_an_abandoned_log_is_not_shown() {
    let mut epochs = EpochHistory::default();
    epochs.record(1, Epoch { number: 5, start_position: Some(at(800)) });
    let epoch = |number| Some(Epoch { number, start_position: None });
    let seen = position(4, 700);
    assert!(epochs.answer_includes(1, seen, epoch(5), Some(at(900))));
    assert!(epochs.answer_includes(1, seen, epoch(4), Some(at(750))), "before the fork: common to both logs");
    assert!(
        !epochs.answer_includes(1, seen, epoch(4), Some(at(900))),
        "beyond the fork: on the abandoned log"
    );
    assert!(!epochs.answer_includes(1, position(5, 900), epoch(4), Some(at(950))));
    assert!(
        !epochs.answer_includes(2, position(5, 900), epoch(4), Some(at(950))),
        "without a known fork the epoch number alone counts"
    );
    assert!(!epochs.answer_includes(1, seen, epoch(5), Some(at(699))), "before the position that was seen");
    assert!(epochs.answer_includes(1, seen, None, Some(at(700))), "an endpoint that reports no epoch");
}

#[test]
fn tokens_open_for_their_audience_in_their_time_under_any_known_key() {
    let (old, both) = (keys(FIRST), keys(BOTH));
    let presented = token(&[(3, position(1, NOW * 1_000)), (9, position(0, 5))]);
    let text = old.issue(&presented, AUDIENCE).expect("a token that fits");
    assert!(text.len() <= MAX_TOKEN_CHARS);
    assert_eq!(both.verify(&text, AUDIENCE, NOW), Ok(presented.clone()), "a key was added meanwhile");
    let newer = both.issue(&presented, AUDIENCE).expect("a token that fits");
    assert_eq!(old.verify(&newer, AUDIENCE, NOW), Err(TokenError::UnknownKey));
    for other_audience in ["desk/bookingss", "des/kbookings"] {
        assert_eq!(both.verify(&text, other_audience, NOW), Err(TokenError::Unauthenticated));
    }
    assert_eq!(both.verify(&text, AUDIENCE, NOW + 3_600), Err(TokenError::Expired));
    assert_eq!(both.verify(&text, AUDIENCE, NOW - 60), Err(TokenError::FromFuture));
    println!("a token with positions of 2 groups has {} characters", text.len());
}

#[test]
fn malformed_and_truncated_tokens_are_rejected() {
    let both = keys(BOTH);
    let oversized = "A".repeat(MAX_TOKEN_CHARS + 1);
    for malformed in ["", "new", "AAAA", "%%%", &oversized] {
        assert_eq!(both.verify(malformed, AUDIENCE, NOW), Err(TokenError::Malformed), "{malformed}");
    }
    let positions = [(3, position(1, NOW * 1_000)), (9, position(0, 5))];
    let text = keys(FIRST).issue(&token(&positions), AUDIENCE).expect("a token that fits");
    for length in 0..text.len() {
        assert!(both.verify(&text[..length], AUDIENCE, NOW).is_err(), "cut to {length} characters");
    }
}

#[test]
fn positions_between_milliseconds_are_rounded_up_in_a_token() {
    let keys = keys(BOTH);
    let between = LogPosition { epoch: 1, position: Timestamp(1_500_000) };
    let text = keys.issue(&token(&[(3, between)]), "a/b").expect("a token that fits");
    let opened = keys.verify(&text, "a/b", NOW).expect("a valid token");
    assert!(opened.positions.get(3) >= Some(between), "never less than was seen");
}

#[test]
fn keys_are_parsed_strictly_and_never_printed() {
    for (text, expected) in [
        ("", "1: no key"),
        ("# none\n", "1: no key"),
        ("1 00", "1: the key is not 32 hex digits or more"),
        ("\n256 000102030405060708090a0b0c0d0e0f", "2: the id is no number from 0 to 255"),
        ("1 000102030405060708090a0b0c0d0e0", "1: the key is not 32 hex digits or more"),
        ("1 +00102030405060708090a0b0c0d0e0f", "1: the key is not 32 hex digits or more"),
        ("1 000102030405060708090a0b0c0d0e0f\n1 ffeeddccbbaa99887766554433221100", "2: the id stands twice"),
        ("1", "1: an id and a key are wanted"),
    ] {
        let error = TokenKeys::parse(text).map(|_| ()).map_err(|error| error.to_string());
        assert_eq!(error, Err(expected.to_string()), "{text}");
    }
    assert_eq!(format!("{:?}", keys(BOTH)), "{1, 2}");
}

#[test]
fn a_million_sessions_stay_within_the_capacity_of_the_cache_and_expire() {
    let mut cached = SessionCache::new(50_000, TimeDelta::from_millis(60_000));
    let session = |nth: u32| {
        let mut id = [0; 16];
        id[..4].copy_from_slice(&nth.to_be_bytes());
        id
    };
    let mut positions = SessionPositions::default();
    positions.advance(1, position(1, 5));
    for nth in 0..1_000_000 {
        cached.merge(at(i64::from(nth)), session(nth), &mut positions.clone());
        assert!(cached.len() <= 50_000);
    }
    // A second connection of the newest session, which has seen less.
    let mut less = SessionPositions::default();
    cached.merge(at(1_000_000), session(999_999), &mut less);
    assert_eq!(less.get(1), Some(position(1, 5)));
    cached.merge(at(2_000_000), session(5), &mut positions);
    assert_eq!(cached.len(), 1, "the others have expired");
}

/// What one step of a random sequence does; it takes 10 ms.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Replication: endpoints on the current log advance up to `lag_ms` behind its end.
    Replicate { lag_ms: i64 },
    /// Failover: the promoted endpoint begins a new epoch where it is, and endpoints ahead of it stay on the old log.
    FailOver { promoted: usize },
    /// A read of a session at an instance, answered by an endpoint.
    Read { session: usize, instance: usize, endpoint: usize },
}

fn any_step() -> impl Strategy<Value = Step> {
    (0..10u8, 0..4usize, any::<u8>()).prop_map(|(kind, nth, detail)| match kind {
        0..=2 => Step::Replicate { lag_ms: detail.into() },
        3 if detail < 40 => Step::FailOver { promoted: nth % 3 },
        _ => Step::Read {
            session: nth,
            instance: usize::from(detail) % 2,
            endpoint: usize::from(detail / 2) % 3,
        },
    })
}

/// A position on the true log: the epoch in which it was written, and its time in milliseconds.
#[derive(Clone, Copy, Debug)]
struct TruePosition {
    epoch: u32,
    ms: i64,
}

/// A session: the positions that it carries, and the last position that it was shown in truth.
#[derive(Clone, Debug, Default)]
struct Session {
    positions: SessionPositions,
    shown: Option<TruePosition>,
}

/// Sessions on two instances over the endpoints of group 1, whose log forks at each failover.
struct Model {
    now: i64,
    /// Where the epochs 1, 2, … of the true log began, in milliseconds.
    epoch_starts: Vec<i64>,
    endpoints: [TruePosition; 3],
    instances: [EpochHistory; 2],
    sessions: [Session; 4],
}

/// The group of the endpoints.
const GROUP: i64 = 1;

impl Model {
    fn new() -> Model {
        Model {
            now: 1_000,
            epoch_starts: vec![0],
            endpoints: [1_000, 990, 980].map(|ms| TruePosition { epoch: 1, ms }),
            instances: Default::default(),
            sessions: Default::default(),
        }
    }

    fn current_epoch(&self) -> u32 {
        self.epoch_starts.len() as u32
    }

    fn apply(&mut self, step: Step) -> TestCaseResult {
        self.now += 10;
        match step {
            Step::Replicate { lag_ms } => self.replicate(lag_ms),
            Step::FailOver { promoted } => self.fail_over(promoted),
            Step::Read { session, instance, endpoint } => self.read(session, instance, endpoint)?,
        }
        Ok(())
    }

    fn replicate(&mut self, lag_ms: i64) {
        let (current, position) = (self.current_epoch(), self.now - lag_ms);
        for endpoint in self.endpoints.iter_mut().filter(|endpoint| endpoint.epoch == current) {
            endpoint.ms = endpoint.ms.max(position);
        }
    }

    fn fail_over(&mut self, promoted: usize) {
        let (current, fork) = (self.current_epoch(), self.endpoints[promoted]);
        if fork.epoch != current {
            return;
        }
        self.epoch_starts.push(fork.ms);
        for (nth, endpoint) in self.endpoints.iter_mut().enumerate() {
            if nth == promoted || (endpoint.epoch == current && endpoint.ms <= fork.ms) {
                endpoint.epoch = current + 1;
            }
        }
    }

    /// The instance reports the loss of what the session saw, or shows it the answer of the endpoint if that is not
    /// older.
    fn read(&mut self, session: usize, instance: usize, endpoint: usize) -> TestCaseResult {
        let (instance, answer) = (&mut self.instances[instance], self.endpoints[endpoint]);
        let session = &mut self.sessions[session];
        let seen = session.positions.get(GROUP);
        if seen.is_some_and(|seen| instance.position_status(GROUP, seen) == PositionStatus::Lost) {
            session.positions.remove(GROUP);
            session.positions.advance(GROUP, instance.restart_position(GROUP));
            session.shown = None;
            return Ok(());
        }
        let start_position = self.epoch_starts.get(answer.epoch as usize - 1).map(|start_ms| at(*start_ms));
        let epoch = Epoch { number: answer.epoch, start_position };
        instance.record(GROUP, epoch);
        if seen.is_none_or(|seen| instance.answer_includes(GROUP, seen, Some(epoch), Some(at(answer.ms)))) {
            check_shown(&self.epoch_starts, session.shown, answer)?;
            session.positions.advance(GROUP, position(answer.epoch, answer.ms));
            session.shown = Some(answer);
        }
        Ok(())
    }
}

/// An answer is on the log that the session saw, with no fork below what it saw, and is no older.
fn check_shown(epoch_starts: &[i64], before: Option<TruePosition>, answer: TruePosition) -> TestCaseResult {
    let Some(before) = before else { return Ok(()) };
    let is_lost = (1u32..)
        .zip(epoch_starts)
        .any(|(epoch, start_ms)| epoch > before.epoch && epoch <= answer.epoch && *start_ms < before.ms);
    prop_assert!(!is_lost, "what the session saw is lost, and that was not reported");
    prop_assert!(answer.ms >= before.ms, "shown {} after {}", answer.ms, before.ms);
    Ok(())
}

proptest! {
    #![proptest_config(seeded_cases(256, 20_26))]

    #[test]
    fn a_token_carries_any_positions_and_any_changed_byte_is_detected(
        seen in prop::collection::vec((0..i64::MAX, 0..9u32, 1..8_000_000_000_000i64), 0..24),
        changed_byte in any::<prop::sample::Index>(),
        change in 1..=255u8,
    ) {
        let seen: Vec<_> = seen.iter().map(|(group, epoch, ms)| (*group, position(*epoch, *ms))).collect();
        let presented = token(&seen);
        let keys = keys(BOTH);
        let text = keys.issue(&presented, "a/b").expect("a token that fits");
        prop_assert!(text.len() <= MAX_TOKEN_CHARS);
        prop_assert_eq!(keys.verify(&text, "a/b", NOW), Ok(presented));
        let mut bytes = text.into_bytes();
        let nth = changed_byte.index(bytes.len());
        bytes[nth] ^= change;
        if let Ok(changed) = String::from_utf8(bytes) {
            prop_assert!(keys.verify(&changed, "a/b", NOW).is_err());
        }
    }

    /// Sessions on two instances, whose endpoints lag, through failovers that lose the tail of the log: no session
    /// is shown less than it has seen, unless the loss was reported to it in between.
    #[test]
    fn no_session_is_shown_less_than_it_has_seen(steps in prop::collection::vec(any_step(), 1..300)) {
        let mut model = Model::new();
        for step in steps {
            model.apply(step)?;
        }
    }
}
