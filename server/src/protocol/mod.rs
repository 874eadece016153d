//! PostgreSQL's messages, version 3, as bytes in memory: nothing here reads or writes a socket.

pub mod decode;
pub mod encode;
pub mod framing;
pub mod frontend_codec;
pub mod sqlstate;
pub mod statement;
