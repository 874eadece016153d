//! Connections of clients that work in a closed loop: each client sends its next request only after it has received
//! the answer to the previous one.

use crate::client::Client;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Opens connections to `listen`, one after the other, until `is_over` is set. `use_connection` is called with each
/// connection and has to return when the connection ends or `is_over` is set. After a failed attempt to connect, the
/// next one follows after `reconnect_delay`.
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
