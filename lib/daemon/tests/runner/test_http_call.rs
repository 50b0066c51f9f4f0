//! Reading answers whose connection ends.

use std::net::SocketAddr;

use assert_matches::assert_matches;
use awc::error::PayloadError;
use bytes::Bytes;
use stackcourse_daemon::backend;
use stackcourse_daemon::http_call;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// The largest body that the tests read, in bytes.
const LIMIT: usize = 100;

/// Starts a server that sends this text as its answer to each request and then ends the connection.
async fn start_server(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("a bound address");
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut bytes = [0u8; 4096];
            let _ = stream.read(&mut bytes).await;
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    address
}

async fn body_of(answer: &'static str) -> Result<Bytes, PayloadError> {
    let address = start_server(answer).await;
    let call = awc::Client::default().get(format!("http://{address}/"));
    let mut response = call.send().await.expect("the head of an answer");
    http_call::read_body(&mut response, LIMIT).await
}

/// The first digits of a number are a number: a body that is cut off must not count as an answer.
#[actix_rt::test]
async fn test_http_call_body_cut_off() {
    let whole = body_of("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n12345").await;
    assert_eq!(whole.expect("a body"), "12345");
    let cut = body_of("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n123").await;
    assert_matches!(cut, Err(PayloadError::Incomplete(None)));
    let empty = body_of("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n").await;
    assert_matches!(empty, Err(PayloadError::Incomplete(None)));
}

/// Nothing shows that a body in chunks is cut off at the end of the connection. JSON that ends with a digit
/// may lack more of them.
#[test]
fn test_http_call_answer_of_unknown_length() {
    let is_whole = |text: &str, counted| backend::check_answer(text.as_bytes(), counted).is_ok();
    assert!(is_whole("12345", true));
    assert!(!is_whole("123", false));
    assert!(!is_whole("-1.5e3\n", false));
    for text in ["{\"n\":1}", "[1,2]", "\"12\"", "true", "null\n"] {
        assert!(is_whole(text, false), "{text}");
    }
    assert!(!is_whole("{\"n\":1", false), "not JSON");
}
