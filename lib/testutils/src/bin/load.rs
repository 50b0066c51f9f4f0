//! `load`: sends a random workload to running entries on this machine and reports response times, outcomes and
//! violations.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;
use stackcourse_testutils::load;
use stackcourse_testutils::load::LoadPlan;
use stackcourse_testutils::load::LoadReport;
use stackcourse_testutils::workload;
use stackcourse_testutils::workload::WorkloadPlan;

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(f64))
            .help(help)
    };
    Command::new("load")
        .about("Sends jobs to entries at a given rate and reports their outcomes")
        .arg(
            Arg::new("entry")
                .long("entry")
                .value_name("IP:PORT")
                .required(true)
                .action(ArgAction::Append)
                .value_parser(value_parser!(SocketAddr))
                .help("An entry's HTTP address on this machine; may be repeated"),
        )
        .arg(
            Arg::new("service")
                .long("service")
                .action(ArgAction::Append)
                .default_value("quote")
                .help("A service; may be repeated, jobs are spread over all"),
        )
        .arg(number("rate", "50", "Tasks per second"))
        .arg(number("seconds", "20", "The time over which jobs arrive"))
        .arg(number("tasks", "3", "The mean number of tasks of a job"))
        .arg(number(
            "again",
            "0.02",
            "The share of jobs that are submitted twice",
        ))
        .arg(number(
            "slots",
            "80",
            "Slots of all permitted workers, from which the ideal is computed",
        ))
        .arg(number("seed", "1", "The seed of the workload"))
        .arg(number("deadline-ms", "20000", "The deadline of each job"))
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print JSON instead of a table"),
        )
}

fn main() {
    let matches = command().get_matches();
    let number = |name: &str| *matches.get_one::<f64>(name).expect("defaulted");
    let entries: Vec<SocketAddr> = matches
        .get_many("entry")
        .expect("required")
        .copied()
        .collect();
    if entries.iter().any(|e| !e.ip().is_loopback()) {
        eprintln!("error: load may only be sent to this machine");
        eprintln!("hint: use loopback addresses");
        std::process::exit(2);
    }
    let services = matches.get_many::<String>("service").expect("defaulted");
    let mut plan = WorkloadPlan::standard(number("seed") as u64, number("rate"), number("seconds"));
    plan.tasks = number("tasks").max(1.0);
    plan.again = number("again").clamp(0.0, 1.0);
    plan.deadline_ms = number("deadline-ms") as u64;
    plan.services = services.cloned().collect();
    let load = LoadPlan {
        entries,
        arrivals: workload::sample_arrivals(&plan),
        deadline_ms: plan.deadline_ms,
        client_delay: Duration::ZERO,
        retry: false,
    };
    let slots = number("slots") as usize;
    let (report, _) = actix_rt::System::new().block_on(load::run(&load, slots, Duration::ZERO));
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string(&report).unwrap_or_default());
    } else {
        print_table(&report);
    }
    std::process::exit(i32::from(!report.violations.is_empty()));
}

fn print_table(report: &LoadReport) {
    println!("jobs {}, tasks {}", report.jobs, report.tasks);
    let line = |name: &str, p: &load::Percentiles| {
        println!(
            "{name:28} p50 {:9.3}  p99 {:9.3}  p99.9 {:9.3}",
            p.p50, p.p99, p.p999
        );
    };
    line("response over ideal", &report.slowdown);
    line("  of an ideal single queue", &report.ideal);
    line("response, ms", &report.response_ms);
    line("refusals, ms", &report.refusal_ms);
    println!("goodput {:.3} of the offered work", report.goodput);
    for (outcome, count) in &report.outcomes {
        println!("{outcome:12} {count}");
    }
    for (kind, count) in &report.refusals {
        println!("  {kind:12} {count}");
    }
    println!("violations: {}", report.violations.len());
    for violation in &report.violations {
        println!("  {violation}");
    }
}
