//! The builds of the daemon that an experiment compares, and the output of the violations that it found.

use crate::Build;
use history_checker::Verdict;
use std::path::Path;

/// A build and its name in the output.
#[derive(Clone, Copy, Debug)]
pub struct NamedBuild<'a> {
    /// Name in the output.
    pub name: &'static str,
    /// Executable and capabilities.
    pub build: Build<'a>,
}

/// The build under test, followed by the earlier build `before` that it is compared with, if there is one. The
/// earlier build does not support operators' files.
pub fn builds_to_compare<'a>(daemon: &'a Path, before: Option<&'a Path>) -> Vec<NamedBuild<'a>> {
    let under_test =
        NamedBuild { name: "this build", build: Build { program: daemon, has_operator_file: true } };
    let earlier = |program: &'a Path| NamedBuild {
        name: "earlier build",
        build: Build { program, has_operator_file: false },
    };
    std::iter::once(under_test).chain(before.map(earlier)).collect()
}

/// Prints up to `max_shown` violations of a verdict, each on a line of its own.
pub fn print_violations(verdict: &Verdict, max_shown: usize) {
    verdict.violations.iter().take(max_shown).for_each(|violation| println!("    {violation:?}"));
}
