//! `stackcourse dev`: everything in one process, without set-up.

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
use super::stop_signal;
use crate::failure::EXIT_FAILURE;
use crate::failure::Failure;

/// The command line.
pub fn command() -> Command {
    Command::new("dev")
        .about("Runs an entry, an agent and an echo back end in one process")
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_name("IP:PORT")
                .default_value("127.0.0.1:7070")
                .value_parser(value_parser!(SocketAddr))
                .help("Where callers are served"),
        )
}

/// Runs until it is asked to stop.
pub fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let listen = *matches.get_one::<SocketAddr>("listen").expect("defaulted");
    let _logger = logging::start("warn", LogFormat::Text).ok();
    block_on(async move {
        let handle = dev::start(listen, &Kernel::default()).map_err(|e| {
            let hint = "choose another address with --listen";
            Failure::of(&e, hint, EXIT_FAILURE)
        })?;
        handle.wait_until_ready().await;
        let at = handle.entry.http;
        println!("stackcourse dev: ready at http://{at}");
        println!("try: {}", example(at));
        stop_signal().await;
        handle.entry.leave().await;
        handle.agent.leave().await;
        Ok(())
    })
}

/// A `curl` command that works for as long as its job id is fresh.
fn example(at: SocketAddr) -> String {
    let job = JobId::mint(system_clock::unix_ms(), &rand_bytes());
    format!(
        "curl -s -X PUT http://{at}/v1/services/echo/jobs/{job} \
         -d '{{\"tasks\": [{{\"page\": 1}}, {{\"page\": 2}}], \"deadline_ms\": 2000}}'"
    )
}

fn rand_bytes() -> [u8; 10] {
    rand::random()
}
