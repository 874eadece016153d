//! Plays sessions through kills, moves, lag and a switch against one build or two, and says which guarantees
//! broke.

use clap::Parser;
use history_checker::Verdict;
use std::path::PathBuf;
use test_servers::each_seed;
use test_servers::sessions::{play, Plan, Played};
use test_servers::starts::Build;

/// Sessions and writes while fronts are killed.
#[derive(Parser)]
struct Line {
    /// The daemon to try
    #[arg(long)]
    daemon: PathBuf,
    /// An earlier build without sessions and journal, set beside it
    #[arg(long)]
    before: Option<PathBuf>,
    #[arg(long, default_value_t = 50)]
    seeds: u64,
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Kills in each plan
    #[arg(long, default_value_t = 10)]
    kills: usize,
    /// Plans played at the same time
    #[arg(long, default_value_t = 4)]
    at_once: usize,
}

fn main() {
    let line = Line::parse();
    let mut builds = vec![("this build", Build { program: &line.daemon, keeps: true })];
    if let Some(before) = &line.before {
        builds.push(("before", Build { program: before, keeps: false }));
    }
    let mut failed = false;
    for (name, build) in builds {
        let all = each_seed(line.first..line.first + line.seeds, line.at_once, |seed| {
            let plan = Plan::draw(seed, line.kills);
            let played = play(&plan, &build).expect("a plan can be played here");
            (plan, played)
        });
        let (mut sum, mut broke) = (Verdict::default(), 0);
        let total = |of: fn(&Played) -> usize| all.iter().map(|(_, played)| of(played)).sum::<usize>();
        for (plan, played) in &all {
            sum.add(played.verdict.clone());
            if !played.verdict.offences.is_empty() {
                broke += 1;
                println!("  {name}: {plan:?}");
                played.verdict.offences.iter().take(3).for_each(|offence| println!("    {offence:?}"));
            }
        }
        println!(
            "{name}: {broke} of {} plans broke a guarantee {:?}; {} kills, {} RPCs, {} ok",
            all.len(),
            sum.broken(),
            total(|played| played.kills),
            sum.asked,
            sum.ok
        );
        println!(
            "{name}: {} writes in doubt, {} fates told, {} served when sent again, {} losses told",
            total(|played| played.in_doubt),
            total(|played| played.told),
            total(|played| played.served_again),
            total(|played| played.losses)
        );
        failed |= broke > 0 && build.keeps;
    }
    if failed {
        std::process::exit(1);
    }
}
