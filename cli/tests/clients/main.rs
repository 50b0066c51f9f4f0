//! Tests of clients that don't behave, against real processes: crowds of them must not make a process end, hang or
//! hold more than its limits say, and ordinary callers must be served.
//!
//! The tests measure processes, so they run one at a time and in a runner of their own.

mod check;
mod test_answers;
mod test_bodies;
mod test_connections;
mod test_heads;
mod test_jobs;
mod test_links;
mod test_refusals;
mod test_v1;
