//! Callers of the real processes: each hands in a job and keeps the answers.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use stackcourse_lib::dispatch::model::JobNumber;
use stackcourse_lib::dispatch::model::JobOutcome;

use crate::dispatch::witness::JobHistory;
use crate::platform::workers::CRASH;
use crate::platform::workers::SharedWorkers;

/// The host that callers name, and the start of the path of its queue.
pub const HOST: &str = "quotes.example";
/// See [`HOST`].
pub const PREFIX: &str = "/quotes/";

/// A job to hand in.
#[derive(Clone, Copy, Debug)]
pub struct CallerJob {
    /// Its id.
    pub number: JobNumber,
    /// How many tasks it has.
    pub tasks: u32,
    /// How long each works, in milliseconds.
    pub work_ms: u32,
    /// What each takes, in thousandths of a core.
    pub cpu: u32,
    /// Whether each takes down the worker that starts it.
    pub crashing: bool,
}

impl CallerJob {
    /// The body of the request.
    pub fn body(&self) -> Value {
        let spec = if self.crashing {
            CRASH.to_owned()
        } else {
            self.work_ms.to_string()
        };
        json!({
            "spec": spec,
            "bestEffort": true,
            "steps": [{
                "count": self.tasks,
                "cpu": self.cpu,
                "memMb": 64,
                "estimateMs": self.work_ms,
            }],
        })
    }
}

/// What a caller got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Got {
    /// The status; 0 if there was no whole answer.
    pub status: u16,
    /// The state in the answer.
    pub state: String,
    /// When to come back, if the answer says so, in seconds.
    pub come_back: Option<String>,
}

/// Sends any request to an entry.
pub async fn call(entry: SocketAddr, method: &str, path: &str, body: Option<Value>) -> Got {
    let client = awc::Client::default();
    let method = method.parse().expect("a method");
    let request = client
        .request(method, format!("http://{entry}{path}"))
        .insert_header(("Host", HOST))
        .insert_header(("Stackcourse-Deadline", "4000"))
        .insert_header(("Connection", "close"))
        .timeout(Duration::from_secs(8));
    let sent = match body {
        Some(body) => request.send_json(&body).await,
        None => request.send().await,
    };
    let nothing = Got {
        status: 0,
        state: String::new(),
        come_back: None,
    };
    let Ok(mut answer) = sent else {
        return nothing;
    };
    let status = answer.status().as_u16();
    let come_back = answer.headers().get("Retry-After");
    let come_back = come_back.and_then(|v| v.to_str().ok()).map(str::to_owned);
    let Ok(body) = answer.body().await else {
        return nothing;
    };
    let document: Value = serde_json::from_slice(&body).unwrap_or_default();
    Got {
        status,
        state: document["state"].as_str().unwrap_or_default().to_owned(),
        come_back,
    }
}

/// Hands a job in at an entry and holds the answer against what the workers saw.
///
/// # Panics
///
/// When another thread panicked while it held the workers.
pub async fn hand_in(workers: &SharedWorkers, entry: SocketAddr, job: CallerJob) -> Got {
    {
        let mut workers = workers.lock().unwrap();
        let seen = workers
            .witness
            .jobs
            .entry(job.number)
            .or_insert(JobHistory {
                tasks: job.tasks,
                cpu: job.cpu,
                ..JobHistory::default()
            });
        seen.submissions += 1;
    }
    let path = format!("{PREFIX}{}", job.number);
    let got = call(entry, "POST", &path, Some(job.body())).await;
    let mut workers = workers.lock().unwrap();
    workers.advance();
    match (got.status, got.state.as_str()) {
        (200, "completed") => workers
            .witness
            .check_answer(job.number, JobOutcome::Completed),
        (200, "failed") => workers.witness.check_answer(job.number, JobOutcome::Failed),
        (503, _) => workers
            .witness
            .check_answer(job.number, JobOutcome::Refused(0)),
        _ => {}
    }
    got
}
