//! Classes of clients, as operators set them.

use crate::client_address::AddressPrefixes;
use ipnet::IpNet;
use routing::time::TimeDelta;
use std::cmp::Reverse;
use std::net::IpAddr;
use std::sync::Arc;
use thiserror::Error;

/// The class of every client that no other class describes.
pub const DEFAULT_CLASS: &str = "others";

const NANOS_PER_SECOND: i64 = 1_000_000_000;

/// New connections per second from one address, and how many may come at once after a pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionRate {
    /// 1 to 100,000.
    pub per_second: u32,
    /// 1 to 100,000.
    pub burst: u32,
}

impl ConnectionRate {
    /// Between two connections that come steadily.
    pub fn interval(self) -> TimeDelta {
        TimeDelta(NANOS_PER_SECOND / i64::from(self.per_second.max(1)))
    }

    /// How far ahead of the steady rate an address may be.
    pub fn tolerance(self) -> TimeDelta {
        self.interval() * i64::from(self.burst.max(1) - 1)
    }
}

/// One class of clients. A limit that is not set does not exist.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientClass {
    /// Its name.
    pub name: Arc<str>,
    /// The networks of its clients; empty for [`DEFAULT_CLASS`]. Empty with users: all networks.
    pub networks: Vec<IpNet>,
    /// Only clients that name one of these, if there are any. Nobody proves a name: a class by its users alone is open to
    /// whoever knows one.
    pub users: Vec<Arc<str>>,
    /// Connections reserved for it, whatever other classes do.
    pub reserved: usize,
    /// Connections of the whole class at most.
    pub max_connections: Option<usize>,
    /// Connections of one address at most.
    pub max_per_address: Option<usize>,
    /// New connections of one address.
    pub rate: Option<ConnectionRate>,
    /// Its share of the requests in flight if there are too many: 1 to 1,000.
    pub weight: u32,
    /// Requests of the whole class at most, in flight or waiting.
    pub max_requests: Option<usize>,
}

/// By which classes connections are admitted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClassSettings {
    /// The classes of clients.
    pub classes: Vec<ClientClass>,
    /// How much of an address identifies a client.
    pub prefixes: AddressPrefixes,
}

/// How closely a class describes a client: by a user first, then by the length of the network's prefix.
type Specificity = (bool, u8);

impl ClientClass {
    /// A class without limits.
    pub fn named(name: &str) -> ClientClass {
        ClientClass {
            name: name.into(),
            networks: Vec::new(),
            users: Vec::new(),
            reserved: 0,
            max_connections: None,
            max_per_address: None,
            rate: None,
            weight: 1,
            max_requests: None,
        }
    }

    /// Its clients may come from any network, and are told apart by their users.
    fn is_by_users_alone(&self) -> bool {
        self.networks.is_empty() && !self.users.is_empty()
    }

    fn specificity(&self, from: IpAddr, user: Option<&str>) -> Option<Specificity> {
        let has_users = !self.users.is_empty();
        if has_users && !self.users.iter().any(|known| Some(&**known) == user) {
            return None;
        }
        let containing = self.networks.iter().filter(|network| network.contains(&from));
        let prefix_length = containing.map(IpNet::prefix_len).max();
        let anywhere = self.is_by_users_alone().then_some(0);
        prefix_length.or(anywhere).map(|bits| (has_users, bits))
    }

    /// Whether some client could be described by both classes equally closely. A client that one class names by its user and
    /// the other does not is described more closely by the first.
    fn competes_with(&self, other: &ClientClass) -> bool {
        let shares_user = other.users.iter().any(|user| self.users.contains(user));
        shares_user || (other.users.is_empty() && self.users.is_empty())
    }
}

/// Why classes cannot be used together.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ClassError {
    /// Two classes have one name.
    #[error("{0} is there twice")]
    DuplicateName(Arc<str>),
    /// More connections are reserved for a class than it may have.
    #[error("{0} keeps more than its most")]
    ReservesMoreThanLimit(Arc<str>),
    /// All classes together reserve more connections than there are.
    #[error("{reserved} connections are kept in all, and there is room for {capacity}")]
    ReservesMoreThanCapacity {
        /// Connections reserved.
        reserved: usize,
        /// Connections in all.
        capacity: usize,
    },
    /// A network stands in two classes, for the same clients.
    #[error("{0} stands in two classes")]
    DuplicateNetwork(IpNet),
    /// A user stands in two classes, neither of which names a network.
    #[error("user {0} stands in two classes")]
    DuplicateUser(Arc<str>),
    /// The default class has networks or users of its own.
    #[error("{DEFAULT_CLASS} are those in no other class")]
    DefaultClassDescribed,
    /// Another class has neither.
    #[error("{0} has no ranges and no users, so nobody is of it")]
    DescribesNobody(Arc<str>),
}

/// All that is wrong with classes among themselves, for a server with so many connections.
pub fn validate(classes: &[ClientClass], capacity: usize) -> Vec<ClassError> {
    let mut errors = Vec::new();
    for (index, class) in classes.iter().enumerate() {
        validate_class(class, &classes[..index], &mut errors);
    }
    let reserved = classes.iter().map(|class| class.reserved).fold(0, usize::saturating_add);
    if reserved > capacity {
        errors.push(ClassError::ReservesMoreThanCapacity { reserved, capacity });
    }
    errors
}

fn validate_class(class: &ClientClass, before: &[ClientClass], errors: &mut Vec<ClassError>) {
    if before.iter().any(|other| other.name == class.name) {
        errors.push(ClassError::DuplicateName(class.name.clone()));
    }
    if class.max_connections.is_some_and(|most| class.reserved > most) {
        errors.push(ClassError::ReservesMoreThanLimit(class.name.clone()));
    }
    let describes_nobody = class.networks.is_empty() && class.users.is_empty();
    match (describes_nobody, &*class.name == DEFAULT_CLASS) {
        (false, true) => errors.push(ClassError::DefaultClassDescribed),
        (true, false) => errors.push(ClassError::DescribesNobody(class.name.clone())),
        _ => {}
    }
    let is_taken = |network: &&IpNet| {
        let mut competitors = before.iter().filter(|other| class.competes_with(other));
        competitors.any(|other| other.networks.contains(network))
    };
    if let Some(network) = class.networks.iter().find(is_taken) {
        errors.push(ClassError::DuplicateNetwork(*network));
    }
    let is_named = |user: &&Arc<str>| {
        let mut by_users = before.iter().filter(|other| other.is_by_users_alone());
        class.is_by_users_alone() && by_users.any(|other| other.users.contains(user))
    };
    if let Some(user) = class.users.iter().find(is_named) {
        errors.push(ClassError::DuplicateUser(user.clone()));
    }
}

/// The index of a client's class: the one that describes it most closely, otherwise the default class, which must exist.
pub fn classify(classes: &[ClientClass], from: IpAddr, user: Option<&str>) -> usize {
    let described = classes.iter().enumerate().filter_map(|(index, class)| {
        let specificity = class.specificity(from, user)?;
        Some((specificity, Reverse(index)))
    });
    let closest = described.max().map(|(_, Reverse(index))| index);
    let default = || classes.iter().position(|class| &*class.name == DEFAULT_CLASS);
    closest.or_else(default).unwrap_or(0)
}
