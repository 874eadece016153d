//! Spawning of coroutines, and their stack sizes.

/// The stack size of a coroutine for one connection, attempt or health check; `docs/design.md` has the measurements.
pub const STACK_BYTES: usize = 64 << 10;
/// The stack size of a coroutine that lives as long as the process.
const LONG_LIVED_STACK_BYTES: usize = 256 << 10;

/// Converts a stack size to the unit of `may`, the size of a pointer.
pub const fn stack_size(bytes: usize) -> usize {
    bytes / size_of::<usize>()
}

/// Spawns a coroutine for one connection, attempt or health check.
pub fn spawn(task: impl FnOnce() + Send + 'static) {
    // SAFETY: no thread-local state is held across a switch, and the stack is sized by measurement.
    unsafe { may::coroutine::spawn(task) };
}

/// Spawns one of the few coroutines that live as long as the process. The routing policy and the parser of the
/// endpoint list need a larger stack.
///
/// # Errors
/// There is no memory for its stack.
pub fn spawn_long_lived(task: impl FnOnce() + Send + 'static) -> std::io::Result<()> {
    // SAFETY: as above.
    unsafe { may::coroutine::Builder::new().stack_size(stack_size(LONG_LIVED_STACK_BYTES)).spawn(task) }
        .map(drop)
}
