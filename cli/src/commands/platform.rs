//! `stackcourse platform`: the roles on the users' platform.

use std::path::Path;

use clap::ArgMatches;
use clap::Command;
use serde::de::DeserializeOwned;
use stackcourse_platform::agent;
use stackcourse_platform::entry;
use stackcourse_platform::settings;
use stackcourse_platform::settings::SettingsError;

use super::block_on;
use super::stop_signal;
use crate::failure::EXIT_FAILURE;
use crate::failure::EXIT_FINDINGS;
use crate::failure::Failure;

/// The command line.
pub fn command() -> Command {
    let entry = Command::new("entry").about("Takes jobs from callers and decides about them");
    let agent = Command::new("agent").about("Gives orders to the worker beside it");
    Command::new("platform")
        .about("Runs a role on the users' platform; the environment names the settings file")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(entry)
        .subcommand(agent)
}

/// Runs until it is asked to stop, then leaves as planned.
pub fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let file = settings::settings_file().map_err(|e| settings_failure(&e))?;
    match matches.subcommand() {
        Some(("entry", _)) => {
            let settings = load(&file)?;
            block_on(async { ended(entry::run(&file, settings, stop()).await) })
        }
        Some(("agent", _)) => {
            let settings = load(&file)?;
            block_on(async { ended(agent::run(&file, settings, stop()).await) })
        }
        _ => unreachable!("clap requires a known role"),
    }
}

fn load<T: DeserializeOwned>(file: &Path) -> Result<T, Failure> {
    settings::load(file).map_err(|e| settings_failure(&e))
}

fn settings_failure(error: &SettingsError) -> Failure {
    let code = match error {
        SettingsError::Malformed { .. } => EXIT_FINDINGS,
        SettingsError::NoFile | SettingsError::Unreadable { .. } => EXIT_FAILURE,
    };
    Failure::of(
        error,
        "the templates under deploy/ show what it holds",
        code,
    )
}

fn ended(result: std::io::Result<()>) -> Result<(), Failure> {
    let hint = "is another process on the same addresses?";
    result.map_err(|e| Failure::of(&e, hint, EXIT_FAILURE))
}

/// Ends when the process is asked to stop. A hangup is ignored: the settings file is looked at
/// all the time.
async fn stop() {
    use actix_rt::signal::unix::SignalKind;
    use actix_rt::signal::unix::signal;
    let _hangups = signal(SignalKind::hangup());
    stop_signal().await;
}
