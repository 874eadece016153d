//! The control loop's options for recovery from an endpoint list that was cached before a restart.

use crate::storage::endpoint_cache_writer::EndpointCacheWriter;
use recovery::staleness::CacheTimes;
use std::sync::Arc;

/// The options of primary discovery, which verifies a cached endpoint list after a restart.
pub struct RecoveryOptions {
    /// When the cached list was confirmed by discovery and when it was saved; `None` if the times are unknown.
    pub cache_times: Option<CacheTimes>,
    /// Role queries also ask for the endpoint's identity.
    pub queries_identity: bool,
    /// The maximum number of descriptors for connections to endpoints.
    pub descriptors: usize,
    /// The writer of the cached endpoint list; `None` if the list cannot be written.
    pub cache: Option<Arc<EndpointCacheWriter>>,
}
