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

/// All keywords with one value, in the order of the operators' page.
pub const KEYWORDS: &[Keyword] = &[
    keyword("state-dir", |settings, value| {
        settings.state_dir = Some(path(value)?);
        Ok(())
    }),
    keyword("save-gap", |settings, value| {
        settings.save_interval = duration(value, "100ms", "1h")?;
        Ok(())
    }),
    keyword("store-identity", |settings, value| {
        let known = [("none", EndpointIdentity::None), ("postgres", EndpointIdentity::Postgres)];
        settings.endpoint_identity = one_of(value, &known)?;
        Ok(())
    }),
    keyword("session-keys", |settings, value| {
        settings.session_keys = Some(path(value)?);
        Ok(())
    }),
    keyword("session-lasts", |settings, value| {
        settings.session_lifetime = duration(value, "1s", "30days")?;
        Ok(())
    }),
    keyword("write-journal", |settings, value| {
        let known = [("off", JournalMode::Off), ("system", JournalMode::System), ("disk", JournalMode::Disk)];
        settings.journal_mode = one_of(value, &known)?;
        Ok(())
    }),
    keyword("write-journal-keeps", |settings, value| {
        settings.journal_max_age = duration(value, "1m", "30days")?;
        Ok(())
    }),
    keyword("write-journal-most", |settings, value| {
        settings.journal_max_records = number(value, 1_000..=100_000_000)?;
        Ok(())
    }),
    keyword("admit-prefix-4", |settings, value| {
        settings.address_prefixes.v4 = number(value, 8..=32)?;
        Ok(())
    }),
    keyword("admit-prefix-6", |settings, value| {
        settings.address_prefixes.v6 = number(value, 16..=64)?;
        Ok(())
    }),
    keyword("rpcs-at-once", |settings, value| {
        settings.max_requests_in_flight = Some(number(value, 1..=100_000)?);
        Ok(())
    }),
    keyword("rpcs-waiting", |settings, value| {
        settings.max_requests_waiting = Some(number(value, 0..=100_000)?);
        Ok(())
    }),
    keyword("rpcs-target", |settings, value| {
        settings.target_wait = duration(value, "1ms", "1s")?;
        Ok(())
    }),
    keyword("repeats", |settings, value| {
        settings.retry_percent = Some(percentage(value)?);
        Ok(())
    }),
    keyword("operators-socket", |settings, value| {
        settings.admin_socket = Some(path(value)?);
        Ok(())
    }),
    keyword("log-format", |settings, value| {
        settings.log_format = one_of(value, &[("text", LogFormat::Text), ("json", LogFormat::Json)])?;
        Ok(())
    }),
    keyword("log-level", |settings, value| {
        let levels = ["error", "warn", "info", "debug"].map(|level| (level, level));
        settings.log_level = one_of(value, &levels)?.to_string();
        Ok(())
    }),
    keyword("log-buffer", |settings, value| {
        settings.log_buffer = size(value, ByteSize::kb(4), ByteSize::mb(16))?;
        Ok(())
    }),
];
