//! The command line. `routing` alone serves.

use crate::carry;
use crate::exit::{self, Fault};
use crate::hatch;
use crate::hosts::times;
use crate::launch::{Launch, When};
use crate::operators;
use crate::start;
use clap::builder::{PossibleValue, PossibleValuesParser};
use clap::{CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use endpoint_cache::{Dir, Kept, Loaded};
use recovery::trust::{step, STEPS};
use routing::time::Moment;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

/// A query router for sharded, replicated databases.
#[derive(Parser)]
#[command(name = "query-router", version, about)]
struct Line {
    /// The operators' file; without one all that it sets is off
    #[arg(long, value_name = "FILE", env = "GINGERWICK_CONF", global = true)]
    conf: Option<PathBuf>,
    #[command(subcommand)]
    what: Option<What>,
}

#[derive(Subcommand)]
enum What {
    /// Serves until it is told to leave; so does `routing` alone
    Serve,
    /// Reads the start facts and the operators' file and says all that is wrong with them; starts nothing
    Check,
    /// Looks at a list kept on disk
    List {
        #[command(subcommand)]
        what: ListWhat,
    },
    /// Asks a running front what it does, by its operators-socket
    Show {
        /// What is shown
        #[arg(value_parser = shown())]
        what: String,
        /// Instead of the one that the operators' file names
        #[arg(long, value_name = "PATH")]
        socket: Option<PathBuf>,
    },
    /// Prints completions for a shell
    Completions { shell: Shell },
}

fn shown() -> PossibleValuesParser {
    let words = hatch::WORDS.into_iter().chain([("metrics", "counts, as Prometheus words them")]);
    words.map(|(word, help)| PossibleValue::new(word).help(help)).collect::<Vec<_>>().into()
}

#[derive(Subcommand)]
enum ListWhat {
    /// Age, version, members, and what a start would believe of them now
    Show {
        /// The state directory, or one file in it
        path: PathBuf,
        /// The whole list as JSON
        #[arg(long)]
        json: bool,
    },
    /// Whether each file is whole; ends with 65 where one is not, or none is
    Verify { path: PathBuf },
}

pub fn run() -> u8 {
    let line = match Line::try_parse() {
        Ok(line) => line,
        Err(why) => {
            let _ = why.print();
            return if why.use_stderr() { exit::USAGE } else { exit::OK };
        }
    };
    let ended = match line.what {
        None | Some(What::Serve) => start::run(line.conf),
        Some(What::Check) => check(line.conf.as_deref()),
        Some(What::List { what: ListWhat::Show { path, json } }) => show(&path, json),
        Some(What::List { what: ListWhat::Verify { path } }) => verify(&path),
        Some(What::Show { what, socket }) => ask(line.conf.as_deref(), socket, &what),
        Some(What::Completions { shell }) => {
            clap_complete::generate(shell, &mut Line::command(), "query-router", &mut std::io::stdout());
            Ok(())
        }
    };
    match ended {
        Ok(()) => exit::OK,
        Err((code, words)) => {
            words.iter().for_each(|line| eprintln!("query-router: {line}"));
            code
        }
    }
}

fn ask(conf: Option<&Path>, socket: Option<PathBuf>, what: &str) -> Result<(), Fault> {
    let named = || operators::read(conf).map_err(|why| (exit::CONFIG, why)).map(|read| read.operators_socket);
    let none =
        || (exit::USAGE, vec!["no --socket, and no operators-socket in the operators' file".to_string()]);
    let path = socket.map_or_else(named, |path| Ok(Some(path)))?.ok_or_else(none)?;
    let text = hatch::ask(&path, what).map_err(|why| (exit::UNAVAILABLE, vec![why]))?;
    say(text.trim_end())
}

fn check(conf: Option<&Path>) -> Result<(), Fault> {
    let launch = Launch::read(When::Start, |name| std::env::var(name).ok());
    let settings = operators::read(conf);
    let mut faults: Vec<String> = Vec::new();
    faults.extend(launch.err().into_iter().flatten());
    if let Some(dir) = settings.as_ref().ok().and_then(|settings| settings.state_dir.as_ref()) {
        match std::fs::metadata(dir) {
            Ok(found) if !found.is_dir() => {
                faults.push(format!("state-dir: {}: no directory", dir.display()))
            }
            Ok(_) => {}
            Err(why) => faults.push(format!("state-dir: {}: {why}", dir.display())),
        }
    }
    if let Some(path) = settings.as_ref().ok().and_then(|settings| settings.session_keys.as_ref()) {
        faults.extend(carry::read_keys(path).err().map(|why| format!("session-keys: {why}")));
    }
    faults.extend(settings.err().into_iter().flatten());
    if faults.is_empty() {
        say("all fit")
    } else {
        Err((exit::CONFIG, faults))
    }
}

/// A reader that has gone away has seen what it wanted.
fn say(words: &str) -> Result<(), Fault> {
    let _ = writeln!(std::io::stdout(), "{words}");
    Ok(())
}

fn load(path: &Path) -> Result<Loaded, Fault> {
    let found = std::fs::metadata(path);
    let found = found.map_err(|why| (exit::NO_INPUT, vec![format!("{}: {why}", path.display())]))?;
    if found.is_dir() {
        return Ok(Dir::read(path));
    }
    let mut loaded = Loaded::default();
    match Dir::read_file(path) {
        Ok(kept) => loaded.kept = kept.map(|kept| (kept, path.to_path_buf())),
        Err(why) => loaded.faults.push(why),
    }
    Ok(loaded)
}

fn words(loaded: &Loaded) -> Vec<String> {
    loaded.faults.iter().map(|fault| fault.to_string()).collect()
}

fn verify(path: &Path) -> Result<(), Fault> {
    let loaded = load(path)?;
    let mut faults = words(&loaded);
    match &loaded.kept {
        Some((kept, from)) => {
            let stores = kept.stores.len();
            say(&format!("{}: whole, generation {}, {stores} stores", from.display(), kept.generation))?;
        }
        None => faults.push(format!("{}: no list that is whole", path.display())),
    }
    if faults.is_empty() {
        Ok(())
    } else {
        Err((exit::DATA, faults))
    }
}

fn show(path: &Path, json: bool) -> Result<(), Fault> {
    let loaded = load(path)?;
    for line in words(&loaded) {
        eprintln!("query-router: {line}");
    }
    let Some((kept, from)) = &loaded.kept else {
        return Err((exit::DATA, vec![format!("{}: no list that is whole", path.display())]));
    };
    if json {
        let text = serde_json::to_string_pretty(kept).map_err(|why| (exit::IO, vec![why.to_string()]))?;
        return say(&text);
    }
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    say(&picture(kept, &from.display().to_string(), Moment(wall.as_nanos() as i64)))
}

fn picture(kept: &Kept, from: &str, now: Moment) -> String {
    let times = times(kept);
    let at = step(Some(times), now, None);
    let age = now - times.confirmed;
    let mut lines = vec![
        format!("file        {from}"),
        format!("generation  {}", kept.generation),
        format!("version     {} of discovery", kept.seq),
        format!("age         {:.1} s since discovery stood by it: {}", age.secs(), at.age.word()),
        format!(
            "believed    {} stores at a time; a primary after {} answers of its own and {}",
            at.wave,
            at.rounds,
            if at.accounted { "all members heard or refusing" } else { "a majority seen to follow it" },
        ),
        format!("            stores that can't say who they are: {}", if at.named { "yes" } else { "no" }),
        format!("steps       {}", STEPS.iter().map(|step| step.age.word()).collect::<Vec<_>>().join(", ")),
        String::new(),
        format!("{:<24} {:>6} {:<22} {:<9} {:<8} said", "store", "group", "address", "health", "listed"),
    ];
    for store in &kept.stores {
        let listed = match store.recovery.as_str() {
            "off" => "primary",
            "on" => "replica",
            _ => "-",
        };
        let said = store.said.map_or("nothing".to_string(), |said| {
            let role = if said.primary { "primary" } else { "replica" };
            let timeline = said.timeline.map_or(String::new(), |timeline| format!(", timeline {timeline}"));
            let position = said.position_ms.map_or(String::new(), |ms| format!(" at {ms}"));
            format!("{role}{position}{timeline}")
        });
        lines.push(format!(
            "{:<24} {:>6} {:<22} {:<9} {listed:<8} {said}",
            store.host, store.block, store.dial, store.health
        ));
    }
    lines.join("\n")
}
