//! `stackcourse entry`: runs an entry with a settings file.

use std::path::PathBuf;

use clap::ArgMatches;
use clap::Command;
use stackcourse_daemon::consul::ConsulStore;
use stackcourse_daemon::entry_process;
use stackcourse_daemon::kernel::Kernel;
use stackcourse_daemon::logging;
use stackcourse_daemon::settings::EntrySettings;
use stackcourse_daemon::settings::Settings;
use stackcourse_daemon::store::AnyStore;

use super::block_on;
use super::settings_arg;
use super::wait_for_stop_signal;
use crate::failure::EXIT_FAILURE;
use crate::failure::Failure;

/// Defines the command.
pub fn command() -> Command {
    Command::new("entry")
        .about("Runs an entry: accepts jobs, owns shards, places tasks")
        .arg(settings_arg())
}

/// Runs until the process is asked to stop, then leaves the cluster as planned.
pub fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let path = matches.get_one::<PathBuf>("settings").expect("required");
    let settings = EntrySettings::load(path)?;
    let _logger = logging::start(&settings.log.level, settings.log.format).ok();
    block_on(async move {
        let store = AnyStore::Consul(ConsulStore::new(&settings.store));
        let started = entry_process::start(settings, store, &Kernel::default());
        let handle = started.map_err(|e| {
            let hint = "another process may listen at the same address";
            Failure::from_error(&e, hint, EXIT_FAILURE)
        })?;
        println!("stackcourse entry: ready at http://{}", handle.http);
        wait_for_stop_signal().await;
        handle.leave().await;
        Ok(())
    })
}
