//! Path of the router's executable.

/// The router's executable, as Cargo built it for these tests.
pub const ROUTER: &str = env!("CARGO_BIN_EXE_query-router");
