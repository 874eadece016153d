//! The keywords, their values and what holds where they are missing.

use crate::line::{split, Fault};
use admission::turnstile::Turns;
use admission::{Class, Prefixes};
use routing::time::Span;
use std::path::PathBuf;
use std::time::Duration;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    #[default]
    Text,
    Json,
}

/// How a store says who it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Identity {
    /// It can't.
    #[default]
    None,
    /// By PostgreSQL's own functions, see `docs/recovery.md`.
    Postgres,
}

/// Whether writes are kept on record, and how far a record must have come before a write leaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Journal {
    #[default]
    Off,
    /// With the operating system: survives the process.
    System,
    /// On the disk: survives the machine.
    Disk,
}

/// All settings. Each is off or at its default where no line names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Where the list is kept over a restart; none: it is not.
    pub state_dir: Option<PathBuf>,
    /// Between two saves of the list, at least: 100 ms to an hour.
    pub save_gap: Duration,
    pub store_identity: Identity,
    /// The keys that seal what clients carry of their sessions; none: nothing is carried.
    pub session_keys: Option<PathBuf>,
    /// How long a token counts from its issue: 1 s to 30 days.
    pub session_lasts: Duration,
    /// Stands in the state directory.
    pub write_journal: Journal,
    /// How long a record is kept: a minute to 30 days.
    pub write_journal_keeps: Duration,
    /// How many records are kept: 1,000 to 100 million.
    pub write_journal_most: u64,
    /// Classes of clients, by which connections are let in; none: whoever comes is, while there is room.
    pub admit: Vec<Class>,
    /// How much of an address is one source: 8 to 32 bits of IPv4, 16 to 64 of IPv6.
    pub admit_prefixes: Prefixes,
    /// RPCs worked on at once: 1 to 100,000; none: as many as come.
    pub rpcs_at_once: Option<usize>,
    /// RPCs that wait their turn at most: 0 to 100,000; none: four times those worked on at once.
    pub rpcs_waiting: Option<usize>,
    /// So long may an RPC wait whose client's have waited in a row: 1 ms to 1 s.
    pub rpcs_target: Duration,
    /// Repeats in a hundred first tries, 0 to 100; none: they have no budget.
    pub repeats: Option<u32>,
    /// Where operators ask what the front does; none: they can't.
    pub operators_socket: Option<PathBuf>,
    pub log_format: Format,
    /// What of the log is written: `error`, `warn`, `info`, `debug`.
    pub log_level: String,
    /// Lines of the log that wait for the writer: 4 kB to 16 MB of them.
    pub log_buffer: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            state_dir: None,
            save_gap: Duration::from_secs(1),
            store_identity: Identity::default(),
            session_keys: None,
            session_lasts: Duration::from_secs(3600),
            write_journal: Journal::default(),
            write_journal_keeps: Duration::from_secs(3600),
            write_journal_most: 1_000_000,
            admit: Vec::new(),
            admit_prefixes: Prefixes::default(),
            rpcs_at_once: None,
            rpcs_waiting: None,
            rpcs_target: Duration::from_millis(10),
            repeats: None,
            operators_socket: None,
            log_format: Format::default(),
            log_level: "info".to_string(),
            log_buffer: 64 << 10,
        }
    }
}

/// A keyword and how its one value is taken.
type Keyword = (&'static str, fn(&mut Settings, &str) -> Result<(), String>);

const KEYWORDS: &[Keyword] = &[
    ("state-dir", |settings, word| {
        settings.state_dir = Some(path(word)?);
        Ok(())
    }),
    ("save-gap", |settings, word| {
        settings.save_gap = lasting(word, ("100ms", "1h"))?;
        Ok(())
    }),
    ("store-identity", |settings, word| {
        settings.store_identity =
            one_of(word, &[("none", Identity::None), ("postgres", Identity::Postgres)])?;
        Ok(())
    }),
    ("session-keys", |settings, word| {
        settings.session_keys = Some(path(word)?);
        Ok(())
    }),
    ("session-lasts", |settings, word| {
        settings.session_lasts = lasting(word, ("1s", "30days"))?;
        Ok(())
    }),
    ("write-journal", |settings, word| {
        let known = [("off", Journal::Off), ("system", Journal::System), ("disk", Journal::Disk)];
        settings.write_journal = one_of(word, &known)?;
        Ok(())
    }),
    ("write-journal-keeps", |settings, word| {
        settings.write_journal_keeps = lasting(word, ("1m", "30days"))?;
        Ok(())
    }),
    ("write-journal-most", |settings, word| {
        settings.write_journal_most = number(word, (1_000, 100_000_000))?;
        Ok(())
    }),
    ("admit-prefix-4", |settings, word| {
        settings.admit_prefixes.v4 = number(word, (8, 32))?;
        Ok(())
    }),
    ("admit-prefix-6", |settings, word| {
        settings.admit_prefixes.v6 = number(word, (16, 64))?;
        Ok(())
    }),
    ("rpcs-at-once", |settings, word| {
        settings.rpcs_at_once = Some(number(word, (1, 100_000))?);
        Ok(())
    }),
    ("rpcs-waiting", |settings, word| {
        settings.rpcs_waiting = Some(number(word, (0, 100_000))?);
        Ok(())
    }),
    ("rpcs-target", |settings, word| {
        settings.rpcs_target = lasting(word, ("1ms", "1s"))?;
        Ok(())
    }),
    ("repeats", |settings, word| {
        let percent = word.strip_suffix('%').ok_or_else(|| format!("{word:?} is no part, as 10% is"))?;
        settings.repeats = Some(number(percent, (0, 100))?);
        Ok(())
    }),
    ("operators-socket", |settings, word| {
        settings.operators_socket = Some(path(word)?);
        Ok(())
    }),
    ("log-format", |settings, word| {
        settings.log_format = one_of(word, &[("text", Format::Text), ("json", Format::Json)])?;
        Ok(())
    }),
    ("log-level", |settings, word| {
        let levels = ["error", "warn", "info", "debug"].map(|level| (level, level));
        settings.log_level = one_of(word, &levels)?.to_string();
        Ok(())
    }),
    ("log-buffer", |settings, word| {
        let size: bytesize::ByteSize = word.parse().map_err(|why| format!("{word:?}: {why}"))?;
        if !(4_000..=16_000_000).contains(&size.as_u64()) {
            return Err(format!("{word:?} is not between 4kB and 16MB"));
        }
        settings.log_buffer = size.as_u64() as usize;
        Ok(())
    }),
];

/// May stand on many lines, one for each class.
const ADMIT: &str = "admit";

fn path(word: &str) -> Result<PathBuf, String> {
    let path = PathBuf::from(word);
    path.is_absolute().then_some(path).ok_or_else(|| format!("{word:?} is not an absolute path"))
}

/// A whole number within bounds.
fn number<T: std::str::FromStr + PartialOrd + std::fmt::Display>(
    word: &str,
    (least, most): (T, T),
) -> Result<T, String> {
    let number = word.parse().ok().filter(|number| (&least..=&most).contains(&number));
    number.ok_or_else(|| format!("{word:?} is not between {least} and {most}"))
}

/// A length of time within bounds, which are worded as it is.
fn lasting(word: &str, (least, most): (&str, &str)) -> Result<Duration, String> {
    let read = |word: &str| humantime::parse_duration(word).map_err(|why| format!("{word:?}: {why}"));
    let span = read(word)?;
    let fits = (read(least)?..=read(most)?).contains(&span);
    fits.then_some(span).ok_or_else(|| format!("{word:?} is not between {least} and {most}"))
}

fn one_of<T: Copy>(word: &str, known: &[(&str, T)]) -> Result<T, String> {
    let found = known.iter().find(|(name, _)| *name == word);
    let names: Vec<&str> = known.iter().map(|(name, _)| *name).collect();
    found.map(|(_, value)| *value).ok_or_else(|| format!("{word:?} is none of {}", names.join(", ")))
}

/// Reads the whole text; where anything is wrong, says all of it.
pub fn parse(text: &str) -> Result<Settings, Vec<Fault>> {
    let (mut settings, mut faults, mut seen) = (Settings::default(), Vec::new(), Vec::new());
    let mut admits_to = 0;
    for (nth, text) in text.lines().enumerate() {
        let line = nth + 1;
        let fault = |keyword: &str, why: String| Fault { line, keyword: keyword.to_string(), why };
        let words = match split(text) {
            Ok(words) => words,
            Err(why) => {
                faults.push(fault("", why.to_string()));
                continue;
            }
        };
        let Some((keyword, values)) = words.split_first() else { continue };
        if keyword == ADMIT {
            match crate::admit::class(values) {
                Ok(class) => settings.admit.push(class),
                Err(why) => faults.push(fault(keyword, why)),
            }
            admits_to = line;
            continue;
        }
        let Some((name, take)) = KEYWORDS.iter().find(|known| known.0 == keyword) else {
            faults.push(fault(keyword, unknown(keyword)));
            continue;
        };
        if let Some((_, before)) = seen.iter().find(|(other, _)| other == name) {
            faults.push(fault(name, format!("stands on line {before} already")));
            continue;
        }
        seen.push((*name, line));
        let taken = match values {
            [word] => take(&mut settings, word),
            _ => Err(format!("takes one value, not {}", values.len())),
        };
        if let Err(why) = taken {
            faults.push(fault(name, why));
        }
    }
    // How much room there is only a start knows; what they contradict each other in shows here.
    let classes = admission::class::check(&settings.admit, usize::MAX);
    let among =
        |why: admission::Fault| Fault { line: admits_to, keyword: ADMIT.to_string(), why: why.to_string() };
    faults.extend(classes.into_iter().map(among));
    if faults.is_empty() {
        Ok(settings)
    } else {
        Err(faults)
    }
}

fn unknown(keyword: &str) -> String {
    let known = KEYWORDS.iter().map(|known| known.0).chain([ADMIT]);
    let near = known.map(|name| (strsim::damerau_levenshtein(name, keyword), name)).min();
    match near {
        Some((apart, name)) if apart <= 3 => format!("is no keyword; is {name} meant?"),
        _ => "is no keyword".to_string(),
    }
}

impl Settings {
    /// How RPCs are let through, where that is limited at all.
    pub fn turns(&self) -> Option<Turns> {
        let limited = self.admit.iter().any(|class| class.rpcs.is_some());
        let set = self.rpcs_at_once.is_some() || self.repeats.is_some() || limited;
        let at_once = self.rpcs_at_once.unwrap_or(100_000);
        let waiting = self.rpcs_waiting.unwrap_or(at_once * 4);
        let target = Span(self.rpcs_target.as_nanos() as i64);
        set.then_some(Turns { at_once, waiting, target, repeats: self.repeats })
    }

    /// The keywords in which a newer file differs and which only a start can take up.
    pub fn differs(&self, newer: &Settings) -> Vec<&'static str> {
        let mut apart = Vec::new();
        let mut note = |name, differs: bool| apart.extend(differs.then_some(name));
        note("state-dir", self.state_dir != newer.state_dir);
        note("store-identity", self.store_identity != newer.store_identity);
        note("session-keys", self.session_keys != newer.session_keys);
        note("session-lasts", self.session_lasts != newer.session_lasts);
        note("write-journal", self.write_journal != newer.write_journal);
        note("write-journal-keeps", self.write_journal_keeps != newer.write_journal_keeps);
        note("write-journal-most", self.write_journal_most != newer.write_journal_most);
        // Classes count from a SIGHUP on; whether any are set decides how descriptors are shared out.
        note(ADMIT, self.admit.is_empty() != newer.admit.is_empty());
        note("operators-socket", self.operators_socket != newer.operators_socket);
        note("log-format", self.log_format != newer.log_format);
        note("log-level", self.log_level != newer.log_level);
        note("log-buffer", self.log_buffer != newer.log_buffer);
        apart
    }
}
