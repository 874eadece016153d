//! The connection limiter against a model, over random sequences of steps.

#[allow(dead_code)] // Each test file uses a part of it.
mod support;

use admission::client_class::DEFAULT_CLASS;
use admission::{
    AdmittedConnection, ClientClass, ConnectionLimiter, ConnectionRate, Rejection, RejectionReason,
};
use proptest::prelude::*;
use proptest::test_runner::TestCaseResult;
use proptest_support::seeded_cases;
use routing::time::{TimeDelta, Timestamp};
use std::collections::BTreeMap;
use std::net::IpAddr;
use support::connections::{connection_limits, limiter, v4};

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
        let held: usize = self.limiter.connections_by_class().map(|class| class.connections).sum();
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
