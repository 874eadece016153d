//! The path of the router's executable.

/// Path of the executable that Cargo built for the tests.
pub const ROUTER: &str = env!("CARGO_BIN_EXE_query-router");
