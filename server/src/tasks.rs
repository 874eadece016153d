//! Starting coroutines, and how much stack each kind gets.

/// Stacks in words of eight bytes; docs/design.md has what was measured.
pub const STACK: usize = 8 << 10;
const LONG_LIVED_STACK: usize = 32 << 10;

/// Starts a coroutine for one connection or one call-out.
pub fn spawn(task: impl FnOnce() + Send + 'static) {
    // SAFETY: no thread-local state is held across a switch, and the stack is sized by measurement.
    unsafe { may::coroutine::spawn(task) };
}

/// Starts one of the few that live as long as the process: the decisions and the list's parser go deeper.
pub fn spawn_long_lived(task: impl FnOnce() + Send + 'static) -> std::io::Result<()> {
    // SAFETY: as above.
    unsafe { may::coroutine::Builder::new().stack_size(LONG_LIVED_STACK).spawn(task) }.map(drop)
}
