//! `random-run`: runs the state machines under random faults, one run for each seed. Exits with 1 at the first
//! violation of a guarantee and with 2 if some seed did not recover.

use std::time::Duration;

use clap::Arg;
use clap::Command;
use clap::value_parser;
use stackcourse_lib::start_record::DisabledCheck;
use stackcourse_testutils::random_run;
use stackcourse_testutils::random_run::ClockFaults;
use stackcourse_testutils::random_run::RunPlan;

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(u64))
            .help(help)
    };
    Command::new("random-run")
        .about("Runs the state machines under random faults until a guarantee is violated")
        .arg(number("first", "1", "The first seed"))
        .arg(number("seeds", "100", "The number of seeds"))
        .arg(number(
            "seconds",
            "60",
            "Virtual seconds with faults, for each seed",
        ))
        .arg(
            Arg::new("break")
                .long("break")
                .value_parser(["nothing", "fence", "seal", "horizon"])
                .default_value("nothing")
                .help("The check to disable, to see how soon the runs detect it"),
        )
        .arg(
            Arg::new("clocks")
                .long("clocks")
                .value_parser(["right", "running", "always"])
                .default_value("right")
                .help("When the clocks of boxes are set forward and back"),
        )
}

fn main() {
    let matches = command().get_matches();
    let number = |name: &str| *matches.get_one::<u64>(name).expect("it has a default");
    let broken = match matches.get_one::<String>("break").map(String::as_str) {
        Some("fence") => DisabledCheck::Fence,
        Some("seal") => DisabledCheck::Seal,
        Some("horizon") => DisabledCheck::Horizon,
        _ => DisabledCheck::Nothing,
    };
    let clocks = match matches.get_one::<String>("clocks").map(String::as_str) {
        Some("running") => ClockFaults::Running,
        Some("always") => ClockFaults::Always,
        _ => ClockFaults::None,
    };
    let mut steps = 0;
    let mut starts = 0;
    let mut outcomes = [0; 5];
    let mut stuck = 0;
    let mut rejected_mint_times = 0;
    let first = number("first");
    for seed in first..first + number("seeds") {
        let span = Duration::from_secs(number("seconds"));
        let report = random_run::run(RunPlan {
            seed,
            span,
            broken,
            clocks,
        });
        steps += report.steps;
        starts += report.starts;
        for (sum, n) in outcomes.iter_mut().zip(report.outcomes) {
            *sum += n;
        }
        if let Some(violation) = report.violation {
            println!("seed {seed}: {violation}; {steps} steps so far");
            std::process::exit(1);
        }
        if report.rejected_mint_times > 0 {
            println!(
                "seed {seed}: {} jobs refused because of their id's creation time",
                report.rejected_mint_times
            );
        }
        rejected_mint_times += report.rejected_mint_times;
        if !report.recovered {
            stuck += 1;
            println!("seed {seed}: jobs were not served again after the faults had ended");
        }
    }
    println!("{steps} steps, {starts} starts, no violation, {stuck} runs did not recover");
    println!(
        "{rejected_mint_times} jobs refused because of their id's creation time after the faults had ended"
    );
    let [other, complete, failed, not_run, unknown] = outcomes;
    println!(
        "outcomes: {complete} complete, {failed} failed, {not_run} not_run, {unknown} unknown, \
         {other} other"
    );
    std::process::exit(i32::from(stuck > 0) * 2);
}
