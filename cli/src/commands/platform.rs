//! `stackcourse platform`: runs an entry or an agent on the users' platform.

use std::path::Path;

use clap::ArgMatches;
use clap::Command;
use serde::de::DeserializeOwned;
use stackcourse_platform::agent;
use stackcourse_platform::entry;
use stackcourse_platform::settings;
use stackcourse_platform::settings::SettingsError;

use super::block_on;
use super::wait_for_stop_signal;
use crate::failure::EXIT_FAILURE;
use crate::failure::EXIT_FINDINGS;
use crate::failure::Failure;

/// Defines the command.
pub fn command() -> Command {
    let entry = Command::new("entry").about("Accepts jobs from callers and schedules their tasks");
    let agent = Command::new("agent").about("Sends orders to the worker beside it");
    Command::new("platform")
        .about("Runs a role on the users' platform; the environment names the settings file")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(entry)
        .subcommand(agent)
}

/// Runs the role until the process is asked to stop, then leaves the fleet as planned.
pub fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let file = settings::settings_file().map_err(|e| settings_failure(&e))?;
    match matches.subcommand() {
        Some(("entry", _)) => {
            let settings = load_settings(&file)?;
            block_on(async { process_result(entry::run(&file, settings, wait_for_stop()).await) })
        }
        Some(("agent", _)) => {
            let settings = load_settings(&file)?;
            block_on(async { process_result(agent::run(&file, settings, wait_for_stop()).await) })
        }
        _ => unreachable!("clap requires a known role"),
    }
}

fn load_settings<T: DeserializeOwned>(file: &Path) -> Result<T, Failure> {
    settings::load(file).map_err(|e| settings_failure(&e))
}

fn settings_failure(error: &SettingsError) -> Failure {
    let code = match error {
        SettingsError::Malformed { .. } => EXIT_FINDINGS,
        SettingsError::NoFile | SettingsError::Unreadable { .. } => EXIT_FAILURE,
    };
    Failure::from_error(error, "the templates under deploy/ show its fields", code)
}

fn process_result(result: std::io::Result<()>) -> Result<(), Failure> {
    let hint = "another process may listen at the same addresses";
    result.map_err(|e| Failure::from_error(&e, hint, EXIT_FAILURE))
}

/// Waits until the process is asked to stop. SIGHUP must not end the process; it needs no other handling,
/// since the settings file is polled.
async fn wait_for_stop() {
    use actix_rt::signal::unix::SignalKind;
    use actix_rt::signal::unix::signal;
    let _hangups = signal(SignalKind::hangup());
    wait_for_stop_signal().await;
}
