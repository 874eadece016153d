//! Soak runs under faults, one for each seed. Prints a line for each run and one for each broken rule, and exits with
//! status 1 if any rule was broken.

use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;
use test_servers::fault_soak::instance::Programs;
use test_servers::fault_soak::plan::RunPlan;
use test_servers::fault_soak::run::run;

/// The maximum number of broken rules that are printed for each run.
const MAX_PRINTED: usize = 400;

/// Runs instances of the daemon under random faults and judges them by the rules.
#[derive(Parser)]
struct Options {
    /// The executable of the daemon.
    #[arg(long)]
    daemon: PathBuf,
    /// The fault library.
    #[arg(long)]
    fault_shim: PathBuf,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    from: u64,
    /// The number of seeds.
    #[arg(long, default_value_t = 1)]
    count: u64,
    /// The number of instances in each run.
    #[arg(long, default_value_t = 8)]
    instances: usize,
    /// Give all instances the least memory, and flood them.
    #[arg(long)]
    least_memory: bool,
    /// System call faults for all instances instead of the planned ones.
    #[arg(long)]
    faults: Option<String>,
    /// A directory in which the configuration, the traces and the logs are kept.
    #[arg(long)]
    keep: Option<PathBuf>,
}

fn main() -> ExitCode {
    let options = Options::parse();
    let programs = Programs { daemon: &options.daemon, fault_shim: &options.fault_shim };
    let mut broken_runs = 0;
    for seed in options.from..options.from + options.count {
        let mut plan = match options.least_memory {
            true => RunPlan::with_least_memory(seed, options.instances),
            false => RunPlan::new(seed, options.instances),
        };
        for instance in &mut plan.instances {
            instance.faults = options.faults.clone().unwrap_or(std::mem::take(&mut instance.faults));
        }
        let temporary = tempfile::tempdir().expect("a temporary directory can be created");
        let folder = match &options.keep {
            Some(keep) => keep.join(seed.to_string()),
            None => temporary.path().to_path_buf(),
        };
        std::fs::create_dir_all(&folder).expect("the directory can be created");
        let verdict = run(programs, &plan, &folder).expect("the instances can be started");
        if options.keep.is_some() {
            for (index, log) in verdict.logs.iter().enumerate() {
                std::fs::write(folder.join(format!("{index}.log")), log).expect("the log can be written");
            }
        }
        println!("seed {seed}: {} violations, {:?}", verdict.violations.len(), verdict.counts);
        for violation in verdict.violations.iter().take(MAX_PRINTED) {
            println!("  {violation}");
        }
        broken_runs += usize::from(!verdict.violations.is_empty());
    }
    println!("{broken_runs} of {} runs broke a rule", options.count);
    ExitCode::from(u8::from(broken_runs > 0))
}
