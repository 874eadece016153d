//! Classes of clients, as operators set them.

use ipnet::IpNet;
use routing::time::Span;
use std::fmt;
use std::net::IpAddr;
use std::sync::Arc;

/// The class of all that no other class has.
pub const OTHERS: &str = "others";

/// New connections a second from one source, and how many may come at once after a pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    /// 1 to 100,000.
    pub per_s: u32,
    /// 1 to 100,000.
    pub burst: u32,
}

impl Rate {
    /// Between two connections that come steadily.
    pub fn gap(self) -> Span {
        Span(1_000_000_000 / i64::from(self.per_s.max(1)))
    }

    /// How far ahead of the steady pace a source may be.
    pub fn slack(self) -> Span {
        self.gap() * i64::from(self.burst.max(1) - 1)
    }
}

/// One class of clients. Without a limit it has none of its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    pub name: Arc<str>,
    /// Whose addresses belong to it; nobody's for [`OTHERS`]. None, where it has users: all.
    pub from: Vec<IpNet>,
    /// Only those who come as one of these, where there are any. Nobody proves who he is: a class by its users
    /// alone is open to whoever knows a name.
    pub users: Vec<Arc<str>>,
    /// Connections kept for it, whatever the others do.
    pub keep: usize,
    /// Connections of the whole class at most.
    pub most: Option<usize>,
    /// Connections of one source at most.
    pub each: Option<usize>,
    /// Of one source.
    pub rate: Option<Rate>,
    /// Its part of the RPCs worked on where there are too many: 1 to 1,000.
    pub weight: u32,
    /// RPCs of the whole class at most, worked on or waiting.
    pub rpcs: Option<usize>,
}

impl Class {
    pub fn named(name: &str) -> Class {
        let (from, users) = Default::default();
        let (most, each, rate, rpcs) = Default::default();
        Class { name: name.into(), from, users, keep: 0, most, each, rate, weight: 1, rpcs }
    }

    /// How closely it describes a client, where it does: by a user first, then by how narrow the range is.
    fn fits(&self, from: IpAddr, user: Option<&str>) -> Option<(bool, u8)> {
        let named = !self.users.is_empty();
        if named && !self.users.iter().any(|known| Some(&**known) == user) {
            return None;
        }
        let round = self.from.iter().filter(|range| range.contains(&from)).map(IpNet::prefix_len).max();
        let anywhere = (named && self.from.is_empty()).then_some(0);
        round.or(anywhere).map(|bits| (named, bits))
    }
}

/// Why classes can't be taken as they are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    Twice(Arc<str>),
    /// It keeps more than it may ever have.
    KeepsMoreThanMost(Arc<str>),
    /// All together keep more connections than there are.
    KeepTooMuch {
        kept: usize,
        room: usize,
    },
    /// A range stands in two classes, for the same clients.
    SameRange(IpNet),
    /// A user stands in two classes, neither of which says from where.
    SameUser(Arc<str>),
    /// The class of all else has no ranges and no users of its own, every other class has some.
    Nobody(Arc<str>),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Twice(name) => write!(f, "{name} is there twice"),
            Fault::KeepsMoreThanMost(name) => write!(f, "{name} keeps more than its most"),
            Fault::KeepTooMuch { kept, room } => {
                write!(f, "{kept} connections are kept in all, and there is room for {room}")
            }
            Fault::SameRange(range) => write!(f, "{range} stands in two classes"),
            Fault::SameUser(user) => write!(f, "user {user} stands in two classes"),
            Fault::Nobody(name) if &**name == OTHERS => write!(f, "{OTHERS} are those in no other class"),
            Fault::Nobody(name) => write!(f, "{name} has no ranges and no users, so nobody is of it"),
        }
    }
}

/// All that is wrong with classes among themselves, on a front with room for so many connections.
pub fn check(classes: &[Class], room: usize) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (nth, class) in classes.iter().enumerate() {
        let before = &classes[..nth];
        if before.iter().any(|other| other.name == class.name) {
            faults.push(Fault::Twice(class.name.clone()));
        }
        if class.most.is_some_and(|most| class.keep > most) {
            faults.push(Fault::KeepsMoreThanMost(class.name.clone()));
        }
        let nobody = class.from.is_empty() && class.users.is_empty();
        if nobody != (&*class.name == OTHERS) {
            faults.push(Fault::Nobody(class.name.clone()));
        }
        // Whom one class names and another does not, it has to itself.
        let alike = |other: &&Class| {
            let shared = other.users.iter().any(|user| class.users.contains(user));
            shared || (other.users.is_empty() && class.users.is_empty())
        };
        let rivals = || before.iter().filter(alike);
        let again = |range: &&IpNet| rivals().any(|other| other.from.contains(range));
        faults.extend(class.from.iter().find(again).map(|range| Fault::SameRange(*range)));
        let anywhere = |other: &Class| other.from.is_empty() && !other.users.is_empty();
        let taken = |user: &&Arc<str>| {
            anywhere(class) && before.iter().any(|other| anywhere(other) && other.users.contains(user))
        };
        faults.extend(class.users.iter().find(taken).map(|user| Fault::SameUser(user.clone())));
    }
    let kept = classes.iter().map(|class| class.keep).fold(0, usize::saturating_add);
    if kept > room {
        faults.push(Fault::KeepTooMuch { kept, room });
    }
    faults
}

/// The class of a client: that which describes it most closely, else the others. The classes must have those.
pub fn of(classes: &[Class], from: IpAddr, user: Option<&str>) -> usize {
    let fits = classes.iter().enumerate().filter_map(|(ix, class)| Some((class.fits(from, user)?, ix)));
    let closest = fits.max_by_key(|(how, ix)| (*how, std::cmp::Reverse(*ix))).map(|(_, ix)| ix);
    closest.or_else(|| classes.iter().position(|class| &*class.name == OTHERS)).unwrap_or(0)
}
