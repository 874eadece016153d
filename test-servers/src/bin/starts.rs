//! Plays starts with discovery down against one build or two, and says what broke.

use clap::{Parser, ValueEnum};
use history_checker::Verdict;
use std::path::PathBuf;
use std::time::Duration;
use test_servers::each_seed;
use test_servers::starts::{play, rate, Build, Plan, Times};

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum What {
    /// Drawn faults; what broke
    Faults,
    /// No fault; how long the first read and the first write take, by the list's age
    Ages,
    /// Answers a second with the list kept and not kept, in turn
    Rate,
}

/// Starts with discovery down and a list that may no longer be true.
#[derive(Parser)]
struct Line {
    #[arg(value_enum, default_value_t = What::Faults)]
    what: What,
    /// The daemon to try
    #[arg(long)]
    daemon: PathBuf,
    /// An earlier build without state directories, set beside it
    #[arg(long)]
    before: Option<PathBuf>,
    #[arg(long, default_value_t = 200)]
    seeds: u64,
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Plans played at the same time
    #[arg(long, default_value_t = 4)]
    at_once: usize,
    /// Prints the log of the daemon wherever something broke
    #[arg(long)]
    logs: bool,
}

fn main() {
    let line = Line::parse();
    match line.what {
        What::Faults => faults(&line),
        What::Ages => ages(&line),
        What::Rate => rates(&line),
    }
}

fn builds(line: &Line) -> Vec<(&'static str, Build<'_>)> {
    let mut builds = vec![("this build", Build { program: &line.daemon, keeps: true })];
    if let Some(before) = &line.before {
        builds.push(("before", Build { program: before, keeps: false }));
    }
    builds
}

fn faults(line: &Line) {
    let times = Times { down: Duration::from_millis(1_500), back: Duration::from_millis(5_500) };
    let mut failed = false;
    for (name, build) in builds(line) {
        let all = each_seed(line.first..line.first + line.seeds, line.at_once, |seed| {
            let plan = Plan::draw(seed);
            let played = play(&plan, &build, times).expect("a plan can be played here");
            (plan, played)
        });
        let (mut sum, mut broke, mut able, mut writing) = (Verdict::default(), 0, 0, 0);
        let served = all.iter().filter(|(_, played)| played.served_without).count();
        for (plan, played) in &all {
            sum.add(played.audit.clone());
            (able, writing) = (able + played.groups_able, writing + played.groups_writing);
            if build.keeps && played.groups_writing < played.groups_able {
                let (writing, able) = (played.groups_writing, played.groups_able);
                println!("  seed {}: {writing} of {able} groups write in the end: {plan:?}", plan.seed);
                if line.logs {
                    played.log.lines().for_each(|words| println!("    | {words}"));
                }
            }
            if !played.audit.offences.is_empty() {
                broke += 1;
                let Plan { seed, faults, age_s, comes_back, just_started, .. } = plan;
                println!(
                    "  seed {seed}: {faults:?}, {age_s} s old, {comes_back:?}, just started {just_started}"
                );
                played.audit.offences.iter().take(4).for_each(|offence| println!("    {offence:?}"));
                if line.logs {
                    played.log.lines().for_each(|words| println!("    | {words}"));
                }
            }
        }
        println!(
            "{name}: {broke} of {} plans broke a rule {:?}; of {} RPCs {} ok",
            all.len(),
            sum.broken(),
            sum.asked,
            sum.ok
        );
        println!(
            "{name}: writes served while discovery was down in {served} of {} plans; after discovery's return \
             in {writing} of {able} groups with a primary in reach",
            all.len()
        );
        failed |= broke > 0 && build.keeps;
    }
    if failed {
        std::process::exit(1);
    }
}

fn ages(line: &Line) {
    let times = Times { down: Duration::from_millis(1_500), back: Duration::from_millis(10) };
    println!("ms from the start of the process, median (worst) of {} seeds", line.seeds);
    println!("{:<12} {:>10} {:>20} {:>20}", "build", "age", "first read", "first write");
    for age_s in [5, 60, 3_600, 86_400, 200_000] {
        for (name, build) in builds(line) {
            let mut firsts = [Vec::new(), Vec::new()];
            for nth in 0..line.seeds {
                let played =
                    play(&Plan::calm(line.first + nth, age_s), &build, times).expect("it can be played");
                firsts[0].push(played.first_read.unwrap_or(f64::INFINITY));
                firsts[1].push(played.first_write.unwrap_or(f64::INFINITY));
            }
            firsts.iter_mut().for_each(|all| all.sort_by(f64::total_cmp));
            let show = |all: &[f64]| format!("{:.0} ({:.0})", all[all.len() / 2], all[all.len() - 1]);
            println!("{name:<12} {age_s:>8} s {:>20} {:>20}", show(&firsts[0]), show(&firsts[1]));
        }
    }
}

fn rates(line: &Line) {
    let (mut kept, mut plain) = (Vec::new(), Vec::new());
    for nth in 0..line.seeds {
        for keeps in [nth % 2 == 0, nth % 2 == 1] {
            let many = rate(&line.daemon, keeps, 16, Duration::from_secs(3)).expect("it can be played");
            if keeps { &mut kept } else { &mut plain }.push(many);
        }
    }
    let median = |all: &mut Vec<f64>| {
        all.sort_by(f64::total_cmp);
        all[all.len() / 2]
    };
    let (kept, plain) = (median(&mut kept), median(&mut plain));
    println!(
        "reads answered a second, median of {} pairs: kept {kept:.0}, not {plain:.0}, ratio {:.3}",
        line.seeds,
        kept / plain
    );
}
