//! The rejection of a client for which there is no connection state.

use crate::clients::response_encoding::encode_rejection;
use routing::time::TimeDelta;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};

/// Bytes of a rejected client that are read at most: what is unread turns the close into a reset, which may take the
/// rejection with it.
const READ_BYTES: usize = 4096;

/// Tells a client why it is rejected, without waiting for anything.
pub fn reject_without_waiting(mut stream: &TcpStream, reason: &str, retry_after: Option<TimeDelta>) {
    let mut rejection = Vec::new();
    encode_rejection(&mut rejection, reason, retry_after);
    let _ = stream.set_nonblocking(true);
    let _ = stream.read(&mut [0; READ_BYTES]);
    let _ = stream.write(&rejection);
    let _ = stream.shutdown(Shutdown::Write);
}
