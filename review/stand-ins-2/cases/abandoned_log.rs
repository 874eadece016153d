//! The links between two buildings are cut. A session that has seen the new primary's log moves to the router in the
//! building of the old primary, and writes.

use super::{conf_with_sessions, discovery};
use crate::client::{read, write, Client};
use crate::machines::Machines;
use crate::record::{self, pause};
use crate::router::{settings, Router, MAHEBOURG};
use crate::Verdict;
use std::time::{Duration, Instant};

/// The group's machines in the building of router B, and those in the building of router A.
const WITH_B: [usize; 1] = [0];
const WITH_A: [usize; 2] = [1, 2];

pub fn play(with_trouble: bool) -> Verdict {
    let machines = Machines::default();
    machines.add_group(1, &["m1", "m2", "m3"], 2);
    let site = |index| if WITH_B.contains(&index) { "grand-port-lock" } else { "riviere-lock" };
    let discoveries = [discovery(&machines, 0, site), discovery(&machines, 1, site)];
    let start = |name, door: usize, zone| {
        Router::start(name, &settings(&MAHEBOURG, 2, zone), discoveries[door].addr, conf_with_sessions)
    };
    let (Some(a), Some(b)) = (start("A", 0, 1), start("B", 1, 0)) else {
        return Verdict::NotRun("a router did not start".into());
    };
    let Some(mut session) = Client::connect(a.listen, "session at A", Some("new")) else {
        return Verdict::NotRun("no session at A".into());
    };
    let Some(mut other) = Client::connect(b.listen, "other client at B", None) else {
        return Verdict::NotRun("no connection to B".into());
    };
    let first = session.query_until_served("a1", |id| write(id, "log-passage", 1, "boat", "free"));
    let warm = other.query_until_served("b1", |id| write(id, "log-passage", 1, "mooring", "free"));
    if !first.is_served() || !warm.is_served() {
        return Verdict::NotRun("the writes before the disruption were not served".into());
    }
    let cut_at = Instant::now();
    if with_trouble {
        cut(&machines);
        pause(4_500);
        machines.promote(1, &[2], 2);
    }
    let booked = |id: &str| write(id, "log-passage", 1, "boat", "booked by a2");
    if !session.query_until_served("a2", booked).is_served() {
        return Verdict::NotRun("the session's write at A was not served".into());
    }
    let seen = session.query(&read("a3", "queue-view", 1, "boat"));
    if seen.row.as_deref() != Some("booked by a2") {
        return Verdict::NotRun("the session's read at A did not show its write".into());
    }
    // The session moves to B, with the token of its last answer.
    let token = session.token.clone().unwrap_or_default();
    let Some(mut moved) = Client::connect(b.listen, "session at B", Some(&token)) else {
        return Verdict::NotRun("B did not take the session's token".into());
    };
    let before = machines.lock();
    let has_seen = before.applied(0).any(|entry| entry.value == "booked by a2");
    drop(before);
    let answer = moved.query(&write("b2", "log-passage", 1, "mooring", "for the boat booked by a2"));
    let ran_at_m1 = machines.lock().machines[0].ran.iter().any(|id| id == "b2");
    record::line(&format!("m1 has what the session has seen: {has_seen}; m1 ran b2: {ran_at_m1}"));
    moved.query(&read("b3", "queue-view", 1, "mooring"));
    if with_trouble {
        while cut_at.elapsed() < Duration::from_millis(9_500) {
            pause(50);
        }
        heal(&machines);
        pause(3_000);
        // For the record: does the session learn that its write is lost?
        let token = moved.token.clone().unwrap_or(token);
        if let Some(mut back) = Client::connect(a.listen, "session back at A", Some(&token)) {
            back.query(&read("a4", "queue-view", 1, "mooring"));
        }
    }
    if ran_at_m1 && !has_seen {
        return Verdict::Broken(format!(
            "the session's write b2 was executed at m1, whose log lacks the write that the session had seen; B answered {}",
            answer.text()
        ));
    }
    Verdict::Held
}

/// Cuts the links between the buildings, for the log too.
fn cut(machines: &Machines) {
    let mut world = machines.lock();
    record::line("the links between the buildings are cut: m1 and B on one side, m2, m3 and A on the other");
    for index in WITH_B {
        world.cut.insert((index, 0));
    }
    for index in WITH_A {
        world.cut.insert((index, 1));
        world.machines[index].frozen_at = Some(world.position(index));
    }
}

/// Restores the links. The old primary follows the new one, from where its epoch began.
fn heal(machines: &Machines) {
    let mut world = machines.lock();
    let (log, epoch) = (world.machines[1].log, world.machines[1].epoch);
    for index in WITH_B {
        let machine = &mut world.machines[index];
        (machine.is_primary, machine.log, machine.epoch) = (false, log, epoch);
    }
    drop(world);
    for index in WITH_B {
        machines.close_connections(index);
    }
    machines.lock().cut.clear();
    record::line("the links are back; m1 follows m2");
}
