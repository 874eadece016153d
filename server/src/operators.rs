//! The operators' file, read from disk: `--conf` or `GINGERWICK_CONF`. Without one all that it sets is off.

use crate::log::Style;
use operator_config::{Format, Settings};
use std::path::{Path, PathBuf};

/// More is no file of settings.
const MOST_BYTES: u64 = 1 << 20;

/// Each fault names file, line and keyword.
pub fn read(path: Option<&Path>) -> Result<Settings, Vec<String>> {
    let Some(path) = path else { return Ok(Settings::default()) };
    let at = path.display();
    let size = std::fs::metadata(path).map_err(|why| vec![format!("{at}: {why}")])?.len();
    if size > MOST_BYTES {
        return Err(vec![format!("{at}: {size} bytes, more than {MOST_BYTES}")]);
    }
    let text = std::fs::read_to_string(path).map_err(|why| vec![format!("{at}: {why}")])?;
    operator_config::parse(&text)
        .map_err(|faults| faults.iter().map(|fault| format!("{at}:{fault}")).collect())
}

pub fn style(settings: &Settings) -> Style {
    Style {
        json: settings.log_format == Format::Json,
        level: settings.log_level.parse().unwrap_or(tracing::Level::INFO),
        waiting: settings.log_buffer,
    }
}

/// Where the file is, for a reload too.
pub type Conf = Option<PathBuf>;
