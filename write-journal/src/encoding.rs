//! Binary encoding of a record. Each field is a big-endian number of 8 bytes, unless another length is given:
//!
//! - kind of the state (1 byte), serial, time of the first send and commit time (both in Unix milliseconds)
//! - only for a write with an idempotency key: whether a single group drops its duplicates (1 byte), that group, the
//!   deduplication window in milliseconds, the machine's boot identifier and its uptime at the first send in
//!   milliseconds

use crate::record_state::{Deduplication, RecordState, Uptime};

// Values of the first byte, by state.
const PENDING: u8 = 0;
const EXECUTED: u8 = 1;
const EXECUTED_WITH_COMMIT_TIME: u8 = 2;
const BARRED: u8 = 3;
const NOT_EXECUTED: u8 = 4;

// Offsets of the fields, in bytes.
const SERIAL_OFFSET: usize = 1;
const FIRST_SENT_OFFSET: usize = 9;
const COMMIT_OFFSET: usize = 17;
const HAS_GROUP_OFFSET: usize = 25;
const GROUP_OFFSET: usize = 26;
const WINDOW_OFFSET: usize = 34;
const BOOT_ID_OFFSET: usize = 42;
const UPTIME_OFFSET: usize = 50;

/// Deduplication of a write with an idempotency key, with the start of its window.
#[derive(Clone, Copy)]
pub struct DeduplicationWindow {
    pub deduplication: Deduplication,
    /// The machine's uptime when the first attempt was recorded.
    pub first_sent: Uptime,
}

/// The journal's record of one write.
#[derive(Clone, Copy)]
pub struct Record {
    /// Position of the record in the order of creation.
    pub serial: u64,
    pub state: RecordState,
    /// When the first attempt was recorded, in Unix milliseconds.
    pub first_sent_ms: i64,
    /// Where, for how long and from when duplicates are dropped; `None` for a write without an idempotency key, or
    /// if the uptime was unknown.
    pub window: Option<DeduplicationWindow>,
}

impl Record {
    /// Returns the bytes that are stored: the state, then big-endian numbers. Those of the deduplication window are
    /// left out if the record has no window.
    pub fn encode(&self) -> Vec<u8> {
        let (kind, commit_ms) = match self.state {
            RecordState::Pending => (PENDING, 0),
            RecordState::Executed(None) => (EXECUTED, 0),
            RecordState::Executed(Some(commit_ms)) => (EXECUTED_WITH_COMMIT_TIME, commit_ms),
            RecordState::Barred => (BARRED, 0),
            RecordState::NotExecuted => (NOT_EXECUTED, 0),
        };
        let mut bytes = vec![kind];
        bytes.extend(self.serial.to_be_bytes());
        bytes.extend(self.first_sent_ms.to_be_bytes());
        bytes.extend(commit_ms.to_be_bytes());
        if let Some(DeduplicationWindow { deduplication, first_sent }) = self.window {
            bytes.push(u8::from(deduplication.group.is_some()));
            bytes.extend(deduplication.group.unwrap_or(0).to_be_bytes());
            bytes.extend(deduplication.window_ms.to_be_bytes());
            bytes.extend(first_sent.boot_id.to_be_bytes());
            bytes.extend(first_sent.ms.to_be_bytes());
        }
        bytes
    }

    /// Decodes a record. A missing or unknown state is decoded as pending, because the write may have been executed.
    /// Other missing numbers are decoded as 0.
    pub fn decode(bytes: &[u8]) -> Record {
        Record {
            serial: number_at(bytes, SERIAL_OFFSET).unwrap_or(0) as u64,
            state: decode_state(bytes),
            first_sent_ms: number_at(bytes, FIRST_SENT_OFFSET).unwrap_or(0),
            window: decode_window(bytes),
        }
    }
}

fn number_at(bytes: &[u8], offset: usize) -> Option<i64> {
    let number = bytes.get(offset..offset + size_of::<i64>())?;
    Some(i64::from_be_bytes(number.try_into().ok()?))
}

fn decode_state(bytes: &[u8]) -> RecordState {
    let Some(commit_ms) = number_at(bytes, COMMIT_OFFSET) else { return RecordState::Pending };
    match bytes[0] {
        EXECUTED => RecordState::Executed(None),
        EXECUTED_WITH_COMMIT_TIME => RecordState::Executed(Some(commit_ms)),
        BARRED => RecordState::Barred,
        NOT_EXECUTED => RecordState::NotExecuted,
        _ => RecordState::Pending,
    }
}

/// Decodes the fields of a write with an idempotency key. If any of them is missing, the write counts as one without
/// an idempotency key, so that no duplicate of it is sent.
fn decode_window(bytes: &[u8]) -> Option<DeduplicationWindow> {
    let group = number_at(bytes, GROUP_OFFSET).filter(|_| bytes[HAS_GROUP_OFFSET] != 0);
    let deduplication = Deduplication { group, window_ms: number_at(bytes, WINDOW_OFFSET)? };
    let boot_id = number_at(bytes, BOOT_ID_OFFSET)? as u64;
    let first_sent = Uptime { boot_id, ms: number_at(bytes, UPTIME_OFFSET)? };
    Some(DeduplicationWindow { deduplication, first_sent })
}
