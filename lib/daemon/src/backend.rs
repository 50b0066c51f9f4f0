//! Calls to the backend server, one POST request per task.
//!
//! A request is sent at most once. The result says whether the task may have reached the backend server.

use std::time::Duration;

use awc::Client;
use awc::Connector;
use awc::error::SendRequestError;
use awc::http::header::CONTENT_LENGTH;
use bytes::Bytes;
use serde::de::IgnoredAny;
use stackcourse_lib::agent::RunFailure;
use stackcourse_lib::agent::RunTask;

use crate::http_call;
use crate::http_call::CallFailure;
use crate::process_clock::ProcessClock;
use crate::settings::AgentSettings;

/// The request header that carries the job's id.
pub const JOB_HEADER: &str = "Stackcourse-Job";
/// The request header that carries the index of the task in its job.
pub const TASK_HEADER: &str = "Stackcourse-Task";

/// The length to which the body of an error response is cut before the caller gets it, in bytes.
const MAX_ERROR_BYTES: usize = 200;

/// A client for one backend server.
#[derive(Clone)]
pub struct Backend {
    base: String,
    client: Client,
    answer_bytes: usize,
}

impl Backend {
    /// Creates a client for the configured base URL. The client is bound to the thread that creates it.
    pub fn new(settings: &AgentSettings) -> Backend {
        // The client closes idle connections before the backend server does. A request sent while the server
        // closes the connection would count as a started and failed task.
        let connector = Connector::new()
            .limit(settings.connections)
            .conn_keep_alive(settings.keepalive);
        Backend {
            base: settings.backend.trim_end_matches('/').to_owned(),
            client: Client::builder()
                .connector(connector)
                .disable_redirects()
                .finish(),
            answer_bytes: settings.answer_bytes,
        }
    }

    /// Runs a task and returns the JSON that the backend server answers.
    ///
    /// # Errors
    ///
    /// Returns [`RunFailure::NeverSent`] if nothing of the request was sent, [`RunFailure::Failed`] if the
    /// task may have run. The request is never sent twice.
    pub async fn run(&self, task: RunTask, clock: ProcessClock) -> Result<Bytes, RunFailure> {
        let left = clock.now().mono.until(task.until);
        if left.is_zero() {
            let reason = "the deadline passed before the back end was called";
            return Err(RunFailure::NeverSent(reason.into()));
        }
        let call = tokio::time::timeout(left, self.call(task, left));
        match call.await {
            Ok(result) => result,
            Err(_) => Err(RunFailure::Failed(
                "the back end did not answer before the deadline".into(),
            )),
        }
    }

    async fn call(&self, task: RunTask, left: Duration) -> Result<Bytes, RunFailure> {
        let url = format!("{}/{}", self.base, task.service);
        let request = self
            .client
            .post(url)
            .timeout(left + Duration::from_secs(1))
            .insert_header((JOB_HEADER, task.key.job.to_string()))
            .insert_header((TASK_HEADER, task.key.task.to_string()))
            .content_type("application/json");
        let sent = request.send_body(task.payload).await;
        let mut response = sent.map_err(classify_error)?;
        let status = response.status();
        let counted = response.headers().contains_key(CONTENT_LENGTH);
        let body = http_call::read_body(&mut response, self.answer_bytes).await;
        let body =
            body.map_err(|e| RunFailure::Failed(format!("the back end's answer broke off: {e}")))?;
        if !status.is_success() {
            let excerpt = &body[..body.len().min(MAX_ERROR_BYTES)];
            let text = String::from_utf8_lossy(excerpt);
            let reason = format!("the back end answered {status}: {text}");
            return Err(RunFailure::Failed(reason));
        }
        check_answer(&body, counted).map_err(RunFailure::Failed)?;
        Ok(body)
    }
}

/// Checks that an answer is JSON, and whole. `counted` tells whether the backend server has said how long the
/// body is: otherwise a number may lack digits, since the end of the connection then ends the body.
///
/// # Errors
///
/// Returns the reason why the answer can't be used.
pub fn check_answer(body: &[u8], counted: bool) -> Result<(), String> {
    if let Err(e) = serde_json::from_slice::<IgnoredAny>(body) {
        return Err(format!("the back end's answer is not JSON: {e}"));
    }
    let ends_in_digit = body.trim_ascii_end().last().is_some_and(u8::is_ascii_digit);
    if ends_in_digit && !counted {
        let reason = "the back end's answer is a number without Content-Length: it may be cut off";
        return Err(reason.to_owned());
    }
    Ok(())
}

/// Classifies a failed request: whether it may have reached the backend server.
fn classify_error(error: SendRequestError) -> RunFailure {
    let reason = format!("the back end can't be called: {error}");
    match http_call::classify(&error) {
        CallFailure::MaybeSent => RunFailure::Failed(reason),
        CallFailure::Unsent | CallFailure::Refused => RunFailure::NeverSent(reason),
    }
}
