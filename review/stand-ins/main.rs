//! The cases of the review, one command for each, and their stand-ins: endpoints, discovery and clients as the operators'
//! pages describe them. Every address is a loopback address.

mod cluster;
mod deployment;
mod leavers;
mod lost_tail;
mod old_primary;
mod wire;

use deployment::Record;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;
use wire::{Answer, Client};

/// What a case is started with.
pub struct Setup {
    /// The root of the project.
    pub root: PathBuf,
    pub record: Record,
    /// Whether the disruption happens.
    pub trouble: bool,
}

/// The method of the reads: their data may be 800 ms old.
pub const VIEW: &str = "view";
/// The method of the writes, which must never run twice.
pub const BOOK: &str = "book";

/// The settings of a deployment of two instances, with the figures of the operators' wire page and the first site.
pub fn settings() -> String {
    let classes = [
        r#"{"aimNs":600000000,"deadlineNs":1500000000,"effect":"read_like","name":"view"}"#,
        r#"{"aimNs":500000000,"deadlineNs":3000000000,"effect":"non_idempotent","lateValue":0.5,"name":"book"}"#,
    ];
    let allowed = concat!(
        r#"{"connIdleNs":30000000000,"dialTimeoutNs":250000000,"maxAttempts":6,"maxRetryAfterNs":2000000000,"#,
        r#""mayCancel":true,"mostHeld":20000,"peers":false,"probes":true,"retryAfter":true,"secondCopies":false}"#
    );
    let family = concat!(
        r#"{"classRead":["recent","update"],"countedFromNs":0,"guards":"off","lagAllowedNs":[800000000,0],"#,
        r#""positions":true,"reportX0":"position in seconds","reportX1":"1 from a primary","roleInList":"delayed","#,
        r#""sessionMarks":"client","synchronous":false}"#
    );
    let rules = concat!(
        r#"{"askWithinNs":10000000000,"coldFrom":0.23,"coldNs":16000000000,"fallMultiple":2.5,"#,
        r#""graceToAnswerNs":20000000,"overloadForNs":2000000000,"stopSendingWithinNs":250000000}"#
    );
    format!(
        r#"{{"allowed":{allowed},"azs":["a"],"classes":[{}],"clients":{{"marksRetry":true}},"family":"replicas","familyInfo":{family},"membershipMode":"push","nInstances":2,"report":{{"how":"on_probe","names":["x0","x1","load_share"]}},"resolutionNs":5000000,"rules":{rules},"weights":"off","zone":0}}"#,
        classes.join(",")
    )
}

/// The statement of a write.
pub fn write_statement(id: &str) -> String {
    let insert = "INSERT INTO kv (name, content) VALUES ('7f3a9c21e0b4d655', '\\x9f03') RETURNING content";
    format!("/* id={id},c={BOOK},d=3000,cluster=1 */ {insert}")
}

/// The statement of a read.
pub fn read_statement(id: &str) -> String {
    format!("/* id={id},c={VIEW},d=1500,cluster=1 */ SELECT content FROM kv WHERE name = '7f3a9c21e0b4d655'")
}

/// Sends statements that `statement` makes from an id until one is served; the instance may not know the list yet.
pub fn ask_until_served(client: &mut Client, name: &str, statement: fn(&str) -> String) {
    for number in 0..50 {
        if matches!(client.ask(&statement(&format!("{name}-{number}"))), Answer::Value(_)) {
            return;
        }
        thread::sleep(Duration::from_millis(100));
    }
    deployment::cannot_run(&format!("no statement {name} is served before the disruption"));
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else { deployment::cannot_run("expected a case and its folder") };
    let folder = Path::new(folder);
    let root = folder.parent().and_then(Path::parent).unwrap_or(folder).to_path_buf();
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let setup = Setup { root, record: Record::create(&folder.join("record.txt")), trouble };
    deployment::limit_time(110);
    let held = match case.as_str() {
        "leavers" => leavers::run(&setup),
        "lost-tail" => lost_tail::run(&setup),
        "old-primary" => old_primary::run(&setup),
        other => deployment::cannot_run(&format!("no case is named {other}")),
    };
    let verdict = if held { "the rule held" } else { "the rule was broken" };
    setup.record.line(verdict);
    println!("{verdict}");
    std::process::exit(i32::from(!held));
}
