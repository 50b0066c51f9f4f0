//! Tests of `stackcourse dev` as a process.

use std::io::BufRead;
use std::io::BufReader;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use serde_json::json;
use stackcourse_testutils::cluster::free_address;
use stackcourse_testutils::cluster::new_job_id;
use stackcourse_testutils::cluster::put_job;

/// A running `stackcourse dev` and the first two lines of its output.
struct Dev {
    child: Child,
    lines: Vec<String>,
    listen: std::net::SocketAddr,
}

impl Drop for Dev {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start() -> Dev {
    let listen = free_address();
    let mut child = Command::new(env!("CARGO_BIN_EXE_stackcourse"))
        .args(["dev", "--listen", &listen.to_string()])
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("the binary runs");
    let output = child.stdout.take().expect("piped");
    let lines = BufReader::new(output).lines().take(2);
    let lines = lines.map(|l| l.expect("text")).collect();
    Dev {
        child,
        lines,
        listen,
    }
}

/// The command must print its address and an example, and return the same reply to a resubmission.
#[actix_rt::test]
async fn test_dev_job() {
    let dev = start();
    assert!(dev.lines[0].contains("ready at http://"), "{:?}", dev.lines);
    assert!(dev.lines[1].contains("curl"), "{:?}", dev.lines);
    let job = new_job_id();
    let body = json!({"tasks": [{"page": 1}, "two", 3], "deadline_ms": 5000});
    let reply = put_job(dev.listen, "echo", job, &body).await;
    let reply = reply.expect("an answer");
    assert_eq!(reply.outcome(), "complete", "{reply:?}");
    assert_eq!(reply.body["answers"], json!([{"page": 1}, "two", 3]));
    let again = put_job(dev.listen, "echo", job, &body)
        .await
        .expect("an answer");
    assert_eq!(again, reply);
}

/// A malformed body and an unknown service must be refused with problem documents.
#[actix_rt::test]
async fn test_dev_problem_documents() {
    let dev = start();
    let job = new_job_id();
    let bad = put_job(dev.listen, "echo", job, &json!({"tasks": []})).await;
    let bad = bad.expect("an answer");
    assert_eq!((bad.status, bad.outcome()), (400, "not_run"));
    let none = put_job(dev.listen, "none", job, &json!({"tasks": [1]})).await;
    let none = none.expect("an answer");
    assert_eq!((none.status, none.outcome()), (404, "not_run"));
    assert_eq!(none.body["type"], "urn:stackcourse:problem:no-service");
}
