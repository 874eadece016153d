//! The keywords that take one value, with the parsers and ranges of their values.

use crate::error::ValueError;
use crate::settings::{EndpointIdentity, JournalMode, LogFormat, OperatorSettings};
use crate::values::{absolute_path, duration, integer, one_of, percentage, size};
use bytesize::ByteSize;

/// A keyword, with the function that parses and sets its value.
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
fn set_field<T>(field: &mut T, parsed: Result<T, ValueError>) -> Result<(), ValueError> {
    *field = parsed?;
    Ok(())
}

/// All keywords that take one value, in the order of `deploy/gingerwick.conf.sample`.
pub const KEYWORDS: &[Keyword] = &[
    keyword("state-dir", |settings, value| {
        set_field(&mut settings.storage.state_dir, absolute_path(value).map(Some))
    }),
    keyword("save-gap", |settings, value| {
        set_field(&mut settings.storage.min_save_interval, duration(value, "100ms", "1h"))
    }),
    keyword("store-identity", |settings, value| {
        let allowed = [("none", EndpointIdentity::None), ("postgres", EndpointIdentity::Postgres)];
        set_field(&mut settings.endpoint_identity, one_of(value, &allowed))
    }),
    keyword("session-keys", |settings, value| {
        set_field(&mut settings.sessions.keys_path, absolute_path(value).map(Some))
    }),
    keyword("session-lasts", |settings, value| {
        set_field(&mut settings.sessions.lifetime, duration(value, "1s", "30days"))
    }),
    keyword("write-journal", |settings, value| {
        let allowed =
            [("off", JournalMode::Off), ("system", JournalMode::System), ("disk", JournalMode::Disk)];
        set_field(&mut settings.storage.journal.mode, one_of(value, &allowed))
    }),
    keyword("write-journal-keeps", |settings, value| {
        set_field(&mut settings.storage.journal.max_age, duration(value, "1m", "30days"))
    }),
    keyword("write-journal-most", |settings, value| {
        set_field(&mut settings.storage.journal.max_records, integer(value, 1_000..=100_000_000))
    }),
    keyword("admit-prefix-4", |settings, value| {
        set_field(&mut settings.admission.clients.prefixes.v4, integer(value, 8..=32))
    }),
    keyword("admit-prefix-6", |settings, value| {
        set_field(&mut settings.admission.clients.prefixes.v6, integer(value, 16..=64))
    }),
    keyword("rpcs-at-once", |settings, value| {
        set_field(&mut settings.admission.requests.max_in_flight, integer(value, 1..=100_000).map(Some))
    }),
    keyword("rpcs-waiting", |settings, value| {
        set_field(&mut settings.admission.requests.max_waiting, integer(value, 0..=100_000).map(Some))
    }),
    keyword("rpcs-target", |settings, value| {
        set_field(&mut settings.admission.requests.target_wait, duration(value, "1ms", "1s"))
    }),
    keyword("repeats", |settings, value| {
        set_field(&mut settings.admission.requests.retry_percent, percentage(value).map(Some))
    }),
    keyword("operators-socket", |settings, value| {
        set_field(&mut settings.admin_socket, absolute_path(value).map(Some))
    }),
    keyword("log-format", |settings, value| {
        let allowed = [("text", LogFormat::Text), ("json", LogFormat::Json)];
        set_field(&mut settings.log.format, one_of(value, &allowed))
    }),
    keyword("log-level", |settings, value| {
        let levels = ["error", "warn", "info", "debug"].map(|level| (level, level));
        set_field(&mut settings.log.level, one_of(value, &levels).map(str::to_string))
    }),
    keyword("log-buffer", |settings, value| {
        set_field(&mut settings.log.max_queued_bytes, size(value, ByteSize::kb(4), ByteSize::mb(16)))
    }),
];
