//! The parser of the operators' file: keywords, units and ranges of values, client classes, error messages with their
//! line numbers, and arbitrary text.

use admission::concurrency_limiter::ConcurrencyLimits;
use admission::ConnectionRate;
use operator_config::{parse, tokenize, EndpointIdentity, LogFormat};
use proptest::prelude::*;
use proptest_support::seeded_cases;
use routing::time::TimeDelta;
use std::path::PathBuf;
use std::time::Duration;

#[test]
fn keywords_set_values_and_missing_keywords_leave_defaults() {
    let text = "# survives a restart\n\nstate-dir \"/var/lib/ginger wick\" # quoted\nsave-gap 250ms\n\
        store-identity postgres\nlog-format json\nlog-level warn\nlog-buffer 1MB\n";
    let settings = parse(text).expect("valid settings");
    assert_eq!(settings.storage.state_dir, Some(PathBuf::from("/var/lib/ginger wick")));
    assert_eq!(settings.storage.min_save_interval, Duration::from_millis(250));
    assert_eq!(
        (settings.endpoint_identity, settings.log.format),
        (EndpointIdentity::Postgres, LogFormat::Json)
    );
    assert_eq!(settings.log.max_queued_bytes, 1_000_000);
    let defaults = parse("").expect("an empty file is valid");
    assert_eq!((defaults.storage.state_dir, defaults.endpoint_identity), (None, EndpointIdentity::None));
}

#[test]
fn each_invalid_line_is_reported_with_its_number_and_keyword() {
    let text = "state-dri /var\nsave-gap 5ms\nstate-dir here\nsave-gap 1s\nlog-format\nfrobnicate 1\n\
        log-buffer \"12\nlog-level loud\n";
    let errors = parse(text).expect_err("an error on each line");
    let messages: Vec<String> = errors.iter().map(|error| error.to_string()).collect();
    let expected = [
        "1: state-dri: unknown keyword; did you mean state-dir?",
        "2: save-gap: \"5ms\" is not between 100ms and 1h",
        "3: state-dir: \"here\" is not an absolute path",
        "4: save-gap: already set on line 2; it may be set only once",
        "5: log-format: expected one value, found 0",
        "6: frobnicate: unknown keyword",
        "7: missing closing quote",
        "8: log-level: \"loud\" is not one of error, warn, info, debug",
    ];
    assert_eq!(messages, expected);
}

#[test]
fn a_client_class_line_sets_networks_and_connection_limits() {
    let text = "admit desk from 10.20.0.0/16,10.30.4.7,2001:db8::/32 keep 40 most 80\n\
        admit others each 20 rate 50 burst 200\nadmit-prefix-4 24\n";
    let settings = parse(text).expect("valid settings");
    let [desk, others] = &settings.admission.clients.classes[..] else { panic!("two classes") };
    let networks: Vec<String> = desk.networks.iter().map(|network| network.to_string()).collect();
    assert_eq!(networks, ["10.20.0.0/16", "10.30.4.7/32", "2001:db8::/32"]);
    assert_eq!((desk.reserved, desk.max_connections), (40, Some(80)));
    assert_eq!((desk.max_per_address, desk.rate), (None, None));
    assert_eq!(others.max_per_address, Some(20));
    assert_eq!(others.rate, Some(ConnectionRate { per_second: 50, burst: 200 }));
    assert_eq!((settings.admission.clients.prefixes.v4, settings.admission.clients.prefixes.v6), (24, 64));
    let default_burst =
        parse("admit others rate 7\n").expect("valid settings").admission.clients.classes[0].rate;
    assert_eq!(
        default_burst.map(|rate| rate.burst),
        Some(7),
        "the default burst is the connections of one second"
    );
}

/// Asserts that parsing each text gives an error whose message contains the expected part.
fn assert_each_has_error(cases: &[(&str, &str)]) {
    for (text, expected) in cases {
        let errors = parse(text).expect_err(text);
        let is_reported = errors.iter().any(|error| error.to_string().contains(expected));
        assert!(is_reported, "{text}: {errors:?}");
    }
}

#[test]
fn invalid_client_classes_are_reported() {
    assert_each_has_error(&[
        ("admit", "missing class name; expected admit NAME [PROPERTY VALUE]..."),
        ("admit a,b", "\"a,b\" is not a class name; expected 1 to 32 ASCII letters, digits, - or _"),
        ("admit desk from", "missing value of property \"from\""),
        ("admit desk from 10.0.0.0/33", "from: \"10.0.0.0/33\" is not an IP address or network: expected for"),
        ("admit others each 0", "each: \"0\" is not an integer between 1 and 100000"),
        ("admit others burst 5", "burst: must follow the property rate on the same line"),
        ("admit others each 1 each 2", "property \"each\" is set more than once"),
        ("admit others weight 1001", "weight: \"1001\" is not an integer between 1 and 1000"),
        ("admit desk user a,,b", "user: \"\" is not a user name; expected 1 to 63 bytes"),
        (
            "admit others least 4",
            "unknown property \"least\"; expected one of from, user, keep, most, each, rate, burst, weight, rpcs",
        ),
        ("admits others", "unknown keyword; did you mean admit?"),
    ]);
}

#[test]
fn inconsistent_client_classes_are_reported_by_name() {
    assert_each_has_error(&[
        ("admit a user x\nadmit b user y,x", "classes a and b both list user x and have no networks (from)"),
        (
            "admit a from 10.0.0.0/8\nadmit b from 10.0.0.0/8",
            "classes a and b both list network 10.0.0.0/8 (from) for the same clients",
        ),
        ("admit desk each 4", "class desk matches no client; it requires from, user or both"),
        (
            "admit others from 10.0.0.0/8",
            "class others is for clients that match no other class; it cannot have from or user",
        ),
        ("admit others each 4\nadmit others each 5", "class others is defined more than once"),
        (
            "admit others keep 5 most 4",
            "class others reserves more connections (keep 5) than its maximum (most 4)",
        ),
    ]);
}

#[test]
fn invalid_values_are_reported_with_the_allowed_ones() {
    assert_each_has_error(&[
        ("rpcs-at-once 0", "\"0\" is not an integer between 1 and 100000"),
        ("rpcs-waiting 1.5", "\"1.5\" is not an integer between 0 and 100000"),
        ("repeats 10", "\"10\" is not an integer percentage between 0% and 100%"),
        ("repeats 101%", "\"101%\" is not an integer percentage between 0% and 100%"),
        ("rpcs-target 2s", "\"2s\" is not between 1ms and 1s"),
        ("save-gap 250", "\"250\" is not a duration: time unit needed"),
        ("log-buffer 64XB", "\"64XB\" is not a size: expected a number and a unit, for example 64kB or 1MB"),
        ("log-buffer 1kB", "\"1kB\" is not between 4kB and 16MB"),
        ("operators-socket here", "\"here\" is not an absolute path"),
        ("admit-prefix-6 65", "\"65\" is not an integer between 16 and 64"),
    ]);
}

#[test]
fn misplaced_quotes_and_escapes_are_reported() {
    assert_each_has_error(&[
        ("state-dir \"/a\\b\"", "invalid escape sequence in a quoted value; expected \\\" or \\\\"),
        (
            "state-dir \"/a\"b",
            "unexpected character after a closing quote; expected a space, # or the end of the line",
        ),
        ("state-dir /a\"b\"", "unexpected quote within a value; expected quotes around the whole value"),
    ]);
}

#[test]
fn requests_are_limited_only_if_a_line_sets_a_request_limit() {
    let limits = |text: &str| parse(text).expect("valid settings").concurrency_limits();
    assert_eq!(limits("admit others each 4 weight 2\n"), None);
    let of_class = limits("admit desk user clerk from 10.0.0.0/8 rpcs 5\n").expect("a limit of a class");
    assert_eq!((of_class.max_in_flight, of_class.retry_percent), (100_000, None));
    let text = "rpcs-at-once 50\nrepeats 20%\nrpcs-target 5ms\noperators-socket /run/g.sock\n";
    let expected = ConcurrencyLimits {
        max_in_flight: 50,
        max_waiting: 200,
        target_wait: TimeDelta::from_millis(5),
        retry_percent: Some(20),
    };
    assert_eq!(limits(text), Some(expected));
}

proptest! {
    #![proptest_config(seeded_cases(512, 20_26))]

    #[test]
    fn any_text_gives_settings_or_errors_with_valid_line_numbers(text in "(\\PC|[\"#\\\\ \n]|state-dir |save-gap ){0,200}") {
        if let Err(errors) = parse(&text) {
            let lines = text.lines().count();
            prop_assert!(!errors.is_empty());
            prop_assert!(errors.iter().all(|error| (1..=lines).contains(&error.line)));
        }
    }

    #[test]
    fn quoted_values_are_tokenized_to_the_same_values(values in prop::collection::vec("[^\n]{0,20}", 0..6)) {
        let quote = |value: &String| format!("\"{}\"", value.replace('\\', "\\\\").replace('"', "\\\""));
        let line: Vec<String> = values.iter().map(quote).collect();
        prop_assert_eq!(tokenize(&line.join(" ")), Ok(values));
    }
}
