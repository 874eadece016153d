//! Every decision of the routing policy.
//!
//! In general, a read goes to a replica whose reported position is at least the position that the read must see. Of
//! several such replicas, the one with the fewest attempts of this instance in flight is selected. If there is none,
//! the read first waits for a replica to catch up, at the endpoint or in the router, before it is sent to the primary.
//! Comments that begin with "Exception" mark the exceptions to this; `docs/design.md` lists them with their conditions.

mod attempts;
mod compiled_settings;
mod concurrency_limit;
mod ejection;
mod endpoint_state;
mod health_checks;
mod replica_selection;
mod request_lifecycle;
mod slow_start;
