//! A machine was removed from its group, and a machine of another group has its address now. Discovery's agent is started
//! again twice, and offers an old copy of the list for less than a second each time.

use super::discovery;
use crate::client::{read, write, Client};
use crate::discovery::{entry, Discovery};
use crate::machines::Machines;
use crate::record::{self, pause, unix_ms};
use crate::router::{settings, Router, FLACQ};
use crate::Verdict;
use std::time::{Duration, Instant};

const SITE: &str = "centre-de-flacq";
/// For how long the agent has the old copy: less than the two seconds that tell a copy from a new discovery.
const COPY_MS: u64 = 900;

pub fn play(with_trouble: bool) -> Verdict {
    let machines = Machines::default();
    let first = machines.add_group(1, &["m1", "m2", "m3", "m4"], 1);
    let second = machines.add_group(2, &["n1", "n2", "n4"], 1);
    let agent = discovery(&machines, 0, |_| SITE);
    let conf = |_: &std::path::Path| String::new();
    let Some(router) = Router::start("A", &settings(&FLACQ, 2, 0), agent.addr, conf) else {
        return Verdict::NotRun("the router did not start".into());
    };
    let Some(mut client) = Client::connect(router.listen, "client", None) else {
        return Verdict::NotRun("no connection".into());
    };
    let served =
        client.query_until_served("w1", |id| write(id, "shift-update", 1, "boat", "of group 1")).is_served()
            && client
                .query_until_served("w2", |id| write(id, "shift-update", 2, "boat", "of group 2"))
                .is_served();
    if !served {
        return Verdict::NotRun("the first writes were not served".into());
    }
    pause(100);
    if let Some(broken) = reads(&mut client, "a", 2_000) {
        return Verdict::NotRun(format!("before the disruption: {broken}"));
    }
    replace(&machines, &agent, first[2], second[0]);
    if let Some(broken) = reads(&mut client, "b", 1_500) {
        return Verdict::NotRun(format!("before the disruption: {broken}"));
    }
    for round in ["c", "d"] {
        if with_trouble {
            record::line("discovery's agent is started again, with an old copy of the list");
            agent.restart_with_old_copy();
        }
        let broken = reads(&mut client, round, COPY_MS);
        if with_trouble {
            record::line("discovery's agent is filled");
            agent.fill();
        }
        let broken = broken.or_else(|| reads(&mut client, &format!("{round}{round}"), 5_000));
        if let Some(broken) = broken {
            return Verdict::Broken(broken);
        }
    }
    Verdict::Held
}

/// m3 drains, is removed, and stops. n3 of group 2 is started at its address.
fn replace(machines: &Machines, agent: &Discovery, index: usize, primary: usize) {
    let addr = machines.lock().machines[index].doors[0];
    record::line("m3 of group 1 drains");
    agent.change(entry("m3", addr, SITE, 1, "DRAINING", 0));
    pause(600);
    record::line("m3 is removed from the list and stops");
    agent.change(entry("m3", addr, SITE, 1, "DELETED", 0));
    pause(600);
    {
        let mut world = machines.lock();
        let log = world.machines[primary].log;
        let machine = &mut world.machines[index];
        (machine.name, machine.group, machine.log) = ("n3".to_string(), 2, log);
    }
    machines.close_connections(index);
    record::line("n3 of group 2 is started, at the address that m3 had");
    agent.change(entry("n3", addr, SITE, 2, "SERVING", unix_ms()));
}

/// Reads in group 1 for a time. Returns what was wrong with an answer.
fn reads(client: &mut Client, round: &str, millis: u64) -> Option<String> {
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < Duration::from_millis(millis) {
        let id = format!("{round}{number}");
        let answer = client.query(&read(&id, "lock-log-browse", 1, "boat"));
        if answer.is_served() && answer.row.as_deref() != Some("of group 1") {
            return Some(format!("the read {id} in group 1 was answered with {}", answer.text()));
        }
        number += 1;
        pause(25);
    }
    None
}
