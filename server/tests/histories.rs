//! Randomized runs of sessions and writes. During each run instances are killed, clients move between instances,
//! replicas lag, and a failover loses the end of a log. The history checker compares the clients' answers with the
//! endpoints' executions.

mod common {
    pub mod router_program;
}

use common::router_program::ROUTER;
use std::path::Path;
use test_servers::sessions::{run_plan, Outcome, Plan};
use test_servers::Build;

/// Number of kills of instances in each run.
const KILLS: usize = 8;

#[test]
fn session_and_write_guarantees_hold_during_kills_lag_and_a_failover() {
    let program = Path::new(ROUTER);
    let build = Build { program, has_operator_file: true };
    let mut total = Outcome::default();
    for seed in 1..=6 {
        let plan = Plan::random(seed, KILLS);
        let outcome = run_plan(&plan, &build).expect("the run could not be set up");
        assert!(
            outcome.verdict.violations.is_empty(),
            "a guarantee was violated in {plan:?}\n{:#?}",
            outcome.verdict.violations
        );
        total.verdict.add(outcome.verdict);
        total.writes_in_doubt += outcome.writes_in_doubt;
        total.fates_reported += outcome.fates_reported;
        total.losses_reported += outcome.losses_reported;
    }
    let Outcome { verdict, writes_in_doubt, fates_reported, losses_reported, .. } = total;
    let requests = verdict.requests;
    println!(
        "{requests} requests, {writes_in_doubt} writes in doubt, {fates_reported} fates, {losses_reported} losses"
    );
    assert!(
        writes_in_doubt > 0 && fates_reported > 0 && losses_reported > 0,
        "the runs had no write in doubt, no reported fate or no reported loss, so the test proves nothing"
    );
}
