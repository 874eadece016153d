//! Classes of clients, as operators set them.

use gingerwick::time::Span;
use ipnet::IpNet;
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
    /// Whose addresses belong to it; nobody's for [`OTHERS`].
    pub from: Vec<IpNet>,
    /// Connections kept for it, whatever the others do.
    pub keep: usize,
    /// Connections of the whole class at most.
    pub most: Option<usize>,
    /// Connections of one source at most.
    pub each: Option<usize>,
    /// Of one source.
    pub rate: Option<Rate>,
}

impl Class {
    pub fn named(name: &str) -> Class {
        Class { name: name.into(), from: Vec::new(), keep: 0, most: None, each: None, rate: None }
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
    /// A range stands in two classes.
    SameRange(IpNet),
    /// The class of all else has no ranges of its own, every other class has some.
    Ranges(Arc<str>),
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
            Fault::Ranges(name) if &**name == OTHERS => write!(f, "{OTHERS} are those in no range"),
            Fault::Ranges(name) => write!(f, "{name} has no ranges, so nobody is of it"),
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
        if class.from.is_empty() != (&*class.name == OTHERS) {
            faults.push(Fault::Ranges(class.name.clone()));
        }
        let again = |range: &&IpNet| before.iter().any(|other| other.from.contains(range));
        faults.extend(class.from.iter().find(again).map(|range| Fault::SameRange(*range)));
    }
    let kept = classes.iter().map(|class| class.keep).fold(0, usize::saturating_add);
    if kept > room {
        faults.push(Fault::KeepTooMuch { kept, room });
    }
    faults
}

/// The class of an address: that with the narrowest range round it, else the others. The classes must have
/// those.
pub fn of(classes: &[Class], from: IpAddr) -> usize {
    let ranges =
        classes.iter().enumerate().flat_map(|(ix, class)| class.from.iter().map(move |range| (ix, range)));
    let round = ranges.filter(|(_, range)| range.contains(&from));
    let narrowest = round.max_by_key(|(_, range)| range.prefix_len()).map(|(ix, _)| ix);
    narrowest.or_else(|| classes.iter().position(|class| &*class.name == OTHERS)).unwrap_or(0)
}
