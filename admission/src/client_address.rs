//! What is remembered of the addresses of clients: how many connections each holds, and how far it is ahead of its rate.
//! Bounded, however many there are.

use crate::client_class::ConnectionRate;
use routing::time::{TimeDelta, Timestamp};
use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::net::{IpAddr, Ipv6Addr};

/// Addresses without a connection that are remembered at most, some 150 bytes each. A client that comes from so many other
/// addresses within the time in which one falls back to its rate can have that one forgotten, which then starts with a whole
/// burst.
pub const MAX_REMEMBERED: usize = 1 << 16;
/// A table with this capacity or less is never shrunk.
const MIN_CAPACITY: usize = 1_024;

/// How many bits of an address identify a client: whoever holds one address of such a network may hold all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AddressPrefixes {
    /// 8 to 32.
    pub v4: u8,
    /// 16 to 64.
    pub v6: u8,
}

impl Default for AddressPrefixes {
    fn default() -> AddressPrefixes {
        AddressPrefixes { v4: 32, v6: 64 }
    }
}

/// The address of a client, cut off to a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientAddress(u128);

impl ClientAddress {
    /// Of a connection's address. An IPv4 address that came as an IPv6 one is the IPv4 address.
    pub fn new(from: IpAddr, prefixes: AddressPrefixes) -> ClientAddress {
        let (bits, prefix) = match from.to_canonical() {
            IpAddr::V4(v4) => (v4.to_ipv6_mapped().to_bits(), 96 + prefixes.v4.min(32)),
            IpAddr::V6(v6) => (v6.to_bits(), prefixes.v6.min(128)),
        };
        let mask = u128::MAX.checked_shl(128 - u32::from(prefix)).unwrap_or(0);
        ClientAddress(bits & mask)
    }
}

impl From<ClientAddress> for IpAddr {
    fn from(address: ClientAddress) -> IpAddr {
        IpAddr::V6(Ipv6Addr::from_bits(address.0)).to_canonical()
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct AddressState {
    connections: usize,
    /// When it has fallen back to its rate: the theoretical arrival time of the generic cell rate algorithm.
    conforms_at: Timestamp,
}

/// The addresses of clients.
#[derive(Debug, Default)]
pub struct AddressTable {
    addresses: HashMap<ClientAddress, AddressState>,
    /// Those without a connection, by when they conform to their rate.
    idle: BTreeSet<(Timestamp, ClientAddress)>,
}

impl AddressTable {
    /// Connections that an address holds.
    pub fn connections(&self, address: ClientAddress) -> usize {
        self.addresses.get(&address).map_or(0, |state| state.connections)
    }

    /// The addresses with most connections, `count` at most.
    pub fn top(&self, count: usize) -> Vec<(ClientAddress, usize)> {
        let connected = self.addresses.iter().filter(|(_, state)| state.connections > 0);
        let mut top: Vec<(ClientAddress, usize)> =
            connected.map(|(address, state)| (*address, state.connections)).collect();
        top.sort_by_key(|(address, connections)| (Reverse(*connections), *address));
        top.truncate(count);
        top
    }

    /// Addresses of which anything is remembered.
    pub fn len(&self) -> usize {
        self.addresses.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.addresses.is_empty()
    }

    /// How long an address must wait for its next connection by its rate; zero if it need not.
    pub fn wait(&self, now: Timestamp, address: ClientAddress, rate: ConnectionRate) -> TimeDelta {
        let conforms_at = self.addresses.get(&address).map_or(now, |state| state.conforms_at);
        (conforms_at - now - rate.tolerance()).max(TimeDelta::ZERO)
    }

    /// An address gets a connection.
    pub fn connected(&mut self, now: Timestamp, address: ClientAddress, rate: Option<ConnectionRate>) {
        let state = self.addresses.entry(address).or_default();
        if state.connections == 0 {
            self.idle.remove(&(state.conforms_at, address));
        }
        state.connections += 1;
        let interval = rate.map_or(TimeDelta::ZERO, ConnectionRate::interval);
        state.conforms_at = state.conforms_at.max(now) + interval;
    }

    /// A connection of an address has ended. The address is remembered until it conforms to its rate.
    pub fn disconnected(&mut self, now: Timestamp, address: ClientAddress) {
        let Some(state) = self.addresses.get_mut(&address) else { return };
        state.connections = state.connections.saturating_sub(1);
        if state.connections == 0 {
            self.idle.insert((state.conforms_at, address));
        }
        self.expire(now);
    }

    /// Forgets addresses that conform to their rate, and beyond the limit those that will soonest.
    pub fn expire(&mut self, now: Timestamp) {
        while let Some(&(conforms_at, address)) = self.idle.first() {
            if conforms_at > now && self.idle.len() <= MAX_REMEMBERED {
                break;
            }
            self.idle.pop_first();
            self.addresses.remove(&address);
        }
        let capacity = self.addresses.capacity();
        if capacity > MIN_CAPACITY && self.addresses.len() < capacity / 4 {
            self.addresses.shrink_to(self.addresses.len() * 2);
        }
    }
}
