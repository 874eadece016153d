//! The `rate` experiment: reads per second with and without caching of the endpoint list.

use crate::Arguments;
use std::time::Duration;
use test_servers::restart::reads_per_second;

const CLIENTS: usize = 16;
/// How long each measurement counts reads.
const DURATION: Duration = Duration::from_secs(3);

/// Measures once with and once without caching of the list in each pair, and prints the medians and their ratio.
pub fn run_rate(arguments: &Arguments) {
    let (mut cached, mut uncached) = (Vec::new(), Vec::new());
    for pair in 0..arguments.seeds {
        // The order alternates, so that neither variant always runs first.
        for caches_list in [pair % 2 == 0, pair % 2 == 1] {
            let daemon = &arguments.daemon;
            let rate = reads_per_second(daemon, caches_list, CLIENTS, DURATION);
            let rates = if caches_list { &mut cached } else { &mut uncached };
            rates.push(rate.expect("the measurement could not be set up"));
        }
    }
    let (cached, uncached) = (median(cached), median(uncached));
    println!(
        "reads served per second, median of {} pairs: {cached:.0} with a cached list, {uncached:.0} without, \
         ratio {:.3}",
        arguments.seeds,
        cached / uncached
    );
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
