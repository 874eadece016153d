//! The cases. Each plays one order of events and judges it by what clients were answered and what machines have run.

mod fate_then_read;
mod moved_machine;
mod old_copy;
mod repeated_report;
mod seventeen_groups;

use crate::discovery::{entry, Discovery};
use crate::machines::Machines;
use crate::Verdict;
use std::path::Path;

pub fn play(name: &str, with_trouble: bool) -> Verdict {
    match name {
        "fate-then-read" => fate_then_read::play(with_trouble),
        "seventeen-groups" => seventeen_groups::play(with_trouble),
        "moved-machine" => moved_machine::play(with_trouble),
        "old-copy" => old_copy::play(with_trouble),
        "repeated-report" => repeated_report::play(with_trouble),
        _ => Verdict::NotRun(format!("there is no case {name}")),
    }
}

/// The discovery of the router with this door, which lists all machines.
fn discovery(machines: &Machines, door: usize, site: impl Fn(usize) -> &'static str) -> Discovery {
    let world = machines.lock();
    let machines = world.machines.iter().enumerate();
    Discovery::start(
        machines
            .map(|(index, machine)| {
                entry(&machine.name, machine.doors[door], site(index), machine.group, "SERVING", 0)
            })
            .collect(),
    )
}

/// The operators' file of a router with sessions: all routers have the same keys.
fn conf_with_sessions(folder: &Path) -> String {
    let keys = folder.join("session.keys");
    std::fs::write(&keys, "1 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\n")
        .expect("a key file");
    format!("session-keys {}\n", keys.display())
}

/// The operators' file of a router with sessions and a write journal.
fn conf_with_journal(folder: &Path) -> String {
    let state = folder.join("state");
    let _ = std::fs::create_dir_all(&state);
    format!("{}state-dir {}\nwrite-journal system\n", conf_with_sessions(folder), state.display())
}
