//! The `ages` experiment: starts without faults, and the time until the first read and the first write are served, by
//! the age of the cached list.

use crate::{builds, Arguments, DISCOVERY_DOWN};
use std::time::Duration;
use test_servers::comparison::NamedBuild;
use test_servers::restart::{run_plan, Outcome, Phases, Plan};
use test_servers::Build;

/// Ages of the cached list, in seconds.
const AGES_S: [i64; 5] = [5, 60, 3_600, 86_400, 200_000];
/// How long a run continues after the return of discovery: not longer than necessary, since only requests during the
/// outage matter.
const DISCOVERY_BACK: Duration = Duration::from_millis(10);

/// Runs all seeds with each age and each build, and prints the times until the first requests were served.
pub fn run_ages(arguments: &Arguments) {
    println!(
        "milliseconds from the start of the process until a request was served, median (maximum) of {} seeds",
        arguments.seeds
    );
    println!("{:<14} {:>10} {:>20} {:>20}", "build", "list age", "first read", "first write");
    for age_s in AGES_S {
        for NamedBuild { name, build } in builds(arguments) {
            let (mut reads, mut writes) = (Vec::new(), Vec::new());
            for seed in arguments.first..arguments.first + arguments.seeds {
                let outcome = run_without_faults(seed, age_s, &build);
                reads.push(outcome.first_served.read_ms.unwrap_or(f64::INFINITY));
                writes.push(outcome.first_served.write_ms.unwrap_or(f64::INFINITY));
            }
            println!("{name:<14} {age_s:>8} s {:>20} {:>20}", summary(reads), summary(writes));
        }
    }
}

fn run_without_faults(seed: u64, age_s: i64, build: &Build) -> Outcome {
    let phases = Phases { discovery_down: DISCOVERY_DOWN, discovery_back: DISCOVERY_BACK };
    run_plan(&Plan::without_faults(seed, age_s), build, phases).expect("the run could not be set up")
}

/// Formats the median and, in parentheses, the maximum of some times.
fn summary(mut times_ms: Vec<f64>) -> String {
    times_ms.sort_by(f64::total_cmp);
    format!("{:.0} ({:.0})", times_ms[times_ms.len() / 2], times_ms[times_ms.len() - 1])
}
