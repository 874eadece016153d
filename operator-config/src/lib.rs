//! The operators' file: a keyword and its values on each line, `#` begins a comment, quotes keep blanks.
//! Pure: text in, settings out, all faults at once with their lines.

mod admit;
mod line;
mod settings;

pub use line::{split, Fault};
pub use settings::{parse, Format, Identity, Journal, Settings};
