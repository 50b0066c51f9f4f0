//! The library's integration tests.

mod test_events;
mod test_executor;
mod test_scheduler;
