//! A machine drains, is removed from its group, and is listed again under its name and address, now in another group. There
//! it becomes the primary, as the one before it drains.

use super::discovery;
use crate::client::{read, write, Client};
use crate::discovery::{entry, Discovery};
use crate::machines::Machines;
use crate::record::{self, pause, unix_ms};
use crate::router::{settings, Router, FLACQ};
use crate::Verdict;

const SITE: &str = "centre-de-flacq";
const ROUNDS: usize = 120;

pub fn play(with_trouble: bool) -> Verdict {
    let machines = Machines::default();
    let first = machines.add_group(1, &["m1", "m2", "m3", "m4"], 1);
    let second = machines.add_group(2, &["n1", "n2", "n3", "n4"], 1);
    let agent = discovery(&machines, 0, |_| SITE);
    let conf = |_: &std::path::Path| String::new();
    let Some(router) = Router::start("A", &settings(&FLACQ, 2, 0), agent.addr, conf) else {
        return Verdict::NotRun("the router did not start".into());
    };
    let Some(mut client) = Client::connect(router.listen, "client", None) else {
        return Verdict::NotRun("no connection".into());
    };
    let warm =
        |group: i64| move |id: &str| write(id, "shift-update", group, "shift", &format!("of group {group}"));
    if !client.query_until_served("w1", warm(1)).is_served()
        || !client.query_until_served("w2", warm(2)).is_served()
    {
        return Verdict::NotRun("the first writes were not served".into());
    }
    pause(100);
    let mut wrong = Wrong::default();
    traffic(&mut client, &machines, "a", 20, &mut wrong);
    if wrong != Wrong::default() {
        return Verdict::NotRun("answers were wrong before the disruption".into());
    }
    let index = first[2];
    move_machine(&machines, &agent, index, second[0], if with_trouble { 2 } else { 1 });
    traffic(&mut client, &machines, "b", 40, &mut wrong);
    if with_trouble {
        hand_over(&machines, &agent, second[0], index);
    }
    traffic(&mut client, &machines, "c", ROUNDS, &mut wrong);
    if wrong == Wrong::default() {
        return Verdict::Held;
    }
    Verdict::Broken(format!(
        "{} reads of group 1 were answered with data of group 2, and {} served writes of group 1 ran in group 2",
        wrong.reads, wrong.writes
    ))
}

/// What went to a machine of another group.
#[derive(Default, PartialEq)]
struct Wrong {
    reads: usize,
    writes: usize,
}

/// m3 drains, is removed and stops, gets a copy of its new group's data, and is listed again.
fn move_machine(machines: &Machines, agent: &Discovery, index: usize, primary: usize, group: i64) {
    let addr = machines.lock().machines[index].doors[0];
    record::line("m3 of group 1 drains");
    agent.change(entry("m3", addr, SITE, 1, "DRAINING", 0));
    pause(600);
    record::line("m3 is removed from the list and stops");
    agent.change(entry("m3", addr, SITE, 1, "DELETED", 0));
    machines.close_connections(index);
    pause(600);
    if group == 2 {
        let mut world = machines.lock();
        let log = world.machines[primary].log;
        (world.machines[index].group, world.machines[index].log) = (2, log);
    }
    record::line(&format!("m3 is started and listed again, in group {group}"));
    agent.change(entry("m3", addr, SITE, group, "SERVING", unix_ms()));
    pause(500);
}

/// The primary of group 2 drains and hands over to m3.
fn hand_over(machines: &Machines, agent: &Discovery, from: usize, to: usize) {
    let addr = machines.lock().machines[from].doors[0];
    record::line("n1, the primary of group 2, drains");
    agent.change(entry("n1", addr, SITE, 2, "DRAINING", 0));
    pause(800);
    {
        let mut world = machines.lock();
        world.machines[from].is_primary = false;
        world.machines[to].is_primary = true;
    }
    machines.close_connections(from);
    record::line("n1 has handed over to m3, which is the primary of group 2 now");
}

/// Writes and reads in both groups. Counts what went to a machine of another group.
fn traffic(client: &mut Client, machines: &Machines, round: &str, count: usize, wrong: &mut Wrong) {
    for number in 0..count {
        client.query(&write(&format!("{round}{number}-2"), "shift-update", 2, "other", "of group 2"));
        let answer = client.query(&read(&format!("{round}{number}-1r"), "lock-log-browse", 1, "shift"));
        let row = answer.row.as_deref().filter(|_| answer.is_served());
        wrong.reads += usize::from(row.is_some_and(|row| row != "of group 1"));
        let id = format!("{round}{number}-1");
        let answer = client.query(&write(&id, "shift-update", 1, "shift", "of group 1"));
        let world = machines.lock();
        let ran_elsewhere =
            world.machines.iter().any(|machine| machine.group != 1 && machine.ran.contains(&id));
        drop(world);
        wrong.writes += usize::from(answer.is_served() && ran_elsewhere);
        pause(20);
    }
}
