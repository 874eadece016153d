//! Fair division of the only worker thread among client connections. A connection handles messages in turns. A turn is
//! limited; a connection whose turn has ended and that has more to do queues for another one behind other
//! connections, and the bytes that it has not read stay in its socket.
//!
//! - [`budget`]: the limits of one turn
//! - [`recent_use`]: how much of the worker a client has used lately
//! - [`queue`]: which connection gets the next turn

pub mod budget;
pub mod queue;
pub mod recent_use;
