//! Heads that are too large or don't come on.

use std::time::Duration;

use serde_json::json;
use stackcourse_testutils::platform::callers::PREFIX;
use stackcourse_testutils::platform::crowd::Crowd;
use stackcourse_testutils::platform::crowd::Reading;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::check::Role;
use crate::check::Trial;
use stackcourse_testutils::platform::crowd::head;

/// The longest wait for the end of a connection.
const PATIENCE: Duration = Duration::from_secs(40);

/// Guards against heads without a limit of their own, of which a crowd fills the memory.
#[actix_rt::test]
async fn test_heads_unfinished() {
    let mut trial = Trial::start().await;
    let mut bytes = head("GET", PREFIX, "");
    bytes.truncate(bytes.len() - 2);
    for number in 0..64 {
        bytes.extend(format!("x-{number}: {}\r\n", "x".repeat(2000)).as_bytes());
    }
    let server = trial.machine(Role::Entry).callers();
    let crowd = Crowd::open(server, 240, bytes, Reading::All).await;
    trial.check(Role::Entry).await;
    drop(crowd);
    trial.check(Role::Entry).await;
}

/// Guards against connections on which a later head does not come on: each head has its time limit.
#[actix_rt::test]
async fn test_heads_second_stalled() {
    let mut trial = Trial::start_with(json!({"headerTimeoutMs": 500, "idleTimeoutMs": 2000})).await;
    let server = trial.machine(Role::Entry).callers();
    let mut stream = TcpStream::connect(server).await.expect("a connection");
    let request = head("GET", PREFIX, "");
    stream.write_all(&request).await.expect("the server reads");
    let mut answer = vec![0; 4096];
    let read = stream.read(&mut answer).await;
    assert!(read.expect("an answer") > 0);
    stream
        .write_all(&request[..12])
        .await
        .expect("the server reads");
    let mut rest = Vec::new();
    let end = tokio::time::timeout(PATIENCE, stream.read_to_end(&mut rest)).await;
    assert!(end.is_ok(), "the connection ends");
    trial.check(Role::Entry).await;
}
