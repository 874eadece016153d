//! Starts after random faults: which rules broke, and whether writes are served again.

use crate::{builds, Arguments, DISCOVERY_DOWN};
use history_checker::Verdict;
use std::process::ExitCode;
use std::time::Duration;
use test_servers::comparison::{print_violations, NamedBuild};
use test_servers::each_seed;
use test_servers::restart::{run_plan, Outcome, Phases, Plan};

/// Long enough after the return of discovery that all groups with a primary serve writes.
const DISCOVERY_BACK: Duration = Duration::from_millis(5_500);
const VIOLATIONS_SHOWN: usize = 4;

/// A plan and the result of its run.
struct Run {
    plan: Plan,
    outcome: Outcome,
}

/// Runs drawn faults with each build. Fails if this build violated a rule.
pub fn run_faults(arguments: &Arguments) -> ExitCode {
    let phases = Phases { discovery_down: DISCOVERY_DOWN, discovery_back: DISCOVERY_BACK };
    let mut failed = false;
    for NamedBuild { name, build } in builds(arguments) {
        let seeds = arguments.first..arguments.first + arguments.seeds;
        let runs = each_seed(seeds, arguments.at_once, |seed| {
            let plan = Plan::random(seed);
            let outcome = run_plan(&plan, &build, phases).expect("a plan can be run here");
            Run { plan, outcome }
        });
        for Run { plan, outcome } in &runs {
            print_failure(plan, outcome, build.has_operator_file, arguments.logs);
        }
        print_summary(name, &runs);
        let broke = runs.iter().any(|run| !run.outcome.verdict.violations.is_empty());
        failed |= broke && build.has_operator_file;
    }
    ExitCode::from(u8::from(failed))
}

fn print_failure(plan: &Plan, outcome: &Outcome, expects_writes: bool, logs: bool) {
    let (writing, able) = (outcome.groups_writing, outcome.groups_with_primary);
    let lacks_writes = expects_writes && writing < able;
    let is_broken = !outcome.verdict.violations.is_empty();
    if lacks_writes {
        println!("  seed {}: {writing} of {able} groups write in the end: {plan:?}", plan.seed);
    }
    if is_broken {
        println!("  seed {}: {plan:?}", plan.seed);
        print_violations(&outcome.verdict, VIOLATIONS_SHOWN);
    }
    if logs && (lacks_writes || is_broken) {
        outcome.log.lines().for_each(|line| println!("    | {line}"));
    }
}

fn print_summary(name: &str, runs: &[Run]) {
    let mut sum = Verdict::default();
    runs.iter().for_each(|run| sum.add(run.outcome.verdict.clone()));
    let count = |matches: fn(&Outcome) -> bool| runs.iter().filter(|run| matches(&run.outcome)).count();
    let total = |value: fn(&Outcome) -> usize| runs.iter().map(|run| value(&run.outcome)).sum::<usize>();
    let (plans, broke) = (runs.len(), count(|run| !run.verdict.violations.is_empty()));
    let broken_rules = sum.violation_counts();
    let (requests, succeeded) = (sum.requests, sum.succeeded);
    println!(
        "{name}: {broke} of {plans} plans broke a rule {broken_rules:?}; of {requests} requests {succeeded} ok"
    );
    let without_discovery = count(|run| run.wrote_without_discovery);
    let (writing, able) = (total(|run| run.groups_writing), total(|run| run.groups_with_primary));
    println!(
        "{name}: writes served while discovery was down in {without_discovery} of {plans} plans; after \
         discovery's return in {writing} of {able} groups with a primary in reach"
    );
}
