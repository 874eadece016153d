//! The replaced functions of the C library.

// A preloaded function must have the C library's name and signature; its pointers are those of the caller, who is
// responsible for them as before.
#![allow(clippy::missing_safety_doc)]

use crate::descriptors::{add_read, kind_of, set_opened, DescriptorKind};
use crate::inject::{fault, has_rule, trace_close};
use crate::plan::{Call, Fault};
use crate::raw::{call4, fail};
use libc::{
    c_int, c_long, c_void, clockid_t, epoll_event, iovec, nfds_t, off_t, pollfd, sigset_t, size_t, sockaddr,
    socklen_t, ssize_t, timespec,
};
use std::time::Duration;

/// The number of bytes that a short read or write transfers.
const SHORT_BYTES: size_t = 1;
/// The size of the kernel's signal set, which is smaller than that of the C library.
const KERNEL_SIGNAL_SET_BYTES: size_t = 8;

/// What happens to a transfer.
enum Transfer {
    /// It transfers at most this many bytes.
    AtMost(size_t),
    /// It fails with this errno.
    Fails(c_int),
}

fn is_transfer(call: Call) -> bool {
    matches!(
        call,
        Call::ClientRecv
            | Call::ClientSend
            | Call::PeerRecv
            | Call::PeerSend
            | Call::UnixSend
            | Call::EventSend
            | Call::FileWrite
    )
}

/// The errors after which a connection no longer exists.
fn ends_connection(errno: c_int) -> bool {
    matches!(errno, libc::ECONNRESET | libc::ETIMEDOUT | libc::EHOSTUNREACH | libc::EPIPE | libc::ENETDOWN)
}

/// Decides what happens to a transfer. A connection that fails for good is shut down, so that the peer notices as well.
fn transfer(descriptor: c_int, bytes: size_t, call_of: fn(DescriptorKind) -> Option<Call>) -> Transfer {
    if !has_rule(is_transfer) {
        return Transfer::AtMost(bytes);
    }
    match call_of(kind_of(descriptor)).and_then(|call| fault(call, descriptor)) {
        Some(Fault::Errno(errno)) => {
            if ends_connection(errno) {
                // SAFETY: shutdown(2) has no pointers.
                unsafe {
                    call4(libc::SYS_shutdown, c_long::from(descriptor), c_long::from(libc::SHUT_RDWR), 0, 0)
                };
            }
            Transfer::Fails(errno)
        }
        Some(Fault::Short) => Transfer::AtMost(bytes.min(SHORT_BYTES)),
        _ => Transfer::AtMost(bytes),
    }
}

fn read_call(kind: DescriptorKind) -> Option<Call> {
    match kind {
        DescriptorKind::Client => Some(Call::ClientRecv),
        DescriptorKind::Peer => Some(Call::PeerRecv),
        _ => None,
    }
}

fn write_call(kind: DescriptorKind) -> Option<Call> {
    Some(match kind {
        DescriptorKind::Client => Call::ClientSend,
        DescriptorKind::Peer => Call::PeerSend,
        DescriptorKind::Unix => Call::UnixSend,
        DescriptorKind::File => Call::FileWrite,
        DescriptorKind::Other => Call::EventSend,
    })
}

/// The errno that a call fails with, if it fails.
fn failure(call: Call, descriptor: c_int) -> Option<c_int> {
    match fault(call, descriptor) {
        Some(Fault::Errno(errno)) => Some(errno),
        _ => None,
    }
}

/// accept4(2). An aborted connection is taken from the listen queue and closed, as Linux does.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    listener: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    let injected = failure(Call::Accept, listener);
    if let Some(errno) = injected.filter(|errno| !matches!(*errno, libc::ECONNABORTED | libc::EPROTO)) {
        return fail(errno);
    }
    let accepted =
        call4(libc::SYS_accept4, listener.into(), address as c_long, length as c_long, flags.into()) as c_int;
    match injected {
        Some(errno) if accepted >= 0 => {
            call4(libc::SYS_close, accepted.into(), 0, 0, 0);
            fail(errno)
        }
        _ => {
            set_opened(accepted, false);
            accepted
        }
    }
}

/// socket(2).
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if domain != libc::AF_UNIX {
        if let Some(errno) = failure(Call::Socket, -1) {
            return fail(errno);
        }
    }
    let socket = call4(libc::SYS_socket, domain.into(), kind.into(), protocol.into(), 0) as c_int;
    set_opened(socket, false);
    socket
}

/// connect(2). An interrupted call goes on in the background, as Linux documents.
#[no_mangle]
pub unsafe extern "C" fn connect(descriptor: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    set_opened(descriptor, true);
    let injected = failure(Call::Connect, descriptor);
    if let Some(errno) = injected.filter(|errno| *errno != libc::EINTR) {
        return fail(errno);
    }
    let result = call4(libc::SYS_connect, descriptor.into(), address as c_long, length.into(), 0) as c_int;
    injected.map_or(result, fail)
}

/// epoll_wait(2), by epoll_pwait(2) without a signal mask: the kernel of some architectures has no epoll_wait.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    if let Some(errno) = failure(Call::EpollWait, epoll) {
        return fail(errno);
    }
    libc::syscall(
        libc::SYS_epoll_pwait,
        epoll,
        events,
        max_events,
        timeout,
        std::ptr::null::<sigset_t>(),
        KERNEL_SIGNAL_SET_BYTES,
    ) as c_int
}

/// The duration that ppoll(2) expects for a timeout of poll(2); `None` for a negative one, which is no timeout.
fn poll_duration(timeout_ms: c_int) -> Option<timespec> {
    let timeout = Duration::from_millis(u64::try_from(timeout_ms).ok()?);
    let tv_sec = timeout.as_secs().try_into().ok()?;
    Some(timespec { tv_sec, tv_nsec: timeout.subsec_nanos().into() })
}

/// poll(2), by ppoll(2) without a signal mask: the kernel of some architectures has no poll.
#[no_mangle]
pub unsafe extern "C" fn poll(descriptors: *mut pollfd, count: nfds_t, timeout: c_int) -> c_int {
    if let Some(errno) = failure(Call::Poll, -1) {
        return fail(errno);
    }
    let mut duration = poll_duration(timeout);
    let duration = duration.as_mut().map_or(std::ptr::null_mut(), |duration| &raw mut *duration);
    libc::syscall(
        libc::SYS_ppoll,
        descriptors,
        count,
        duration,
        std::ptr::null::<sigset_t>(),
        KERNEL_SIGNAL_SET_BYTES,
    ) as c_int
}

/// read(2).
#[no_mangle]
pub unsafe extern "C" fn read(descriptor: c_int, buffer: *mut c_void, bytes: size_t) -> ssize_t {
    match transfer(descriptor, bytes, read_call) {
        Transfer::Fails(errno) => fail(errno) as ssize_t,
        Transfer::AtMost(bytes) => {
            let result =
                call4(libc::SYS_read, descriptor.into(), buffer as c_long, bytes as c_long, 0) as ssize_t;
            add_read(descriptor, result);
            result
        }
    }
}

/// recv(2).
#[no_mangle]
pub unsafe extern "C" fn recv(
    descriptor: c_int,
    buffer: *mut c_void,
    bytes: size_t,
    flags: c_int,
) -> ssize_t {
    match transfer(descriptor, bytes, read_call) {
        Transfer::Fails(errno) => fail(errno) as ssize_t,
        Transfer::AtMost(bytes) => {
            let result = libc::syscall(libc::SYS_recvfrom, descriptor, buffer, bytes, flags, 0, 0) as ssize_t;
            if flags & libc::MSG_PEEK == 0 {
                add_read(descriptor, result);
            }
            result
        }
    }
}

/// write(2).
#[no_mangle]
pub unsafe extern "C" fn write(descriptor: c_int, buffer: *const c_void, bytes: size_t) -> ssize_t {
    let result = transfer(descriptor, bytes, write_call);
    match result {
        Transfer::Fails(errno) => fail(errno) as ssize_t,
        // An eventfd accepts only all eight bytes.
        Transfer::AtMost(at_most) => {
            let bytes = if kind_of(descriptor) == DescriptorKind::Other { bytes } else { at_most };
            call4(libc::SYS_write, descriptor.into(), buffer as c_long, bytes as c_long, 0) as ssize_t
        }
    }
}

/// pwrite64(2).
#[no_mangle]
pub unsafe extern "C" fn pwrite64(
    descriptor: c_int,
    buffer: *const c_void,
    bytes: size_t,
    offset: off_t,
) -> ssize_t {
    match transfer(descriptor, bytes, write_call) {
        Transfer::Fails(errno) => fail(errno) as ssize_t,
        Transfer::AtMost(bytes) => {
            call4(libc::SYS_pwrite64, descriptor.into(), buffer as c_long, bytes as c_long, offset) as ssize_t
        }
    }
}

/// send(2).
#[no_mangle]
pub unsafe extern "C" fn send(
    descriptor: c_int,
    buffer: *const c_void,
    bytes: size_t,
    flags: c_int,
) -> ssize_t {
    match transfer(descriptor, bytes, write_call) {
        Transfer::Fails(errno) => fail(errno) as ssize_t,
        Transfer::AtMost(bytes) => {
            libc::syscall(libc::SYS_sendto, descriptor, buffer, bytes, flags, 0, 0) as ssize_t
        }
    }
}

/// writev(2). A short write transfers one byte of the first part that is not empty.
#[no_mangle]
pub unsafe extern "C" fn writev(descriptor: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    let parts_slice = std::slice::from_raw_parts(parts, usize::try_from(count).unwrap_or(0));
    let total: size_t = parts_slice.iter().map(|part| part.iov_len).sum();
    match transfer(descriptor, total, write_call) {
        Transfer::Fails(errno) => fail(errno) as ssize_t,
        Transfer::AtMost(bytes) if bytes < total => {
            let first = parts_slice.iter().find(|part| part.iov_len > 0);
            let base = first.map_or(std::ptr::null_mut(), |part| part.iov_base);
            call4(libc::SYS_write, descriptor.into(), base as c_long, bytes as c_long, 0) as ssize_t
        }
        Transfer::AtMost(_) => {
            call4(libc::SYS_writev, descriptor.into(), parts as c_long, count.into(), 0) as ssize_t
        }
    }
}

/// close(2). It never fails; the close of a client's connection is traced.
#[no_mangle]
pub unsafe extern "C" fn close(descriptor: c_int) -> c_int {
    trace_close(descriptor);
    call4(libc::SYS_close, descriptor.into(), 0, 0, 0) as c_int
}

/// fsync(2).
#[no_mangle]
pub unsafe extern "C" fn fsync(descriptor: c_int) -> c_int {
    match failure(Call::FileSync, descriptor) {
        Some(errno) => fail(errno),
        None => call4(libc::SYS_fsync, descriptor.into(), 0, 0, 0) as c_int,
    }
}

/// fdatasync(2).
#[no_mangle]
pub unsafe extern "C" fn fdatasync(descriptor: c_int) -> c_int {
    match failure(Call::FileSync, descriptor) {
        Some(errno) => fail(errno),
        None => call4(libc::SYS_fdatasync, descriptor.into(), 0, 0, 0) as c_int,
    }
}

/// clock_gettime(2). Only the wall clock is stepped.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let result = call4(libc::SYS_clock_gettime, clock.into(), time as c_long, 0, 0) as c_int;
    if result == 0 && clock == libc::CLOCK_REALTIME && has_rule(|call| call == Call::WallClock) {
        if let Some(Fault::ClockStep(seconds)) = fault(Call::WallClock, -1) {
            (*time).tv_sec += seconds;
        }
    }
    result
}
