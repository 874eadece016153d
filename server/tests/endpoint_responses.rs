//! Tests without a socket: parsing of answers from endpoints. They cover answers split at any byte, corrupted answers,
//! attempt outcomes, and load reports.

mod common {
    pub mod message;
    pub mod value_messages;
}

use common::message::message;
use common::value_messages::{value_messages, ONE_COLUMN};
use proptest::prelude::*;
use routing::time::Timestamp;
use routing::{AttemptOutcome, Role};
use server::endpoints::load_report;
use server::endpoints::response_parser::ResponseParser;
use server::protocol::decode::first_row_value;
use server::protocol::encode::{error_response_with_code, Severity};
use server::protocol::framing::{parse_frame, MAX_VALUE_BYTES};
use server::runtime::clock::{timestamp_from_unix_ms, timestamp_from_unix_s};

/// The position in [`replica_answer`].
const POSITION: Timestamp = Timestamp(1_767_225_600_123_000_000);

/// Encodes a complete answer from a replica with one value.
fn replica_answer(value: &[u8]) -> Vec<u8> {
    let parameters = [message(b'S', b"recovery\0on\0"), message(b'S', b"lsn_ms\x001767225600123\0")];
    [&value_messages(value)[..], &parameters.concat(), &message(b'Z', b"I")].concat()
}

/// The tags of all complete messages, followed by a question mark if an incomplete message follows.
fn message_tags(bytes: &[u8]) -> String {
    let (mut tags, mut at) = (String::new(), 0);
    while let Ok(Some(frame)) = parse_frame(bytes, at, MAX_VALUE_BYTES) {
        tags.push(frame.tag as char);
        at = frame.body.end;
    }
    tags + if at == bytes.len() { "" } else { "?" }
}

/// Parses growing prefixes of an answer until its outcome is known. Returns the outcome and the length of the last
/// prefix.
fn parse_in_parts(
    parser: &mut ResponseParser,
    bytes: &[u8],
    cuts: Vec<usize>,
) -> (Option<AttemptOutcome>, usize) {
    let mut end = 0;
    for cut in cuts.into_iter().chain([usize::MAX]) {
        end = cut.saturating_add(end).min(bytes.len());
        let outcome = parser.parse(&bytes[..end]);
        if outcome.is_some() {
            return (outcome, end);
        }
    }
    (None, end)
}

/// Corrupts `bytes` at an offset. `kind` 0 truncates them, 1 inserts a byte, 2 replaces a byte, and 3 removes up to
/// `byte` bytes.
fn corrupt(bytes: &mut Vec<u8>, at: usize, kind: usize, byte: u8) {
    let at = at % (bytes.len() + 1);
    match kind {
        0 => bytes.truncate(at),
        1 => bytes.insert(at, byte),
        2 if at < bytes.len() => bytes[at] = byte,
        _ => drop(bytes.drain(at..(at + usize::from(byte)).min(bytes.len()))),
    }
}

proptest! {
    #[test]
    fn random_bytes_from_an_endpoint_cause_no_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        ResponseParser::default().parse(&bytes);
        load_report::parse(&String::from_utf8_lossy(&bytes));
    }

    #[test]
    fn a_parsed_answer_does_not_depend_on_how_the_bytes_are_split(
        value in prop::collection::vec(any::<u8>(), 0..5000),
        cuts in prop::collection::vec(1usize..400, 0..30),
        surplus in prop::collection::vec(any::<u8>(), 0..9),
    ) {
        let (forwarded, bytes) = (value_messages(&value), replica_answer(&value));
        let mut parser = ResponseParser::default();
        let (outcome, end) = parse_in_parts(&mut parser, &bytes, cuts);
        prop_assert_eq!(outcome, Some(AttemptOutcome::Succeeded));
        prop_assert_eq!(end, bytes.len(), "the outcome was known before the last byte");
        prop_assert!(parser.leaves_connection_reusable(&bytes), "the connection was not reusable");
        let with_surplus = [&bytes[..], &surplus].concat();
        prop_assert_eq!(parser.leaves_connection_reusable(&with_surplus), surplus.is_empty());
        prop_assert_eq!(&parser.value(bytes.clone()), &forwarded, "the forwarded value was changed");
        prop_assert_eq!(first_row_value(&forwarded), Some(&value[..]));
        let report = parser.metadata().answer_report;
        prop_assert_eq!(report.role, Some(Role::Replica));
        prop_assert_eq!(report.position, Some(POSITION));
    }

    #[test]
    fn a_corrupted_answer_gives_a_complete_value_or_an_error(
        value in prop::collection::vec(any::<u8>(), 0..300),
        corruptions in prop::collection::vec((0usize..400, 0usize..4, any::<u8>()), 1..4),
        cuts in prop::collection::vec(1usize..40, 0..30),
    ) {
        let mut bytes = replica_answer(&value);
        for (at, kind, byte) in corruptions {
            corrupt(&mut bytes, at, kind, byte);
        }
        let mut parser = ResponseParser::default();
        let (outcome, end) = parse_in_parts(&mut parser, &bytes, cuts);
        let unsplit_outcome = ResponseParser::default().parse(&bytes[..end]);
        prop_assert_eq!(unsplit_outcome, outcome, "the outcome depends on how the answer is split");
        if parser.outcome(AttemptOutcome::ConnectionLost) == AttemptOutcome::Succeeded {
            let value = parser.value(bytes.clone());
            let is_complete = first_row_value(&value).is_some() && message_tags(&value) == "TDC";
            prop_assert!(is_complete, "the value is not one complete row of one column");
        }
        if outcome == Some(AttemptOutcome::Failed) && !parser.leaves_connection_reusable(&bytes) {
            let position = parser.metadata().answer_report.position;
            prop_assert!(position.is_none(), "a corrupted answer reported a position");
        }
    }
}

/// The outcome of these messages if the connection is lost after them, and whether the connection could be reused.
fn outcome_and_reusability(messages: &[&[u8]]) -> (AttemptOutcome, bool) {
    let (mut parser, bytes) = (ResponseParser::default(), messages.concat());
    let outcome = parser.parse(&bytes).unwrap_or_else(|| parser.outcome(AttemptOutcome::ConnectionLost));
    (outcome, parser.leaves_connection_reusable(&bytes))
}

fn error_message(code: &str) -> Vec<u8> {
    let mut out = Vec::new();
    error_response_with_code(&mut out, Severity::Error, code, "message", None);
    out
}

/// Checks the outcome of each error code, with and without a ReadyForQuery message after the error.
fn assert_error_code_outcomes(ready: &[u8]) {
    for (code, outcome) in [
        ("25006", AttemptOutcome::NotEligible),
        ("72000", AttemptOutcome::NotEligible),
        ("XX000", AttemptOutcome::Failed),
        ("57P03", AttemptOutcome::Failed),
        ("53300", AttemptOutcome::Rejected),
    ] {
        assert_eq!(outcome_and_reusability(&[&error_message(code), ready]), (outcome, true), "error {code}");
        assert_eq!(
            outcome_and_reusability(&[&error_message(code)]),
            (outcome, false),
            "error {code} without ReadyForQuery"
        );
        assert_eq!(outcome.proves_not_executed(), outcome != AttemptOutcome::Failed, "error {code}");
    }
}

#[test]
fn each_message_sequence_has_its_attempt_outcome() {
    use AttemptOutcome::{ConnectionLost, Failed, Succeeded};
    let ready = &message(b'Z', b"I")[..];
    let row = &message(b'D', &[0, 1, 0, 0, 0, 1, 7])[..];
    let complete = &message(b'C', b"SELECT 1\0")[..];
    let description = &message(b'T', ONE_COLUMN)[..];
    let parameter = &message(b'S', b"recovery\0on\0")[..];
    let too_long = &message(b'D', &vec![7; MAX_VALUE_BYTES])[..];
    let cases: [(&[&[u8]], AttemptOutcome, bool, &str); 21] = [
        (&[description, row, complete, ready], Succeeded, true, "a value"),
        (&[parameter, description, row, parameter, complete, ready], Succeeded, true, "with parameters"),
        (&[description, row, complete], Succeeded, false, "a complete answer without ReadyForQuery"),
        (&[description, row, complete, ready, ready], Succeeded, false, "surplus bytes after an answer"),
        (&[description, row], ConnectionLost, false, "an incomplete answer"),
        (&[], ConnectionLost, false, "no message"),
        (&[description, complete, ready], Failed, false, "no row"),
        (&[description, row, row, complete, ready], Failed, false, "two rows"),
        (&[row, complete, ready], Failed, false, "a row without its description"),
        (&[description, row, complete, row], Failed, false, "a row after CommandComplete"),
        (&[description, row, &error_message("53300"), ready], Failed, true, "an error after a row"),
        (&[&message(b'T', &ONE_COLUMN[..9]), row], Failed, false, "half a row description"),
        (&[description, &message(b'D', &[0, 1, 0, 0, 0, 2, 7])], Failed, false, "a truncated column"),
        (&[description, &message(b'D', &[0, 2, 0, 0, 0, 1, 7])], Failed, false, "two declared columns"),
        (&[description, &message(b'D', &[0, 1, 255, 255, 255, 255])], Failed, false, "a null value"),
        (&[description, too_long], Failed, false, "a value over the limit"),
        (&[&message(b'A', b"x\0")], Failed, false, "an unexpected tag"),
        (&[&message(b'E', b"SERROR\0C53300\0")], Failed, false, "an error without its final zero byte"),
        (&[&message(b'E', b"SERROR\0\0")], Failed, false, "an error without a code"),
        (&[&message(b'S', &vec![b'x'; 9000])], Failed, false, "parameters over the size limit"),
        (&[ready], Failed, false, "only ReadyForQuery"),
    ];
    for (messages, outcome, is_reusable, case) in cases {
        assert_eq!(outcome_and_reusability(messages), (outcome, is_reusable), "{case}");
    }
    assert_error_code_outcomes(ready);
}

#[test]
fn positions_are_converted_from_seconds_and_milliseconds() {
    assert_eq!(timestamp_from_unix_ms(1_767_225_600_123.0), Some(POSITION));
    assert_eq!(timestamp_from_unix_s(1_767_225_600.123), Some(POSITION));
    assert_eq!(load_report::parse("x0=1767225600.123,x1=1,load_share=0.25").position, Some(POSITION));
    for invalid in [f64::NAN, f64::INFINITY, -1.0, 0.0, 1e300] {
        assert_eq!(
            (timestamp_from_unix_ms(invalid), timestamp_from_unix_s(invalid)),
            (None, None),
            "{invalid}"
        );
    }
    let report = load_report::parse("x1=0,util=0.61,new=7");
    assert_eq!((report.role, report.load, report.position), (Some(Role::Replica), Some(0.61), None));
}

#[test]
fn a_load_report_with_an_invalid_field_is_ignored() {
    for invalid in
        ["x1=0,util=0.61,broken", "x1=2", "x0=nan,x1=1", "x0=-5", "util=inf", "x0=1e9,x1=1", "x1=+1", ""]
    {
        let report = load_report::parse(invalid);
        let fields = (report.position, report.role, report.load);
        assert!(fields == (None, None, None), "fields of {invalid:?} were reported");
    }
}
