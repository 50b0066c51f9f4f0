//! The daemons' integration tests.

mod test_log_sink;
