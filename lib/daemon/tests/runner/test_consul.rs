//! The list of boxes, with entries that another program has registered.

use std::net::SocketAddr;
use std::time::Duration;

use stackcourse_daemon::boxes::BoxSource;
use stackcourse_daemon::consul::ConsulStore;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

const LEAVING: &str =
    r#"{"Service":{"ID":"a-7"},"Checks":[{"CheckID":"_node_maintenance","Status":"critical"}]}"#;

/// Starts a store whose list of boxes contains an entry between two that can be read.
async fn start_store(odd: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("a bound address");
    let other = LEAVING.replace("a-7", "a-8");
    let body = format!("[{LEAVING},{odd},{other}]");
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut bytes = [0u8; 4096];
        let _ = stream.read(&mut bytes).await;
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Consul-Index: 9\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let _ = stream.write_all((head + &body).as_bytes()).await;
    });
    address
}

/// If one odd entry failed the whole list, tasks would go to boxes that leave.
#[actix_rt::test]
async fn test_consul_odd_box() {
    let nested = |levels: usize| format!("{}{}", "[".repeat(levels), "]".repeat(levels));
    let odd = [
        "null".to_owned(),
        "[]".to_owned(),
        "1e400".to_owned(),
        r#"{"Service":{"ID":7}}"#.to_owned(),
        r#"{"Service":{"ID":"a-9","Port":1e400,"Weights":null}}"#.to_owned(),
        r#"{"Service":{"ID":"\ud800"},"Checks":[]}"#.to_owned(),
        r#"{"Service":{"ID":"a-9","ID":"a-9"}}"#.to_owned(),
        nested(129),
        nested(100_000),
        format!(r#"{{"Service":{{"ID":"a-9","Meta":{}}}}}"#, nested(10_000)),
    ];
    for odd in odd {
        let address = start_store(&odd).await;
        let store = ConsulStore::new(&format!("http://{address}"));
        let shown: String = odd.chars().take(60).collect();
        let (list, seen) = store.list(0, Duration::ZERO).await.expect(&shown);
        assert_eq!(seen, 9);
        let mut names: Vec<&str> = list.leaving.iter().map(String::as_str).collect();
        names.sort_unstable();
        assert_eq!(names, ["a-7", "a-8"], "{shown}");
    }
}
