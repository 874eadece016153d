//! Clients that send a request and leave at once, then the usual clients. By the operators' page an instance may not
//! reject all that it gets for 4 s on end, with no attempt in between.

use crate::cluster::{unix_ms, Cluster};
use crate::deployment::{cannot_run, Discovery, Folder, Instance, Record};
use crate::wire::{query, startup, Answer, Client};
use crate::{ask_until_served, read_statement, write_statement, Setup};
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const INSTANCES: usize = 2;
/// The clients that leave, at each instance, and the pause between two of them.
const LEAVERS: usize = 40;
const LEAVER_PAUSE: Duration = Duration::from_millis(50);
/// The pause after the last one, longer than any request's time.
const QUIET: Duration = Duration::from_millis(3_500);
/// The usual clients of each instance, and how long they send one request after another.
const CLIENTS: usize = 8;
const USUAL_MS: i64 = 8_000;
/// The bounds of the rule.
const REJECTED_MS: i64 = 4_000;
const REJECTED_REQUESTS: usize = 15;
/// At most one instance in this many may reject all that it gets.
const ONE_IN: usize = 10;

/// A request of a usual client.
struct Request {
    id: String,
    instance: usize,
    sent_ms: i64,
    answered_ms: i64,
    answer: Answer,
}

pub fn run(setup: &Setup) -> bool {
    let record = &setup.record;
    let cluster = Cluster::start(INSTANCES, 20);
    let discovery: Vec<Discovery> =
        (0..INSTANCES).map(|instance| Discovery::start(&cluster, instance)).collect();
    let folder = Folder::new();
    let mut instances: Vec<Instance> = (0..INSTANCES)
        .map(|index| {
            let name = format!("n{}", index + 1);
            Instance::start(&setup.root, &folder.0, &name, &discovery[index].addr, None)
        })
        .collect();
    for (index, instance) in instances.iter().enumerate() {
        let Some(mut client) = Client::open(&instance.listen, None, 5_000) else {
            cannot_run("an instance does not greet")
        };
        ask_until_served(&mut client, &format!("read-{index}"), read_statement);
        ask_until_served(&mut client, &format!("write-{index}"), write_statement);
        record.line(&format!("n{}: a read and a write were served", index + 1));
    }
    for number in 0..LEAVERS {
        for (index, instance) in instances.iter().enumerate() {
            let id = format!("leaver-{index}-{number}");
            let text = if number % 2 == 0 { write_statement(&id) } else { read_statement(&id) };
            send_and_leave(&instance.listen, &text, setup.trouble);
        }
        thread::sleep(LEAVER_PAUSE);
    }
    let left = if setup.trouble { "left at once" } else { "waited for their answers" };
    record.line(&format!("{LEAVERS} clients of each instance have sent one request and {left}"));
    thread::sleep(QUIET);
    let requests = usual_clients(&instances, record);
    let executed: Vec<String> = cluster.state().executed.iter().map(|executed| executed.id.clone()).collect();
    let leavers_run = executed.iter().filter(|id| id.starts_with("leaver")).count();
    record.line(&format!("run: {leavers_run} requests of the leavers"));
    let mut rejecting = 0;
    for (index, instance) in instances.iter_mut().enumerate() {
        let own: Vec<&Request> = requests.iter().filter(|request| request.instance == index).collect();
        let rejects = rejects_all(&own, &executed);
        let run = own.iter().filter(|request| executed.contains(&request.id)).count();
        record.line(&format!(
            "n{}: {} requests of usual clients, {run} of them run; it rejects all that it gets: {rejects}; it is running: {}",
            index + 1,
            own.len(),
            instance.is_running()
        ));
        instance.record_log(record);
        rejecting += usize::from(rejects);
    }
    rejecting * ONE_IN <= INSTANCES
}

/// Connects, sends the startup message and a query, and leaves, or stays until the answer has come.
fn send_and_leave(listen: &str, text: &str, leave: bool) {
    if !leave {
        let Some(mut client) = Client::open(listen, None, 5_000) else { cannot_run("no connection") };
        if !matches!(client.ask(text), Answer::Value(_)) {
            cannot_run("a request was not served although its client stayed");
        }
        return;
    }
    let Ok(mut stream) = TcpStream::connect(listen) else { cannot_run("no connection") };
    let mut bytes = startup(None);
    bytes.extend(query(text));
    if stream.write_all(&bytes).is_err() {
        cannot_run("a request was not sent");
    }
}

/// The usual clients of all instances send one request after another for [`USUAL_MS`].
fn usual_clients(instances: &[Instance], record: &Record) -> Vec<Request> {
    let requests = Arc::new(Mutex::new(Vec::new()));
    let until_ms = unix_ms() + USUAL_MS;
    thread::scope(|scope| {
        for (index, instance) in instances.iter().enumerate() {
            for client_index in 0..CLIENTS {
                let (requests, listen, record) = (requests.clone(), instance.listen.clone(), record.clone());
                scope.spawn(move || {
                    let mut client = Client::open(&listen, None, 5_000);
                    let mut number = 0;
                    while let Some(open) = client.as_mut().filter(|_| unix_ms() < until_ms) {
                        number += 1;
                        let id = format!("usual-{index}-{client_index}-{number}");
                        let text = if number % 2 == 0 { write_statement(&id) } else { read_statement(&id) };
                        let sent_ms = unix_ms();
                        let answer = open.ask(&text);
                        record.line(&format!("n{}: {id}: {}", index + 1, answer.text()));
                        if answer == Answer::Missing {
                            client = Client::open(&listen, None, 5_000);
                        }
                        let request =
                            Request { id, instance: index, sent_ms, answered_ms: unix_ms(), answer };
                        requests.lock().expect("the requests").push(request);
                        thread::sleep(Duration::from_millis(100));
                    }
                });
            }
        }
    });
    let requests = std::mem::take(&mut *requests.lock().expect("the requests"));
    requests
}

/// Whether an instance rejected all that it got for [`REJECTED_MS`] on end, at least [`REJECTED_REQUESTS`] requests, with
/// no attempt in between.
fn rejects_all(requests: &[&Request], executed: &[String]) -> bool {
    let is_rejected = |request: &Request| {
        let code = Answer::Error("53300".into());
        let other = Answer::Error("57P03".into());
        (request.answer == code || request.answer == other) && !executed.contains(&request.id)
    };
    requests.iter().any(|first| {
        let end_ms = first.sent_ms + REJECTED_MS;
        let in_window =
            || requests.iter().filter(|request| (first.sent_ms..end_ms).contains(&request.sent_ms));
        let lasts = requests.iter().any(|request| request.answered_ms >= end_ms);
        lasts && in_window().count() >= REJECTED_REQUESTS && in_window().all(|request| is_rejected(request))
    })
}
