//! `rest-fleet`: runs a fleet of real processes without any job and prints what its processes take meanwhile.

use std::path::PathBuf;
use std::time::Duration;

use clap::Arg;
use clap::Command;
use clap::value_parser;
use stackcourse_testutils::platform::fleet::Fleet;
use stackcourse_testutils::platform::machine::Machine;

fn main() {
    let matches = Command::new("rest-fleet")
        .about("Measures the processor time of a fleet of real processes at rest")
        .arg(
            Arg::new("binary")
                .long("binary")
                .default_value("target/release/stackcourse")
                .value_parser(value_parser!(PathBuf))
                .help("The stackcourse binary"),
        )
        .arg(number("entries", "20", "The number of entries, 20 at most"))
        .arg(number("agents", "60", "The number of agents, 200 at most"))
        .arg(number(
            "settle",
            "5",
            "Seconds between the start and the measurement",
        ))
        .arg(number("span", "20", "Seconds of the measurement"))
        .get_matches();
    let value = |name: &str| *matches.get_one::<u64>(name).expect("it has a default");
    let binary = matches.get_one::<PathBuf>("binary").expect("a default");
    let (entries, agents) = (value("entries") as usize, value("agents") as usize);
    let (settle, span) = (value("settle"), value("span"));
    actix_rt::System::new().block_on(async {
        let fleet = Fleet::start(binary, entries, agents).await;
        actix_rt::time::sleep(Duration::from_secs(settle)).await;
        let before = [times(&fleet.entries), times(&fleet.agents)];
        actix_rt::time::sleep(Duration::from_secs(span)).await;
        print("entry", &before[0], &times(&fleet.entries), span);
        print("agent", &before[1], &times(&fleet.agents), span);
    });
}

/// Returns the processor time of each machine's process in user and kernel mode.
fn times(machines: &[Machine]) -> Vec<[Duration; 2]> {
    machines.iter().map(|m| m.info().cpu_split()).collect()
}

/// Prints the mean processor time of a role's processes in a second.
fn print(role: &str, before: &[[Duration; 2]], after: &[[Duration; 2]], span: u64) {
    let mean = |mode: usize| {
        let spent = before.iter().zip(after).map(|(b, a)| a[mode] - b[mode]);
        let spent: Duration = spent.sum();
        spent.as_secs_f64() * 1000.0 / (before.len() as u64 * span) as f64
    };
    let (user, system) = (mean(0), mean(1));
    let total = user + system;
    println!(
        "{role}: {total:.2} ms a second, {user:.2} in its own code, {system:.2} in the kernel"
    );
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}
