//! A stand-in for a backend server. Each task says how long it takes, as `{"ms": N}`; a log of
//! each start is the witness of what ran.

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

/// One start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartLine {
    /// The job.
    pub job: String,
    /// The task.
    pub task: u32,
    /// The service.
    pub service: String,
    /// When, in microseconds since the Unix epoch.
    pub at_us: u64,
    /// How many tasks ran here then, this one counted.
    pub running: u64,
}

/// What a backend server does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendFaults {
    /// Tasks take this many times as long.
    pub slow: f64,
    /// Answers with an error at once.
    pub fail: bool,
    /// Does not answer at all.
    pub stall: bool,
    /// Breaks its answer off in the middle.
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

/// A log and the present mood; clones share them.
#[derive(Clone, Default)]
pub struct BackendState {
    log: Arc<Mutex<Vec<StartLine>>>,
    mood: Arc<Mutex<BackendFaults>>,
    running: Arc<AtomicU64>,
}

impl BackendState {
    /// The starts so far.
    pub fn log(&self) -> Vec<StartLine> {
        self.log.lock().expect("no panic while held").clone()
    }

    /// Sets the mood.
    pub fn set_faults(&self, mood: BackendFaults) {
        *self.mood.lock().expect("no panic while held") = mood;
    }

    /// Forgets the starts so far.
    pub fn clear(&self) {
        self.log.lock().expect("no panic while held").clear();
    }
}

/// Starts the stand-in on a thread of its own.
pub fn start(listen: SocketAddr, state: BackendState) -> StubServer {
    stub_server::run(listen, move |listener| {
        let server = HttpServer::new(move || {
            App::new()
                .app_data(web::Data::new(state.clone()))
                .app_data(web::PayloadConfig::new(8 << 20))
                .route("/stub/log", web::get().to(get_log))
                .route("/stub/mood", web::put().to(put_mood))
                .route("/{service}", web::post().to(task))
        });
        let server = server.workers(1).disable_signals();
        Ok(server.listen(listener)?.run())
    })
}

async fn get_log(state: web::Data<BackendState>) -> HttpResponse {
    HttpResponse::Ok().json(state.log())
}

async fn put_mood(state: web::Data<BackendState>, mood: web::Json<BackendFaults>) -> HttpResponse {
    state.set_faults(mood.into_inner());
    HttpResponse::Ok().finish()
}

/// Counts a task as running for as long as it is held.
struct Running(Arc<AtomicU64>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn task(
    state: web::Data<BackendState>,
    service: web::Path<String>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let begun = Instant::now();
    let running = state.running.fetch_add(1, Ordering::Relaxed) + 1;
    let _running = Running(state.running.clone());
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
    let mood = *state.mood.lock().expect("no panic while held");
    if mood.fail {
        return HttpResponse::InternalServerError().body("broken");
    }
    if mood.stall {
        std::future::pending::<()>().await;
    }
    let asked: TaskBody = serde_json::from_slice(&body).unwrap_or_default();
    let span = Duration::from_secs_f64((asked.ms * mood.slow / 1000.0).max(0.0));
    stub_server::sleep_until(begun + span).await;
    if mood.cut {
        return HttpResponse::Ok().body("{\"job\":");
    }
    HttpResponse::Ok().json(answer)
}
