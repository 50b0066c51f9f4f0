//! Responses to callers: the answers of a complete job, or a problem document (RFC 9457).

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::http::header;
use bytes::Bytes;
use serde_json::json;
use stackcourse_lib::job_id::JobId;
use stackcourse_lib::outcome::Cause;
use stackcourse_lib::outcome::JobReply;
use stackcourse_lib::outcome::Outcome;
use stackcourse_lib::outcome::Refusal;

/// The media type of a problem document.
const PROBLEM_MEDIA_TYPE: &str = "application/problem+json";

/// Returns the response for the reply to a job: the answers, "still running", or a problem document.
pub fn job_response(job: JobId, reply: JobReply) -> HttpResponse {
    match reply {
        JobReply::Complete(answers) => complete_response(job, &answers),
        JobReply::Other(refusal) if refusal.cause == Cause::Running => running_response(job),
        JobReply::Other(refusal) => problem_response(Some(job), &refusal),
    }
}

fn complete_response(job: JobId, answers: &Bytes) -> HttpResponse {
    let head = format!(r#"{{"job":"{job}","outcome":"complete","answers":"#);
    let mut body = Vec::with_capacity(head.len() + answers.len() + 1);
    body.extend_from_slice(head.as_bytes());
    body.extend_from_slice(answers);
    body.push(b'}');
    HttpResponse::Ok()
        .content_type("application/json")
        .body(body)
}

fn running_response(job: JobId) -> HttpResponse {
    HttpResponse::Accepted().json(json!({"job": job.to_string(), "state": "running"}))
}

/// Returns a response with the problem document for a refusal, with a `Retry-After` header if it names a
/// retry delay.
pub fn problem_response(job: Option<JobId>, refusal: &Refusal) -> HttpResponse {
    let status = StatusCode::from_u16(refusal.cause.status());
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let outcome = refusal.outcome.unwrap_or(Outcome::Unknown);
    let mut document = json!({
        "type": format!("urn:stackcourse:problem:{}", refusal.cause.name()),
        "title": title(outcome),
        "status": status.as_u16(),
        "detail": refusal.detail,
        "outcome": outcome.word(),
    });
    if let Some(job) = job {
        document["job"] = json!(job.to_string());
    }
    let mut response = HttpResponse::build(status);
    if refusal.retry_ms > 0 {
        document["retry_after_ms"] = json!(refusal.retry_ms);
        let seconds = refusal.retry_ms.div_ceil(1000).to_string();
        response.insert_header((header::RETRY_AFTER, seconds));
    }
    response
        .content_type(PROBLEM_MEDIA_TYPE)
        .body(document.to_string())
}

fn title(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Complete => "The job is complete",
        Outcome::Failed => "The job ran and failed",
        Outcome::NotRun => "The job did not run",
        Outcome::Unknown => "The job may have run",
    }
}
