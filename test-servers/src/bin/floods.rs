//! Measures what clients notice while others flood an instance. Prints a line for each kind of flood and number of
//! clients, and with `--verbose` one for each broken rule.

use clap::{Parser, ValueEnum};
use std::path::{Path, PathBuf};
use test_servers::fault_soak::instance::Programs;
use test_servers::fault_soak::plan::{RunPlan, DEFAULT_MEMORY_MB, FLOOD_DESCRIPTORS, MAX_SERVICE_MS};
use test_servers::fault_soak::run::run;
use test_servers::fault_soak::verdict::Verdict;
use test_servers::flood::kind::FloodKind;

/// Converts bytes to MiB by a shift.
const MIB_SHIFT: usize = 20;

/// Runs floods against one instance of the daemon.
#[derive(Parser)]
struct Options {
    /// The executable of the daemon.
    #[arg(long)]
    daemon: PathBuf,
    /// The fault library.
    #[arg(long)]
    fault_shim: PathBuf,
    /// The kinds of floods; all that send without pause if none is given.
    #[arg(long, value_delimiter = ',')]
    kinds: Vec<FloodKind>,
    /// The numbers of clients in a flood.
    #[arg(long, value_delimiter = ',', default_values_t = [1, 6, 64])]
    clients: Vec<usize>,
    /// The memory limit of the instance in MB.
    #[arg(long, default_value_t = DEFAULT_MEMORY_MB)]
    memory_mb: usize,
    /// The limit on descriptors of the instance.
    #[arg(long, default_value_t = FLOOD_DESCRIPTORS)]
    descriptors: usize,
    /// The number of further listed endpoints.
    #[arg(long, default_value_t = 0)]
    other_endpoints: usize,
    /// The longest deadline of a request in milliseconds.
    #[arg(long, default_value_t = 1_000)]
    deadline_ms: u64,
    /// The longest service time of a statement in milliseconds; 0 for answers at once.
    #[arg(long, default_value_t = MAX_SERVICE_MS)]
    max_service_ms: usize,
    /// The seed of the runs.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Let clients leave many requests behind and send some of their ids again.
    #[arg(long)]
    leavers: bool,
    /// Record writes in a write journal.
    #[arg(long)]
    journal: bool,
    /// Let the flood last until the instance is killed.
    #[arg(long)]
    until_kill: bool,
    /// Print the broken rules and the logs.
    #[arg(long)]
    verbose: bool,
}

fn main() {
    let options = Options::parse();
    let kinds = if options.kinds.is_empty() { &FloodKind::CONTINUOUS[..] } else { &options.kinds };
    println!(
        "flood clients requests served refused late unanswered broken p50_ms p99_ms memory_mb cpu_s killed"
    );
    for kind in kinds {
        for clients in &options.clients {
            let verdict = measure(&options, *kind, *clients);
            print_row(*kind, *clients, &verdict);
            if options.verbose {
                verdict.violations.iter().for_each(|violation| println!("  {violation}"));
                verdict.logs.iter().flat_map(|log| log.lines()).for_each(|line| println!("  {line}"));
            }
        }
    }
}

fn measure(options: &Options, kind: FloodKind, clients: usize) -> Verdict {
    let mut plan = RunPlan::flood(options.seed, options.deadline_ms, kind, clients);
    plan.max_service_ms = options.max_service_ms;
    plan.other_endpoints = options.other_endpoints;
    plan.instances[0].memory_mb = options.memory_mb;
    plan.instances[0].descriptors = options.descriptors;
    plan.instances[0].has_leavers = options.leavers;
    plan.instances[0].has_state_dir = options.journal;
    if options.until_kill {
        plan.instances[0].flood_until_kill();
    }
    let folder = tempfile::tempdir().expect("a temporary directory can be created");
    let (daemon, fault_shim): (&Path, &Path) = (&options.daemon, &options.fault_shim);
    run(Programs { daemon, fault_shim }, &plan, folder.path()).expect("the instance can be started")
}

fn print_row(kind: FloodKind, clients: usize, verdict: &Verdict) {
    let counts = verdict.counts;
    let name = kind.to_possible_value().map(|value| value.get_name().to_string()).unwrap_or_default();
    println!(
        "{name} {clients} {} {} {} {} {} {} {:.1} {:.1} {} {:.2} {} {}",
        counts.requests,
        counts.served,
        counts.refused,
        counts.late,
        counts.unanswered,
        verdict.violations.len(),
        verdict.percentile(50).as_secs_f64() * 1e3,
        verdict.percentile(99).as_secs_f64() * 1e3,
        counts.peak_memory_bytes >> MIB_SHIFT,
        counts.cpu_time.as_secs_f64(),
        counts.killed,
        counts.flood_executed,
    );
}
