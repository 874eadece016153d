//! The stand-ins and the drivers of the second review's cases, without dependencies. `cases NAME FOLDER` plays the case
//! NAME, writes FOLDER/record.txt, and exits with 1 if the rule was broken, 0 if it held, and 2 if it could not run.

// The cases share these parts; not every part is used while some cases are left out.
#![allow(dead_code)]

mod cases;
mod client;
mod discovery;
mod machines;
mod proxy;
mod record;
mod router;
mod wire;

use std::path::PathBuf;
use std::time::Duration;

/// What a case has found.
pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

/// The longest time of a case. A case that takes longer is ended and counts as not run.
const LIMIT: Duration = Duration::from_secs(100);

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("cases NAME FOLDER");
        std::process::exit(2);
    };
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record::open(&PathBuf::from(folder).join("record.txt"));
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        record::line("the case took too long and is ended");
        router::kill_all();
        router::remove_folders();
        std::process::exit(2);
    });
    record::line(&format!("case {name}, disruption: {}", if with_trouble { "yes" } else { "no" }));
    let result = std::panic::catch_unwind(|| cases::play(&name, with_trouble));
    router::kill_all();
    router::remove_folders();
    let status = match result {
        Ok(Verdict::Held) => {
            record::line("VERDICT: the rule held");
            0
        }
        Ok(Verdict::Broken(what)) => {
            record::line(&format!("VERDICT: the rule was broken: {what}"));
            println!("broken: {what}");
            1
        }
        Ok(Verdict::NotRun(why)) => {
            record::line(&format!("VERDICT: the case could not run: {why}"));
            eprintln!("could not run: {why}");
            2
        }
        Err(_) => {
            record::line("VERDICT: the case could not run: a stand-in panicked");
            2
        }
    };
    std::process::exit(status);
}
