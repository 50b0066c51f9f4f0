//! `stackcourse schema`: prints the JSON schema of a configuration file.

use clap::ArgMatches;
use clap::Command;
use stackcourse_lib::configuration::Configuration;

use crate::failure::Failure;

/// Defines the command.
pub fn command() -> Command {
    Command::new("schema").about("Prints the JSON schema of a configuration file")
}

/// Prints the schema.
pub fn run(_: &ArgMatches) -> Result<(), Failure> {
    let schema = Configuration::schema();
    println!(
        "{}",
        serde_json::to_string_pretty(&schema).unwrap_or_default()
    );
    Ok(())
}
