//! Answers that nobody reads, and clients that are slow but keep to the limits.

use serde_json::json;
use stackcourse_lib::dispatch::model::JobNumber;
use stackcourse_testutils::platform::callers::CallerJob;
use stackcourse_testutils::platform::crowd::Crowd;
use stackcourse_testutils::platform::crowd::Reading;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::check::MAX_BODY;
use crate::check::Role;
use crate::check::Trial;
use crate::check::eventually;
use stackcourse_testutils::platform::crowd::head;
use stackcourse_testutils::platform::crowd::submit_head;

/// The largest head of the default limits, in bytes.
const MAX_HEAD: usize = 16 << 10;

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
    let mut request = submit_head("Transfer-Encoding: chunked\r\nConnection: close\r\n");
    for byte in job_body(0).bytes() {
        request.extend(b"1\r\n");
        request.push(byte);
        request.extend(b"\r\n");
    }
    request.extend(b"0\r\n\r\n");
    let mut stream = connect(&mut trial).await;
    for byte in request {
        stream.write_all(&[byte]).await.expect("the server reads");
    }
    check_completed(stream).await;
    trial.check(Role::Entry).await;
}

/// The largest head and the largest body inside the limits are served in calm, announced and in large chunks.
#[actix_rt::test]
async fn test_answers_largest_request() {
    let mut trial = Trial::start().await;
    let body = job_body(MAX_BODY);
    let announced = format!("Content-Length: {MAX_BODY}\r\nConnection: close\r\n");
    let mut request = largest_head(&announced);
    request.extend(body.bytes());
    let mut stream = connect(&mut trial).await;
    stream.write_all(&request).await.expect("the server reads");
    check_completed(stream).await;

    let mut request = largest_head("Transfer-Encoding: chunked\r\nConnection: close\r\n");
    for part in body.as_bytes().chunks(50_000) {
        request.extend(format!("{:x}\r\n", part.len()).as_bytes());
        request.extend(part);
        request.extend(b"\r\n");
    }
    request.extend(b"0\r\n\r\n");
    let mut stream = connect(&mut trial).await;
    stream.write_all(&request).await.expect("the server reads");
    check_completed(stream).await;
    trial.check(Role::Entry).await;
}

/// Returns the body that submits a job, filled up with spaces to a size.
fn job_body(size: usize) -> String {
    let job = CallerJob {
        number: JobNumber(0xff),
        tasks: 1,
        work_ms: 10,
        cpu: 1000,
        crashing: false,
    };
    let mut body = job.body().to_string();
    let missing = size.saturating_sub(body.len());
    body.push_str(&" ".repeat(missing));
    body
}

/// Returns a head of the largest size with these lines.
fn largest_head(lines: &str) -> Vec<u8> {
    let padded = |padding: &str| submit_head(&format!("x-padding: {padding}\r\n{lines}"));
    let missing = MAX_HEAD - padded("").len();
    padded(&"x".repeat(missing))
}

async fn connect(trial: &mut Trial) -> TcpStream {
    let server = trial.machine(Role::Entry).callers();
    let stream = TcpStream::connect(server).await.expect("a connection");
    stream.set_nodelay(true).expect("a socket option");
    stream
}

/// Reads the answer to the end of the connection and checks that the job is completed.
async fn check_completed(mut stream: TcpStream) {
    let mut answer = String::new();
    let read = stream.read_to_string(&mut answer).await;
    read.expect("the connection ends in order");
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    assert!(answer.contains("completed"), "{answer}");
}
