//! The dispatch plane: accepts jobs of steps and tasks, places the tasks at workers and runs them there.
//!
//! A [`scheduler`] runs at each entry. It decides for the jobs that were submitted to it when they start,
//! where their tasks run and when they are refused. An [`executor`] runs beside each worker. It alone sends
//! orders to the worker, so it is the authority on the worker's free capacity. Schedulers hold leases at
//! executors; when a lease expires, the executor stops the runs of that scheduler.
//!
//! A large fleet is divided into [`partition`]s; a [`forwarder`] passes jobs on to the partitions that run
//! them.
//!
//! All of these are state machines that do no I/O themselves, like everything in this crate.
//! `docs/design/platform.md` explains this division of work.

pub mod balance;
pub mod cancels;
pub mod catalog;
pub mod connections;
pub mod contention;
pub mod crashes;
pub mod executor;
pub mod forwarder;
pub mod model;
pub mod partition;
pub mod policy;
pub mod preemption;
pub mod rank;
pub mod scheduler;
pub mod speeds;
pub mod timings;
pub mod zones;
