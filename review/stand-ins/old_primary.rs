//! A session that has seen the log of a new primary moves to another instance, which reaches the old primary only. The
//! promise is that a write follows what the session has read.

use crate::cluster::{unix_ms, Cluster};
use crate::deployment::{cannot_run, session_file, Discovery, Folder, Instance};
use crate::wire::{Answer, Client};
use crate::{ask_until_served, write_statement, Setup};
use std::thread;
use std::time::{Duration, Instant};

/// Time from the cut to the new primary: the old one is given up after 1.7 s, a replica takes over 1.7 s later.
const FAILOVER: Duration = Duration::from_millis(3_400);
/// The longest cut in the incident record that the case stays inside.
const CUT: Duration = Duration::from_millis(19_000);
/// The number of writes that the session sends to the second instance.
const WRITES: usize = 5;

pub fn run(setup: &Setup) -> bool {
    let record = &setup.record;
    let cluster = Cluster::start(2, 20);
    let discovery: Vec<Discovery> = (0..2).map(|instance| Discovery::start(&cluster, instance)).collect();
    let folder = Folder::new();
    let conf = session_file(&folder.0);
    let start = |name, instance: usize| {
        Instance::start(&setup.root, &folder.0, name, &discovery[instance].addr, Some(&conf))
    };
    let (first, second) = (start("n1", 0), start("n2", 1));
    let Some(mut client) = Client::open(&first.listen, Some("new"), 5_000) else { cannot_run("no session") };
    ask_until_served(&mut client, "w0", write_statement);
    record.line("the session's write w0 was served at n1");

    let cut_at = Instant::now();
    if setup.trouble {
        record.line("the building of s-1 and n2 is cut off from that of s-2, s-3 and n1");
        cluster.cut(0, 0);
        cluster.cut(1, 1);
        cluster.cut(2, 1);
        thread::sleep(FAILOVER);
        cluster.promote(1, 2, unix_ms());
        record.line("s-2 takes over, epoch 2; s-1 has not heard of it");
    }
    let seen_epoch = write_until_served(&mut client, setup);
    let Some(token) = client.token.clone() else { cannot_run("the session has no token") };
    record.line(&format!("the session has seen epoch {seen_epoch}; it moves to n2 with its token"));
    let Some(mut client) = Client::open(&second.listen, Some(&token), 5_000) else {
        cannot_run("n2 does not take the session")
    };
    for number in 0..WRITES {
        let id = format!("w2-{number}");
        let answer = client.ask(&write_statement(&id));
        record.line(&format!("the session sends {id} to n2: {}", answer.text()));
    }
    if cut_at.elapsed() > CUT {
        cannot_run("the cut lasted longer than the pages say");
    }
    for executed in &cluster.state().executed {
        record.line(&executed.text());
    }
    first.record_log(record);
    second.record_log(record);
    let ran: Vec<u32> = (0..WRITES)
        .flat_map(|number| cluster.executions(&format!("w2-{number}")))
        .map(|executed| executed.epoch)
        .collect();
    let behind = ran.iter().filter(|epoch| **epoch < seen_epoch).count();
    record.line(&format!("{behind} of {WRITES} writes were executed on a log without what the session saw"));
    if !setup.trouble && ran.len() != WRITES {
        // Without a cut, all writes have to be served.
        return false;
    }
    behind == 0
}

/// Sends writes to the first instance until one is served; returns the epoch in which it was.
fn write_until_served(client: &mut Client, setup: &Setup) -> u32 {
    for number in 0..20 {
        let id = format!("w1-{number}");
        let answer = client.ask(&write_statement(&id));
        setup.record.line(&format!("the session sends {id} to n1: {}", answer.text()));
        match answer {
            Answer::Value(value) => {
                let text = String::from_utf8_lossy(&value).into_owned();
                return text.rsplit(' ').next().and_then(|epoch| epoch.parse().ok()).unwrap_or(0);
            }
            _ => thread::sleep(Duration::from_millis(100)),
        }
    }
    cannot_run("n1 serves no write after the failover")
}
