//! Stand-ins for the platform's workers: a model of each behind its protocol, with beats.

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

use crate::dispatch::witness::Witness;
use crate::dispatch::worker::WorkerModel;
use crate::standin;
use crate::standin::StandIn;

/// What each worker has, in thousandths of a core.
pub const CAPACITY: u32 = 8_000;
/// The text of a job whose tasks take down each worker that starts one.
pub const CRASH: &str = "crash";
/// They do so after this long, in microseconds.
const CRASH_US: u64 = 10_000;
/// From so long after an evacuation on nothing is started there, in microseconds: the users' 5 s, and the longest fault
/// of the soak, which may keep a process from hearing of it.
const IN_FORCE_US: u64 = 8_000_000;
/// Each so many heartbeats somebody else writes in the worker's place.
const STRANGE_EVERY: u64 = 7;
/// Workers start after this time, in milliseconds since 1970.
const BORN_MS: u64 = 1_780_000_000_000;
/// How often a worker beats.
const BEAT: Duration = Duration::from_millis(200);
/// How often a hold that waits looks for an end.
const POLL: Duration = Duration::from_millis(2);

/// All workers and what is seen of them.
pub struct Workers {
    /// The workers, by number.
    pub models: Vec<WorkerModel>,
    /// What they and the callers see.
    pub witness: Witness,
    /// The service they work for.
    pub service: String,
    /// How many lives were taken down by a task.
    pub crashes: u64,
    /// How many tasks each worker has begun.
    pub starts: Vec<u64>,
    /// Since when each worker is in an evacuated zone, in microseconds.
    pub evacuated: Vec<Option<u64>>,
    /// Runs that will take their worker down: when, at which worker, and which.
    crashing: Vec<(u64, usize, RunName)>,
    start: Instant,
    lives: u64,
}

/// The workers, shared.
pub type SharedWorkers = Arc<Mutex<Workers>>;

impl Workers {
    /// Workers that have just come up.
    pub fn new(count: usize, service: &str) -> SharedWorkers {
        let mut workers = Workers {
            models: Vec::new(),
            witness: Witness::default(),
            service: service.to_owned(),
            crashes: 0,
            starts: vec![0; count],
            evacuated: vec![None; count],
            crashing: Vec::new(),
            start: Instant::now(),
            lives: 0,
        };
        for _ in 0..count {
            let model = workers.new_life();
            workers.models.push(model);
        }
        Arc::new(Mutex::new(workers))
    }

    fn new_life(&mut self) -> WorkerModel {
        let id = format!("i-{}", self.lives + 1);
        self.life_under(id)
    }

    /// A worker that starts under an id, which may be one that it had.
    fn life_under(&mut self, id: String) -> WorkerModel {
        self.lives += 1;
        let born = Some(BORN_MS + self.now() / 1000);
        WorkerModel::new(WorkerIncarnation { id, born }, CAPACITY).with_clock(self.now() - 1000)
    }

    /// The time on the workers' clock, in microseconds.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64 + 10_000_000
    }

    /// A worker crashes and comes up in a new life, each second time under the id that it had.
    pub fn crash(&mut self, number: usize) {
        self.advance();
        self.begin_anew(number);
    }

    /// All workers lose power at the same moment, and come up in new lives.
    pub fn crash_all(&mut self) {
        self.advance();
        for number in 0..self.models.len() {
            self.begin_anew(number);
        }
    }

    /// A worker crashes and comes up under the id that it had.
    pub fn restart(&mut self, number: usize) {
        self.advance();
        self.witness.crashed(self.models[number].known_there());
        let id = self.models[number].life.id.clone();
        self.models[number] = self.life_under(id);
    }

    fn begin_anew(&mut self, number: usize) {
        self.witness.crashed(self.models[number].known_there());
        self.models[number] = match self.lives.is_multiple_of(2) {
            true => self.life_under(self.models[number].life.id.clone()),
            false => self.new_life(),
        };
    }

    /// Takes down the workers whose time has come.
    fn crash_due(&mut self, now: u64) {
        let (due, later) = self.crashing.drain(..).partition(|c| c.0 <= now);
        self.crashing = later;
        let due: Vec<(u64, usize, RunName)> = due;
        for (_, number, name) in due {
            let there = self.models[number].running.get(&name.task);
            if there.is_some_and(|r| r.run == name.run) {
                self.crashes += 1;
                self.witness.crashed_by(name.task);
                self.begin_anew(number);
            }
        }
    }

    /// Ends what is over by now.
    pub fn advance(&mut self) -> u64 {
        let now = self.now();
        self.crash_due(now);
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

    /// Carries out a start. The work stands in the job's text, in milliseconds.
    fn start(&mut self, number: usize, call: &StartCall) -> OrderReply {
        let now = self.advance();
        let work_us = call.spec.parse::<u64>().unwrap_or(50) * 1000;
        let (reply, begun) = self.models[number].start(now, call, work_us, false);
        if begun {
            self.note_start(number, call.run.task);
        }
        if begun && &*call.spec == CRASH {
            self.crashing.push((now + CRASH_US, number, call.run));
        }
        reply
    }

    fn note_start(&mut self, number: usize, task: TaskName) {
        let others = (0..self.models.len()).filter(|n| *n != number);
        let runs_at = |n: usize| self.models[n].running.contains_key(&task);
        let elsewhere = others.into_iter().any(runs_at);
        let jobs = &self.witness.jobs;
        let cpu = |t: &TaskName| jobs.get(&t.job).map_or(0, |j| j.cpu);
        let taken = self.models[number].running.keys().map(cpu).sum();
        self.witness.started(task, elsewhere, taken, CAPACITY);
        self.starts[number] += 1;
        let now = self.now();
        let since = self.evacuated[number].map(|at| now.saturating_sub(at));
        if since.is_some_and(|since| since >= IN_FORCE_US) {
            let what = format!("{task} was started at worker {number}, which is evacuated");
            self.witness.break_promise(what);
        }
    }
}

#[derive(Clone)]
struct Desk {
    workers: SharedWorkers,
    number: usize,
}

/// Starts the stand-in of one worker; it beats at `beats`.
pub fn start(
    listen: SocketAddr,
    beats: SocketAddr,
    workers: SharedWorkers,
    number: usize,
) -> StandIn {
    let desk = Desk { workers, number };
    standin::run(listen, move |listener| {
        let beating = desk.clone();
        actix_rt::spawn(heartbeat(beating, beats, listen));
        let server = HttpServer::new(move || {
            App::new()
                .app_data(web::Data::new(desk.clone()))
                .route("/-/run-start", web::post().to(run_start))
                .route("/-/run-stop", web::post().to(run_stop))
                .route("/-/hold", web::post().to(hold))
        });
        Ok(server.workers(1).disable_signals().listen(listener)?.run())
    })
}

/// Says of the worker what it has to say, for as long as the stand-in lives.
async fn heartbeat(desk: Desk, beats: SocketAddr, listen: SocketAddr) {
    let client = awc::Client::default();
    let mut sequence = 0u64;
    loop {
        sequence += 1;
        let (life, document) = {
            let mut workers = desk.workers.lock().unwrap();
            let now = workers.now();
            let service = workers.service.clone();
            let model = &mut workers.models[desk.number];
            model.beats += 1;
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
                "sequence": model.beats,
                "born": model.life.born,
            });
            (model.life.id.clone(), document)
        };
        if sequence.is_multiple_of(STRANGE_EVERY) {
            let (life, body) = strange_beat(&life, &document, sequence / STRANGE_EVERY);
            send_beat(&client, beats, &life, body).await;
        }
        send_beat(&client, beats, &life, document.to_string()).await;
        tokio::time::sleep(BEAT).await;
    }
}

async fn send_beat(client: &awc::Client, beats: SocketAddr, life: &str, body: String) {
    let call = client.put(format!("http://{beats}/-/instances/{life}"));
    let _ = call.timeout(Duration::from_secs(1)).send_body(body).await;
}

/// A heartbeat that is not the worker's: of a life that is over, damaged, or with something missing or unheard of.
fn strange_beat(life: &str, document: &Value, turn: u64) -> (String, String) {
    let mut document = document.clone();
    match turn % 6 {
        0 => return ("i-0".to_owned(), document.to_string()),
        5 => {
            document["born"] = json!(BORN_MS);
            document["sequence"] = json!(1_000_000);
            document["state"] = json!("draining");
        }
        1 => return (life.to_owned(), "{\"service\": \"s".to_owned()),
        2 => document["state"] = json!("resting"),
        3 => document["service"] = json!(7),
        _ => {
            if let Some(fields) = document.as_object_mut() {
                fields.remove("capacity");
            }
        }
    }
    (life.to_owned(), document.to_string())
}

fn life_of(request: &HttpRequest, desk: &Desk) -> String {
    let header = request.headers().get("Stackcourse-Expected-Instance");
    let named = header.and_then(|v| v.to_str().ok()).map(str::to_owned);
    named.unwrap_or_else(|| {
        desk.workers.lock().unwrap().models[desk.number]
            .life
            .id
            .clone()
    })
}

/// Reads the name of a run.
pub fn run_name(body: &Value) -> RunName {
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
            let word = format!("{reason:?}").to_lowercase();
            HttpResponse::Conflict().json(json!({"clockMs": 0, "reason": word}))
        }
        OrderReply::WrongLife => HttpResponse::MisdirectedRequest().finish(),
        OrderReply::NoAnswer | OrderReply::Unreachable => {
            HttpResponse::ServiceUnavailable().finish()
        }
    }
}

async fn run_start(
    request: HttpRequest,
    desk: web::Data<Desk>,
    body: web::Json<Value>,
) -> HttpResponse {
    let call = StartCall {
        incarnation: life_of(&request, &desk),
        run: run_name(&body),
        spec: body["spec"].as_str().unwrap_or_default().into(),
        deadline_ms: body["deadlineMs"].as_u64().unwrap_or(0),
        fence: body["fencingToken"].as_u64().unwrap_or(0),
        checkpoint: String::new(),
    };
    let reply = desk.workers.lock().unwrap().start(desk.number, &call);
    order_response(&reply)
}

async fn run_stop(
    request: HttpRequest,
    desk: web::Data<Desk>,
    body: web::Json<Value>,
) -> HttpResponse {
    let life = life_of(&request, &desk);
    let fence = body["fencingToken"].as_u64().unwrap_or(0);
    let reply = {
        let mut workers = desk.workers.lock().unwrap();
        let now = workers.advance();
        workers.models[desk.number].stop(now, &life, run_name(&body), fence)
    };
    order_response(&reply)
}

async fn hold(request: HttpRequest, desk: web::Data<Desk>, body: web::Json<Value>) -> HttpResponse {
    let call = HoldCall {
        incarnation: life_of(&request, &desk),
        deadline_ms: body["deadlineMs"].as_u64().unwrap_or(0),
        fence: body["fencingToken"].as_u64().unwrap_or(0),
        seen: body["lastSeen"].as_u64().unwrap_or(0),
        wait: Duration::from_millis(body["waitMs"].as_u64().unwrap_or(0)),
    };
    let end = Instant::now() + call.wait;
    loop {
        let (reply, news) = {
            let mut workers = desk.workers.lock().unwrap();
            let now = workers.advance();
            let model = &mut workers.models[desk.number];
            (model.hold(now, &call), model.has_news(call.seen))
        };
        let lists = matches!(reply, HoldReply::Lists { .. });
        if news || !lists || Instant::now() >= end {
            return hold_response(reply);
        }
        tokio::time::sleep(POLL).await;
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
            let how = format!("{:?}", f.end).to_lowercase();
            json!([f.number, task_text(&f.run), f.run.run, how, ""])
        })
        .collect();
    HttpResponse::Ok().json(json!({
        "born": born,
        "clockMs": clock_ms,
        "running": running,
        "finished": finished,
    }))
}
