//! Shared by the server's test files: messages as bytes, written out by hand (what the server's own encoder makes must
//! agree with them), and the set-up of endpoints, instances and clients on loopback.

// Each test file uses a part of this module.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use test_servers::client::Client;
use test_servers::cluster::{Branch, Cluster, EndpointModel};
use test_servers::daemon::{Daemon, DaemonOptions};
use test_servers::discovery::list_entry;
use test_servers::endpoint::{serve, ServedEndpoint};
use test_servers::settings::{settings, DRAIN_GRACE_MS, NO_SLOW_START};

/// The body of a RowDescription of one column.
pub const ONE_COLUMN: &[u8] = b"\0\x01content\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01";

/// The router's program, as Cargo built it for these tests.
pub const ROUTER: &str = env!("CARGO_BIN_EXE_query-router");

/// The group of the endpoints that [`one_group`] serves.
pub const GROUP: i64 = 1;

/// How long [`connect`] tries before the test fails.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);

/// The pause between two tries of [`connect`].
const CONNECT_INTERVAL: Duration = Duration::from_millis(5);

/// A message with its tag and length.
pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let length = (body.len() as u32 + 4).to_be_bytes();
    [&[tag], &length[..], body].concat()
}

/// The messages of a value: RowDescription, DataRow and CommandComplete.
pub fn value_messages(value: &[u8]) -> Vec<u8> {
    let row = [&[0, 1], &(value.len() as u32).to_be_bytes()[..], value].concat();
    [message(b'T', ONE_COLUMN), message(b'D', &row), message(b'C', b"SELECT 1\0")].concat()
}

/// One group of endpoints named `s-0`, `s-1`, … and served on loopback, without slow start: `s-0` is the primary, the
/// others its replicas. Each endpoint lags by its entry of `lags_ms`, in milliseconds.
pub fn one_group(lags_ms: &[i64]) -> (Arc<Cluster>, Vec<ServedEndpoint>) {
    let cluster = Arc::new(Cluster::new(NO_SLOW_START, DRAIN_GRACE_MS));
    let endpoint = |index: usize| {
        EndpointModel::new(format!("s-{index}"), GROUP, (index > 0).then_some(0), lags_ms[index])
    };
    cluster.lock().branches.insert(GROUP, vec![Branch::initial()]);
    cluster.lock().endpoints = (0..lags_ms.len()).map(endpoint).collect();
    let served = (0..lags_ms.len()).map(|index| serve(&cluster, index)).collect();
    (cluster, served)
}

/// The entry of endpoint `s-{index}` of [`one_group`] in a discovery list, serving, the primary if `index` is `primary`.
pub fn group_entry(served: &[ServedEndpoint], index: usize, primary: usize) -> serde_json::Value {
    list_entry(&format!("s-{index}"), &served[index].addr, GROUP, index == primary, "SERVING", 0)
}

/// Starts the router with the test settings and `seed`, the operators' file `operator_file`, both written to `folder`;
/// it listens on `listen` and takes its endpoint list from discovery at `discovery`. Panics if it does not start.
pub fn start_router(
    seed: usize,
    operator_file: &str,
    folder: &Path,
    listen: SocketAddr,
    discovery: SocketAddr,
) -> Daemon {
    let bootstrap = format!(r#"{{"seed":"{seed}","settings":{}}}"#, settings());
    let options = DaemonOptions {
        program: Path::new(ROUTER),
        bootstrap: &bootstrap,
        operator_file: Some(operator_file),
        folder,
        listen,
        discovery,
    };
    Daemon::start(&options).expect("it starts")
}

/// A client of the instance at `listen`, as `user`, with `session` (`Some("new")` asks for a new one), once the instance
/// accepts the connection. Panics after ten seconds of tries.
pub fn connect(listen: &SocketAddr, user: &str, session: Option<&str>) -> Client {
    let began = Instant::now();
    loop {
        match Client::with_session(listen, user, session) {
            Ok(client) => return client,
            Err(error) => assert!(began.elapsed() < CONNECT_TIMEOUT, "{error}"),
        }
        thread::sleep(CONNECT_INTERVAL);
    }
}
