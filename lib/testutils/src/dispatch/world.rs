//! A world of schedulers, executors and workers on a virtual clock.

mod at_workers;
mod evacuations;
mod links;
mod lives;

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

use crate::dispatch::callers::AGAIN_US;
use crate::dispatch::callers::Callers;
use crate::dispatch::network::Network;
use crate::dispatch::network::Node;
use crate::dispatch::witness::Witness;
use crate::dispatch::worker::WorkerModel;
use crate::dispatch::world::evacuations::Evacuations;

/// What a worker of the world has, in thousandths of a core.
pub const CAPACITY: u32 = 16_000;
/// Time passes for processes in steps of this, in microseconds.
const TICK_US: u64 = 20_000;
/// An order's answer is waited for this long, in microseconds.
const ORDER_US: u64 = 40_000;
/// The answer to a hold is waited for this much longer than the hold may wait, in microseconds.
const HOLD_EXTRA_US: u64 = 20_000;
/// The store tells a scheduler after this long which executors there are, in microseconds.
const ROSTER_US: u64 = 30_000;
/// An executor has read its key in the store this long after its start.
const RECALL_US: u64 = 6_000;
/// The store's watch tells of a change after this long, in microseconds.
const WATCH_US: u64 = 4_000;
/// The store's answers hold values in a form that is longer than they are, in thirds.
const STORE_THIRDS: u64 = 4;
/// Workers beat this often, in microseconds.
const BEAT_US: u64 = 500_000;
/// A run that takes its worker down does so after this long, in microseconds.
const CRASH_US: u64 = 10_000;
/// The worker is back after this long, in microseconds.
const CRASH_AWAY_US: u64 = 3_000_000;
/// A heartbeat may be held up for this long, in microseconds.
const HELD_UP_US: u64 = 4_000_000;
/// Workers' lists are looked at this often while a hold waits, in microseconds.
const POLL_US: u64 = 1_000;

/// Something that is due.
#[derive(Debug)]
enum Due {
    Tick(Node, u64),
    Deliver(LinkId, Node, Box<Body>),
    Closed(LinkId, Node),
    Dial(Node, Node, u64),
    Beat(usize),
    Start(usize, u64, StartCall, Order),
    Stop(usize, u64, String, RunName, u64, Order),
    Hold(usize, u64, HoldCall, u64),
    Started(usize, u64, RunName, OrderReply),
    Stopped(usize, u64, RunName, OrderReply),
    Held(usize, u64, HoldReply),
    Again(JobNumber),
    Return(Node),
    Roster(usize, u64),
    /// An executor reads what an earlier life of it has left in the store.
    Recall(usize, u64),
    /// The store tells a scheduler of a newer catalog.
    Catalog(usize, u64, Catalog),
    /// The time of a scheduler that leaves is up.
    Ended(usize, u64),
    /// The store tells a scheduler of a zone.
    Zone(usize, u64, String, ZoneRecord),
    /// A run takes down a life of a worker, if it is still there.
    Crash(usize, String, RunName),
    /// A worker that has crashed comes back.
    Back(usize),
    /// An executor that leaves is looked at; it is killed once its time is up.
    Departing(usize, u64, u64),
    /// A heartbeat of a life of a worker that is over arrives.
    LateBeat(usize, WorkerHeartbeat),
}

/// How an order goes to a worker.
#[derive(Clone, Copy, Debug)]
struct Order {
    /// Whether it gets no answer, and is carried out late.
    late: bool,
    /// When the life that it was sent to began. One that the worker was started after has gone with that life.
    born: Option<u64>,
}

fn executor_name(number: usize) -> String {
    format!("executor-{number}")
}

struct SchedulerNode {
    scheduler: Scheduler,
    up: bool,
    life: u64,
    skew: u64,
    frozen_until: u64,
    /// When it was last told which executors there are, or will be.
    roster_at: u64,
    /// Since when it has run and the store has served it; none while the store turns it away.
    served_since: Option<u64>,
}

struct ExecutorNode {
    executor: Executor,
    up: bool,
    life: u64,
    skew: u64,
    frozen_until: u64,
}

/// The world.
pub struct World {
    /// The time, in microseconds.
    pub now: u64,
    /// Its luck.
    pub rng: ChaCha8Rng,
    /// What workers and callers saw.
    pub witness: Witness,
    /// The callers.
    pub callers: Callers,
    /// The workers.
    pub workers: Vec<WorkerModel>,
    /// How many lives of workers were taken down by a run.
    pub crashes: u64,
    /// The links.
    pub network: Network,
    /// The share of orders to workers that get no answer and are carried out late.
    pub late: f64,
    /// The share of answers of workers that are lost.
    pub lost: f64,
    /// How many times as long a task takes outside of the rack that it wants.
    pub remote: f64,
    /// Inputs given to the state machines.
    pub steps: u64,
    /// What callers were told, and when.
    pub answers: Vec<(u64, JobNumber, JobOutcome)>,
    /// The figures that decide.
    pub policy: Policy,
    /// The share of schedulers that the store does not tell which executors there are in their first seconds.
    pub unserved: f64,
    /// Whether log lines and what happens at the workers are printed.
    pub trace: bool,
    /// Whether a worker that has crashed comes up under the id that it had.
    reborn: bool,
    /// How many availability zones the processes are spread over, in turn.
    zones: usize,
    schedulers: Vec<SchedulerNode>,
    executors: Vec<ExecutorNode>,
    /// What executors have written to the store of their workers.
    kept: Vec<Option<WorkerHeartbeat>>,
    /// Which zones are evacuated by the store, and since when.
    evacuations: Evacuations,
    due: BTreeMap<(u64, u64), Due>,
    sequence: u64,
    lives: u64,
}

impl World {
    /// A world in which everything has just come up.
    pub fn new(seed: u64, schedulers: usize, executors: usize) -> World {
        let catalog = Callers::default().catalog;
        World::with_policy(seed, schedulers, executors, catalog, Policy::default())
    }

    /// The same, with a catalog and a policy.
    pub fn with_policy(
        seed: u64,
        schedulers: usize,
        executors: usize,
        catalog: Catalog,
        policy: Policy,
    ) -> World {
        World::with_zones(seed, (schedulers, executors, 1), catalog, policy)
    }

    /// The same, with numbers of schedulers, of executors, and of availability zones.
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
            witness: Witness::default(),
            callers: Callers::with_catalog(catalog),
            workers: Vec::new(),
            crashes: 0,
            network: Network::default(),
            late: 0.0,
            lost: 0.0,
            unserved: 0.0,
            remote: 1.0,
            steps: 0,
            answers: Vec::new(),
            trace: false,
            reborn: false,
            schedulers: Vec::new(),
            executors: Vec::new(),
            kept: vec![None; executors],
            evacuations: Evacuations::default(),
            due: BTreeMap::new(),
            sequence: 0,
            lives: 0,
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
            world.begin(node);
        }
        for number in 0..executors {
            world.at(1000, Due::Beat(number));
        }
        world
    }

    /// From now on a worker that has crashed comes up under the id that it had, and counts anew.
    pub fn keep_worker_ids(&mut self) {
        self.reborn = true;
        for number in 0..self.workers.len() {
            self.workers[number] = self.new_worker(number);
        }
    }

    fn nodes(&self) -> Vec<Node> {
        let schedulers = (0..self.schedulers.len()).map(Node::Scheduler);
        let executors = (0..self.executors.len()).map(Node::Executor);
        schedulers.chain(executors).collect()
    }

    fn at(&mut self, wait: u64, due: Due) {
        self.sequence += 1;
        self.due.insert((self.now + wait, self.sequence), due);
    }

    fn life(&self, node: Node) -> u64 {
        match node {
            Node::Scheduler(n) => self.schedulers[n].life,
            Node::Executor(n) => self.executors[n].life,
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

    /// Lets time pass.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span.as_micros() as u64;
        while self.witness.violation.is_none() {
            let Some(entry) = self.due.first_entry() else {
                break;
            };
            let (at, _) = *entry.key();
            if at > end {
                break;
            }
            let due = entry.remove();
            self.advance_workers(at);
            self.now = self.now.max(at);
            self.step(due);
        }
        self.now = self.now.max(end);
    }

    fn step(&mut self, due: Due) {
        let node = match &due {
            Due::Tick(node, _) | Due::Deliver(_, node, _) | Due::Closed(_, node) => Some(*node),
            Due::Started(n, ..) | Due::Stopped(n, ..) | Due::Held(n, ..) => {
                Some(Node::Executor(*n))
            }
            _ => None,
        };
        if let Some(node) = node {
            let until = self.frozen_until(node);
            if until > self.now {
                let wait = until - self.now;
                return self.at(wait, due);
            }
        }
        self.steps += 1;
        match due {
            Due::Tick(node, life) => self.tick(node, life),
            Due::Deliver(link, node, body) => self.deliver(link, node, *body),
            Due::Closed(link, node) => self.closed(link, node),
            Due::Dial(from, to, life) => self.dial(from, to, life),
            Due::Beat(number) => self.heartbeat(number),
            Due::Start(n, life, call, order) => self.start(n, life, &call, order),
            Due::Stop(n, life, worker, run, fence, order) => {
                self.stop(n, life, &worker, run, fence, order);
            }
            Due::Hold(n, life, call, until) => self.hold(n, life, call, until),
            Due::Started(n, life, run, reply) => {
                self.with_executor(n, life, |e, now| e.handle_start_reply(now, run, reply));
            }
            Due::Stopped(n, life, run, reply) => {
                self.with_executor(n, life, |e, now| e.handle_stop_reply(now, run, reply));
            }
            Due::Held(n, life, reply) => {
                self.with_executor(n, life, |e, now| e.handle_hold_reply(now, reply))
            }
            Due::Again(number) => self.hand_in_again(number),
            Due::Return(node) => self.come_back(node),
            Due::Roster(n, life) => self.tell_roster(n, life),
            Due::Recall(n, life) => self.restore_worker(n, life),
            Due::Catalog(n, life, catalog) => self.tell_catalog(n, life, catalog),
            Due::Ended(n, life) => self.end_leaving(n, life),
            Due::Zone(n, life, zone, word) => self.tell_zone(n, life, &zone, word),
            Due::Crash(n, life, run) => self.crash_under(n, &life, run),
            Due::Back(n) => self.worker_back(n),
            Due::Departing(n, life, until) => self.watch_departing(n, life, until),
            Due::LateBeat(n, heartbeat) => self.late_beat(n, heartbeat),
        }
    }

    fn tick(&mut self, node: Node, life: u64) {
        if self.life(node) != life || !self.is_up(node) {
            return;
        }
        match node {
            Node::Scheduler(n) => {
                self.with_scheduler(n, |s, now| s.tick(now));
                self.read_wanted_roster(n, life);
            }
            Node::Executor(n) => self.with_executor(n, life, |e, now| e.tick(now)),
        }
        self.at(TICK_US, Due::Tick(node, life));
    }

    /// Gives a scheduler something to do.
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
                    self.hold_to_evacuations(n, link, &body);
                    self.send(Node::Scheduler(n), link, *body);
                }
                scheduler::Action::Close(link) => self.close(Node::Scheduler(n), link),
                scheduler::Action::Answer(caller, outcome) => self.answer(caller, outcome),
                scheduler::Action::Log(event) => self.print(Node::Scheduler(n), &event.to_string()),
                scheduler::Action::Dial(_) => {}
            }
        }
    }

    fn with_executor(&mut self, n: usize, life: u64, work: impl FnOnce(&mut Executor, Mono)) {
        let node = &mut self.executors[n];
        if !node.up || node.life != life {
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
                        let what = format!("{:?} in a zone known to be evacuated", call.run);
                        self.witness.break_promise(what);
                    }
                    let (wait, order) = self.order_delay(n);
                    if order.late {
                        let unanswered = Due::Started(n, life, call.run, OrderReply::NoAnswer);
                        self.at(ORDER_US, unanswered);
                    }
                    self.at(wait, Due::Start(n, life, call, order));
                }
                executor::Action::Stop(worker, run, fence) => {
                    let (wait, order) = self.order_delay(n);
                    if order.late {
                        let unanswered = Due::Stopped(n, life, run, OrderReply::NoAnswer);
                        self.at(ORDER_US, unanswered);
                    }
                    self.at(wait, Due::Stop(n, life, worker, run, fence, order));
                }
                executor::Action::Hold(call) => {
                    let wait = call.wait.as_micros() as u64;
                    if self.rng.random_bool(self.late) {
                        let unanswered = Due::Held(n, life, HoldReply::NoAnswer);
                        self.at(wait + HOLD_EXTRA_US, unanswered);
                    } else {
                        let until = self.now + wait;
                        self.at(200, Due::Hold(n, life, call, until));
                    }
                }
                executor::Action::Log(event) => self.print(Node::Executor(n), &event.to_string()),
                executor::Action::SaveHeartbeat(heartbeat) => self.kept[n] = heartbeat,
                executor::Action::Dial(_) => {}
            }
        }
    }

    /// Prints a line if the world is traced.
    pub fn print(&self, node: Node, text: &str) {
        if self.trace {
            println!("{:>12} {node:?} {text}", self.now);
        }
    }

    /// Hands a job in at a scheduler.
    pub fn hand_in(&mut self, number: JobNumber, scheduler: usize) {
        let caller = self.callers.caller_for(number);
        let Some(job) = self.callers.jobs.get_mut(&number) else {
            return;
        };
        job.tries += 1;
        let request = job.request.clone();
        if let Some(seen) = self.witness.jobs.get_mut(&number) {
            seen.handed_in += 1;
        }
        self.at(AGAIN_US, Due::Again(number));
        let node = &self.schedulers[scheduler];
        if node.up && node.frozen_until <= self.now {
            self.with_scheduler(scheduler, |s, now| s.submit(now, caller, request));
        }
    }

    fn hand_in_again(&mut self, number: JobNumber) {
        let open = self.callers.jobs.get(&number);
        if !open.is_some_and(|j| !j.settled && j.tries < 3) {
            return;
        }
        let scheduler = self.rng.random_range(0..self.schedulers.len());
        self.hand_in(number, scheduler);
    }

    fn answer(&mut self, caller: CallerId, outcome: JobOutcome) {
        let Some(number) = self.callers.waiting.remove(&caller) else {
            return;
        };
        self.witness.answered(number, outcome);
        self.answers.push((self.now, number, outcome));
        if outcome != JobOutcome::Unknown
            && let Some(job) = self.callers.jobs.get_mut(&number)
        {
            job.settled = true;
        }
    }

    /// Kills a process; `silent` says that nobody hears of it. It comes back after `away`.
    pub fn kill(&mut self, node: Node, silent: bool, away: u64) {
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
        self.at(away, Due::Return(node));
    }

    fn come_back(&mut self, node: Node) {
        for link in self.network.links_of(node) {
            self.close(node, link);
        }
        // Whoever still holds an end of an old link hears that nobody is there.
        let old: Vec<(LinkId, Node)> = self
            .network
            .wires
            .iter()
            .filter(|(_, w)| w.from == node || w.to == node)
            .map(|(link, w)| (*link, w.other(node).0))
            .collect();
        for (link, other) in old {
            self.at(500, Due::Closed(link, other));
        }
        match node {
            Node::Scheduler(n) => self.schedulers[n] = self.new_scheduler(n),
            Node::Executor(n) => self.executors[n] = self.new_executor(n),
        }
        self.begin(node);
    }

    /// Freezes a process.
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

    /// Suspends a process with its machine. `counted` says whether its clock goes on meanwhile.
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

    /// Runs that the executors, in their present lives, have stopped for more urgent tasks.
    pub fn preempted(&self) -> u64 {
        let counts = self.executors.iter().map(|n| n.executor.counts());
        counts.map(|c| c.preempted).sum()
    }

    /// How many schedulers and executors there are.
    pub fn size(&self) -> (usize, usize) {
        (self.schedulers.len(), self.executors.len())
    }

    /// The version of the catalog that a scheduler has in force; 0 if it is down.
    pub fn version_at(&self, scheduler: usize) -> u64 {
        let node = &self.schedulers[scheduler];
        if node.up { node.scheduler.version() } else { 0 }
    }

    /// How many links to executors a scheduler has.
    pub fn executors_linked(&self, scheduler: usize) -> usize {
        self.schedulers[scheduler].scheduler.gauges()[2]
    }

    /// Whether a process is up.
    pub fn is_node_up(&self, node: Node) -> bool {
        self.is_up(node)
    }
}
