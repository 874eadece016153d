//! Randomized runs of sessions and writes during kills of instances, moves of clients between instances, replication
//! lag and a failover that loses the end of a log. The history checker compares the clients' answers with the
//! endpoints' executions.

mod common {
    pub mod router_program;
}

use common::router_program::ROUTER;
use std::path::Path;
use test_servers::sessions::{run_plan, Outcome, Plan};
use test_servers::Build;

/// Kills of instances in each run.
const KILLS: usize = 8;

#[test]
fn session_and_write_guarantees_hold_during_kills_moves_lag_and_a_failover() {
    let program = Path::new(ROUTER);
    let build = Build { program, has_operator_file: true };
    let mut sum = Outcome::default();
    for seed in 1..=6 {
        let plan = Plan::random(seed, KILLS);
        let outcome = run_plan(&plan, &build).expect("the run could not be set up");
        assert!(outcome.verdict.violations.is_empty(), "{plan:?}\n{:#?}", outcome.verdict.violations);
        sum.verdict.add(outcome.verdict);
        sum.writes_in_doubt += outcome.writes_in_doubt;
        sum.fates_reported += outcome.fates_reported;
        sum.losses_reported += outcome.losses_reported;
    }
    let Outcome { verdict, writes_in_doubt, fates_reported, losses_reported, .. } = sum;
    let requests = verdict.requests;
    println!(
        "{requests} requests, {writes_in_doubt} writes in doubt, {fates_reported} fates, {losses_reported} losses"
    );
    // Runs without writes in doubt or lost data would prove nothing.
    assert!(writes_in_doubt > 0 && fates_reported > 0 && losses_reported > 0);
}
