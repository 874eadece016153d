//! Checks the pages of the admin socket and the output of the commands, because the programs of operators parse them.
//! Under their earlier names they equal the files in `earlier/`, under their standard names those in `standard/`, byte
//! for byte.

mod cached_list;
mod events;
mod fixture;
#[path = "../common/router_program.rs"]
mod router_program;

use cached_list::{run_on_list, run_without_list, CommandResult};
use fixture::Fixture;

/// Samples of metrics, each under its earlier and its standard name.
const SAMPLES: [(&str, &str); 9] = [
    (
        r#"gingerwick_rpcs_total{method="view",answer="pushed back"}"#,
        r#"gingerwick_requests_total{method="view",outcome="rejected"}"#,
    ),
    (
        r#"gingerwick_call_outs_total{outcome="broken"}"#,
        r#"gingerwick_attempts_total{outcome="connection_lost"}"#,
    ),
    ("gingerwick_call_out_seconds_sum", "gingerwick_attempt_seconds_sum"),
    (r#"gingerwick_probes_total{outcome="full"}"#, r#"gingerwick_health_checks_total{outcome="rejected"}"#),
    ("gingerwick_turn_seconds_count", "gingerwick_queue_wait_seconds_count"),
    (
        r#"gingerwick_rpcs_shed_total{class="desk",why="rpcs"}"#,
        r#"gingerwick_requests_shed_total{class="desk",reason="class_limit"}"#,
    ),
    (
        r#"gingerwick_connections_refused_total{class="desk",why="most"}"#,
        r#"gingerwick_connections_rejected_total{class="desk",reason="class_limit"}"#,
    ),
    (r#"gingerwick_rpcs_under_way{class="desk"}"#, r#"gingerwick_requests_in_flight{class="desk"}"#),
    ("gingerwick_rpcs_open", "gingerwick_requests_open"),
];

/// The lines of the metrics page in sorted order, because the recorder writes them in no fixed order.
fn sorted_lines(page: &str) -> Vec<&str> {
    let mut lines: Vec<&str> = page.lines().filter(|line| !line.is_empty()).collect();
    lines.sort_unstable();
    lines
}

/// The value of a sample on the metrics page, or `None` if the page has no such sample.
fn sample_value<'a>(page: &'a str, sample: &str) -> Option<&'a str> {
    page.lines().find_map(|line| line.strip_prefix(sample)?.strip_prefix(' '))
}

/// The result of a command that exits with `code` and prints `text`.
fn command_result(code: i32, text: &str) -> CommandResult {
    CommandResult { code: Some(code), text: text.into() }
}

#[test]
fn pages_under_their_earlier_names_are_unchanged() {
    let fixture = Fixture::shared();
    assert_eq!(fixture.page("clients"), include_str!("earlier/clients.txt"));
    assert_eq!(fixture.page("limits"), include_str!("earlier/limits.txt"));
    assert_eq!(fixture.page("stores"), include_str!("earlier/stores.txt"));
    assert_eq!(fixture.page("rpcs"), include_str!("earlier/rpcs.txt"));
}

#[test]
fn pages_under_their_standard_names_use_standard_terms() {
    let fixture = Fixture::shared();
    assert_eq!(fixture.page("connections"), include_str!("standard/connections.txt"));
    assert_eq!(fixture.page("resources"), include_str!("standard/resources.txt"));
    assert_eq!(fixture.page("endpoints"), include_str!("standard/endpoints.txt"));
    assert_eq!(fixture.page("requests"), include_str!("standard/requests.txt"));
    let expected_error = "unknown page \"x\"; the pages are clients, limits, stores, rpcs, \
                   connections, resources, endpoints, requests, metrics";
    assert_eq!(fixture.page_error("x"), expected_error);
}

#[test]
fn metrics_keep_their_earlier_names_and_add_only_the_standard_ones() {
    let page = Fixture::shared().page("metrics");
    let expected = [include_str!("earlier/metrics.txt"), include_str!("standard/metrics.txt")].concat();
    assert_eq!(sorted_lines(&page), sorted_lines(&expected));
}

#[test]
fn both_names_of_a_metric_have_the_same_value() {
    let page = Fixture::shared().page("metrics");
    for (earlier, standard) in SAMPLES {
        let earlier_value = sample_value(&page, earlier);
        assert!(
            earlier_value.is_some_and(|value| value != "0"),
            "{earlier} is {earlier_value:?}, not counted"
        );
        assert_eq!(sample_value(&page, standard), earlier_value, "{standard} differs from {earlier}");
    }
}

#[test]
fn list_commands_print_their_earlier_texts_unchanged() {
    assert_eq!(run_on_list(&["list", "show"]), command_result(0, include_str!("earlier/list-show.txt")));
    assert_eq!(run_on_list(&["list", "verify"]), command_result(0, include_str!("earlier/list-verify.txt")));
    let no_list = command_result(65, "query-router: PATH: no list that is whole\n");
    assert_eq!(run_without_list(&["list", "show"]), no_list);
    assert_eq!(run_without_list(&["list", "verify"]), no_list);
}

#[test]
fn cache_commands_print_a_cached_list_in_standard_terms() {
    assert_eq!(run_on_list(&["cache", "show"]), command_result(0, include_str!("standard/cache-show.txt")));
    assert_eq!(
        run_on_list(&["cache", "verify"]),
        command_result(0, include_str!("standard/cache-verify.txt"))
    );
    let no_list = command_result(65, "query-router: PATH: no complete list\n");
    assert_eq!(run_without_list(&["cache", "show"]), no_list);
    assert_eq!(run_without_list(&["cache", "verify"]), no_list);
}

#[test]
fn list_and_cache_json_have_the_same_version_and_first_name() {
    let version_and_first_name = |command| {
        let json: serde_json::Value =
            serde_json::from_str(&run_on_list(command).text).expect("the output is not JSON");
        (json["seq"].clone(), json["stores"][0]["host"].clone())
    };
    assert_eq!(
        version_and_first_name(&["list", "show", "--json"]),
        version_and_first_name(&["cache", "show", "--json"])
    );
}
