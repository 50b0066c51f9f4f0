//! A simulation of entries and agents in virtual time, driven by a seeded random number generator. Runs the
//! production state machines and simulates only what surrounds them: clocks that drift and are set, links
//! that delay, duplicate and break, and a store whose replies may be lost. Reports every submission, start
//! and answer to an [`InvariantChecker`].

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use stackcourse_lib::agent;
use stackcourse_lib::agent::Agent;
use stackcourse_lib::agent::AgentSetup;
use stackcourse_lib::agent::RunFailure;
use stackcourse_lib::entry;
use stackcourse_lib::entry::Entry;
use stackcourse_lib::entry::EntrySetup;
use stackcourse_lib::entry::Submission;
use stackcourse_lib::outcome::JobReply;
use stackcourse_lib::prelude::*;
use stackcourse_lib::start_record::DisabledCheck;
use stackcourse_lib::store::StoreOp;
use stackcourse_lib::store::StoreReply;
use stackcourse_lib::store::Stored;

use crate::witness::InvariantChecker;
use crate::witness::SubmissionState;
use crate::witness::task_answer;

/// Unix time at the start of a run, in milliseconds.
const EPOCH_MS: u64 = 1_800_000_000_000;
/// Interval between two ticks of a process, in microseconds of true time.
const TICK_US: u64 = 20_000;
/// How long jobs are remembered. Short, so that jobs pass the horizon within a run.
pub const HORIZON: Duration = Duration::from_secs(20);
/// The quota of the only team: the most of its tasks that may run at once.
pub const QUOTA: usize = 10;

/// The index of a process; entries come first, then agents.
pub type ProcessIndex = usize;

/// The state machine that a process runs.
enum Machine {
    Entry(Box<Entry>),
    Agent(Box<Agent>),
}

/// A process, its clock and its faults.
struct Process {
    /// `None` while the process is down.
    machine: Option<Machine>,
    /// Counts starts and crashes; events of an earlier generation are ignored.
    generation: u64,
    /// Rate of the monotonic clock, relative to true time.
    rate: f64,
    /// Constant offset of the box's wall clock.
    skew_ms: i64,
    /// How far the box's wall clock was set ahead.
    step_ms: i64,
    /// Offset of the wall time that the process keeps itself. It is taken from the box's clock at the start,
    /// and moves only when the process shifts its clock.
    wall_offset_ms: i64,
    /// When the process was started, by its monotonic clock.
    started: u64,
    paused: bool,
    /// Events that arrived while the process was paused.
    backlog: Vec<Event>,
    /// Actions that the process carries out when it resumes.
    deferred: Vec<DeferredAction>,
    /// When the process was asked to leave, in true time.
    leaving: Option<u64>,
}

/// An action that a paused process has yet to carry out.
enum DeferredAction {
    Entry(entry::Action),
    Agent(agent::Action),
}

/// A connection between two processes. Arrays are indexed by side.
struct Link {
    endpoints: [ProcessIndex; 2],
    /// The generation of each process when the link was opened.
    generations: [u64; 2],
    /// Whether each side still regards the link as open.
    up: [bool; 2],
    /// When the last message to each side is due; keeps messages in order.
    last_due: [u64; 2],
}

/// How a task ends on its backend server.
#[derive(Clone, Copy)]
enum TaskEnd {
    Answered,
    Failed,
    NeverSent,
}

/// A scheduled event.
enum Event {
    /// A tick of a process of the given generation.
    Tick(ProcessIndex, u64),
    /// A message arrives at one side of a link.
    Message(LinkId, usize, Body),
    /// One side of a link notices that it is closed.
    LinkDown(LinkId, usize),
    /// The store carries out the operation with a tag, sent by a process of the given generation, and replies
    /// if the flag is set.
    ApplyStoreOp(ProcessIndex, u64, u64, StoreOp, bool),
    /// The reply to the store operation with a tag arrives.
    StoreReply(ProcessIndex, u64, u64, StoreReply),
    /// A task of an agent of the given generation ends.
    TaskEnd(ProcessIndex, u64, TaskKey, TaskEnd),
    /// Missing links are opened.
    Connect,
}

/// A caller's request that has not been answered.
struct OpenRequest {
    job: JobId,
    tasks: u32,
    state: SubmissionState,
}

/// The simulated processes, their links, the store and the schedule of events.
pub struct World {
    /// The generator of all random choices of the run.
    pub rng: ChaCha8Rng,
    /// True time, in microseconds.
    pub now: u64,
    /// Number of inputs given to state machines.
    pub steps: u64,
    /// Checks the invariants.
    pub checker: InvariantChecker,
    /// Number of entries; the remaining processes are agents.
    pub entries: usize,
    procs: Vec<Process>,
    links: BTreeMap<LinkId, Link>,
    cuts: HashMap<(ProcessIndex, ProcessIndex), bool>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    next: u64,
    store: HashMap<String, Stored>,
    index: u64,
    /// For each process, whether it cannot reach the store.
    pub store_unreachable: Vec<bool>,
    /// Probability that a reply of the store is lost.
    pub store_loss: f64,
    requests: HashMap<(ProcessIndex, u64), OpenRequest>,
    config: (u64, Bytes),
    broken: DisabledCheck,
    running: HashMap<TaskKey, ProcessIndex>,
    /// Probability that a message arrives twice.
    pub duplicate_rate: f64,
}

impl World {
    /// Creates a world and starts its processes.
    pub fn new(seed: u64, entries: usize, agents: usize, broken: DisabledCheck) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = entries + agents;
        let procs = (0..count)
            .map(|_| Process {
                machine: None,
                generation: 0,
                rate: rng.random_range(0.995..1.005),
                skew_ms: rng.random_range(-200..200),
                step_ms: 0,
                wall_offset_ms: 0,
                started: 0,
                paused: false,
                backlog: Vec::new(),
                deferred: Vec::new(),
                leaving: None,
            })
            .collect();
        let mut world = World {
            rng,
            now: 1_000_000,
            steps: 0,
            checker: InvariantChecker::default(),
            entries,
            procs,
            links: BTreeMap::new(),
            cuts: HashMap::new(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next: 1,
            store: HashMap::new(),
            index: 0,
            store_unreachable: vec![false; count],
            store_loss: 0.0,
            requests: HashMap::new(),
            config: (0, Bytes::new()),
            broken,
            running: HashMap::new(),
            duplicate_rate: 0.0,
        };
        world.schedule(1, Event::Connect);
        for proc in 0..count {
            world.start(proc);
        }
        world
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((self.now + delay, self.next)));
        self.events.insert(self.next, event);
    }

    /// Returns the readings of a process's clocks.
    fn clock(&self, proc: ProcessIndex) -> Now {
        let p = &self.procs[proc];
        let mono = self.mono(proc);
        let elapsed = EPOCH_MS as i64 + (mono / 1000) as i64;
        Now {
            mono: Mono(mono + 1),
            wall_ms: (elapsed + p.wall_offset_ms) as u64,
            box_ms: (elapsed + p.skew_ms + p.step_ms) as u64,
        }
    }

    /// Returns the reading of a process's monotonic clock, in microseconds.
    fn mono(&self, proc: ProcessIndex) -> u64 {
        (self.now as f64 * self.procs[proc].rate) as u64
    }

    /// Sets the wall clock of a process's box ahead by `step_ms`, or back if that is negative; replaces any
    /// earlier step.
    pub fn set_clock(&mut self, proc: ProcessIndex, step_ms: i64) {
        self.trace(proc, &format!("clock set, {step_ms} ms ahead"));
        self.procs[proc].step_ms = step_ms;
    }

    /// Returns how far the wall clock of a process's box is set ahead, in milliseconds.
    pub fn step_ms(&self, proc: ProcessIndex) -> i64 {
        self.procs[proc].step_ms
    }

    /// Returns Unix time by the callers' clock, in milliseconds.
    pub fn caller_ms(&self) -> u64 {
        EPOCH_MS + self.now / 1000
    }

    /// Returns the number of processes.
    pub fn process_count(&self) -> usize {
        self.procs.len()
    }

    /// Returns whether a process is running; a paused one counts as running.
    pub fn is_up(&self, proc: ProcessIndex) -> bool {
        self.procs[proc].machine.is_some()
    }

    /// Returns whether a process is paused.
    pub fn is_paused(&self, proc: ProcessIndex) -> bool {
        self.procs[proc].paused
    }

    /// Returns whether a process was asked to leave.
    pub fn is_leaving(&self, proc: ProcessIndex) -> bool {
        self.procs[proc].leaving.is_some()
    }

    /// Starts a process with a new incarnation.
    pub fn start(&mut self, proc: ProcessIndex) {
        let incarnation: u64 = self.rng.random();
        let machine = if proc < self.entries {
            let mut setup = EntrySetup::new(&format!("e{proc}"), incarnation);
            setup.horizon = HORIZON;
            setup.tenure.max_extension = Duration::from_secs(15);
            setup.removal_timeout = Duration::from_secs(8);
            setup.shards = 8;
            let mut entry = Entry::new(setup);
            entry.disable_check(self.broken);
            Machine::Entry(Box::new(entry))
        } else {
            let name = format!("w{}", proc - self.entries);
            let mut setup = AgentSetup::new(&name, incarnation, Room::of_slots(4));
            setup.horizon = HORIZON;
            setup.zone = "z".into();
            setup.hall = "h".into();
            let mut agent = Agent::new(setup);
            agent.disable_check(self.broken);
            Machine::Agent(Box::new(agent))
        };
        let mono = self.mono(proc);
        let p = &mut self.procs[proc];
        p.machine = Some(machine);
        p.started = mono;
        p.wall_offset_ms = p.skew_ms + p.step_ms;
        p.generation += 1;
        p.paused = false;
        p.leaving = None;
        let generation = p.generation;
        let jitter = self.rng.random_range(0..TICK_US);
        self.schedule(jitter, Event::Tick(proc, generation));
        if proc < self.entries && self.config.0 > 0 {
            self.apply_config(proc);
        }
    }

    /// Crashes a process. Its open requests are dropped, and the other side of each link notices after a
    /// random delay.
    pub fn crash(&mut self, proc: ProcessIndex) {
        self.trace(proc, "crash");
        let p = &mut self.procs[proc];
        p.machine = None;
        p.generation += 1;
        p.paused = false;
        p.backlog.clear();
        p.deferred.clear();
        self.requests.retain(|(at, _), _| *at != proc);
        let ids: Vec<LinkId> = self.links_of(proc);
        for id in ids {
            let side = self.side_of(id, proc);
            self.links.get_mut(&id).expect("listed").up[side] = false;
            let max_delay = if self.rng.random_bool(0.5) {
                50_000
            } else {
                7_000_000
            };
            let delay = self.rng.random_range(1_000..max_delay);
            self.schedule(delay, Event::LinkDown(id, 1 - side));
        }
    }

    /// Pauses a process. Events that it would handle, and actions that it still wants to take, wait until it
    /// resumes.
    pub fn pause(&mut self, proc: ProcessIndex) {
        self.trace(proc, "pause");
        self.procs[proc].paused = true;
    }

    /// Resumes a paused process: carries out its deferred actions, then handles the events that arrived
    /// meanwhile.
    pub fn resume(&mut self, proc: ProcessIndex) {
        if !self.procs[proc].paused {
            return;
        }
        self.procs[proc].paused = false;
        self.trace(proc, "resume");
        let deferred = std::mem::take(&mut self.procs[proc].deferred);
        for action in deferred {
            match action {
                DeferredAction::Entry(a) => self.run_entry_action(proc, a),
                DeferredAction::Agent(a) => self.run_agent_action(proc, a),
            }
        }
        let backlog = std::mem::take(&mut self.procs[proc].backlog);
        for event in backlog {
            self.handle_event(event);
        }
    }

    /// Asks a process to leave gracefully.
    pub fn leave(&mut self, proc: ProcessIndex) {
        self.trace(proc, "leave");
        let now = self.clock(proc);
        self.procs[proc].leaving = Some(self.now);
        match &mut self.procs[proc].machine {
            Some(Machine::Entry(e)) => e.leave(now),
            Some(Machine::Agent(a)) => a.leave(now),
            None => {}
        }
        self.run_actions(proc);
    }

    /// Returns whether a leaving process has no work left, or is down.
    pub fn is_drained(&self, proc: ProcessIndex) -> bool {
        match &self.procs[proc].machine {
            Some(Machine::Entry(e)) => e.is_drained(),
            Some(Machine::Agent(a)) => a.is_drained(),
            None => true,
        }
    }

    /// Cuts or restores the network between two processes. A cut also breaks their links after a random
    /// delay.
    pub fn set_cut(&mut self, a: ProcessIndex, b: ProcessIndex, cut: bool) {
        if cut {
            self.trace(a, &format!("cut off from p{b}"));
        }
        self.cuts.insert((a.min(b), a.max(b)), cut);
        if !cut {
            return;
        }
        let ids: Vec<LinkId> = self.links_of(a);
        for id in ids {
            if !self.links[&id].endpoints.contains(&b) {
                continue;
            }
            for side in 0..2 {
                let delay = self.rng.random_range(500_000..7_000_000);
                self.schedule(delay, Event::LinkDown(id, side));
            }
        }
    }

    fn is_cut(&self, a: ProcessIndex, b: ProcessIndex) -> bool {
        self.cuts
            .get(&(a.min(b), a.max(b)))
            .copied()
            .unwrap_or(false)
    }

    /// Applies a configuration version at every running entry, and at entries that start later.
    pub fn set_config(&mut self, version: u64, value: Bytes) {
        self.config = (version, value);
        for proc in 0..self.entries {
            self.apply_config(proc);
        }
    }

    fn apply_config(&mut self, proc: ProcessIndex) {
        let now = self.clock(proc);
        let (version, value) = self.config.clone();
        if let Some(Machine::Entry(e)) = &mut self.procs[proc].machine {
            let before = e.follower().version();
            e.apply_config(now, version, value);
            assert!(e.follower().version() >= before);
        }
        self.run_actions(proc);
    }

    /// Submits a job to an entry under the request number `id`. Returns false if the entry is down or paused.
    pub fn submit(
        &mut self,
        proc: ProcessIndex,
        id: u64,
        submission: Submission,
        tasks: u32,
    ) -> bool {
        let now = self.clock(proc);
        if self.procs[proc].paused {
            return false;
        }
        let Some(Machine::Entry(e)) = &mut self.procs[proc].machine else {
            return false;
        };
        let job = submission.job;
        self.steps += 1;
        let state = self.checker.record_submission(job);
        let open = OpenRequest { job, tasks, state };
        self.requests.insert((proc, id), open);
        e.submit(now, id, submission);
        self.run_actions(proc);
        true
    }

    /// Advances virtual time by `span`, or until an invariant is violated.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span.as_micros() as u64;
        while self.checker.violation().is_none() {
            let Some(Reverse((at, id))) = self.queue.peek().copied() else {
                return;
            };
            if at > end {
                self.now = end;
                return;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some(event) = self.events.remove(&id) {
                self.handle_event(event);
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        if let Event::TaskEnd(_, _, key, _) = &event {
            self.running.remove(key);
        }
        let owner = match &event {
            Event::Tick(proc, _) | Event::StoreReply(proc, ..) | Event::TaskEnd(proc, ..) => {
                Some(*proc)
            }
            Event::Message(link, side, _) | Event::LinkDown(link, side) => {
                self.links.get(link).map(|l| l.endpoints[*side])
            }
            Event::ApplyStoreOp(..) | Event::Connect => None,
        };
        if let Some(proc) = owner
            && self.procs[proc].paused
        {
            return self.procs[proc].backlog.push(event);
        }
        match event {
            Event::Tick(proc, generation) => self.handle_tick(proc, generation),
            Event::Message(link, side, body) => self.handle_message(link, side, body),
            Event::LinkDown(link, side) => self.handle_link_down(link, side),
            Event::ApplyStoreOp(proc, generation, tag, op, reply) => {
                self.apply_store_op(proc, generation, tag, op, reply)
            }
            Event::StoreReply(proc, generation, tag, reply) => {
                self.handle_store_reply(proc, generation, tag, reply)
            }
            Event::TaskEnd(proc, generation, key, end) => {
                self.handle_task_end(proc, generation, key, end)
            }
            Event::Connect => self.connect(),
        }
    }

    fn handle_tick(&mut self, proc: ProcessIndex, generation: u64) {
        if self.procs[proc].generation != generation {
            return;
        }
        let now = self.clock(proc);
        self.steps += 1;
        match &mut self.procs[proc].machine {
            Some(Machine::Entry(e)) => e.tick(now),
            Some(Machine::Agent(a)) => a.tick(now),
            None => return,
        }
        self.run_actions(proc);
        self.schedule(TICK_US, Event::Tick(proc, generation));
    }

    fn handle_message(&mut self, id: LinkId, side: usize, body: Body) {
        let Some(link) = self.links.get(&id) else {
            return;
        };
        let [proc, other] = [link.endpoints[side], link.endpoints[1 - side]];
        if !link.up[side] || self.procs[proc].generation != link.generations[side] {
            return;
        }
        if self.is_cut(proc, other) {
            // The message stays in transit until the cut ends or the link is closed.
            return self.schedule(100_000, Event::Message(id, side, body));
        }
        let now = self.clock(proc);
        self.steps += 1;
        match &mut self.procs[proc].machine {
            Some(Machine::Entry(e)) => e.handle_message(now, id, body),
            Some(Machine::Agent(a)) => a.handle_message(now, id, body),
            None => {}
        }
        self.run_actions(proc);
    }

    fn handle_link_down(&mut self, id: LinkId, side: usize) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        let was_up = std::mem::replace(&mut link.up[side], false);
        let proc = link.endpoints[side];
        let is_current = self.procs[proc].generation == link.generations[side];
        if link.up == [false, false] {
            self.links.remove(&id);
        }
        if !was_up || !is_current {
            return;
        }
        let now = self.clock(proc);
        self.steps += 1;
        match &mut self.procs[proc].machine {
            Some(Machine::Entry(e)) => e.link_down(now, id),
            Some(Machine::Agent(a)) => a.link_down(id),
            None => {}
        }
        self.run_actions(proc);
    }

    fn links_of(&self, proc: ProcessIndex) -> Vec<LinkId> {
        let mine = self
            .links
            .iter()
            .filter(|(_, l)| l.endpoints.contains(&proc));
        mine.map(|(id, _)| *id).collect()
    }

    fn side_of(&self, id: LinkId, proc: ProcessIndex) -> usize {
        usize::from(self.links[&id].endpoints[1] == proc)
    }

    /// Opens the missing links of each entry to other entries and to agents, where both processes run and can
    /// reach each other.
    fn connect(&mut self) {
        for a in 0..self.entries {
            for b in a + 1..self.procs.len() {
                let ready = |p: ProcessIndex| self.is_up(p) && !self.procs[p].paused;
                let linked = self.links.values().any(|l| {
                    l.endpoints == [a, b]
                        && (0..2).any(|s| {
                            l.up[s] && l.generations[s] == self.procs[l.endpoints[s]].generation
                        })
                });
                if ready(a) && ready(b) && !linked && !self.is_cut(a, b) {
                    self.open_link(a, b);
                }
            }
        }
        let pause = self.rng.random_range(50_000..400_000);
        self.schedule(pause, Event::Connect);
    }

    fn open_link(&mut self, a: ProcessIndex, b: ProcessIndex) {
        self.next += 1;
        let id = LinkId(self.next);
        let link = Link {
            endpoints: [a, b],
            generations: [self.procs[a].generation, self.procs[b].generation],
            up: [true, true],
            last_due: [0, 0],
        };
        self.links.insert(id, link);
        let hellos = [self.hello_of(a), self.hello_of(b)];
        for (proc, theirs) in [(a, &hellos[1]), (b, &hellos[0])] {
            let now = self.clock(proc);
            self.steps += 1;
            match &mut self.procs[proc].machine {
                Some(Machine::Entry(e)) => e.link_up(now, id, theirs),
                Some(Machine::Agent(g)) => g.link_up(now, id),
                None => {}
            }
            self.run_actions(proc);
        }
    }

    fn hello_of(&self, proc: ProcessIndex) -> wire::Hello {
        match &self.procs[proc].machine {
            Some(Machine::Entry(e)) => wire::Hello {
                name: e.name().to_owned(),
                incarnation: e.incarnation(),
                ..Default::default()
            },
            Some(Machine::Agent(a)) => wire::Hello {
                name: a.name().to_owned(),
                incarnation: a.incarnation(),
                agent: true,
                zone: "z".into(),
                hall: "h".into(),
                room: Some(Room::of_slots(4).wire()),
                up_ms: (self.mono(proc) - self.procs[proc].started) / 1_000,
                ..Default::default()
            },
            None => wire::Hello::default(),
        }
    }

    /// Carries out the pending actions of a process. With a small probability the process pauses in between:
    /// it carries out the remaining actions when it resumes.
    fn run_actions(&mut self, proc: ProcessIndex) {
        let stalls = self.rng.random_bool(0.0005);
        let mut stall = false;
        let actions: Vec<DeferredAction> = match &mut self.procs[proc].machine {
            Some(Machine::Entry(e)) => e
                .take_actions()
                .into_iter()
                .map(DeferredAction::Entry)
                .collect(),
            Some(Machine::Agent(a)) => a
                .take_actions()
                .into_iter()
                .map(DeferredAction::Agent)
                .collect(),
            None => return,
        };
        for action in actions {
            stall |= stalls && !self.procs[proc].paused && self.rng.random_bool(0.5);
            if stall || self.procs[proc].paused {
                self.procs[proc].paused = true;
                self.procs[proc].deferred.push(action);
                continue;
            }
            match action {
                DeferredAction::Entry(a) => self.run_entry_action(proc, a),
                DeferredAction::Agent(a) => self.run_agent_action(proc, a),
            }
        }
    }

    fn run_entry_action(&mut self, proc: ProcessIndex, action: entry::Action) {
        match action {
            entry::Action::Send(link, body) => self.send(proc, link, body),
            entry::Action::Respond(id, reply) => self.respond(proc, id, &reply),
            entry::Action::Store(tag, op) => self.call_store(proc, tag, op),
            entry::Action::ShiftClock(by_ms) => self.procs[proc].wall_offset_ms += by_ms,
            entry::Action::Log(event) => self.trace(proc, &event.to_string()),
        }
    }

    fn run_agent_action(&mut self, proc: ProcessIndex, action: agent::Action) {
        match action {
            agent::Action::Send(link, body) => self.send(proc, link, body),
            agent::Action::Run(task) => self.run_task(proc, task),
            agent::Action::ShiftClock(by_ms) => self.procs[proc].wall_offset_ms += by_ms,
            agent::Action::Log(event) => self.trace(proc, &event.to_string()),
            agent::Action::Close(link) => {
                for side in 0..2 {
                    let delay = self.rng.random_range(1..3_000_000);
                    self.schedule(delay, Event::LinkDown(link, side));
                }
            }
            agent::Action::Entries(_) => {}
        }
    }

    fn trace(&self, proc: ProcessIndex, text: &str) {
        if std::env::var_os("STACKCOURSE_TRACE").is_some() {
            eprintln!("{:>12} p{proc} {text}", self.now);
        }
    }

    fn send(&mut self, proc: ProcessIndex, id: LinkId, body: Body) {
        if !self.links.contains_key(&id) {
            return;
        }
        let side = 1 - self.side_of(id, proc);
        let to = self.links[&id].endpoints[side];
        match &body {
            Body::Start(s) => {
                let key = JobId::from_wire(s.job);
                let text = format!(
                    "sends p{to} Start {key:?}/{} shard {} epoch {}",
                    s.task, s.shard, s.epoch
                );
                self.trace(proc, &text);
            }
            Body::Forward(f) => {
                let key = JobId::from_wire(f.job);
                self.trace(
                    proc,
                    &format!("forwards to p{to} {key:?} request {}", f.request),
                );
            }
            Body::Reply(r) => {
                self.trace(
                    proc,
                    &format!(
                        "replies to p{to} request {} {} {}",
                        r.request, r.outcome, r.cause
                    ),
                );
            }
            Body::Seal(s) => {
                let list: Vec<_> = s.claims.iter().map(|c| (c.shard, c.epoch)).collect();
                self.trace(proc, &format!("seals at p{to} round {} {list:?}", s.round));
            }
            Body::ShareAsk(a) => self.trace(proc, &format!("asks p{to} {a:?}")),
            Body::Share(a) => self.trace(proc, &format!("gives p{to} {a:?}")),
            _ => {}
        }
        let slow = self.rng.random_bool(0.01);
        let delay = self
            .rng
            .random_range(200..if slow { 400_000 } else { 2_000 });
        let now = self.now;
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        let due = (now + delay).max(link.last_due[side] + 1);
        link.last_due[side] = due;
        if self.duplicate_rate > 0.0 && self.rng.random_bool(self.duplicate_rate) {
            let extra = self.rng.random_range(1..2_000_000);
            self.schedule(due - now + extra, Event::Message(id, side, body.clone()));
        }
        self.schedule(due - now, Event::Message(id, side, body));
    }

    fn respond(&mut self, proc: ProcessIndex, id: u64, reply: &JobReply) {
        let Some(open) = self.requests.remove(&(proc, id)) else {
            let what = format!("request {id} at p{proc} was answered twice");
            return self.checker.report_violation(what);
        };
        self.trace(proc, &format!("answer {} {reply:?}", open.job));
        self.checker
            .check_answer(open.job, open.tasks, open.state, reply);
    }

    fn run_task(&mut self, proc: ProcessIndex, task: agent::RunTask) {
        let generation = self.procs[proc].generation;
        let left = self.clock(proc).mono.until(task.until).as_micros() as u64;
        if left == 0 {
            // The production agent checks its clock once more before it calls the backend server.
            return self.schedule(
                0,
                Event::TaskEnd(proc, generation, task.key, TaskEnd::NeverSent),
            );
        }
        self.trace(proc, &format!("start {:?}", task.key));
        if self.rng.random_bool(0.01) {
            return self.schedule(
                300,
                Event::TaskEnd(proc, generation, task.key, TaskEnd::NeverSent),
            );
        }
        self.checker.check_start(task.key);
        let is_late = |at: u64| self.now > at + 3_000_000;
        if self.procs[proc].leaving.is_some_and(is_late) {
            let what = format!("{:?} started at a leaving worker", task.key);
            self.checker.report_violation(what);
        }
        self.running.insert(task.key, proc);
        self.trace(proc, &format!("{} running", self.running.len()));
        if self.running.len() > QUOTA {
            let what = format!("{} tasks run under a quota of {QUOTA}", self.running.len());
            self.checker.report_violation(what);
        }
        let end = if self.rng.random_bool(0.01) {
            TaskEnd::Failed
        } else {
            TaskEnd::Answered
        };
        let long = self.rng.random_bool(0.05);
        let span = self
            .rng
            .random_range(20_000..if long { 4_000_000 } else { 400_000 });
        let end = if span < left { end } else { TaskEnd::Failed };
        self.schedule(
            span.min(left),
            Event::TaskEnd(proc, generation, task.key, end),
        );
    }

    fn handle_task_end(&mut self, proc: ProcessIndex, generation: u64, key: TaskKey, end: TaskEnd) {
        if self.procs[proc].generation != generation {
            return;
        }
        let now = self.clock(proc);
        self.steps += 1;
        let result = match end {
            TaskEnd::Answered => Ok(Bytes::from(task_answer(key))),
            TaskEnd::Failed => Err(RunFailure::Failed("broke".to_owned())),
            TaskEnd::NeverSent => Err(RunFailure::NeverSent("no connection".to_owned())),
        };
        if let Some(Machine::Agent(a)) = &mut self.procs[proc].machine {
            a.handle_task_end(now, key, result);
        }
        self.run_actions(proc);
    }

    fn call_store(&mut self, proc: ProcessIndex, tag: u64, op: StoreOp) {
        let generation = self.procs[proc].generation;
        if self.store_unreachable[proc] {
            return self.schedule(
                900_000,
                Event::StoreReply(proc, generation, tag, StoreReply::Lost),
            );
        }
        let slow = self.rng.random_bool(0.02);
        let delay = self
            .rng
            .random_range(300..if slow { 3_000_000 } else { 4_000 });
        let lost = self.rng.random_bool(self.store_loss.max(0.000_01)) || delay > 900_000;
        self.schedule(delay, Event::ApplyStoreOp(proc, generation, tag, op, !lost));
        if lost {
            self.schedule(
                900_000,
                Event::StoreReply(proc, generation, tag, StoreReply::Lost),
            );
        }
    }

    /// Carries out a store operation and, if `reply` is set, sends its result.
    fn apply_store_op(
        &mut self,
        proc: ProcessIndex,
        generation: u64,
        tag: u64,
        op: StoreOp,
        reply: bool,
    ) {
        let result = match op {
            StoreOp::Get { key } => StoreReply::Value(self.store.get(&key).cloned()),
            StoreOp::Swap { key, index, value } => {
                let present = self.store.get(&key).map_or(0, |s| s.index);
                let is_current = present == index;
                if is_current {
                    if key == "ownership" {
                        self.trace(
                            proc,
                            &format!("record is {}", String::from_utf8_lossy(&value)),
                        );
                    }
                    self.index += 1;
                    let index = self.index;
                    self.store.insert(key, Stored { value, index });
                }
                StoreReply::Swapped(is_current)
            }
            StoreOp::Remove { key } => {
                self.store.remove(&key);
                StoreReply::Lost
            }
        };
        if reply {
            let delay = self.rng.random_range(300..2_000);
            self.schedule(delay, Event::StoreReply(proc, generation, tag, result));
        }
    }

    fn handle_store_reply(
        &mut self,
        proc: ProcessIndex,
        generation: u64,
        tag: u64,
        reply: StoreReply,
    ) {
        if self.procs[proc].generation != generation {
            return;
        }
        let now = self.clock(proc);
        self.steps += 1;
        if let Some(Machine::Entry(e)) = &mut self.procs[proc].machine {
            e.handle_store_reply(now, tag, reply);
        }
        self.run_actions(proc);
    }

    /// Returns the number of requests without an answer.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Passes the entries the platform's set of leaving boxes.
    pub fn set_leaving_boxes(&mut self, leaving: &std::collections::HashSet<String>) {
        for proc in 0..self.entries {
            if let Some(Machine::Entry(e)) = &mut self.procs[proc].machine {
                e.set_leaving_boxes(leaving);
            }
        }
    }
}
