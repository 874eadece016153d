//! Tables and time differences as plain text.

use crate::runtime::terms::{Term, Vocabulary};
use routing::time::TimeDelta;
use std::fmt;

/// The text of a cell without a value.
pub const EMPTY_CELL: &str = "-";
const NANOS_PER_MILLI: f64 = 1e6;

/// A table with column titles; each column is as wide as its widest cell.
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with column titles in `vocabulary` and no rows.
    pub fn new(titles: &[Term], vocabulary: Vocabulary) -> Table {
        Table { rows: vec![titles.iter().map(|title| title.text(vocabulary).to_string()).collect()] }
    }

    /// Appends a row. Control characters are replaced by `?`: with a line feed in a name, a client could forge a row.
    pub fn push<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.map(|cell| cell.replace(char::is_control, "?")).into());
    }

    fn width(&self, column: usize) -> usize {
        self.rows.iter().map(|row| row[column].chars().count()).max().unwrap_or_default()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let columns = self.rows.first().map_or(0, Vec::len);
        let widths: Vec<usize> = (0..columns).map(|column| self.width(column)).collect();
        for row in &self.rows {
            let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
            let line = cells.collect::<Vec<String>>().join("  ");
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}

/// Formats a value, or the empty cell if there is none.
pub fn cell_or_empty<T: ToString>(value: Option<T>) -> String {
    value.map_or(EMPTY_CELL.into(), |value| value.to_string())
}

/// Formats a time difference, as `1.5ms`, `250ms` or `12s`.
pub fn format_delta(delta: TimeDelta) -> String {
    let ms = delta.0 as f64 / NANOS_PER_MILLI;
    match ms.abs() {
        ..10.0 => format!("{ms:.1}ms"),
        ..10_000.0 => format!("{ms:.0}ms"),
        _ => format!("{:.0}s", ms / 1e3),
    }
}
