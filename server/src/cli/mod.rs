//! The command line.

mod arguments;
mod cached_list;
mod check;
mod run;
mod show;

pub use run::run;
