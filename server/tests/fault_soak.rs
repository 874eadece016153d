//! A short soak run under random, overlapping faults, judged by the id of each request. The program `fault-soak` of
//! `test-servers` runs many seeds.

mod common {
    pub mod router_program;
}

use common::router_program::ROUTER;
use std::path::Path;
use test_servers::fault_soak::instance::Programs;
use test_servers::fault_soak::plan::RunPlan;
use test_servers::fault_soak::run::run;

/// The seeds that are run.
const SEEDS: [u64; 14] = [1, 8, 301, 302, 303, 304, 305, 306, 307, 308, 309, 310, 311, 312];
/// The number of instances in each run.
const INSTANCES: usize = 4;

#[test]
fn no_request_is_lost_under_overlapping_faults_signals_and_kills() {
    let test = std::env::current_exe().expect("the test has a path");
    let fault_shim = test.with_file_name("libfault_shim.so");
    assert!(fault_shim.exists(), "the fault library was not built");
    let programs = Programs { daemon: Path::new(ROUTER), fault_shim: &fault_shim };
    for seed in SEEDS {
        let folder = tempfile::tempdir().expect("no temporary directory");
        let plan = RunPlan::new(seed, INSTANCES);
        let verdict = run(programs, &plan, folder.path()).expect("the instances can be started");
        let counts = verdict.counts;
        assert_eq!(verdict.violations, Vec::<String>::new(), "seed {seed}: {counts:?}");
        assert!(counts.faults > 0, "seed {seed}: no system call failed: {counts:?}");
        assert!(counts.served * 3 > counts.requests, "seed {seed}: little was served: {counts:?}");
    }
}
