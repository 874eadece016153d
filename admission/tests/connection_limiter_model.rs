//! Property test: over random sequences of steps, the connection limiter agrees with a model.

#[allow(dead_code)] // Each test file uses only a part of the support code.
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
use support::connections::{connection_limits, limiter, loopback_address};

/// Maximum connections of the limiter.
const CAPACITY: usize = 16;

/// The limits that a random sequence starts with.
#[derive(Clone, Copy, Debug)]
struct InitialLimits {
    branch_reserved: usize,
    company_reserved: usize,
    company_max: usize,
    others_max_per_address: usize,
    others_rate: ConnectionRate,
}

fn any_limits() -> impl Strategy<Value = InitialLimits> {
    let limits = (1..9usize, 1..9usize, 1..20u32, 1..5u32);
    ((0..6usize, 0..6usize), limits).prop_map(|((branch_reserved, company_reserved), limits)| {
        let (company_max, others_max_per_address, per_second, burst) = limits;
        let others_rate = ConnectionRate { per_second, burst };
        InitialLimits { branch_reserved, company_reserved, company_max, others_max_per_address, others_rate }
    })
}

impl InitialLimits {
    /// The network of class `company` contains that of class `branch`, so that a client of `branch` must be matched to
    /// the narrower network. The limit of `company` is lowered by `company_lowered_by`, but never below its
    /// reservation.
    fn classes(&self, company_lowered_by: usize) -> [ClientClass; 3] {
        let class = |name: &str, network: &str, reserved| ClientClass {
            networks: vec![network.parse().expect("a valid network")],
            reserved,
            ..ClientClass::named(name)
        };
        let company_max = (5 + self.company_max - company_lowered_by.min(4)).max(self.company_reserved);
        [
            class("branch", "127.9.0.0/16", self.branch_reserved),
            ClientClass {
                max_connections: Some(company_max),
                ..class("company", "127.8.0.0/15", self.company_reserved)
            },
            ClientClass {
                max_per_address: Some(self.others_max_per_address),
                rate: Some(self.others_rate),
                ..ClientClass::named(DEFAULT_CLASS)
            },
        ]
    }
}

/// One step of a random sequence.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A client connects from the address 127.(7 + net).0.host.
    Connect { net: u8, host: u8 },
    /// One of the open connections is released. `index` selects which one.
    Release { index: u8 },
    /// The limit of class `company` is lowered by this much.
    LowerLimit { by: u8 },
}

/// The time in milliseconds that passes before a step, and the step.
fn any_step() -> impl Strategy<Value = (i64, Step)> {
    (0..10u8, 0..4u8, 0..4u8, 0..400i64).prop_map(|(kind, net, host, wait)| {
        let step = match kind {
            0..=5 => Step::Connect { net, host },
            6..=8 => Step::Release { index: host },
            _ => Step::LowerLimit { by: host },
        };
        (wait / 8, step)
    })
}

/// State of the model when a client connects, before the limiter decides.
struct StateBefore {
    class: ClientClass,
    /// Open connections of the class.
    class_connections: usize,
    /// Open connections of the address.
    address_connections: usize,
    /// Open connections of all classes.
    total: usize,
    /// Connections that are reserved for other classes and not used by them.
    reserved_for_others: usize,
}

impl StateBefore {
    fn is_class_full(&self) -> bool {
        self.class.max_connections.is_some_and(|max| self.class_connections >= max)
    }

    fn is_address_full(&self) -> bool {
        self.class.max_per_address.is_some_and(|max| self.address_connections >= max)
    }

    fn is_rest_reserved(&self) -> bool {
        self.total + self.reserved_for_others >= CAPACITY
    }

    fn has_reservation(&self) -> bool {
        self.class_connections < self.class.reserved
    }
}

/// A limiter, and the connections that it has admitted and that are not released.
struct CheckedLimiter {
    limiter: ConnectionLimiter,
    limits: InitialLimits,
    now: Timestamp,
    company_lowered_by: usize,
    /// Whether the limits were changed. After a change, a class may exceed its new limits, so that less than the whole
    /// reservation of another class may be available.
    limits_changed: bool,
    connections: Vec<(AdmittedConnection, IpAddr)>,
    /// Times of all admissions by address.
    admitted_at: BTreeMap<IpAddr, Vec<Timestamp>>,
}

impl CheckedLimiter {
    fn new(limits: InitialLimits) -> CheckedLimiter {
        CheckedLimiter {
            limiter: limiter(limits.classes(0).into(), CAPACITY),
            limits,
            now: Timestamp(0),
            company_lowered_by: 0,
            limits_changed: false,
            connections: Vec::new(),
            admitted_at: BTreeMap::new(),
        }
    }

    fn apply(&mut self, wait_ms: i64, step: Step) -> TestCaseResult {
        self.now = self.now + TimeDelta::from_millis(wait_ms);
        match step {
            Step::Connect { net, host } => self.connect(net, host)?,
            Step::Release { index } => self.release(usize::from(index)),
            Step::LowerLimit { by } => self.lower_limit(usize::from(by)),
        }
        let open: usize = self.limiter.connections_by_class().map(|class| class.connections).sum();
        prop_assert_eq!(open, self.connections.len());
        Ok(())
    }

    fn lower_limit(&mut self, by: usize) {
        self.company_lowered_by = by;
        self.limits_changed = true;
        let limits = connection_limits(self.limits.classes(by).into(), CAPACITY);
        self.limiter.set_limits(limits).expect("valid classes");
    }

    fn release(&mut self, index: usize) {
        if !self.connections.is_empty() {
            let (connection, _) = self.connections.swap_remove(index % self.connections.len());
            self.limiter.release(self.now, connection);
        }
    }

    fn connect(&mut self, net: u8, host: u8) -> TestCaseResult {
        let address = loopback_address(7 + net, 0, host);
        let before = self.state_before(net, address);
        match self.limiter.admit(self.now, address, None) {
            Ok(connection) => {
                self.check_admission(&before, &connection)?;
                self.check_rate(&before.class, address)?;
                self.connections.push((connection, address));
                Ok(())
            }
            Err(rejection) => self.check_rejection(&before, &rejection),
        }
    }

    fn state_before(&self, net: u8, address: IpAddr) -> StateBefore {
        let classes = self.limits.classes(self.company_lowered_by);
        let class = match net {
            2 => &classes[0],
            1 => &classes[1],
            _ => &classes[2],
        };
        let connections_of = |class: &ClientClass| {
            self.connections.iter().filter(|(connection, _)| connection.class == class.name).count()
        };
        StateBefore {
            class_connections: connections_of(class),
            address_connections: self.connections.iter().filter(|(_, other)| *other == address).count(),
            total: self.connections.len(),
            reserved_for_others: classes
                .iter()
                .filter(|other| other.name != class.name)
                .map(|other| other.reserved.saturating_sub(connections_of(other)))
                .sum(),
            class: class.clone(),
        }
    }

    /// Checks that an admitted connection is within all limits and does not use the reservation of another class.
    fn check_admission(&self, before: &StateBefore, connection: &AdmittedConnection) -> TestCaseResult {
        prop_assert_eq!(&connection.class, &before.class.name);
        prop_assert!(!before.is_class_full());
        prop_assert!(!before.is_address_full());
        prop_assert!(before.total < CAPACITY);
        prop_assert!(self.limits_changed || before.has_reservation() || !before.is_rest_reserved());
        Ok(())
    }

    /// Checks that within one second no more connections of an address are admitted than its rate and burst together.
    fn check_rate(&mut self, class: &ClientClass, address: IpAddr) -> TestCaseResult {
        let admitted_at = self.admitted_at.entry(address).or_default();
        admitted_at.push(self.now);
        if class.rate.is_some() {
            let within_second =
                admitted_at.iter().filter(|then| self.now - **then < TimeDelta::from_millis(1_000)).count();
            let rate = self.limits.others_rate;
            prop_assert!(
                within_second <= (rate.per_second + rate.burst) as usize,
                "{within_second} connections admitted within a second"
            );
        }
        Ok(())
    }

    /// Checks that the limit that the reason of a rejection names is reached, and that the class has not been denied a
    /// connection reserved for it.
    fn check_rejection(&self, before: &StateBefore, rejection: &Rejection) -> TestCaseResult {
        let is_limit_reached = match rejection.reason {
            RejectionReason::RateLimit => before.class.rate.is_some(),
            RejectionReason::AddressLimit => before.is_address_full(),
            RejectionReason::ClassLimit => before.is_class_full(),
            RejectionReason::Reserved => before.is_rest_reserved(),
            RejectionReason::HandshakeQueueFull => false,
        };
        prop_assert!(is_limit_reached, "{rejection:?}");
        prop_assert!(rejection.retry_after > TimeDelta::ZERO);
        let is_reserved = before.has_reservation() && !before.is_class_full();
        prop_assert!(
            self.limits_changed || !is_reserved || rejection.reason != RejectionReason::Reserved,
            "rejected although a connection is reserved for the class"
        );
        Ok(())
    }
}

proptest! {
    #![proptest_config(seeded_cases(256, 20_26))]

    /// Over any sequence of connections, releases and changes of limits, no connection is admitted above a limit or
    /// rejected below it, and reserved connections are available to their class.
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
