//! Sessions and writes through kills of fronts, moves, lag and a switch that loses the tail of a log: the
//! checker judges what clients saw by what stores ran.

use std::path::Path;
use test_servers::sessions::{play, Plan, Played};
use test_servers::starts::Build;

#[test]
fn through_kills_moves_lag_and_a_switch_no_guarantee_breaks() {
    let build = Build { program: Path::new(env!("CARGO_BIN_EXE_query-router")), keeps: true };
    let mut sum = Played::default();
    for seed in 1..=6 {
        let plan = Plan::draw(seed, 8);
        let played = play(&plan, &build).expect("it can be played");
        assert!(played.verdict.offences.is_empty(), "{plan:?}\n{:#?}", played.verdict.offences);
        sum.verdict.add(played.verdict);
        sum.in_doubt += played.in_doubt;
        sum.told += played.told;
        sum.losses += played.losses;
    }
    // A run in which nothing was in doubt and nothing lost would show nothing.
    let Played { in_doubt, told, losses, .. } = sum;
    println!(
        "{} RPCs, {in_doubt} writes in doubt, {told} fates told, {losses} losses told",
        sum.verdict.asked
    );
    assert!(in_doubt > 0 && told > 0 && losses > 0);
}
