//! A buffer for reads from sockets, one for each thread. Without it each connection would need one on its stack, or would
//! have to enlarge its own buffer before it knows how much there is to read.

use std::cell::RefCell;
use std::io::{Read, Result};

/// The maximum number of bytes of one read.
pub const MAX_READ_BYTES: usize = 32 << 10;

thread_local! {
    static BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; MAX_READ_BYTES]);
}

/// Reads up to `max_bytes` from a source that does not block, at most [`MAX_READ_BYTES`], and passes them to `consume`,
/// which must not suspend the calling coroutine. Returns their number.
///
/// # Errors
/// Those of the source.
pub fn read_with(mut source: impl Read, max_bytes: usize, consume: impl FnOnce(&[u8])) -> Result<usize> {
    BUFFER.with_borrow_mut(|buffer| {
        let max_bytes = max_bytes.min(buffer.len());
        let count = source.read(&mut buffer[..max_bytes])?;
        consume(&buffer[..count]);
        Ok(count)
    })
}
