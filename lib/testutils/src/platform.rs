//! A stand-in for the users' platform: its store, its workers and its operator, speaking the
//! protocol as published, and the real processes of the system between them.

pub mod callers;
pub mod fleet;
pub mod soak;
pub mod store;
pub mod workers;
