//! Admission of connections: limits, rates, reservations and Retry-After times. Plain cases, and a property test
//! against a model over random sequences of steps.

use admission::client_address::{ClientAddress, MAX_REMEMBERED};
use admission::client_class::{validate, DEFAULT_CLASS};
use admission::connection_limiter::ConnectionLimits;
use admission::{
    AddressPrefixes, AdmittedConnection, ClassError, ClientClass, ConnectionLimiter, ConnectionRate,
    Rejection, RejectionReason,
};
use proptest::prelude::*;
use proptest::test_runner::TestCaseResult;
use proptest_support::seeded_cases;
use routing::time::{TimeDelta, Timestamp};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

fn at(ms: i64) -> Timestamp {
    Timestamp(ms * 1_000_000)
}

/// Time in which the Retry-After times of rejected connections are spread.
const MAX_RETRY_AFTER: TimeDelta = TimeDelta::from_millis(60_000);

fn connection_limits(classes: Vec<ClientClass>, capacity: usize) -> ConnectionLimits {
    ConnectionLimits { classes, prefixes: AddressPrefixes::default(), capacity }
}

/// The loopback address 127.a.b.c.
fn v4(a: u8, b: u8, c: u8) -> IpAddr {
    Ipv4Addr::new(127, a, b, c).into()
}

/// A class of clients with four reserved connections.
fn desk() -> ClientClass {
    ClientClass {
        networks: vec!["127.9.0.0/16".parse().expect("a valid network")],
        reserved: 4,
        ..ClientClass::named("desk")
    }
}

fn limiter(classes: Vec<ClientClass>, capacity: usize) -> ConnectionLimiter {
    ConnectionLimiter::new(connection_limits(classes, capacity), MAX_RETRY_AFTER, 7).expect("valid classes")
}

/// The default class with at most one connection.
fn single_connection() -> ClientClass {
    ClientClass { max_connections: Some(1), ..ClientClass::named(DEFAULT_CLASS) }
}

/// Why a connection is rejected, or none if it is admitted (and never released).
fn reason(limiter: &mut ConnectionLimiter, ms: i64, address: IpAddr) -> Option<RejectionReason> {
    limiter.admit(at(ms), address, None).err().map(|rejection| rejection.reason)
}

#[test]
fn reserved_connections_stay_available_to_their_class_under_a_flood() {
    let others = ClientClass { max_per_address: Some(2), ..ClientClass::named(DEFAULT_CLASS) };
    let mut limiter = limiter(vec![desk(), others], 10);
    let mut admitted: Vec<AdmittedConnection> = Vec::new();
    for nth in 0..200 {
        admitted.extend(limiter.admit(at(nth), v4(1, 0, nth as u8), None));
    }
    assert_eq!(admitted.len(), 6, "the others get what is not reserved");
    assert_eq!(reason(&mut limiter, 300, v4(1, 0, 250)), Some(RejectionReason::Reserved));
    for nth in 0..4 {
        admitted.push(limiter.admit(at(301), v4(9, 1, nth), None).expect("a reserved connection"));
    }
    assert_eq!(reason(&mut limiter, 302, v4(9, 1, 9)), Some(RejectionReason::Reserved), "at capacity");
    // A connection released by the others is available to every class.
    limiter.release(at(303), admitted.remove(0));
    admitted.push(limiter.admit(at(304), v4(9, 1, 9), None).expect("a released connection"));
    // What the desk releases beyond its reservation is available to the others as well.
    limiter.release(at(305), admitted.pop().expect("the last one"));
    assert_eq!(reason(&mut limiter, 306, v4(1, 0, 250)), None);
    assert_eq!(limiter.connections_by_class().collect::<Vec<_>>(), [("desk", 4), (DEFAULT_CLASS, 6)]);
}

#[test]
fn an_address_has_a_limit_and_a_rate_and_a_prefix_counts_as_one_address() {
    let rate = Some(ConnectionRate { per_second: 10, burst: 3 });
    let class = ClientClass { rate, max_per_address: Some(5), ..ClientClass::named(DEFAULT_CLASS) };
    let mut limiter = limiter(vec![class], 1_000);
    let address = |host: u128| IpAddr::from(Ipv6Addr::from_bits((0x2001_0db8 << 96) | host));
    let burst: Vec<AdmittedConnection> =
        (0..3).map(|host| limiter.admit(at(0), address(host), None).expect("within the burst")).collect();
    let rejection = limiter.admit(at(0), address(77), None).expect_err("one /64 counts as one address");
    assert_eq!(rejection.reason, RejectionReason::Rate);
    let expected = TimeDelta::from_millis(100)..TimeDelta::from_millis(801);
    assert!(expected.contains(&rejection.retry_after), "{rejection:?}");
    assert_eq!(reason(&mut limiter, 0, address(1 << 64)), None, "the next /64 is another address");
    assert_eq!(reason(&mut limiter, 99, address(3)), Some(RejectionReason::Rate));
    assert_eq!(reason(&mut limiter, 100, address(3)), None);
    assert_eq!(reason(&mut limiter, 200, address(3)), None);
    assert_eq!(reason(&mut limiter, 9_000, address(3)), Some(RejectionReason::AddressLimit));
    burst.into_iter().for_each(|connection| limiter.release(at(9_001), connection));
    assert_eq!(reason(&mut limiter, 9_002, address(3)), None);
}

#[test]
fn a_mapped_address_is_its_ipv4_address_and_prefixes_are_configurable() {
    let mapped = IpAddr::from(Ipv4Addr::new(10, 0, 0, 1).to_ipv6_mapped());
    let (plain, prefixes) = (IpAddr::from([10, 0, 0, 1]), AddressPrefixes::default());
    assert_eq!(ClientAddress::new(mapped, prefixes), ClientAddress::new(plain, prefixes));
    assert_eq!(
        IpAddr::from(ClientAddress::new(plain, AddressPrefixes { v4: 24, v6: 64 })),
        IpAddr::from([10, 0, 0, 0])
    );
}

#[test]
fn retry_after_times_of_a_flood_are_spread() {
    let mut limiter = limiter(vec![single_connection()], 50);
    let _held = limiter.admit(at(0), v4(1, 1, 1), None).expect("the first");
    let retry_after_ms: Vec<i64> = (0..1_000)
        .map(|nth| {
            let rejection = limiter.admit(at(1), v4(1, 2, nth as u8), None).expect_err("at the limit");
            rejection.retry_after.0 / 1_000_000
        })
        .collect();
    // All arrive at the same time: later ones get a longer Retry-After, and no tenth of a second gets a tenth of
    // them.
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
fn retry_after_times_are_spread_within_a_short_maximum_as_well() {
    let max_retry_after = TimeDelta::from_millis(500);
    let limits = connection_limits(vec![single_connection()], 50);
    let mut limiter = ConnectionLimiter::new(limits, max_retry_after, 7).expect("valid classes");
    let _held = limiter.admit(at(0), v4(1, 1, 1), None).expect("the first");
    let mut by_tenth: BTreeMap<i64, usize> = BTreeMap::new();
    for nth in 0..1_000 {
        let rejection = limiter.admit(at(1), v4(1, 2, nth as u8), None).expect_err("at the limit");
        assert!(rejection.retry_after <= max_retry_after);
        *by_tenth.entry(rejection.retry_after.0 / 100_000_000).or_default() += 1;
    }
    assert!(by_tenth.values().all(|count| *count < 400), "{by_tenth:?}");
}

#[test]
fn all_contradictions_of_limits_are_reported_at_once() {
    let range = "10.0.0.0/8".parse().expect("a valid network");
    let classes = vec![
        ClientClass {
            networks: vec![range],
            reserved: 9,
            max_connections: Some(8),
            ..ClientClass::named("a")
        },
        ClientClass { networks: vec![range], ..ClientClass::named("b") },
        ClientClass::named("b"),
        ClientClass {
            networks: vec!["::/0".parse().expect("a valid network")],
            reserved: 5,
            ..ClientClass::named(DEFAULT_CLASS)
        },
    ];
    let faults = validate(&classes, 13);
    for fault in [
        ClassError::ReservesMoreThanLimit("a".into()),
        ClassError::DuplicateNetwork(range),
        ClassError::DuplicateName("b".into()),
        ClassError::DescribesNobody("b".into()),
        ClassError::DefaultClassDescribed,
        ClassError::ReservesMoreThanCapacity { reserved: 14, capacity: 13 },
    ] {
        assert!(faults.contains(&fault), "{fault}: {faults:?}");
    }
    let mut limiter = limiter(vec![desk()], 10);
    assert!(limiter.set_limits(connection_limits(classes, 10)).is_err());
    assert_eq!(reason(&mut limiter, 0, v4(9, 0, 0)), None, "the limits before stay in force");
}

#[test]
fn a_million_addresses_leave_a_bounded_number_remembered() {
    let rate = Some(ConnectionRate { per_second: 1, burst: 2 });
    let mut limiter = limiter(vec![ClientClass { rate, ..ClientClass::named(DEFAULT_CLASS) }], 100);
    let over_rate = v4(255, 255, 255);
    for _ in 0..2 {
        let connection = limiter.admit(at(0), over_rate, None).expect("within the burst");
        limiter.release(at(0), connection);
    }
    assert_eq!(reason(&mut limiter, 1, over_rate), Some(RejectionReason::Rate));
    for nth in 0..1_000_000u32 {
        // All within the second in which each is remembered.
        let now = Timestamp(1_000_000 + i64::from(nth) * 900);
        let connection = limiter.admit(now, Ipv4Addr::from_bits(nth).into(), None).expect("its first");
        limiter.release(now, connection);
        assert!(limiter.remembered_addresses() <= MAX_REMEMBERED + 1);
    }
    assert_eq!(limiter.remembered_addresses(), MAX_REMEMBERED);
    // The address that is most over its rate is forgotten last: all others connected once.
    assert_eq!(reason(&mut limiter, 950, over_rate), Some(RejectionReason::Rate));
    let connection = limiter.admit(at(60_000), over_rate, None).expect("within its rate again");
    limiter.release(at(70_000), connection);
    assert_eq!(limiter.remembered_addresses(), 0);
}

/// The capacity in the property test.
const CAPACITY: usize = 16;

/// The limits that a random sequence starts with.
#[derive(Clone, Copy, Debug)]
struct DrawnLimits {
    desk_reserved: usize,
    house_reserved: usize,
    house_max: usize,
    others_max_per_address: usize,
    others_rate: ConnectionRate,
}

fn any_limits() -> impl Strategy<Value = DrawnLimits> {
    let limits = (1..9usize, 1..9usize, 1..20u32, 1..5u32);
    ((0..6usize, 0..6usize), limits).prop_map(|((desk_reserved, house_reserved), limits)| {
        let (house_max, others_max_per_address, per_second, burst) = limits;
        let others_rate = ConnectionRate { per_second, burst };
        DrawnLimits { desk_reserved, house_reserved, house_max, others_max_per_address, others_rate }
    })
}

impl DrawnLimits {
    /// Class `house` is within the networks round class `desk`: the narrowest network counts. Its limit is lowered
    /// by `house_lowered_by`, but never below its reservation.
    fn classes(&self, house_lowered_by: usize) -> [ClientClass; 3] {
        let class = |name: &str, network: &str, reserved| ClientClass {
            networks: vec![network.parse().expect("a valid network")],
            reserved,
            ..ClientClass::named(name)
        };
        let house_max = (5 + self.house_max - house_lowered_by.min(4)).max(self.house_reserved);
        [
            class("desk", "127.9.0.0/16", self.desk_reserved),
            ClientClass {
                max_connections: Some(house_max),
                ..class("house", "127.8.0.0/15", self.house_reserved)
            },
            ClientClass {
                max_per_address: Some(self.others_max_per_address),
                rate: Some(self.others_rate),
                ..ClientClass::named(DEFAULT_CLASS)
            },
        ]
    }
}

/// What one step of a random sequence does.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A client of 127.(7 + net).0.host connects.
    Connect { net: u8, host: u8 },
    /// One of the connections is released.
    Release { nth: u8 },
    /// The limit of class `house` is lowered by this much.
    LowerLimit { by: u8 },
}

/// A step, and the time in milliseconds that passes before it.
fn any_step() -> impl Strategy<Value = (i64, Step)> {
    (0..10u8, 0..4u8, 0..4u8, 0..400i64).prop_map(|(kind, net, host, wait)| {
        let step = match kind {
            0..=5 => Step::Connect { net, host },
            6..=8 => Step::Release { nth: host },
            _ => Step::LowerLimit { by: host },
        };
        (wait / 8, step)
    })
}

/// What the model knows at a connection attempt, before the limiter decides.
struct Expectation {
    class: ClientClass,
    /// Connections of the class, and of the address.
    of_class: usize,
    of_address: usize,
    total: usize,
    /// Unused reservations of the other classes.
    reserved_for_others: usize,
}

impl Expectation {
    fn is_class_full(&self) -> bool {
        self.class.max_connections.is_some_and(|max| self.of_class >= max)
    }

    fn is_address_full(&self) -> bool {
        self.class.max_per_address.is_some_and(|max| self.of_address >= max)
    }

    fn is_rest_reserved(&self) -> bool {
        self.total + self.reserved_for_others >= CAPACITY
    }

    fn has_reservation(&self) -> bool {
        self.of_class < self.class.reserved
    }
}

/// A limiter, and the connections that its decisions so far must have led to.
struct CheckedLimiter {
    limiter: ConnectionLimiter,
    limits: DrawnLimits,
    now: Timestamp,
    house_lowered_by: usize,
    /// Once limits changed, a class may have more than is now allowed, so that reservations may be short.
    limits_changed: bool,
    connections: Vec<(AdmittedConnection, IpAddr)>,
    admitted_at: BTreeMap<IpAddr, Vec<Timestamp>>,
}

impl CheckedLimiter {
    fn new(limits: DrawnLimits) -> CheckedLimiter {
        CheckedLimiter {
            limiter: limiter(limits.classes(0).into(), CAPACITY),
            limits,
            now: Timestamp(0),
            house_lowered_by: 0,
            limits_changed: false,
            connections: Vec::new(),
            admitted_at: BTreeMap::new(),
        }
    }

    fn apply(&mut self, wait_ms: i64, step: Step) -> TestCaseResult {
        self.now = self.now + TimeDelta::from_millis(wait_ms);
        match step {
            Step::Connect { net, host } => self.connect(net, host)?,
            Step::Release { nth } => self.release(usize::from(nth)),
            Step::LowerLimit { by } => self.lower_limit(usize::from(by)),
        }
        let held: usize = self.limiter.connections_by_class().map(|(_, held)| held).sum();
        prop_assert_eq!(held, self.connections.len());
        Ok(())
    }

    fn lower_limit(&mut self, by: usize) {
        self.house_lowered_by = by;
        self.limits_changed = true;
        let limits = connection_limits(self.limits.classes(by).into(), CAPACITY);
        self.limiter.set_limits(limits).expect("valid classes");
    }

    fn release(&mut self, nth: usize) {
        if !self.connections.is_empty() {
            let (connection, _) = self.connections.swap_remove(nth % self.connections.len());
            self.limiter.release(self.now, connection);
        }
    }

    fn connect(&mut self, net: u8, host: u8) -> TestCaseResult {
        let address = v4(7 + net, 0, host);
        let expectation = self.expectation(net, address);
        match self.limiter.admit(self.now, address, None) {
            Ok(connection) => {
                self.check_admission(&expectation, &connection)?;
                self.check_rate(&expectation.class, address)?;
                self.connections.push((connection, address));
                Ok(())
            }
            Err(rejection) => self.check_rejection(&expectation, &rejection),
        }
    }

    fn expectation(&self, net: u8, address: IpAddr) -> Expectation {
        let classes = self.limits.classes(self.house_lowered_by);
        let class = match net {
            2 => &classes[0],
            1 => &classes[1],
            _ => &classes[2],
        };
        let held = |class: &ClientClass| {
            self.connections.iter().filter(|(held, _)| held.class == class.name).count()
        };
        Expectation {
            of_class: held(class),
            of_address: self.connections.iter().filter(|(_, other)| *other == address).count(),
            total: self.connections.len(),
            reserved_for_others: classes
                .iter()
                .filter(|other| other.name != class.name)
                .map(|other| other.reserved.saturating_sub(held(other)))
                .sum(),
            class: class.clone(),
        }
    }

    /// No connection is admitted above a limit, or on what is reserved for others.
    fn check_admission(&self, expected: &Expectation, connection: &AdmittedConnection) -> TestCaseResult {
        prop_assert_eq!(&connection.class, &expected.class.name);
        prop_assert!(!expected.is_class_full());
        prop_assert!(!expected.is_address_full());
        prop_assert!(expected.total < CAPACITY);
        prop_assert!(self.limits_changed || expected.has_reservation() || !expected.is_rest_reserved());
        Ok(())
    }

    /// In any second an address has no more connections than its rate and its burst together.
    fn check_rate(&mut self, class: &ClientClass, address: IpAddr) -> TestCaseResult {
        let admitted_at = self.admitted_at.entry(address).or_default();
        admitted_at.push(self.now);
        if class.rate.is_some() {
            let within_second =
                admitted_at.iter().filter(|then| self.now - **then < TimeDelta::from_millis(1_000)).count();
            let rate = self.limits.others_rate;
            prop_assert!(
                within_second <= (rate.per_second + rate.burst) as usize,
                "{within_second} within a second"
            );
        }
        Ok(())
    }

    /// The limit that a rejection names is exhausted, and a class with a free reservation is not rejected.
    fn check_rejection(&self, expected: &Expectation, rejection: &Rejection) -> TestCaseResult {
        let is_exhausted = match rejection.reason {
            RejectionReason::Rate => expected.class.rate.is_some(),
            RejectionReason::AddressLimit => expected.is_address_full(),
            RejectionReason::ClassLimit => expected.is_class_full(),
            RejectionReason::Reserved => expected.is_rest_reserved(),
            RejectionReason::Handshakes => false,
        };
        prop_assert!(is_exhausted, "{rejection:?}");
        prop_assert!(rejection.retry_after > TimeDelta::ZERO);
        let is_reserved = expected.has_reservation() && !expected.is_class_full();
        prop_assert!(
            self.limits_changed || !is_reserved || rejection.reason != RejectionReason::Reserved,
            "a connection was reserved for its class"
        );
        Ok(())
    }
}

proptest! {
    #![proptest_config(seeded_cases(256, 20_26))]

    /// Over any sequence of connections, releases and new limits: none is admitted above a limit, none is rejected
    /// below it, and what is reserved for a class is available to it.
    #[test]
    fn connections_are_admitted_up_to_each_limit_and_rejected_only_above(
        limits in any_limits(),
        steps in prop::collection::vec(any_step(), 1..200),
    ) {
        let mut limiter = CheckedLimiter::new(limits);
        for (wait_ms, step) in steps {
            limiter.apply(wait_ms, step)?;
        }
    }
}
