//! The binary's integration tests, in one runner so that they are linked once.

mod test_clock;
mod test_cluster;
mod test_commands;
mod test_dev_command;
mod test_failures;
mod test_platform;
mod test_platform_leaving;
mod test_platform_odd_entries;
