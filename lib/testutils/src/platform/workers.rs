//! Simulated workers of the platform. Each serves the worker protocol over HTTP for a worker model and sends
//! heartbeats to its agent, some of them invalid. All share one [`Workers`], which also checks each start.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use actix_web::App;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::web;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use serde_json::json;
use stackcourse_lib::dispatch::executor::HoldCall;
use stackcourse_lib::dispatch::executor::HoldReply;
use stackcourse_lib::dispatch::executor::OrderReply;
use stackcourse_lib::dispatch::executor::RunEnd;
use stackcourse_lib::dispatch::executor::RunName;
use stackcourse_lib::dispatch::executor::StartCall;
use stackcourse_lib::dispatch::executor::WorkerIncarnation;
use stackcourse_lib::dispatch::model::JobNumber;
use stackcourse_lib::dispatch::model::TaskName;

use crate::dispatch::witness::InvariantChecker;
use crate::dispatch::worker::WorkerModel;
use crate::stub_server;
use crate::stub_server::StubServer;

/// The CPU capacity of each worker, in thousandths of a core.
pub const CAPACITY: u32 = 8_000;
/// The spec of a job whose tasks crash each worker that starts one.
pub const CRASH_SPEC: &str = "crash";
/// The time from the start of a [`CRASH_SPEC`] task to the worker's crash, in microseconds.
const CRASH_DELAY_US: u64 = 10_000;
/// The time after an evacuation from which a start in the zone is a violation, in microseconds: the users' 5
/// s, plus the longest fault of the soak, which may keep a process from reading the evacuation.
const EVACUATION_GRACE_US: u64 = 8_000_000;
/// An invalid heartbeat precedes every heartbeat whose number is a multiple of this.
const INVALID_INTERVAL: u64 = 7;
/// The time that incarnations' start times are counted from, in milliseconds since the Unix epoch.
const BORN_BASE_MS: u64 = 1_780_000_000_000;
/// The interval between two heartbeats of a worker.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// After what time a late order is carried out, in milliseconds.
const LATE_MS: std::ops::Range<u64> = 2_000..12_000;
/// How often a pending hold call checks for new ends.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// All workers and the record of what they ran.
pub struct Workers {
    /// The worker models, by number.
    pub models: Vec<WorkerModel>,
    /// Checks the starts and the responses to callers.
    pub witness: InvariantChecker,
    /// The service that the workers belong to.
    pub service: String,
    /// The number of crashes that tasks caused.
    pub crashes: u64,
    /// The number of tasks that each worker has begun.
    pub starts: Vec<u64>,
    /// Since when each worker's zone is evacuated, in microseconds; `None` if it is not.
    pub evacuated_since: Vec<Option<u64>>,
    /// The share of the orders to each worker that get no answer and are carried out late.
    pub late_shares: Vec<f64>,
    /// Draws which orders are late.
    rng: ChaCha8Rng,
    /// Runs that will crash their worker: the time, the worker's number and the run.
    pending_crashes: Vec<(u64, usize, RunName)>,
    started_at: Instant,
    incarnations: u64,
}

/// The workers, shared by their servers, the callers and the tests.
pub type SharedWorkers = Arc<Mutex<Workers>>;

impl Workers {
    /// Creates workers in their first incarnations.
    pub fn new(count: usize, service: &str) -> SharedWorkers {
        let mut workers = Workers {
            models: Vec::new(),
            witness: InvariantChecker::default(),
            service: service.to_owned(),
            crashes: 0,
            starts: vec![0; count],
            evacuated_since: vec![None; count],
            late_shares: vec![0.0; count],
            rng: ChaCha8Rng::seed_from_u64(0),
            pending_crashes: Vec::new(),
            started_at: Instant::now(),
            incarnations: 0,
        };
        for _ in 0..count {
            let model = workers.create_incarnation();
            workers.models.push(model);
        }
        Arc::new(Mutex::new(workers))
    }

    fn create_incarnation(&mut self) -> WorkerModel {
        let id = format!("i-{}", self.incarnations + 1);
        self.create_incarnation_with_id(id)
    }

    /// Creates an incarnation with an id, which may be that of an earlier one.
    fn create_incarnation_with_id(&mut self, id: String) -> WorkerModel {
        self.incarnations += 1;
        let born = Some(BORN_BASE_MS + self.now() / 1000);
        WorkerModel::new(WorkerIncarnation { id, born }, CAPACITY)
            .with_clock_zero(self.now() - 1000)
    }

    /// Returns the time on the workers' clock, in microseconds.
    pub fn now(&self) -> u64 {
        self.started_at.elapsed().as_micros() as u64 + 10_000_000
    }

    /// Crashes a worker and starts its next incarnation, every second time under the same id.
    pub fn crash(&mut self, number: usize) {
        self.advance();
        self.start_next_incarnation(number);
    }

    /// Crashes all workers at the same moment and starts their next incarnations.
    pub fn crash_all(&mut self) {
        self.advance();
        for number in 0..self.models.len() {
            self.start_next_incarnation(number);
        }
    }

    /// Crashes a worker and starts its next incarnation under the same id.
    pub fn restart(&mut self, number: usize) {
        self.advance();
        self.witness
            .record_crash(self.models[number].unacknowledged_tasks());
        let id = self.models[number].life.id.clone();
        self.models[number] = self.create_incarnation_with_id(id);
    }

    fn start_next_incarnation(&mut self, number: usize) {
        self.witness
            .record_crash(self.models[number].unacknowledged_tasks());
        self.models[number] = match self.incarnations.is_multiple_of(2) {
            true => self.create_incarnation_with_id(self.models[number].life.id.clone()),
            false => self.create_incarnation(),
        };
    }

    /// Crashes the workers whose crashing runs are due. A run that was replaced or has ended crashes nothing.
    fn crash_due_workers(&mut self, now: u64) {
        let (due, later) = self.pending_crashes.drain(..).partition(|c| c.0 <= now);
        self.pending_crashes = later;
        let due: Vec<(u64, usize, RunName)> = due;
        for (_, number, name) in due {
            let running = self.models[number].running.get(&name.task);
            if running.is_some_and(|r| r.run == name.run) {
                self.crashes += 1;
                self.witness.record_culprit(name.task);
                self.start_next_incarnation(number);
            }
        }
    }

    /// Advances all workers to the present, records the ends of their runs, and returns the time.
    pub fn advance(&mut self) -> u64 {
        let now = self.now();
        self.crash_due_workers(now);
        for model in &mut self.models {
            for (run, end) in model.advance(now) {
                if let Some(job) = self.witness.jobs.get_mut(&run.task.job) {
                    match end {
                        RunEnd::Done => {
                            job.done.insert(run.task.index);
                        }
                        RunEnd::Failed => *job.failed.entry(run.task.index).or_default() += 1,
                        RunEnd::Stopped | RunEnd::Expired => {}
                    }
                }
            }
        }
        now
    }

    /// Draws whether an order to a worker is carried out late, and after what time.
    fn draw_delay(&mut self, number: usize) -> Option<Duration> {
        let late = self.rng.random_bool(self.late_shares[number]);
        late.then(|| Duration::from_millis(self.rng.random_range(LATE_MS)))
    }

    /// Carries out an order to a worker.
    fn carry_out(&mut self, number: usize, order: &Order) -> OrderReply {
        match order {
            Order::Start(call) => self.start_run(number, call),
            Order::Stop(id, run, fence) => {
                let now = self.advance();
                self.models[number].stop(now, id, *run, *fence)
            }
        }
    }

    /// Carries out an order that comes late. It does not reach a later incarnation of the worker.
    fn carry_out_late(&mut self, number: usize, born: Option<u64>, order: &Order) {
        if self.models[number].life.born == born {
            self.carry_out(number, order);
        }
    }

    /// Starts a run. The spec gives its work in milliseconds, or is [`CRASH_SPEC`].
    fn start_run(&mut self, number: usize, call: &StartCall) -> OrderReply {
        let now = self.advance();
        let work_us = call.spec.parse::<u64>().unwrap_or(50) * 1000;
        let (reply, begun) = self.models[number].start(now, call, work_us, false);
        if begun {
            self.record_start(number, call.run.task);
        }
        if begun && &*call.spec == CRASH_SPEC {
            self.pending_crashes
                .push((now + CRASH_DELAY_US, number, call.run));
        }
        reply
    }

    fn record_start(&mut self, number: usize, task: TaskName) {
        let others = (0..self.models.len()).filter(|n| *n != number);
        let runs_at = |n: usize| self.models[n].running.contains_key(&task);
        let runs_elsewhere = others.into_iter().any(runs_at);
        let jobs = &self.witness.jobs;
        let cpu = |t: &TaskName| jobs.get(&t.job).map_or(0, |j| j.cpu);
        let used_cpu = self.models[number].running.keys().map(cpu).sum();
        self.witness
            .check_start(task, runs_elsewhere, used_cpu, CAPACITY);
        self.starts[number] += 1;
        let now = self.now();
        self.witness.check_not_cancelled(task, now, None);
        let since = self.evacuated_since[number].map(|at| now.saturating_sub(at));
        if since.is_some_and(|since| since >= EVACUATION_GRACE_US) {
            let what = format!("{task} was started at worker {number}, whose zone is evacuated");
            self.witness.report_violation(what);
        }
    }
}

/// An order to a worker.
enum Order {
    Start(StartCall),
    /// The id of the incarnation, the run and the fencing token.
    Stop(String, RunName, u64),
}

#[derive(Clone)]
struct WorkerHandle {
    workers: SharedWorkers,
    number: usize,
}

impl WorkerHandle {
    /// Carries out an order and answers it. A late one is carried out later and never answered.
    async fn answer_order(&self, order: Order) -> HttpResponse {
        let delay = self.workers.lock().unwrap().draw_delay(self.number);
        let Some(delay) = delay else {
            let reply = self.workers.lock().unwrap().carry_out(self.number, &order);
            return order_response(&reply);
        };
        let born = self.workers.lock().unwrap().models[self.number].life.born;
        let handle = self.clone();
        // A task of its own: this one ends when the caller closes the connection.
        actix_rt::spawn(async move {
            tokio::time::sleep(delay).await;
            let mut workers = handle.workers.lock().unwrap();
            workers.carry_out_late(handle.number, born, &order);
        });
        std::future::pending().await
    }
}

/// Starts the server of one worker, which sends its heartbeats to `heartbeat_address`.
pub fn start(
    listen: SocketAddr,
    heartbeat_address: SocketAddr,
    workers: SharedWorkers,
    number: usize,
) -> StubServer {
    let handle = WorkerHandle { workers, number };
    stub_server::run(listen, move |listener| {
        let sender = handle.clone();
        actix_rt::spawn(send_heartbeats(sender, heartbeat_address, listen));
        let server = HttpServer::new(move || {
            App::new()
                .app_data(web::Data::new(handle.clone()))
                .route("/-/run-start", web::post().to(run_start))
                .route("/-/run-stop", web::post().to(run_stop))
                .route("/-/hold", web::post().to(hold))
        });
        Ok(server.workers(1).disable_signals().listen(listener)?.run())
    })
}

/// Sends the worker's heartbeats for as long as its server runs.
async fn send_heartbeats(handle: WorkerHandle, heartbeat_address: SocketAddr, listen: SocketAddr) {
    let client = awc::Client::default();
    let mut sequence = 0u64;
    loop {
        sequence += 1;
        let (id, document) = {
            let mut workers = handle.workers.lock().unwrap();
            let now = workers.now();
            let service = workers.service.clone();
            let model = &mut workers.models[handle.number];
            model.heartbeats += 1;
            let state = if model.draining { "draining" } else { "ready" };
            let document = json!({
                "service": service,
                "address": listen.to_string(),
                "zone": "z",
                "version": "v1",
                "slots": 8,
                "state": state,
                "coldRemainingMs": 0,
                "capacity": {"cpu": model.capacity, "memMb": 65_536, "gpu": 0},
                "labels": ["a", "r1"],
                "clockMs": model.clock_ms(now),
                "sequence": model.heartbeats,
                "born": model.life.born,
            });
            (model.life.id.clone(), document)
        };
        if sequence.is_multiple_of(INVALID_INTERVAL) {
            let (other_id, body) = invalid_heartbeat(&id, &document, sequence / INVALID_INTERVAL);
            send_heartbeat(&client, heartbeat_address, &other_id, body).await;
        }
        send_heartbeat(&client, heartbeat_address, &id, document.to_string()).await;
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

async fn send_heartbeat(
    client: &awc::Client,
    heartbeat_address: SocketAddr,
    id: &str,
    body: String,
) {
    let call = client.put(format!("http://{heartbeat_address}/-/instances/{id}"));
    let _ = call.timeout(Duration::from_secs(1)).send_body(body).await;
}

/// Returns the id and the body of a heartbeat that the agent must not take for the worker's: an id that no
/// worker has, the start time of an earlier incarnation, truncated JSON, an unknown state, a field of the
/// wrong type, or a missing field.
fn invalid_heartbeat(id: &str, document: &Value, case: u64) -> (String, String) {
    let mut document = document.clone();
    match case % 6 {
        0 => return ("i-0".to_owned(), document.to_string()),
        5 => {
            document["born"] = json!(BORN_BASE_MS);
            document["sequence"] = json!(1_000_000);
            document["state"] = json!("draining");
        }
        1 => return (id.to_owned(), "{\"service\": \"s".to_owned()),
        2 => document["state"] = json!("resting"),
        3 => document["service"] = json!(7),
        _ => {
            if let Some(fields) = document.as_object_mut() {
                fields.remove("capacity");
            }
        }
    }
    (id.to_owned(), document.to_string())
}

/// Returns the incarnation's id that the request names, or else the worker's current one.
fn expected_id(request: &HttpRequest, handle: &WorkerHandle) -> String {
    let header = request.headers().get("Stackcourse-Expected-Instance");
    let named = header.and_then(|v| v.to_str().ok()).map(str::to_owned);
    named.unwrap_or_else(|| {
        handle.workers.lock().unwrap().models[handle.number]
            .life
            .id
            .clone()
    })
}

/// Parses the name of a run from a request's body.
pub fn parse_run_name(body: &Value) -> RunName {
    let text = body["task"].as_str().unwrap_or_default();
    let mut parts = text.split('.');
    let job = parts.next().unwrap_or_default();
    let mut number = || parts.next().and_then(|p| p.parse().ok()).unwrap_or(0);
    RunName {
        task: TaskName {
            job: JobNumber(u64::from_str_radix(job, 16).unwrap_or(0)),
            occurrence: number(),
            step: number(),
            index: number(),
        },
        run: body["run"].as_u64().unwrap_or(0) as u32,
    }
}

fn order_response(reply: &OrderReply) -> HttpResponse {
    match reply {
        OrderReply::Done(clock) => HttpResponse::Ok().json(json!({"clockMs": clock})),
        OrderReply::Refused(reason) => {
            let text = format!("{reason:?}").to_lowercase();
            HttpResponse::Conflict().json(json!({"clockMs": 0, "reason": text}))
        }
        OrderReply::WrongLife => HttpResponse::MisdirectedRequest().finish(),
        OrderReply::NoAnswer | OrderReply::Unreachable => {
            HttpResponse::ServiceUnavailable().finish()
        }
    }
}

async fn run_start(
    request: HttpRequest,
    handle: web::Data<WorkerHandle>,
    body: web::Json<Value>,
) -> HttpResponse {
    let call = StartCall {
        incarnation: expected_id(&request, &handle),
        run: parse_run_name(&body),
        spec: body["spec"].as_str().unwrap_or_default().into(),
        deadline_ms: body["deadlineMs"].as_u64().unwrap_or(0),
        fence: body["fencingToken"].as_u64().unwrap_or(0),
        checkpoint: String::new(),
    };
    handle.answer_order(Order::Start(call)).await
}

async fn run_stop(
    request: HttpRequest,
    handle: web::Data<WorkerHandle>,
    body: web::Json<Value>,
) -> HttpResponse {
    let id = expected_id(&request, &handle);
    let fence = body["fencingToken"].as_u64().unwrap_or(0);
    let order = Order::Stop(id, parse_run_name(&body), fence);
    handle.answer_order(order).await
}

async fn hold(
    request: HttpRequest,
    handle: web::Data<WorkerHandle>,
    body: web::Json<Value>,
) -> HttpResponse {
    let call = HoldCall {
        number: 0,
        incarnation: expected_id(&request, &handle),
        deadline_ms: body["deadlineMs"].as_u64().unwrap_or(0),
        fence: body["fencingToken"].as_u64().unwrap_or(0),
        seen: body["lastSeen"].as_u64().unwrap_or(0),
        wait: Duration::from_millis(body["waitMs"].as_u64().unwrap_or(0)),
    };
    let late = handle.workers.lock().unwrap().draw_delay(handle.number);
    if late.is_some() {
        // The deadline of a late hold has passed when it is carried out, so it changes nothing.
        return std::future::pending().await;
    }
    let end = Instant::now() + call.wait;
    loop {
        let (reply, has_new_ends) = {
            let mut workers = handle.workers.lock().unwrap();
            let now = workers.advance();
            let model = &mut workers.models[handle.number];
            (model.hold(now, &call), model.has_unseen_ends(call.seen))
        };
        let has_lists = matches!(reply, HoldReply::Lists { .. });
        if has_new_ends || !has_lists || Instant::now() >= end {
            return hold_response(reply);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn task_text(run: &RunName) -> String {
    run.task.to_string()
}

fn hold_response(reply: HoldReply) -> HttpResponse {
    let HoldReply::Lists {
        born,
        clock_ms,
        running,
        finished,
    } = reply
    else {
        return match reply {
            HoldReply::WrongLife => HttpResponse::MisdirectedRequest().finish(),
            _ => HttpResponse::Conflict().json(json!({"clockMs": 0, "reason": "fence"})),
        };
    };
    let running: Vec<Value> = running
        .iter()
        .map(|r| json!([task_text(&r.run), r.run.run, "", r.percent, 0]))
        .collect();
    let finished: Vec<Value> = finished
        .iter()
        .map(|f| {
            let end = format!("{:?}", f.end).to_lowercase();
            json!([f.number, task_text(&f.run), f.run.run, end, ""])
        })
        .collect();
    HttpResponse::Ok().json(json!({
        "born": born,
        "clockMs": clock_ms,
        "running": running,
        "finished": finished,
    }))
}
