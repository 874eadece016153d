//! System calls without the C library's wrappers, which this library replaces.

use libc::{c_int, c_long, timespec};

/// Makes a system call with up to four arguments. Sets errno and returns -1 if it fails.
///
/// # Safety
/// The arguments must be valid for the system call `number`.
pub unsafe fn call4(number: c_long, first: c_long, second: c_long, third: c_long, fourth: c_long) -> c_long {
    libc::syscall(number, first, second, third, fourth)
}

/// Sets errno and returns -1, as a failed system call does.
pub fn fail(errno: c_int) -> c_int {
    // SAFETY: the pointer refers to the errno of the calling thread.
    unsafe { *libc::__errno_location() = errno };
    -1
}

/// The current errno of the calling thread.
pub fn errno() -> c_int {
    // SAFETY: as in `fail`.
    unsafe { *libc::__errno_location() }
}

/// The time of the monotonic clock in milliseconds.
pub fn monotonic_ms() -> u64 {
    let mut now = timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the pointer is valid for one timespec.
    unsafe { libc::syscall(libc::SYS_clock_gettime, libc::CLOCK_MONOTONIC, &raw mut now) };
    now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000
}
