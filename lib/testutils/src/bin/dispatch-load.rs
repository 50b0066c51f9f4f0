//! Goodput of the dispatch plane over load, on a virtual clock.

use std::time::Duration;

use clap::Arg;
use clap::Command;
use clap::value_parser;
use stackcourse_testutils::dispatch::load;
use stackcourse_testutils::dispatch::load::LoadPlan;

fn main() {
    let matches = Command::new("dispatch-load")
        .about("Plays the users' mix of jobs at shares of the workers' capacity")
        .arg(
            Arg::new("loads")
                .long("loads")
                .default_value("0.5,0.7,0.8,0.9,1.0,1.2,1.5,3.0")
                .help("Shares of the capacity"),
        )
        .arg(number("seconds", "10", "Virtual seconds of each run"))
        .arg(number("schedulers", "3", "Schedulers that share the load"))
        .arg(number("workers", "11", "Workers"))
        .arg(number("seed", "1", "The seed"))
        .arg(number(
            "late",
            "0",
            "Orders of a hundred that are carried out late",
        ))
        .get_matches();
    let value = |name: &str| *matches.get_one::<u64>(name).expect("it has a default");
    let loads = matches.get_one::<String>("loads").expect("a default");
    println!("load  goodput  in time, late, refused of each kind in percent");
    for load in loads.split(',').filter_map(|l| l.parse().ok()) {
        let report = load::run(LoadPlan {
            seed: value("seed"),
            load,
            span: Duration::from_secs(value("seconds")),
            schedulers: value("schedulers") as usize,
            workers: value("workers") as usize,
            late: value("late") as f64 / 100.0,
        });
        print!("{load:4.2}  {:7.3} ", report.goodput());
        for (kind, k) in load::KINDS.iter().zip(&report.kinds) {
            let share = |n: u64| 100.0 * n as f64 / k.offered.max(1) as f64;
            let (in_time, late, refused) = (share(k.in_time), share(k.late), share(k.refused));
            print!(" {}: {in_time:5.1} {late:5.1} {refused:5.1} ", kind.name);
        }
        println!("{}", report.violation.unwrap_or_default());
    }
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}
