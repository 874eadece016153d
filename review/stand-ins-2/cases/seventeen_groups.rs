//! The links between two buildings are cut, and a failover loses the last commit of a group. A session that has seen
//! sixteen other groups since then reads in that group.

use super::{conf_with_sessions, discovery};
use crate::client::{read, write, Client};
use crate::machines::Machines;
use crate::record::{self, pause};
use crate::router::{settings, Router, MAHEBOURG};
use crate::Verdict;
use std::time::{Duration, Instant};

/// The first group's machines in the other building.
const OTHER_BUILDING: [usize; 2] = [1, 2];

pub fn play(with_trouble: bool) -> Verdict {
    let machines = Machines::default();
    machines.add_group(1, &["m1", "m2", "m3"], 1);
    for group in 2..=17 {
        let names = [format!("p{group}"), format!("q{group}")];
        machines.add_group(group, &[names[0].as_str(), names[1].as_str()], 1);
    }
    let site = |index| if OTHER_BUILDING.contains(&index) { "riviere-lock" } else { "grand-port-lock" };
    let agent = discovery(&machines, 0, site);
    let Some(router) = Router::start("A", &settings(&MAHEBOURG, 2, 0), agent.addr, conf_with_sessions) else {
        return Verdict::NotRun("the router did not start".into());
    };
    let connect = |name| Client::connect(router.listen, name, Some("new"));
    let (Some(mut session), Some(mut few)) =
        (connect("session of 17 groups"), connect("session of one group"))
    else {
        return Verdict::NotRun("no connection".into());
    };
    let old = few.query_until_served("f1", |id| write(id, "log-passage", 1, "gate", "open"));
    if !old.is_served() {
        return Verdict::NotRun("the first write was not served".into());
    }
    pause(100);
    let cut_at = Instant::now();
    if with_trouble {
        let mut world = machines.lock();
        record::line("the links between the buildings are cut: m2 and m3 get no log and cannot be reached");
        for index in OTHER_BUILDING {
            world.cut.insert((index, 0));
            world.machines[index].frozen_at = Some(world.position(index));
        }
    }
    pause(200);
    let written = session.query(&write("s1", "log-passage", 1, "gate", "closed"));
    pause(100);
    let seen = few.query(&read("f2", "queue-view", 1, "gate"));
    if !written.is_served() || seen.row.as_deref() != Some("closed") {
        return Verdict::NotRun("the write to be lost was not served, or not seen".into());
    }
    for group in 2..=17 {
        let id = format!("s{group}");
        if !(0..5).any(|_| session.query(&read(&id, "queue-view", group, "gate")).is_served()) {
            return Verdict::NotRun(format!("the read in group {group} was not served"));
        }
    }
    if with_trouble {
        while cut_at.elapsed() < Duration::from_millis(4_500) {
            pause(20);
        }
        machines.promote(1, &[2], 2);
        while cut_at.elapsed() < Duration::from_millis(8_500) {
            pause(20);
        }
        {
            let mut world = machines.lock();
            let (log, epoch) = (world.machines[1].log, world.machines[1].epoch);
            let machine = &mut world.machines[0];
            (machine.is_primary, machine.log, machine.epoch) = (false, log, epoch);
        }
        machines.close_connections(0);
        machines.lock().cut.clear();
        record::line("the links are back; m1 follows m2, and the write s1 is lost");
        pause(2_000);
    }
    // For comparison: a session that has seen one group only is told of the loss.
    for number in 0..6 {
        let answer = few.query(&read(&format!("f3-{number}"), "queue-view", 1, "gate"));
        if answer.is_served() || answer.error.as_deref() == Some("ZG001") {
            break;
        }
        pause(300);
    }
    for number in 0..8 {
        let answer = session.query(&read(&format!("s18-{number}"), "queue-view", 1, "gate"));
        match (answer.is_served(), answer.row.as_deref()) {
            (true, Some("closed")) => return Verdict::Held,
            (true, other) => {
                return Verdict::Broken(format!(
                    "the session wrote 'closed', which is lost; its read shows {other:?}, and it was told of no loss"
                ));
            }
            _ if answer.error.as_deref() == Some("ZG001") => return Verdict::Held,
            _ => pause(300),
        }
    }
    // It was never served and never told: slow, but no broken rule.
    Verdict::Held
}
