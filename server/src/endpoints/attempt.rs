//! Attempts to have a request executed by an endpoint. Each attempt runs in its own coroutine: it acquires a
//! connection, sends the request, and reports the result to the control loop.

use crate::endpoints::answer::{read_answer, Answer};
use crate::endpoints::completion_guard::CompletionGuard;
use crate::endpoints::connection::{IdleReadError, IoError, IoLimits, PeerConnection};
use crate::endpoints::pool::{AcquiredConnection, ConnectionPool};
use crate::endpoints::query::{send_query, HEALTH_STATEMENT};
use crate::messages::control::{AttemptConfirmation, AttemptJob, AttemptResult, ControlMessage};
use crate::messages::journal_entry::JournalVerdict;
use crate::protocol::framing::LENGTH_BYTES;
use crate::runtime::clock::NANOS_PER_MILLI;
use crate::runtime::socket_errors::MEMORY_RETRY_DELAY;
use crate::storage::journal::WriteJournal;
use admission::memory_plan::REQUEST_ANSWER_BYTES;
use may::sync::mpsc::{channel, Sender};
use routing::{AttemptId, AttemptOutcome};
use sessions::epochs::Epoch;

/// The minimum timeout that is sent to an endpoint, in milliseconds. Endpoints do not accept a timeout of zero.
const MIN_TIMEOUT_MS: i64 = 1;

/// Runs an attempt and reports its result to the control loop.
pub fn run_attempt(
    pool: &ConnectionPool,
    journal: Option<&WriteJournal>,
    control: Sender<ControlMessage>,
    job: &AttemptJob,
) {
    let started_at = job.times.started_at;
    // After a panic it is unknown whether the request was sent, so it may have been executed.
    let not_sent = AttemptResult::not_sent(job.attempt, started_at);
    let after_panic = AttemptResult { outcome: AttemptOutcome::ConnectionLost, ..not_sent };
    let guard =
        CompletionGuard::new(control, after_panic, |result| ControlMessage::AttemptEnded(Box::new(result)));
    let mut attempt = Attempt { pool, journal, control: guard.control(), job, journal_verdict: None };
    let Answer { outcome, value, charge, metadata, connection } = attempt.run();
    let journal_verdict = attempt.journal_verdict;
    let attempt = job.attempt;
    guard.complete(AttemptResult { attempt, started_at, outcome, value, charge, metadata, journal_verdict });
    if let Some(connection) = connection {
        pool.return_after_answer(job.addr, connection);
    }
}

/// An attempt in progress.
struct Attempt<'a> {
    pool: &'a ConnectionPool,
    journal: Option<&'a WriteJournal>,
    control: &'a Sender<ControlMessage>,
    job: &'a AttemptJob,
    /// The journal's verdict on the attempt; `None` before the journal was asked.
    journal_verdict: Option<JournalVerdict>,
}

/// A connection, and the epoch that its endpoint has reported on it.
struct EpochOnConnection {
    connection: PeerConnection,
    /// The epoch; `None` if the endpoint has reported none.
    epoch: Option<Epoch>,
}

/// How an attempt continues after it has used one connection.
enum NextStep {
    /// The attempt has ended.
    End(Box<Answer>),
    /// The attempt uses another connection, because the endpoint closed the reused one before the request was sent, or
    /// the state of the connection is unknown.
    TryAnotherConnection,
}

impl NextStep {
    fn end(outcome: AttemptOutcome) -> NextStep {
        NextStep::End(Box::new(Answer::not_received(outcome)))
    }
}

impl Attempt<'_> {
    fn limits(&self) -> IoLimits<'_> {
        IoLimits { deadline: self.job.times.deadline, cancellation: &self.job.cancellation }
    }

    /// Runs the attempt on one connection after another until it has ended.
    fn run(&mut self) -> Answer {
        loop {
            let acquired = match self.pool.acquire(&self.job.addr, self.limits()) {
                Ok(acquired) => acquired,
                Err(error) => return Answer::not_received(error.outcome),
            };
            match self.run_on(acquired) {
                NextStep::End(answer) => return *answer,
                NextStep::TryAnotherConnection => {}
            }
        }
    }

    /// Runs the attempt on one connection.
    fn run_on(&mut self, acquired: AcquiredConnection) -> NextStep {
        self.log_connection(&acquired);
        let AcquiredConnection { connection, is_reused } = acquired;
        let EpochOnConnection { mut connection, epoch } = match self.query_epoch_if_needed(connection) {
            Ok(queried) => queried,
            Err(error) => return step_after_failed_send(error, is_reused),
        };
        // Connecting and recording take time, in which the conditions under which the attempt was started may change.
        // So the control loop is asked for confirmation last, right before the request is sent.
        if !self.record() || !self.confirm(epoch) {
            self.pool.return_unused(self.job.addr, connection);
            return NextStep::end(AttemptOutcome::NotSent);
        }
        // Bytes that arrive before the request is sent cannot belong to its answer, but would be parsed as part of it.
        match connection.check_open_without_data() {
            Ok(()) => {}
            Err(IdleReadError::Closed) => return step_after_failed_send(IoError::ConnectionLost, is_reused),
            Err(IdleReadError::NoMemory) => {
                self.pool.timers.sleep(MEMORY_RETRY_DELAY);
                return NextStep::TryAnotherConnection;
            }
        }
        connection.set_unreserved_bytes(REQUEST_ANSWER_BYTES);
        match self.send(&mut connection) {
            Ok(()) => NextStep::End(Box::new(read_answer(connection, self.limits()))),
            Err(error) => step_after_failed_send(error, is_reused),
        }
    }

    /// Logs at debug level on which connection a request is about to be sent, and the number of the epoch that is known
    /// from it: 0 if none is.
    fn log_connection(&self, acquired: &AcquiredConnection) {
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        let AttemptId { request, number: attempt, .. } = self.job.attempt;
        let (endpoint, needs_epoch) = (self.job.addr, self.job.outgoing.needs_epoch);
        let is_reused = acquired.is_reused;
        let known_epoch = acquired.connection.primary_epoch.map_or(0, |epoch| epoch.number);
        tracing::debug!(
            request, attempt, %endpoint, is_reused, needs_epoch, known_epoch, "attempt has a connection"
        );
    }

    /// Sends the request, with its timeout replaced by the time that remains until the deadline.
    fn send(&self, connection: &mut PeerConnection) -> Result<(), IoError> {
        let text = &self.job.outgoing.text;
        let remaining = self.job.times.deadline - self.pool.timers.now();
        let timeout_ms = (remaining.0 / NANOS_PER_MILLI).max(MIN_TIMEOUT_MS).to_string();
        let head = &text.body[..text.timeout_digits.start];
        let tail = &text.body[text.timeout_digits.end..];
        let length = (LENGTH_BYTES + head.len() + timeout_ms.len() + tail.len()) as u32;
        let parts: [&[u8]; 5] = [b"Q", &length.to_be_bytes(), head, timeout_ms.as_bytes(), tail];
        connection.write(&parts, self.limits())
    }

    /// Records the attempt in the write journal, if it must be recorded. The attempt is recorded only once, even if
    /// it uses several connections. Returns whether the attempt may be sent.
    fn record(&mut self) -> bool {
        let (Some(entry), Some(journal)) = (&self.job.outgoing.journal_entry, self.journal) else {
            return true;
        };
        if self.journal_verdict.is_none() {
            self.journal_verdict = Some(journal.record_send(entry));
        }
        self.journal_verdict.is_some_and(JournalVerdict::allows_sending)
    }

    /// Asks the control loop whether the attempt may still be sent, and waits for the reply. `epoch` is that of the
    /// attempt's connection, if it is known.
    fn confirm(&self, epoch: Option<Epoch>) -> bool {
        let (reply, confirmed) = channel();
        let question = AttemptConfirmation { attempt: self.job.attempt, epoch, reply };
        let asked = self.control.send(ControlMessage::ConfirmAttempt(question));
        asked.is_ok() && confirmed.recv().unwrap_or(false)
    }

    /// Returns the connection with the epoch that is known from it. If the request needs an epoch and none is known, the
    /// epoch is queried first.
    ///
    /// # Errors
    /// As for [`Attempt::query_epoch`].
    fn query_epoch_if_needed(&self, connection: PeerConnection) -> Result<EpochOnConnection, IoError> {
        let epoch = connection.primary_epoch;
        if self.job.outgoing.needs_epoch && epoch.is_none() {
            return self.query_epoch(connection);
        }
        Ok(EpochOnConnection { connection, epoch })
    }

    /// Queries the endpoint's epoch.
    ///
    /// An endpoint that reports no epoch is used as well, although the loss of a position cannot be detected there.
    ///
    /// # Errors
    /// The connection cannot be reused after the query.
    fn query_epoch(&self, mut connection: PeerConnection) -> Result<EpochOnConnection, IoError> {
        send_query(&mut connection, HEALTH_STATEMENT, self.limits())?;
        let Answer { outcome, metadata, connection, .. } = read_answer(connection, self.limits());
        let connection = connection.ok_or(match outcome {
            AttemptOutcome::TimedOut => IoError::TimedOut,
            AttemptOutcome::Cancelled => IoError::Cancelled,
            _ => IoError::ConnectionLost,
        })?;
        Ok(EpochOnConnection { connection, epoch: metadata.epoch })
    }
}

/// How an attempt continues if the last byte of its request was not sent, so that the request was not executed.
fn step_after_failed_send(error: IoError, is_reused: bool) -> NextStep {
    match error {
        // The endpoint closed the connection while it was idle in the pool.
        IoError::ConnectionLost if is_reused => NextStep::TryAnotherConnection,
        IoError::ConnectionLost => NextStep::end(AttemptOutcome::Unreachable),
        IoError::TimedOut | IoError::Cancelled => NextStep::end(AttemptOutcome::NotSent),
    }
}
