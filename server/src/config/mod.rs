//! What the server is told: the bootstrap file of the platform, and the operators' file.

pub mod bootstrap;
pub mod operator_file;
