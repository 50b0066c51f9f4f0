//! Tests of the platform roles as real processes on a simulated platform.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use stackcourse_lib::dispatch::model::JobNumber;
use stackcourse_testutils::fault_proxy::Fault;
use stackcourse_testutils::platform::callers;
use stackcourse_testutils::platform::callers::CallerJob;
use stackcourse_testutils::platform::callers::HOST;
use stackcourse_testutils::platform::callers::PREFIX;
use stackcourse_testutils::platform::fleet;
use stackcourse_testutils::platform::fleet::Fleet;
use stackcourse_testutils::platform::fleet::SERVICE;
use stackcourse_testutils::platform::machine::Machine;
use stackcourse_testutils::platform::soak;
use stackcourse_testutils::platform::soak::SoakPlan;
use stackcourse_testutils::platform::store::StoreFaults;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

fn binary() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_stackcourse"))
}

fn job(number: u64, tasks: u32, work_ms: u32) -> CallerJob {
    CallerJob {
        number: JobNumber(number),
        tasks,
        work_ms,
        cpu: 1000,
        crashing: false,
    }
}

/// Waits until a check passes. Panics with `what` after 20 s.
async fn eventually(what: &str, mut check: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(20);
    while !check().await {
        assert!(Instant::now() < end, "{what}");
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Checks the status of a completed job, of a refused job with its `Retry-After`, and of unknown paths and
/// jobs.
#[actix_rt::test]
async fn test_platform_responses() {
    let fleet = Fleet::start(binary(), 2, 3).await;
    let entry = fleet.entries[0].callers();
    let reply = callers::submit_job(&fleet.workers, entry, job(1, 5, 40)).await;
    assert_eq!((reply.status, reply.state.as_str()), (200, "completed"));

    let mut body = job(2, 1, 10).body();
    body["bestEffort"] = false.into();
    let path = format!("{PREFIX}{}", JobNumber(2));
    let reply = callers::send_request(entry, "POST", &path, Some(body)).await;
    assert_eq!(reply.status, 503);
    assert!(reply.retry_after.is_some(), "a refusal has a Retry-After");

    let no_queue = callers::send_request(entry, "GET", "/nowhere/", None).await;
    assert_eq!(no_queue.status, 404);
    let unknown =
        callers::send_request(entry, "GET", &format!("{PREFIX}{}", JobNumber(9)), None).await;
    assert_eq!(unknown.status, 410);
    let pending = callers::send_request(entry, "GET", PREFIX, None).await;
    assert_eq!(pending.status, 200);
    assert_eq!(fleet.violation(), None);
}

/// Guards against double starts: a job resubmitted at another entry while it runs must not run a second time.
#[actix_rt::test]
async fn test_platform_resubmission_other_entry() {
    let fleet = Fleet::start(binary(), 2, 2).await;
    let (one, two) = (fleet.entries[0].callers(), fleet.entries[1].callers());
    let slow = job(1, 3, 700);
    let first = callers::submit_job(&fleet.workers, one, slow);
    let again = async {
        actix_rt::time::sleep(Duration::from_millis(250)).await;
        callers::submit_job(&fleet.workers, two, slow).await
    };
    let (first, again) = futures::future::join(first, again).await;
    assert_eq!(first.state, "completed");
    assert_eq!(again.state, "completed");
    let starts = fleet.workers.lock().unwrap().witness.starts;
    assert_eq!(starts, 3, "each task began once");
    assert_eq!(fleet.violation(), None);
}

/// Guards against lost jobs: a job resubmitted after its entry was killed must complete at another entry.
#[actix_rt::test]
async fn test_platform_entry_killed() {
    let mut fleet = Fleet::start(binary(), 2, 2).await;
    let (one, two) = (fleet.entries[0].callers(), fleet.entries[1].callers());
    let slow = job(1, 3, 900);
    let workers = fleet.workers.clone();
    let aborted = actix_rt::spawn(async move { callers::submit_job(&workers, one, slow).await });
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    fleet.entries[0].kill();
    let again = callers::submit_job(&fleet.workers, two, slow).await;
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    let log = fleet.entries[1].log_text();
    assert_eq!(again.state, "completed", "{again:?} {log}");
    assert_eq!(aborted.await.expect("a caller").status, 0);
    assert_eq!(fleet.violation(), None);
}

/// Guards against double starts: an entry paused for longer than its leases must not start tasks of a job that
/// another entry has run meanwhile.
#[actix_rt::test]
async fn test_platform_entry_paused() {
    let fleet = Fleet::start(binary(), 2, 2).await;
    let (one, two) = (fleet.entries[0].callers(), fleet.entries[1].callers());
    let slow = job(1, 4, 900);
    let workers = fleet.workers.clone();
    actix_rt::spawn(async move { callers::submit_job(&workers, one, slow).await });
    actix_rt::time::sleep(Duration::from_millis(200)).await;
    fleet.entries[0].signal(Signal::SIGSTOP);
    actix_rt::time::sleep(Duration::from_millis(1100)).await;
    let again = callers::submit_job(&fleet.workers, two, slow).await;
    fleet.entries[0].signal(Signal::SIGCONT);
    assert_eq!(again.state, "completed");
    actix_rt::time::sleep(Duration::from_millis(800)).await;
    assert_eq!(fleet.violation(), None);
}

/// Guards against double starts: a job submitted at both entries while one entry's links stall must not run
/// twice.
#[actix_rt::test]
async fn test_platform_entry_links_stalled() {
    let fleet = Fleet::start(binary(), 2, 2).await;
    let (one, two) = (fleet.entries[0].callers(), fleet.entries[1].callers());
    let stall = Fault {
        stall: true,
        ..Fault::default()
    };
    fleet.proxies[0].set(stall);
    actix_rt::time::sleep(Duration::from_millis(1500)).await;
    let slow = job(1, 2, 500);
    let first = callers::submit_job(&fleet.workers, one, slow);
    let second = callers::submit_job(&fleet.workers, two, slow);
    let (first, second) = futures::future::join(first, second).await;
    assert!(first.state == "completed" || second.state == "completed");
    assert_eq!(fleet.violation(), None);
    fleet.proxies[0].set(Fault::default());
}

/// Guards against requests cut by a planned stop: a leaving entry reports that it is not ready, and still
/// serves open and new requests.
#[actix_rt::test]
async fn test_platform_entry_shutdown() {
    let mut fleet = Fleet::start(binary(), 2, 2).await;
    let entry = fleet.entries[0].callers();
    let workers = fleet.workers.clone();
    let slow =
        actix_rt::spawn(async move { callers::submit_job(&workers, entry, job(1, 2, 600)).await });
    actix_rt::time::sleep(Duration::from_millis(150)).await;
    fleet.entries[0].signal(Signal::SIGTERM);
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    let ready = callers::send_request(fleet.entries[0].ready(), "GET", "/-/ready", None).await;
    assert_eq!(ready.status, 503, "a leaving entry is not ready");
    let late = callers::submit_job(&fleet.workers, entry, job(2, 1, 50)).await;
    assert_eq!(late.state, "completed", "new requests are still served");
    assert_eq!(slow.await.expect("a caller").state, "completed");
    assert!(
        fleet.entries[0].stop(Duration::from_secs(8)),
        "the process ends with success"
    );
    assert_eq!(fleet.violation(), None);
}

/// Where too few entries of a zone are ready, the balancer keeps sending callers to a leaving entry. After the
/// balancer's grace time the entry must refuse new connections, so that callers connect elsewhere, and still
/// complete the jobs that it holds.
#[actix_rt::test]
async fn test_platform_entry_shutdown_new_connection() {
    let mut fleet = Fleet::start(binary(), 2, 2).await;
    let entry = fleet.entries[0].callers();
    let workers = fleet.workers.clone();
    fleet.entries[0].signal(Signal::SIGTERM);
    actix_rt::time::sleep(Duration::from_millis(1500)).await;
    let slow =
        actix_rt::spawn(async move { callers::submit_job(&workers, entry, job(1, 2, 1800)).await });
    actix_rt::time::sleep(Duration::from_millis(1200)).await;
    let late = callers::submit_job(&fleet.workers, entry, job(2, 1, 50)).await;
    assert_eq!(late.status, 0, "a new connection is refused at once");
    assert_eq!(slow.await.expect("a caller").state, "completed");
    assert!(
        fleet.entries[0].stop(Duration::from_secs(8)),
        "the process ends with success"
    );
    assert_eq!(fleet.violation(), None);
}

/// A caller with a persistent connection would stay with a leaving entry until the entry ends. The entry's
/// next response must close the connection.
#[actix_rt::test]
async fn test_platform_entry_shutdown_keep_alive() {
    let fleet = Fleet::start(binary(), 2, 1).await;
    let entry = fleet.entries[0].callers();
    let mut stream = TcpStream::connect(entry).await.expect("the entry listens");
    let open = exchange(&mut stream).await;
    assert!(
        open.starts_with("http/1.1 200") && !open.contains("connection: close"),
        "{open}"
    );
    fleet.entries[0].signal(Signal::SIGTERM);
    actix_rt::time::sleep(Duration::from_millis(200)).await;
    let last = exchange(&mut stream).await;
    assert!(
        last.starts_with("http/1.1 200") && last.contains("connection: close"),
        "{last}"
    );
    let mut rest = Vec::new();
    let end = stream.read_to_end(&mut rest).await;
    assert_eq!(end.expect("a clean end of the connection"), 0);
}

/// Requests the queue's number of waiting jobs over an open connection and returns the response in lower case.
async fn exchange(stream: &mut TcpStream) -> String {
    let request = format!("GET {PREFIX} HTTP/1.1\r\nHost: {HOST}\r\n\r\n");
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the connection is open");
    let mut bytes = vec![0u8; 4096];
    let n = stream.read(&mut bytes).await.expect("an answer");
    String::from_utf8_lossy(&bytes[..n]).to_lowercase()
}

/// Guards against starts in an evacuated availability zone, whose workers keep running. Evacuates one of two
/// zones, then both, and ends the evacuation of one.
#[actix_rt::test]
async fn test_platform_zone_evacuation() {
    // The time for the evacuation to reach every process.
    const PROPAGATION: Duration = Duration::from_millis(500);
    let fleet = Fleet::start(binary(), 2, 2).await;
    let [first, second] = [fleet.entries[0].callers(), fleet.entries[1].callers()];
    let starts = |n: usize| fleet.workers.lock().unwrap().starts[n];
    fleet.set_evacuated("y", true);
    actix_rt::time::sleep(PROPAGATION).await;
    let before = [starts(0), starts(1)];
    for number in 0..8 {
        let entry = if number % 2 == 0 { first } else { second };
        let reply = callers::submit_job(&fleet.workers, entry, job(number, 3, 30)).await;
        assert_eq!(reply.state, "completed");
    }
    assert_eq!([starts(0) - before[0], starts(1) - before[1]], [24, 0]);
    fleet.set_evacuated("z", true);
    actix_rt::time::sleep(PROPAGATION).await;
    let refused = callers::submit_job(&fleet.workers, first, job(20, 1, 30)).await;
    assert_eq!(refused.status, 503);
    assert!(refused.retry_after.is_some(), "a refusal has a Retry-After");
    fleet.store.compact();
    fleet.set_evacuated("y", false);
    actix_rt::time::sleep(PROPAGATION).await;
    let reply = callers::submit_job(&fleet.workers, second, job(21, 3, 30)).await;
    assert_eq!(reply.state, "completed", "the zone serves jobs again");
    assert_eq!(fleet.violation(), None);
}

/// Guards against runs cut by a planned stop of their agent.
#[actix_rt::test]
async fn test_platform_agent_shutdown() {
    let mut fleet = Fleet::start(binary(), 1, 2).await;
    let entry = fleet.entries[0].callers();
    let workers = fleet.workers.clone();
    let slow =
        actix_rt::spawn(async move { callers::submit_job(&workers, entry, job(1, 4, 500)).await });
    actix_rt::time::sleep(Duration::from_millis(150)).await;
    assert!(
        fleet.agents[0].stop(Duration::from_secs(8)),
        "the process ends with success"
    );
    assert_eq!(slow.await.expect("a caller").state, "completed");
    assert_eq!(fleet.workers.lock().unwrap().witness.starts, 4);
    assert_eq!(fleet.violation(), None);
}

/// Guards against starts at a worker whose heartbeats report that it drains.
#[actix_rt::test]
async fn test_platform_worker_draining() {
    let fleet = Fleet::start(binary(), 1, 2).await;
    fleet.workers.lock().unwrap().models[0].draining = true;
    eventually("the agent logs that the worker drains", async || {
        fleet.agents[0].log_text().contains("SC422")
    })
    .await;
    let before = fleet.workers.lock().unwrap().models[0].begun;
    for number in 1..6 {
        let entry = fleet.entries[0].callers();
        let reply = callers::submit_job(&fleet.workers, entry, job(number, 3, 30)).await;
        assert_eq!(reply.state, "completed");
    }
    let workers = fleet.workers.lock().unwrap();
    assert_eq!(
        workers.models[0].begun, before,
        "no run starts at a draining worker"
    );
    assert!(workers.models[1].begun >= 15);
}

/// A worker that restarts under the same id numbers its ends and heartbeats from 1 again. If incarnations
/// were told apart by the id alone, these ends would be skipped and each task would run until the job's
/// deadline.
#[actix_rt::test]
async fn test_platform_worker_restart_same_id() {
    let fleet = Fleet::start(binary(), 1, 2).await;
    let entry = fleet.entries[0].callers();
    let reply = callers::submit_job(&fleet.workers, entry, job(1, 40, 10)).await;
    assert_eq!(reply.state, "completed");
    for number in 0..2 {
        fleet.workers.lock().unwrap().restart(number);
    }
    eventually("both agents log the new incarnations", async || {
        let logs = fleet.agents.iter().map(Machine::log_text);
        logs.filter(|l| l.matches("SC421").count() == 2).count() == 2
    })
    .await;
    let before = fleet.workers.lock().unwrap().witness.starts;
    let reply = callers::submit_job(&fleet.workers, entry, job(2, 10, 30)).await;
    assert_eq!(reply.state, "completed");
    let starts = fleet.workers.lock().unwrap().witness.starts;
    assert_eq!(starts - before, 10, "each task began once");

    fleet.workers.lock().unwrap().models[0].draining = true;
    eventually("the agent logs that the worker drains", async || {
        fleet.agents[0].log_text().contains("SC422")
    })
    .await;
    let before = fleet.workers.lock().unwrap().starts[0];
    let reply = callers::submit_job(&fleet.workers, entry, job(3, 6, 30)).await;
    assert_eq!(reply.state, "completed");
    assert_eq!(fleet.workers.lock().unwrap().starts[0], before);
    assert_eq!(fleet.violation(), None);
}

/// Guards against a job that crashes worker after worker. Each worker crashes 10 ms after it has started the
/// task and comes back as a new incarnation; the job must fail after two or three crashes and not be started
/// again.
#[actix_rt::test]
async fn test_platform_crashing_job() {
    let fleet = Fleet::start(binary(), 2, 4).await;
    let entry = fleet.entries[0].callers();
    let crashing = CallerJob {
        crashing: true,
        ..job(1, 1, 600)
    };
    let reply = callers::submit_job(&fleet.workers, entry, crashing).await;
    assert_eq!((reply.status, reply.state.as_str()), (200, "failed"));
    let crashes = fleet.workers.lock().unwrap().crashes;
    assert!((2..=3).contains(&crashes), "{crashes} workers crashed");
    assert_eq!(fleet.violation(), None);

    let again = callers::submit_job(&fleet.workers, entry, crashing).await;
    assert_eq!(again.state, "failed", "the end is remembered");
    assert_eq!(fleet.workers.lock().unwrap().crashes, crashes);
    eventually("the crashes and the task are logged", async || {
        let logs = fleet.agents.iter().map(Machine::log_text);
        let reported = logs.filter(|l| l.contains("SC437")).count();
        reported == crashes as usize && fleet.entries[0].log_text().contains("SC412")
    })
    .await;

    let other = fleet.entries[1].callers();
    let reply = callers::submit_job(&fleet.workers, other, job(2, 4, 40)).await;
    assert_eq!(reply.state, "completed");
    let page = metrics_of(&fleet.entries[0]).await;
    assert!(page.contains(r#"stackcourse_causes_total{cause="crashes"} 1"#));
}

/// Entries must follow a new configuration after the store has compacted its history, and serve jobs by it
/// while the store is unavailable.
#[actix_rt::test]
async fn test_platform_configuration_change() {
    let fleet = Fleet::start(binary(), 2, 1).await;
    let entry = fleet.entries[1].callers();
    assert_eq!(
        callers::send_request(entry, "GET", "/new/", None)
            .await
            .status,
        404
    );
    fleet.store.compact();
    let next = fleet::configuration(7, &[SERVICE, "new"]);
    fleet.store.write_as_operator("op/config", &next);
    eventually("the new queue is served", async || {
        callers::send_request(entry, "GET", "/new/", None)
            .await
            .status
            == 200
    })
    .await;
    fleet.store.set_faults(StoreFaults::Unavailable);
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    let reply = callers::submit_job(&fleet.workers, entry, job(1, 2, 30)).await;
    assert_eq!(reply.state, "completed", "jobs don't need the store");
}

/// An entry whose member key is removed while its lease is valid must write the key again.
#[actix_rt::test]
async fn test_platform_member_key_removed() {
    let fleet = Fleet::start(binary(), 1, 1).await;
    assert_eq!(fleet.store.keys("members/").len(), 1);
    fleet.store.revoke_keys();
    eventually("the key is written again", async || {
        fleet.store.keys("members/").len() == 1
    })
    .await;
}

/// A malformed settings file must be logged and leave the settings in force unchanged.
#[actix_rt::test]
async fn test_platform_settings_malformed() {
    let fleet = Fleet::start(binary(), 1, 1).await;
    let entry = &fleet.entries[0];
    std::fs::write(entry.settings(), "{\"node\": {\"name\": 3}").expect("a file");
    entry.signal(Signal::SIGHUP);
    eventually("the error is logged", async || {
        entry.log_text().contains("SC104")
    })
    .await;
    let reply = callers::submit_job(&fleet.workers, entry.callers(), job(1, 1, 20)).await;
    assert_eq!(reply.state, "completed");
}

/// Guards against runs that occupy a worker after their caller has disconnected.
#[actix_rt::test]
async fn test_platform_caller_disconnect() {
    let fleet = Fleet::start(binary(), 1, 1).await;
    let entry = fleet.entries[0].callers();
    let workers = fleet.workers.clone();
    let caller =
        actix_rt::spawn(async move { callers::submit_job(&workers, entry, job(1, 8, 2000)).await });
    eventually("all tasks run", async || {
        fleet.workers.lock().unwrap().models[0].running.len() == 8
    })
    .await;
    caller.abort();
    eventually("the runs are stopped", async || {
        let mut workers = fleet.workers.lock().unwrap();
        workers.advance();
        workers.models[0].running.is_empty()
    })
    .await;
}

/// Runs short soaks with random faults: no guarantee may be violated, and the fleet must recover.
#[actix_rt::test]
async fn test_platform_soak() {
    for seed in 1..3 {
        let logs = std::env::temp_dir().join("stackcourse-soak");
        let plan = SoakPlan {
            log_dir: Some(logs.clone()),
            ..SoakPlan::small(seed, Duration::from_secs(8))
        };
        let report = soak::run(binary(), &plan).await;
        let context = format!("seed {seed}, logs in {}: {report:?}", logs.display());
        assert_eq!(report.violation, None, "{context}");
        assert!(report.is_good(), "did not recover: {context}");
    }
}

/// Runs a short soak of a fleet that is divided into partitions.
#[actix_rt::test]
async fn test_platform_soak_partitioned() {
    let logs = std::env::temp_dir().join("stackcourse-soak-divided");
    let plan = SoakPlan {
        log_dir: Some(logs.clone()),
        ..SoakPlan::partitioned(1, Duration::from_secs(8))
    };
    let report = soak::run(binary(), &plan).await;
    let context = format!("logs in {}: {report:?}", logs.display());
    assert_eq!(report.violation, None, "{context}");
    assert!(report.is_good(), "did not recover: {context}");
}

/// Every entry must serve every job, although it is linked to the agents of its own partition only: it
/// forwards jobs of the other partition, each once.
#[actix_rt::test]
async fn test_platform_partitioned_every_entry() {
    let fleet = Fleet::start_partitioned(binary(), 6, 8).await;
    assert_eq!(fleet.partitions.count(), 2);
    let mut number = 0;
    let mut foreign = 0;
    for (at, entry) in fleet.entries.iter().enumerate() {
        let own = fleet.partitions.of_name(&format!("entry-{at}"));
        let linked = fleet::metric(entry.metrics(), "state", "executors_linked").await;
        assert!(linked < Some(8), "{linked:?} agents linked to one entry");
        for _ in 0..6 {
            number += 1;
            foreign += usize::from(fleet.partitions.of_job(JobNumber(number)) != own);
            let reply =
                callers::submit_job(&fleet.workers, entry.callers(), job(number, 3, 30)).await;
            assert_eq!((reply.status, reply.state.as_str()), (200, "completed"));
        }
    }
    let forwarded = |m: &Machine| m.log_text().matches("SC409").count();
    eventually(
        "each job of the other partition is forwarded once",
        async || fleet.entries.iter().map(forwarded).sum::<usize>() == foreign,
    )
    .await;
    assert_eq!(fleet.violation(), None);
}

/// Guards against double starts: a job resubmitted at entries of both partitions must not run a second time.
#[actix_rt::test]
async fn test_platform_partitioned_resubmission() {
    let fleet = Fleet::start_partitioned(binary(), 6, 8).await;
    for number in 1..4 {
        let slow = job(number, 3, 700);
        let calls = fleet.entries.iter().enumerate().map(|(wait, entry)| {
            let (workers, at) = (fleet.workers.clone(), entry.callers());
            async move {
                actix_rt::time::sleep(Duration::from_millis(120 * wait as u64)).await;
                callers::submit_job(&workers, at, slow).await
            }
        });
        for reply in futures::future::join_all(calls).await {
            assert_eq!(reply.state, "completed");
        }
    }
    assert_eq!(fleet.violation(), None);
}

/// Guards against requests cut by a planned stop of an entry that has forwarded them.
#[actix_rt::test]
async fn test_platform_partitioned_entry_shutdown() {
    let mut fleet = Fleet::start_partitioned(binary(), 6, 8).await;
    let at = fleet.entries[0].callers();
    let own = fleet.partitions.of_name("entry-0");
    let foreign = (1..).filter(|n| fleet.partitions.of_job(JobNumber(*n)) != own);
    let jobs: Vec<u64> = foreign.take(3).collect();
    let calls = jobs.iter().map(|number| {
        let workers = fleet.workers.clone();
        let slow = job(*number, 2, 3_000);
        async move { callers::submit_job(&workers, at, slow).await }
    });
    let calls = actix_rt::spawn(futures::future::join_all(calls.collect::<Vec<_>>()));
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    let stopping = fleet.entries.remove(0);
    let stopped = actix_rt::task::spawn_blocking(move || {
        let mut stopping = stopping;
        stopping.stop(Duration::from_secs(8))
    });
    for reply in calls.await.expect("the callers get responses") {
        assert_eq!(reply.state, "completed");
    }
    assert!(
        stopped.await.expect("the stop runs to its end"),
        "the entry ends with success"
    );
}

/// A job cancelled at any entry must end, in whichever partition it runs.
#[actix_rt::test]
async fn test_platform_partitioned_cancel() {
    let fleet = Fleet::start_partitioned(binary(), 6, 8).await;
    for number in 1..4 {
        let at = fleet.entries[0].callers();
        let running = callers::submit_job(&fleet.workers, at, job(number, 2, 5_000));
        let cancel = async {
            actix_rt::time::sleep(Duration::from_millis(300)).await;
            let path = format!("{PREFIX}{}", JobNumber(number));
            callers::send_request(fleet.entries[5].callers(), "DELETE", &path, None).await
        };
        let (ran, cancelled) = futures::future::join(running, cancel).await;
        assert_eq!(cancelled.status, 200);
        assert_eq!(ran.state, "cancelled");
    }
}

async fn metrics_of(machine: &Machine) -> String {
    let page = fleet::metrics_page(machine.metrics()).await;
    page.expect("a metrics page")
}

/// Checks the metrics of job times, data ages, store calls and run times.
#[actix_rt::test]
async fn test_platform_metrics() {
    let fleet = Fleet::start(binary(), 1, 2).await;
    let entry = fleet.entries[0].callers();
    let reply = callers::submit_job(&fleet.workers, entry, job(1, 3, 40)).await;
    assert_eq!(reply.state, "completed");
    let page = metrics_of(&fleet.entries[0]).await;
    for stage in ["placed", "completed"] {
        let line =
            format!(r#"stackcourse_job_seconds_count{{queue="r-{SERVICE}",stage="{stage}"}} 1"#);
        assert!(page.contains(&line), "{line} in {page}");
    }
    for of in ["configuration", "executor_report", "peer_update"] {
        let name = format!(r#"stackcourse_belief_age_ms{{of="{of}"}}"#);
        assert!(page.contains(&name), "{name} in {page}");
    }
    assert!(page.contains(r#"stackcourse_store_calls_total{kind="list",result="200"}"#));
    let mut runs = 0;
    for agent in &fleet.agents {
        let page = metrics_of(agent).await;
        let counts = page.lines().filter_map(|l| {
            let rest = l.strip_prefix(r#"stackcourse_run_seconds_count{end="done"} "#)?;
            rest.parse::<u64>().ok()
        });
        runs += counts.sum::<u64>();
    }
    assert_eq!(runs, 3);
}
