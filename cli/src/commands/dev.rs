//! `stackcourse dev`: runs an entry, an agent and an echo backend server in one process, without settings.

use std::net::SocketAddr;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use stackcourse_daemon::dev;
use stackcourse_daemon::kernel::Kernel;
use stackcourse_daemon::logging;
use stackcourse_daemon::logging::LogFormat;
use stackcourse_daemon::system_clock;
use stackcourse_lib::job_id::JobId;

use super::block_on;
use super::wait_for_stop_signal;
use crate::failure::EXIT_FAILURE;
use crate::failure::Failure;

/// Defines the command.
pub fn command() -> Command {
    Command::new("dev")
        .about("Runs an entry, an agent and an echo backend server in one process")
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_name("IP:PORT")
                .default_value("127.0.0.1:7070")
                .value_parser(value_parser!(SocketAddr))
                .help("The address to serve callers at"),
        )
}

/// Runs until the process is asked to stop.
pub fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let listen = *matches.get_one::<SocketAddr>("listen").expect("defaulted");
    let _logger = logging::start("warn", LogFormat::Text).ok();
    block_on(async move {
        let handle = dev::start(listen, &Kernel::default()).map_err(|e| {
            let hint = "choose another address with --listen";
            Failure::from_error(&e, hint, EXIT_FAILURE)
        })?;
        handle.wait_until_ready().await;
        let at = handle.entry.http;
        println!("stackcourse dev: ready at http://{at}");
        println!("try: {}", example_command(at));
        wait_for_stop_signal().await;
        handle.entry.leave().await;
        handle.agent.leave().await;
        Ok(())
    })
}

/// Returns a `curl` command, which works as long as entries accept its job id's creation time.
fn example_command(at: SocketAddr) -> String {
    let job = JobId::mint(system_clock::unix_ms(), &random_bytes());
    format!(
        "curl -s -X PUT http://{at}/v1/services/echo/jobs/{job} \
         -d '{{\"tasks\": [{{\"page\": 1}}, {{\"page\": 2}}], \"deadline_ms\": 2000}}'"
    )
}

fn random_bytes() -> [u8; 10] {
    rand::random()
}
