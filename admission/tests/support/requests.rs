//! The limits, classes and clients of the tests of the concurrency limiter.

use admission::client_address::{AddressPrefixes, ClientAddress};
use admission::concurrency_limiter::{ClientKey, ConcurrencyLimits};
use admission::ClientClass;
use routing::time::TimeDelta;
use std::net::{IpAddr, Ipv4Addr};

/// Longest Retry-After that the limiter may report.
pub const MAX_RETRY_AFTER: TimeDelta = TimeDelta::from_millis(2_000);

/// The `nth` client address, in a class.
pub fn client(class: &str, nth: u32) -> ClientKey {
    let address = IpAddr::from(Ipv4Addr::from_bits(0x7f00_0000 + nth));
    ClientKey { class: class.into(), address: ClientAddress::new(address, AddressPrefixes::default()) }
}

/// So many requests in flight and waiting, a target wait of 10 ms, and no retry budget.
pub fn limits(max_in_flight: usize, max_waiting: usize) -> ConcurrencyLimits {
    ConcurrencyLimits {
        max_in_flight,
        max_waiting,
        target_wait: TimeDelta::from_millis(10),
        retry_percent: None,
    }
}

/// Class `desk` with three times the default weight, and class `batch` with at most three requests at once.
pub fn classes() -> Vec<ClientClass> {
    let networks = |range: &str| vec![range.parse().expect("a valid network")];
    vec![
        ClientClass { networks: networks("127.9.0.0/16"), weight: 3, ..ClientClass::named("desk") },
        ClientClass {
            networks: networks("127.8.0.0/16"),
            max_requests: Some(3),
            ..ClientClass::named("batch")
        },
    ]
}
