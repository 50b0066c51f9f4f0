//! The `stackcourse` program.

use std::process::ExitCode;

mod commands;
mod failure;

fn main() -> ExitCode {
    let matches = commands::command().get_matches();
    match commands::run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => failure.report(),
    }
}
