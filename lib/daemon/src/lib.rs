//! The processes of stackcourse: they supply the state machines of `stackcourse-lib` with a clock,
//! connections, a store and backend servers.
//!
//! Everything here is built on actix. One actor owns each state machine; connections, store calls and calls
//! to backend servers are tasks on the same thread that pass their results to the actor.

pub mod agent_actor;
pub mod agent_process;
pub mod api;
pub mod backend;
pub mod boot_clock;
pub mod boxes;
pub mod config_watch;
pub mod consul;
pub mod dev;
pub mod dispatch;
pub mod entry_actor;
pub mod entry_process;
pub mod http_app;
pub mod http_call;
pub mod kernel;
pub mod link;
pub mod logging;
pub mod memory_store;
pub mod metrics;
pub mod operator;
pub mod problem;
pub mod process_clock;
pub mod process_limits;
pub mod settings;
pub mod status;
pub mod store;
pub mod system_clock;
