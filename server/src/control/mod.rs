//! The control loop: one coroutine that owns the routing policy, primary discovery, the open requests and their
//! deadlines. Other coroutines report every event to it as a
//! [`ControlMessage`](crate::messages::control::ControlMessage).

mod actions;
mod active_request;
mod attempt_handling;
pub mod control_loop;
mod deadlines;
pub mod executed_ids;
mod primary_discovery;
pub mod recovery_options;
mod request_handling;
pub mod request_queue;
mod response_check;
mod router_state;
