//! The pages of the admin socket and the texts of the command line, as operators' programs read them: byte for byte those of
//! the files in `earlier/`.

mod cached_list;
#[path = "../common/mod.rs"]
mod common;
mod events;
mod fixture;

use cached_list::{run_on_list, run_on_nothing, CommandResult};
use fixture::Fixture;

/// The lines of a page of metrics in an order that does not change: the recorder has none.
fn sorted_lines(page: &str) -> Vec<&str> {
    let mut lines: Vec<&str> = page.lines().filter(|line| !line.is_empty()).collect();
    lines.sort_unstable();
    lines
}

/// The result of a command that ends with `code` and prints `text`.
fn result(code: i32, text: &str) -> CommandResult {
    CommandResult { code: Some(code), text: text.into() }
}

#[test]
fn the_earlier_pages_are_unchanged() {
    let fixture = Fixture::shared();
    assert_eq!(fixture.page("clients"), include_str!("earlier/clients.txt"));
    assert_eq!(fixture.page("limits"), include_str!("earlier/limits.txt"));
    assert_eq!(fixture.page("stores"), include_str!("earlier/stores.txt"));
    assert_eq!(fixture.page("rpcs"), include_str!("earlier/rpcs.txt"));
}

#[test]
fn the_earlier_metrics_are_unchanged() {
    let page = Fixture::shared().page("metrics");
    assert_eq!(sorted_lines(&page), sorted_lines(include_str!("earlier/metrics.txt")));
}

#[test]
fn the_earlier_texts_of_a_cached_list_are_unchanged() {
    assert_eq!(run_on_list(&["list", "show"]), result(0, include_str!("earlier/list-show.txt")));
    assert_eq!(run_on_list(&["list", "verify"]), result(0, include_str!("earlier/list-verify.txt")));
    let nothing = result(65, "query-router: PATH: no list that is whole\n");
    assert_eq!(run_on_nothing(&["list", "show"]), nothing);
    assert_eq!(run_on_nothing(&["list", "verify"]), nothing);
}
