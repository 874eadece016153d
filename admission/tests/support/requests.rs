//! Limits, classes and clients for tests of the concurrency limiter.

use admission::client_address::{AddressPrefixes, ClientAddress};
use admission::concurrency_limiter::{ClientKey, ConcurrencyLimits};
use admission::ClientClass;
use routing::time::TimeDelta;
use std::net::{IpAddr, Ipv4Addr};

/// The longest Retry-After time that the limiter may return.
pub const MAX_RETRY_AFTER: TimeDelta = TimeDelta::from_millis(2_000);

/// The client of a class with the address 127.0.0.0 plus `offset`.
pub fn client(class: &str, offset: u32) -> ClientKey {
    let address = IpAddr::from(Ipv4Addr::from_bits(0x7f00_0000 + offset));
    ClientKey { class: class.into(), address: ClientAddress::new(address, AddressPrefixes::default()) }
}

/// Limits on requests in flight and waiting, with a target wait of 10 ms and without a retry budget.
pub fn limits(max_in_flight: usize, max_waiting: usize) -> ConcurrencyLimits {
    ConcurrencyLimits {
        max_in_flight,
        max_waiting,
        target_wait: TimeDelta::from_millis(10),
        retry_percent: None,
    }
}

/// The class `interactive` with three times the default weight, and the class `batch` with at most three requests in
/// flight and waiting.
pub fn classes() -> Vec<ClientClass> {
    let networks = |network: &str| vec![network.parse().expect("a valid network")];
    vec![
        ClientClass { networks: networks("127.9.0.0/16"), weight: 3, ..ClientClass::named("interactive") },
        ClientClass {
            networks: networks("127.8.0.0/16"),
            max_requests: Some(3),
            ..ClientClass::named("batch")
        },
    ]
}
