//! The front on sockets: it takes RPCs in, puts them before gingerwick's decisions, and does what they say.
//!
//! Stages, in the order in which an RPC passes them: [`take_in`] takes it in, [`admit`] admits it, [`owner`]
//! has it routed and keeps it in the book, [`send`] sends its call-outs, [`relay`] reads their answers.

pub mod admit;
pub mod bell;
pub mod carry;
pub mod clock;
pub mod command;
pub mod descriptors;
pub mod discovery;
pub mod door;
pub mod exit;
pub mod gate;
pub mod hatch;
pub mod hosts;
pub mod keeper;
pub mod launch;
pub mod ledger;
pub mod log;
pub mod look;
pub mod mailbox;
pub mod news;
pub mod operators;
pub mod owner;
pub mod pg;
pub mod pool;
pub mod relay;
pub mod send;
pub mod session;
pub mod shutdown;
pub mod start;
pub mod take_in;
pub mod tally;
pub mod tasks;
pub mod turns;
pub mod wire;
pub mod writes;
