//! A simulation of the dispatch plane on a virtual clock.
//!
//! Runs the state machines of schedulers and executors as shipped against models of the network, the store,
//! the workers and the callers, checks the invariants, and offers randomised runs and load runs.

pub mod callers;
mod cancel_faults;
pub mod load;
pub mod network;
pub mod run;
pub mod witness;
pub mod worker;
pub mod world;
