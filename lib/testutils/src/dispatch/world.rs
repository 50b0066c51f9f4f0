//! A simulated dispatch plane on a virtual clock.
//!
//! Runs the state machines of schedulers and executors as shipped, with models of the network, the workers,
//! the store and the callers around them. [`World::run`] handles the scheduled events in the order of their
//! times and stops at the first violation of an invariant.

mod evacuations;
mod isolation;
mod links;
mod processes;
mod workers;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

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
    HoldReply(usize, u64, HoldReply),
    Resubmit(JobNumber),
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
    /// The executors that are cut off from all schedulers while orders to their workers are late.
    isolated: BTreeSet<usize>,
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
            trace: false,
            reuses_ids: false,
            schedulers: Vec::new(),
            executors: Vec::new(),
            saved_heartbeats: vec![None; executors],
            evacuations: Evacuations::default(),
            isolated: BTreeSet::new(),
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
            Event::HoldReply(n, incarnation, reply) => {
                self.with_executor(n, incarnation, |e, now| e.handle_hold_reply(now, reply))
            }
            Event::Resubmit(number) => self.resubmit(number),
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

    /// Calls a scheduler, if it is up, and carries out its actions.
    pub fn with_scheduler(&mut self, n: usize, work: impl FnOnce(&mut Scheduler, Mono)) {
        let node = &mut self.schedulers[n];
        if !node.up {
            return;
        }
        work(&mut node.scheduler, Mono(self.now + node.skew));
        let actions = node.scheduler.take_actions();
        for action in actions {
            match action {
                scheduler::Action::Send(link, body) => {
                    self.check_evacuations(n, link, &body);
                    self.send(Node::Scheduler(n), link, *body);
                }
                scheduler::Action::Close(link) => self.close(Node::Scheduler(n), link),
                scheduler::Action::Answer(caller, outcome) => self.answer(caller, outcome),
                scheduler::Action::Log(event) => self.print(Node::Scheduler(n), &event.to_string()),
                scheduler::Action::Dial(_) => {}
            }
        }
    }

    /// Calls an executor, if it is up in the given incarnation, and carries out its actions.
    fn with_executor(
        &mut self,
        n: usize,
        incarnation: u64,
        work: impl FnOnce(&mut Executor, Mono),
    ) {
        let node = &mut self.executors[n];
        if !node.up || node.incarnation != incarnation {
            return;
        }
        work(&mut node.executor, Mono(self.now + node.skew));
        let actions = node.executor.take_actions();
        for action in actions {
            match action {
                executor::Action::Send(link, body) => self.send(Node::Executor(n), link, *body),
                executor::Action::Close(link) => self.close(Node::Executor(n), link),
                executor::Action::Start(call) => {
                    if self.executors[n].executor.is_evacuated() {
                        let what = format!(
                            "{:?} is started in a zone that its executor knows to be evacuated",
                            call.run
                        );
                        self.witness.report_violation(what);
                    }
                    let (wait, order) = self.order_delay(n);
                    if order.late {
                        let unanswered =
                            Event::StartReply(n, incarnation, call.run, OrderReply::NoAnswer);
                        self.schedule(ORDER_TIMEOUT_US, unanswered);
                    }
                    self.schedule(wait, Event::Start(n, incarnation, call, order));
                }
                executor::Action::Stop(worker, run, fence) => {
                    let (wait, order) = self.order_delay(n);
                    if order.late {
                        let unanswered =
                            Event::StopReply(n, incarnation, run, OrderReply::NoAnswer);
                        self.schedule(ORDER_TIMEOUT_US, unanswered);
                    }
                    self.schedule(wait, Event::Stop(n, incarnation, worker, run, fence, order));
                }
                executor::Action::Hold(call) => {
                    let wait = call.wait.as_micros() as u64;
                    if self.rng.random_bool(self.late_share_of(n)) {
                        let unanswered = Event::HoldReply(n, incarnation, HoldReply::NoAnswer);
                        self.schedule(wait + HOLD_GRACE_US, unanswered);
                    } else {
                        let until = self.now + wait;
                        self.schedule(200, Event::Hold(n, incarnation, call, until));
                    }
                }
                executor::Action::Log(event) => self.print(Node::Executor(n), &event.to_string()),
                executor::Action::SaveHeartbeat(heartbeat) => self.saved_heartbeats[n] = heartbeat,
                executor::Action::Dial(_) => {}
            }
        }
    }

    /// Prints a line if tracing is on.
    pub fn print(&self, node: Node, text: &str) {
        if self.trace {
            println!("{:>12} {node:?} {text}", self.now);
        }
    }

    /// Submits a job at a scheduler.
    pub fn submit(&mut self, number: JobNumber, scheduler: usize) {
        let caller = self.callers.caller_for(number);
        let Some(job) = self.callers.jobs.get_mut(&number) else {
            return;
        };
        job.submissions += 1;
        let request = job.request.clone();
        if let Some(seen) = self.witness.jobs.get_mut(&number) {
            seen.submissions += 1;
        }
        self.schedule(RESUBMIT_US, Event::Resubmit(number));
        let node = &self.schedulers[scheduler];
        if node.up && node.frozen_until <= self.now {
            self.with_scheduler(scheduler, |s, now| s.submit(now, caller, request));
        }
    }

    /// Cancels a job at a scheduler, if it is up and runs.
    pub fn cancel(&mut self, number: JobNumber, scheduler: usize) {
        let node = &self.schedulers[scheduler];
        if !node.up || node.frozen_until > self.now {
            return;
        }
        let mut known = false;
        self.with_scheduler(scheduler, |s, now| known = s.cancel(now, number));
        if known {
            let text = format!("cancel of {number} acknowledged");
            self.print(Node::Scheduler(scheduler), &text);
            self.witness.record_cancel(number, self.now);
        }
    }

    fn resubmit(&mut self, number: JobNumber) {
        let open = self.callers.jobs.get(&number);
        if !open.is_some_and(|j| !j.settled && j.submissions < 3) {
            return;
        }
        let scheduler = self.rng.random_range(0..self.schedulers.len());
        self.submit(number, scheduler);
    }

    fn answer(&mut self, caller: CallerId, outcome: JobOutcome) {
        let Some(number) = self.callers.waiting.remove(&caller) else {
            return;
        };
        self.witness.check_answer(number, outcome);
        self.answers.push((self.now, number, outcome));
        if outcome != JobOutcome::Unknown
            && let Some(job) = self.callers.jobs.get_mut(&number)
        {
            job.settled = true;
        }
    }

    /// Kills a process and restarts it after `downtime` microseconds. With `silent` its peers do not learn
    /// before that the links are closed.
    pub fn kill(&mut self, node: Node, silent: bool, downtime: u64) {
        match node {
            Node::Scheduler(n) => self.schedulers[n].up = false,
            Node::Executor(n) => self.executors[n].up = false,
        }
        for link in self.network.links_of(node) {
            if silent {
                let wire = self.network.wires.get_mut(&link).expect("it was listed");
                let end = wire.end(node);
                wire.closed[end] = true;
            } else {
                self.close(node, link);
            }
        }
        self.schedule(downtime, Event::Restart(node));
    }

    fn restart(&mut self, node: Node) {
        for link in self.network.links_of(node) {
            self.close(node, link);
        }
        // The other ends of old links learn that the process has gone.
        let old: Vec<(LinkId, Node)> = self
            .network
            .wires
            .iter()
            .filter(|(_, w)| w.from == node || w.to == node)
            .map(|(link, w)| (*link, w.other(node).0))
            .collect();
        for (link, other) in old {
            self.schedule(500, Event::LinkClosed(link, other));
        }
        match node {
            Node::Scheduler(n) => self.schedulers[n] = self.new_scheduler(n),
            Node::Executor(n) => self.executors[n] = self.new_executor(n),
        }
        self.start_process(node);
    }

    /// Freezes a process for `span` microseconds.
    pub fn freeze(&mut self, node: Node, span: u64) {
        let until = self.now + span;
        match node {
            Node::Scheduler(n) => {
                let node = &mut self.schedulers[n];
                node.frozen_until = until;
                node.served_since = node.served_since.map(|at| at.max(until));
            }
            Node::Executor(n) => self.executors[n].frozen_until = until,
        }
    }

    /// Suspends a process with its machine for `span` microseconds. `counted` says whether its clock goes on
    /// meanwhile.
    pub fn suspend(&mut self, node: Node, span: u64, counted: bool) {
        self.freeze(node, span);
        if counted {
            return;
        }
        let skew = match node {
            Node::Scheduler(n) => &mut self.schedulers[n].skew,
            Node::Executor(n) => &mut self.executors[n].skew,
        };
        *skew = skew.saturating_sub(span);
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
