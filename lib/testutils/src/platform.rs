//! Simulates the users' platform for tests: its key-value store, its workers, its operator and its callers,
//! which speak the published protocol. The entry and agent processes between them are real.

pub mod callers;
pub mod crowd;
pub mod fleet;
pub mod machine;
pub mod process;
pub mod soak;
pub mod store;
pub mod workers;
