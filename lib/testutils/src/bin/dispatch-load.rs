//! `dispatch-load`: measures the dispatch plane's goodput at several loads, on a virtual clock and with any
//! policy. Prints one line for each load, over all seeds.

use std::process::ExitCode;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use serde_json::Value;
use stackcourse_lib::dispatch::policy::Policy;
use stackcourse_lib::findings::Findings;
use stackcourse_testutils::dispatch::load;
use stackcourse_testutils::dispatch::load::KindReport;
use stackcourse_testutils::dispatch::load::LoadFaults;
use stackcourse_testutils::dispatch::load::LoadPlan;
use stackcourse_testutils::dispatch::load::LoadReport;
use stackcourse_testutils::dispatch::load::WorkerVariation;

/// The share of the work done in time from which a window counts as recovered.
const RECOVERED_GOODPUT: f64 = 0.9;

fn main() -> ExitCode {
    let matches = command().get_matches();
    let policy = match parse_policy(&matches) {
        Ok(policy) => policy,
        Err(message) => {
            eprintln!("{message}");
            return ExitCode::FAILURE;
        }
    };
    let loads = matches.get_one::<String>("loads").expect("a default");
    println!("load  goodput (sd)  in time, late, refused of each kind in percent");
    for load in loads.split(',').filter_map(|l| l.parse().ok()) {
        let reports: Vec<LoadReport> = load_plans(&matches, load, policy).map(load::run).collect();
        print_line(load, &reports, value(&matches, "swing") > 0);
    }
    ExitCode::SUCCESS
}

fn command() -> Command {
    let load_skew = "By how many percent the first third of the schedulers gets more jobs; the last third gets as much less";
    let late = "Percentage of orders that are carried out late";
    let slow = "Workers that are five times slower in the middle half of the run";
    let mbit = "Network limit of two thirds of the schedulers' machines, in Mbit/s; 0 for none";
    let queues = "Queues of a configuration that is applied every second of the middle half";
    let crashing = "Jobs in a thousand of the middle half with a task that crashes workers";
    let crashing_kind =
        "The kind of the jobs that crash workers, from 1, in the printed order; 0 for all";
    let rack_share =
        "Percentage of the first kind's jobs whose data is in one rack, a sixth of the workers";
    let remote_factor = "Duration of a task outside its data's rack, in percent";
    let restarts = "Executors restarted in the middle half, one every 200 ms";
    Command::new("dispatch-load")
        .about("Simulates the users' mix of jobs at shares of the workers' capacity")
        .arg(
            Arg::new("loads")
                .long("loads")
                .default_value("0.5,0.7,0.8,0.9,1.0,1.2,1.5,3.0")
                .help("Loads to run, as shares of the capacity"),
        )
        .arg(number_arg("seconds", "10", "Virtual seconds of each run"))
        .arg(number_arg("schedulers", "3", "The number of schedulers"))
        .arg(number_arg("workers", "11", "The number of workers"))
        .arg(number_arg("swing", "0", load_skew))
        .arg(number_arg("seed", "1", "The first seed"))
        .arg(number_arg("seeds", "1", "The number of seeds"))
        .arg(number_arg("late", "0", late))
        .arg(number_arg("slow", "0", slow))
        .arg(number_arg("mbit", "0", mbit))
        .arg(number_arg("queues", "0", queues))
        .arg(number_arg("restarts", "0", restarts))
        .arg(
            Arg::new("bursts")
                .long("bursts")
                .default_value("0,0,0")
                .help("Factors of each kind's job rate in the middle half; 0 for no change"),
        )
        .arg(number_arg("crashing", "0", crashing))
        .arg(number_arg("crashing-kind", "0", crashing_kind))
        .arg(
            Arg::new("speeds")
                .long("speeds")
                .default_value("0.8,1.0,1.25")
                .help("Speeds that the workers have in turn; eight at most"),
        )
        .arg(number_arg("wanted", "0", rack_share))
        .arg(number_arg("remote", "100", remote_factor))
        .arg(
            Arg::new("set")
                .long("set")
                .value_name("SECTION.FIELD=VALUE")
                .action(ArgAction::Append)
                .help("Sets a field of the policy, as in docs/SETTINGS.md; may be repeated"),
        )
}

fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

fn value(matches: &ArgMatches, name: &str) -> u64 {
    *matches.get_one::<u64>(name).expect("it has a default")
}

/// Returns the policy with the fields of `--set`, or a message with everything that is wrong with them.
fn parse_policy(matches: &ArgMatches) -> Result<Policy, String> {
    let mut document = serde_json::json!({});
    for field in matches.get_many::<String>("set").into_iter().flatten() {
        let (name, text) = field
            .split_once('=')
            .ok_or(format!("{field}: `=` is missing"))?;
        let (section, key) = name
            .split_once('.')
            .ok_or(format!("{name}: `.` is missing"))?;
        let parsed = serde_json::from_str::<Value>(text);
        document[section][key] = parsed.map_err(|e| format!("{name}: {e}"))?;
    }
    let mut findings = Findings::new("--set");
    let policy = Policy::read(&document, &mut findings);
    let lines: Vec<String> = findings.into_list().iter().map(|f| f.to_string()).collect();
    if lines.is_empty() {
        Ok(policy)
    } else {
        Err(lines.join("\n"))
    }
}

fn worker_variation(matches: &ArgMatches) -> WorkerVariation {
    let list = matches.get_one::<String>("speeds").expect("a default");
    let speeds: Vec<f64> = list.split(',').filter_map(|s| s.parse().ok()).collect();
    let mut variation = WorkerVariation::of(&speeds);
    variation.rack_share = value(matches, "wanted") as f64 / 100.0;
    variation.remote_factor = value(matches, "remote") as f64 / 100.0;
    variation
}

fn load_plans(matches: &ArgMatches, load: f64, policy: Policy) -> impl Iterator<Item = LoadPlan> {
    let first = value(matches, "seed");
    let plan = LoadPlan {
        seed: first,
        load,
        span: Duration::from_secs(value(matches, "seconds")),
        schedulers: value(matches, "schedulers") as usize,
        workers: value(matches, "workers") as usize,
        load_skew: value(matches, "swing") as f64 / 100.0,
        late: value(matches, "late") as f64 / 100.0,
        slow: value(matches, "slow") as usize,
        variation: worker_variation(matches),
        faults: LoadFaults {
            link_mbit: value(matches, "mbit"),
            queues: value(matches, "queues") as usize,
            restarts: value(matches, "restarts") as usize,
            crashing: value(matches, "crashing") as f64 / 1000.0,
            crashing_kind: value(matches, "crashing-kind")
                .checked_sub(1)
                .map(|k| k as usize),
            bursts: parse_bursts(matches),
        },
        policy,
    };
    let seeds = first..first + value(matches, "seeds").max(1);
    seeds.map(move |seed| LoadPlan { seed, ..plan })
}

/// Returns the factors of `--bursts`; missing ones are 0.
fn parse_bursts(matches: &ArgMatches) -> [f64; 3] {
    let text = matches.get_one::<String>("bursts").expect("a default");
    let mut bursts = [0.0; 3];
    let factors = text.split(',').filter_map(|f| f.parse().ok());
    bursts.iter_mut().zip(factors).for_each(|(b, f)| *b = f);
    bursts
}

fn print_line(load: f64, reports: &[LoadReport], load_skew: bool) {
    let count = reports.len() as f64;
    let mean = reports.iter().map(LoadReport::goodput).sum::<f64>() / count;
    let squares = reports.iter().map(|r| (r.goodput() - mean).powi(2));
    let deviation = (squares.sum::<f64>() / count).sqrt();
    print!("{load:4.2}  {mean:7.3} ({deviation:.3}) ");
    for (number, kind) in load::KINDS.iter().enumerate() {
        let kinds: Vec<KindReport> = reports.iter().map(|r| r.kinds[number]).collect();
        let offered: u64 = kinds.iter().map(|k| k.offered).sum();
        let share = |of: fn(&KindReport) -> u64| {
            let sum: u64 = kinds.iter().map(of).sum();
            100.0 * sum as f64 / offered.max(1) as f64
        };
        let (in_time, late) = (share(|k| k.in_time), share(|k| k.late));
        let refused = share(|k| k.refused);
        print!(" {}: {in_time:5.1} {late:5.1} {refused:5.1} ", kind.name);
    }
    let under_faults: f64 = reports.iter().map(LoadReport::goodput_under_faults).sum();
    let recovery = reports
        .iter()
        .map(|r| r.recovery_time(RECOVERED_GOODPUT))
        .max();
    let recovery = recovery.unwrap_or_default().as_secs_f64();
    print!(
        " middle half: {:5.3}, recovered after {recovery:.1} s ",
        under_faults / count
    );
    if load_skew {
        let share = |n: usize| {
            reports
                .iter()
                .map(|r| r.thirds[n].1 / r.thirds[n].0)
                .sum::<f64>()
                / count
        };
        print!(" thirds: {:.3} {:.3} {:.3} ", share(0), share(1), share(2));
    }
    let crashes: u64 = reports.iter().map(|r| r.crashes).sum();
    let wrongly_failed: u64 = reports.iter().map(|r| r.wrongly_failed).sum();
    if crashes > 0 {
        print!(" {crashes} crashes, {wrongly_failed} jobs wrongly failed ");
    }
    let violation = reports.iter().find_map(|r| r.violation.clone());
    println!("{}", violation.unwrap_or_default());
}
