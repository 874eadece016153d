//! The connection limiter: limits, rates, reservations, Retry-After times and the validation of classes.

#[allow(dead_code)] // Each test file uses only a part of the support code.
mod support;

use admission::client_address::{ClientAddress, MAX_REMEMBERED};
use admission::client_class::{validate, DEFAULT_CLASS};
use admission::{
    AddressPrefixes, AdmittedConnection, ClassConnections, ClassError, ClientClass, ConnectionLimiter,
    ConnectionRate, RejectionReason,
};
use routing::time::{TimeDelta, Timestamp};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use support::at_ms;
use support::connections::{connection_limits, limiter, loopback_address};

/// A class with four reserved connections.
fn class_with_reservation() -> ClientClass {
    ClientClass {
        networks: vec!["127.9.0.0/16".parse().expect("a valid network")],
        reserved: 4,
        ..ClientClass::named("interactive")
    }
}

/// The default class with a maximum of one connection.
fn single_connection() -> ClientClass {
    ClientClass { max_connections: Some(1), ..ClientClass::named(DEFAULT_CLASS) }
}

/// Lets a client connect. Returns why the connection is rejected, or `None` if it is admitted. An admitted connection
/// is never released.
fn rejection_reason(limiter: &mut ConnectionLimiter, ms: i64, address: IpAddr) -> Option<RejectionReason> {
    limiter.admit(at_ms(ms), address, None).err().map(|rejection| rejection.reason)
}

#[test]
fn reserved_connections_stay_available_to_their_class_under_a_flood() {
    let others = ClientClass { max_per_address: Some(2), ..ClientClass::named(DEFAULT_CLASS) };
    let mut limiter = limiter(vec![class_with_reservation(), others], 10);
    let mut admitted: Vec<AdmittedConnection> = Vec::new();
    for nth in 0..200 {
        admitted.extend(limiter.admit(at_ms(nth), loopback_address(1, 0, nth as u8), None));
    }
    assert_eq!(admitted.len(), 6, "other clients get the connections that are not reserved");
    assert_eq!(
        rejection_reason(&mut limiter, 300, loopback_address(1, 0, 250)),
        Some(RejectionReason::Reserved)
    );
    for nth in 0..4 {
        admitted.push(
            limiter.admit(at_ms(301), loopback_address(9, 1, nth), None).expect("a reserved connection"),
        );
    }
    assert_eq!(
        rejection_reason(&mut limiter, 302, loopback_address(9, 1, 9)),
        Some(RejectionReason::Reserved),
        "at capacity"
    );
    // A connection that another class releases is available to every class.
    limiter.release(at_ms(303), admitted.remove(0));
    admitted.push(limiter.admit(at_ms(304), loopback_address(9, 1, 9), None).expect("a released connection"));
    // A connection that the class releases beyond its reservation is available to every class.
    limiter.release(at_ms(305), admitted.pop().expect("the last connection"));
    assert_eq!(rejection_reason(&mut limiter, 306, loopback_address(1, 0, 250)), None);
    let expected = [("interactive", 4), (DEFAULT_CLASS, 6)];
    let expected = expected.map(|(class, connections)| ClassConnections { class: class.into(), connections });
    assert_eq!(limiter.connections_by_class().collect::<Vec<_>>(), expected);
}

#[test]
fn limits_and_rates_apply_to_all_addresses_of_a_prefix_together() {
    let rate = Some(ConnectionRate { per_second: 10, burst: 3 });
    let class = ClientClass { rate, max_per_address: Some(5), ..ClientClass::named(DEFAULT_CLASS) };
    let mut limiter = limiter(vec![class], 1_000);
    let address = |host: u128| IpAddr::from(Ipv6Addr::from_bits((0x2001_0db8 << 96) | host));
    let burst: Vec<AdmittedConnection> =
        (0..3).map(|host| limiter.admit(at_ms(0), address(host), None).expect("within the burst")).collect();
    let rejection =
        limiter.admit(at_ms(0), address(77), None).expect_err("all addresses of a /64 network count as one");
    assert_eq!(rejection.reason, RejectionReason::RateLimit);
    let expected = TimeDelta::from_millis(100)..TimeDelta::from_millis(801);
    assert!(expected.contains(&rejection.retry_after), "{rejection:?}");
    assert_eq!(
        rejection_reason(&mut limiter, 0, address(1 << 64)),
        None,
        "the next /64 network counts separately"
    );
    assert_eq!(rejection_reason(&mut limiter, 99, address(3)), Some(RejectionReason::RateLimit));
    assert_eq!(rejection_reason(&mut limiter, 100, address(3)), None);
    assert_eq!(rejection_reason(&mut limiter, 200, address(3)), None);
    assert_eq!(rejection_reason(&mut limiter, 9_000, address(3)), Some(RejectionReason::AddressLimit));
    burst.into_iter().for_each(|connection| limiter.release(at_ms(9_001), connection));
    assert_eq!(rejection_reason(&mut limiter, 9_002, address(3)), None);
}

#[test]
fn mapped_addresses_count_as_ipv4_and_prefix_lengths_are_configurable() {
    let mapped = IpAddr::from(Ipv4Addr::new(10, 0, 0, 1).to_ipv6_mapped());
    let (plain, prefixes) = (IpAddr::from([10, 0, 0, 1]), AddressPrefixes::default());
    assert_eq!(ClientAddress::new(mapped, prefixes), ClientAddress::new(plain, prefixes));
    assert_eq!(
        IpAddr::from(ClientAddress::new(plain, AddressPrefixes { v4: 24, v6: 64 })),
        IpAddr::from([10, 0, 0, 0])
    );
}

#[test]
fn retry_after_times_of_simultaneous_rejections_are_spread() {
    let mut limiter = limiter(vec![single_connection()], 50);
    let _held = limiter.admit(at_ms(0), loopback_address(1, 1, 1), None).expect("the first connection");
    let retry_after_ms: Vec<i64> = (0..1_000)
        .map(|nth| {
            let rejection = limiter
                .admit(at_ms(1), loopback_address(1, 2, nth as u8), None)
                .expect_err("the class is at its limit");
            rejection.retry_after.0 / 1_000_000
        })
        .collect();
    // All connections arrive at the same time. Later ones must get a longer Retry-After time, and less than a tenth of
    // them may return within the same tenth of a second.
    let mut by_tenth: BTreeMap<i64, usize> = BTreeMap::new();
    retry_after_ms.iter().for_each(|ms| *by_tenth.entry(ms / 100).or_default() += 1);
    assert!(by_tenth.values().all(|count| *count < 100), "{by_tenth:?}");
    assert!(
        retry_after_ms[990..].iter().min() > retry_after_ms[..10].iter().max(),
        "{:?} {:?}",
        &retry_after_ms[..10],
        &retry_after_ms[990..]
    );
}

#[test]
fn retry_after_times_are_spread_within_a_short_maximum() {
    let max_retry_after = TimeDelta::from_millis(500);
    let limits = connection_limits(vec![single_connection()], 50);
    let mut limiter = ConnectionLimiter::new(limits, max_retry_after, 7).expect("valid classes");
    let _held = limiter.admit(at_ms(0), loopback_address(1, 1, 1), None).expect("the first connection");
    let mut by_tenth: BTreeMap<i64, usize> = BTreeMap::new();
    for nth in 0..1_000 {
        let rejection = limiter
            .admit(at_ms(1), loopback_address(1, 2, nth as u8), None)
            .expect_err("the class is at its limit");
        assert!(rejection.retry_after <= max_retry_after);
        *by_tenth.entry(rejection.retry_after.0 / 100_000_000).or_default() += 1;
    }
    assert!(by_tenth.values().all(|count| *count < 400), "{by_tenth:?}");
}

#[test]
fn all_errors_in_a_set_of_classes_are_reported_at_once() {
    let network = "10.0.0.0/8".parse().expect("a valid network");
    let classes = vec![
        ClientClass {
            networks: vec![network],
            reserved: 9,
            max_connections: Some(8),
            ..ClientClass::named("a")
        },
        ClientClass { networks: vec![network], ..ClientClass::named("b") },
        ClientClass::named("b"),
        ClientClass {
            networks: vec!["::/0".parse().expect("a valid network")],
            reserved: 5,
            ..ClientClass::named(DEFAULT_CLASS)
        },
    ];
    let errors = validate(&classes, 13);
    for error in [
        ClassError::ReservesMoreThanLimit { class: "a".into(), reserved: 9, max_connections: 8 },
        ClassError::DuplicateNetwork { network, classes: ["a".into(), "b".into()] },
        ClassError::DuplicateName("b".into()),
        ClassError::MatchesNoClient("b".into()),
        ClassError::DefaultClassHasCriteria,
        ClassError::ReservesMoreThanCapacity { reserved: 14, capacity: 13 },
    ] {
        assert!(errors.contains(&error), "{error}: {errors:?}");
    }
    let mut limiter = limiter(vec![class_with_reservation()], 10);
    assert!(limiter.set_limits(connection_limits(classes, 10)).is_err());
    assert_eq!(
        rejection_reason(&mut limiter, 0, loopback_address(9, 0, 0)),
        None,
        "the previous limits stay in effect"
    );
}

#[test]
fn a_million_addresses_leave_a_bounded_number_remembered() {
    let rate = Some(ConnectionRate { per_second: 1, burst: 2 });
    let mut limiter = limiter(vec![ClientClass { rate, ..ClientClass::named(DEFAULT_CLASS) }], 100);
    let over_rate = loopback_address(255, 255, 255);
    for _ in 0..2 {
        let connection = limiter.admit(at_ms(0), over_rate, None).expect("within the burst");
        limiter.release(at_ms(0), connection);
    }
    assert_eq!(rejection_reason(&mut limiter, 1, over_rate), Some(RejectionReason::RateLimit));
    for nth in 0..1_000_000u32 {
        // All connections are within one second, the time for which each address is remembered.
        let now = Timestamp(1_000_000 + i64::from(nth) * 900);
        let connection = limiter
            .admit(now, Ipv4Addr::from_bits(nth).into(), None)
            .expect("the first connection of the address");
        limiter.release(now, connection);
        assert!(limiter.remembered_addresses() <= MAX_REMEMBERED + 1);
    }
    assert_eq!(limiter.remembered_addresses(), MAX_REMEMBERED);
    // The address that exceeds its rate the most is evicted last: all others have connected once.
    assert_eq!(rejection_reason(&mut limiter, 950, over_rate), Some(RejectionReason::RateLimit));
    let connection = limiter.admit(at_ms(60_000), over_rate, None).expect("within its rate again");
    limiter.release(at_ms(70_000), connection);
    assert_eq!(limiter.remembered_addresses(), 0);
}
