//! The operators' file: words, units, faults with their lines, and whatever text comes.

use operator_config::{parse, split, EndpointIdentity, LogFormat};
use proptest::prelude::*;
use proptest_support::seeded_cases;
use std::path::PathBuf;
use std::time::Duration;

#[test]
fn keywords_take_their_values_and_all_else_stays_off() {
    let text = "# kept over a restart\n\nstate-dir \"/var/lib/ginger wick\" # quoted\nsave-gap 250ms\n\
        store-identity postgres\nlog-format json\nlog-level warn\nlog-buffer 1MB\n";
    let settings = parse(text).expect("all fit");
    assert_eq!(settings.state_dir, Some(PathBuf::from("/var/lib/ginger wick")));
    assert_eq!(settings.save_interval, Duration::from_millis(250));
    assert_eq!(
        (settings.endpoint_identity, settings.log_format),
        (EndpointIdentity::Postgres, LogFormat::Json)
    );
    assert_eq!(settings.log_buffer, 1_000_000);
    let none = parse("").expect("an empty file is one");
    assert_eq!((none.state_dir, none.endpoint_identity), (None, EndpointIdentity::None));
}

#[test]
fn all_faults_are_said_at_once_with_their_lines() {
    let text = "state-dri /var\nsave-gap 5ms\nstate-dir here\nsave-gap 1s\nlog-format\nfrobnicate 1\n\
        log-buffer \"12\nlog-level loud\n";
    let faults = parse(text).expect_err("much is wrong");
    let said: Vec<String> = faults.iter().map(|fault| fault.to_string()).collect();
    for (words, nth) in [
        ("1: state-dri: is no keyword; is state-dir meant?", 0),
        ("2: save-gap: \"5ms\" is not between 100ms and 1h", 1),
        ("3: state-dir: \"here\" is not an absolute path", 2),
        ("4: save-gap: stands on line 2 already", 3),
        ("5: log-format: takes one value, not 0", 4),
        ("6: frobnicate: is no keyword", 5),
        ("7: a quote is not closed", 6),
        ("8: log-level: \"loud\" is none of error, warn, info, debug", 7),
    ] {
        assert_eq!(said.get(nth).map(String::as_str), Some(words));
    }
}

#[test]
fn classes_of_clients_stand_on_a_line_each() {
    let text = "admit desk from 10.20.0.0/16,10.30.4.7,2001:db8::/32 keep 40 most 80\n\
        admit others each 20 rate 50 burst 200\nadmit-prefix-4 24\n";
    let settings = parse(text).expect("all fit");
    let [desk, others] = &settings.client_classes[..] else { panic!("two classes") };
    let networks: Vec<String> = desk.networks.iter().map(|range| range.to_string()).collect();
    assert_eq!(networks, ["10.20.0.0/16", "10.30.4.7/32", "2001:db8::/32"]);
    assert_eq!(
        (desk.reserved, desk.max_connections, desk.max_per_address, desk.rate),
        (40, Some(80), None, None)
    );
    assert_eq!(
        (others.max_per_address, others.rate.map(|rate| (rate.per_second, rate.burst))),
        (Some(20), Some((50, 200)))
    );
    assert_eq!((settings.address_prefixes.v4, settings.address_prefixes.v6), (24, 64));
    let rate = parse("admit others rate 7\n").expect("fits").client_classes[0].rate;
    assert_eq!(rate.map(|rate| rate.burst), Some(7), "a second's worth at once");
    for (line, why) in [
        ("admit", "names no class"),
        ("admit a,b", "is no name"),
        ("admit desk from", "from has no value"),
        ("admit desk from 10.0.0.0/33", "from: "),
        ("admit others each 0", "each: \"0\" is not between 1 and 100000"),
        ("admit others burst 5", "a burst stands behind its rate"),
        ("admit others each 1 each 2", "each stands there twice"),
        ("admit others weight 1001", "weight: is over 1000"),
        ("admit desk user a,,b", "user: \"\" is no name of 1 to 63 bytes"),
        ("admit a user x\nadmit b user y,x", "user x stands in two classes"),
        ("rpcs-at-once 0", "is not between 1 and 100000"),
        ("repeats 10", "is no part, as 10% is"),
        ("repeats 101%", "is not between 0 and 100"),
        ("rpcs-target 2s", "is not between 1ms and 1s"),
        ("operators-socket here", "is not an absolute path"),
        (
            "admit others least 4",
            "\"least\" is none of from, user, keep, most, each, rate, burst, weight, rpcs",
        ),
        ("admit desk each 4", "desk has no ranges and no users"),
        ("admit others from 10.0.0.0/8", "others are those in no other class"),
        ("admit others each 4\nadmit others each 5", "others is there twice"),
        ("admit-prefix-6 65", "is not between 16 and 64"),
        ("admits others", "is no keyword; is admit meant?"),
    ] {
        let faults = parse(line).expect_err(line);
        assert!(faults.iter().any(|fault| fault.to_string().contains(why)), "{line}: {faults:?}");
    }
}

#[test]
fn rpcs_have_turns_once_a_line_says_so() {
    assert_eq!(parse("admit others each 4 weight 2\n").expect("fits").concurrency_limits(), None);
    let concurrency_limits =
        parse("admit desk user clerk from 10.0.0.0/8 rpcs 5\n").expect("fits").concurrency_limits();
    assert_eq!(
        concurrency_limits
            .map(|concurrency_limits| (concurrency_limits.max_in_flight, concurrency_limits.retry_percent)),
        Some((100_000, None))
    );
    let text = "rpcs-at-once 50\nrepeats 20%\nrpcs-target 5ms\noperators-socket /run/g.sock\n";
    let settings = parse(text).expect("all fit");
    let concurrency_limits = settings.concurrency_limits().expect("they have");
    assert_eq!(
        (concurrency_limits.max_in_flight, concurrency_limits.max_waiting, concurrency_limits.retry_percent),
        (50, 200, Some(20))
    );
    assert_eq!(concurrency_limits.target_wait, routing::time::TimeDelta::from_millis(5));
}

proptest! {
    #![proptest_config(seeded_cases(512, 20_26))]

    #[test]
    fn any_text_is_settings_or_faults_on_lines_that_it_has(text in "(\\PC|[\"#\\\\ \n]|state-dir |save-gap ){0,200}") {
        if let Err(faults) = parse(&text) {
            let lines = text.lines().count();
            prop_assert!(!faults.is_empty());
            prop_assert!(faults.iter().all(|fault| (1..=lines).contains(&fault.line)));
        }
    }

    #[test]
    fn quoting_any_words_gives_them_back(words in prop::collection::vec("[^\n]{0,20}", 0..6)) {
        let quote = |value: &String| format!("\"{}\"", value.replace('\\', "\\\\").replace('"', "\\\""));
        let line: Vec<String> = words.iter().map(quote).collect();
        prop_assert_eq!(split(&line.join(" ")), Ok(words));
    }
}
