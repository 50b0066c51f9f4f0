//! Callers of the entry processes. Each submits a job over HTTP and checks the response against what the
//! workers ran.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use stackcourse_lib::dispatch::model::JobNumber;
use stackcourse_lib::dispatch::model::JobOutcome;

use crate::dispatch::witness::JobHistory;
use crate::platform::workers::CRASH_SPEC;
use crate::platform::workers::SharedWorkers;

/// The host that callers send requests to.
pub const HOST: &str = "quotes.example";
/// The path prefix of the queue at [`HOST`].
pub const PREFIX: &str = "/quotes/";

/// A job to submit.
#[derive(Clone, Copy, Debug)]
pub struct CallerJob {
    /// The job's number, sent as the last segment of the path.
    pub number: JobNumber,
    /// The number of tasks.
    pub tasks: u32,
    /// How long each task works, in milliseconds.
    pub work_ms: u32,
    /// The CPU that each task takes, in thousandths of a core.
    pub cpu: u32,
    /// Whether each task crashes the worker that starts it.
    pub crashing: bool,
}

impl CallerJob {
    /// Returns the body of the request that submits the job.
    pub fn body(&self) -> Value {
        let spec = if self.crashing {
            CRASH_SPEC.to_owned()
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

/// The response that a caller received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerResponse {
    /// The HTTP status; 0 without a complete response.
    pub status: u16,
    /// The job's state in the response's body; empty if it has none.
    pub state: String,
    /// The `Retry-After` header, in seconds.
    pub retry_after: Option<String>,
}

/// Sends a request to an entry.
pub async fn send_request(
    entry: SocketAddr,
    method: &str,
    path: &str,
    body: Option<Value>,
) -> CallerResponse {
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
    let no_response = CallerResponse {
        status: 0,
        state: String::new(),
        retry_after: None,
    };
    let Ok(mut response) = sent else {
        return no_response;
    };
    let status = response.status().as_u16();
    let retry_after = response.headers().get("Retry-After");
    let retry_after = retry_after.and_then(|v| v.to_str().ok()).map(str::to_owned);
    let Ok(body) = response.body().await else {
        return no_response;
    };
    let document: Value = serde_json::from_slice(&body).unwrap_or_default();
    CallerResponse {
        status,
        state: document["state"].as_str().unwrap_or_default().to_owned(),
        retry_after,
    }
}

/// Notes that a job is about to be submitted.
///
/// # Panics
///
/// Panics if another thread panicked while it held the lock on the workers.
pub fn record_submission(workers: &SharedWorkers, job: CallerJob) {
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

/// Checks the response to a submitted job against what the workers ran: its status and the state that it names.
///
/// # Panics
///
/// Panics if another thread panicked while it held the lock on the workers.
pub fn check_answer(workers: &SharedWorkers, number: JobNumber, status: u16, state: &str) {
    let mut workers = workers.lock().unwrap();
    workers.advance();
    let outcome = match (status, state) {
        (200, "completed") => JobOutcome::Completed,
        (200, "cancelled") => JobOutcome::Cancelled,
        (200, "failed") => JobOutcome::Failed,
        (503, _) => JobOutcome::Refused(0),
        _ => return,
    };
    workers.witness.check_answer(number, outcome);
}

/// Submits a job at an entry and checks the response against what the workers ran.
///
/// # Panics
///
/// Panics if another thread panicked while it held the lock on the workers.
pub async fn submit_job(
    workers: &SharedWorkers,
    entry: SocketAddr,
    job: CallerJob,
) -> CallerResponse {
    record_submission(workers, job);
    let path = format!("{PREFIX}{}", job.number);
    let response = send_request(entry, "POST", &path, Some(job.body())).await;
    check_answer(workers, job.number, response.status, &response.state);
    response
}

/// Cancels a job at an entry. From the response with success on, no task of it may be started for long.
///
/// # Panics
///
/// Panics if another thread panicked while it held the lock on the workers.
pub async fn cancel_job(workers: &SharedWorkers, entry: SocketAddr, number: JobNumber) {
    let path = format!("{PREFIX}{number}");
    workers.lock().unwrap().witness.record_cancel_sent(number);
    let response = send_request(entry, "DELETE", &path, None).await;
    if response.status == 200 {
        let mut workers = workers.lock().unwrap();
        let now = workers.now();
        workers.witness.record_cancel(number, now);
    }
}
