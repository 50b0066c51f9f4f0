//! Tests of real processes without faults: jobs from caller to backend server, limits, planned leaves,
//! configuration.

use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::json;
use stackcourse_testutils::cluster::Cluster;
use stackcourse_testutils::cluster::ClusterPlan;
use stackcourse_testutils::cluster::job_body;
use stackcourse_testutils::cluster::new_job_id;
use stackcourse_testutils::cluster::plain_config;
use stackcourse_testutils::cluster::read_metric;
use stackcourse_testutils::cluster::stub_answers;
use stackcourse_testutils::stub_backend::BackendFaults;

fn plan() -> ClusterPlan {
    ClusterPlan::new(env!("CARGO_BIN_EXE_stackcourse"))
}

/// Every entry must serve a job, and return the same answers when it is resubmitted or looked up anywhere.
#[actix_rt::test]
async fn test_cluster_every_entry() {
    let cluster = Cluster::start(plan()).await;
    for i in 0..3 {
        let job = new_job_id();
        let body = job_body(&[5, 10, 1, 20, 5], 5_000);
        let reply = cluster
            .put(i, "quote", job, &body)
            .await
            .expect("an answer");
        assert_eq!(reply.outcome(), "complete", "{reply:?}");
        assert_eq!(reply.body["answers"], stub_answers(job, 5));
        for other in 0..3 {
            let again = cluster.put(other, "quote", job, &body).await;
            assert_eq!(again.as_ref(), Some(&reply));
            let known = cluster.get(other, "quote", job).await;
            assert_eq!(known.as_ref(), Some(&reply));
        }
        assert_eq!(cluster.started_tasks(job), [0, 1, 2, 3, 4]);
    }
}

/// A job id reused with another body must be refused with 409 and start nothing.
#[actix_rt::test]
async fn test_cluster_id_reused() {
    let cluster = Cluster::start(plan()).await;
    let job = new_job_id();
    let first = cluster.put(0, "quote", job, &job_body(&[1], 5_000)).await;
    assert_eq!(first.expect("an answer").status, 200);
    let other = cluster.put(1, "quote", job, &job_body(&[2], 5_000)).await;
    assert_eq!(other.expect("an answer").status, 409);
    assert_eq!(cluster.started_tasks(job), [0]);
}

/// A task that fails, or whose response is cut off, must fail its whole job.
#[actix_rt::test]
async fn test_cluster_task_failed() {
    let cluster = Cluster::start(plan()).await;
    for mood in [
        BackendFaults {
            fail: true,
            ..BackendFaults::default()
        },
        BackendFaults {
            cut: true,
            ..BackendFaults::default()
        },
    ] {
        for agent in &cluster.agents {
            agent.backend.set_faults(mood);
        }
        let job = new_job_id();
        let reply = cluster
            .put(0, "quote", job, &job_body(&[1, 1], 5_000))
            .await;
        let reply = reply.expect("an answer");
        assert_eq!((reply.status, reply.outcome()), (502, "failed"));
        assert!(reply.body.get("answers").is_none());
    }
}

/// Tasks must run only where their service is permitted; without a permitted worker the job must not run.
#[actix_rt::test]
async fn test_cluster_permitted_halls() {
    let mut plan = plan();
    plan.config = json!({"services": {
        "quote": {"halls": ["h1"], "zones": ["*"]},
        "nowhere": {"halls": ["h9"], "zones": ["*"]},
    }});
    let cluster = Cluster::start(plan).await;
    for _ in 0..10 {
        let job = new_job_id();
        let body = job_body(&[1; 8], 5_000);
        let reply = cluster
            .put(0, "quote", job, &body)
            .await
            .expect("an answer");
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    // Agents w1 and w4 are in hall h1.
    assert!(cluster.agents[1].backend.log().is_empty());
    assert!(cluster.agents[2].backend.log().is_empty());
    let reply = cluster
        .put(0, "nowhere", new_job_id(), &job_body(&[1], 500))
        .await;
    let reply = reply.expect("an answer");
    assert_eq!((reply.status, reply.outcome()), (503, "not_run"));
}

/// Neither a worker's slots nor a team's quota may be exceeded when jobs arrive at all entries concurrently.
#[actix_rt::test]
async fn test_cluster_slots_and_quota() {
    let mut plan = plan();
    plan.config = json!({
        "services": {
            "quote": {"halls": ["*"], "zones": ["*"], "team": "small"},
            "form": {"halls": ["*"], "zones": ["*"]},
        },
        "teams": {"small": {"quota": 3}},
        "limits": {"owners": 0},
    });
    // Until a first task ends, waits are estimated from a default task time, which is far too long here.
    plan.entry_settings = json!({"wait_ms": 20_000});
    let cluster = Cluster::start(plan).await;
    let jobs = (0..12).map(|i| {
        let service = if i % 2 == 0 { "quote" } else { "form" };
        let cluster = &cluster;
        async move {
            let body = job_body(&[40; 4], 20_000);
            cluster.put(i % 3, service, new_job_id(), &body).await
        }
    });
    let replies = futures::future::join_all(jobs).await;
    for reply in replies {
        assert_eq!(reply.expect("an answer").outcome(), "complete");
    }
    let starts = cluster.starts();
    assert!(starts.iter().all(|s| s.running <= 4), "slots were exceeded");
    let mut quotes: Vec<u64> = starts
        .iter()
        .filter(|s| s.service == "quote")
        .map(|s| s.at_us)
        .collect();
    quotes.sort_unstable();
    // With three running tasks of 40 ms each, any four starts span at least one task's time.
    for four in quotes.windows(4) {
        assert!(
            four[3] - four[0] >= 39_000,
            "the quota was exceeded: {four:?}"
        );
    }
}

/// Counts the shard takeovers of all entries but `excluded`.
async fn takeovers(cluster: &Cluster, excluded: usize) -> f64 {
    let mut sum = 0.0;
    for (i, entry) in cluster.entries.iter().enumerate() {
        let decisions = read_metric(entry.http, "stackcourse_decisions_total").await;
        if i != excluded {
            sum += decisions.get("takeover").copied().unwrap_or(0.0);
        }
    }
    sum
}

/// Guards against requests cut by a planned leave of the owner, which must hand its shards over.
#[actix_rt::test]
async fn test_cluster_entry_leaves() {
    let mut cluster = Cluster::start(plan()).await;
    let owner = cluster.owner().await;
    let mut process = cluster.entries[owner].process.take().expect("runs");
    let before = takeovers(&cluster, owner).await;
    let body = job_body(&[300, 600, 900, 1_200], 10_000);
    let jobs: Vec<_> = (0..6).map(|_| new_job_id()).collect();
    let calls = jobs.iter().enumerate().map(|(i, job)| {
        let at = if i % 2 == 0 { owner } else { (owner + 1) % 3 };
        cluster.put(at, "quote", *job, &body)
    });
    let leave = async {
        actix_rt::time::sleep(Duration::from_millis(350)).await;
        process.signal(Signal::SIGTERM);
    };
    let (replies, ()) = futures::future::join(futures::future::join_all(calls), leave).await;
    for (job, reply) in jobs.iter().zip(replies) {
        let reply = reply.expect("no request is cut off");
        assert_eq!(reply.outcome(), "complete", "{reply:?}");
        assert_eq!(reply.body["answers"], stub_answers(*job, 4));
        assert_eq!(cluster.started_tasks(*job), [0, 1, 2, 3]);
    }
    assert!(
        process.wait(Duration::from_secs(15)),
        "the entry ends with success"
    );
    let after = takeovers(&cluster, owner).await;
    assert_eq!(after, before, "shards were handed over, not taken over");
    let later = cluster
        .put((owner + 1) % 3, "quote", new_job_id(), &body)
        .await;
    assert_eq!(later.expect("an answer").status, 200);
}

/// A leaving agent must complete its running tasks and get no new ones.
#[actix_rt::test]
async fn test_cluster_agent_leaves() {
    let mut cluster = Cluster::start(plan()).await;
    let mut process = cluster.agents[0].process.take().expect("runs");
    let body = job_body(&[800; 16], 10_000);
    let call = cluster.put(0, "quote", new_job_id(), &body);
    let leave = async {
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        process.signal(Signal::SIGTERM);
    };
    let (reply, ()) = futures::future::join(call, leave).await;
    assert_eq!(reply.expect("an answer").outcome(), "complete");
    assert!(
        process.wait(Duration::from_secs(10)),
        "the agent ends with success"
    );
    let before = cluster.agents[0].backend.log().len();
    for _ in 0..5 {
        let reply = cluster
            .put(1, "quote", new_job_id(), &job_body(&[1; 8], 5_000))
            .await;
        assert_eq!(reply.expect("an answer").status, 200);
    }
    assert_eq!(cluster.agents[0].backend.log().len(), before);
}

/// A box that the platform lists as leaving must get no new tasks.
#[actix_rt::test]
async fn test_cluster_box_leaving() {
    let cluster = Cluster::start(plan()).await;
    let url = format!("{}/stub/leaving", cluster.store.url());
    let sent = awc::Client::default().put(url).send_json(&json!(["w2"]));
    assert!(sent.await.expect("an answer").status().is_success());
    actix_rt::time::sleep(Duration::from_secs(3)).await;
    let before = cluster.agents[1].backend.log().len();
    for i in 0..6 {
        let reply = cluster
            .put(i % 3, "quote", new_job_id(), &job_body(&[5; 12], 5_000))
            .await;
        assert_eq!(reply.expect("an answer").status, 200);
    }
    assert_eq!(cluster.agents[1].backend.log().len(), before);
}

/// A new configuration must be in force on every node within 5 s.
#[actix_rt::test]
async fn test_cluster_configuration_change() {
    let cluster = Cluster::start(plan()).await;
    let mut config = plain_config(json!({}));
    config["services"]["extra"] = json!({"halls": ["*"], "zones": ["*"]});
    let version = cluster.apply(&config).await.expect("applied");
    let took = cluster.wait_version(version).await;
    assert!(took < Duration::from_secs(5));
    let reply = cluster
        .put(2, "extra", new_job_id(), &job_body(&[1], 5_000))
        .await;
    assert_eq!(reply.expect("an answer").status, 200);
}
