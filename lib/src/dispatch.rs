//! The dispatch plane: jobs of steps and tasks, placed by schedulers and run by executors.
//!
//! A [`scheduler`] runs at each entry. It decides for the jobs that it was handed: when they
//! wait, where their tasks run, when they are refused. An [`executor`] runs beside each worker
//! and is alone in giving it orders, so it is the authority on the worker's room. Schedulers hold
//! leases at executors; when a lease runs out, the executor stops what runs for that scheduler.
//!
//! A large fleet is divided into [`partition`]s; a [`forwarder`] hands on the jobs of others.
//!
//! All are state machines without input or output of their own, like everything in this crate.
//! `docs/design/platform.md` says why the work is divided in this way.

pub mod balance;
pub mod catalog;
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
