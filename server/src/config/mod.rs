//! The two configuration files: the platform's bootstrap file and the operators' file.

pub mod bootstrap;
pub mod operator_file;
