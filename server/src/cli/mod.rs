//! The command line.

mod arguments;
mod cached_list;
mod check;
mod output;
mod run;
mod show;

pub use run::run;
