//! The coordination logic of stackcourse: which process may start a task, where the task runs, when it waits
//! and when it is refused.
//!
//! Every component is a state machine without I/O. It receives the time and a message and returns the actions
//! to take; it owns no clock, socket, thread or async task. The same code runs in the daemons and in
//! randomised simulations on a virtual clock. Nothing in this crate depends on HTTP, on an actor framework or
//! on the protocol of a store.
//!
//! Start reading at [`entry`] and [`agent`], the two roles; `docs/ARCHITECTURE.md` walks through the life
//! cycle of a job.

pub mod admission;
pub mod agent;
pub mod clock;
pub mod clock_check;
pub mod clock_step;
pub mod configuration;
pub mod dispatch;
pub mod entry;
pub mod event;
pub mod findings;
pub mod fleet;
pub mod follower;
pub mod grants;
pub mod health;
pub mod job_body;
pub mod job_id;
pub mod job_table;
pub mod lanes;
pub mod lead;
pub mod names;
pub mod outcome;
pub mod ownership;
pub mod placement;
pub mod prelude;
pub mod protos;
pub mod quota;
pub mod room;
pub mod shard;
pub mod start_record;
pub mod store;
pub mod takeover;
pub mod tenure;
pub mod versions;
