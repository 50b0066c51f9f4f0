//! Decisions about jobs that compete for too little room, apart from input and output.
//!
//! Load pattern: for seconds at a time more work comes than there is room for, often of one queue only, and at some
//! schedulers more than at others. A scheduler that knows only its own jobs gives room to patient work while urgent
//! work waits beside it, and keeps jobs waiting that can't be reached before their time has passed.
//!
//! - [`backlog`]: what waits, by priority, here and at peers.
//! - [`drain`]: how fast room comes free, and so when a job would start.
//! - [`arrival`]: whether a job is taken or turned away as it comes.
//! - [`shares`]: which jobs go before more urgent ones because too few of their kind are served.
//! - [`round`]: which jobs of a round of placing may take room.
//! - [`returning`]: when callers that were turned away come back.

pub mod arrival;
pub mod backlog;
pub mod drain;
pub mod returning;
pub mod round;
pub mod shares;

#[cfg(test)]
mod tests;
