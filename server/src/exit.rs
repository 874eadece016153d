//! Exit codes, after sysexits.h, and what ends the process.

pub const OK: u8 = 0;
pub const USAGE: u8 = 64;
pub const DATA: u8 = 65;
pub const NO_INPUT: u8 = 66;
pub const UNAVAILABLE: u8 = 69;
pub const OS: u8 = 71;
pub const IO: u8 = 74;
pub const CONFIG: u8 = 78;

/// An exit code, and lines that say why.
pub type Fault = (u8, Vec<String>);
