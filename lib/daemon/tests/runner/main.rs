//! The daemons' integration tests.

mod test_log_sink;
mod test_sight;
