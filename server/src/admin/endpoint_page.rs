//! The page `stores`: the endpoints as the routing policy sees them.

use crate::admin::table::{cell_or_empty, format_delta, Table, EMPTY_CELL};
use crate::admin::view::{AdminView, PageError};
use crate::messages::snapshot::EndpointRow;
use routing::EndpointSnapshot;

const COLUMNS: [&str; 10] =
    ["store", "address", "state", "role", "in flight", "room", "rests", "behind", "told", "load"];

impl AdminView {
    /// The page.
    ///
    /// # Errors
    /// The control loop gives no snapshot.
    pub fn endpoint_page(&self) -> Result<String, PageError> {
        let snapshot = self.snapshot()?;
        let mut table = Table::new(&COLUMNS);
        for row in &snapshot.endpoints {
            table.push(cells(row));
        }
        let (endpoints, groups) = (snapshot.endpoints.len(), snapshot.groups);
        Ok(format!("{}: {endpoints} stores, {groups} groups\n\n{table}", self.name))
    }
}

fn cells(row: &EndpointRow) -> [String; COLUMNS.len()] {
    let mut cells = [EMPTY_CELL; COLUMNS.len()].map(String::from);
    cells[0] = row.name.clone();
    cells[1] = cell_or_empty(row.addr);
    let Some(endpoint) = &row.state else {
        cells[2] = "unknown".into();
        return cells;
    };
    cells[2] = state_label(endpoint);
    cells[3] = if endpoint.primary { "primary" } else { "replica" }.into();
    cells[4] = endpoint.capacity.in_flight.to_string();
    cells[5] = format!("{:.2}", endpoint.capacity.concurrency_limit);
    cells[6] = cell_or_empty(endpoint.ejected_for.map(format_delta));
    cells[7] = cell_or_empty(endpoint.report.lag.map(format_delta));
    cells[8] = cell_or_empty(endpoint.report.age.map(format_delta));
    cells[9] = cell_or_empty(endpoint.report.load.map(|load| format!("{load:.2}")));
    cells
}

fn state_label(endpoint: &EndpointSnapshot) -> String {
    match (endpoint.serving, endpoint.capacity.slow_start_fraction) {
        (false, _) => "closed".to_string(),
        (true, Some(fraction)) => format!("cold, {:.0}%", fraction * 100.0),
        (true, None) => "open".to_string(),
    }
}
