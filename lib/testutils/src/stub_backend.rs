//! A stub of a backend server. The body of each task sets how long it takes, as `{"ms": N}`. The stub logs
//! every start, so that tests can check which tasks ran and how often, and injects [`BackendFaults`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use actix_web::App;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::web;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use stackcourse_daemon::backend::JOB_HEADER;
use stackcourse_daemon::backend::TASK_HEADER;

use crate::stub_server;
use crate::stub_server::StubServer;

/// The start of a task, as logged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartLine {
    /// The job id.
    pub job: String,
    /// The task number; `u32::MAX` if the request had none.
    pub task: u32,
    /// The name of the service.
    pub service: String,
    /// When the task started, in microseconds since the Unix epoch.
    pub at_us: u64,
    /// Number of tasks that were running at the time, this one included.
    pub running: u64,
}

/// The faults of a backend server; the default has none.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendFaults {
    /// Factor by which tasks take longer.
    pub slow: f64,
    /// Answers with an error immediately.
    pub fail: bool,
    /// Never answers.
    pub stall: bool,
    /// Answers with truncated JSON.
    pub cut: bool,
}

impl Default for BackendFaults {
    fn default() -> BackendFaults {
        BackendFaults {
            slow: 1.0,
            fail: false,
            stall: false,
            cut: false,
        }
    }
}

#[derive(Deserialize, Default)]
struct TaskBody {
    #[serde(default)]
    ms: f64,
}

/// The log and the current faults of a backend server; clones share them.
#[derive(Clone, Default)]
pub struct BackendState {
    log: Arc<Mutex<Vec<StartLine>>>,
    faults: Arc<Mutex<BackendFaults>>,
    running: Arc<AtomicU64>,
}

impl BackendState {
    /// Returns the logged starts.
    pub fn log(&self) -> Vec<StartLine> {
        self.log.lock().expect("no panic while held").clone()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: BackendFaults) {
        *self.faults.lock().expect("no panic while held") = faults;
    }

    /// Clears the log.
    pub fn clear(&self) {
        self.log.lock().expect("no panic while held").clear();
    }
}

/// Starts the stub on its own thread.
pub fn start(listen: SocketAddr, state: BackendState) -> StubServer {
    stub_server::run(listen, move |listener| {
        let server = HttpServer::new(move || {
            App::new()
                .app_data(web::Data::new(state.clone()))
                .app_data(web::PayloadConfig::new(8 << 20))
                .route("/stub/log", web::get().to(get_log))
                .route("/stub/mood", web::put().to(put_faults))
                .route("/{service}", web::post().to(task))
        });
        let server = server.workers(1).disable_signals();
        Ok(server.listen(listener)?.run())
    })
}

async fn get_log(state: web::Data<BackendState>) -> HttpResponse {
    HttpResponse::Ok().json(state.log())
}

async fn put_faults(
    state: web::Data<BackendState>,
    faults: web::Json<BackendFaults>,
) -> HttpResponse {
    state.set_faults(faults.into_inner());
    HttpResponse::Ok().finish()
}

/// Counts a task as running until it is dropped, also when the request is cancelled.
struct RunningGuard(Arc<AtomicU64>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Runs a task: logs its start, waits for its time and answers with its job and task number.
async fn task(
    state: web::Data<BackendState>,
    service: web::Path<String>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let started_at = Instant::now();
    let running = state.running.fetch_add(1, Ordering::Relaxed) + 1;
    let _running = RunningGuard(state.running.clone());
    let header = |name: &str| {
        let value = request.headers().get(name);
        value.and_then(|v| v.to_str().ok()).unwrap_or("").to_owned()
    };
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    let line = StartLine {
        job: header(JOB_HEADER),
        task: header(TASK_HEADER).parse().unwrap_or(u32::MAX),
        service: service.into_inner(),
        at_us: wall.map_or(0, |d| d.as_micros() as u64),
        running,
    };
    let answer = json!({"job": line.job, "task": line.task});
    state.log.lock().expect("no panic while held").push(line);
    let faults = *state.faults.lock().expect("no panic while held");
    if faults.fail {
        return HttpResponse::InternalServerError().body("broken");
    }
    if faults.stall {
        std::future::pending::<()>().await;
    }
    let request_body: TaskBody = serde_json::from_slice(&body).unwrap_or_default();
    let duration = Duration::from_secs_f64((request_body.ms * faults.slow / 1000.0).max(0.0));
    stub_server::sleep_until(started_at + duration).await;
    if faults.cut {
        return HttpResponse::Ok().body("{\"job\":");
    }
    HttpResponse::Ok().json(answer)
}
