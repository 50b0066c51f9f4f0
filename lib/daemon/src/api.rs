//! The HTTP API for callers and operators.
//!
//! Parses a request, passes it to the entry's actor and converts the reply into a response. Makes no
//! decisions about jobs.

use std::str::FromStr;
use std::time::Duration;

use actix::Addr;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use bytes::Bytes;
use serde_json::json;
use stackcourse_lib::entry::Submission;
use stackcourse_lib::job_body::JobBody;
use stackcourse_lib::job_id::JobId;
use stackcourse_lib::outcome::Cause;
use stackcourse_lib::outcome::Outcome;
use stackcourse_lib::outcome::Refusal;
use tokio::sync::oneshot;

use crate::dispatch::clients::Clients;
use crate::dispatch::metrics_page;
use crate::entry_actor::EntryActor;
use crate::entry_actor::GetMetrics;
use crate::entry_actor::GetStatus;
use crate::entry_actor::Submit;
use crate::problem;

/// The request header that names the job's team if it is not the service's own.
pub const TEAM_HEADER: &str = "Stackcourse-Team";

/// The state shared by all handlers.
#[derive(Clone)]
pub struct ApiState {
    /// The address of the entry's actor.
    pub entry: Addr<EntryActor>,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// The clients, whose figures are among the metrics.
    pub clients: Clients,
}

/// Adds the routes of the API to an application.
pub fn configure_routes(config: &mut web::ServiceConfig, state: ApiState) {
    let limit = web::PayloadConfig::new(state.body_bytes);
    let job = web::resource("/v1/services/{service}/jobs/{job}")
        .route(web::put().to(put_job))
        .route(web::get().to(get_job));
    config
        .app_data(web::Data::new(state))
        .app_data(limit)
        .service(job)
        .route("/healthz", web::get().to(healthz))
        .route("/metrics", web::get().to(metrics))
        .route("/v1/status", web::get().to(status))
        .default_service(web::to(not_found));
}

fn invalid_request(job: Option<JobId>, detail: impl Into<String>) -> HttpResponse {
    let refusal = Refusal::new(Outcome::NotRun, Cause::Invalid, detail);
    problem::problem_response(job, &refusal)
}

async fn put_job(
    state: web::Data<ApiState>,
    path: web::Path<(String, String)>,
    request: HttpRequest,
    body: Result<Bytes, actix_web::Error>,
) -> HttpResponse {
    let (service, job) = path.into_inner();
    let job = match JobId::from_str(&job) {
        Ok(job) => job,
        Err(e) => return invalid_request(None, e.to_string()),
    };
    let body = match body {
        Ok(body) => body,
        Err(e) => return invalid_request(Some(job), format!("the body can't be read: {e}")),
    };
    let parsed = match JobBody::parse(&body) {
        Ok(parsed) => parsed,
        Err(e) => return invalid_request(Some(job), e.to_string()),
    };
    let team = request.headers().get(TEAM_HEADER);
    let team = team.and_then(|t| t.to_str().ok()).unwrap_or("");
    let submission = Submission {
        job,
        service,
        team: team.to_owned(),
        body,
        left: Duration::from_millis(parsed.deadline_ms.unwrap_or(0)),
        peek: false,
    };
    submit(&state, submission).await
}

async fn get_job(state: web::Data<ApiState>, path: web::Path<(String, String)>) -> HttpResponse {
    let (service, job) = path.into_inner();
    let job = match JobId::from_str(&job) {
        Ok(job) => job,
        Err(e) => return invalid_request(None, e.to_string()),
    };
    let submission = Submission {
        job,
        service,
        team: String::new(),
        body: Bytes::new(),
        left: Duration::ZERO,
        peek: true,
    };
    submit(&state, submission).await
}

async fn submit(state: &ApiState, submission: Submission) -> HttpResponse {
    let job = submission.job;
    let (answer, receiver) = oneshot::channel();
    let sent = state.entry.send(Submit { submission, answer }).await;
    let reply = match sent {
        Ok(()) => receiver.await.ok(),
        Err(_) => None,
    };
    match reply {
        Some(reply) => problem::job_response(job, reply),
        None => {
            let detail = "the entry stopped before the job ended";
            let refusal = Refusal::new(Outcome::Unknown, Cause::NoOwner, detail);
            problem::problem_response(Some(job), &refusal.retry(1_000))
        }
    }
}

async fn healthz(state: web::Data<ApiState>) -> HttpResponse {
    match state.entry.send(GetStatus).await {
        Ok(status) if status.is_ready() => HttpResponse::Ok().body("ok\n"),
        Ok(status) if status.leaving => HttpResponse::ServiceUnavailable().body("leaving\n"),
        Ok(_) => HttpResponse::ServiceUnavailable().body("no configuration is in force\n"),
        Err(_) => HttpResponse::ServiceUnavailable().body("stopped\n"),
    }
}

async fn metrics(state: web::Data<ApiState>) -> HttpResponse {
    match state.entry.send(GetMetrics).await {
        Ok(mut text) => {
            text.push_str(&state.clients.read(metrics_page::clients_page));
            HttpResponse::Ok()
                .content_type("text/plain; version=0.0.4")
                .body(text)
        }
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn status(state: web::Data<ApiState>) -> HttpResponse {
    match state.entry.send(GetStatus).await {
        Ok(status) => HttpResponse::Ok().json(status),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn not_found(request: HttpRequest) -> HttpResponse {
    let document = json!({
        "type": "about:blank",
        "title": "Not Found",
        "status": 404,
        "detail": format!("nothing stands at {} {}", request.method(), request.path()),
    });
    HttpResponse::NotFound()
        .content_type("application/problem+json")
        .body(document.to_string())
}
