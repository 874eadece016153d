//! Why the server ends a client's connection.

/// Why a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client has closed the connection, or it is broken.
    ClientGone,
    /// The client does not read its responses.
    ClientStalled,
    /// The client does not read its responses while buffer memory is short.
    BufferMemory,
    /// The client has ended its session or was sent a fatal error, and all its requests are answered.
    SessionEnded,
    /// The connection is idle, and the server shuts down or needs the descriptor.
    Idle,
    /// The connection's coroutine has panicked, and the client got all responses.
    Panic,
    /// The connection's coroutine has panicked, and the client does not read its responses.
    PanicWhileStalled,
}

impl CloseReason {
    /// Whether the client gets time to read its last responses. Otherwise the connection is closed at once, because the
    /// client has closed it or does not respond.
    pub fn is_graceful(self) -> bool {
        matches!(self, CloseReason::SessionEnded | CloseReason::Idle | CloseReason::Panic)
    }

    /// The value of the metric's label, also shown in the log.
    pub fn label(self) -> &'static str {
        match self {
            CloseReason::ClientGone => "client_gone",
            CloseReason::ClientStalled => "client_stalled",
            CloseReason::BufferMemory => "buffer_memory",
            CloseReason::SessionEnded => "session_ended",
            CloseReason::Idle => "idle",
            CloseReason::Panic => "panic",
            CloseReason::PanicWhileStalled => "panic_while_stalled",
        }
    }
}
