//! `stackcourse check`: reports all findings in a configuration file, and the changes that it would make.

use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use stackcourse_daemon::operator;
use stackcourse_lib::configuration::Configuration;

use super::block_on;
use super::file_arg;
use super::open_store;
use super::read_file;
use super::store_arg;
use crate::failure::Failure;

/// Defines the command.
pub fn command() -> Command {
    Command::new("check")
        .about("Reports all findings in a configuration file")
        .arg(file_arg())
        .arg(
            Arg::new("diff")
                .long("diff")
                .action(ArgAction::SetTrue)
                .help("Also print the changes against the store's newest version"),
        )
        .arg(store_arg())
}

/// Checks the file and prints the result.
pub fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let path = matches.get_one::<PathBuf>("file").expect("required");
    let (name, text) = read_file(path)?;
    let parsed = Configuration::parse(&name, &text).map_err(|l| Failure::findings(&l))?;
    let (services, teams) = (parsed.services.len(), parsed.teams.len());
    println!("{name}: {services} services, {teams} teams, no findings");
    if !matches.get_flag("diff") {
        return Ok(());
    }
    let (version, diff) = block_on(async {
        let store = open_store(matches);
        operator::preview(&store, &name, &text).await
    })?;
    println!("against version {version}: {} changes", diff.len());
    for line in diff {
        println!("{line}");
    }
    Ok(())
}
