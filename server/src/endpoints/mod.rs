//! Connections to endpoints, and the attempts, health checks and role queries that use them.

pub mod answer;
pub mod attempt;
pub mod completion_guard;
pub mod connecting;
pub mod connection;
pub mod dispatcher;
pub mod health_check;
pub mod load_report;
pub mod pool;
pub mod query;
pub mod response_parser;
