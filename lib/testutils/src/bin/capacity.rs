//! `capacity`: measures with real processes on this machine how cost grows with nodes, starts and remembered
//! tasks, and prints the tables behind `docs/CAPACITY.md`.
//!
//! Needs the release build of the whole workspace.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use clap::Arg;
use clap::Command;
use serde_json::Value;
use serde_json::json;
use stackcourse_lib::clock::Mono;
use stackcourse_lib::clock::Now;
use stackcourse_lib::job_id::JobId;
use stackcourse_lib::job_id::TaskKey;
use stackcourse_lib::job_table::Job;
use stackcourse_lib::job_table::JobTable;
use stackcourse_lib::lanes::LaneName;
use stackcourse_lib::outcome::JobReply;
use stackcourse_lib::room::Room;
use stackcourse_lib::shard::Epoch;
use stackcourse_lib::shard::ShardId;
use stackcourse_lib::start_record::Progress;
use stackcourse_lib::start_record::StartRecord;
use stackcourse_lib::start_record::StartRequest;
use stackcourse_testutils::cluster::Cluster;
use stackcourse_testutils::cluster::ClusterPlan;
use stackcourse_testutils::cluster::Process;
use stackcourse_testutils::cluster::read_metric;
use stackcourse_testutils::load;
use stackcourse_testutils::load::LoadPlan;
use stackcourse_testutils::stub_store::StoreCalls;
use stackcourse_testutils::workload::Arrival;

/// Clock ticks per second in `/proc`.
const TICKS: f64 = 100.0;
/// The time over which an idle cluster is measured.
const IDLE_SPAN: Duration = Duration::from_secs(10);

fn main() {
    let names = ["rest", "entries", "starts", "memory", "rate"];
    let matches = Command::new("capacity")
        .about("Measures how cost grows with nodes, starts and remembered tasks")
        .arg(Arg::new("what").required(true).value_parser(names))
        .get_matches();
    match matches.get_one::<String>("what").map(String::as_str) {
        Some("rest") => idle_by_agents(),
        Some("entries") => idle_by_entries(),
        Some("starts") => cost_per_start(),
        Some("rate") => highest_rate(),
        _ => memory(),
    }
}

fn plan(entries: usize, agents: usize) -> ClusterPlan {
    let me = std::env::current_exe().expect("a path");
    let mut plan = ClusterPlan::new(me.with_file_name("stackcourse"));
    plan.entries = entries;
    plan.agents = agents;
    plan.slots = 8;
    plan.backends = 4;
    plan.agent_http = true;
    plan.entry_settings = json!({"log_level": "error", "wait_ms": 20_000});
    plan.agent_settings = json!({"log_level": "error"});
    plan
}

/// Returns the CPU time that a process has used, in seconds.
fn cpu(process: &Process) -> f64 {
    let path = format!("/proc/{}/stat", process.pid());
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let rest = text.rsplit(')').next().unwrap_or("");
    let fields: Vec<f64> = rest
        .split_whitespace()
        .map(|f| f.parse().unwrap_or(0.0))
        .collect();
    // After the name: state is field 0, utime 11, stime 12.
    (fields.get(11).unwrap_or(&0.0) + fields.get(12).unwrap_or(&0.0)) / TICKS
}

/// Returns the resident memory of a process, in MiB.
fn resident_mib(process: &Process) -> f64 {
    let path = format!("/proc/{}/status", process.pid());
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or("");
    let kib = line
        .split_whitespace()
        .nth(1)
        .and_then(|v| v.parse::<f64>().ok());
    kib.unwrap_or(0.0) / 1024.0
}

/// Returns the bytes and frames of control traffic that a process has counted.
async fn read_control_traffic(http: SocketAddr) -> (f64, f64) {
    let bytes = read_metric(http, "stackcourse_link_bytes_total").await;
    let frames = read_metric(http, "stackcourse_link_frames_total").await;
    let control_of =
        |m: &std::collections::BTreeMap<String, f64>| m.get("control").copied().unwrap_or(0.0);
    (control_of(&bytes), control_of(&frames))
}

/// Returns the number of calls that the store has counted.
async fn count_store_calls(cluster: &Cluster) -> StoreCalls {
    let url = format!("{}/stub/calls", cluster.store.url());
    let mut response = awc::Client::default()
        .get(url)
        .send()
        .await
        .expect("an answer");
    response.json().await.expect("JSON")
}

/// What an idle node uses: CPU cores, bytes and frames of control traffic per second, and memory in MiB.
struct IdleUsage {
    cpu: f64,
    bytes: f64,
    frames: f64,
    memory: f64,
}

/// Measures the owner, one agent and the store's calls over [`IDLE_SPAN`].
async fn measure_idle(cluster: &Cluster) -> (IdleUsage, IdleUsage, StoreCalls) {
    let entry = cluster.owner().await;
    let entry_at = cluster.entries[entry].http;
    let agent_at = cluster.agents[0].http;
    let entry_process = cluster.entries[entry].process.as_ref().expect("runs");
    let agent_process = cluster.agents[0].process.as_ref().expect("runs");
    let (eb, ef) = read_control_traffic(entry_at).await;
    let (ab, af) = read_control_traffic(agent_at).await;
    let (ec, ac) = (cpu(entry_process), cpu(agent_process));
    let calls = count_store_calls(cluster).await;
    actix_rt::time::sleep(IDLE_SPAN).await;
    let (eb2, ef2) = read_control_traffic(entry_at).await;
    let (ab2, af2) = read_control_traffic(agent_at).await;
    let (ec2, ac2) = (cpu(entry_process), cpu(agent_process));
    let later = count_store_calls(cluster).await;
    let seconds = IDLE_SPAN.as_secs_f64();
    let usage = |cpu: f64, bytes: f64, frames: f64, memory| IdleUsage {
        cpu: cpu / seconds,
        bytes: bytes / seconds,
        frames: frames / seconds,
        memory,
    };
    let entry = usage(ec2 - ec, eb2 - eb, ef2 - ef, resident_mib(entry_process));
    let agent = usage(ac2 - ac, ab2 - ab, af2 - af, resident_mib(agent_process));
    let calls = StoreCalls {
        reads: later.reads - calls.reads,
        writes: later.writes - calls.writes,
    };
    (entry, agent, calls)
}

/// Measures what depends on the number of agents.
fn idle_by_agents() {
    println!("3 entries; control traffic, both ways, without the transport's headers");
    println!(
        "| agents | entry: % of a core | bytes/s | frames/s | MiB | agent: % of a core | bytes/s | frames/s | MiB | store reads/s | writes/s | configuration in force, ms | kill to served, ms |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for agents in [10, 40, 120, 200] {
        actix_rt::System::new().block_on(async move {
            let mut cluster = Cluster::start(plan(3, agents)).await;
            actix_rt::time::sleep(Duration::from_secs(3)).await;
            let (e, a, calls) = measure_idle(&cluster).await;
            let in_force = time_to_apply(&cluster).await;
            let served = time_to_take_over(&mut cluster).await;
            let seconds = IDLE_SPAN.as_secs_f64();
            println!(
                "| {agents} | {:.2} | {:.0} | {:.1} | {:.1} | {:.2} | {:.0} | {:.1} | {:.1} | {:.1} | {:.2} | {} | {} |",
                e.cpu * 100.0, e.bytes, e.frames, e.memory,
                a.cpu * 100.0, a.bytes, a.frames, a.memory,
                calls.reads as f64 / seconds, calls.writes as f64 / seconds,
                in_force.as_millis(), served.as_millis(),
            );
        });
    }
}

/// Measures what depends on the number of entries.
fn idle_by_entries() {
    println!("12 agents; control traffic, both ways, without the transport's headers");
    println!(
        "| entries | entry: % of a core | bytes/s | frames/s | agent: % of a core | bytes/s | frames/s | store reads/s |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for count in [2, 4, 8, 16] {
        actix_rt::System::new().block_on(async move {
            let cluster = Cluster::start(plan(count, 12)).await;
            actix_rt::time::sleep(Duration::from_secs(3)).await;
            let (e, a, calls) = measure_idle(&cluster).await;
            println!(
                "| {count} | {:.2} | {:.0} | {:.1} | {:.2} | {:.0} | {:.1} | {:.1} |",
                e.cpu * 100.0,
                e.bytes,
                e.frames,
                a.cpu * 100.0,
                a.bytes,
                a.frames,
                calls.reads as f64 / IDLE_SPAN.as_secs_f64(),
            );
        });
    }
}

/// Measures the time from an apply until the version is in force on every node.
async fn time_to_apply(cluster: &Cluster) -> Duration {
    let mut config: Value = cluster.plan.config.clone();
    for i in 0..200 {
        config["services"][format!("more-{i}")] = json!({"halls": ["*"], "zones": ["*"]});
    }
    let version = cluster.apply(&config).await.expect("applied");
    cluster.wait_version(version).await
}

/// Measures the time from a kill of the owner until all shards are served again, 30 s at most.
async fn time_to_take_over(cluster: &mut Cluster) -> Duration {
    let owner = cluster.owner().await;
    cluster.kill_entry(owner);
    let begun = Instant::now();
    loop {
        let mut served = 0;
        for i in (0..cluster.entries.len()).filter(|i| *i != owner) {
            served += cluster.status(i).await.map_or(0, |s| s.served);
        }
        if served >= 64 || begun.elapsed() > Duration::from_secs(30) {
            return begun.elapsed();
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Measures the CPU time of entries and agents for each start, at several rates.
fn cost_per_start() {
    println!("3 entries, 20 agents, jobs of 20 tasks that take no time");
    println!(
        "| starts/s | owner: µs a start | passing entry: µs a job | agent: µs a start | agent + owner frames a start | complete |"
    );
    println!("|---|---|---|---|---|---|");
    for rate in [200, 1_000, 3_000, 6_000] {
        actix_rt::System::new().block_on(async move {
            let mut plan = plan(3, 20);
            plan.slots = 100;
            let cluster = Cluster::start(plan).await;
            let owner = cluster.owner().await;
            let other = (owner + 1) % 3;
            let tasks = 20;
            let jobs = rate * 8 / tasks;
            let arrivals = (0..jobs)
                .map(|i| Arrival {
                    at: Duration::from_secs_f64(i as f64 * tasks as f64 / rate as f64),
                    times: vec![0; tasks],
                    service: "quote".into(),
                    resubmit: false,
                })
                .collect();
            let load = LoadPlan {
                entries: vec![cluster.entries[other].http],
                arrivals,
                deadline_ms: 20_000,
                client_delay: Duration::ZERO,
                retry: false,
            };
            let at = |i: usize| cpu(cluster.entries[i].process.as_ref().expect("runs"));
            let agents = || -> f64 {
                let all = cluster.agents.iter().filter_map(|a| a.process.as_ref());
                all.map(cpu).sum()
            };
            let frames = cluster.metric("stackcourse_link_frames_total").await;
            let before = (at(owner), at(other), agents());
            let (report, _) = load::run(&load, 2_000, Duration::ZERO).await;
            let after = (at(owner), at(other), agents());
            let frames2 = cluster.metric("stackcourse_link_frames_total").await;
            let starts = (jobs * tasks) as f64;
            let sent = frames2["task"] - frames["task"];
            println!(
                "| {rate} | {:.1} | {:.1} | {:.1} | {:.3} | {}/{} |",
                (after.0 - before.0) * 1e6 / starts,
                (after.1 - before.1) * 1e6 / jobs as f64,
                (after.2 - before.2) * 1e6 / starts,
                sent / starts,
                report.outcomes.get("complete").unwrap_or(&0),
                report.jobs,
            );
        });
    }
}

/// Measures the completed starts of one owner at rising rates, to find the highest that it sustains.
fn highest_rate() {
    println!("| asked starts/s | done starts/s | p50 response, ms | p99, ms | complete |");
    println!("|---|---|---|---|---|");
    for rate in [4_000, 8_000, 12_000, 16_000, 24_000] {
        actix_rt::System::new().block_on(async move {
            let mut plan = plan(1, 8);
            plan.slots = 400;
            plan.backends = 8;
            let cluster = Cluster::start(plan).await;
            let tasks = 100;
            let jobs = rate * 4 / tasks;
            let arrivals = (0..jobs)
                .map(|i| Arrival {
                    at: Duration::from_secs_f64(i as f64 * tasks as f64 / rate as f64),
                    times: vec![0; tasks],
                    service: "quote".into(),
                    resubmit: false,
                })
                .collect();
            let load = LoadPlan {
                entries: vec![cluster.entries[0].http],
                arrivals,
                deadline_ms: 20_000,
                client_delay: Duration::ZERO,
                retry: false,
            };
            let begun = Instant::now();
            let (report, _) = load::run(&load, 3_200, Duration::ZERO).await;
            let done = report.outcomes.get("complete").unwrap_or(&0) * tasks;
            println!(
                "| {rate} | {:.0} | {:.1} | {:.1} | {}/{} |",
                done as f64 / begun.elapsed().as_secs_f64(),
                report.response_ms.p50,
                report.response_ms.p99,
                report.outcomes.get("complete").unwrap_or(&0),
                report.jobs,
            );
        });
    }
}

/// Measures the memory of the start record for each remembered task, and of the job table for each job.
fn memory() {
    remembered_tasks();
    remembered_jobs();
}

/// Measures complete jobs of 20 tasks whose answers have 100 bytes each.
fn remembered_jobs() {
    println!();
    println!(
        "| jobs remembered | job table: bytes a complete job of 20 tasks, 2,000 bytes of them answers |"
    );
    println!("|---|---|");
    let lane = LaneName {
        team: "installers".into(),
        service: "quote".into(),
    };
    for count in [10_000_u64, 50_000, 200_000] {
        let before = own_memory_mib();
        let mut table = JobTable::default();
        for i in 0..count {
            let random = u128::from(i).to_be_bytes()[6..]
                .try_into()
                .expect("ten bytes");
            table.insert(Job {
                id: JobId::mint(1_800_000_000_000, &random),
                shard: ShardId((i % 64) as u32),
                digest: i,
                lane: lane.clone(),
                need: Room::TASK,
                tasks: Vec::new(),
                arrived: Mono(1),
                deadline: Mono(1),
                waiters: Vec::new(),
                ended: Some(JobReply::Complete(bytes::Bytes::from(vec![b'x'; 2_000]))),
                retry_at: Mono(0),
                submitted: false,
                claimed: false,
                claiming: false,
            });
        }
        let used = own_memory_mib() - before;
        println!("| {count} | {:.0} |", used * 1024.0 * 1024.0 / count as f64);
        assert_eq!(table.size().0 as u64, count);
    }
}

/// Measures answered tasks, three to a job.
fn remembered_tasks() {
    println!("| tasks remembered | start record: bytes a task, without answers |");
    println!("|---|---|");
    for count in [20_000_u64, 100_000, 500_000] {
        let before = own_memory_mib();
        let horizon = Duration::from_secs(900);
        let mut record = StartRecord::new(horizon, Duration::from_secs(1), 0);
        let now = Now::steady(Mono(1), 1_800_000_000_000);
        for i in 0..count {
            let ask = StartRequest {
                key: TaskKey {
                    job: JobId::mint(
                        now.wall_ms,
                        &(u128::from(i / 3)).to_be_bytes()[6..]
                            .try_into()
                            .expect("ten bytes"),
                    ),
                    task: (i % 3) as u32,
                },
                attempt: 1,
                shard: ShardId((i % 64) as u32),
                epoch: Epoch(1),
                digest: i,
                tasks: 3,
            };
            record.start(now, &ask, "quote", "installers").expect("new");
            record.end(ask.key, Progress::Answered(bytes::Bytes::from_static(b"x")));
        }
        let used = own_memory_mib() - before;
        println!("| {count} | {:.0} |", used * 1024.0 * 1024.0 / count as f64);
        assert_eq!(record.size().1 as u64, count);
    }
}

/// Returns the resident memory of this process, in MiB.
fn own_memory_mib() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or("");
    let kib = line
        .split_whitespace()
        .nth(1)
        .and_then(|v| v.parse::<f64>().ok());
    kib.unwrap_or(0.0) / 1024.0
}
