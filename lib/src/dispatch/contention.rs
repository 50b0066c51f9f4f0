//! Decisions about jobs that compete for too little room, free of I/O.
//!
//! Load pattern: for seconds at a time more work arrives than there is room for, often in one queue only, and
//! at some schedulers more than at others. A scheduler that knows only its own jobs gives room to less urgent
//! work while more urgent work waits at a peer, and queues jobs that cannot start before their deadline.
//!
//! - [`backlog`]: the waiting work by priority, here and at peers.
//! - [`release`]: how fast room becomes free, and so when a job would start.
//! - [`admission`]: whether an arriving job is admitted or refused.
//! - [`shares`]: which jobs go before more urgent ones because too few of their kind are served.
//! - [`round`]: which jobs of a placement round may take room.
//! - [`retry`]: when refused callers retry.

pub mod admission;
pub mod backlog;
pub mod release;
pub mod retry;
pub mod round;
pub mod shares;

#[cfg(test)]
mod tests;
