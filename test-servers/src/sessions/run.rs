//! A run: clients send requests while instances are killed and a failover happens, and the history is checked.

use super::client::SessionClient;
use super::deployment::Deployment;
use super::plan::Plan;
use crate::client::{Answer, RequestRecord};
use crate::daemon::Daemon;
use crate::Build;
use history_checker::{check, FateAnswer, Verdict, SESSION_LOST};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// How long clients continue to send requests after the last kill.
const AFTER_LAST_KILL: Duration = Duration::from_millis(600);

/// Result of a run.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Verdict on the history of the run.
    pub verdict: Verdict,
    /// Number of kills of instances.
    pub kills: usize,
    /// Number of writes that were aborted or whose answer was lost.
    pub writes_in_doubt: usize,
    /// Number of writes in doubt whose fate was reported when it was queried.
    pub fates_reported: usize,
    /// Number of writes in doubt that were served when they were sent again.
    pub served_on_retry: usize,
    /// Number of errors that told a session that a failover has lost data that the session had observed.
    pub losses_reported: usize,
}

/// Runs a plan with a build of the daemon.
///
/// # Errors
/// A process cannot be started, a file cannot be written, or a client panicked.
pub fn run_plan(plan: &Plan, build: &Build) -> std::io::Result<Outcome> {
    let deployment = Deployment::new(plan, build)?;
    let mut daemons: Vec<Option<Daemon>> = (0..plan.instances)
        .map(|index| deployment.start_instance(index).map(Some))
        .collect::<Result<_, _>>()?;
    let clients = deployment.start_clients();
    deployment.kill_instances(&mut daemons)?;
    thread::sleep(AFTER_LAST_KILL);
    deployment.shared.is_over.store(true, Ordering::Release);
    let mut outcome = Outcome { kills: plan.kills, ..Outcome::default() };
    let (mut sessions, mut fates) = (Vec::new(), Vec::new());
    for client in clients {
        let client = client.join().map_err(|_| std::io::Error::other("a client panicked"))?;
        outcome.add(&client);
        sessions.push(client.records);
        fates.extend(client.fates);
    }
    drop(daemons);
    outcome.verdict = check(&deployment.cluster.history(Vec::new(), sessions, fates));
    Ok(outcome)
}

impl Outcome {
    /// Adds the results of one client.
    fn add(&mut self, client: &SessionClient) {
        let is_loss = |record: &&RequestRecord| record.answer == Answer::Error(SESSION_LOST.into());
        let is_reported = |fate: &&FateAnswer| matches!(fate.answer, Answer::Value(_));
        self.writes_in_doubt += client.writes_in_doubt;
        self.served_on_retry += client.served_on_retry;
        self.losses_reported += client.records.iter().filter(is_loss).count();
        self.fates_reported += client.fates.iter().filter(is_reported).count();
    }
}
