//! How the control loop starts from an endpoint list that was cached over a restart.

use crate::storage::endpoint_cache_writer::EndpointCacheWriter;
use recovery::staleness::CacheTimes;
use std::sync::Arc;

/// How primaries are discovered, if the endpoint list is cached over a restart.
pub struct RecoveryOptions {
    /// The times of the cached list; none if its age is not known.
    pub cache_times: Option<CacheTimes>,
    /// Endpoints can say who they are.
    pub asks_identity: bool,
    /// Descriptors for endpoints.
    pub descriptors: usize,
    /// The cache, if it can be written.
    pub cache: Option<Arc<EndpointCacheWriter>>,
}
