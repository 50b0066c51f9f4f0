//! `dispatch-run`: runs schedulers and executors on a virtual clock under random faults, one run for each
//! seed. Fails if a seed violates a guarantee or does not recover.

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
        .about("Runs schedulers and executors on a virtual clock under random faults")
        .arg(number_arg("from", "1", "The first seed"))
        .arg(number_arg("seeds", "100", "The number of seeds"))
        .arg(number_arg(
            "span",
            "40",
            "Virtual seconds with faults for each seed",
        ))
        .arg(number_arg(
            "cell",
            "0",
            "Executors in the cell of each scheduler; 0 for all five",
        ))
        .arg(
            Arg::new("losses")
                .long("losses")
                .action(ArgAction::SetTrue)
                .help("Also kill all schedulers, all executors or all processes at once"),
        )
        .arg(
            Arg::new("crashing")
                .long("crashing")
                .action(ArgAction::SetTrue)
                .help("Also submit jobs with a task that crashes workers"),
        )
        .arg(
            Arg::new("resizing")
                .long("resizing")
                .action(ArgAction::SetTrue)
                .help("Also change the workers' capacity while they run"),
        )
        .arg(
            Arg::new("evacuating")
                .long("evacuating")
                .action(ArgAction::SetTrue)
                .help("Also evacuate availability zones while the store rejects some schedulers"),
        )
        .arg(
            Arg::new("leaving")
                .long("leaving")
                .action(ArgAction::SetTrue)
                .help("Also stop schedulers as planned, and restart them"),
        )
        .arg(
            Arg::new("departing")
                .long("departing")
                .action(ArgAction::SetTrue)
                .help("Also stop executors as planned, and restart them"),
        )
        .arg(
            Arg::new("doubled")
                .long("doubled")
                .action(ArgAction::SetTrue)
                .help("Also give schedulers duplicate links, and break single links"),
        )
        .arg(
            Arg::new("recovering")
                .long("recovering")
                .action(ArgAction::SetTrue)
                .help("Let restarted schedulers serve early, while the store rejects some of them"),
        )
        .arg(
            Arg::new("preempting")
                .long("preempting")
                .action(ArgAction::SetTrue)
                .help("Submit jobs of three priorities and let urgent ones preempt others"),
        )
        .arg(
            Arg::new("balance")
                .long("balance")
                .action(ArgAction::SetTrue)
                .help("Let schedulers hand waiting jobs off to less loaded ones"),
        )
        .arg(
            Arg::new("isolating")
                .long("isolating")
                .action(ArgAction::SetTrue)
                .help("Also cut executors off from all schedulers while orders to their workers are late"),
        )
        .arg(
            Arg::new("cancelling")
                .long("cancelling")
                .action(ArgAction::SetTrue)
                .help("Also cancel jobs, some at other schedulers than they were submitted at"),
        )
        .arg(
            Arg::new("reborn")
                .long("reborn")
                .action(ArgAction::SetTrue)
                .help("Let crashed workers restart under the same id"),
        )
        .arg(
            Arg::new("restarting")
                .long("restarting")
                .action(ArgAction::SetTrue)
                .help("Also restart workers at once under the same id, some cut off right then"),
        )
        .arg(
            Arg::new("suspend")
                .long("suspend")
                .value_parser(["counted", "uncounted"])
                .help("Also suspend machines, with clocks that count the suspended time or don't"),
        )
        .arg(
            Arg::new("trace")
                .long("trace")
                .action(ArgAction::SetTrue)
                .help("Print all events"),
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
    let mut failed = 0;
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
            restarting: matches.get_flag("restarting"),
            preempting: matches.get_flag("preempting"),
            balance: matches.get_flag("balance"),
            isolating: matches.get_flag("isolating"),
            cancelling: matches.get_flag("cancelling"),
            suspensions,
            trace,
        });
        steps += report.steps;
        starts += report.starts;
        preempted += report.preempted;
        if report.violation.is_some() || report.recovered < run::RECOVERED {
            failed += 1;
            println!("seed {seed}: {report:?}");
        }
    }
    if preempted > 0 {
        println!("{preempted} runs preempted");
    }
    println!(
        "{steps} steps, {starts} starts, {failed} seeds violated a guarantee or did not recover"
    );
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}
