//! The PostgreSQL frontend/backend protocol, version 3: encodes and decodes messages in memory, without I/O.

pub mod decode;
pub mod encode;
pub mod framing;
pub mod frontend_codec;
pub mod sqlstate;
pub mod statement;
