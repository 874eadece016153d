//! Cost of the write journal: throughput and latency of writes, or the time that a start on a large journal takes.

mod starts;
mod throughput;

use clap::Parser;
use starts::measure_starts;
use std::net::SocketAddr;
use std::path::PathBuf;
use test_servers::daemon::Daemon;
use test_servers::single_endpoint::SingleEndpoint;
use throughput::measure_writes;

/// Service time of the endpoint: none, so that only the cost of the router is measured.
const WORK_MS: i64 = 0;
const WRITE_TIMEOUT_MS: i64 = 900;
const DESCRIPTORS: usize = 4_096;
/// Larger than the number of records in any measurement, so that no record is dropped.
const MAX_RECORDS: u64 = 100_000_000;

/// The cost of recording writes.
#[derive(Parser)]
struct Arguments {
    /// The daemon to test
    #[arg(long)]
    daemon: PathBuf,
    /// Seconds for each row
    #[arg(long, default_value_t = 3)]
    seconds: u64,
    /// Instead: how long a start takes on a journal of so many MB, and what memory it has then
    #[arg(long)]
    start_on_mb: Option<u64>,
}

fn main() {
    let arguments = Arguments::parse();
    match arguments.start_on_mb {
        Some(mb) => measure_starts(&arguments, mb),
        None => measure_writes(&arguments),
    }
}

/// Starts an instance whose records have the durability `journal` before their writes are sent.
fn start(arguments: &Arguments, fixture: &SingleEndpoint, listen: SocketAddr, journal: &str) -> Daemon {
    let folder = fixture.folder.path();
    let state_dir = folder.join("state").display().to_string();
    let operator_file =
        format!("state-dir {state_dir}\nwrite-journal {journal}\nwrite-journal-most {MAX_RECORDS}\n");
    fixture.start(&arguments.daemon, folder, listen, DESCRIPTORS, &operator_file)
}
