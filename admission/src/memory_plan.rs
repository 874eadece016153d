//! The division of the process's memory, made at the start from its limits. Each connection has a stated worst case for its
//! stack, its small buffers and its other state; what is left is the pool from which larger buffers and requests reserve
//! their memory before they take it.

/// The share of the memory limit that is divided, in percent. The rest is for what the allocator cannot reuse.
const DIVIDED_PERCENT: usize = 85;
/// The memory of the process without connections and requests, in bytes: program, libraries, threads, stacks for reuse.
pub const PROCESS_BYTES: usize = 6 << 20;
/// [`PROCESS_BYTES`] is at most the divided memory divided by this.
const PROCESS_DIVISOR: usize = 4;
/// The small buffers of a connection, in bytes: they need no reservation.
pub const CONNECTION_BUFFER_BYTES: usize = 4 << 10;
/// The ids of executed writes may take the memory limit divided by this.
pub const EXECUTED_IDS_DIVISOR: usize = 10;
/// The memory of one listed endpoint in all components, in bytes, with its share of a list that is being parsed.
pub const LISTED_ENDPOINT_BYTES: usize = 1_600;
/// The part of a coroutine's stack that is in use, and the state of its connection, in bytes.
const COROUTINE_BYTES: usize = if cfg!(debug_assertions) { 15 << 10 } else { 13 << 10 };
/// The memory of one connection, in bytes.
pub const CONNECTION_BYTES: usize = COROUTINE_BYTES + CONNECTION_BUFFER_BYTES;
/// Connections get at most this share of the memory for connections and the pool, in percent.
const MAX_CONNECTION_PERCENT: usize = 66;
/// The memory of a request without its statement and its answer, in bytes: the state in all components, its timers.
const REQUEST_STATE_BYTES: usize = 2 << 10;
/// The size up to which an answer needs no reservation of its own, in bytes.
pub const REQUEST_ANSWER_BYTES: usize = 8 << 10;
/// The memory of a request without its statement, in bytes.
pub const REQUEST_BYTES: usize = REQUEST_STATE_BYTES + REQUEST_ANSWER_BYTES;

/// How many connections the limit on descriptors allows, or the limit on memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Connections of clients, those that are rejected included.
    pub clients: usize,
    /// Connections to endpoints.
    pub endpoints: usize,
}

impl ConnectionCounts {
    fn total(self) -> usize {
        self.clients + self.endpoints
    }

    /// The counts reduced in proportion so that their total is at most `max_total`, but at least one each.
    fn reduced_to(self, max_total: usize) -> ConnectionCounts {
        let total = self.total();
        if total <= max_total {
            return self;
        }
        let reduce = |count: usize| (count * max_total / total).max(1);
        ConnectionCounts { clients: reduce(self.clients), endpoints: reduce(self.endpoints) }
    }
}

/// The division of the memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// How many connections there may be.
    pub connections: ConnectionCounts,
    /// The memory from which larger buffers and requests are reserved, in bytes.
    pub pool_bytes: usize,
}

impl MemoryPlan {
    /// Divides `memory` bytes. `by_descriptors` are the connections that the limit on descriptors allows, and
    /// `data_bytes` is the memory of the endpoint list and of the data that is stored on disk.
    pub fn new(memory: usize, by_descriptors: ConnectionCounts, data_bytes: usize) -> MemoryPlan {
        let divided = memory / 100 * DIVIDED_PERCENT;
        let process = PROCESS_BYTES.min(divided / PROCESS_DIVISOR);
        let shared = divided - process - data_bytes.min(divided - process);
        let max_connections = shared / 100 * MAX_CONNECTION_PERCENT / CONNECTION_BYTES;
        let connections = by_descriptors.reduced_to(max_connections);
        let pool_bytes = shared.saturating_sub(connections.total() * CONNECTION_BYTES);
        MemoryPlan { connections, pool_bytes }
    }
}
