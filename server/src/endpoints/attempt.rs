//! Attempts: one coroutine each, from the connection that it takes to the outcome that it reports.

use crate::endpoints::answer::{read_answer, Answer};
use crate::endpoints::completion_guard::CompletionGuard;
use crate::endpoints::connection::{IoLimits, IoStop, PeerConnection};
use crate::endpoints::pool::ConnectionPool;
use crate::endpoints::query::{send, HEALTH_STATEMENT};
use crate::messages::control::{AttemptJob, AttemptReport, ConfirmAttempt, ControlMessage};
use crate::messages::journal_entry::JournalVerdict;
use crate::storage::journal::WriteJournal;
use may::sync::mpsc::{channel, Sender};
use routing::AttemptOutcome;

const NANOS_PER_MILLI: i64 = 1_000_000;

/// Makes an attempt and reports its end.
pub fn run_attempt(
    pool: &ConnectionPool,
    journal: Option<&WriteJournal>,
    control: Sender<ControlMessage>,
    job: &AttemptJob,
) {
    let started_at = job.times.started_at;
    // An attempt that ends in a panic may have run.
    let not_sent = AttemptReport::not_sent(job.attempt, started_at);
    let if_lost = AttemptReport { outcome: AttemptOutcome::ConnectionLost, ..not_sent };
    let guard =
        CompletionGuard::new(control, if_lost, |report| ControlMessage::AttemptEnded(Box::new(report)));
    let mut attempt = Attempt { pool, journal, control: guard.control(), job, journal_verdict: None };
    let Answer { outcome, value, reports, connection } = attempt.run();
    let journal_verdict = attempt.journal_verdict;
    let attempt = job.attempt;
    guard.complete(AttemptReport { attempt, started_at, outcome, value, reports, journal_verdict });
    if let Some(connection) = connection {
        pool.give_back(job.addr, connection);
    }
}

struct Attempt<'a> {
    pool: &'a ConnectionPool,
    journal: Option<&'a WriteJournal>,
    control: &'a Sender<ControlMessage>,
    job: &'a AttemptJob,
    journal_verdict: Option<JournalVerdict>,
}

/// What follows from one connection.
enum Step {
    Ended(Box<Answer>),
    /// A connection from before had ended, and nothing was sent: another is taken.
    TryAnother,
}

impl Step {
    fn ended(outcome: AttemptOutcome) -> Step {
        Step::Ended(Box::new(Answer::without_value(outcome)))
    }
}

impl Attempt<'_> {
    fn limits(&self) -> IoLimits<'_> {
        IoLimits { deadline: self.job.times.deadline, cancellation: &self.job.cancellation }
    }

    fn run(&mut self) -> Answer {
        loop {
            let reused = self.pool.reuse(&self.job.addr, self.limits());
            let is_reused = reused.is_some();
            let connection = match reused {
                Some(connection) => Ok(connection),
                None => self.pool.open(&self.job.addr, self.limits()),
            };
            let connection = match connection {
                Ok(connection) => connection,
                Err(error) => return Answer::without_value(error.outcome),
            };
            match self.run_on(connection, is_reused) {
                Step::Ended(answer) => return *answer,
                Step::TryAnother => {}
            }
        }
    }

    fn run_on(&mut self, mut connection: PeerConnection, is_reused: bool) -> Step {
        connection.arm(self.limits());
        if self.job.outgoing.needs_epoch && !connection.epoch_confirmed {
            connection = match self.query_epoch(connection) {
                Ok(connection) => connection,
                Err(stop) => return unsent(stop, is_reused),
            };
        }
        // Recorded first: the confirmation must be the last thing before it is sent. Connecting took its time: what held when
        // this attempt was started may not hold any more.
        if !self.is_recorded() || !self.is_confirmed() {
            self.pool.give_back_unused(self.job.addr, connection);
            return Step::ended(AttemptOutcome::NotSent);
        }
        // What has come by now is no answer to this attempt, since nothing of it was sent. Read with the answer it would pass
        // for a part of it, or for all.
        if !connection.is_quiet() {
            return unsent(IoStop::ConnectionLost, is_reused);
        }
        match self.send(&mut connection) {
            Ok(()) => Step::Ended(Box::new(read_answer(connection, self.limits()))),
            Err(stop) => unsent(stop, is_reused),
        }
    }

    /// Sends the request with the time that is left of it.
    fn send(&self, connection: &mut PeerConnection) -> Result<(), IoStop> {
        let text = &self.job.outgoing.text;
        let remaining = self.job.times.deadline - self.pool.timers.now();
        let timeout_ms = (remaining.0 / NANOS_PER_MILLI).max(1).to_string();
        let head = &text.body[..text.timeout_digits.start];
        let tail = &text.body[text.timeout_digits.end..];
        let length = (4 + head.len() + timeout_ms.len() + tail.len()) as u32;
        let parts: [&[u8]; 5] = [b"Q", &length.to_be_bytes(), head, timeout_ms.as_bytes(), tail];
        connection.write(&parts, self.limits())
    }

    /// Whether the attempt is recorded, if it must be. It is recorded once, whatever connection it is sent on.
    fn is_recorded(&mut self) -> bool {
        let (Some(entry), Some(journal)) = (&self.job.outgoing.journal_entry, self.journal) else {
            return true;
        };
        if self.journal_verdict.is_none() {
            self.journal_verdict = Some(journal.record_send(entry));
        }
        self.journal_verdict.is_some_and(JournalVerdict::allows_sending)
    }

    fn is_confirmed(&self) -> bool {
        let (reply, confirmed) = channel();
        let question = ConfirmAttempt { attempt: self.job.attempt, reply };
        let asked = self.control.send(ControlMessage::Confirm(question));
        asked.is_ok() && confirmed.recv().unwrap_or(false)
    }

    /// Has the endpoint report its epoch, for the control loop to judge before the attempt is sent; the connection, if it can
    /// still be used. An endpoint that reports none is gone on with: a loss cannot be seen there.
    fn query_epoch(&self, mut connection: PeerConnection) -> Result<PeerConnection, IoStop> {
        send(&mut connection, HEALTH_STATEMENT, self.limits())?;
        let answer = read_answer(connection, self.limits());
        if let Some(epoch) = answer.reports.epoch {
            let message = ControlMessage::EpochReported { request: self.job.attempt.request, epoch };
            let _ = self.control.send(message);
        }
        answer.connection.ok_or(match answer.outcome {
            AttemptOutcome::TimedOut => IoStop::TimedOut,
            AttemptOutcome::Cancelled => IoStop::Cancelled,
            _ => IoStop::ConnectionLost,
        })
    }
}

/// What follows if the last byte of an attempt was not sent: it did not run.
fn unsent(stop: IoStop, is_reused: bool) -> Step {
    match stop {
        // The endpoint closed the connection while it was idle here.
        IoStop::ConnectionLost if is_reused => Step::TryAnother,
        IoStop::ConnectionLost => Step::ended(AttemptOutcome::Unreachable),
        IoStop::TimedOut | IoStop::Cancelled => Step::ended(AttemptOutcome::NotSent),
    }
}
