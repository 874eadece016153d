//! Starting coroutines, and how much stack each kind gets.

/// The stack of a coroutine; `docs/design.md` has what was measured.
pub const STACK_BYTES: usize = 64 << 10;
const LONG_LIVED_STACK_BYTES: usize = 256 << 10;

/// A stack's size in the unit of `may`, the size of a pointer.
pub const fn stack_size(bytes: usize) -> usize {
    bytes / size_of::<usize>()
}

/// Starts a coroutine for one connection, attempt or health check.
pub fn spawn(task: impl FnOnce() + Send + 'static) {
    // SAFETY: no thread-local state is held across a switch, and the stack is sized by measurement.
    unsafe { may::coroutine::spawn(task) };
}

/// Starts one of the few coroutines that live as long as the process: the policy and the list's parser need more stack.
///
/// # Errors
/// There is no memory for its stack.
pub fn spawn_long_lived(task: impl FnOnce() + Send + 'static) -> std::io::Result<()> {
    // SAFETY: as above.
    unsafe { may::coroutine::Builder::new().stack_size(stack_size(LONG_LIVED_STACK_BYTES)).spawn(task) }
        .map(drop)
}
