//! Starts without faults: how long the first read and the first write take, by the age of the cached list.

use crate::{builds, Arguments, DISCOVERY_DOWN};
use std::time::Duration;
use test_servers::comparison::NamedBuild;
use test_servers::restart::{run_plan, Outcome, Phases, Plan};
use test_servers::Build;

/// Ages of the cached list, in seconds.
const AGES_S: [i64; 5] = [5, 60, 3_600, 86_400, 200_000];
/// Short: only what is served while discovery is down is measured.
const DISCOVERY_BACK: Duration = Duration::from_millis(10);

/// Runs all seeds with each build and each age, and prints the times.
pub fn run_ages(arguments: &Arguments) {
    println!("ms from the start of the process, median (worst) of {} seeds", arguments.seeds);
    println!("{:<12} {:>10} {:>20} {:>20}", "build", "age", "first read", "first write");
    for age_s in AGES_S {
        for NamedBuild { name, build } in builds(arguments) {
            let (mut reads, mut writes) = (Vec::new(), Vec::new());
            for seed in arguments.first..arguments.first + arguments.seeds {
                let outcome = run_without_faults(seed, age_s, &build);
                reads.push(outcome.first_served.read_ms.unwrap_or(f64::INFINITY));
                writes.push(outcome.first_served.write_ms.unwrap_or(f64::INFINITY));
            }
            println!("{name:<12} {age_s:>8} s {:>20} {:>20}", summary(reads), summary(writes));
        }
    }
}

fn run_without_faults(seed: u64, age_s: i64, build: &Build) -> Outcome {
    let phases = Phases { discovery_down: DISCOVERY_DOWN, discovery_back: DISCOVERY_BACK };
    run_plan(&Plan::without_faults(seed, age_s), build, phases).expect("a plan can be run here")
}

/// Formats the median and the maximum of times.
fn summary(mut times_ms: Vec<f64>) -> String {
    times_ms.sort_by(f64::total_cmp);
    format!("{:.0} ({:.0})", times_ms[times_ms.len() / 2], times_ms[times_ms.len() - 1])
}
