//! The daemon crate's integration tests.

mod test_boot_clock;
mod test_channel;
mod test_consul;
mod test_division;
mod test_follow;
mod test_http_call;
mod test_log_sink;
mod test_sight;
