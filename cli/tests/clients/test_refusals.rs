//! Bodies over the limit: they are refused as soon as that is known, and the refusal arrives.

use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::check::MAX_BODY;
use crate::check::Role;
use crate::check::Trial;
use stackcourse_testutils::platform::crowd::chunks;
use stackcourse_testutils::platform::crowd::submit_head;

/// The longest wait for an answer that is due at once.
const PATIENCE: Duration = Duration::from_secs(20);
/// What a client sends at most before it gives up, in bytes.
const ENDLESS: usize = 256 << 20;

/// Sends a request, and more of its body until the server takes no more, and returns all that the server answers.
async fn exchange(trial: &mut Trial, request: Vec<u8>, more: Vec<u8>) -> String {
    let server = trial.machine(Role::Entry).callers();
    let stream = TcpStream::connect(server).await.expect("a connection");
    let (mut reader, mut writer) = stream.into_split();
    writer.write_all(&request).await.expect("the server reads");
    let sending = actix_rt::spawn(async move {
        let mut sent = 0;
        while !more.is_empty() && sent < ENDLESS && writer.write_all(&more).await.is_ok() {
            sent += more.len();
        }
        // Without more to send, the client waits for the answer.
        std::future::pending::<()>().await;
    });
    let mut answer = Vec::new();
    let read = tokio::time::timeout(PATIENCE, reader.read_to_end(&mut answer)).await;
    sending.abort();
    let answer = String::from_utf8_lossy(&answer).to_lowercase();
    assert!(matches!(read, Ok(Ok(_))), "{read:?}, answer: {answer}");
    answer
}

/// Checks that a request is refused because of its size and that the connection ends.
async fn check_too_large(request: Vec<u8>, more: Vec<u8>) {
    let mut trial = Trial::start().await;
    let answer = exchange(&mut trial, request, more).await;
    assert!(answer.starts_with("http/1.1 413 "), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
    trial.check(Role::Entry).await;
}

/// Guards against a refusal that waits for the end of a body which is known to be too large by its length.
#[actix_rt::test]
async fn test_refusals_announced() {
    let request = submit_head(&format!("Content-Length: {}\r\n", 1u64 << 40));
    check_too_large(request, Vec::new()).await;
}

/// The same for a client that goes on sending and reads its answer beside that.
#[actix_rt::test]
async fn test_refusals_announced_endless() {
    let request = submit_head(&format!("Content-Length: {}\r\n", 1u64 << 40));
    check_too_large(request, vec![b' '; 64 << 10]).await;
}

/// Guards against a refusal that waits for the end of a chunked body which has grown too large.
#[actix_rt::test]
async fn test_refusals_chunked() {
    let mut request = submit_head("Transfer-Encoding: chunked\r\n");
    request.extend(chunks(MAX_BODY + (64 << 10), 64 << 10));
    check_too_large(request, Vec::new()).await;
}

/// The same for a client that goes on sending and reads its answer beside that.
#[actix_rt::test]
async fn test_refusals_chunked_endless() {
    let request = submit_head("Transfer-Encoding: chunked\r\n");
    check_too_large(request, chunks(64 << 10, 64 << 10)).await;
}

/// Guards against an invitation to send a body that is known to be too large.
#[actix_rt::test]
async fn test_refusals_expect() {
    let lines = format!(
        "Content-Length: {}\r\nExpect: 100-continue\r\n",
        MAX_BODY + 1
    );
    check_too_large(submit_head(&lines), Vec::new()).await;
}

/// Guards against a head of any size: one over the limit is refused, and its connection ends.
#[actix_rt::test]
async fn test_refusals_head() {
    let mut trial = Trial::start().await;
    let lines = format!("x-long: {}\r\n", "x".repeat(40_000));
    let answer = exchange(&mut trial, submit_head(&lines), Vec::new()).await;
    assert!(answer.starts_with("http/1.1 431 "), "{answer}");
    trial.check(Role::Entry).await;
}
