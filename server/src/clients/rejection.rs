//! Rejection of a client without a coroutine or connection state.

use crate::clients::response_encoding::encode_rejection;
use routing::time::TimeDelta;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};

/// Bytes that are read from a rejected client. Unread bytes would turn the close into a reset, which may discard the
/// rejection before the client reads it.
const READ_BYTES: usize = 4096;

/// Sends a client the reason for its rejection and shuts the connection down, without ever blocking.
pub fn reject_without_waiting(mut stream: &TcpStream, reason: &str, retry_after: Option<TimeDelta>) {
    let mut rejection = Vec::new();
    encode_rejection(&mut rejection, reason, retry_after);
    let _ = stream.set_nonblocking(true);
    let _ = stream.read(&mut [0; READ_BYTES]);
    let _ = stream.write(&rejection);
    let _ = stream.shutdown(Shutdown::Write);
}
