//! Comparison of two builds of the daemon in the experiments, and the output for rules that a run broke.

use crate::Build;
use history_checker::Verdict;
use std::path::Path;

/// A build with its name in the output.
#[derive(Clone, Copy, Debug)]
pub struct NamedBuild<'a> {
    /// The name.
    pub name: &'static str,
    /// The build.
    pub build: Build<'a>,
}

/// The build under test, then the earlier build that it is compared with, if there is one.
pub fn builds_to_compare<'a>(daemon: &'a Path, before: Option<&'a Path>) -> Vec<NamedBuild<'a>> {
    let under_test =
        NamedBuild { name: "this build", build: Build { program: daemon, has_operator_file: true } };
    let earlier =
        |program: &'a Path| NamedBuild { name: "before", build: Build { program, has_operator_file: false } };
    std::iter::once(under_test).chain(before.map(earlier)).collect()
}

/// Prints the first violations of a verdict, `max_shown` at most, one a line.
pub fn print_violations(verdict: &Verdict, max_shown: usize) {
    verdict.violations.iter().take(max_shown).for_each(|violation| println!("    {violation:?}"));
}
