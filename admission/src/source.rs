//! What is remembered of the sources of connections: how many each holds, and how far it is ahead of its
//! pace. Bounded, however many there are.

use crate::class::Rate;
use routing::time::{Moment, Span};
use std::collections::{BTreeSet, HashMap};
use std::net::{IpAddr, Ipv6Addr};

/// Sources without a connection that are remembered at most, some 150 bytes each. Who comes from so many
/// others within the time in which a source catches up with its pace can have that one's forgotten, and it
/// begins with a whole burst.
pub const MOST_REMEMBERED: usize = 1 << 16;

/// How much of an address makes one source: whoever holds one address of such a range may hold all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefixes {
    /// 8 to 32.
    pub v4: u8,
    /// 16 to 64.
    pub v6: u8,
}

impl Default for Prefixes {
    fn default() -> Prefixes {
        Prefixes { v4: 32, v6: 64 }
    }
}

/// One source, by the beginning of its addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Source(u128);

impl Source {
    /// An IPv4 address that came as an IPv6 one is the IPv4 address.
    pub fn of(from: IpAddr, prefixes: Prefixes) -> Source {
        let (bits, kept) = match from.to_canonical() {
            IpAddr::V4(v4) => (v4.to_ipv6_mapped().to_bits(), 96 + prefixes.v4.min(32)),
            IpAddr::V6(v6) => (v6.to_bits(), prefixes.v6.min(128)),
        };
        Source(bits & (u128::MAX.checked_shl(128 - u32::from(kept)).unwrap_or(0)))
    }
}

impl From<Source> for IpAddr {
    fn from(source: Source) -> IpAddr {
        IpAddr::V6(Ipv6Addr::from_bits(source.0)).to_canonical()
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Row {
    held: usize,
    /// When it has come back to its pace: the theoretical arrival time of the generic cell rate algorithm.
    paced: Moment,
}

#[derive(Debug, Default)]
pub struct Sources {
    rows: HashMap<Source, Row>,
    /// Those that hold nothing, who is soonest back to its pace in front.
    idle: BTreeSet<(Moment, Source)>,
}

impl Sources {
    pub fn held(&self, source: Source) -> usize {
        self.rows.get(&source).map_or(0, |row| row.held)
    }

    /// Who holds most, at the most so many.
    pub fn top(&self, most: usize) -> Vec<(Source, usize)> {
        let holding = self.rows.iter().filter(|(_, row)| row.held > 0);
        let mut all: Vec<(Source, usize)> = holding.map(|(source, row)| (*source, row.held)).collect();
        all.sort_by_key(|(source, held)| (std::cmp::Reverse(*held), *source));
        all.truncate(most);
        all
    }

    /// Sources of which anything is remembered.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// How long a source must wait for its next connection by its rate; zero: it need not.
    pub fn wait(&self, now: Moment, source: Source, rate: Rate) -> Span {
        let paced = self.rows.get(&source).map_or(now, |row| row.paced);
        (paced - now - rate.slack()).max(Span::ZERO)
    }

    /// A source gets a connection.
    pub fn enter(&mut self, now: Moment, source: Source, rate: Option<Rate>) {
        let row = self.rows.entry(source).or_default();
        if row.held == 0 {
            self.idle.remove(&(row.paced, source));
        }
        row.held += 1;
        row.paced = row.paced.max(now) + rate.map_or(Span::ZERO, Rate::gap);
    }

    /// One of its connections has ended. It is remembered until it is back to its pace.
    pub fn leave(&mut self, now: Moment, source: Source) {
        let Some(row) = self.rows.get_mut(&source) else { return };
        row.held = row.held.saturating_sub(1);
        if row.held == 0 {
            self.idle.insert((row.paced, source));
        }
        self.forget(now);
    }

    /// Gives back what is of no more use, and the least useful of what is too much.
    pub fn forget(&mut self, now: Moment) {
        while let Some(&(paced, source)) = self.idle.first() {
            if paced > now && self.idle.len() <= MOST_REMEMBERED {
                break;
            }
            self.idle.pop_first();
            self.rows.remove(&source);
        }
        if self.rows.capacity() > 1_024 && self.rows.len() < self.rows.capacity() / 4 {
            self.rows.shrink_to(self.rows.len() * 2);
        }
    }
}
