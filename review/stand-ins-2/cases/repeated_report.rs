//! A machine sends its answer to a load report a second time, a little later. A session's write is sent on that
//! connection.

use super::{conf_with_sessions, discovery};
use crate::client::{read, write, Client};
use crate::machines::Machines;
use crate::record::{self, pause};
use crate::router::{settings, Router, PAMPLEMOUSSES};
use crate::Verdict;
use std::time::Duration;

pub fn play(with_trouble: bool) -> Verdict {
    let machines = Machines::default();
    machines.add_group(1, &["m1", "m2", "m3"], 1);
    let agent = discovery(&machines, 0, |_| "port-louis-office");
    let Some(router) = Router::start("A", &settings(&PAMPLEMOUSSES, 2, 0), agent.addr, conf_with_sessions)
    else {
        return Verdict::NotRun("the router did not start".into());
    };
    let Some(mut client) = Client::connect(router.listen, "session", Some("new")) else {
        return Verdict::NotRun("no connection".into());
    };
    if !client.query_until_served("w0", |id| write(id, "booking-write", 1, "boat", "free")).is_served() {
        return Verdict::NotRun("the first write was not served".into());
    }
    pause(100);
    if !client.query_until_served("r0", |id| read(id, "availability-read", 1, "boat")).is_served() {
        return Verdict::NotRun("the first read was not served".into());
    }
    if with_trouble {
        record::line("m1 sends each load report twice from now on, and closes its idle connections");
        machines.lock().machines[0].repeats_report_after = Some(Duration::from_millis(2));
    }
    machines.close_connections(0);
    for number in 1..=20 {
        let (id, value) = (format!("w{number}"), format!("booking {number}"));
        let answer = client.query(&write(&id, "booking-write", 1, "boat", &value));
        if answer.is_served() && answer.row.as_deref() != Some(value.as_str()) {
            return Verdict::Broken(format!(
                "the write {id} was answered by {}, which no store made for it",
                answer.text()
            ));
        }
        pause(60);
    }
    Verdict::Held
}
