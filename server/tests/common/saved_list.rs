//! Saves an endpoint list in a state directory.

use endpoint_cache::{CacheDirectory, CachedEndpoint, CachedEndpointList};
use std::path::Path;
use test_servers::cluster::unix_ms;

/// Saves an endpoint list in the state directory `state_dir`. The list has version 41 and one endpoint, and was
/// confirmed two hours ago.
///
/// # Panics
/// Panics if the directory cannot be opened or the list cannot be saved.
pub fn save_old_list(state_dir: &Path) {
    let (mut directory, _) = CacheDirectory::open(state_dir).expect("failed to open the state directory");
    let endpoints = vec![CachedEndpoint { name: "s-1".into(), group: 4, ..CachedEndpoint::default() }];
    let mut cached = CachedEndpointList {
        version: 41,
        confirmed_ms: unix_ms() - 7_200_000,
        saved_ms: unix_ms(),
        endpoints,
        ..CachedEndpointList::default()
    };
    directory.save(&mut cached).expect("failed to save the list");
}
