//! The keywords with one value.

use crate::error::ValueError;
use crate::settings::{EndpointIdentity, JournalMode, LogFormat, OperatorSettings};
use crate::values::{duration, number, one_of, path, percentage, size};
use bytesize::ByteSize;

/// A keyword and how its value is taken.
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

pub const KEYWORDS: &[Keyword] = &[
    keyword("state-dir", |settings, word| {
        settings.state_dir = Some(path(word)?);
        Ok(())
    }),
    keyword("save-gap", |settings, word| {
        settings.save_interval = duration(word, "100ms", "1h")?;
        Ok(())
    }),
    keyword("store-identity", |settings, word| {
        let known = [("none", EndpointIdentity::None), ("postgres", EndpointIdentity::Postgres)];
        settings.endpoint_identity = one_of(word, &known)?;
        Ok(())
    }),
    keyword("session-keys", |settings, word| {
        settings.session_keys = Some(path(word)?);
        Ok(())
    }),
    keyword("session-lasts", |settings, word| {
        settings.session_lifetime = duration(word, "1s", "30days")?;
        Ok(())
    }),
    keyword("write-journal", |settings, word| {
        let known = [("off", JournalMode::Off), ("system", JournalMode::System), ("disk", JournalMode::Disk)];
        settings.journal_mode = one_of(word, &known)?;
        Ok(())
    }),
    keyword("write-journal-keeps", |settings, word| {
        settings.journal_max_age = duration(word, "1m", "30days")?;
        Ok(())
    }),
    keyword("write-journal-most", |settings, word| {
        settings.journal_max_records = number(word, 1_000..=100_000_000)?;
        Ok(())
    }),
    keyword("admit-prefix-4", |settings, word| {
        settings.address_prefixes.v4 = number(word, 8..=32)?;
        Ok(())
    }),
    keyword("admit-prefix-6", |settings, word| {
        settings.address_prefixes.v6 = number(word, 16..=64)?;
        Ok(())
    }),
    keyword("rpcs-at-once", |settings, word| {
        settings.max_requests_in_flight = Some(number(word, 1..=100_000)?);
        Ok(())
    }),
    keyword("rpcs-waiting", |settings, word| {
        settings.max_requests_waiting = Some(number(word, 0..=100_000)?);
        Ok(())
    }),
    keyword("rpcs-target", |settings, word| {
        settings.target_wait = duration(word, "1ms", "1s")?;
        Ok(())
    }),
    keyword("repeats", |settings, word| {
        settings.retry_percent = Some(percentage(word)?);
        Ok(())
    }),
    keyword("operators-socket", |settings, word| {
        settings.admin_socket = Some(path(word)?);
        Ok(())
    }),
    keyword("log-format", |settings, word| {
        settings.log_format = one_of(word, &[("text", LogFormat::Text), ("json", LogFormat::Json)])?;
        Ok(())
    }),
    keyword("log-level", |settings, word| {
        let levels = ["error", "warn", "info", "debug"].map(|level| (level, level));
        settings.log_level = one_of(word, &levels)?.to_string();
        Ok(())
    }),
    keyword("log-buffer", |settings, word| {
        settings.log_buffer = size(word, ByteSize::kb(4), ByteSize::mb(16))?;
        Ok(())
    }),
];
