//! The second guard of the memory limit: watches the process's resident memory, returns free memory to the operating
//! system, and sheds the clients that hold most. [`MemoryPressure`] decides when.

use crate::clients::graceful_shutdown::GracefulShutdown;
use crate::log;
use crate::runtime::allocator::release_free_memory;
use crate::runtime::clock::Timers;
use crate::runtime::resident_memory::ResidentMemory;
use crate::runtime::resource_limits::ResourceLimits;
use admission::memory_pressure::{MemoryPressure, PressureResponse};
use routing::time::TimeDelta;
use std::sync::Arc;

/// The interval at which the resident memory is read.
const INTERVAL: TimeDelta = TimeDelta::from_millis(50);
/// Clients that hold less than this, in bytes, are not shed: a request or two is in progress.
const MIN_SHED_BYTES: usize = 32 << 10;
/// The counter of clients that were shed.
const SHED_COUNTER: &str = "gingerwick_clients_shed_total";
/// The counter of times that free memory was returned.
const RELEASED_COUNTER: &str = "gingerwick_memory_releases_total";

/// The parts of the server that the guard watches and acts on.
pub struct MemoryGuard {
    /// The clock and timers of the process.
    pub timers: Arc<Timers>,
    /// The memory that is reserved, and whether memory is nearly used up.
    pub resources: Arc<ResourceLimits>,
    /// The registry of client connections.
    pub connections: Arc<GracefulShutdown>,
}

impl MemoryGuard {
    /// Runs for the life of the process. Without the proc file system the process has the memory plan only.
    pub fn run(&self) {
        let memory = match ResidentMemory::open() {
            Ok(memory) => memory,
            Err(error) => {
                log!(WARN, reason = error; "resident memory cannot be read, it is not watched");
                return;
            }
        };
        let mut pressure = MemoryPressure::new(self.resources.memory_limit());
        loop {
            self.timers.sleep(INTERVAL);
            let Some(resident) = memory.bytes() else { continue };
            self.resources.set_resident_bytes(resident);
            let reserved = self.resources.reserved_bytes();
            let response = pressure.observe(self.timers.now(), resident, reserved);
            self.respond(response, resident, reserved);
        }
    }

    /// Does what is needed. `resident` and `reserved` are in bytes, for the log.
    pub fn respond(&self, response: PressureResponse, resident: usize, reserved: usize) {
        if self.resources.set_memory_high(response.is_high) != response.is_high {
            let limit = self.resources.memory_limit();
            log!(WARN, resident = resident, reserved = reserved, limit = limit, is_high = response.is_high; "memory of the process");
        }
        if response.releases_free_memory {
            metrics::counter!(RELEASED_COUNTER).increment(1);
            release_free_memory();
        }
        if response.shed_bytes > 0 {
            self.shed(response.shed_bytes);
        }
    }

    /// Asks the clients that hold most to give up `bytes` in all.
    fn shed(&self, bytes: usize) {
        let mut holders = self.connections.channels();
        holders.sort_by_key(|channel| std::cmp::Reverse(channel.held_bytes()));
        let mut remaining = bytes;
        for channel in holders {
            let held = channel.held_bytes();
            if remaining == 0 || held < MIN_SHED_BYTES {
                return;
            }
            remaining = remaining.saturating_sub(held);
            metrics::counter!(SHED_COUNTER).increment(1);
            log!(WARN, client = channel.peer, held = held, reason = "memory is nearly used up"; "client is shed");
            channel.request_shedding();
        }
    }
}
