//! Plays crowds of clients that don't behave at one entry under its default limits, each at a fresh entry, and prints the
//! most memory that the entry has held and how many ordinary jobs were completed meanwhile. With `--requests` it sends
//! ordinary requests instead, and prints how many the entry answers for each core-second.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use clap::Arg;
use clap::Command;
use clap::value_parser;
use serde_json::Value;
use serde_json::json;
use stackcourse_lib::dispatch::model::JobNumber;
use stackcourse_testutils::platform::callers;
use stackcourse_testutils::platform::callers::CallerJob;
use stackcourse_testutils::platform::crowd::Crowd;
use stackcourse_testutils::platform::crowd::Reading;
use stackcourse_testutils::platform::crowd::chunks;
use stackcourse_testutils::platform::crowd::head;
use stackcourse_testutils::platform::crowd::job_request;
use stackcourse_testutils::platform::crowd::submit_head;
use stackcourse_testutils::platform::fleet::Fleet;
use stackcourse_testutils::platform::fleet::FleetPlan;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The largest body of the default limits, in bytes.
const MAX_BODY: usize = 256 << 10;
/// The number of ordinary jobs beside each crowd.
const ORDINARY_JOBS: u64 = 40;
const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";

fn main() {
    let matches = Command::new("client-crowd")
        .about("Plays crowds of clients that don't behave at one entry")
        .arg(
            Arg::new("binary")
                .long("binary")
                .default_value("target/release/stackcourse")
                .value_parser(value_parser!(PathBuf))
                .help("The stackcourse binary"),
        )
        .arg(
            Arg::new("limits")
                .long("limits")
                .default_value("{}")
                .value_parser(|text: &str| serde_json::from_str::<Value>(text))
                .help("The `limits` of the entry, as JSON"),
        )
        .arg(
            Arg::new("requests")
                .long("requests")
                .value_parser(value_parser!(usize))
                .help("Send this many ordinary requests instead of the crowds"),
        )
        .get_matches();
    let requests = matches.get_one::<usize>("requests");
    let binary = matches.get_one::<PathBuf>("binary").expect("a default");
    let limits = matches.get_one::<Value>("limits").expect("a default");
    actix_rt::System::new().block_on(async {
        if let Some(requests) = requests {
            return load(binary, limits, *requests).await;
        }
        for (name, count, bytes) in crowds() {
            play(binary, limits, name, count, bytes).await;
        }
    });
}

/// Returns the crowds, each with its name, its size and what each client sends.
fn crowds() -> Vec<(&'static str, usize, Vec<u8>)> {
    let announced = format!("Content-Length: {MAX_BODY}\r\n");
    let sized = |bytes: usize| [submit_head(&announced), vec![b' '; bytes]].concat();
    let chunked = |size| [submit_head(CHUNKED), chunks(MAX_BODY - 1, size)].concat();
    let whole = |body: Vec<u8>| [body, b"0\r\n\r\n".to_vec()].concat();
    vec![
        ("none", 0, Vec::new()),
        ("announced, unfinished", 1400, sized(MAX_BODY - 1)),
        ("chunked, unfinished", 1400, chunked(64 << 10)),
        ("chunks of one byte, unfinished", 400, chunked(1)),
        ("chunks of one byte, whole", 300, whole(chunked(1))),
        ("announced, whole", 800, sized(MAX_BODY)),
        ("long lists, whole", 300, long_lists()),
        ("silent", 4000, Vec::new()),
    ]
}

/// Returns the request for a job whose second step waits for the first, again and again.
fn long_lists() -> Vec<u8> {
    let after = vec![0; 120_000];
    let steps = json!([{"count": 1, "cpu": 1000, "estimateMs": 500}, {"count": 1, "after": after}]);
    job_request(&steps)
}

async fn play(binary: &Path, limits: &Value, name: &str, count: usize, bytes: Vec<u8>) {
    let plan = FleetPlan {
        limits: limits.clone(),
        ..FleetPlan::new(1, 2)
    };
    let fleet = Fleet::start_plan(binary, &plan).await;
    let crowd = Crowd::open(fleet.entries[0].callers(), count, bytes, Reading::All).await;
    let mut completed = 0;
    let mut others: BTreeMap<u16, u64> = BTreeMap::new();
    for number in 1..=ORDINARY_JOBS {
        let job = CallerJob {
            number: JobNumber(number),
            tasks: 1,
            work_ms: 10,
            cpu: 1000,
            crashing: false,
        };
        let entry = fleet.entries[0].callers();
        let reply = callers::submit_job(&fleet.workers, entry, job).await;
        match reply.state.as_str() {
            "completed" => completed += 1,
            _ => *others.entry(reply.status).or_default() += 1,
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let info = fleet.entries[0].info();
    println!(
        "{name}: {count} clients, {} MB at the peak, {} descriptors, {} connections ended, of {ORDINARY_JOBS} \
         ordinary jobs {completed} completed, other statuses {others:?}",
        info.peak_memory() / 1_000_000,
        info.descriptors(),
        crowd.ended(),
    );
}

/// The number of ordinary clients that send requests at the same time.
const LOAD_CLIENTS: usize = 8;
/// The size of an ordinary body, in bytes.
const ORDINARY_BODY: usize = 600;

/// Sends ordinary requests with bodies, each on a connection of its own, to a queue that does not exist, so that the cost
/// is that of the server alone.
async fn load(binary: &Path, limits: &Value, requests: usize) {
    let plan = FleetPlan {
        limits: limits.clone(),
        ..FleetPlan::new(1, 1)
    };
    let fleet = Fleet::start_plan(binary, &plan).await;
    let lines = format!("Content-Length: {ORDINARY_BODY}\r\nConnection: close\r\n");
    let mut request = head("POST", "/nowhere/00000000000000ff", &lines);
    request.resize(request.len() + ORDINARY_BODY, b' ');
    let server = fleet.entries[0].callers();
    let info = fleet.entries[0].info();
    let before = info.cpu_time();
    let clients = (0..LOAD_CLIENTS).map(|_| async {
        for _ in 0..requests / LOAD_CLIENTS {
            exchange(server, &request).await;
        }
    });
    futures::future::join_all(clients).await;
    let spent = info.cpu_time() - before;
    let rate = requests as f64 / spent.as_secs_f64();
    println!("{requests} requests, {rate:.0} for each core-second");
}

/// Sends a request and reads the answer to the end of the connection.
async fn exchange(server: SocketAddr, request: &[u8]) {
    let mut stream = TcpStream::connect(server).await.expect("a connection");
    stream.write_all(request).await.expect("the server reads");
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer).await;
    read.expect("the connection ends in order");
    assert!(answer.starts_with(b"HTTP/1.1 404 "));
}
