//! Spawns coroutines, and sets the sizes of their stacks.

/// The stack size of a coroutine for one connection, attempt or health check; `docs/design.md` has the measurements.
pub const STACK_BYTES: usize = 64 << 10;
/// The stack size of a coroutine that lives as long as the process.
const LONG_LIVED_STACK_BYTES: usize = 256 << 10;

/// Converts a stack size in bytes to the unit of `may`, the size of a `usize`.
pub const fn stack_size(bytes: usize) -> usize {
    bytes / size_of::<usize>()
}

/// Spawns a coroutine for one connection, attempt or health check.
pub fn spawn(task: impl FnOnce() + Send + 'static) {
    // SAFETY: `may` requires that coroutines do not keep references to thread-local data while they are suspended,
    // and that they do not overflow their stacks. No coroutine of the server keeps such references, and the stack
    // size is based on measurements.
    unsafe { may::coroutine::spawn(task) };
}

/// Spawns one of the few coroutines that live as long as the process. Their stacks are larger, as the routing policy
/// and the parser of the endpoint list require.
///
/// # Errors
/// There is no memory for the stack.
pub fn spawn_long_lived(task: impl FnOnce() + Send + 'static) -> std::io::Result<()> {
    // SAFETY: as in `spawn`.
    unsafe { may::coroutine::Builder::new().stack_size(stack_size(LONG_LIVED_STACK_BYTES)).spawn(task) }
        .map(drop)
}
