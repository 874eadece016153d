//! The kinds of floods, and the bytes that their clients send.

use crate::wire;
use clap::ValueEnum;
use std::fmt::Write;

/// How many messages a client of a flood encodes at a time.
const MESSAGES_PER_CHUNK: u64 = 256;
/// The number of fields in a comment of [`FloodKind::ShortFields`].
const SHORT_FIELDS: usize = 40;
/// The number of fields in a comment of [`FloodKind::LongHeads`].
const LONG_HEAD_FIELDS: usize = 9_000;
/// The number of fields in a comment of [`FloodKind::HugeHeads`].
const HUGE_HEAD_FIELDS: usize = 120_000;
/// The size of a statement of [`FloodKind::Blanks`], [`FloodKind::SlowTails`] and [`FloodKind::HalfQueries`], in bytes.
const LARGE_STATEMENT_BYTES: usize = 60_000;
/// The size of a statement of [`FloodKind::SlowSmallTails`], in bytes: just below what is kept in a client's small buffer.
const SMALL_STATEMENT_BYTES: usize = 15_000;
/// The size of a statement of [`FloodKind::PartialHugeQueries`], in bytes: nearly the longest that is taken.
const HUGE_STATEMENT_BYTES: usize = 1_000_000;
/// The part of a statement of [`FloodKind::PartialHugeQueries`] that is sent, in bytes.
const HUGE_STATEMENT_START_BYTES: usize = 20_000;
/// The number of bytes that a client with a slow tail leaves to be sent one by one.
const TAIL_BYTES: usize = 600;
/// The number of reads that a client of [`FloodKind::SlowReaders`] pipelines.
const SLOW_READER_QUERIES: u64 = 20;
/// The size of the values that a client of [`FloodKind::SlowReaders`] asks for, in bytes.
const SLOW_READER_VALUE_BYTES: usize = 14_000;
/// The first group number of [`FloodKind::UnknownGroups`]; no list contains it or a greater one.
const FIRST_UNKNOWN_GROUP: u64 = 1_000_000;

/// The timeout of a valid read in milliseconds.
const SHORT_TIMEOUT_MS: u64 = 500;
/// The timeout of a read of [`FloodKind::LongReads`] in milliseconds: a day.
const LONG_TIMEOUT_MS: u64 = 86_400_000;
/// The size of a write of [`FloodKind::SplitQueries`], in bytes: less than an empty query.
const PIECE_BYTES: usize = 5;
/// The ids of valid requests of a flood begin with this, and no others do.
pub const FLOOD_ID_PREFIX: &str = "flood-";

/// What the clients of a flood do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum FloodKind {
    /// They send queries of methods that do not exist, with a new name each.
    UnknownMethods,
    /// They send queries with neither an id nor a timeout.
    NoId,
    /// They send queries for groups that do not exist, with a new number each.
    UnknownGroups,
    /// They send comments of 40 short fields without an id.
    ShortFields,
    /// They send comments of 9,000 short fields without an id.
    LongHeads,
    /// They send empty queries.
    EmptyQueries,
    /// They send Sync messages.
    Syncs,
    /// They send Parse and Sync messages.
    Parses,
    /// They send SET statements.
    Sets,
    /// They send queries of 60,000 blanks.
    Blanks,
    /// They send valid reads, far more than the endpoints can serve.
    Reads,
    /// They send valid reads that may take a day, as [`FloodKind::Reads`].
    LongReads,
    /// They send empty queries in pieces that mostly end within a query.
    SplitQueries,
    /// They ask for the fates of writes, with a new id each.
    FateQueries,
    /// They send empty queries and never read an answer.
    NeverRead,
    /// They connect and close again.
    Connects,
    /// They send half of a large query, and then nothing.
    HalfQueries,
    /// They send the end of a large query byte by byte.
    SlowTails,
    /// They send the end of a valid read of 15,000 bytes byte by byte, and then the next one.
    SlowSmallTails,
    /// They send the first 20,000 bytes of a query of a million, and then nothing.
    PartialHugeQueries,
    /// They send a comment of 120,000 short fields without an id each 0.2 s.
    HugeHeads,
    /// They pipeline reads of large values, and read the answers slowly.
    SlowReaders,
    /// A quarter of the clients each are [`FloodKind::SlowSmallTails`], [`FloodKind::PartialHugeQueries`],
    /// [`FloodKind::HugeHeads`] and [`FloodKind::SlowReaders`].
    MemoryMix,
}

impl FloodKind {
    /// The kinds whose clients send without pause.
    pub const CONTINUOUS: [FloodKind; 11] = [
        FloodKind::UnknownMethods,
        FloodKind::NoId,
        FloodKind::UnknownGroups,
        FloodKind::ShortFields,
        FloodKind::LongHeads,
        FloodKind::EmptyQueries,
        FloodKind::Syncs,
        FloodKind::Parses,
        FloodKind::Sets,
        FloodKind::Blanks,
        FloodKind::Reads,
    ];

    /// The kinds among which soak runs choose. The order is part of what a seed means, so new kinds are drawn separately.
    pub const SOAK: [FloodKind; 18] = [
        FloodKind::UnknownMethods,
        FloodKind::NoId,
        FloodKind::UnknownGroups,
        FloodKind::ShortFields,
        FloodKind::LongHeads,
        FloodKind::EmptyQueries,
        FloodKind::Syncs,
        FloodKind::Parses,
        FloodKind::Sets,
        FloodKind::Blanks,
        FloodKind::Reads,
        FloodKind::LongReads,
        FloodKind::SplitQueries,
        FloodKind::FateQueries,
        FloodKind::NeverRead,
        FloodKind::Connects,
        FloodKind::HalfQueries,
        FloodKind::SlowTails,
    ];

    /// The kinds of clients that hold memory of an instance, and make up [`FloodKind::MemoryMix`].
    pub const MEMORY_HOLDERS: [FloodKind; 4] = [
        FloodKind::SlowSmallTails,
        FloodKind::PartialHugeQueries,
        FloodKind::HugeHeads,
        FloodKind::SlowReaders,
    ];

    /// The next bytes that a client sends. `number` is the number of chunks that were sent by all clients before.
    pub fn chunk(self, number: u64) -> Vec<u8> {
        let mut out = Vec::new();
        let messages = if self.is_large() { 1 } else { MESSAGES_PER_CHUNK };
        for index in 0..messages {
            self.append_message(&mut out, number * MESSAGES_PER_CHUNK + index);
        }
        out
    }

    /// How many bytes of a chunk a client writes at a time; `None` if all.
    pub fn bytes_per_write(self) -> Option<usize> {
        (self == FloodKind::SplitQueries).then_some(PIECE_BYTES)
    }

    /// The number of different chunks that a client sends in turn; 0 if each chunk must differ from all others.
    pub fn prepared_chunks(self) -> u64 {
        match self {
            FloodKind::UnknownMethods | FloodKind::UnknownGroups => 64,
            FloodKind::Reads | FloodKind::LongReads | FloodKind::FateQueries => 0,
            _ => 1,
        }
    }

    fn is_large(self) -> bool {
        matches!(self, FloodKind::LongHeads | FloodKind::HugeHeads | FloodKind::Blanks)
    }

    fn append_message(self, out: &mut Vec<u8>, number: u64) {
        match self {
            FloodKind::Syncs => wire::append_message(out, b'S', b""),
            FloodKind::Parses if number.is_multiple_of(2) => {
                wire::append_message(out, b'P', b"\0SELECT 1\0\0\0");
            }
            FloodKind::Parses => wire::append_message(out, b'S', b""),
            kind => wire::append_query(out, &kind.statement(number)),
        }
    }

    fn statement(self, number: u64) -> String {
        match self {
            FloodKind::UnknownMethods => {
                format!("/* id=u{number:x},c=method{number},d=500,cluster=1 */ SELECT 1")
            }
            FloodKind::NoId => "/* c=read,cluster=1 */ SELECT 1".into(),
            FloodKind::UnknownGroups => {
                let group = FIRST_UNKNOWN_GROUP + number;
                format!("/* id=g{number:x},c=read,d=500,cluster={group} */ SELECT 1")
            }
            FloodKind::ShortFields => format!("/*{}*/ SELECT 1", short_fields(SHORT_FIELDS)),
            FloodKind::LongHeads => format!("/*{}*/ SELECT 1", short_fields(LONG_HEAD_FIELDS)),
            FloodKind::Sets => "SET application_name = 'flood'".into(),
            FloodKind::HugeHeads => format!("/*{}*/ SELECT 1", short_fields(HUGE_HEAD_FIELDS)),
            FloodKind::Blanks => " ".repeat(LARGE_STATEMENT_BYTES),
            FloodKind::Reads => read_statement(number, SHORT_TIMEOUT_MS, ""),
            FloodKind::LongReads => read_statement(number, LONG_TIMEOUT_MS, ""),
            FloodKind::FateQueries => format!("/* fate=f{number:x} */ SHOW gingerwick.fate"),
            FloodKind::HalfQueries | FloodKind::SlowTails => {
                read_statement(number, SHORT_TIMEOUT_MS, &" ".repeat(LARGE_STATEMENT_BYTES))
            }
            FloodKind::SlowSmallTails => {
                read_statement(number, SHORT_TIMEOUT_MS, &" ".repeat(SMALL_STATEMENT_BYTES))
            }
            FloodKind::PartialHugeQueries => {
                read_statement(number, SHORT_TIMEOUT_MS, &" ".repeat(HUGE_STATEMENT_BYTES))
            }
            FloodKind::SlowReaders => large_value_statement(number, SLOW_READER_VALUE_BYTES),
            _ => String::new(),
        }
    }

    /// What a client that sends slowly or stops sends in one round.
    pub fn paced_bytes(self, number: u64) -> PacedBytes {
        let queries = if self == FloodKind::SlowReaders { SLOW_READER_QUERIES } else { 1 };
        let mut start = Vec::new();
        for index in 0..queries {
            wire::append_query(&mut start, &self.statement(number * queries + index));
        }
        let start_bytes = match self {
            FloodKind::HalfQueries => start.len() / 2,
            FloodKind::PartialHugeQueries => HUGE_STATEMENT_START_BYTES,
            FloodKind::SlowTails | FloodKind::SlowSmallTails => start.len() - TAIL_BYTES,
            _ => start.len(),
        };
        let rest = start.split_off(start_bytes);
        let has_tail = matches!(self, FloodKind::SlowTails | FloodKind::SlowSmallTails);
        PacedBytes { start, tail: if has_tail { rest } else { Vec::new() } }
    }
}

/// What a client sends that sends slowly or stops.
pub struct PacedBytes {
    /// What it sends at once.
    pub start: Vec<u8>,
    /// What it sends byte by byte after that.
    pub tail: Vec<u8>,
}

/// The field of a comment by which a client asks a test endpoint for a value of that many bytes.
pub const VALUE_BYTES_FIELD: &str = "value_bytes";

fn large_value_statement(number: u64, value_bytes: usize) -> String {
    format!(
        "/* id={FLOOD_ID_PREFIX}{number:x},c=read,d={SHORT_TIMEOUT_MS},cluster=1,{VALUE_BYTES_FIELD}={value_bytes} */ SELECT 1"
    )
}

fn read_statement(number: u64, timeout_ms: u64, padding: &str) -> String {
    format!("/* id={FLOOD_ID_PREFIX}{number:x},c=read,d={timeout_ms},cluster=1 */ SELECT content FROM kv WHERE name = 'k'{padding}")
}

/// Fields with different names of up to five characters, separated by commas.
fn short_fields(count: usize) -> String {
    let mut fields = String::new();
    for field in 0..count {
        let separator = if field == 0 { "" } else { "," };
        write!(fields, "{separator}k{field:x}=").expect("a string accepts all text");
    }
    fields
}
