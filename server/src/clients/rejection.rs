//! The rejection of a client without a coroutine or connection state.

use crate::clients::response_encoding::encode_rejection;
use routing::time::TimeDelta;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};

/// The maximum number of bytes read from a rejected client before its connection is closed. Closing a socket with
/// unread bytes resets the connection, and the client may lose the rejection.
const READ_BYTES: usize = 4096;

/// Sends a client the reason for its rejection and shuts down the sending side, without waiting for the socket.
pub fn reject_without_waiting(mut stream: &TcpStream, reason: &str, retry_after: Option<TimeDelta>) {
    let mut rejection = Vec::new();
    encode_rejection(&mut rejection, reason, retry_after);
    let _ = stream.set_nonblocking(true);
    let _ = stream.read(&mut [0; READ_BYTES]);
    let _ = stream.write(&rejection);
    let _ = stream.shutdown(Shutdown::Write);
}
