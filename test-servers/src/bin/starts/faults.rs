//! The `faults` experiment: starts after random faults, the rules that they violate, and whether writes are served
//! after discovery has returned.

use crate::{builds, Arguments, DISCOVERY_DOWN};
use history_checker::Verdict;
use std::process::ExitCode;
use std::time::Duration;
use test_servers::comparison::{print_violations, NamedBuild};
use test_servers::each_seed;
use test_servers::restart::{run_plan, Outcome, Phases, Plan};

/// How long a run continues after the return of discovery: long enough that all groups with a primary serve writes.
const DISCOVERY_BACK: Duration = Duration::from_millis(5_500);
/// Maximum number of violations that are printed for each run.
const VIOLATIONS_SHOWN: usize = 4;

/// A plan and the result of its run.
struct Run {
    plan: Plan,
    outcome: Outcome,
}

/// Runs the plans of all seeds with each build. Fails if a run of the build under test violated a rule.
pub fn run_faults(arguments: &Arguments) -> ExitCode {
    let phases = Phases { discovery_down: DISCOVERY_DOWN, discovery_back: DISCOVERY_BACK };
    let mut failed = false;
    for NamedBuild { name, build } in builds(arguments) {
        let seeds = arguments.first..arguments.first + arguments.seeds;
        let runs = each_seed(seeds, arguments.at_once, |seed| {
            let plan = Plan::random(seed);
            let outcome = run_plan(&plan, &build, phases).expect("the run could not be set up");
            Run { plan, outcome }
        });
        for Run { plan, outcome } in &runs {
            print_failure(plan, outcome, build.has_operator_file, arguments.logs);
        }
        print_summary(name, &runs);
        let has_violations = runs.iter().any(|run| !run.outcome.verdict.violations.is_empty());
        failed |= has_violations && build.has_operator_file;
    }
    ExitCode::from(u8::from(failed))
}

/// Prints a run that violated a rule, or in which a group with a primary served no writes after the return of
/// discovery. The latter is expected of builds that do not cache the endpoint list.
fn print_failure(plan: &Plan, outcome: &Outcome, expects_writes: bool, prints_log: bool) {
    let (groups_writing, groups_with_primary) = (outcome.groups_writing, outcome.groups_with_primary);
    let lacks_writes = expects_writes && groups_writing < groups_with_primary;
    let has_violations = !outcome.verdict.violations.is_empty();
    if lacks_writes {
        println!(
            "  seed {}: writes were served in only {groups_writing} of {groups_with_primary} groups with a \
             reachable primary after discovery returned: {plan:?}",
            plan.seed
        );
    }
    if has_violations {
        println!("  seed {}: rules violated: {plan:?}", plan.seed);
        print_violations(&outcome.verdict, VIOLATIONS_SHOWN);
    }
    if prints_log && (lacks_writes || has_violations) {
        outcome.log.lines().for_each(|line| println!("    | {line}"));
    }
}

fn print_summary(name: &str, runs: &[Run]) {
    let mut sum = Verdict::default();
    runs.iter().for_each(|run| sum.add(run.outcome.verdict.clone()));
    let count = |matches: fn(&Outcome) -> bool| runs.iter().filter(|run| matches(&run.outcome)).count();
    let total = |value: fn(&Outcome) -> usize| runs.iter().map(|run| value(&run.outcome)).sum::<usize>();
    let (run_count, failed_runs) = (runs.len(), count(|run| !run.verdict.violations.is_empty()));
    let violations_by_rule = sum.violation_counts();
    let (requests, succeeded) = (sum.requests, sum.succeeded);
    println!(
        "{name}: {failed_runs} of {run_count} runs violated a rule \
         (violations by rule: {violations_by_rule:?}); {succeeded} of {requests} requests were served"
    );
    let without_discovery = count(|run| run.wrote_without_discovery);
    let groups_writing = total(|run| run.groups_writing);
    let groups_with_primary = total(|run| run.groups_with_primary);
    println!(
        "{name}: writes were served while discovery was down in {without_discovery} of {run_count} runs, and \
         after discovery returned in {groups_writing} of {groups_with_primary} groups with a reachable primary"
    );
}
