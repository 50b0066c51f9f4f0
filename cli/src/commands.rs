//! The program's commands, one module each, and what they share: arguments, the store, and the stop signal.

mod agent;
mod apply;
mod audit;
mod check;
mod dev;
mod entry;
mod platform;
mod schema;
mod status;

use std::path::PathBuf;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use stackcourse_daemon::consul::ConsulStore;

use crate::failure::EXIT_CODES;
use crate::failure::Failure;

/// Defines the program with all its commands.
pub fn command() -> Command {
    Command::new("stackcourse")
        .about("Dispatches sub-second tasks to backend servers, each at most once")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(EXIT_CODES)
        .subcommand(dev::command())
        .subcommand(entry::command())
        .subcommand(agent::command())
        .subcommand(check::command())
        .subcommand(apply::command())
        .subcommand(audit::command())
        .subcommand(status::command())
        .subcommand(schema::command())
        .subcommand(platform::command())
}

/// Runs the command of the parsed arguments.
pub fn run(matches: &ArgMatches) -> Result<(), Failure> {
    match matches.subcommand() {
        Some(("dev", m)) => dev::run(m),
        Some(("entry", m)) => entry::run(m),
        Some(("agent", m)) => agent::run(m),
        Some(("check", m)) => check::run(m),
        Some(("apply", m)) => apply::run(m),
        Some(("audit", m)) => audit::run(m),
        Some(("status", m)) => status::run(m),
        Some(("schema", m)) => schema::run(m),
        Some(("platform", m)) => platform::run(m),
        _ => unreachable!("clap requires a known command"),
    }
}

fn settings_arg() -> Arg {
    Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The settings file, JSON; docs/SETTINGS.md lists its fields")
}

fn store_arg() -> Arg {
    Arg::new("store")
        .long("store")
        .value_name("URL")
        .env_or("http://127.0.0.1:8500")
        .help("The base URL of the platform's store")
}

fn json_arg() -> Arg {
    Arg::new("json")
        .long("json")
        .action(clap::ArgAction::SetTrue)
        .help("Print JSON instead of text")
}

fn file_arg() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The configuration file, JSON")
}

fn open_store(matches: &ArgMatches) -> ConsulStore {
    let url = matches.get_one::<String>("store");
    ConsulStore::new(url.map_or("", String::as_str))
}

fn read_file(path: &PathBuf) -> Result<(String, Vec<u8>), Failure> {
    let name = path.display().to_string();
    match std::fs::read(path) {
        Ok(text) => Ok((name, text)),
        Err(e) => Err(Failure::new(
            format!("{name} can't be read: {e}"),
            "",
            crate::failure::EXIT_FAILURE,
        )),
    }
}

/// Adds a default from the environment to an argument.
trait EnvOr {
    /// Sets the argument's default to the value of `STACKCOURSE_STORE`, or else to `default`.
    fn env_or(self, default: &'static str) -> Arg;
}

impl EnvOr for Arg {
    fn env_or(self, default: &'static str) -> Arg {
        let value = std::env::var("STACKCOURSE_STORE").ok();
        self.default_value(value.unwrap_or_else(|| default.to_owned()))
    }
}

/// Runs a future on a new actix system and returns its output.
fn block_on<T>(future: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(future)
}

/// Waits for SIGTERM or SIGINT. Waits forever if a handler can't be installed.
async fn wait_for_stop_signal() {
    use actix_rt::signal::unix::SignalKind;
    use actix_rt::signal::unix::signal;
    let term = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    let (Ok(mut term), Ok(mut interrupt)) = (term, interrupt) else {
        return std::future::pending().await;
    };
    let term = term.recv();
    let interrupt = interrupt.recv();
    futures::future::select(Box::pin(term), Box::pin(interrupt)).await;
}
