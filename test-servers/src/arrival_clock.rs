//! When bytes have arrived in a socket, as the kernel tells it. A thread of the tests that gets no processor reads them
//! later, which is not the router's delay.

use std::mem;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::time::{Duration, Instant};

/// When the last bytes have arrived from the peer. It is never before the arrival of the bytes that were read last, so a
/// delay of the router is never taken for one of the reader. Now, if the kernel does not tell.
pub fn last_arrival(stream: &TcpStream) -> Instant {
    let now = Instant::now();
    now.checked_sub(time_since_last_data(stream)).unwrap_or(now)
}

/// How long ago the last bytes have arrived, in whole steps of the kernel's clock; zero if unknown.
fn time_since_last_data(stream: &TcpStream) -> Duration {
    // SAFETY: zeroes are a valid `tcp_info`.
    let mut info: libc::tcp_info = unsafe { mem::zeroed() };
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the pointers are valid for `info` and its length.
    let result = unsafe {
        libc::getsockopt(
            stream.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            (&raw mut info).cast(),
            &raw mut length,
        )
    };
    match result {
        0 => Duration::from_millis(info.tcpi_last_data_recv.into()),
        _ => Duration::ZERO,
    }
}

/// The time of the monotonic clock, which the fault library writes into its trace.
pub fn monotonic_now() -> Duration {
    let mut now = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the pointer is valid for one timespec.
    unsafe { libc::clock_gettime(libc::CLOCK_MONOTONIC, &raw mut now) };
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
}
