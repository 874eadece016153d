//! The page `endpoints` (`stores` in earlier terms): the state of each endpoint in the routing policy.

use crate::admin::table::{cell_or_empty, format_delta, Table, EMPTY_CELL};
use crate::admin::view::{AdminView, PageError};
use crate::messages::snapshot::ListedEndpointSnapshot;
use crate::runtime::terms::{Term, Vocabulary};
use routing::EndpointSnapshot;

const COLUMNS: [Term; 10] = [
    Term::new("store", "endpoint"),
    Term::same("address"),
    Term::same("state"),
    Term::same("role"),
    Term::same("in flight"),
    Term::new("room", "concurrency limit"),
    Term::new("rests", "ejected for"),
    Term::new("behind", "lag"),
    Term::new("told", "report age"),
    Term::same("load"),
];
const ENDPOINTS: Term = Term::new("stores", "endpoints");
const SERVING: Term = Term::new("open", "serving");
const NOT_SERVING: Term = Term::new("closed", "not serving");
const SLOW_START: Term = Term::new("cold", "slow start");

impl AdminView {
    /// Renders the page `endpoints`.
    ///
    /// # Errors
    /// The control loop has not sent a snapshot.
    pub fn endpoint_page(&self, vocabulary: Vocabulary) -> Result<String, PageError> {
        let snapshot = self.snapshot()?;
        let mut table = Table::new(&COLUMNS, vocabulary);
        for row in &snapshot.endpoints {
            table.push(cells(row, vocabulary));
        }
        let (endpoints, groups) = (snapshot.endpoints.len(), snapshot.groups);
        let noun = ENDPOINTS.text(vocabulary);
        Ok(format!("{}: {endpoints} {noun}, {groups} groups\n\n{table}", self.name))
    }
}

fn cells(row: &ListedEndpointSnapshot, vocabulary: Vocabulary) -> [String; COLUMNS.len()] {
    let mut cells = [EMPTY_CELL; COLUMNS.len()].map(String::from);
    cells[0] = row.name.clone();
    cells[1] = cell_or_empty(row.addr);
    let Some(endpoint) = &row.state else {
        cells[2] = "unknown".into();
        return cells;
    };
    cells[2] = state_label(endpoint, vocabulary);
    cells[3] = if endpoint.primary { "primary" } else { "replica" }.into();
    cells[4] = endpoint.capacity.in_flight.to_string();
    cells[5] = format!("{:.2}", endpoint.capacity.concurrency_limit);
    cells[6] = cell_or_empty(endpoint.ejected_for.map(format_delta));
    cells[7] = cell_or_empty(endpoint.report.lag.map(format_delta));
    cells[8] = cell_or_empty(endpoint.report.age.map(format_delta));
    cells[9] = cell_or_empty(endpoint.report.load.map(|load| format!("{load:.2}")));
    cells
}

fn state_label(endpoint: &EndpointSnapshot, vocabulary: Vocabulary) -> String {
    match (endpoint.serving, endpoint.capacity.slow_start_fraction) {
        (false, _) => NOT_SERVING.text(vocabulary).to_string(),
        (true, Some(fraction)) => format!("{}, {:.0}%", SLOW_START.text(vocabulary), fraction * 100.0),
        (true, None) => SERVING.text(vocabulary).to_string(),
    }
}
