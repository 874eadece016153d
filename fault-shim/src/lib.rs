//! A library that is preloaded into a process under test (`LD_PRELOAD`) and makes its system calls fail as Linux
//! documents: with an error, with fewer bytes than requested, or with another time of the wall clock.
//!
//! The environment of the process configures the library:
//!
//! | variable | meaning |
//! | --- | --- |
//! | `FAULT_PLAN` | the rules, see [`plan`]; without it, no call fails |
//! | `FAULT_SEED` | the seed of the random decisions; 1 by default |
//! | `FAULT_SWITCH` | the path of a file: calls fail only while the file exists; without it, they always may |
//! | `FAULT_TRACE` | the path of a file to which each injected fault appends one line |
//!
//! Each exported function replaces the function of the C library with the same name. It either returns an injected
//! fault or makes the system call. The functions are called from signal handlers as well, so they neither allocate nor
//! lock.

mod calls;
mod descriptors;
mod inject;
pub mod plan;
mod raw;
