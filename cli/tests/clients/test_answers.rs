//! Answers that nobody reads, and clients that are slow but keep to the limits.

use serde_json::json;
use stackcourse_lib::dispatch::model::JobNumber;
use stackcourse_testutils::platform::callers::CallerJob;
use stackcourse_testutils::platform::crowd::Crowd;
use stackcourse_testutils::platform::crowd::Reading;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::check::Role;
use crate::check::Trial;
use crate::check::eventually;
use stackcourse_testutils::platform::crowd::head;
use stackcourse_testutils::platform::crowd::submit_head;

/// Guards against connections that are held for ever because their answers are not read.
#[actix_rt::test]
async fn test_answers_unread() {
    let mut trial = Trial::start_with(json!({"idleTimeoutMs": 1000})).await;
    let before = trial.machine(Role::Entry).info().descriptors();
    let bytes = head("GET", "/metrics", "").repeat(4000);
    let server = trial.machine(Role::Entry).metrics();
    let crowd = Crowd::open(server, 8, bytes, Reading::Nothing).await;
    let info = trial.machine(Role::Entry).info();
    eventually("the connections end", || info.descriptors() <= before).await;
    trial.check(Role::Entry).await;
    drop(crowd);
}

/// A caller inside the limits is served in calm, also if its request comes byte by byte, in chunks of one byte.
#[actix_rt::test]
async fn test_answers_slow_caller() {
    let mut trial = Trial::start().await;
    let job = CallerJob {
        number: JobNumber(0xff),
        tasks: 1,
        work_ms: 10,
        cpu: 1000,
        crashing: false,
    };
    let mut request = submit_head("Transfer-Encoding: chunked\r\nConnection: close\r\n");
    for byte in job.body().to_string().bytes() {
        request.extend(b"1\r\n");
        request.push(byte);
        request.extend(b"\r\n");
    }
    request.extend(b"0\r\n\r\n");
    let server = trial.machine(Role::Entry).callers();
    let mut stream = TcpStream::connect(server).await.expect("a connection");
    stream.set_nodelay(true).expect("a socket option");
    for byte in request {
        stream.write_all(&[byte]).await.expect("the server reads");
    }
    let mut answer = String::new();
    let read = stream.read_to_string(&mut answer).await;
    read.expect("the connection ends in order");
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    assert!(answer.contains("completed"), "{answer}");
    trial.check(Role::Entry).await;
}
