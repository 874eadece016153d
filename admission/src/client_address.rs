//! Client addresses: the connections each one holds and its state of the connection rate limit, in a table of
//! bounded size.

use crate::client_class::ConnectionRate;
use routing::time::{TimeDelta, Timestamp};
use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::net::{IpAddr, Ipv6Addr};

/// Maximum number of remembered addresses without a connection, about 150 bytes each. A client that connects from
/// this many addresses before one of them conforms to its rate again can have that address evicted, which then
/// starts with a full burst.
pub const MAX_REMEMBERED: usize = 1 << 16;
/// Tables of this capacity (entries) or less are not shrunk: the memory is too small to matter.
const MIN_CAPACITY: usize = 1_024;

/// Prefix lengths by which addresses identify a client: one client may control every address of such a network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AddressPrefixes {
    /// Prefix length of IPv4 addresses in bits, 8 to 32.
    pub v4: u8,
    /// Prefix length of IPv6 addresses in bits, 16 to 64.
    pub v6: u8,
}

impl Default for AddressPrefixes {
    fn default() -> AddressPrefixes {
        AddressPrefixes { v4: 32, v6: 64 }
    }
}

/// The address of a client, truncated to the configured prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientAddress(u128);

impl ClientAddress {
    /// Truncates the peer address of a connection. An IPv4-mapped IPv6 address counts as the IPv4 address.
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
    /// When the address conforms to its rate again: the theoretical arrival time of the generic cell rate
    /// algorithm.
    conforms_at: Timestamp,
}

/// Number of open connections of one address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AddressConnections {
    /// The address, truncated to its prefix.
    pub address: ClientAddress,
    /// Its open connections.
    pub connections: usize,
}

/// Connection counts and rate-limit states by client address.
#[derive(Debug, Default)]
pub struct AddressTable {
    addresses: HashMap<ClientAddress, AddressState>,
    /// Addresses without a connection, ordered by when they conform to their rate again.
    idle: BTreeSet<(Timestamp, ClientAddress)>,
}

impl AddressTable {
    /// Number of connections that an address holds.
    pub fn connections(&self, address: ClientAddress) -> usize {
        self.addresses.get(&address).map_or(0, |state| state.connections)
    }

    /// The `count` addresses with the most connections, in descending order.
    pub fn top(&self, count: usize) -> Vec<AddressConnections> {
        let connected = self.addresses.iter().filter(|(_, state)| state.connections > 0);
        let mut top: Vec<AddressConnections> = connected
            .map(|(address, state)| AddressConnections { address: *address, connections: state.connections })
            .collect();
        top.sort_by_key(|entry| (Reverse(entry.connections), entry.address));
        top.truncate(count);
        top
    }

    /// Number of remembered addresses.
    pub fn len(&self) -> usize {
        self.addresses.len()
    }

    /// Whether no address is remembered.
    pub fn is_empty(&self) -> bool {
        self.addresses.is_empty()
    }

    /// Time until an address may open its next connection at its rate; zero if it may now.
    pub fn wait(&self, now: Timestamp, address: ClientAddress, rate: ConnectionRate) -> TimeDelta {
        let conforms_at = self.addresses.get(&address).map_or(now, |state| state.conforms_at);
        (conforms_at - now - rate.tolerance()).max(TimeDelta::ZERO)
    }

    /// Records a new connection of an address.
    pub fn connected(&mut self, now: Timestamp, address: ClientAddress, rate: Option<ConnectionRate>) {
        let state = self.addresses.entry(address).or_default();
        if state.connections == 0 {
            self.idle.remove(&(state.conforms_at, address));
        }
        state.connections += 1;
        let interval = rate.map_or(TimeDelta::ZERO, ConnectionRate::interval);
        state.conforms_at = state.conforms_at.max(now) + interval;
    }

    /// Records the end of a connection. The address is remembered until it conforms to its rate again.
    pub fn disconnected(&mut self, now: Timestamp, address: ClientAddress) {
        let Some(state) = self.addresses.get_mut(&address) else { return };
        state.connections = state.connections.saturating_sub(1);
        if state.connections == 0 {
            self.idle.insert((state.conforms_at, address));
        }
        self.expire(now);
    }

    /// Evicts addresses that conform to their rate and, beyond [`MAX_REMEMBERED`], those that conform soonest.
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
