//! `stackcourse agent`: runs an agent beside a backend server with a settings file.

use std::path::PathBuf;

use clap::ArgMatches;
use clap::Command;
use stackcourse_daemon::agent_process;
use stackcourse_daemon::kernel::Kernel;
use stackcourse_daemon::logging;
use stackcourse_daemon::settings::AgentSettings;
use stackcourse_daemon::settings::Settings;

use super::block_on;
use super::settings_arg;
use super::wait_for_stop_signal;
use crate::failure::EXIT_FAILURE;
use crate::failure::Failure;

/// Defines the command.
pub fn command() -> Command {
    Command::new("agent")
        .about("Runs an agent: starts tasks at the backend server beside it")
        .arg(settings_arg())
}

/// Runs until the process is asked to stop, then leaves the cluster as planned.
pub fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let path = matches.get_one::<PathBuf>("settings").expect("required");
    let settings = AgentSettings::load(path)?;
    let _logger = logging::start(&settings.log.level, settings.log.format).ok();
    block_on(async move {
        let name = settings.setup.name.clone();
        let started = agent_process::start(settings, &Kernel::default());
        let handle = started.map_err(|e| Failure::from_error(&e, "", EXIT_FAILURE))?;
        println!("stackcourse agent: {name} started");
        wait_for_stop_signal().await;
        handle.leave().await;
        Ok(())
    })
}
