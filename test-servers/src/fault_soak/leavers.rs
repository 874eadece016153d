//! Clients that send many writes at once, leave, and send some of the ids again on a new connection.

use crate::fault_soak::client::{ClientContext, Connection, Target};
use routing::rng::Mwc;
use std::thread;
use std::time::{Duration, Instant};

/// The number of writes that a client leaves behind.
const WRITES: usize = 40;
/// The number of ids that a client sends again.
const REPEATED: usize = 5;
/// The longest time after which a client leaves, in milliseconds.
const MAX_STAY_MS: usize = 300;
/// How long after it has left a client sends ids again.
const REPEAT_AFTER: Duration = Duration::from_millis(300);
/// How long a client waits for the answers to the repeated ids.
const REPEAT_STAY: Duration = Duration::from_millis(100);

/// Leaves writes behind and repeats some of their ids, until the end of the run.
pub fn run(context: &ClientContext, target: Target, seed: u64) {
    let mut rng = Mwc::new(seed);
    while Instant::now() < context.until {
        leave_and_repeat(context, target, &mut rng);
        thread::sleep(REPEAT_AFTER);
    }
}

/// Sends writes, leaves and repeats some of the ids, once. Only the first request of each id is recorded: the verdict
/// counts all executions of an id.
fn leave_and_repeat(context: &ClientContext, target: Target, rng: &mut Mwc) -> Option<()> {
    let mut connection = Connection::open(context, target)?;
    let mut sent: Vec<_> =
        (0..WRITES).map_while(|_| connection.send_with_id(rng, context.new_id(), true, false)).collect();
    for request in sent.iter_mut().step_by(WRITES / REPEATED) {
        request.is_repeated = true;
    }
    thread::sleep(Duration::from_millis(rng.below(MAX_STAY_MS) as u64));
    connection.leave(&sent, rng);
    thread::sleep(REPEAT_AFTER);
    let mut connection = Connection::open(context, target)?;
    for request in sent.iter().filter(|request| request.is_repeated) {
        connection.send_with_id(rng, request.id.clone(), true, false)?;
    }
    thread::sleep(REPEAT_STAY);
    Some(())
}
