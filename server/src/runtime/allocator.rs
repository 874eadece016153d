//! Settings of the C library's allocator. By default it keeps what is freed: after a large block was freed, blocks of that
//! size are no longer mapped on their own, and each thread gets an arena of its own.

/// Blocks of this size and larger, in bytes, are mapped on their own and unmapped when they are freed.
const MMAP_THRESHOLD_BYTES: i32 = 64 << 10;
/// Free memory at the end of the heap above this size, in bytes, is returned to the operating system.
const TRIM_THRESHOLD_BYTES: i32 = 256 << 10;
/// The number of arenas: the worker does nearly all of the work.
const MAX_ARENAS: i32 = 1;

/// Makes the allocator return freed memory, and turns off huge pages, which would make small stacks take 2 MB each. Must be
/// called before other threads are started. Settings that the system refuses keep their defaults.
pub fn configure() {
    disable_huge_pages();
    set_allocator_options();
}

fn disable_huge_pages() {
    // SAFETY: this option of prctl(2) takes no pointers.
    unsafe { libc::prctl(libc::PR_SET_THP_DISABLE, 1, 0, 0, 0) };
}

#[cfg(target_env = "gnu")]
fn set_allocator_options() {
    let options = [
        (libc::M_ARENA_MAX, MAX_ARENAS),
        (libc::M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES),
        (libc::M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES),
    ];
    for (option, value) in options {
        // SAFETY: mallopt(3) has no pointers, and no other thread runs yet.
        unsafe { libc::mallopt(option, value) };
    }
}

#[cfg(not(target_env = "gnu"))]
fn set_allocator_options() {}

/// Returns free memory inside the heap to the operating system. Takes time in proportion to the size of the heap.
#[cfg(target_env = "gnu")]
pub fn release_free_memory() {
    // SAFETY: malloc_trim(3) has no pointers.
    unsafe { libc::malloc_trim(0) };
}

/// Does nothing: only glibc's allocator can be told to return free memory.
#[cfg(not(target_env = "gnu"))]
pub fn release_free_memory() {}
