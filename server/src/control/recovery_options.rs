//! Options of the control loop for recovery from an endpoint list that was cached before a restart.

use crate::storage::endpoint_cache_writer::EndpointCacheWriter;
use recovery::staleness::CacheTimes;
use std::sync::Arc;

/// The options of primary discovery after a restart.
pub struct RecoveryOptions {
    /// When the cached list was confirmed and saved; `None` if that is unknown.
    pub cache_times: Option<CacheTimes>,
    /// Endpoints are queried for their identity.
    pub queries_identity: bool,
    /// The limit on descriptors for endpoints.
    pub descriptors: usize,
    /// The cached endpoint list, if it can be written.
    pub cache: Option<Arc<EndpointCacheWriter>>,
}
