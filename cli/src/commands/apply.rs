//! `stackcourse apply`: applies a configuration file as the next version, atomically.

use std::path::PathBuf;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use stackcourse_daemon::operator;

use super::block_on;
use super::file_arg;
use super::json_arg;
use super::open_store;
use super::read_file;
use super::store_arg;
use crate::failure::Failure;

/// Defines the command.
pub fn command() -> Command {
    Command::new("apply")
        .about("Applies a configuration file as the next version; safe to run again")
        .arg(file_arg())
        .arg(
            Arg::new("author")
                .long("author")
                .value_name("NAME")
                .help("The author of the version; default: the user's login name"),
        )
        .arg(
            Arg::new("base")
                .long("base")
                .value_name("VERSION")
                .value_parser(value_parser!(u64))
                .help("The version that this file is based on; a later version in the store is a conflict"),
        )
        .arg(store_arg())
        .arg(json_arg())
}

/// Applies the file and prints the changes.
pub fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let path = matches.get_one::<PathBuf>("file").expect("required");
    let (name, text) = read_file(path)?;
    let author = matches.get_one::<String>("author").cloned();
    let author = author.unwrap_or_else(login_name);
    let base = matches.get_one::<u64>("base").copied();
    let applied = block_on(async {
        let store = open_store(matches);
        operator::apply(&store, &name, &text, &author, base).await
    })?;
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string(&applied).unwrap_or_default());
        return Ok(());
    }
    if !applied.changed {
        println!("version {} already has this configuration", applied.version);
        return Ok(());
    }
    println!(
        "version {} applied by {author} (change {})",
        applied.version, applied.change
    );
    for line in applied.diff {
        println!("{line}");
    }
    Ok(())
}

fn login_name() -> String {
    let name = std::env::var("USER").or_else(|_| std::env::var("LOGNAME"));
    name.unwrap_or_else(|_| "unknown".to_owned())
}
