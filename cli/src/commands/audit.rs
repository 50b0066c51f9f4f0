//! `stackcourse audit`: lists the applied configuration versions with their authors, times and changes.

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use stackcourse_daemon::operator;
use stackcourse_daemon::operator::AuditLine;

use super::block_on;
use super::json_arg;
use super::open_store;
use super::store_arg;
use crate::failure::Failure;

/// Defines the command.
pub fn command() -> Command {
    Command::new("audit")
        .about("Lists the changes of the configuration, oldest first")
        .arg(
            Arg::new("since")
                .long("since")
                .value_name("VERSION")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("The first version to list"),
        )
        .arg(store_arg())
        .arg(json_arg())
}

/// Prints the audit trail.
pub fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let since = *matches.get_one::<u64>("since").expect("defaulted");
    let lines = block_on(async {
        let store = open_store(matches);
        operator::audit(&store, since).await
    })?;
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string(&lines).unwrap_or_default());
        return Ok(());
    }
    for line in &lines {
        print_line(line);
    }
    Ok(())
}

fn print_line(line: &AuditLine) {
    let from = line.version - 1;
    println!(
        "version {} from {from} at {} ms by {} (change {})",
        line.version, line.time_ms, line.author, line.change
    );
    if !line.chained {
        println!("  ! it does not contain the digest of version {from}");
    }
    for change in &line.diff {
        println!("  {change}");
    }
}
