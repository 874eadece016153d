//! Runs sessions with kills of instances, replication lag and a failover against one build or two, and prints the
//! violated guarantees.

use clap::Parser;
use history_checker::Verdict;
use std::path::PathBuf;
use std::process::ExitCode;
use test_servers::comparison::{builds_to_compare, print_violations, NamedBuild};
use test_servers::each_seed;
use test_servers::sessions::{run_plan, Outcome, Plan};

/// Maximum number of violations that are printed for each run.
const VIOLATIONS_SHOWN: usize = 3;

/// Checks the guarantees of sessions and writes while instances are killed and a failover happens.
#[derive(Parser)]
struct Arguments {
    /// Executable of the daemon to test
    #[arg(long)]
    daemon: PathBuf,
    /// Executable of an earlier build without sessions and write journal, for comparison
    #[arg(long)]
    before: Option<PathBuf>,
    /// Number of runs, each with its own seed
    #[arg(long, default_value_t = 50)]
    seeds: u64,
    /// Seed of the first run; each later run uses the next number
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Number of kills of instances in each run
    #[arg(long, default_value_t = 10)]
    kills: usize,
    /// Number of concurrent runs
    #[arg(long, default_value_t = 4)]
    at_once: usize,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let mut failed = false;
    for compared in builds_to_compare(&arguments.daemon, arguments.before.as_deref()) {
        let has_violations = run_build(&compared, &arguments);
        failed |= has_violations && compared.build.has_operator_file;
    }
    ExitCode::from(u8::from(failed))
}

/// A plan and the result of its run.
struct Run {
    plan: Plan,
    outcome: Outcome,
}

/// Runs the plans of all seeds with a build and prints the results. Returns whether a run violated a guarantee.
fn run_build(compared: &NamedBuild, arguments: &Arguments) -> bool {
    let NamedBuild { name, build } = compared;
    let seeds = arguments.first..arguments.first + arguments.seeds;
    let runs = each_seed(seeds, arguments.at_once, |seed| {
        let plan = Plan::random(seed, arguments.kills);
        let outcome = run_plan(&plan, build).expect("the run could not be set up");
        Run { plan, outcome }
    });
    let (mut sum, mut failed_runs) = (Verdict::default(), 0);
    for Run { plan, outcome } in &runs {
        sum.add(outcome.verdict.clone());
        if !outcome.verdict.violations.is_empty() {
            failed_runs += 1;
            println!("  {name}: guarantees violated: {plan:?}");
            print_violations(&outcome.verdict, VIOLATIONS_SHOWN);
        }
    }
    let total = |value: fn(&Outcome) -> usize| runs.iter().map(|run| value(&run.outcome)).sum::<usize>();
    let (run_count, violations_by_rule) = (runs.len(), sum.violation_counts());
    let (requests, succeeded) = (sum.requests, sum.succeeded);
    println!(
        "{name}: {failed_runs} of {run_count} runs violated a guarantee \
         (violations by rule: {violations_by_rule:?}); {} kills, {requests} requests, {succeeded} served",
        total(|run| run.kills)
    );
    println!(
        "{name}: {} writes in doubt, of which {} had their fate reported and {} were served when sent again; \
         {} losses of observed data reported to sessions",
        total(|run| run.writes_in_doubt),
        total(|run| run.fates_reported),
        total(|run| run.served_on_retry),
        total(|run| run.losses_reported)
    );
    failed_runs > 0
}
