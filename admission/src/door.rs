//! What the door does about a connection that could not be accepted, so that it neither spins nor stands
//! still.

use routing::time::Span;

/// What went wrong, in the operating system's own words.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// The connection was over before it was accepted (ECONNABORTED, EPROTO and the network's own errors that
    /// accept(2) passes on): it is out of the queue.
    Over,
    /// No descriptor is left (EMFILE, ENFILE): it stays in the queue.
    Descriptors,
    /// No memory for buffers (ENOBUFS, ENOMEM): it stays in the queue, or is dropped by the kernel.
    Memory,
    /// The call was interrupted (EINTR).
    Interrupted,
    Other,
}

/// What to do before the next try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Try again at once.
    Again,
    /// Lend out the descriptor that is held back and tell one client that there is no room; then wait, and
    /// longer where it could not be told.
    Tell {
        told: Span,
        not: Span,
    },
    Wait(Span),
}

/// The first wait where memory is short, and the longest; each is twice the one before.
const SHORT: Span = Span::millis(1);
const LONG: Span = Span::millis(100);
/// In a row without a wait: connections that are over before they are accepted come as fast as a peer likes.
const ROW: u32 = 8;

/// How it went lately.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Door {
    /// Troubles since the last connection that was accepted.
    troubles: u32,
    wait: Span,
}

/// One row: on this trouble, how the wait goes on from the one before, and what is done.
type Row = (fn(Trouble, u32) -> bool, fn(Span) -> Span, fn(Span) -> Step);

/// The first row that fits counts.
const TABLE: &[Row] = &[
    (|trouble, row| trouble == Trouble::Interrupted && row < ROW, |_| Span::ZERO, |_| Step::Again),
    (|trouble, row| trouble == Trouble::Over && row < ROW, |_| Span::ZERO, |_| Step::Again),
    // Those who wait in the queue are told one by one, at a pace that leaves the worker to others.
    (|trouble, _| trouble == Trouble::Descriptors, |_| SHORT, |told| Step::Tell { told, not: LONG / 2 }),
    // The kernel frees memory as others end: soon, or not for long.
    (|trouble, _| trouble == Trouble::Memory, |before| (before * 2).max(SHORT).min(LONG), Step::Wait),
    (|trouble, _| matches!(trouble, Trouble::Over | Trouble::Interrupted), |_| SHORT, Step::Wait),
    (|_, _| true, |before| (before * 2).max(SHORT).min(LONG), Step::Wait),
];

impl Door {
    /// A connection was accepted.
    pub fn opened(&mut self) {
        *self = Door::default();
    }

    pub fn jammed(&mut self, trouble: Trouble) -> Step {
        let row = TABLE.iter().find(|row| row.0(trouble, self.troubles % (ROW + 1)));
        let (_, wait, step) = row.unwrap_or(&TABLE[TABLE.len() - 1]);
        (self.troubles, self.wait) = (self.troubles.wrapping_add(1), wait(self.wait));
        step(self.wait)
    }
}
