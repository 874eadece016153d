//! Runs sessions through kills, lag and a failover against one build or two, and prints which guarantees broke.

use clap::Parser;
use history_checker::Verdict;
use std::path::PathBuf;
use std::process::ExitCode;
use test_servers::comparison::{builds_to_compare, print_violations, NamedBuild};
use test_servers::each_seed;
use test_servers::sessions::{run_plan, Outcome, Plan};

const VIOLATIONS_SHOWN: usize = 3;

/// Sessions and writes while instances are killed.
#[derive(Parser)]
struct Arguments {
    /// The daemon to test
    #[arg(long)]
    daemon: PathBuf,
    /// An earlier build without sessions and journal, for comparison
    #[arg(long)]
    before: Option<PathBuf>,
    /// Runs
    #[arg(long, default_value_t = 50)]
    seeds: u64,
    /// The first seed
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Kills in each run
    #[arg(long, default_value_t = 10)]
    kills: usize,
    /// Runs at the same time
    #[arg(long, default_value_t = 4)]
    at_once: usize,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let mut failed = false;
    for compared in builds_to_compare(&arguments.daemon, arguments.before.as_deref()) {
        let is_broken = run_build(&compared, &arguments);
        failed |= is_broken && compared.build.has_operator_file;
    }
    ExitCode::from(u8::from(failed))
}

/// A plan and the result of its run.
struct Run {
    plan: Plan,
    outcome: Outcome,
}

/// Runs all seeds with a build and prints the results. Returns whether a guarantee was violated.
fn run_build(compared: &NamedBuild, arguments: &Arguments) -> bool {
    let NamedBuild { name, build } = compared;
    let seeds = arguments.first..arguments.first + arguments.seeds;
    let runs = each_seed(seeds, arguments.at_once, |seed| {
        let plan = Plan::random(seed, arguments.kills);
        let outcome = run_plan(&plan, build).expect("a plan can be run here");
        Run { plan, outcome }
    });
    let (mut sum, mut broke) = (Verdict::default(), 0);
    for Run { plan, outcome } in &runs {
        sum.add(outcome.verdict.clone());
        if !outcome.verdict.violations.is_empty() {
            broke += 1;
            println!("  {name}: {plan:?}");
            print_violations(&outcome.verdict, VIOLATIONS_SHOWN);
        }
    }
    let total = |value: fn(&Outcome) -> usize| runs.iter().map(|run| value(&run.outcome)).sum::<usize>();
    let (plans, broken_rules) = (runs.len(), sum.violation_counts());
    let (requests, succeeded) = (sum.requests, sum.succeeded);
    println!(
        "{name}: {broke} of {plans} plans broke a guarantee {broken_rules:?}; {} kills, {requests} requests, \
         {succeeded} ok",
        total(|run| run.kills)
    );
    println!(
        "{name}: {} writes in doubt, {} fates reported, {} served when sent again, {} losses reported",
        total(|run| run.writes_in_doubt),
        total(|run| run.fates_reported),
        total(|run| run.served_on_retry),
        total(|run| run.losses_reported)
    );
    broke > 0
}
