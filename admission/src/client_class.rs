//! Client classes as configured by operators: their limits, validation, and the classification of a client.

use ipnet::IpNet;
use routing::time::TimeDelta;
use std::cmp::Reverse;
use std::net::IpAddr;
use std::sync::Arc;
use thiserror::Error;

/// Name of the class of every client that matches no other class.
pub const DEFAULT_CLASS: &str = "others";

const NANOS_PER_SECOND: i64 = 1_000_000_000;

/// Token-bucket limit on new connections from one address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionRate {
    /// Sustained rate in connections per second, 1 to 100,000.
    pub per_second: u32,
    /// Connections that may arrive at once after an idle period, 1 to 100,000.
    pub burst: u32,
}

impl ConnectionRate {
    /// Time between two connections at the sustained rate.
    pub fn interval(self) -> TimeDelta {
        TimeDelta(NANOS_PER_SECOND / i64::from(self.per_second.max(1)))
    }

    /// How far ahead of the sustained rate an address may run: the burst tolerance of the generic cell rate
    /// algorithm (ITU-T I.371).
    pub fn tolerance(self) -> TimeDelta {
        self.interval() * i64::from(self.burst.max(1) - 1)
    }
}

/// A class of clients and its limits. A limit of `None` is unlimited.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientClass {
    /// Unique name of the class.
    pub name: Arc<str>,
    /// Networks of its clients. Empty for [`DEFAULT_CLASS`]; empty together with `users` means any network.
    pub networks: Vec<IpNet>,
    /// If not empty, only clients that present one of these user names belong to the class. User names are not
    /// authenticated: a class without networks is open to anyone who knows a name.
    pub users: Vec<Arc<str>>,
    /// Connections reserved for the class, regardless of the load of other classes.
    pub reserved: usize,
    /// Maximum connections of the whole class.
    pub max_connections: Option<usize>,
    /// Maximum connections from one address.
    pub max_per_address: Option<usize>,
    /// Rate limit on new connections from one address.
    pub rate: Option<ConnectionRate>,
    /// Weight of the class when requests queue for the concurrency limit, 1 to 1,000.
    pub weight: u32,
    /// Maximum requests of the whole class, in flight and waiting.
    pub max_requests: Option<usize>,
}

/// How closely a class matches a client. The order of the fields is the order of comparison.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Specificity {
    /// The class matches by user name.
    by_user: bool,
    /// Prefix length in bits of the longest matching network.
    prefix_length: u8,
}

impl ClientClass {
    /// Creates a class with this name and without limits.
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

    /// Whether clients match by their user name alone, from any network.
    fn is_by_users_alone(&self) -> bool {
        self.networks.is_empty() && !self.users.is_empty()
    }

    /// How closely the class matches a client, or `None` if it does not match.
    fn specificity(&self, from: IpAddr, user: Option<&str>) -> Option<Specificity> {
        let by_user = !self.users.is_empty();
        if by_user && !self.users.iter().any(|known| Some(&**known) == user) {
            return None;
        }
        let containing = self.networks.iter().filter(|network| network.contains(&from));
        let longest_prefix = containing.map(IpNet::prefix_len).max();
        let any_network = self.is_by_users_alone().then_some(0);
        let prefix_length = longest_prefix.or(any_network)?;
        Some(Specificity { by_user, prefix_length })
    }

    /// Whether one client could match both classes with the same specificity. A match by user name is always more
    /// specific than one without, so classes compete only if both match by user name or neither does.
    fn competes_with(&self, other: &ClientClass) -> bool {
        let shares_user = other.users.iter().any(|user| self.users.contains(user));
        shares_user || (other.users.is_empty() && self.users.is_empty())
    }
}

/// Why a set of client classes is invalid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ClassError {
    /// Two classes have the same name.
    #[error("{0} is there twice")]
    DuplicateName(Arc<str>),
    /// A class reserves more connections than its own maximum.
    #[error("{0} keeps more than its most")]
    ReservesMoreThanLimit(Arc<str>),
    /// The classes together reserve more connections than the server's capacity.
    #[error("{reserved} connections are kept in all, and there is room for {capacity}")]
    ReservesMoreThanCapacity {
        /// Connections reserved by all classes.
        reserved: usize,
        /// Connections of the server.
        capacity: usize,
    },
    /// Two classes list the same network for the same clients.
    #[error("{0} stands in two classes")]
    DuplicateNetwork(IpNet),
    /// Two classes without networks list the same user.
    #[error("user {0} stands in two classes")]
    DuplicateUser(Arc<str>),
    /// The default class lists networks or users.
    #[error("{DEFAULT_CLASS} are those in no other class")]
    DefaultClassDescribed,
    /// A class other than the default one lists neither networks nor users.
    #[error("{0} has no ranges and no users, so nobody is of it")]
    DescribesNobody(Arc<str>),
}

/// Returns every error in a set of classes, for a server of `capacity` connections.
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
    if class.max_connections.is_some_and(|max_connections| class.reserved > max_connections) {
        errors.push(ClassError::ReservesMoreThanLimit(class.name.clone()));
    }
    let describes_nobody = class.networks.is_empty() && class.users.is_empty();
    match (describes_nobody, &*class.name == DEFAULT_CLASS) {
        (false, true) => errors.push(ClassError::DefaultClassDescribed),
        (true, false) => errors.push(ClassError::DescribesNobody(class.name.clone())),
        _ => {}
    }
    let is_duplicate_network = |network: &&IpNet| {
        let mut competitors = before.iter().filter(|other| class.competes_with(other));
        competitors.any(|other| other.networks.contains(network))
    };
    if let Some(network) = class.networks.iter().find(is_duplicate_network) {
        errors.push(ClassError::DuplicateNetwork(*network));
    }
    let is_duplicate_user = |user: &&Arc<str>| {
        let mut by_users = before.iter().filter(|other| other.is_by_users_alone());
        class.is_by_users_alone() && by_users.any(|other| other.users.contains(user))
    };
    if let Some(user) = class.users.iter().find(is_duplicate_user) {
        errors.push(ClassError::DuplicateUser(user.clone()));
    }
}

/// Returns the index of the class that matches a client most closely, or of the default class, which must exist.
/// Of several equally specific classes the first one wins.
pub fn classify(classes: &[ClientClass], from: IpAddr, user: Option<&str>) -> usize {
    let matching = classes.iter().enumerate().filter_map(|(index, class)| {
        let specificity = class.specificity(from, user)?;
        Some((specificity, Reverse(index)))
    });
    let closest = matching.max().map(|(_, Reverse(index))| index);
    let default = || classes.iter().position(|class| &*class.name == DEFAULT_CLASS);
    closest.or_else(default).unwrap_or(0)
}
