//! What a descriptor refers to, and how many bytes were read from it.

use crate::raw;
use libc::{c_int, c_long};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// The number of descriptors that are tracked; larger ones count as accepted.
const TRACKED: usize = 1 << 16;

/// The descriptors on which connect(2) was called.
static OPENED: [AtomicBool; TRACKED] = [const { AtomicBool::new(false) }; TRACKED];

/// The number of bytes read from each descriptor since its connection was accepted or opened.
static BYTES_READ: [AtomicU64; TRACKED] = [const { AtomicU64::new(0) }; TRACKED];

/// What a descriptor refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DescriptorKind {
    /// A connection that was accepted.
    Client,
    /// A connection that the process has opened.
    Peer,
    /// A Unix socket.
    Unix,
    /// A regular file.
    File,
    /// An eventfd, a pipe, or something else.
    Other,
}

/// The entry of a descriptor in one of the tables.
fn entry<T>(table: &'static [T; TRACKED], descriptor: c_int) -> Option<&'static T> {
    usize::try_from(descriptor).ok().and_then(|index| table.get(index))
}

/// Records a new socket, and whether the process opens its connection.
pub fn set_opened(descriptor: c_int, opened: bool) {
    if let Some(entry) = entry(&OPENED, descriptor) {
        entry.store(opened, Ordering::Relaxed);
    }
    if let Some(bytes) = entry(&BYTES_READ, descriptor) {
        bytes.store(0, Ordering::Relaxed);
    }
}

/// Counts bytes that were read from a descriptor. The result of a failed read is ignored.
pub fn add_read(descriptor: c_int, result: libc::ssize_t) {
    if let (Some(bytes), Ok(count)) = (entry(&BYTES_READ, descriptor), u64::try_from(result)) {
        bytes.fetch_add(count, Ordering::Relaxed);
    }
}

/// The number of bytes read from a descriptor since its connection was accepted or opened.
pub fn bytes_read(descriptor: c_int) -> u64 {
    entry(&BYTES_READ, descriptor).map_or(0, |bytes| bytes.load(Ordering::Relaxed))
}

fn is_opened(descriptor: c_int) -> bool {
    entry(&OPENED, descriptor).is_some_and(|opened| opened.load(Ordering::Relaxed))
}

/// The peer's port of an IPv4 connection; `None` if the descriptor is none.
pub fn peer_port(descriptor: c_int) -> Option<u16> {
    // SAFETY: zeroes are a valid address, and the pointers are valid for it and its length.
    let (result, address) = unsafe {
        let mut address: libc::sockaddr_in = std::mem::zeroed();
        let mut length = size_of::<libc::sockaddr_in>() as libc::socklen_t;
        let (pointer, length) = (&raw mut address as c_long, &raw mut length as c_long);
        (raw::call4(libc::SYS_getpeername, c_long::from(descriptor), pointer, length, 0), address)
    };
    let is_ipv4 = c_int::from(address.sin_family) == libc::AF_INET;
    (result == 0 && is_ipv4).then(|| u16::from_be(address.sin_port))
}

/// The address family of a socket; `None` if the descriptor is no socket.
fn socket_domain(descriptor: c_int) -> Option<c_int> {
    let mut domain: c_int = 0;
    let mut length = size_of::<c_int>() as libc::socklen_t;
    // SAFETY: the pointers are valid for an integer and its length.
    let result = unsafe {
        libc::syscall(
            libc::SYS_getsockopt,
            descriptor,
            libc::SOL_SOCKET,
            libc::SO_DOMAIN,
            &raw mut domain,
            &raw mut length,
        )
    };
    (result == 0).then_some(domain)
}

fn is_regular_file(descriptor: c_int) -> bool {
    // SAFETY: zeroes are a valid `stat`, and the pointer is valid for one.
    let (result, status) = unsafe {
        let mut status: libc::stat = std::mem::zeroed();
        let pointer = &raw mut status;
        (raw::call4(libc::SYS_fstat, c_long::from(descriptor), pointer as c_long, 0, 0), status)
    };
    result == 0 && status.st_mode & libc::S_IFMT == libc::S_IFREG
}

/// Determines what a descriptor refers to.
pub fn kind_of(descriptor: c_int) -> DescriptorKind {
    match socket_domain(descriptor) {
        Some(libc::AF_UNIX) => DescriptorKind::Unix,
        Some(_) if is_opened(descriptor) => DescriptorKind::Peer,
        Some(_) => DescriptorKind::Client,
        None if is_regular_file(descriptor) => DescriptorKind::File,
        None => DescriptorKind::Other,
    }
}
