//! The rejection of a client without a coroutine or connection state.

use crate::clients::response_encoding::encode_rejection;
use crate::protocol::framing::parse_startup_packet;
use routing::time::TimeDelta;
use std::io::{ErrorKind, Read, Result, Write};
use std::net::{Shutdown, TcpStream};

/// The maximum number of bytes of a startup packet that is read from a rejected client before its connection is closed.
const MAX_STARTUP_BYTES: usize = 4096;

/// Sends a client the reason for its rejection and closes the connection, without waiting for the socket.
///
/// A query stays unread, so that the client knows that it was not received and can send it elsewhere. Closing the
/// connection over unread bytes resets it, and the client may lose the reason. So a startup packet is read, if it is all
/// that the client has sent.
pub fn reject_without_waiting(stream: &TcpStream, reason: &str, retry_after: Option<TimeDelta>) {
    let mut rejection = Vec::new();
    encode_rejection(&mut rejection, reason, retry_after);
    let is_told = stream.set_nonblocking(true).and_then(|()| write_all(stream, &rejection)).is_ok();
    if is_told {
        read_startup_packet(stream);
        let _ = stream.shutdown(Shutdown::Write);
    }
}

/// Writes all bytes.
///
/// # Errors
/// The socket does not accept all bytes at once.
fn write_all(mut stream: &TcpStream, mut bytes: &[u8]) -> Result<()> {
    while !bytes.is_empty() {
        match stream.write(bytes) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(written) => bytes = &bytes[written..],
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Reads the startup packet if the client has sent nothing else. A failure leaves bytes unread.
fn read_startup_packet(mut stream: &TcpStream) {
    let mut bytes = [0; MAX_STARTUP_BYTES];
    let Ok(available) = stream.peek(&mut bytes) else { return };
    let packet = parse_startup_packet(&bytes[..available]).ok().flatten();
    if packet.is_some_and(|packet| packet.length == available) {
        // Not more than the packet, as a query may arrive meanwhile.
        let _ = stream.read(&mut bytes[..available]);
    }
}
