//! Tests of real processes under failures. The backend servers' logs show which tasks have started.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use serde_json::json;
use stackcourse_daemon::operator;
use stackcourse_lib::job_id::JobId;
use stackcourse_testutils::cluster::Cluster;
use stackcourse_testutils::cluster::ClusterPlan;
use stackcourse_testutils::cluster::Reply;
use stackcourse_testutils::cluster::job_body;
use stackcourse_testutils::cluster::new_job_id;
use stackcourse_testutils::cluster::put_job;
use stackcourse_testutils::cluster::stub_answers;
use stackcourse_testutils::fault_proxy::Fault;

fn plan() -> ClusterPlan {
    ClusterPlan::new(env!("CARGO_BIN_EXE_stackcourse"))
}

/// Asserts that an outcome is true: a `complete` job has all answers, a `not_run` job has started no task.
fn assert_true(cluster: &Cluster, job: JobId, tasks: u32, reply: &Reply) {
    match reply.outcome() {
        "complete" => assert_eq!(reply.body["answers"], stub_answers(job, tasks)),
        "not_run" => assert!(cluster.started_tasks(job).is_empty(), "{job} has started"),
        "failed" | "unknown" => assert!(reply.body.get("answers").is_none()),
        other => panic!("outcome {other}: {reply:?}"),
    }
}

/// Sends jobs to an entry concurrently, each as a spawned task.
fn send_all(
    http: SocketAddr,
    jobs: &[JobId],
    body: &serde_json::Value,
) -> Vec<actix_rt::task::JoinHandle<Option<Reply>>> {
    let send = |job: &JobId| {
        let (job, body) = (*job, body.clone());
        actix_rt::spawn(async move { put_job(http, "quote", job, &body).await })
    };
    jobs.iter().map(send).collect()
}

/// Resubmits a job to one running entry after the other until its outcome is known. Panics after 30 s.
async fn resubmit(cluster: &Cluster, job: JobId, body: &serde_json::Value) -> Reply {
    let end = Instant::now() + Duration::from_secs(30);
    let mut last = None;
    let mut i = 0;
    while Instant::now() < end {
        i += 1;
        if cluster.entries[i % 3].process.is_none() {
            continue;
        }
        let reply = cluster.put(i % 3, "quote", job, body).await;
        match reply {
            Some(reply) if reply.outcome() != "unknown" => return reply,
            other => last = other.or(last),
        }
        actix_rt::time::sleep(Duration::from_millis(200)).await;
    }
    let starts = cluster.started_tasks(job);
    let wasted = cluster.metric("stackcourse_wasted_total").await;
    panic!(
        "{job} has no outcome after 30 s; starts {starts:?}, wasted {wasted:?}, last reply {last:?}"
    );
}

/// Guards against lost or repeated tasks when the owner of running jobs is killed: its successor must
/// complete them.
#[actix_rt::test]
async fn test_failures_owner_killed() {
    let mut cluster = Cluster::start(plan()).await;
    let owner = cluster.owner().await;
    let other = (owner + 1) % 3;
    let body = job_body(&[100, 900, 1_500, 300, 1_200, 700], 20_000);
    let jobs: Vec<JobId> = (0..6).map(|_| new_job_id()).collect();
    let calls = send_all(cluster.entries[other].http, &jobs, &body);
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    cluster.kill_entry(owner);
    for (job, call) in jobs.iter().zip(calls) {
        let reply = call
            .await
            .expect("no panic")
            .expect("the caller's entry runs");
        assert_eq!(reply.outcome(), "complete", "{reply:?}");
        assert_true(&cluster, *job, 6, &reply);
    }
    cluster.assert_no_double_start();
}

/// A caller whose connection broke with the owner resubmits its job at another entry. The job must complete
/// and each task start once.
#[actix_rt::test]
async fn test_failures_owner_killed_resubmission() {
    let mut cluster = Cluster::start(plan()).await;
    let owner = cluster.owner().await;
    let body = job_body(&[400, 800, 200], 20_000);
    let job = new_job_id();
    let http = cluster.entries[owner].http;
    let call = actix_rt::spawn({
        let body = body.clone();
        async move { put_job(http, "quote", job, &body).await }
    });
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    cluster.kill_entry(owner);
    assert_eq!(call.await.expect("no panic"), None);
    let reply = resubmit(&cluster, job, &body).await;
    assert_eq!(reply.outcome(), "complete", "{reply:?}");
    assert_eq!(cluster.started_tasks(job), [0, 1, 2]);
}

/// Guards against double starts by an owner that was paused while another entry took its shards over.
#[actix_rt::test]
async fn test_failures_owner_paused() {
    let cluster = Cluster::start(plan()).await;
    let owner = cluster.owner().await;
    let other = (owner + 1) % 3;
    let body = job_body(&[300; 24], 20_000);
    let job = new_job_id();
    let at_owner = cluster.put(owner, "quote", job, &body);
    let at_other = async {
        actix_rt::time::sleep(Duration::from_millis(200)).await;
        let process = cluster.entries[owner].process.as_ref().expect("runs");
        process.signal(Signal::SIGSTOP);
        let reply = cluster.put(other, "quote", job, &body).await;
        process.signal(Signal::SIGCONT);
        reply
    };
    let (late, reply) = futures::future::join(at_owner, at_other).await;
    let reply = reply.expect("an answer");
    assert_eq!(reply.outcome(), "complete", "{reply:?}");
    assert_true(&cluster, job, 24, &reply);
    if let Some(late) = late {
        assert_true(&cluster, job, 24, &late);
    }
    cluster.assert_no_double_start();
    assert_eq!(cluster.started_tasks(job).len(), 24);
}

/// The loss of an agent must end the jobs with tasks there, with an outcome that stays the same, and no
/// others.
#[actix_rt::test]
async fn test_failures_agent_killed() {
    let mut cluster = Cluster::start(plan()).await;
    let body = job_body(&[1_500; 4], 20_000);
    let jobs: Vec<JobId> = (0..4).map(|_| new_job_id()).collect();
    let calls = send_all(cluster.entries[0].http, &jobs, &body);
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    cluster.kill_agent(0);
    let mut ends = Vec::new();
    for (job, call) in jobs.iter().zip(calls) {
        let reply = call.await.expect("no panic").expect("an answer");
        assert_true(&cluster, *job, 4, &reply);
        assert_ne!(reply.outcome(), "not_run");
        let again = cluster.put(1, "quote", *job, &body).await;
        assert_eq!(again.expect("an answer").outcome(), reply.outcome());
        ends.push(reply.outcome().to_owned());
    }
    assert!(ends.iter().any(|e| e != "complete"), "{ends:?}");
    cluster.assert_no_double_start();
    let fresh = cluster
        .put(2, "quote", new_job_id(), &job_body(&[1; 8], 5_000))
        .await;
    assert_eq!(fresh.expect("an answer").outcome(), "complete");
}

/// The successor of a killed owner can't ask a killed agent about its tasks. It must neither start a task
/// twice nor report a false outcome.
#[actix_rt::test]
async fn test_failures_owner_and_agent_killed() {
    let mut cluster = Cluster::start(plan()).await;
    let owner = cluster.owner().await;
    let other = (owner + 1) % 3;
    let body = job_body(&[1_000; 6], 20_000);
    let jobs: Vec<JobId> = (0..4).map(|_| new_job_id()).collect();
    let calls = send_all(cluster.entries[other].http, &jobs, &body);
    actix_rt::time::sleep(Duration::from_millis(400)).await;
    cluster.kill_entry(owner);
    cluster.kill_agent(1);
    for (job, call) in jobs.iter().zip(calls) {
        let reply = call.await.expect("no panic").expect("an answer");
        assert_true(&cluster, *job, 6, &reply);
        let again = cluster.put(other, "quote", *job, &body).await;
        assert_true(&cluster, *job, 6, &again.expect("an answer"));
    }
    cluster.assert_no_double_start();
    // Jobs with ids created well after the takeover don't depend on the lost agent.
    actix_rt::time::sleep(Duration::from_secs(7)).await;
    let fresh = cluster
        .put(other, "quote", new_job_id(), &job_body(&[1; 8], 5_000))
        .await;
    assert_eq!(fresh.expect("an answer").outcome(), "complete");
}

/// Jobs must be served while the store does not respond for a minute. A once-only job needs a claim in the
/// store: it must not complete until the store responds again.
#[actix_rt::test]
async fn test_failures_store_stalled() {
    let cluster = Cluster::start(plan()).await;
    cluster.store_proxy.set(Fault {
        stall: true,
        ..Fault::default()
    });
    let begun = Instant::now();
    let mut count = 0;
    while begun.elapsed() < Duration::from_secs(60) {
        let job = new_job_id();
        let reply = cluster
            .put(count % 3, "quote", job, &job_body(&[5, 10], 5_000))
            .await;
        let reply = reply.expect("an answer");
        assert_eq!(
            reply.outcome(),
            "complete",
            "after {:?}: {reply:?}",
            begun.elapsed()
        );
        count += 1;
        actix_rt::time::sleep(Duration::from_millis(200)).await;
    }
    let once = cluster
        .put(0, "switch", new_job_id(), &job_body(&[1], 5_000))
        .await;
    let once = once.expect("an answer");
    assert_ne!(
        once.outcome(),
        "complete",
        "a once-only job needs its claim"
    );
    cluster.store_proxy.set_delay(Duration::ZERO);
    cluster.wait_ready().await;
    let once = cluster
        .put(0, "switch", new_job_id(), &job_body(&[1], 5_000))
        .await;
    assert_eq!(once.expect("an answer").outcome(), "complete");
    cluster.assert_no_double_start();
}

/// Guards against false outcomes and double starts when the owner is killed while the store is unreachable.
#[actix_rt::test]
async fn test_failures_entry_killed_without_store() {
    let mut cluster = Cluster::start(plan()).await;
    let owner = cluster.owner().await;
    let other = (owner + 1) % 3;
    cluster.store_proxy.set(Fault {
        reset: true,
        ..Fault::default()
    });
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    cluster.kill_entry(owner);
    let job = new_job_id();
    let body = job_body(&[1, 2], 5_000);
    let reply = cluster
        .put(other, "quote", job, &body)
        .await
        .expect("an answer");
    assert_true(&cluster, job, 2, &reply);
    cluster.store_proxy.set_delay(Duration::ZERO);
    let reply = resubmit(&cluster, job, &body).await;
    assert_eq!(reply.outcome(), "complete", "{reply:?}");
    cluster.assert_no_double_start();
}

/// Guards against a takeover that stalls when the store applies its compare-and-swap and the response is lost.
#[actix_rt::test]
async fn test_failures_takeover_response_lost() {
    let mut cluster = Cluster::start(plan()).await;
    let owner = cluster.owner().await;
    let other = (owner + 1) % 3;
    cluster.store_proxy.set(Fault {
        swallow: "PUT /v1/kv/ownership".into(),
        ..Fault::default()
    });
    cluster.kill_entry(owner);
    actix_rt::time::sleep(Duration::from_secs(3)).await;
    assert!(
        cluster.store_proxy.swallowed() > 0,
        "no compare-and-swap was sent"
    );
    cluster.store_proxy.set_delay(Duration::ZERO);
    let job = new_job_id();
    let body = job_body(&[1, 2, 3], 10_000);
    let reply = cluster
        .put(other, "quote", job, &body)
        .await
        .expect("an answer");
    assert_eq!(reply.outcome(), "complete", "{reply:?}");
    cluster.assert_no_double_start();
}

/// Guards against double starts: a job sent to all entries concurrently must run once, and all get its
/// answers.
#[actix_rt::test]
async fn test_failures_concurrent_resubmission() {
    let cluster = Cluster::start(plan()).await;
    for _ in 0..5 {
        let job = new_job_id();
        let body = job_body(&[50, 100, 20], 10_000);
        let calls = (0..9).map(|i| cluster.put(i % 3, "quote", job, &body));
        let replies = futures::future::join_all(calls).await;
        for reply in replies {
            let reply = reply.expect("an answer");
            assert_eq!(reply.outcome(), "complete", "{reply:?}");
            assert_eq!(reply.body["answers"], stub_answers(job, 3));
        }
        assert_eq!(cluster.started_tasks(job), [0, 1, 2]);
    }
}

/// Guards against false outcomes and double starts when the links of the owner stall.
#[actix_rt::test]
async fn test_failures_entry_isolated() {
    let cluster = Cluster::start(plan()).await;
    let owner = cluster.owner().await;
    let other = (owner + 1) % 3;
    let stall = Fault {
        stall: true,
        ..Fault::default()
    };
    cluster.entries[owner].proxy.set(stall);
    let job = new_job_id();
    let body = job_body(&[10, 20], 15_000);
    let reply = cluster
        .put(other, "quote", job, &body)
        .await
        .expect("an answer");
    assert_true(&cluster, job, 2, &reply);
    cluster.entries[owner].proxy.set_delay(Duration::ZERO);
    // With all links restored the outcome of the job's tasks can be determined again.
    let reply = resubmit(&cluster, job, &body).await;
    assert_eq!(reply.outcome(), "complete", "{reply:?}");
    assert_true(&cluster, job, 2, &reply);
    cluster.assert_no_double_start();
}

/// Entries keep no job across a restart. They must get the answers from the agents and not run the job again.
#[actix_rt::test]
async fn test_failures_all_entries_restarted() {
    let mut cluster = Cluster::start(plan()).await;
    let job = new_job_id();
    let body = job_body(&[5, 5], 10_000);
    let first = cluster
        .put(0, "quote", job, &body)
        .await
        .expect("an answer");
    assert_eq!(first.outcome(), "complete");
    for i in 0..3 {
        cluster.kill_entry(i);
    }
    for i in 0..3 {
        cluster.start_entry(i);
    }
    cluster.wait_ready().await;
    let again = resubmit(&cluster, job, &body).await;
    assert_eq!(again.body, first.body, "the agents remember the answers");
    assert_eq!(cluster.started_tasks(job), [0, 1]);
}

/// Guards against lost updates: of concurrent applies on the same base version one must succeed.
#[actix_rt::test]
async fn test_failures_concurrent_apply() {
    let cluster = Cluster::start(plan()).await;
    let applies = (0..6).map(|i| {
        let store = stackcourse_daemon::consul::ConsulStore::new(&cluster.store.url());
        async move {
            let name = format!("s{i}");
            let config = json!({"services": {name: {"halls": ["*"], "zones": ["*"]}}});
            let text = config.to_string();
            let author = format!("op{i}");
            operator::apply(&store, "c", text.as_bytes(), &author, Some(1)).await
        }
    });
    let results = futures::future::join_all(applies).await;
    let succeeded = results.iter().filter(|r| r.is_ok()).count();
    assert_eq!(succeeded, 1, "{results:?}");
}
