//! Randomised runs of the dispatch plane, by seeds.

use std::process::ExitCode;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;
use stackcourse_testutils::dispatch::run;
use stackcourse_testutils::dispatch::run::RunPlan;
use stackcourse_testutils::dispatch::run::Suspensions;

fn main() -> ExitCode {
    let matches = Command::new("dispatch-run")
        .about("Runs schedulers and executors on a virtual clock under drawn faults")
        .arg(number("from", "1", "The first seed"))
        .arg(number("seeds", "100", "How many seeds"))
        .arg(number(
            "span",
            "40",
            "Virtual seconds with faults in each run",
        ))
        .arg(number(
            "cell",
            "0",
            "Executors at which a scheduler places tasks; 0 for all five",
        ))
        .arg(
            Arg::new("losses")
                .long("losses")
                .action(ArgAction::SetTrue)
                .help("Also kill all schedulers, all executors or everybody at once"),
        )
        .arg(
            Arg::new("crashing")
                .long("crashing")
                .action(ArgAction::SetTrue)
                .help("Also hand in jobs with a task that takes workers down"),
        )
        .arg(
            Arg::new("resizing")
                .long("resizing")
                .action(ArgAction::SetTrue)
                .help("Also let workers' rooms shrink and grow while they run"),
        )
        .arg(
            Arg::new("evacuating")
                .long("evacuating")
                .action(ArgAction::SetTrue)
                .help(
                    "Also evacuate availability zones while the store turns some schedulers away",
                ),
        )
        .arg(
            Arg::new("leaving")
                .long("leaving")
                .action(ArgAction::SetTrue)
                .help("Also ask schedulers to leave, and start them again"),
        )
        .arg(
            Arg::new("departing")
                .long("departing")
                .action(ArgAction::SetTrue)
                .help("Also ask executors to leave, and start them again"),
        )
        .arg(
            Arg::new("doubled")
                .long("doubled")
                .action(ArgAction::SetTrue)
                .help("Also link schedulers twice, and break single links"),
        )
        .arg(
            Arg::new("recovering")
                .long("recovering")
                .action(ArgAction::SetTrue)
                .help("Let schedulers that have just started serve early, while the store turns some away"),
        )
        .arg(
            Arg::new("preempting")
                .long("preempting")
                .action(ArgAction::SetTrue)
                .help("Let urgent jobs stop the runs of others; jobs are of three priorities"),
        )
        .arg(
            Arg::new("balance")
                .long("balance")
                .action(ArgAction::SetTrue)
                .help("Let schedulers hand jobs that wait to others at which less waits"),
        )
        .arg(
            Arg::new("reborn")
                .long("reborn")
                .action(ArgAction::SetTrue)
                .help("Let workers that have crashed come up under the id that they had"),
        )
        .arg(
            Arg::new("suspend")
                .long("suspend")
                .value_parser(["counted", "uncounted"])
                .help("Also suspend machines; whether clocks count the time"),
        )
        .arg(
            Arg::new("trace")
                .long("trace")
                .action(ArgAction::SetTrue)
                .help("Print what happens"),
        )
        .get_matches();
    let value = |name: &str| *matches.get_one::<u64>(name).expect("it has a default");
    let span = Duration::from_secs(value("span"));
    let trace = matches.get_flag("trace");
    let losses = matches.get_flag("losses");
    let suspensions = match matches.get_one::<String>("suspend").map(String::as_str) {
        Some("counted") => Suspensions::Counted,
        Some(_) => Suspensions::Uncounted,
        None => Suspensions::None,
    };
    let mut broken = 0;
    let mut steps = 0;
    let mut starts = 0;
    let mut preempted = 0;
    for seed in value("from")..value("from") + value("seeds") {
        let report = run::run_plan(RunPlan {
            seed,
            span,
            losses,
            cell: value("cell") as u32,
            crashing: matches.get_flag("crashing"),
            resizing: matches.get_flag("resizing"),
            evacuating: matches.get_flag("evacuating"),
            leaving: matches.get_flag("leaving"),
            departing: matches.get_flag("departing"),
            duplicate_links: matches.get_flag("doubled"),
            recovering: matches.get_flag("recovering"),
            reuse_ids: matches.get_flag("reborn"),
            preempting: matches.get_flag("preempting"),
            balance: matches.get_flag("balance"),
            suspensions,
            trace,
        });
        steps += report.steps;
        starts += report.starts;
        preempted += report.preempted;
        if report.violation.is_some() || report.recovered < run::RECOVERED {
            broken += 1;
            println!("seed {seed}: {report:?}");
        }
    }
    if preempted > 0 {
        println!("{preempted} runs stopped for more urgent tasks");
    }
    println!("{steps} steps, {starts} starts, {broken} seeds with a broken promise");
    if broken == 0 {
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
