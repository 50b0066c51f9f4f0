//! `bench`: measures clusters of real processes on this machine and prints the tables of
//! `docs/MEASUREMENTS.md`.
//!
//! Needs the release build of the whole workspace: it runs the `stackcourse` binary from its own directory.

use std::path::PathBuf;
use std::time::Duration;

use clap::Arg;
use clap::Command;
use clap::value_parser;
use nix::sys::signal::Signal;
use serde_json::json;
use stackcourse_testutils::cluster::Cluster;
use stackcourse_testutils::cluster::ClusterPlan;
use stackcourse_testutils::load;
use stackcourse_testutils::load::LoadLog;
use stackcourse_testutils::load::LoadPlan;
use stackcourse_testutils::load::LoadReport;
use stackcourse_testutils::stub_backend::BackendFaults;
use stackcourse_testutils::workload;
use stackcourse_testutils::workload::WorkloadPlan;

/// The number of workers of each cluster.
const WORKERS: usize = 10;
/// The slots of each worker.
const SLOTS: u32 = 8;
/// The one-way network delay between processes.
const LINK_DELAY: Duration = Duration::from_micros(500);
/// The one-way network delay between callers and entries.
const CLIENT_DELAY: Duration = Duration::from_millis(3);
/// The network delay of a job on an idle system: from the caller over the entry to the agent and back.
const JOB_DELAY: Duration = Duration::from_millis(7);

fn main() {
    let names = [
        "policies", "burst", "favour", "slow", "loss", "takeover", "single",
    ];
    let matches = Command::new("bench")
        .about("Measures a cluster of real processes on this machine")
        .arg(Arg::new("what").required(true).value_parser(names))
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .default_value("30")
                .value_parser(value_parser!(u64))
                .help("The time over which jobs arrive in each run"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .default_value("1")
                .value_parser(value_parser!(u64)),
        )
        .get_matches();
    let seconds = *matches.get_one::<u64>("seconds").expect("it has a default");
    let seed = *matches.get_one::<u64>("seed").expect("it has a default");
    let what = matches.get_one::<String>("what").expect("required");
    match what.as_str() {
        "policies" => policies(seed, seconds as f64),
        "burst" => burst(seed, seconds as f64),
        "favour" => favour(seed, seconds as f64),
        "slow" => slow(seed, seconds as f64),
        "loss" => loss(seed, seconds as f64),
        "takeover" => takeover(seed),
        _ => single(),
    }
}

fn binary() -> PathBuf {
    let me = std::env::current_exe().expect("a path");
    me.with_file_name("stackcourse")
}

fn cluster_plan(policy: &str, owners: u32, favour: &str) -> ClusterPlan {
    let mut plan = ClusterPlan::new(binary());
    plan.agents = WORKERS;
    plan.slots = SLOTS;
    plan.delay = LINK_DELAY;
    plan.entry_settings = json!({"policy": policy, "log_level": "error"});
    plan.agent_settings = json!({"log_level": "error"});
    plan.config = json!({
        "services": {"quote": {"halls": ["*"], "zones": ["*"]}},
        "limits": {"owners": owners, "favour": favour},
    });
    plan
}

/// Returns the capacity of all workers, in tasks per second.
fn capacity() -> f64 {
    f64::from(SLOTS) * WORKERS as f64 / workload::mean_task_seconds()
}

/// Returns a load of a share of the capacity, over all entries.
fn load_at(cluster: &Cluster, seed: u64, share: f64, seconds: f64) -> LoadPlan {
    let plan = WorkloadPlan::standard(seed, capacity() * share, seconds);
    LoadPlan {
        entries: cluster.entries.iter().map(|e| e.http).collect(),
        arrivals: workload::sample_arrivals(&plan),
        deadline_ms: plan.deadline_ms,
        client_delay: CLIENT_DELAY,
        retry: false,
    }
}

struct Measured {
    report: LoadReport,
    log: LoadLog,
    plan: LoadPlan,
    wasted: f64,
    kinds: String,
}

/// Runs a load on a cluster. Counts the messages wasted meanwhile and checks the backend servers' logs.
async fn measure(cluster: &Cluster, plan: LoadPlan) -> Measured {
    let before = cluster.metric("stackcourse_wasted_total").await;
    let slots = WORKERS * SLOTS as usize;
    let (mut report, log) = load::run(&plan, slots, JOB_DELAY).await;
    let after = cluster.metric("stackcourse_wasted_total").await;
    let starts = cluster.starts();
    report.violations.extend(log.find_violations(&starts));
    let mut wasted = 0.0;
    let mut kinds = Vec::new();
    for (kind, count) in &after {
        let more = count - before.get(kind).copied().unwrap_or(0.0);
        if more > 0.0 {
            wasted += more;
            kinds.push(format!("{kind} {more}"));
        }
    }
    let tasks = starts.len().max(1) as f64;
    Measured {
        report,
        log,
        plan,
        wasted: wasted / tasks,
        kinds: kinds.join(", "),
    }
}

/// Runs a function on a thread of its own, so that it can have an actix system of its own.
fn on_thread<T: Send + 'static>(
    run: impl FnOnce() -> T + Send + 'static,
) -> std::thread::JoinHandle<T> {
    std::thread::spawn(run)
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(future)
}

/// Compares all placement policies on the same arrivals, with all clusters running at the same time.
fn policies(seed: u64, seconds: f64) {
    let cases = [
        ("random", 0, "time"),
        ("round-robin", 0, "time"),
        ("least-own", 0, "time"),
        ("two-choices", 0, "time"),
        ("least-fill", 0, "time"),
        ("least-fill", 1, "time"),
        ("least-fill", 1, "messages"),
    ];
    println!(
        "| load | policy | owners | favour | p50 | p99 | p99.9 | ideal p99 | p99 ratio | wasted/task | complete | violations |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    for share in [0.5, 0.8] {
        let threads: Vec<_> = cases
            .into_iter()
            .map(|(policy, owners, favour)| {
                on_thread(move || {
                    block_on(async move {
                        let cluster = Cluster::start(cluster_plan(policy, owners, favour)).await;
                        let plan = load_at(&cluster, seed, share, seconds);
                        measure(&cluster, plan).await
                    })
                })
            })
            .collect();
        for ((policy, owners, favour), thread) in cases.into_iter().zip(threads) {
            let m = thread.join().expect("no panic");
            let r = &m.report;
            let owners = if owners == 0 {
                "all".to_owned()
            } else {
                owners.to_string()
            };
            println!(
                "| {share} | {policy} | {owners} | {favour} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {:.4} | {}/{} | {} |",
                r.slowdown.p50,
                r.slowdown.p99,
                r.slowdown.p999,
                r.ideal.p99,
                r.slowdown.p99 / r.ideal.p99,
                m.wasted,
                r.outcomes.get("complete").unwrap_or(&0),
                r.jobs,
                r.violations.len(),
            );
            if !m.kinds.is_empty() {
                eprintln!("  {share} {policy} {owners}: {}", m.kinds);
            }
        }
    }
}

/// Measures an overload of three times the capacity and the recovery at half of the capacity.
fn burst(seed: u64, seconds: f64) {
    block_on(async move {
        let cluster = Cluster::start(cluster_plan("least-fill", 1, "time")).await;
        let mut plan = load_at(&cluster, seed, 3.0, seconds);
        let tail = load_at(&cluster, seed + 1, 0.5, 15.0);
        let end = Duration::from_secs_f64(seconds);
        let later = tail.arrivals.into_iter().map(|mut a| {
            a.at += end;
            a
        });
        plan.arrivals.extend(later);
        plan.deadline_ms = 10_000;
        let m = measure(&cluster, plan).await;
        let warm_up = Duration::from_secs(3);
        let during = m.log.busy_slots_between(&m.plan, warm_up, end);
        let slots = f64::from(SLOTS) * WORKERS as f64;
        println!("3x load for {seconds} s, then half load for 15 s");
        println!(
            "goodput during the burst (after 3 s): {:.3} of capacity",
            during / slots
        );
        println!(
            "refusals, ms without the callers' delay: {:?}",
            m.report.refusal_ms
        );
        println!("outcomes: {:?}", m.report.outcomes);
        println!("refusals: {:?}", m.report.refusals);
        for (from, to) in [(0, 1), (1, 2), (2, 3), (3, 6), (6, 15)] {
            let from = end + Duration::from_secs(from);
            let to = end + Duration::from_secs(to);
            let p = m.log.slowdown_between(&m.plan, JOB_DELAY, from, to);
            let o = m.log.outcomes_between(&m.plan, from, to);
            println!(
                "{:?}..{:?} after: p50 {:.3} p99 {:.3} {o:?}",
                from - end,
                to - end,
                p.p50,
                p.p99
            );
        }
        println!("wasted a task: {:.4} ({})", m.wasted, m.kinds);
        println!("violations: {:?}", m.report.violations);
    });
}

/// Compares the values of the setting `favour` at 1.5 times the capacity, where refused callers retry.
fn favour(seed: u64, seconds: f64) {
    println!(
        "| favour | complete | p50 response, ms | p99 response, ms | requests a job | refused requests a task |"
    );
    println!("|---|---|---|---|---|---|");
    let threads: Vec<_> = ["time", "messages"]
        .into_iter()
        .map(|favour| {
            on_thread(move || {
                block_on(async move {
                    let cluster = Cluster::start(cluster_plan("least-fill", 1, favour)).await;
                    let mut plan = load_at(&cluster, seed, 1.5, seconds);
                    plan.retry = true;
                    (favour, measure(&cluster, plan).await)
                })
            })
        })
        .collect();
    for thread in threads {
        let (favour, m) = thread.join().expect("no panic");
        let r = &m.report;
        let refused = (r.requests - 1.0) * r.jobs as f64 / r.tasks as f64;
        println!(
            "| {favour} | {}/{} | {:.0} | {:.0} | {:.2} | {refused:.3} |",
            r.outcomes.get("complete").unwrap_or(&0),
            r.jobs,
            r.response_ms.p50,
            r.response_ms.p99,
            r.requests,
        );
        assert_eq!(r.violations, Vec::<String>::new());
    }
}

/// Measures the effect of one worker that is five times slower, stalled, or failing, and the time until it
/// gets its tasks back after that ends.
fn slow(seed: u64, seconds: f64) {
    let cases: [(&str, Option<BackendFaults>); 4] = [
        ("none", None),
        (
            "5x slower",
            Some(BackendFaults {
                slow: 5.0,
                ..BackendFaults::default()
            }),
        ),
        (
            "stalled",
            Some(BackendFaults {
                stall: true,
                ..BackendFaults::default()
            }),
        ),
        (
            "failing",
            Some(BackendFaults {
                fail: true,
                ..BackendFaults::default()
            }),
        ),
    ];
    println!(
        "| one worker | p50 after 3 s | p99 after 3 s | over the run without | tasks it got a second, before and after 3 s | outcomes after 3 s | back within |"
    );
    println!("|---|---|---|---|---|---|---|");
    let threads: Vec<_> = cases
        .into_iter()
        .map(|(name, mood)| {
            on_thread(move || {
                block_on(async move {
                    let cluster = Cluster::start(cluster_plan("least-fill", 1, "time")).await;
                    let plan = load_at(&cluster, seed, 0.6, seconds + 15.0);
                    let backend = cluster.agents[0].backend.clone();
                    let (fault_at, end) = (5.0, seconds);
                    let fault = async {
                        actix_rt::time::sleep(Duration::from_secs_f64(fault_at)).await;
                        let before = backend.log().len() as f64 / fault_at;
                        if let Some(mood) = mood {
                            backend.set_faults(mood);
                        }
                        actix_rt::time::sleep(Duration::from_secs(3)).await;
                        let count_at_3s = backend.log().len();
                        actix_rt::time::sleep(Duration::from_secs_f64(end - fault_at - 3.0)).await;
                        let after =
                            (backend.log().len() - count_at_3s) as f64 / (end - fault_at - 3.0);
                        backend.set_faults(BackendFaults::default());
                        let repaired = std::time::Instant::now();
                        let mut last_count = backend.log().len();
                        let mut recovery = None;
                        for _ in 0..14 {
                            actix_rt::time::sleep(Duration::from_secs(1)).await;
                            let now = backend.log().len();
                            if recovery.is_none() && (now - last_count) as f64 > before * 0.7 {
                                recovery = Some(repaired.elapsed().as_secs());
                            }
                            last_count = now;
                        }
                        (before, after, recovery)
                    };
                    let (m, counts) = futures::future::join(measure(&cluster, plan), fault).await;
                    let from = Duration::from_secs_f64(fault_at + 3.0);
                    let to = Duration::from_secs_f64(end);
                    let p = m.log.slowdown_between(&m.plan, JOB_DELAY, from, to);
                    let o = m.log.outcomes_between(&m.plan, from, to);
                    (name, p, counts, o, m.report.violations.len())
                })
            })
        })
        .collect();
    let mut base = 0.0;
    for thread in threads {
        let (name, p, (before, after, recovery), outcomes, violations) =
            thread.join().expect("no panic");
        if name == "none" {
            base = p.p99;
        }
        let recovery = recovery.map_or("not within 14 s".to_owned(), |s| format!("{s} s"));
        println!(
            "| {name} | {:.3} | {:.3} | {:.3} | {before:.1}, {after:.1} | {outcomes:?} | {recovery} |",
            p.p50,
            p.p99,
            p.p99 / base,
        );
        assert_eq!(violations, 0);
    }
}

/// Measures a load of 60 % under which the owner and then an agent are killed.
fn loss(seed: u64, seconds: f64) {
    block_on(async move {
        let mut cluster = Cluster::start(cluster_plan("least-fill", 1, "time")).await;
        let owner = cluster.owner().await;
        let plan = load_at(&cluster, seed, 0.6, seconds);
        let mut plan = plan;
        let survivors: Vec<_> = (0..3).filter(|i| *i != owner).collect();
        plan.entries = survivors.iter().map(|i| cluster.entries[*i].http).collect();
        let pids: Vec<u32> = [
            cluster.entries[owner].process.as_ref(),
            cluster.agents[0].process.as_ref(),
        ]
        .into_iter()
        .flatten()
        .map(|p| p.pid())
        .collect();
        let kill = async {
            for pid in pids {
                actix_rt::time::sleep(Duration::from_secs_f64(seconds / 4.0)).await;
                let pid = nix::unistd::Pid::from_raw(pid as i32);
                let _ = nix::sys::signal::kill(pid, Signal::SIGKILL);
            }
        };
        let (m, ()) = futures::future::join(measure(&cluster, plan), kill).await;
        println!("60 % load, the owner killed after a quarter, an agent after half");
        println!("outcomes: {:?}", m.report.outcomes);
        println!("refusals: {:?}", m.report.refusals);
        println!("response over ideal: {:?}", m.report.slowdown);
        println!("wasted a task: {:.4} ({})", m.wasted, m.kinds);
        println!("violations: {:?}", m.report.violations);
        cluster.entries[owner].process = None;
    });
}

/// Measures the time from a kill, or a planned leave, of the owner until jobs are served again.
fn takeover(seed: u64) {
    println!(
        "| way | p50 until served again, ms | longest, ms | outcomes of jobs in flight | messages wasted |"
    );
    println!("|---|---|---|---|---|");
    for (name, signal) in [
        ("kill -9", Signal::SIGKILL),
        ("planned leave", Signal::SIGTERM),
    ] {
        let threads: Vec<_> = (0..5)
            .map(|i| on_thread(move || block_on(one_takeover(seed + i, signal))))
            .collect();
        let mut gaps = Vec::new();
        let mut outcomes = std::collections::BTreeMap::<String, usize>::new();
        let mut wasted = 0.0;
        for thread in threads {
            let (gap, counts, waste) = thread.join().expect("no panic");
            gaps.push(gap);
            wasted += waste;
            for (outcome, count) in counts {
                *outcomes.entry(outcome).or_default() += count;
            }
        }
        gaps.sort();
        println!(
            "| {name} | {} | {} | {outcomes:?} | {wasted} |",
            gaps[gaps.len() / 2].as_millis(),
            gaps[gaps.len() - 1].as_millis(),
        );
    }
}

/// Sends small jobs to the surviving entries. The 99.9th percentile of the response times, less the job's own
/// time, stands for the time in which no job was served.
async fn one_takeover(
    seed: u64,
    signal: Signal,
) -> (Duration, std::collections::BTreeMap<String, usize>, f64) {
    let mut cluster = Cluster::start(cluster_plan("least-fill", 1, "time")).await;
    let owner = cluster.owner().await;
    let mut plan = load_at(&cluster, seed, 0.4, 12.0);
    for arrival in &mut plan.arrivals {
        arrival.times = vec![100, 200];
        arrival.resubmit = false;
    }
    plan.entries = (0..3)
        .filter(|i| *i != owner)
        .map(|i| cluster.entries[i].http)
        .collect();
    let pid = cluster.entries[owner]
        .process
        .as_ref()
        .map_or(0, |p| p.pid());
    let stop = async {
        actix_rt::time::sleep(Duration::from_secs(4)).await;
        let pid = nix::unistd::Pid::from_raw(pid as i32);
        let _ = nix::sys::signal::kill(pid, signal);
    };
    let (m, ()) = futures::future::join(measure(&cluster, plan), stop).await;
    assert_eq!(m.report.violations, Vec::<String>::new());
    let longest = Duration::from_secs_f64(m.report.response_ms.p999 / 1e3);
    cluster.entries[owner].process = None;
    let added = longest.saturating_sub(Duration::from_millis(200) + JOB_DELAY);
    (added, m.report.outcomes, m.wasted * m.report.tasks as f64)
}

/// Measures what an idle cluster without network delays adds to the backend server's own time, one task at a
/// time.
fn single() {
    block_on(async {
        let mut plan = cluster_plan("least-fill", 1, "time");
        plan.delay = Duration::ZERO;
        let cluster = Cluster::start(plan).await;
        let owner = cluster.owner().await;
        for (name, entry) in [("at the owner", owner), ("passed on", (owner + 1) % 3)] {
            let arrivals = (0..400)
                .map(|i| workload::Arrival {
                    at: Duration::from_millis(i * 25),
                    times: vec![10],
                    service: "quote".into(),
                    resubmit: false,
                })
                .collect();
            let load = LoadPlan {
                entries: vec![cluster.entries[entry].http],
                arrivals,
                deadline_ms: 5_000,
                client_delay: Duration::ZERO,
                retry: false,
            };
            let (report, _) = load::run(&load, 80, Duration::ZERO).await;
            let p = report.response_ms;
            println!(
                "{name}: a task of 10 ms takes p50 {:.2} ms, p99 {:.2} ms: {:.2} ms added at the median",
                p.p50,
                p.p99,
                p.p50 - 10.0,
            );
        }
    });
}
