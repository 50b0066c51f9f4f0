//! Randomised runs of the dispatch plane on a virtual clock: schedulers and executors as shipped,
//! with models of the network, the workers and the callers around them.

pub mod callers;
pub mod load;
pub mod network;
pub mod run;
pub mod witness;
pub mod worker;
pub mod world;
