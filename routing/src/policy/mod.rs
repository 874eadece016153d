//! Every decision of the routing policy.
//!
//! The ordinary path: a read goes to the replica with the fewest of this instance's attempts in flight among
//! those whose reported position reaches what the read must see. If there is none, the read waits for one to
//! catch up, at the endpoint or here, before it touches the primary. `docs/design.md` lists the departures
//! and their conditions.

mod attempts;
mod compiled_settings;
mod concurrency_limit;
mod ejection;
mod endpoint_state;
mod health_checks;
mod replica_selection;
mod request_lifecycle;
mod slow_start;
