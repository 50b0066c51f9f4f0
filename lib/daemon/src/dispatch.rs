//! The processes of the dispatch plane, which provide its state machines with a clock, links, a store and a
//! worker.
//!
//! Each process runs on a single thread and holds its state machine in a `RefCell`. It passes every event to
//! the state machine and performs the resulting actions before it handles the next event.

pub mod agent_record;
pub mod channel;
pub mod client_socket;
pub mod clients;
pub mod clock_watch;
pub mod cpu_usage;
pub mod division;
pub mod executor_host;
pub mod follow;
pub mod forwarder_host;
mod frame_writer;
pub mod http;
pub mod lag;
pub mod links;
pub mod log_sink;
pub mod metrics_page;
pub mod scheduler_host;
pub mod store;
pub mod traffic;
