//! A machine drains, is removed from its group, and is listed again under its name and address, now in another group.

use super::discovery;
use crate::client::{read, write, Client};
use crate::discovery::entry;
use crate::machines::Machines;
use crate::record::{self, pause, unix_ms};
use crate::router::{settings, Router, FLACQ};
use crate::Verdict;

const SITE: &str = "centre-de-flacq";
const READS: usize = 300;

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
    let served =
        client.query_until_served("w1", |id| write(id, "shift-update", 1, "shift", "of group 1")).is_served()
            && client
                .query_until_served("w2", |id| write(id, "shift-update", 2, "shift", "of group 2"))
                .is_served();
    if !served {
        return Verdict::NotRun("the first writes were not served".into());
    }
    pause(100);
    if let Some(wrong) = reads(&mut client, "a", 40) {
        return Verdict::NotRun(format!("before the disruption: {wrong}"));
    }
    let (index, group) = (first[2], if with_trouble { 2 } else { 1 });
    let addr = machines.lock().machines[index].doors[0];
    record::line("m3 of group 1 drains");
    agent.change(entry("m3", addr, SITE, 1, "DRAINING", 0));
    pause(600);
    record::line("m3 is removed from the list and stops");
    agent.change(entry("m3", addr, SITE, 1, "DELETED", 0));
    machines.close_connections(index);
    pause(600);
    if with_trouble {
        let mut world = machines.lock();
        let log = world.machines[second[0]].log;
        (world.machines[index].group, world.machines[index].log) = (2, log);
    }
    record::line(&format!("m3 is started and listed again, in group {group}"));
    agent.change(entry("m3", addr, SITE, group, "SERVING", unix_ms()));
    pause(500);
    match reads(&mut client, "b", READS) {
        Some(wrong) => Verdict::Broken(wrong),
        None => Verdict::Held,
    }
}

/// Reads in group 1. Returns what was wrong with an answer.
fn reads(client: &mut Client, round: &str, count: usize) -> Option<String> {
    for number in 0..count {
        let id = format!("{round}{number}");
        let answer = client.query(&read(&id, "lock-log-browse", 1, "shift"));
        if answer.is_served() && answer.row.as_deref() != Some("of group 1") {
            return Some(format!("the read {id} in group 1 was answered with {}", answer.text()));
        }
        pause(25);
    }
    None
}
