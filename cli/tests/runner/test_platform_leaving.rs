//! Tests of entries that leave, as real processes on a simulated platform: every caller whose request was taken in
//! gets an answer.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use serde_json::Value;
use serde_json::json;
use stackcourse_lib::dispatch::model::JobNumber;
use stackcourse_testutils::platform::callers;
use stackcourse_testutils::platform::callers::CallerJob;
use stackcourse_testutils::platform::callers::HOST;
use stackcourse_testutils::platform::callers::PREFIX;
use stackcourse_testutils::platform::fleet::Fleet;
use stackcourse_testutils::platform::fleet::FleetPlan;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// How long the entry serves after it was asked to leave. The rest of its time is its reserve.
const SERVES_MS: u64 = 1400;
/// How long the entry accepts connections after it was asked to leave.
const STILL_OPEN_MS: u64 = 300;
/// How long the entry waits for its last answers to be sent. It is long, so that many requests come meanwhile.
const LAST_ANSWERS_MS: u64 = 400;
/// The time granted to the entries of a fleet.
const GRACE_MS: u64 = 6000;
/// The time between two requests of the same kind.
const STEP_MS: u64 = 25;
/// When the last request is sent, after the entry was asked to leave.
const LAST_MS: u64 = SERVES_MS + LAST_ANSWERS_MS;
/// A connection that ends later than this after a request was sent must have brought the answer.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// What a caller asks of the entry, and how it sends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// A short job in one piece.
    Short,
    /// A job that outlasts most of what is left, in one piece.
    Long,
    /// A job whose head and half of whose body are sent before the entry is asked to leave.
    HalfBody,
    /// The same with a chunked body.
    Chunked,
    /// A job's state.
    State,
    /// A cancel.
    Cancel,
}

const KINDS: [Kind; 6] = [
    Kind::Short,
    Kind::Long,
    Kind::HalfBody,
    Kind::Chunked,
    Kind::State,
    Kind::Cancel,
];

/// How a request ended.
#[derive(Debug)]
enum End {
    /// With a complete answer of this status.
    Answered(u16),
    /// The connection ended, this long after the request was sent.
    Cut(Duration),
    /// The connection had ended before the request was sent.
    NotSent,
}

/// Returns a job of which the tasks work for as long as its kind says.
fn job(kind: Kind, number: u64) -> CallerJob {
    let work_ms = if kind == Kind::Long { 1500 } else { 20 };
    CallerJob {
        number: JobNumber(number),
        tasks: 1,
        work_ms,
        cpu: 100,
        crashing: false,
    }
}

/// Returns a request in two parts: what is sent before the entry is asked to leave, and the rest.
fn request(kind: Kind, job: CallerJob) -> (String, String) {
    let path = format!("{PREFIX}{}", job.number);
    let body = job.body().to_string();
    let head = |method: &str, fields: &str| {
        format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nStackcourse-Deadline: 4000\r\n{fields}\r\n"
        )
    };
    let sized = head("POST", &format!("Content-Length: {}\r\n", body.len()));
    let (first, second) = body.split_at(body.len() / 2);
    let chunk = |part: &str| format!("{:x}\r\n{part}\r\n", part.len());
    match kind {
        Kind::Short | Kind::Long => (String::new(), sized + &body),
        Kind::HalfBody => (sized + first, second.to_owned()),
        Kind::Chunked => {
            let head = head("POST", "Transfer-Encoding: chunked\r\n");
            (head + &chunk(first), chunk(second) + "0\r\n\r\n")
        }
        Kind::State => (String::new(), head("GET", "")),
        Kind::Cancel => (String::new(), head("DELETE", "")),
    }
}

/// Returns the status of an answer and its whole text, once it is complete.
fn complete_answer(bytes: &[u8]) -> Option<(u16, String)> {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        let is_length = name.eq_ignore_ascii_case("content-length");
        is_length.then(|| value.trim().parse::<usize>().ok())?
    });
    (body.len() >= length.unwrap_or(0)).then_some((status, text))
}

/// Returns the state that the body of an answer names; empty if it names none.
fn state_of(answer: &str) -> String {
    let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    let document: Value = serde_json::from_str(body).unwrap_or_default();
    document["state"].as_str().unwrap_or_default().to_owned()
}

/// Reads an answer. Returns none if the connection ends first.
async fn read_answer(stream: &mut TcpStream) -> Option<(u16, String)> {
    let mut answer = Vec::new();
    loop {
        let mut bytes = [0; 2048];
        match stream.read(&mut bytes).await {
            Ok(n) if n > 0 => answer.extend_from_slice(&bytes[..n]),
            _ => return None,
        }
        if let Some(complete) = complete_answer(&answer) {
            return Some(complete);
        }
    }
}

/// Opens a connection to an entry and uses it once.
async fn connect(entry: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(entry).await.expect("the entry listens");
    let request = format!("GET {PREFIX} HTTP/1.1\r\nHost: {HOST}\r\n\r\n");
    let sent = stream.write_all(request.as_bytes()).await;
    sent.expect("the connection is open");
    let (status, _) = read_answer(&mut stream).await.expect("an answer");
    assert_eq!(status, 200);
    stream
}

/// Returns whether the other end has closed the connection.
fn is_ended(stream: &TcpStream) -> bool {
    let mut bytes = [0; 1];
    match stream.try_read(&mut bytes) {
        Ok(read) => {
            assert_eq!(read, 0, "an answer before the request");
            true
        }
        Err(e) => e.kind() != std::io::ErrorKind::WouldBlock,
    }
}

/// Sends the rest of a request at a point in time and waits for the answer.
async fn send_rest(mut stream: TcpStream, rest: String, at: Instant) -> (End, String) {
    tokio::time::sleep_until(at.into()).await;
    if is_ended(&stream) || stream.write_all(rest.as_bytes()).await.is_err() {
        return (End::NotSent, String::new());
    }
    let sent = Instant::now();
    match read_answer(&mut stream).await {
        Some((status, text)) => (End::Answered(status), text),
        None => (End::Cut(sent.elapsed()), String::new()),
    }
}

/// Returns a plan of two entries that leave sooner than usual.
fn plan() -> FleetPlan {
    let mut plan = FleetPlan::new(2, 2);
    plan.policy["leaving"] = json!({
        "still_open_ms": STILL_OPEN_MS,
        "quiet_ms": GRACE_MS,
        "reserve_ms": GRACE_MS - SERVES_MS,
        "last_answers_ms": LAST_ANSWERS_MS,
    });
    plan
}

/// Guards against callers that wait for nobody: a request that comes after an entry has answered all waiting callers
/// for the last time must be answered as well.
#[actix_rt::test]
async fn test_platform_leaving_late_requests() {
    let binary = Path::new(env!("CARGO_BIN_EXE_stackcourse"));
    let mut fleet = Fleet::start_plan(binary, &plan()).await;
    let entry = fleet.entries[0].callers();
    let mut prepared = Vec::new();
    for (n, at_ms) in (0..LAST_MS).step_by(STEP_MS as usize).enumerate() {
        for (k, kind) in KINDS.into_iter().enumerate() {
            let job = job(kind, (n * KINDS.len() + k) as u64 + 1);
            let (first, rest) = request(kind, job);
            let mut stream = connect(entry).await;
            let begun = stream.write_all(first.as_bytes()).await;
            begun.expect("the connection is open");
            prepared.push((kind, job, at_ms, stream, rest));
        }
    }
    fleet.entries[0].signal(Signal::SIGTERM);
    let begun = Instant::now();
    let requests = prepared
        .into_iter()
        .map(|(kind, job, at_ms, stream, rest)| {
            let workers = fleet.workers.clone();
            actix_rt::spawn(async move {
                let submits = !matches!(kind, Kind::State | Kind::Cancel);
                if submits {
                    callers::record_submission(&workers, job);
                }
                let at = begun + Duration::from_millis(at_ms);
                let (end, text) = send_rest(stream, rest, at).await;
                if let End::Answered(status) = end
                    && submits
                {
                    callers::check_answer(&workers, job.number, status, &state_of(&text));
                }
                (kind, at_ms, end)
            })
        });
    let ends = futures::future::join_all(requests).await;
    let ends: Vec<_> = ends.into_iter().map(|e| e.expect("a caller")).collect();
    let is_lost = |end: &End| matches!(end, End::Cut(after) if *after > LOSS_SLACK);
    let lost: Vec<_> = ends.iter().filter(|(_, _, end)| is_lost(end)).collect();
    assert!(lost.is_empty(), "{} requests lost: {lost:?}", lost.len());
    for kind in [Kind::Short, Kind::HalfBody, Kind::Chunked] {
        let is_served =
            |(k, _, end): &&(Kind, u64, End)| *k == kind && matches!(end, End::Answered(200));
        assert!(ends.iter().any(|e| is_served(&e)), "{kind:?} is served");
    }
    assert!(
        fleet.entries[0].stop(Duration::from_secs(8)),
        "the process ends with success"
    );
    assert_eq!(fleet.violation(), None);
}

/// Guards against callers that stay with a leaving entry until its end: a connection without a request is closed in order
/// while the entry still serves the others.
#[actix_rt::test]
async fn test_platform_leaving_idle_connection() {
    let binary = Path::new(env!("CARGO_BIN_EXE_stackcourse"));
    let mut fleet = Fleet::start_plan(binary, &plan()).await;
    let entry = fleet.entries[0].callers();
    let mut idle = connect(entry).await;
    let (first, rest) = request(Kind::HalfBody, job(Kind::HalfBody, 1));
    let mut at_work = connect(entry).await;
    let begun = at_work.write_all(first.as_bytes()).await;
    begun.expect("the connection is open");
    fleet.entries[0].signal(Signal::SIGTERM);
    let mut bytes = [0; 16];
    let end = idle.read(&mut bytes).await;
    assert_eq!(end.expect("a clean end of the connection"), 0);
    let (end, _) = send_rest(at_work, rest, Instant::now()).await;
    assert!(matches!(end, End::Answered(200)), "{end:?}");
    assert!(
        fleet.entries[0].stop(Duration::from_secs(8)),
        "the process ends with success"
    );
}

/// Guards against requests without an answer that have come only in part when the entry ends: they are refused.
#[actix_rt::test]
async fn test_platform_leaving_unfinished_requests() {
    let binary = Path::new(env!("CARGO_BIN_EXE_stackcourse"));
    let mut fleet = Fleet::start_plan(binary, &plan()).await;
    let entry = fleet.entries[0].callers();
    let (sized, _) = request(Kind::HalfBody, job(Kind::HalfBody, 1));
    let (chunked, _) = request(Kind::Chunked, job(Kind::Chunked, 2));
    let head = format!("POST {PREFIX}{} HTTP/1.1\r\nHost:", JobNumber(3));
    let mut begun = Vec::new();
    for part in [sized, chunked, head] {
        let mut stream = connect(entry).await;
        let sent = stream.write_all(part.as_bytes()).await;
        sent.expect("the connection is open");
        begun.push(stream);
    }
    fleet.entries[0].signal(Signal::SIGTERM);
    for mut stream in begun {
        let answer = read_answer(&mut stream).await;
        let (status, text) = answer.expect("an answer");
        assert_eq!(status, 503, "{text}");
        let text = text.to_lowercase();
        assert!(text.contains("connection: close"), "{text}");
        assert!(text.contains("retry-after"), "{text}");
    }
    assert!(
        fleet.entries[0].stop(Duration::from_secs(8)),
        "the process ends with success"
    );
}
