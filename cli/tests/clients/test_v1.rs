//! Crowds at the interface of the product's own entries, under its default limits.

use serde_json::json;
use stackcourse_testutils::cluster::Cluster;
use stackcourse_testutils::cluster::ClusterPlan;
use stackcourse_testutils::cluster::job_body;
use stackcourse_testutils::cluster::new_job_id;
use stackcourse_testutils::platform::crowd::Crowd;
use stackcourse_testutils::platform::crowd::Reading;

use crate::check::ALLOWANCE_MB;
use crate::check::take_turn;
use stackcourse_testutils::platform::crowd::chunks;

/// What clients may make a process hold by default on a large machine, in MiB. The smallest entry boxes have 120 MB.
const CLIENT_MEMORY_MB: u64 = 48;
/// The largest body by default, in bytes.
const MAX_BODY: usize = 4 << 20;
/// The number of times that an ordinary caller tries, as refusals tell it to come again.
const TRIES: u32 = 20;

async fn check_crowd(count: usize, lines: &str, body: Vec<u8>) {
    let _turn = take_turn().await;
    let plan = ClusterPlan {
        entries: 1,
        agents: 1,
        entry_settings: json!({"body_bytes": MAX_BODY}),
        ..ClusterPlan::new(env!("CARGO_BIN_EXE_stackcourse"))
    };
    let mut cluster = Cluster::start(plan).await;
    check_served(&cluster).await;
    let rest = peak_memory(&mut cluster);
    let path = format!("/v1/services/quote/jobs/{}", new_job_id());
    let mut bytes = format!("PUT {path} HTTP/1.1\r\nHost: entry\r\n{lines}\r\n").into_bytes();
    bytes.extend(body);
    let crowd = Crowd::open(cluster.entries[0].http, count, bytes, Reading::All).await;
    for crowd in [Some(crowd), None] {
        check_served(&cluster).await;
        let (peak, bound) = (
            peak_memory(&mut cluster),
            rest + ((CLIENT_MEMORY_MB + ALLOWANCE_MB) << 20),
        );
        assert!(
            peak <= bound,
            "{} MiB at the peak, at most {} MiB",
            peak >> 20,
            bound >> 20
        );
        drop(crowd);
    }
}

/// Returns the most memory that the entry has held, in bytes.
fn peak_memory(cluster: &mut Cluster) -> u64 {
    let process = cluster.entries[0].process.as_mut().expect("a process");
    assert!(process.is_running(), "the process lives");
    process.info().peak_memory()
}

/// Checks that a job is completed for an ordinary caller, who comes again when it is refused.
async fn check_served(cluster: &Cluster) {
    let mut last = None;
    for _ in 0..TRIES {
        let body = job_body(&[1], 5_000);
        last = cluster.put(0, "quote", new_job_id(), &body).await;
        if last.as_ref().is_some_and(|r| r.outcome() == "complete") {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(250)).await;
    }
    panic!("no job was completed: {last:?}");
}

/// Guards against an entry that runs out of memory because bodies are limited one by one only.
#[actix_rt::test]
async fn test_v1_announced_unfinished() {
    let lines = format!("Content-Length: {MAX_BODY}\r\n");
    check_crowd(60, &lines, vec![b' '; MAX_BODY - 1]).await;
}

/// The same with bodies whose sizes are not announced.
#[actix_rt::test]
async fn test_v1_chunked_unfinished() {
    let body = chunks(MAX_BODY, 64 << 10);
    check_crowd(60, "Transfer-Encoding: chunked\r\n", body).await;
}

/// The same with chunks that cost a multiple of the bytes that they bring.
#[actix_rt::test]
async fn test_v1_tiny_chunks_unfinished() {
    let body = chunks(1 << 20, 1);
    check_crowd(20, "Transfer-Encoding: chunked\r\n", body).await;
}
