//! Cost of caching the endpoint list: reads per second with and without it.

use crate::Arguments;
use std::time::Duration;
use test_servers::restart::reads_per_second;

const CLIENTS: usize = 16;
/// How long reads are counted.
const DURATION: Duration = Duration::from_secs(3);

/// Measures both variants in pairs, and prints the medians and their ratio.
pub fn run_rate(arguments: &Arguments) {
    let (mut cached, mut plain) = (Vec::new(), Vec::new());
    for pair in 0..arguments.seeds {
        // Alternate the order, so that neither variant always runs first.
        for caches_list in [pair % 2 == 0, pair % 2 == 1] {
            let daemon = &arguments.daemon;
            let rate = reads_per_second(daemon, caches_list, CLIENTS, DURATION);
            let rates = if caches_list { &mut cached } else { &mut plain };
            rates.push(rate.expect("it can be run here"));
        }
    }
    let (cached, plain) = (median(cached), median(plain));
    println!(
        "reads answered a second, median of {} pairs: cached {cached:.0}, not {plain:.0}, ratio {:.3}",
        arguments.seeds,
        cached / plain
    );
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
