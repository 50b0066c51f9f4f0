//! A simulated dispatch plane on a virtual clock.
//!
//! Runs the state machines of schedulers and executors as shipped, with models of the network, the workers,
//! the store and the callers around them. [`World::run`] handles the scheduled events in the order of their
//! times and stops at the first violation of an invariant.

mod actions;
mod evacuations;
mod faults;
mod isolation;
mod links;
mod processes;
mod requests;
mod workers;

use std::collections::BTreeMap;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use stackcourse_lib::dispatch::catalog::Catalog;
use stackcourse_lib::dispatch::executor;
use stackcourse_lib::dispatch::executor::Executor;
use stackcourse_lib::dispatch::executor::ExecutorSetup;
use stackcourse_lib::dispatch::executor::HoldCall;
use stackcourse_lib::dispatch::executor::HoldReply;
use stackcourse_lib::dispatch::executor::OrderReply;
use stackcourse_lib::dispatch::executor::RunName;
use stackcourse_lib::dispatch::executor::StartCall;
use stackcourse_lib::dispatch::executor::WorkerHeartbeat;
use stackcourse_lib::dispatch::model::JobNumber;
use stackcourse_lib::dispatch::model::JobOutcome;
use stackcourse_lib::dispatch::policy::Policy;
use stackcourse_lib::dispatch::scheduler;
use stackcourse_lib::dispatch::scheduler::CallerId;
use stackcourse_lib::dispatch::scheduler::Scheduler;
use stackcourse_lib::dispatch::scheduler::SchedulerSetup;
use stackcourse_lib::dispatch::zones::ZoneRecord;
use stackcourse_lib::prelude::Duration;
use stackcourse_lib::prelude::LinkId;
use stackcourse_lib::prelude::Mono;
use stackcourse_lib::protos::dispatch::frame::Body;

use crate::dispatch::callers::Callers;
use crate::dispatch::callers::RESUBMIT_US;
use crate::dispatch::network::Network;
use crate::dispatch::network::Node;
use crate::dispatch::witness::InvariantChecker;
use crate::dispatch::worker::WorkerModel;
use crate::dispatch::world::evacuations::Evacuations;
pub use crate::dispatch::world::faults::Planned;
use crate::dispatch::world::requests::Request;

/// The default CPU capacity of a worker, in thousandths of a core.
pub const CAPACITY: u32 = 16_000;
/// The interval between the ticks of a process, in microseconds.
const TICK_US: u64 = 20_000;
/// The time until an order without an answer is reported as such, in microseconds.
const ORDER_TIMEOUT_US: u64 = 40_000;
/// The time that a hold may take beyond its own wait until it counts as unanswered, in microseconds.
const HOLD_GRACE_US: u64 = 20_000;
/// The time until a scheduler receives the roster of executors from the store, in microseconds.
const ROSTER_DELAY_US: u64 = 30_000;
/// The time until a new executor has read its key in the store, in microseconds.
const RESTORE_DELAY_US: u64 = 6_000;
/// The delay of the store's watch, in microseconds.
const WATCH_DELAY_US: u64 = 4_000;
/// The size of a value in the store's answers, in thirds of its plain size.
const STORE_SIZE_THIRDS: u64 = 4;
/// The interval between the heartbeats of a worker, in microseconds.
const HEARTBEAT_US: u64 = 500_000;
/// The time until a run that crashes its worker does so, in microseconds.
const CRASH_DELAY_US: u64 = 10_000;
/// The time until a worker that crashed or lost power restarts, in microseconds.
const CRASH_RESTART_US: u64 = 3_000_000;
/// The longest delay of a late heartbeat, in microseconds.
const MAX_HEARTBEAT_DELAY_US: u64 = 4_000_000;
/// The interval at which a waiting hold checks the worker's lists, in microseconds.
const POLL_INTERVAL_US: u64 = 1_000;

/// A scheduled event. The number after a process is its incarnation: events for an earlier incarnation are
/// ignored. Orders of an earlier incarnation of an executor still reach the worker, but their replies are
/// ignored.
#[derive(Debug)]
enum Event {
    Tick(Node, u64),
    Deliver(LinkId, Node, Box<Body>),
    /// A process learns that a link is closed.
    LinkClosed(LinkId, Node),
    Dial(Node, Node, u64),
    Heartbeat(usize),
    Start(usize, u64, StartCall, OrderDelivery),
    Stop(usize, u64, String, RunName, u64, OrderDelivery),
    Hold(usize, u64, HoldCall, u64),
    StartReply(usize, u64, RunName, OrderReply),
    StopReply(usize, u64, RunName, OrderReply),
    HoldReply(usize, u64, u64, HoldReply),
    Resubmit(JobNumber),
    /// A scheduler that was frozen reads a request.
    Request(usize, u64, Request),
    Planned(Planned),
    Restart(Node),
    Roster(usize, u64),
    /// An executor reads the heartbeat that an earlier incarnation saved in the store.
    RestoreWorker(usize, u64),
    /// A scheduler receives a newer catalog from the store.
    Catalog(usize, u64, Catalog),
    /// The deadline of a leaving scheduler has passed.
    LeaveDeadline(usize, u64),
    /// A scheduler receives the record of a zone from the store.
    Zone(usize, u64, String, ZoneRecord),
    /// A run crashes its worker, if both are still there. Has the id of the worker's incarnation.
    CrashWorker(usize, String, RunName),
    /// A worker that crashed restarts.
    RestartWorker(usize),
    /// A leaving executor is checked. It is killed once it is drained or its time is up.
    CheckLeaving(usize, u64, u64),
    /// An executor is no longer cut off.
    Reconnect(usize),
    /// A delayed heartbeat arrives, from an incarnation of the worker that has ended.
    LateHeartbeat(usize, WorkerHeartbeat),
}

/// How an order reaches a worker.
#[derive(Clone, Copy, Debug)]
struct OrderDelivery {
    /// Whether it is delivered late and its sender receives no answer.
    late: bool,
    /// The start time of the incarnation that it was sent to. It does not reach an incarnation with another
    /// one.
    born: Option<u64>,
}

fn executor_name(number: usize) -> String {
    format!("executor-{number}")
}

struct SchedulerNode {
    scheduler: Scheduler,
    up: bool,
    incarnation: u64,
    skew: u64,
    frozen_until: u64,
    /// When it receives, or last received, the roster.
    roster_at: u64,
    /// Since when it has run and been served by the store; `None` while the store does not serve it.
    served_since: Option<u64>,
}

struct ExecutorNode {
    executor: Executor,
    up: bool,
    started_at: u64,
    incarnation: u64,
    skew: u64,
    frozen_until: u64,
}

/// A simulated dispatch plane with its workers, callers and network.
pub struct World {
    /// The current time, in microseconds.
    pub now: u64,
    /// The random number generator of the run.
    pub rng: ChaCha8Rng,
    /// Checks the invariants.
    pub witness: InvariantChecker,
    /// The callers.
    pub callers: Callers,
    /// The workers.
    pub workers: Vec<WorkerModel>,
    /// The number of worker crashes that were caused by a run.
    pub crashes: u64,
    /// The network.
    pub network: Network,
    /// The share of orders to workers that are delivered late and get no answer. The same share of holds is
    /// lost.
    pub late_share: f64,
    /// The share of workers' replies that are lost.
    pub lost_share: f64,
    /// The share of workers' replies in place of which the connection ends in order.
    pub ended_share: f64,
    /// The factor by which a task runs longer outside its preferred rack.
    pub remote_factor: f64,
    /// The number of events that were handled.
    pub steps: u64,
    /// The answers to callers: when, to which job, and what.
    pub answers: Vec<(u64, JobNumber, JobOutcome)>,
    /// The policy of all processes.
    pub policy: Policy,
    /// The share of starting schedulers that receive the roster late.
    pub unserved_share: f64,
    /// Whether requests to a frozen scheduler wait in the connection until it runs again.
    pub keeps_requests: bool,
    /// Whether to print log lines and what happens at the workers.
    pub trace: bool,
    /// Whether a crashed worker restarts under its old id.
    reuses_ids: bool,
    /// The number of availability zones that the processes are spread over in turn.
    zones: usize,
    schedulers: Vec<SchedulerNode>,
    executors: Vec<ExecutorNode>,
    /// The heartbeats that executors saved in the store, by executor.
    saved_heartbeats: Vec<Option<WorkerHeartbeat>>,
    /// The evacuated zones according to the store.
    evacuations: Evacuations,
    /// The executors that are cut off from all schedulers, with the share of orders to their workers that are late
    /// meanwhile.
    isolated: BTreeMap<usize, f64>,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    incarnations: u64,
}

impl World {
    /// Creates a world in which every process has just started.
    pub fn new(seed: u64, schedulers: usize, executors: usize) -> World {
        let catalog = Callers::default().catalog;
        World::with_policy(seed, schedulers, executors, catalog, Policy::default())
    }

    /// Creates a world with a catalog and a policy.
    pub fn with_policy(
        seed: u64,
        schedulers: usize,
        executors: usize,
        catalog: Catalog,
        policy: Policy,
    ) -> World {
        World::with_zones(seed, (schedulers, executors, 1), catalog, policy)
    }

    /// Creates a world with the given numbers of schedulers, executors and availability zones.
    pub fn with_zones(
        seed: u64,
        (schedulers, executors, zones): (usize, usize, usize),
        catalog: Catalog,
        policy: Policy,
    ) -> World {
        let mut world = World {
            zones,
            policy,
            now: 10_000_000,
            rng: ChaCha8Rng::seed_from_u64(seed),
            witness: InvariantChecker::default(),
            callers: Callers::with_catalog(catalog),
            workers: Vec::new(),
            crashes: 0,
            network: Network::default(),
            late_share: 0.0,
            lost_share: 0.0,
            ended_share: 0.0,
            unserved_share: 0.0,
            remote_factor: 1.0,
            steps: 0,
            answers: Vec::new(),
            keeps_requests: false,
            trace: false,
            reuses_ids: false,
            schedulers: Vec::new(),
            executors: Vec::new(),
            saved_heartbeats: vec![None; executors],
            evacuations: Evacuations::default(),
            isolated: BTreeMap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            incarnations: 0,
        };
        for number in 0..executors {
            let worker = world.new_worker(number);
            world.workers.push(worker);
            let node = world.new_executor(number);
            world.executors.push(node);
        }
        for number in 0..schedulers {
            let node = world.new_scheduler(number);
            world.schedulers.push(node);
        }
        for node in world.nodes() {
            world.start_process(node);
        }
        for number in 0..executors {
            world.schedule(1000, Event::Heartbeat(number));
        }
        world
    }

    /// Lets crashed workers restart under their old ids, with all counts reset. Replaces all workers.
    pub fn keep_worker_ids(&mut self) {
        self.reuses_ids = true;
        for number in 0..self.workers.len() {
            self.workers[number] = self.new_worker(number);
        }
    }

    fn nodes(&self) -> Vec<Node> {
        let schedulers = (0..self.schedulers.len()).map(Node::Scheduler);
        let executors = (0..self.executors.len()).map(Node::Executor);
        schedulers.chain(executors).collect()
    }

    fn schedule(&mut self, wait: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + wait, self.sequence), event);
    }

    fn incarnation(&self, node: Node) -> u64 {
        match node {
            Node::Scheduler(n) => self.schedulers[n].incarnation,
            Node::Executor(n) => self.executors[n].incarnation,
        }
    }

    fn is_up(&self, node: Node) -> bool {
        match node {
            Node::Scheduler(n) => self.schedulers[n].up,
            Node::Executor(n) => self.executors[n].up,
        }
    }

    fn frozen_until(&self, node: Node) -> u64 {
        match node {
            Node::Scheduler(n) => self.schedulers[n].frozen_until,
            Node::Executor(n) => self.executors[n].frozen_until,
        }
    }

    /// Advances the time by `span` and handles the events due by then, or stops at the first violation.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span.as_micros() as u64;
        while self.witness.violation.is_none() {
            let Some(entry) = self.events.first_entry() else {
                break;
            };
            let (at, _) = *entry.key();
            if at > end {
                break;
            }
            let event = entry.remove();
            self.advance_workers(at);
            self.now = self.now.max(at);
            self.step(event);
        }
        self.now = self.now.max(end);
    }

    fn step(&mut self, event: Event) {
        let node = match &event {
            Event::Tick(node, _) | Event::Deliver(_, node, _) | Event::LinkClosed(_, node) => {
                Some(*node)
            }
            Event::StartReply(n, ..) | Event::StopReply(n, ..) | Event::HoldReply(n, ..) => {
                Some(Node::Executor(*n))
            }
            _ => None,
        };
        if let Some(node) = node {
            let until = self.frozen_until(node);
            if until > self.now {
                let wait = until - self.now;
                return self.schedule(wait, event);
            }
        }
        self.steps += 1;
        match event {
            Event::Tick(node, incarnation) => self.tick(node, incarnation),
            Event::Deliver(link, node, body) => self.deliver(link, node, *body),
            Event::LinkClosed(link, node) => self.handle_closed(link, node),
            Event::Dial(from, to, incarnation) => self.dial(from, to, incarnation),
            Event::Heartbeat(number) => self.send_heartbeat(number),
            Event::Start(n, incarnation, call, order) => self.start(n, incarnation, &call, order),
            Event::Stop(n, incarnation, worker, run, fence, order) => {
                self.stop(n, incarnation, &worker, run, fence, order);
            }
            Event::Hold(n, incarnation, call, until) => self.hold(n, incarnation, call, until),
            Event::StartReply(n, incarnation, run, reply) => {
                self.with_executor(n, incarnation, |e, now| {
                    e.handle_start_reply(now, run, reply)
                });
            }
            Event::StopReply(n, incarnation, run, reply) => {
                self.with_executor(n, incarnation, |e, now| {
                    e.handle_stop_reply(now, run, reply)
                });
            }
            Event::HoldReply(n, incarnation, number, reply) => {
                self.with_executor(n, incarnation, |e, now| {
                    e.handle_hold_reply(now, number, reply)
                });
            }
            Event::Resubmit(number) => self.resubmit(number),
            Event::Request(n, incarnation, request) => {
                self.deliver_request(n, incarnation, request);
            }
            Event::Planned(planned) => self.carry_out(planned),
            Event::Restart(node) => self.restart(node),
            Event::Roster(n, incarnation) => self.deliver_roster(n, incarnation),
            Event::RestoreWorker(n, incarnation) => self.restore_worker(n, incarnation),
            Event::Catalog(n, incarnation, catalog) => {
                self.deliver_catalog(n, incarnation, catalog)
            }
            Event::LeaveDeadline(n, incarnation) => self.finish_leaving(n, incarnation),
            Event::Zone(n, incarnation, zone, record) => {
                self.deliver_zone(n, incarnation, &zone, record)
            }
            Event::CrashWorker(n, incarnation, run) => self.crash_from_run(n, &incarnation, run),
            Event::RestartWorker(n) => self.restart_worker(n),
            Event::CheckLeaving(n, incarnation, until) => self.check_leaving(n, incarnation, until),
            Event::Reconnect(n) => self.reconnect(n),
            Event::LateHeartbeat(n, heartbeat) => self.deliver_late_heartbeat(n, heartbeat),
        }
    }

    fn tick(&mut self, node: Node, incarnation: u64) {
        if self.incarnation(node) != incarnation || !self.is_up(node) {
            return;
        }
        match node {
            Node::Scheduler(n) => {
                self.with_scheduler(n, |s, now| s.tick(now));
                self.read_wanted_roster(n, incarnation);
            }
            Node::Executor(n) => self.with_executor(n, incarnation, |e, now| e.tick(now)),
        }
        self.schedule(TICK_US, Event::Tick(node, incarnation));
    }

    /// Prints a line if tracing is on.
    pub fn print(&self, node: Node, text: &str) {
        if self.trace {
            println!("{:>12} {node:?} {text}", self.now);
        }
    }

    /// Returns the number of runs that the current incarnations of the executors preempted.
    pub fn preempted(&self) -> u64 {
        let counts = self.executors.iter().map(|n| n.executor.counts());
        counts.map(|c| c.preempted).sum()
    }

    /// Returns the numbers of schedulers and executors.
    pub fn size(&self) -> (usize, usize) {
        (self.schedulers.len(), self.executors.len())
    }

    /// Returns the version of the catalog that a scheduler uses; 0 if it is down.
    pub fn catalog_version(&self, scheduler: usize) -> u64 {
        let node = &self.schedulers[scheduler];
        if node.up { node.scheduler.version() } else { 0 }
    }

    /// Returns the number of links from a scheduler to executors.
    pub fn linked_executors(&self, scheduler: usize) -> usize {
        self.schedulers[scheduler].scheduler.gauges()[2]
    }

    /// Returns whether a process is up.
    pub fn is_node_up(&self, node: Node) -> bool {
        self.is_up(node)
    }
}
