//! Test helpers: randomised runs of the state machines, stand-ins for the platform, a cluster of real
//! processes, and the tools that measure it.

pub mod cluster;
pub mod dispatch;
pub mod fault_proxy;
pub mod load;
pub mod odd_json;
pub mod platform;
pub mod random_run;
pub mod stub_backend;
pub mod stub_server;
pub mod stub_store;
pub mod witness;
pub mod workload;
pub mod world;
