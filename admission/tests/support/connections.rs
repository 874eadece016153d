//! Limits and addresses for tests of the connection limiter.

use admission::connection_limiter::ConnectionLimits;
use admission::{AddressPrefixes, ClientClass, ConnectionLimiter};
use routing::time::TimeDelta;
use std::net::{IpAddr, Ipv4Addr};

/// The longest Retry-After time that the limiter may return.
pub const MAX_RETRY_AFTER: TimeDelta = TimeDelta::from_millis(60_000);

/// Limits with the default prefix lengths.
pub fn connection_limits(classes: Vec<ClientClass>, capacity: usize) -> ConnectionLimits {
    ConnectionLimits { classes, prefixes: AddressPrefixes::default(), capacity }
}

/// The loopback address 127.a.b.c.
pub fn loopback_address(a: u8, b: u8, c: u8) -> IpAddr {
    Ipv4Addr::new(127, a, b, c).into()
}

/// A limiter with these classes, which must be valid.
pub fn limiter(classes: Vec<ClientClass>, capacity: usize) -> ConnectionLimiter {
    ConnectionLimiter::new(connection_limits(classes, capacity), MAX_RETRY_AFTER, 7).expect("valid classes")
}
