//! Connects a client to an instance that may still be starting.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};
use test_servers::client::Client;

/// How long [`connect`] retries before it panics.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay between two attempts of [`connect`].
const CONNECT_INTERVAL: Duration = Duration::from_millis(5);

/// Connects a client to the instance at `listen` as `user`, and retries until the instance accepts the connection.
/// `session` is a session token, or `Some("new")` to request a new session.
///
/// # Panics
/// Panics if no connection is accepted within ten seconds.
pub fn connect(listen: &SocketAddr, user: &str, session: Option<&str>) -> Client {
    let began = Instant::now();
    loop {
        match Client::with_session(listen, user, session) {
            Ok(client) => return client,
            Err(error) => {
                assert!(began.elapsed() < CONNECT_TIMEOUT, "no connection to {listen}: {error}");
            }
        }
        thread::sleep(CONNECT_INTERVAL);
    }
}
