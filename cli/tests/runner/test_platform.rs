//! The roles on the users' platform, as real processes over the platform's stand-ins.

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
use stackcourse_testutils::platform::fleet::Machine;
use stackcourse_testutils::platform::fleet::SERVICE;
use stackcourse_testutils::platform::soak;
use stackcourse_testutils::platform::soak::SoakPlan;
use stackcourse_testutils::platform::store::Mood;
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

async fn eventually(what: &str, mut check: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(20);
    while !check().await {
        assert!(Instant::now() < end, "{what}");
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}

#[actix_rt::test]
async fn test_platform_serves_jobs_and_refuses_what_it_can_not() {
    let fleet = Fleet::start(binary(), 2, 3).await;
    let entry = fleet.entries[0].callers();
    let got = callers::hand_in(&fleet.workers, entry, job(1, 5, 40)).await;
    assert_eq!((got.status, got.state.as_str()), (200, "completed"));

    let mut kept = job(2, 1, 10).body();
    kept["bestEffort"] = false.into();
    let path = format!("{PREFIX}{}", JobNumber(2));
    let got = callers::call(entry, "POST", &path, Some(kept)).await;
    assert_eq!(got.status, 503);
    assert!(got.come_back.is_some(), "a refusal says when to come back");

    let elsewhere = callers::call(entry, "GET", "/nowhere/", None).await;
    assert_eq!(elsewhere.status, 404);
    let unknown = callers::call(entry, "GET", &format!("{PREFIX}{}", JobNumber(9)), None).await;
    assert_eq!(unknown.status, 410);
    let pending = callers::call(entry, "GET", PREFIX, None).await;
    assert_eq!(pending.status, 200);
    assert_eq!(fleet.violation(), None);
}

#[actix_rt::test]
async fn test_platform_job_that_comes_again_elsewhere_stays_one() {
    let fleet = Fleet::start(binary(), 2, 2).await;
    let (one, two) = (fleet.entries[0].callers(), fleet.entries[1].callers());
    let slow = job(1, 3, 700);
    let first = callers::hand_in(&fleet.workers, one, slow);
    let again = async {
        actix_rt::time::sleep(Duration::from_millis(250)).await;
        callers::hand_in(&fleet.workers, two, slow).await
    };
    let (first, again) = futures::future::join(first, again).await;
    assert_eq!(first.state, "completed");
    assert_eq!(again.state, "completed");
    let starts = fleet.workers.lock().unwrap().witness.starts;
    assert_eq!(starts, 3, "each task began once");
    assert_eq!(fleet.violation(), None);
}

#[actix_rt::test]
async fn test_platform_job_of_a_killed_entry_is_run_by_another() {
    let mut fleet = Fleet::start(binary(), 2, 2).await;
    let (one, two) = (fleet.entries[0].callers(), fleet.entries[1].callers());
    let slow = job(1, 3, 900);
    let workers = fleet.workers.clone();
    let lost = actix_rt::spawn(async move { callers::hand_in(&workers, one, slow).await });
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    fleet.entries[0].kill();
    let again = callers::hand_in(&fleet.workers, two, slow).await;
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    let log = fleet.entries[1].log_text();
    assert_eq!(again.state, "completed", "{again:?} {log}");
    assert_eq!(lost.await.expect("a caller").status, 0);
    assert_eq!(fleet.violation(), None);
}

#[actix_rt::test]
async fn test_platform_entry_that_was_stopped_starts_nothing_late() {
    let fleet = Fleet::start(binary(), 2, 2).await;
    let (one, two) = (fleet.entries[0].callers(), fleet.entries[1].callers());
    let slow = job(1, 4, 900);
    let workers = fleet.workers.clone();
    actix_rt::spawn(async move { callers::hand_in(&workers, one, slow).await });
    actix_rt::time::sleep(Duration::from_millis(200)).await;
    fleet.entries[0].signal(Signal::SIGSTOP);
    actix_rt::time::sleep(Duration::from_millis(1100)).await;
    let again = callers::hand_in(&fleet.workers, two, slow).await;
    fleet.entries[0].signal(Signal::SIGCONT);
    assert_eq!(again.state, "completed");
    actix_rt::time::sleep(Duration::from_millis(800)).await;
    assert_eq!(fleet.violation(), None);
}

#[actix_rt::test]
async fn test_platform_cut_between_entries_does_not_run_a_job_twice() {
    let fleet = Fleet::start(binary(), 2, 2).await;
    let (one, two) = (fleet.entries[0].callers(), fleet.entries[1].callers());
    let stall = Fault {
        stall: true,
        ..Fault::default()
    };
    fleet.proxies[0].set(stall);
    actix_rt::time::sleep(Duration::from_millis(1500)).await;
    let slow = job(1, 2, 500);
    let first = callers::hand_in(&fleet.workers, one, slow);
    let second = callers::hand_in(&fleet.workers, two, slow);
    let (first, second) = futures::future::join(first, second).await;
    assert!(first.state == "completed" || second.state == "completed");
    assert_eq!(fleet.violation(), None);
    fleet.proxies[0].set(Fault::default());
}

#[actix_rt::test]
async fn test_platform_planned_stop_cuts_no_request() {
    let mut fleet = Fleet::start(binary(), 2, 2).await;
    let entry = fleet.entries[0].callers();
    let workers = fleet.workers.clone();
    let slow =
        actix_rt::spawn(async move { callers::hand_in(&workers, entry, job(1, 2, 600)).await });
    actix_rt::time::sleep(Duration::from_millis(150)).await;
    fleet.entries[0].signal(Signal::SIGTERM);
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    let ready = callers::call(fleet.entries[0].ready(), "GET", "/-/ready", None).await;
    assert_eq!(ready.status, 503, "an entry that leaves is not ready");
    let late = callers::hand_in(&fleet.workers, entry, job(2, 1, 50)).await;
    assert_eq!(late.state, "completed", "what still comes is served");
    assert_eq!(slow.await.expect("a caller").state, "completed");
    assert!(
        fleet.entries[0].stop(Duration::from_secs(8)),
        "it ends well"
    );
    assert_eq!(fleet.violation(), None);
}

/// Where too few entries of a zone are ready the balancer goes on sending callers to one that leaves. It refuses new
/// connections once the balancer has had its time, and still answers what it holds.
#[actix_rt::test]
async fn test_platform_entry_that_leaves_refuses_new_connections_in_the_end() {
    let mut fleet = Fleet::start(binary(), 2, 2).await;
    let entry = fleet.entries[0].callers();
    let workers = fleet.workers.clone();
    fleet.entries[0].signal(Signal::SIGTERM);
    actix_rt::time::sleep(Duration::from_millis(1500)).await;
    let slow =
        actix_rt::spawn(async move { callers::hand_in(&workers, entry, job(1, 2, 1800)).await });
    actix_rt::time::sleep(Duration::from_millis(1200)).await;
    let late = callers::hand_in(&fleet.workers, entry, job(2, 1, 50)).await;
    assert_eq!(
        late.status, 0,
        "its caller is free to connect elsewhere at once"
    );
    assert_eq!(slow.await.expect("a caller").state, "completed");
    assert!(
        fleet.entries[0].stop(Duration::from_secs(8)),
        "it ends well"
    );
    assert_eq!(fleet.violation(), None);
}

/// A caller that keeps its connection stays with the entry until that ends. The next answer of one that leaves ends it.
#[actix_rt::test]
async fn test_platform_entry_that_leaves_lets_go_of_connections() {
    let fleet = Fleet::start(binary(), 2, 1).await;
    let entry = fleet.entries[0].callers();
    let mut stream = TcpStream::connect(entry).await.expect("it listens");
    let kept = exchange(&mut stream).await;
    assert!(
        kept.starts_with("http/1.1 200") && !kept.contains("connection: close"),
        "{kept}"
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
    assert_eq!(end.expect("it ends well"), 0);
}

/// Asks how many jobs wait; the answer, in small letters.
async fn exchange(stream: &mut TcpStream) -> String {
    let request = format!("GET {PREFIX} HTTP/1.1\r\nHost: {HOST}\r\n\r\n");
    stream
        .write_all(request.as_bytes())
        .await
        .expect("it is open");
    let mut bytes = vec![0u8; 4096];
    let n = stream.read(&mut bytes).await.expect("an answer");
    String::from_utf8_lossy(&bytes[..n]).to_lowercase()
}

/// One of two zones is evacuated and taken back, then both are. Its workers run on; nobody gets anything there.
#[actix_rt::test]
async fn test_platform_evacuated_zone_gets_nothing_more() {
    const HEARD: Duration = Duration::from_millis(500);
    let fleet = Fleet::start(binary(), 2, 2).await;
    let [first, second] = [fleet.entries[0].callers(), fleet.entries[1].callers()];
    let starts = |n: usize| fleet.workers.lock().unwrap().starts[n];
    fleet.set_evacuated("y", true);
    actix_rt::time::sleep(HEARD).await;
    let before = [starts(0), starts(1)];
    for number in 0..8 {
        let entry = if number % 2 == 0 { first } else { second };
        let got = callers::hand_in(&fleet.workers, entry, job(number, 3, 30)).await;
        assert_eq!(got.state, "completed");
    }
    assert_eq!([starts(0) - before[0], starts(1) - before[1]], [24, 0]);
    fleet.set_evacuated("z", true);
    actix_rt::time::sleep(HEARD).await;
    let refused = callers::hand_in(&fleet.workers, first, job(20, 1, 30)).await;
    assert_eq!(refused.status, 503);
    assert!(
        refused.come_back.is_some(),
        "at once, with a time to come back"
    );
    fleet.store.compact();
    fleet.set_evacuated("y", false);
    actix_rt::time::sleep(HEARD).await;
    let got = callers::hand_in(&fleet.workers, second, job(21, 3, 30)).await;
    assert_eq!(got.state, "completed", "it is taken back");
    assert_eq!(fleet.violation(), None);
}

#[actix_rt::test]
async fn test_platform_agent_that_leaves_finishes_what_runs() {
    let mut fleet = Fleet::start(binary(), 1, 2).await;
    let entry = fleet.entries[0].callers();
    let workers = fleet.workers.clone();
    let slow =
        actix_rt::spawn(async move { callers::hand_in(&workers, entry, job(1, 4, 500)).await });
    actix_rt::time::sleep(Duration::from_millis(150)).await;
    assert!(fleet.agents[0].stop(Duration::from_secs(8)), "it ends well");
    assert_eq!(slow.await.expect("a caller").state, "completed");
    assert_eq!(fleet.workers.lock().unwrap().witness.starts, 4);
    assert_eq!(fleet.violation(), None);
}

#[actix_rt::test]
async fn test_platform_draining_worker_gets_nothing_new() {
    let fleet = Fleet::start(binary(), 1, 2).await;
    fleet.workers.lock().unwrap().models[0].draining = true;
    eventually("the agent tells of it", async || {
        fleet.agents[0].log_text().contains("SC422")
    })
    .await;
    let before = fleet.workers.lock().unwrap().models[0].begun;
    for number in 1..6 {
        let entry = fleet.entries[0].callers();
        let got = callers::hand_in(&fleet.workers, entry, job(number, 3, 30)).await;
        assert_eq!(got.state, "completed");
    }
    let workers = fleet.workers.lock().unwrap();
    assert_eq!(
        workers.models[0].begun, before,
        "nothing new has begun there"
    );
    assert!(workers.models[1].begun >= 15);
}

/// Workers that are started again under the ids that they had count their ends and heartbeats from 1. While lives were told
/// apart by the id alone, their ends were passed over and each task ran until the job's time was up.
#[actix_rt::test]
async fn test_platform_workers_that_restart_under_their_ids_are_met_anew() {
    let fleet = Fleet::start(binary(), 1, 2).await;
    let entry = fleet.entries[0].callers();
    let got = callers::hand_in(&fleet.workers, entry, job(1, 40, 10)).await;
    assert_eq!(got.state, "completed");
    for number in 0..2 {
        fleet.workers.lock().unwrap().restart(number);
    }
    eventually("both agents have met the new lives", async || {
        let logs = fleet.agents.iter().map(Machine::log_text);
        logs.filter(|l| l.matches("SC421").count() == 2).count() == 2
    })
    .await;
    let before = fleet.workers.lock().unwrap().witness.starts;
    let got = callers::hand_in(&fleet.workers, entry, job(2, 10, 30)).await;
    assert_eq!(got.state, "completed");
    let starts = fleet.workers.lock().unwrap().witness.starts;
    assert_eq!(starts - before, 10, "each task began once");

    fleet.workers.lock().unwrap().models[0].draining = true;
    eventually("the agent tells of it", async || {
        fleet.agents[0].log_text().contains("SC422")
    })
    .await;
    let before = fleet.workers.lock().unwrap().starts[0];
    let got = callers::hand_in(&fleet.workers, entry, job(3, 6, 30)).await;
    assert_eq!(got.state, "completed");
    assert_eq!(fleet.workers.lock().unwrap().starts[0], before);
    assert_eq!(fleet.violation(), None);
}

/// A worker goes 10 ms after it has started a task of the job, and is back in another life.
#[actix_rt::test]
async fn test_platform_job_that_takes_workers_down_is_given_up() {
    let fleet = Fleet::start(binary(), 2, 4).await;
    let entry = fleet.entries[0].callers();
    let crashing = CallerJob {
        crashing: true,
        ..job(1, 1, 600)
    };
    let got = callers::hand_in(&fleet.workers, entry, crashing).await;
    assert_eq!((got.status, got.state.as_str()), (200, "failed"));
    let crashes = fleet.workers.lock().unwrap().crashes;
    assert!((2..=3).contains(&crashes), "{crashes} workers were lost");
    assert_eq!(fleet.violation(), None);

    let again = callers::hand_in(&fleet.workers, entry, crashing).await;
    assert_eq!(again.state, "failed", "its end is remembered");
    assert_eq!(fleet.workers.lock().unwrap().crashes, crashes);
    eventually("the crashes and the task are logged", async || {
        let logs = fleet.agents.iter().map(Machine::log_text);
        let told = logs.filter(|l| l.contains("SC437")).count();
        told == crashes as usize && fleet.entries[0].log_text().contains("SC412")
    })
    .await;

    let other = fleet.entries[1].callers();
    let got = callers::hand_in(&fleet.workers, other, job(2, 4, 40)).await;
    assert_eq!(got.state, "completed");
    let page = page_of(&fleet.entries[0]).await;
    assert!(page.contains(r#"stackcourse_causes_total{cause="crashes"} 1"#));
}

#[actix_rt::test]
async fn test_platform_configuration_is_followed_and_survives_the_store() {
    let fleet = Fleet::start(binary(), 2, 1).await;
    let entry = fleet.entries[1].callers();
    assert_eq!(callers::call(entry, "GET", "/new/", None).await.status, 404);
    fleet.store.compact();
    let next = fleet::configuration(7, &[SERVICE, "new"]);
    fleet.store.operator_writes("op/config", &next);
    eventually("the new queue is there", async || {
        callers::call(entry, "GET", "/new/", None).await.status == 200
    })
    .await;
    fleet.store.set_mood(Mood::Busy);
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    let got = callers::hand_in(&fleet.workers, entry, job(1, 2, 30)).await;
    assert_eq!(got.state, "completed", "the store is on no job's path");
}

#[actix_rt::test]
async fn test_platform_member_key_comes_back_when_it_is_taken_away() {
    let fleet = Fleet::start(binary(), 1, 1).await;
    assert_eq!(fleet.store.keys("members/").len(), 1);
    fleet.store.revoke_keys();
    eventually("the key is written again", async || {
        fleet.store.keys("members/").len() == 1
    })
    .await;
}

#[actix_rt::test]
async fn test_platform_broken_settings_leave_the_last_good_ones() {
    let fleet = Fleet::start(binary(), 1, 1).await;
    let entry = &fleet.entries[0];
    std::fs::write(entry.settings(), "{\"node\": {\"name\": 3}").expect("a file");
    entry.signal(Signal::SIGHUP);
    eventually("the finding is logged", async || {
        entry.log_text().contains("SC104")
    })
    .await;
    let got = callers::hand_in(&fleet.workers, entry.callers(), job(1, 1, 20)).await;
    assert_eq!(got.state, "completed");
}

#[actix_rt::test]
async fn test_platform_caller_that_leaves_frees_its_room() {
    let fleet = Fleet::start(binary(), 1, 1).await;
    let entry = fleet.entries[0].callers();
    let workers = fleet.workers.clone();
    let caller =
        actix_rt::spawn(async move { callers::hand_in(&workers, entry, job(1, 8, 2000)).await });
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

#[actix_rt::test]
async fn test_platform_soak_keeps_every_promise() {
    for seed in 1..3 {
        let logs = std::env::temp_dir().join("stackcourse-soak");
        let plan = SoakPlan {
            keep: Some(logs.clone()),
            ..SoakPlan::small(seed, Duration::from_secs(8))
        };
        let report = soak::run(binary(), &plan).await;
        let kept = format!("seed {seed}, logs in {}: {report:?}", logs.display());
        assert_eq!(report.violation, None, "{kept}");
        assert!(report.is_good(), "did not recover: {kept}");
    }
}

#[actix_rt::test]
async fn test_platform_soak_of_a_divided_fleet_keeps_every_promise() {
    let logs = std::env::temp_dir().join("stackcourse-soak-divided");
    let plan = SoakPlan {
        keep: Some(logs.clone()),
        ..SoakPlan::divided(1, Duration::from_secs(8))
    };
    let report = soak::run(binary(), &plan).await;
    let kept = format!("logs in {}: {report:?}", logs.display());
    assert_eq!(report.violation, None, "{kept}");
    assert!(report.is_good(), "did not recover: {kept}");
}

/// Every entry serves every job, though it is linked to the agents of its partition only.
#[actix_rt::test]
async fn test_platform_divided_fleet_serves_every_job_at_every_entry() {
    let fleet = Fleet::start_divided(binary(), 6, 8).await;
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
            let got = callers::hand_in(&fleet.workers, entry.callers(), job(number, 3, 30)).await;
            assert_eq!((got.status, got.state.as_str()), (200, "completed"));
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

/// A job that comes again at an entry of another partition than the one that runs it stays one.
#[actix_rt::test]
async fn test_platform_divided_fleet_keeps_a_job_one_that_comes_again_anywhere() {
    let fleet = Fleet::start_divided(binary(), 6, 8).await;
    for number in 1..4 {
        let slow = job(number, 3, 700);
        let calls = fleet.entries.iter().enumerate().map(|(wait, entry)| {
            let (workers, at) = (fleet.workers.clone(), entry.callers());
            async move {
                actix_rt::time::sleep(Duration::from_millis(120 * wait as u64)).await;
                callers::hand_in(&workers, at, slow).await
            }
        });
        for got in futures::future::join_all(calls).await {
            assert_eq!(got.state, "completed");
        }
    }
    assert_eq!(fleet.violation(), None);
}

/// A planned stop of an entry cuts no job that it has forwarded.
#[actix_rt::test]
async fn test_platform_divided_fleet_an_entry_that_stops_answers_what_it_forwarded() {
    let mut fleet = Fleet::start_divided(binary(), 6, 8).await;
    let at = fleet.entries[0].callers();
    let own = fleet.partitions.of_name("entry-0");
    let foreign = (1..).filter(|n| fleet.partitions.of_job(JobNumber(*n)) != own);
    let jobs: Vec<u64> = foreign.take(3).collect();
    let calls = jobs.iter().map(|number| {
        let workers = fleet.workers.clone();
        let slow = job(*number, 2, 3_000);
        async move { callers::hand_in(&workers, at, slow).await }
    });
    let calls = actix_rt::spawn(futures::future::join_all(calls.collect::<Vec<_>>()));
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    let stopping = fleet.entries.remove(0);
    let stopped = actix_rt::task::spawn_blocking(move || {
        let mut stopping = stopping;
        stopping.stop(Duration::from_secs(8))
    });
    for got in calls.await.expect("the callers are answered") {
        assert_eq!(got.state, "completed");
    }
    assert!(stopped.await.expect("it stops"), "the entry ends well");
}

/// A job whose caller cancels it at another entry ends, wherever it runs.
#[actix_rt::test]
async fn test_platform_divided_fleet_cancels_a_job_from_any_entry() {
    let fleet = Fleet::start_divided(binary(), 6, 8).await;
    for number in 1..4 {
        let at = fleet.entries[0].callers();
        let running = callers::hand_in(&fleet.workers, at, job(number, 2, 5_000));
        let cancel = async {
            actix_rt::time::sleep(Duration::from_millis(300)).await;
            let path = format!("{PREFIX}{}", JobNumber(number));
            callers::call(fleet.entries[5].callers(), "DELETE", &path, None).await
        };
        let (ran, cancelled) = futures::future::join(running, cancel).await;
        assert_eq!(cancelled.status, 200);
        assert_eq!(ran.state, "cancelled");
    }
}

async fn page_of(machine: &Machine) -> String {
    let page = fleet::metrics_page(machine.metrics()).await;
    page.expect("a metrics page")
}

#[actix_rt::test]
async fn test_platform_metrics_tell_times_ages_and_calls() {
    let fleet = Fleet::start(binary(), 1, 2).await;
    let entry = fleet.entries[0].callers();
    let got = callers::hand_in(&fleet.workers, entry, job(1, 3, 40)).await;
    assert_eq!(got.state, "completed");
    let page = page_of(&fleet.entries[0]).await;
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
        let page = page_of(agent).await;
        let counts = page.lines().filter_map(|l| {
            let rest = l.strip_prefix(r#"stackcourse_run_seconds_count{end="done"} "#)?;
            rest.parse::<u64>().ok()
        });
        runs += counts.sum::<u64>();
    }
    assert_eq!(runs, 3);
}
