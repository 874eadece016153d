//! What every host of the decisions needs, whatever its wire: the start facts read and checked in one place,
//! ids mapped to small indices, and the book of open RPCs. No decision stands here.

pub mod book;
pub mod doors;
pub mod facts;
