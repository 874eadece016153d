//! The connection of a session is lost after its write was sent. On a new connection the session asks for the fate of the
//! write, learns that it was executed, and reads.

use super::{conf_with_journal, discovery};
use crate::client::{read, write, Client};
use crate::machines::Machines;
use crate::proxy::Proxy;
use crate::record::{self, pause};
use crate::router::{settings, Router, FLACQ};
use crate::Verdict;
use std::time::Duration;

const READS: usize = 5;

pub fn play(with_trouble: bool) -> Verdict {
    let machines = Machines::default();
    machines.add_group(1, &["m1", "m2", "m3", "m4"], 1);
    let agent = discovery(&machines, 0, |_| "centre-de-flacq");
    let Some(router) = Router::start("A", &settings(&FLACQ, 2, 0), agent.addr, conf_with_journal) else {
        return Verdict::NotRun("the router did not start".into());
    };
    let proxy = Proxy::start(router.listen);
    let Some(mut client) = Client::connect(proxy.addr, "session", Some("new")) else {
        return Verdict::NotRun("no connection".into());
    };
    let Some(origin) = client.origin.clone() else {
        return Verdict::NotRun("the greeting has no origin".into());
    };
    if !client.query_until_served("w0", |id| write(id, "shift-update", 1, "shift", "free")).is_served() {
        return Verdict::NotRun("the first write was not served".into());
    }
    pause(100);
    if !client.query_until_served("r0", |id| read(id, "lock-log-browse", 1, "shift")).is_served() {
        return Verdict::NotRun("the first read was not served".into());
    }
    {
        let mut world = machines.lock();
        for index in 1..=3 {
            world.machines[index].frozen_at = Some(world.position(index));
        }
        record::line("m2, m3 and m4 apply the log slowly: nothing more for the rest of this case");
        world.machines[0].write_delay = Duration::from_millis(200);
    }
    let statement = write("w1", "shift-update", 1, "shift", "claimed");
    record::line(&format!("session sends     {statement}"));
    client.send(&statement);
    let token = client.token.clone().unwrap_or_default();
    if with_trouble {
        pause(100);
        record::line("the session's connection is lost before the answer");
        proxy.end_connections();
    }
    let answer = client.read_answer();
    record::line(&format!("session receives  {}", answer.text()));
    if !answer.is_served() {
        pause(300);
        let Some(again) = Client::connect(proxy.addr, "session", Some(&token)) else {
            return Verdict::NotRun("no connection after the loss".into());
        };
        client = again;
        let asked = format!("/* fate=w1,at={origin} */ SHOW gingerwick.fate");
        if !client.query(&asked).row.is_some_and(|row| row.starts_with("ran")) {
            return Verdict::NotRun("the session was not told that its write was executed".into());
        }
    }
    for number in 1..=READS {
        let answer = client.query(&read(&format!("r{number}"), "lock-log-browse", 1, "shift"));
        if answer.is_served() && answer.row.as_deref() != Some("claimed") {
            return Verdict::Broken(format!(
                "the session's read r{number} shows {}, without its write w1, of which it was told that it ran",
                answer.text()
            ));
        }
    }
    Verdict::Held
}
