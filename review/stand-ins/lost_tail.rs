//! A session's write after a failover that has lost what the session saw. The promise is `ZG001`, and that the write is
//! not executed.

use crate::cluster::{unix_ms, Cluster};
use crate::deployment::{cannot_run, session_file, Discovery, Folder, Instance};
use crate::wire::{Answer, Client};
use crate::{ask_until_served, write_statement, Setup};
use std::thread;
use std::time::Duration;

/// How late a replica gets the log: 4.1 to 12 ms by the brief. What it has not got is lost with the primary.
const LAG_MS: i64 = 12;
/// Time from the primary's death to the new primary: given up after 1.7 s, taken over 1.7 s later.
const FAILOVER: Duration = Duration::from_millis(3_400);
/// How often the session's client sends a write that was rejected again.
const TRIES: usize = 10;

pub fn run(setup: &Setup) -> bool {
    let record = &setup.record;
    let cluster = Cluster::start(1, LAG_MS);
    let discovery = Discovery::start(&cluster, 0);
    let folder = Folder::new();
    let conf = session_file(&folder.0);
    let instance = Instance::start(&setup.root, &folder.0, "n1", &discovery.addr, Some(&conf));
    let Some(mut client) = Client::open(&instance.listen, Some("new"), 5_000) else {
        cannot_run("no session")
    };

    ask_until_served(&mut client, "w0", write_statement);
    let first = client.ask(&write_statement("w1"));
    let died_ms = unix_ms();
    if setup.trouble {
        cluster.kill(0);
    }
    record.line(&format!("the session sends w1: {}", first.text()));
    if !matches!(first, Answer::Value(_)) {
        cannot_run("the first write was not answered");
    }
    if setup.trouble {
        let began_ms = died_ms - LAG_MS;
        let committed_ms = cluster.executions("w1").first().map_or(0, |executed| executed.at_ms);
        record.line(&format!("the primary s-1 died at {died_ms}, w1 was committed at {committed_ms}"));
        if committed_ms <= began_ms {
            cannot_run("the machine was too slow: the replicas have w1");
        }
        thread::sleep(FAILOVER);
        cluster.promote(1, 2, began_ms);
        record.line(&format!("s-2 takes over, epoch 2 began at {began_ms}, so w1 is lost"));
    }

    let mut answer = Answer::Missing;
    let mut id = String::new();
    for attempt in 0..TRIES {
        id = format!("w2-{attempt}");
        answer = client.ask(&write_statement(&id));
        record.line(&format!("the session sends {id}: {}", answer.text()));
        // A rejected write is harmless to send again.
        if answer != Answer::Error("53300".into()) {
            break;
        }
        thread::sleep(Duration::from_millis(200));
    }
    for executed in &cluster.state().executed {
        record.line(&executed.text());
    }
    instance.record_log(record);
    let ran = cluster.executions(&id);
    if !setup.trouble {
        // Nothing was lost, so the write has to be served.
        return matches!(answer, Answer::Value(_)) && ran.len() == 1;
    }
    let ran_without_w1 = ran.iter().any(|executed| executed.epoch == 2);
    record.line(&format!("{id} was executed on a log without w1: {ran_without_w1}"));
    !ran_without_w1
}
