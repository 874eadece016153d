//! Keywords with one value.

use crate::error::ValueError;
use crate::settings::{EndpointIdentity, JournalMode, LogFormat, OperatorSettings};
use crate::values::{duration, number, one_of, path, percentage, size};
use bytesize::ByteSize;

/// A keyword and the function that parses and sets its value.
pub struct Keyword {
    pub name: &'static str,
    pub set: fn(&mut OperatorSettings, &str) -> Result<(), ValueError>,
}

const fn keyword(
    name: &'static str,
    set: fn(&mut OperatorSettings, &str) -> Result<(), ValueError>,
) -> Keyword {
    Keyword { name, set }
}

/// Sets a field to a parsed value, or returns the parser's error.
fn store<T>(field: &mut T, parsed: Result<T, ValueError>) -> Result<(), ValueError> {
    *field = parsed?;
    Ok(())
}

/// All keywords with one value, in the order of the operators' page.
pub const KEYWORDS: &[Keyword] = &[
    keyword("state-dir", |settings, value| store(&mut settings.storage.state_dir, path(value).map(Some))),
    keyword("save-gap", |settings, value| {
        store(&mut settings.storage.min_save_interval, duration(value, "100ms", "1h"))
    }),
    keyword("store-identity", |settings, value| {
        let known = [("none", EndpointIdentity::None), ("postgres", EndpointIdentity::Postgres)];
        store(&mut settings.endpoint_identity, one_of(value, &known))
    }),
    keyword("session-keys", |settings, value| store(&mut settings.sessions.keys_path, path(value).map(Some))),
    keyword("session-lasts", |settings, value| {
        store(&mut settings.sessions.lifetime, duration(value, "1s", "30days"))
    }),
    keyword("write-journal", |settings, value| {
        let known = [("off", JournalMode::Off), ("system", JournalMode::System), ("disk", JournalMode::Disk)];
        store(&mut settings.storage.journal.mode, one_of(value, &known))
    }),
    keyword("write-journal-keeps", |settings, value| {
        store(&mut settings.storage.journal.max_age, duration(value, "1m", "30days"))
    }),
    keyword("write-journal-most", |settings, value| {
        store(&mut settings.storage.journal.max_records, number(value, 1_000..=100_000_000))
    }),
    keyword("admit-prefix-4", |settings, value| {
        store(&mut settings.admission.clients.prefixes.v4, number(value, 8..=32))
    }),
    keyword("admit-prefix-6", |settings, value| {
        store(&mut settings.admission.clients.prefixes.v6, number(value, 16..=64))
    }),
    keyword("rpcs-at-once", |settings, value| {
        store(&mut settings.admission.requests.max_in_flight, number(value, 1..=100_000).map(Some))
    }),
    keyword("rpcs-waiting", |settings, value| {
        store(&mut settings.admission.requests.max_waiting, number(value, 0..=100_000).map(Some))
    }),
    keyword("rpcs-target", |settings, value| {
        store(&mut settings.admission.requests.target_wait, duration(value, "1ms", "1s"))
    }),
    keyword("repeats", |settings, value| {
        store(&mut settings.admission.requests.retry_percent, percentage(value).map(Some))
    }),
    keyword("operators-socket", |settings, value| store(&mut settings.admin_socket, path(value).map(Some))),
    keyword("log-format", |settings, value| {
        let known = [("text", LogFormat::Text), ("json", LogFormat::Json)];
        store(&mut settings.log.format, one_of(value, &known))
    }),
    keyword("log-level", |settings, value| {
        let levels = ["error", "warn", "info", "debug"].map(|level| (level, level));
        store(&mut settings.log.level, one_of(value, &levels).map(str::to_string))
    }),
    keyword("log-buffer", |settings, value| {
        store(&mut settings.log.max_queued_bytes, size(value, ByteSize::kb(4), ByteSize::mb(16)))
    }),
];
