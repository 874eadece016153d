//! Client classes as configured by operators: their limits, their validation, and the classification of clients.

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
    /// Number of connections that may arrive at once after a pause, 1 to 100,000.
    pub burst: u32,
}

impl ConnectionRate {
    /// Time between two connections at the sustained rate.
    pub fn interval(self) -> TimeDelta {
        TimeDelta(NANOS_PER_SECOND / i64::from(self.per_second.max(1)))
    }

    /// How much earlier than at the sustained rate a connection may arrive: the burst tolerance of the generic cell rate
    /// algorithm (GCRA, ITU-T I.371).
    pub fn tolerance(self) -> TimeDelta {
        self.interval() * i64::from(self.burst.max(1) - 1)
    }
}

/// A class of clients and its limits. `None` means no limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientClass {
    /// Unique name of the class.
    pub name: Arc<str>,
    /// Networks of the clients. Empty for [`DEFAULT_CLASS`]. For a class with users, empty means any network.
    pub networks: Vec<IpNet>,
    /// If not empty, only clients that present one of these user names belong to the class. User names are not
    /// authenticated: anyone who knows a user name can join a class without networks.
    pub users: Vec<Arc<str>>,
    /// Number of connections reserved for the class: other classes cannot use them.
    pub reserved: usize,
    /// Maximum connections of the whole class.
    pub max_connections: Option<usize>,
    /// Maximum connections from one address.
    pub max_per_address: Option<usize>,
    /// Rate limit on new connections from one address.
    pub rate: Option<ConnectionRate>,
    /// Weight of the class when requests wait for the concurrency limit, 1 to 1,000.
    pub weight: u32,
    /// Maximum requests of the whole class, in flight and waiting together.
    pub max_requests: Option<usize>,
}

/// How closely a class matches a client. The order of the fields is the order of comparison.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Specificity {
    /// Whether the class matches by user name.
    by_user: bool,
    /// Prefix length in bits of the narrowest matching network; 0 for a class without networks.
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

    /// Whether the class matches by user name alone, with clients of any network.
    fn matches_any_network(&self) -> bool {
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
        let any_network = self.matches_any_network().then_some(0);
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

/// Why a set of client classes is invalid. The messages are for operators and name the properties of the operators'
/// file: `from` (networks), `user`, `keep` (reserved connections) and `most` (maximum connections).
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ClassError {
    /// Two classes have the same name.
    #[error("class {0} is defined more than once")]
    DuplicateName(Arc<str>),
    /// A class reserves more connections than its own maximum.
    #[error(
        "class {class} reserves more connections (keep {reserved}) than its maximum (most {max_connections})"
    )]
    ReservesMoreThanLimit {
        /// Name of the class.
        class: Arc<str>,
        /// Connections reserved for the class.
        reserved: usize,
        /// Maximum connections of the class.
        max_connections: usize,
    },
    /// The classes together reserve more connections than the server's capacity.
    #[error("the classes reserve {reserved} connections (keep), more than the capacity of {capacity}")]
    ReservesMoreThanCapacity {
        /// Connections reserved by all classes.
        reserved: usize,
        /// Maximum connections of the server.
        capacity: usize,
    },
    /// Two classes list the same network, and the same user or no users.
    #[error("classes {} and {} both list network {network} (from) for the same clients", .classes[0], .classes[1])]
    DuplicateNetwork {
        /// The network that both classes list.
        network: IpNet,
        /// Names of the classes.
        classes: [Arc<str>; 2],
    },
    /// Two classes without networks list the same user.
    #[error("classes {} and {} both list user {user} and have no networks (from)", .classes[0], .classes[1])]
    DuplicateUser {
        /// The user that both classes list.
        user: Arc<str>,
        /// Names of the classes.
        classes: [Arc<str>; 2],
    },
    /// The default class lists networks or users.
    #[error("class {DEFAULT_CLASS} is for clients that match no other class; it cannot have from or user")]
    DefaultClassHasCriteria,
    /// A class other than the default class lists neither networks nor users.
    #[error("class {0} matches no client; it requires from, user or both")]
    MatchesNoClient(Arc<str>),
}

/// Returns every error in a set of classes, for a server with a capacity of `capacity` connections.
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

/// Appends the errors of a class, by itself and compared with the classes that precede it.
fn validate_class(class: &ClientClass, preceding: &[ClientClass], errors: &mut Vec<ClassError>) {
    if preceding.iter().any(|other| other.name == class.name) {
        errors.push(ClassError::DuplicateName(class.name.clone()));
    }
    if let Some(max_connections) = class.max_connections.filter(|max| class.reserved > *max) {
        let (class, reserved) = (class.name.clone(), class.reserved);
        errors.push(ClassError::ReservesMoreThanLimit { class, reserved, max_connections });
    }
    let matches_no_client = class.networks.is_empty() && class.users.is_empty();
    match (matches_no_client, &*class.name == DEFAULT_CLASS) {
        (false, true) => errors.push(ClassError::DefaultClassHasCriteria),
        (true, false) => errors.push(ClassError::MatchesNoClient(class.name.clone())),
        _ => {}
    }
    errors.extend(duplicate_network(class, preceding));
    errors.extend(duplicate_user(class, preceding));
}

/// The first network of a class that a preceding class lists for the same clients.
fn duplicate_network(class: &ClientClass, preceding: &[ClientClass]) -> Option<ClassError> {
    class.networks.iter().find_map(|network| {
        let mut competitors = preceding.iter().filter(|other| class.competes_with(other));
        let other = competitors.find(|other| other.networks.contains(network))?;
        let classes = [other.name.clone(), class.name.clone()];
        Some(ClassError::DuplicateNetwork { network: *network, classes })
    })
}

/// The first user of a class without networks that a preceding class without networks lists as well.
fn duplicate_user(class: &ClientClass, preceding: &[ClientClass]) -> Option<ClassError> {
    let mut users = class.users.iter().filter(|_| class.matches_any_network());
    users.find_map(|user| {
        let mut by_user_alone = preceding.iter().filter(|other| other.matches_any_network());
        let other = by_user_alone.find(|other| other.users.contains(user))?;
        let classes = [other.name.clone(), class.name.clone()];
        Some(ClassError::DuplicateUser { user: user.clone(), classes })
    })
}

/// Returns the index of the class that matches a client most closely, or that of the default class if none matches. The
/// first of several equally specific classes is used. The default class must exist.
pub fn classify(classes: &[ClientClass], from: IpAddr, user: Option<&str>) -> usize {
    let matching = classes.iter().enumerate().filter_map(|(index, class)| {
        let specificity = class.specificity(from, user)?;
        Some((specificity, Reverse(index)))
    });
    let closest = matching.max().map(|(_, Reverse(index))| index);
    let default = || classes.iter().position(|class| &*class.name == DEFAULT_CLASS);
    closest.or_else(default).unwrap_or(0)
}
