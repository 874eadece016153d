//! Clients in a closed loop: each sends its next request only after the answer to the previous one.

use crate::client::Client;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Opens one connection after another until `is_over` is set, and calls `use_connection` with each, which returns when
/// its connection ends or the run is over. Waits `reconnect_delay` after an attempt that failed.
pub fn reconnect_until_over(
    listen: &SocketAddr,
    is_over: &AtomicBool,
    reconnect_delay: Duration,
    mut use_connection: impl FnMut(Client),
) {
    while !is_over.load(Ordering::Acquire) {
        match Client::open(listen) {
            Ok(client) => use_connection(client),
            Err(_) => thread::sleep(reconnect_delay),
        }
    }
}
