//! Cost of the write journal: throughput and latency of writes, or the duration and memory of a start with a large
//! journal.

mod starts;
mod throughput;

use clap::Parser;
use starts::measure_starts;
use std::net::SocketAddr;
use std::path::PathBuf;
use test_servers::daemon::Daemon;
use test_servers::single_endpoint::SingleEndpoint;
use throughput::measure_writes;

/// Service time of the endpoint in milliseconds: none, so that only the cost of the router is measured.
const WORK_MS: i64 = 0;
const WRITE_TIMEOUT_MS: i64 = 900;
/// Limit of the instance on file descriptors: enough for the connections of all clients.
const DESCRIPTORS: usize = 4_096;
/// Maximum number of records in the journal: larger than in any measurement, so that no record is dropped.
const MAX_RECORDS: u64 = 100_000_000;

/// Measures the cost of recording writes in the write journal.
#[derive(Parser)]
struct Arguments {
    /// Executable of the daemon to test
    #[arg(long)]
    daemon: PathBuf,
    /// Duration of the measurement for each row of the table, in seconds
    #[arg(long, default_value_t = 3)]
    seconds: u64,
    /// Instead measure the duration and the peak memory of a start with a journal of this size in MB
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

/// Starts an instance that listens on `listen`. `journal` is the mode of its write journal: the durability that a
/// record must have before its write is sent, or `off`.
fn start(arguments: &Arguments, fixture: &SingleEndpoint, listen: SocketAddr, journal: &str) -> Daemon {
    let folder = fixture.folder.path();
    let state_dir = folder.join("state").display().to_string();
    let operator_file =
        format!("state-dir {state_dir}\nwrite-journal {journal}\nwrite-journal-most {MAX_RECORDS}\n");
    fixture.start(&arguments.daemon, folder, listen, DESCRIPTORS, &operator_file)
}
