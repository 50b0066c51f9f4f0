//! `platform-soak`: runs soak tests of the real processes under random faults, one for each seed. Fails if a
//! seed violates a guarantee or does not recover.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;
use stackcourse_testutils::platform::soak;
use stackcourse_testutils::platform::soak::SoakPlan;

fn main() -> ExitCode {
    let matches = Command::new("platform-soak")
        .about("Runs the real processes on a simulated platform under random faults")
        .arg(
            Arg::new("binary")
                .long("binary")
                .default_value("target/release/stackcourse")
                .value_parser(value_parser!(PathBuf))
                .help("The stackcourse binary"),
        )
        .arg(number("from", "1", "The first seed"))
        .arg(number("seeds", "50", "The number of seeds"))
        .arg(number("span", "8", "Seconds with faults for each seed"))
        .arg(
            Arg::new("divided")
                .long("divided")
                .action(ArgAction::SetTrue)
                .help("Divide the fleet into partitions: at least 4 entries and 4 agents"),
        )
        .arg(
            Arg::new("crowds")
                .long("crowds")
                .action(ArgAction::SetTrue)
                .help("Add crowds of clients that don't behave"),
        )
        .arg(number("entries", "3", "The number of entries, 20 at most"))
        .arg(number("agents", "4", "The number of agents, 200 at most"))
        .arg(
            Arg::new("keep")
                .long("keep")
                .default_value("target/soak")
                .value_parser(value_parser!(PathBuf))
                .help("The directory for the logs and the timeline of a seed that fails"),
        )
        .get_matches();
    let value = |name: &str| *matches.get_one::<u64>(name).expect("it has a default");
    let binary = matches.get_one::<PathBuf>("binary").expect("a default");
    let span = Duration::from_secs(value("span"));
    let mut failed = 0;
    for seed in value("from")..value("from") + value("seeds") {
        let plan = SoakPlan {
            entries: value("entries") as usize,
            agents: value("agents") as usize,
            partitioned: matches.get_flag("divided"),
            crowds: matches.get_flag("crowds"),
            log_dir: matches.get_one::<PathBuf>("keep").cloned(),
            ..SoakPlan::small(seed, span)
        };
        let report = actix_rt::System::new().block_on(soak::run(binary, &plan));
        if !report.is_good() {
            failed += 1;
        }
        println!("seed {seed}: {report:?}");
    }
    println!("{failed} seeds violated a guarantee or did not recover");
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}
