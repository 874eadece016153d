//! Client addresses: a table of bounded size with the number of open connections and the rate-limit state of each
//! address.

use crate::client_class::ConnectionRate;
use routing::time::{TimeDelta, Timestamp};
use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::net::{IpAddr, Ipv6Addr};

/// Maximum number of addresses that are remembered although they have no connection, at about 150 bytes each. A
/// client that controls more addresses can cause one to be evicted before it conforms to its rate again. Such an
/// address may then open a full burst of connections.
pub const MAX_REMEMBERED: usize = 1 << 16;
/// Tables of this capacity (entries) or less are not shrunk: the memory is too small to matter.
const MIN_CAPACITY: usize = 1_024;
/// Bits that precede the IPv4 address in an IPv4-mapped IPv6 address.
const MAPPED_PREFIX_BITS: u8 = 96;

/// Prefix lengths of addresses. Addresses with the same prefix count as one client, because one client may control
/// all of them.
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

/// The address of a client, truncated to the configured prefix length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientAddress(u128);

impl ClientAddress {
    /// Truncates the peer address of a connection. An IPv4-mapped IPv6 address is treated as the IPv4 address.
    pub fn new(from: IpAddr, prefixes: AddressPrefixes) -> ClientAddress {
        let (bits, prefix) = match from.to_canonical() {
            IpAddr::V4(v4) => (v4.to_ipv6_mapped().to_bits(), MAPPED_PREFIX_BITS + prefixes.v4.min(32)),
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
    /// When the address conforms to its rate again: the theoretical arrival time of the generic cell rate algorithm
    /// (GCRA).
    conforms_at: Timestamp,
}

/// Number of open connections of one address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AddressConnections {
    /// The address, truncated to its prefix.
    pub address: ClientAddress,
    /// Number of open connections of the address.
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
    /// Number of open connections of an address.
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

    /// Number of addresses in the table, with and without connections.
    pub fn len(&self) -> usize {
        self.addresses.len()
    }

    /// Whether the table contains no address.
    pub fn is_empty(&self) -> bool {
        self.addresses.is_empty()
    }

    /// Time until the rate allows the next connection of an address; zero if it does now.
    pub fn wait_until_conforming(
        &self,
        now: Timestamp,
        address: ClientAddress,
        rate: ConnectionRate,
    ) -> TimeDelta {
        let conforms_at = self.addresses.get(&address).map_or(now, |state| state.conforms_at);
        (conforms_at - now - rate.tolerance()).max(TimeDelta::ZERO)
    }

    /// Records a new connection of an address.
    pub fn record_connection(
        &mut self,
        now: Timestamp,
        address: ClientAddress,
        rate: Option<ConnectionRate>,
    ) {
        let state = self.addresses.entry(address).or_default();
        if state.connections == 0 {
            self.idle.remove(&(state.conforms_at, address));
        }
        state.connections += 1;
        let interval = rate.map_or(TimeDelta::ZERO, ConnectionRate::interval);
        state.conforms_at = state.conforms_at.max(now) + interval;
    }

    /// Records the end of a connection. The address is remembered until it conforms to its rate again.
    pub fn record_disconnection(&mut self, now: Timestamp, address: ClientAddress) {
        let Some(state) = self.addresses.get_mut(&address) else { return };
        state.connections = state.connections.saturating_sub(1);
        if state.connections == 0 {
            self.idle.insert((state.conforms_at, address));
        }
        self.expire(now);
    }

    /// Evicts idle addresses that conform to their rate again and, if more than [`MAX_REMEMBERED`] remain, those that
    /// conform soonest. Shrinks the table when it is mostly empty.
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
