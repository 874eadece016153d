//! Positions, epochs, tokens and the session cache. A property test compares sessions on two instances with a model
//! of the log during random failovers.

use proptest::prelude::*;
use proptest::test_runner::TestCaseResult;
use proptest_support::seeded_cases;
use routing::time::{TimeDelta, Timestamp};
use sessions::epochs::PositionStatus::{Lost, OnLog, UnknownEpoch};
use sessions::epochs::{Epoch, EpochHistory};
use sessions::positions::{LogPosition, SessionPositions, MAX_POSITIONS};
use sessions::session_cache::SessionCache;
use sessions::token::{Token, TokenError, TokenKeys, MAX_TOKEN_CHARS};

/// The time of issue of the tokens, in Unix seconds.
const NOW_S: i64 = 1_790_000_000;
/// The audience of most tokens: a user and a database.
const AUDIENCE: &str = "desk/bookings";

fn at(ms: i64) -> Timestamp {
    Timestamp(ms * 1_000_000)
}

/// A position in an epoch. Epoch 0 means that the endpoint did not report one.
fn position(epoch: u32, ms: i64) -> LogPosition {
    LogPosition { epoch, position: at(ms) }
}

fn keys(text: &str) -> TokenKeys {
    TokenKeys::parse(text).expect("valid keys")
}

/// A key file with one key.
const FIRST_KEY: &str = "1 000102030405060708090a0b0c0d0e0f";
/// The same key file after a second key was added.
const BOTH_KEYS: &str =
    "1 000102030405060708090a0b0c0d0e0f\n2 ffeeddccbbaa99887766554433221100 # second key\n";

/// A token with these positions by group, valid for an hour.
fn token(positions: &[(i64, LogPosition)]) -> Token {
    let mut session_positions = SessionPositions::default();
    positions.iter().for_each(|(group, position)| session_positions.advance(*group, *position));
    Token { session: [7; 16], issued: NOW_S, expires: NOW_S + 3_600, positions: session_positions }
}

#[test]
fn positions_only_advance_and_compare_by_epoch_first() {
    let mut positions = SessionPositions::default();
    positions.advance(3, position(1, 500));
    positions.advance(3, position(1, 400));
    assert_eq!(positions.get(3), Some(position(1, 500)));
    positions.advance(3, position(2, 450));
    assert_eq!(positions.get(3), Some(position(2, 450)));
    positions.advance(3, position(0, 600));
    assert_eq!(positions.get(3), Some(position(2, 600)), "without an epoch, only the positions are compared");
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
fn position_is_lost_if_a_later_epoch_forked_before_it() {
    let mut epochs = EpochHistory::default();
    assert_eq!(epochs.position_status(1, position(4, 900)), OnLog(at(900)), "no epoch is known");
    epochs.record(1, Epoch { number: 4, start_position: Some(at(100)) });
    assert_eq!(epochs.position_status(1, position(4, 900)), OnLog(at(900)));
    assert_eq!(epochs.position_status(1, position(5, 900)), UnknownEpoch(at(900)));
    epochs.record(1, Epoch { number: 5, start_position: Some(at(800)) });
    assert_eq!(epochs.position_status(1, position(4, 801)), Lost);
    assert_eq!(epochs.position_status(1, position(4, 800)), OnLog(at(800)));
    assert_eq!(epochs.position_status(1, position(0, 900)), OnLog(at(900)), "without an epoch");
    // The fork of epoch 5 still applies after epoch 6 has started.
    epochs.record(1, Epoch { number: 6, start_position: Some(at(2_000)) });
    assert_eq!(epochs.position_status(1, position(4, 850)), Lost);
    assert_eq!(epochs.position_status(1, position(5, 1_900)), OnLog(at(1_900)));
    assert_eq!(epochs.position_status(2, position(4, 9)), OnLog(at(9)), "another group");
}

#[test]
fn reported_loss_is_not_undone_by_a_cached_lost_position() {
    let (mut epochs, session, now) = (EpochHistory::default(), [7; 16], at(0));
    let [mut first, mut second] = [(); 2].map(|()| SessionCache::new(9, TimeDelta::from_millis(60_000)));
    let mut presented = SessionPositions::default();
    presented.advance(1, position(1, 900));
    presented.advance(2, position(1, 700));
    first.merge(now, session, &mut presented);
    second.merge(now, session, &mut presented);
    for (number, start_ms) in [(2, 500), (3, 600)] {
        epochs.record(1, Epoch { number, start_position: Some(at(start_ms)) });
    }
    assert_eq!(epochs.position_status(1, presented.get(1).expect("seen")), Lost);
    let mut before = presented.clone();
    presented.remove(1);
    presented.advance(1, epochs.restart_position(1));
    first.remove_position(&session, 1);
    // A client that did not receive the notification presents its old position, and the loss is detected again.
    first.merge(now, session, &mut before);
    assert_eq!(epochs.position_status(1, before.get(1).expect("seen")), Lost);
    for instance in [&mut first, &mut second] {
        instance.merge(now, session, &mut presented);
        assert_eq!(
            presented.get(1),
            Some(position(3, 600)),
            "after the notification the session continues from the start of the latest epoch"
        );
        assert_eq!(epochs.position_status(1, position(3, 600)), OnLog(at(600)));
        assert_eq!(presented.get(2), Some(position(1, 700)), "the position of another group is unchanged");
    }
}

#[test]
fn answer_from_an_abandoned_branch_is_rejected() {
    let mut epochs = EpochHistory::default();
    epochs.record(1, Epoch { number: 5, start_position: Some(at(800)) });
    let epoch = |number| Some(Epoch { number, start_position: None });
    let seen = position(4, 700);
    assert!(epochs.answer_includes(1, seen, epoch(5), Some(at(900))));
    assert!(epochs.answer_includes(1, seen, epoch(4), Some(at(750))), "before the fork");
    assert!(!epochs.answer_includes(1, seen, epoch(4), Some(at(900))), "on the abandoned branch");
    assert!(!epochs.answer_includes(1, position(5, 900), epoch(4), Some(at(950))));
    assert!(
        !epochs.answer_includes(2, position(5, 900), epoch(4), Some(at(950))),
        "without a known fork, the epoch numbers are compared"
    );
    assert!(!epochs.answer_includes(1, seen, epoch(5), Some(at(699))), "before the observed position");
    assert!(epochs.answer_includes(1, seen, None, Some(at(700))), "the endpoint did not report an epoch");
}

#[test]
fn token_is_valid_for_its_audience_and_lifetime_under_any_known_key() {
    let (old, both) = (keys(FIRST_KEY), keys(BOTH_KEYS));
    let presented = token(&[(3, position(1, NOW_S * 1_000)), (9, position(0, 5))]);
    let text = old.issue(&presented, AUDIENCE).expect("a token that fits");
    assert!(text.len() <= MAX_TOKEN_CHARS);
    assert_eq!(both.verify(&text, AUDIENCE, NOW_S), Ok(presented.clone()), "issued with the first key");
    let newer = both.issue(&presented, AUDIENCE).expect("a token that fits");
    assert_eq!(old.verify(&newer, AUDIENCE, NOW_S), Err(TokenError::UnknownKey));
    for other_audience in ["desk/bookingss", "des/kbookings"] {
        assert_eq!(both.verify(&text, other_audience, NOW_S), Err(TokenError::Unauthenticated));
    }
    assert_eq!(both.verify(&text, AUDIENCE, NOW_S + 3_600), Err(TokenError::Expired));
    assert_eq!(both.verify(&text, AUDIENCE, NOW_S - 60), Err(TokenError::FromFuture));
    println!("a token with positions of 2 groups has {} characters", text.len());
}

#[test]
fn malformed_and_truncated_tokens_are_rejected() {
    let both = keys(BOTH_KEYS);
    let oversized = "A".repeat(MAX_TOKEN_CHARS + 1);
    for malformed in ["", "new", "AAAA", "%%%", &oversized] {
        assert_eq!(both.verify(malformed, AUDIENCE, NOW_S), Err(TokenError::Malformed), "{malformed}");
    }
    let positions = [(3, position(1, NOW_S * 1_000)), (9, position(0, 5))];
    let text = keys(FIRST_KEY).issue(&token(&positions), AUDIENCE).expect("a token that fits");
    for length in 0..text.len() {
        assert!(both.verify(&text[..length], AUDIENCE, NOW_S).is_err(), "cut to {length} characters");
    }
}

#[test]
fn token_rounds_positions_up_to_whole_milliseconds() {
    let keys = keys(BOTH_KEYS);
    let between = LogPosition { epoch: 1, position: Timestamp(1_500_000) };
    let text = keys.issue(&token(&[(3, between)]), "a/b").expect("a token that fits");
    let verified = keys.verify(&text, "a/b", NOW_S).expect("a valid token");
    assert!(verified.positions.get(3) >= Some(between), "before the observed position");
}

#[test]
fn invalid_key_files_are_rejected_and_keys_are_not_printed() {
    let no_key = "1: the file contains no key; expected a line with an id and a key";
    let invalid_key = "1: the key is not an even number of hexadecimal digits, at least 32";
    for (text, expected) in [
        ("", no_key),
        ("# none\n", no_key),
        ("1 00", invalid_key),
        ("\n256 000102030405060708090a0b0c0d0e0f", "2: the id is not a number from 0 to 255"),
        ("1 000102030405060708090a0b0c0d0e0", invalid_key),
        ("1 +00102030405060708090a0b0c0d0e0f", invalid_key),
        (
            "1 000102030405060708090a0b0c0d0e0f\n1 ffeeddccbbaa99887766554433221100",
            "2: an earlier line has the same id; it may be used only once",
        ),
        ("1", "1: expected an id and a key, separated by white space"),
    ] {
        let error = TokenKeys::parse(text).map(|_| ()).map_err(|error| error.to_string());
        assert_eq!(error, Err(expected.to_string()), "{text}");
    }
    assert_eq!(format!("{:?}", keys(BOTH_KEYS)), "{1, 2}");
}

#[test]
fn session_cache_is_bounded_and_expires_sessions() {
    let mut cached = SessionCache::new(50_000, TimeDelta::from_millis(60_000));
    let session = |index: u32| {
        let mut id = [0; 16];
        id[..4].copy_from_slice(&index.to_be_bytes());
        id
    };
    let mut positions = SessionPositions::default();
    positions.advance(1, position(1, 5));
    for index in 0..1_000_000 {
        cached.merge(at(i64::from(index)), session(index), &mut positions.clone());
        assert!(cached.len() <= 50_000);
    }
    // A second connection of the newest session presents a token without positions.
    let mut less = SessionPositions::default();
    cached.merge(at(1_000_000), session(999_999), &mut less);
    assert_eq!(less.get(1), Some(position(1, 5)));
    cached.merge(at(2_000_000), session(5), &mut positions);
    assert_eq!(cached.len(), 1, "the others have expired");
}

/// One step of a random sequence. Each step takes 10 ms.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The endpoints in the current epoch replicate the log up to `lag_ms` behind its end.
    Replicate { lag_ms: i64 },
    /// The promoted endpoint starts a new epoch at its position. Endpoints ahead of it stay on the old branch.
    FailOver { promoted: usize },
    /// A session reads through an instance, and an endpoint answers.
    Read { session: usize, instance: usize, endpoint: usize },
}

fn any_step() -> impl Strategy<Value = Step> {
    (0..10u8, 0..4usize, any::<u8>()).prop_map(|(kind, index, detail)| match kind {
        0..=2 => Step::Replicate { lag_ms: detail.into() },
        3 if detail < 40 => Step::FailOver { promoted: index % 3 },
        _ => Step::Read {
            session: index,
            instance: usize::from(detail) % 2,
            endpoint: usize::from(detail / 2) % 3,
        },
    })
}

/// A true position: its epoch, and its commit time in milliseconds.
#[derive(Clone, Copy, Debug)]
struct TruePosition {
    epoch: u32,
    ms: i64,
}

/// The positions in a session's token, and the true position of the last answer that the session received.
#[derive(Clone, Debug, Default)]
struct Session {
    positions: SessionPositions,
    last_answer: Option<TruePosition>,
}

/// Sessions on two instances that read from the endpoints of one group. The group's log forks at each failover.
struct Model {
    now: i64,
    /// Start positions of the epochs 1, 2 and so on of the true log, in milliseconds.
    epoch_starts: Vec<i64>,
    endpoints: [TruePosition; 3],
    instances: [EpochHistory; 2],
    sessions: [Session; 4],
}

/// The group of all endpoints.
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
        for (index, endpoint) in self.endpoints.iter_mut().enumerate() {
            if index == promoted || (endpoint.epoch == current && endpoint.ms <= fork.ms) {
                endpoint.epoch = current + 1;
            }
        }
    }

    /// The instance notifies the session of a lost position. Otherwise it returns the endpoint's answer to the
    /// session, unless the answer is older than what the session has observed.
    fn read(&mut self, session: usize, instance: usize, endpoint: usize) -> TestCaseResult {
        let (instance, answer) = (&mut self.instances[instance], self.endpoints[endpoint]);
        let session = &mut self.sessions[session];
        let seen = session.positions.get(GROUP);
        if seen.is_some_and(|seen| instance.position_status(GROUP, seen) == Lost) {
            session.positions.remove(GROUP);
            session.positions.advance(GROUP, instance.restart_position(GROUP));
            session.last_answer = None;
            return Ok(());
        }
        let start_position = self.epoch_starts.get(answer.epoch as usize - 1).map(|start_ms| at(*start_ms));
        let epoch = Epoch { number: answer.epoch, start_position };
        instance.record(GROUP, epoch);
        if seen.is_none_or(|seen| instance.answer_includes(GROUP, seen, Some(epoch), Some(at(answer.ms)))) {
            check_answer(&self.epoch_starts, session.last_answer, answer)?;
            session.positions.advance(GROUP, position(answer.epoch, answer.ms));
            session.last_answer = Some(answer);
        }
        Ok(())
    }
}

/// Checks that an answer is not older than the previous one, and that no fork has removed the previous one from the
/// log.
fn check_answer(epoch_starts: &[i64], before: Option<TruePosition>, answer: TruePosition) -> TestCaseResult {
    let Some(before) = before else { return Ok(()) };
    let is_lost = (1u32..)
        .zip(epoch_starts)
        .any(|(epoch, start_ms)| epoch > before.epoch && epoch <= answer.epoch && *start_ms < before.ms);
    prop_assert!(!is_lost, "a loss was not reported to the session");
    prop_assert!(answer.ms >= before.ms, "answer at {} ms after one at {} ms", answer.ms, before.ms);
    Ok(())
}

proptest! {
    #![proptest_config(seeded_cases(256, 20_26))]

    #[test]
    fn token_preserves_positions_and_any_changed_byte_is_detected(
        seen in prop::collection::vec((0..i64::MAX, 0..9u32, 1..8_000_000_000_000i64), 0..24),
        changed_byte in any::<prop::sample::Index>(),
        change in 1..=255u8,
    ) {
        let seen: Vec<_> = seen.iter().map(|(group, epoch, ms)| (*group, position(*epoch, *ms))).collect();
        let presented = token(&seen);
        let keys = keys(BOTH_KEYS);
        let text = keys.issue(&presented, "a/b").expect("a token that fits");
        prop_assert!(text.len() <= MAX_TOKEN_CHARS);
        prop_assert_eq!(keys.verify(&text, "a/b", NOW_S), Ok(presented));
        let mut bytes = text.into_bytes();
        let index = changed_byte.index(bytes.len());
        bytes[index] ^= change;
        if let Ok(changed) = String::from_utf8(bytes) {
            prop_assert!(keys.verify(&changed, "a/b", NOW_S).is_err());
        }
    }

    /// Endpoints lag, and failovers lose the end of the log. No session on either instance receives an answer older
    /// than what it has observed, unless it was notified of a loss in between.
    #[test]
    fn no_session_reads_older_data_without_a_reported_loss(steps in prop::collection::vec(any_step(), 1..300)) {
        let mut model = Model::new();
        for step in steps {
            model.apply(step)?;
        }
    }
}
