//! Crowds of large bodies.

use std::net::SocketAddr;

use serde_json::json;
use stackcourse_testutils::platform::crowd::Crowd;
use stackcourse_testutils::platform::crowd::Reading;

use crate::check::MAX_BODY;
use crate::check::Role;
use crate::check::Trial;
use crate::check::eventually;
use stackcourse_testutils::platform::crowd::chunks;
use stackcourse_testutils::platform::crowd::head;
use stackcourse_testutils::platform::crowd::job_request;
use stackcourse_testutils::platform::crowd::submit_head;

/// The largest heartbeat, in bytes.
const MAX_HEARTBEAT: usize = 64 << 10;
const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";

/// Sends the same bytes on many connections and checks the process while they stay open and after they are gone.
async fn check_crowd(
    role: Role,
    server: impl FnOnce(&mut Trial) -> SocketAddr,
    count: usize,
    bytes: Vec<u8>,
) {
    let mut trial = Trial::start().await;
    let server = server(&mut trial);
    let crowd = Crowd::open(server, count, bytes, Reading::All).await;
    trial.check(role).await;
    drop(crowd);
    trial.check(role).await;
}

fn callers(trial: &mut Trial) -> SocketAddr {
    trial.machine(Role::Entry).callers()
}

fn heartbeats(trial: &mut Trial) -> SocketAddr {
    trial.machine(Role::Agent).heartbeats()
}

fn announced(bytes: usize) -> String {
    format!("Content-Length: {bytes}\r\n")
}

fn heartbeat_head(lines: &str) -> Vec<u8> {
    head("PUT", "/-/instances/i-crowd", lines)
}

/// Guards against an entry that runs out of memory because the bodies that it reads are limited one by one only.
#[actix_rt::test]
async fn test_bodies_announced_unfinished() {
    let mut bytes = submit_head(&announced(MAX_BODY));
    bytes.resize(bytes.len() + MAX_BODY - 1, b' ');
    check_crowd(Role::Entry, callers, 160, bytes).await;
}

/// The same with bodies whose sizes are not announced.
#[actix_rt::test]
async fn test_bodies_chunked_unfinished() {
    let mut bytes = submit_head(CHUNKED);
    bytes.extend(chunks(MAX_BODY, 64 << 10));
    check_crowd(Role::Entry, callers, 160, bytes).await;
}

/// Guards against chunks that cost a multiple of the bytes that they bring.
#[actix_rt::test]
async fn test_bodies_tiny_chunks_unfinished() {
    let mut bytes = submit_head(CHUNKED);
    bytes.extend(chunks(MAX_BODY - 1, 1));
    check_crowd(Role::Entry, callers, 40, bytes).await;
}

/// The same with bodies that come to their end.
#[actix_rt::test]
async fn test_bodies_tiny_chunks_whole() {
    let mut bytes = submit_head(CHUNKED);
    bytes.extend(chunks(MAX_BODY - 1, 1));
    bytes.extend(b"0\r\n\r\n");
    check_crowd(Role::Entry, callers, 40, bytes).await;
}

/// Guards against many whole bodies of legal size that are read at the same time.
#[actix_rt::test]
async fn test_bodies_whole() {
    let mut bytes = submit_head(&announced(MAX_BODY));
    bytes.resize(bytes.len() + MAX_BODY, b' ');
    check_crowd(Role::Entry, callers, 160, bytes).await;
}

/// Guards against short texts that become large values: a job whose last step comes after a long list of steps.
#[actix_rt::test]
async fn test_bodies_long_lists() {
    let after = vec![0; 100_000];
    let steps = json!([{"count": 1, "cpu": 1000, "estimateMs": 500}, {"count": 1, "after": after}]);
    check_crowd(Role::Entry, callers, 100, job_request(&steps)).await;
}

/// The same for a job of very many steps.
#[actix_rt::test]
async fn test_bodies_many_steps() {
    let steps = vec![json!({"count": 1}); 20_000];
    check_crowd(Role::Entry, callers, 100, job_request(&json!(steps))).await;
}

/// The same for a job with very many labels.
#[actix_rt::test]
async fn test_bodies_many_labels() {
    let labels = vec![""; 80_000];
    let steps = json!([{"count": 1, "requirements": labels}]);
    check_crowd(Role::Entry, callers, 160, job_request(&steps)).await;
}

/// The same for a job that says in few bytes that it has very many tasks.
#[actix_rt::test]
async fn test_bodies_many_tasks() {
    let steps = vec![json!({"count": 10_000}); 400];
    check_crowd(Role::Entry, callers, 2, job_request(&json!(steps))).await;
}

/// Guards against an agent that runs out of memory by its worker's port.
#[actix_rt::test]
async fn test_bodies_heartbeats_unfinished() {
    let mut bytes = heartbeat_head(&announced(MAX_HEARTBEAT));
    bytes.resize(bytes.len() + MAX_HEARTBEAT - 1, b' ');
    check_crowd(Role::Agent, heartbeats, 600, bytes).await;
}

/// The same with chunks that cost a multiple of the bytes that they bring.
#[actix_rt::test]
async fn test_bodies_heartbeats_tiny_chunks() {
    let mut bytes = heartbeat_head(CHUNKED);
    bytes.extend(chunks(MAX_HEARTBEAT - 1, 1));
    check_crowd(Role::Agent, heartbeats, 160, bytes).await;
}

/// Guards against bodies that don't come on and hold their connections for ever.
#[actix_rt::test]
async fn test_bodies_stalled() {
    let mut trial = Trial::start_with(json!({"idleTimeoutMs": 1000})).await;
    for lines in [announced(1000), CHUNKED.to_owned()] {
        let server = trial.machine(Role::Entry).callers();
        let crowd = Crowd::open(server, 4, submit_head(&lines), Reading::All).await;
        eventually("the connections end", || crowd.ended() == 4).await;
    }
    trial.check(Role::Entry).await;
}
