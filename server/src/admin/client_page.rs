//! The page `connections` (`clients` in earlier terms): connections and requests by client class and address, and
//! rejections by reason.

use crate::admin::reasons::{rejection_term, shed_term};
use crate::admin::table::{cell_or_empty, Table};
use crate::admin::view::{AdminView, PageError};
use crate::clients::admission_control::AdmissionSnapshot;
use crate::messages::snapshot::{QueueSnapshot, MAX_CLIENTS};
use crate::runtime::terms::{Term, Vocabulary};
use admission::concurrency_limiter::{ClientRequests, RequestCounts};
use std::net::IpAddr;

const CLASS: Term = Term::same("class");
const ADDRESS: Term = Term::same("address");
const CONNECTIONS: Term = Term::same("connections");
const IN_FLIGHT: Term = Term::new("rpcs under way", "requests in flight");
const QUEUED: Term = Term::new("waiting", "requests queued");
const REASON: Term = Term::new("why", "reason");
const CLASS_COLUMNS: [Term; 6] = [
    CLASS,
    CONNECTIONS,
    Term::new("kept", "reserved"),
    Term::new("most", "max connections"),
    IN_FLIGHT,
    QUEUED,
];
const ADDRESS_COLUMNS: [Term; 2] = [ADDRESS, CONNECTIONS];
const REJECTION_COLUMNS: [Term; 3] =
    [CLASS, Term::new("connections turned away", "connections rejected"), REASON];
const CLIENT_COLUMNS: [Term; 4] = [CLASS, ADDRESS, IN_FLIGHT, QUEUED];
const SHED_COLUMNS: [Term; 3] = [CLASS, Term::new("rpcs turned away", "requests shed"), REASON];
const OPEN_CONNECTIONS: Term = Term::new("sessions", "connections");
const IN_HANDSHAKE_QUEUE: Term = Term::new("in the lobby", "in the handshake queue");

/// A row of the table of client classes.
struct ClassRow<'a> {
    name: &'a str,
    reserved: usize,
    max_connections: Option<usize>,
}

impl AdminView {
    /// Renders the page `connections`.
    ///
    /// # Errors
    /// The control loop has not sent a snapshot.
    pub fn client_page(&self, vocabulary: Vocabulary) -> Result<String, PageError> {
        let queue = self.snapshot()?.queue;
        let admission = self.admission.as_ref().map(|admission| admission.snapshot(MAX_CLIENTS));
        let classes = class_table(admission.as_ref(), queue.as_ref(), vocabulary);
        let (connections, noun) = (self.shutdown.connections(), OPEN_CONNECTIONS.text(vocabulary));
        let mut page = format!("{connections} {noun}\n\n{classes}");
        if let Some(admission) = &admission {
            page += &connection_tables(admission, vocabulary);
        }
        if let Some(queue) = &queue {
            page += &request_tables(queue, vocabulary);
        }
        Ok(page)
    }
}

fn class_table(
    admission: Option<&AdmissionSnapshot>,
    queue: Option<&QueueSnapshot>,
    vocabulary: Vocabulary,
) -> Table {
    let mut table = Table::new(&CLASS_COLUMNS, vocabulary);
    for row in class_rows(admission, queue) {
        let requests = requests_of(queue, row.name);
        table.push([
            row.name.into(),
            connections_of(admission, row.name).to_string(),
            row.reserved.to_string(),
            cell_or_empty(row.max_connections),
            requests.in_flight.to_string(),
            requests.waiting.to_string(),
        ]);
    }
    table
}

/// The configured classes, then classes of earlier configurations that still have connections or requests.
fn class_rows<'a>(
    admission: Option<&'a AdmissionSnapshot>,
    queue: Option<&'a QueueSnapshot>,
) -> Vec<ClassRow<'a>> {
    let configured = admission.into_iter().flat_map(|admission| &admission.classes);
    let mut rows: Vec<ClassRow> = configured
        .map(|class| ClassRow {
            name: &class.name,
            reserved: class.reserved,
            max_connections: class.max_connections,
        })
        .collect();
    let connected = admission.into_iter().flat_map(|admission| &admission.connections);
    let requesting = queue.into_iter().flat_map(|queue| &queue.classes);
    let names = connected.map(|entry| &entry.class).chain(requesting.map(|entry| &entry.class));
    for name in names {
        if !rows.iter().any(|row| row.name == &**name) {
            rows.push(ClassRow { name, reserved: 0, max_connections: None });
        }
    }
    rows
}

fn connections_of(admission: Option<&AdmissionSnapshot>, class: &str) -> usize {
    let connections = admission.into_iter().flat_map(|admission| &admission.connections);
    let mut of_class = connections.filter(|entry| &*entry.class == class);
    of_class.next().map_or(0, |entry| entry.connections)
}

fn requests_of(queue: Option<&QueueSnapshot>, class: &str) -> RequestCounts {
    let requests = queue.into_iter().flat_map(|queue| &queue.classes);
    let mut of_class = requests.filter(|entry| &*entry.class == class);
    of_class.next().map(|entry| entry.requests).unwrap_or_default()
}

fn connection_tables(admission: &AdmissionSnapshot, vocabulary: Vocabulary) -> String {
    let mut top = Table::new(&ADDRESS_COLUMNS, vocabulary);
    for entry in &admission.top_addresses {
        top.push([IpAddr::from(entry.address).to_string(), entry.connections.to_string()]);
    }
    let mut rejected = Table::new(&REJECTION_COLUMNS, vocabulary);
    for entry in &admission.rejections {
        let reason = rejection_term(entry.reason).text(vocabulary);
        rejected.push([entry.class.to_string(), entry.count.to_string(), reason.into()]);
    }
    let (handshakes, remembered) = (admission.handshakes, admission.remembered_addresses);
    let queue = IN_HANDSHAKE_QUEUE.text(vocabulary);
    format!("\n{handshakes} {queue}, {remembered} addresses remembered\n\n{top}\n{rejected}")
}

fn request_tables(queue: &QueueSnapshot, vocabulary: Vocabulary) -> String {
    let mut top = Table::new(&CLIENT_COLUMNS, vocabulary);
    for ClientRequests { client, requests } in &queue.top_clients {
        let (in_flight, waiting) = (requests.in_flight, requests.waiting);
        let address = IpAddr::from(client.address).to_string();
        top.push([client.class.to_string(), address, in_flight.to_string(), waiting.to_string()]);
    }
    let mut shed = Table::new(&SHED_COLUMNS, vocabulary);
    for entry in &queue.shed {
        let reason = shed_term(entry.reason).text(vocabulary);
        shed.push([entry.class.to_string(), entry.count.to_string(), reason.into()]);
    }
    format!("\n{top}\n{shed}")
}
