//! The world of a randomised run: processes with clocks of their own, links that delay and fail,
//! and a store that loses answers. Only small fakes at the interfaces; the state machines are the
//! shipped ones.

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

use crate::witness::Before;
use crate::witness::Witness;
use crate::witness::task_answer;

/// The wall clock at the start of a run, in Unix milliseconds.
const EPOCH_MS: u64 = 1_800_000_000_000;
/// Time between ticks.
const TICK_US: u64 = 20_000;
/// Jobs are forgotten this soon, so that a short run passes the horizon.
pub const HORIZON: Duration = Duration::from_secs(20);
/// The bound on a team's tasks.
pub const QUOTA: usize = 10;

/// A process: entries come first, then agents.
pub type Proc = usize;

/// A state machine.
enum Machine {
    Entry(Box<Entry>),
    Agent(Box<Agent>),
}

/// A process and its clock.
struct Process {
    machine: Option<Machine>,
    life: u64,
    /// Reading of its clock is `offset + true * rate`.
    rate: f64,
    skew_ms: i64,
    /// How far the box's clock was set ahead.
    step_ms: i64,
    /// The time of day carried on, less that of its own clock.
    base_ms: i64,
    /// When it was started, by its own clock.
    started: u64,
    paused: bool,
    backlog: Vec<Event>,
    stalled: Vec<Deferred>,
    leaving: Option<u64>,
}

/// What a paused process was about to do.
enum Deferred {
    Entry(entry::Action),
    Agent(agent::Action),
}

/// A connection.
struct Link {
    ends: [Proc; 2],
    lives: [u64; 2],
    /// Whether each end still believes in it.
    up: [bool; 2],
    last: [u64; 2],
}

/// How a task ends.
#[derive(Clone, Copy)]
enum End {
    Answered,
    Failed,
    NeverSent,
}

/// Something that happens at a time.
enum Event {
    Tick(Proc, u64),
    Frame(LinkId, usize, Body),
    Down(LinkId, usize),
    Apply(Proc, u64, u64, StoreOp, bool),
    Reply(Proc, u64, u64, StoreReply),
    Done(Proc, u64, TaskKey, End),
    Connect,
}

/// A caller's request under way.
struct Open {
    job: JobId,
    tasks: u32,
    before: Before,
}

/// The world.
pub struct World {
    /// Random numbers.
    pub rng: ChaCha8Rng,
    /// True time, in microseconds.
    pub now: u64,
    /// Inputs given to state machines so far.
    pub steps: u64,
    /// What was seen.
    pub witness: Witness,
    /// How many entries there are; the rest are agents.
    pub entries: usize,
    procs: Vec<Process>,
    links: BTreeMap<LinkId, Link>,
    cut: HashMap<(Proc, Proc), bool>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    next: u64,
    store: HashMap<String, Stored>,
    index: u64,
    /// Processes that can't reach the store.
    pub store_cut: Vec<bool>,
    /// Chance that the store's answer is lost.
    pub lossy: f64,
    requests: HashMap<(Proc, u64), Open>,
    config: (u64, Bytes),
    broken: DisabledCheck,
    running: HashMap<TaskKey, Proc>,
    /// Chance that a message arrives twice.
    pub duplicates: f64,
}

impl World {
    /// A world with processes that have not been started.
    pub fn new(seed: u64, entries: usize, agents: usize, broken: DisabledCheck) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = entries + agents;
        let procs = (0..count)
            .map(|_| Process {
                machine: None,
                life: 0,
                rate: rng.random_range(0.995..1.005),
                skew_ms: rng.random_range(-200..200),
                step_ms: 0,
                base_ms: 0,
                started: 0,
                paused: false,
                backlog: Vec::new(),
                stalled: Vec::new(),
                leaving: None,
            })
            .collect();
        let mut world = World {
            rng,
            now: 1_000_000,
            steps: 0,
            witness: Witness::default(),
            entries,
            procs,
            links: BTreeMap::new(),
            cut: HashMap::new(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next: 1,
            store: HashMap::new(),
            index: 0,
            store_cut: vec![false; count],
            lossy: 0.0,
            requests: HashMap::new(),
            config: (0, Bytes::new()),
            broken,
            running: HashMap::new(),
            duplicates: 0.0,
        };
        world.at(1, Event::Connect);
        for proc in 0..count {
            world.start(proc);
        }
        world
    }

    fn at(&mut self, delay: u64, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((self.now + delay, self.next)));
        self.events.insert(self.next, event);
    }

    /// The clocks of a process.
    fn clock(&self, proc: Proc) -> Now {
        let p = &self.procs[proc];
        let mono = self.mono(proc);
        let carried = EPOCH_MS as i64 + (mono / 1000) as i64;
        Now {
            mono: Mono(mono + 1),
            wall_ms: (carried + p.base_ms) as u64,
            box_ms: (carried + p.skew_ms + p.step_ms) as u64,
        }
    }

    /// The monotonic clock of a process, in microseconds.
    fn mono(&self, proc: Proc) -> u64 {
        (self.now as f64 * self.procs[proc].rate) as u64
    }

    /// Sets the clock of a process's box, so far ahead of the true time.
    pub fn set_clock(&mut self, proc: Proc, step_ms: i64) {
        self.trace(proc, &format!("clock set, {step_ms} ms ahead"));
        self.procs[proc].step_ms = step_ms;
    }

    /// How far the clock of a process's box was set ahead, in milliseconds.
    pub fn step_ms(&self, proc: Proc) -> i64 {
        self.procs[proc].step_ms
    }

    /// Unix time by the callers' clock, in milliseconds.
    pub fn caller_ms(&self) -> u64 {
        EPOCH_MS + self.now / 1000
    }

    /// How many processes there are.
    pub fn count(&self) -> usize {
        self.procs.len()
    }

    /// Whether a process runs.
    pub fn is_up(&self, proc: Proc) -> bool {
        self.procs[proc].machine.is_some()
    }

    /// Whether it is paused.
    pub fn is_paused(&self, proc: Proc) -> bool {
        self.procs[proc].paused
    }

    /// Whether it was asked to leave.
    pub fn is_leaving(&self, proc: Proc) -> bool {
        self.procs[proc].leaving.is_some()
    }

    /// Starts a process under a new incarnation.
    pub fn start(&mut self, proc: Proc) {
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
        p.base_ms = p.skew_ms + p.step_ms;
        p.life += 1;
        p.paused = false;
        p.leaving = None;
        let life = p.life;
        let jitter = self.rng.random_range(0..TICK_US);
        self.at(jitter, Event::Tick(proc, life));
        if proc < self.entries && self.config.0 > 0 {
            self.configure(proc);
        }
    }

    /// Kills a process.
    pub fn crash(&mut self, proc: Proc) {
        self.trace(proc, "crash");
        let p = &mut self.procs[proc];
        p.machine = None;
        p.life += 1;
        p.paused = false;
        p.backlog.clear();
        p.stalled.clear();
        self.requests.retain(|(at, _), _| *at != proc);
        let ids: Vec<LinkId> = self.links_of(proc);
        for id in ids {
            let side = self.side(id, proc);
            self.links.get_mut(&id).expect("listed").up[side] = false;
            let late = if self.rng.random_bool(0.5) {
                50_000
            } else {
                7_000_000
            };
            let delay = self.rng.random_range(1_000..late);
            self.at(delay, Event::Down(id, 1 - side));
        }
    }

    /// Pauses a process: nothing is handled, and with some chance what it was about to do at its
    /// last step is done only when it goes on.
    pub fn pause(&mut self, proc: Proc) {
        self.trace(proc, "pause");
        self.procs[proc].paused = true;
    }

    /// Lets a paused process go on.
    pub fn resume(&mut self, proc: Proc) {
        if !self.procs[proc].paused {
            return;
        }
        self.procs[proc].paused = false;
        self.trace(proc, "resume");
        let stalled = std::mem::take(&mut self.procs[proc].stalled);
        for action in stalled {
            match action {
                Deferred::Entry(a) => self.do_entry(proc, a),
                Deferred::Agent(a) => self.do_agent(proc, a),
            }
        }
        let backlog = std::mem::take(&mut self.procs[proc].backlog);
        for event in backlog {
            self.handle(event);
        }
    }

    /// Asks a process to leave.
    pub fn leave(&mut self, proc: Proc) {
        self.trace(proc, "leave");
        let now = self.clock(proc);
        self.procs[proc].leaving = Some(self.now);
        match &mut self.procs[proc].machine {
            Some(Machine::Entry(e)) => e.leave(now),
            Some(Machine::Agent(a)) => a.leave(now),
            None => {}
        }
        self.flush(proc);
    }

    /// Whether a leaving process has nothing left to do.
    pub fn drained(&self, proc: Proc) -> bool {
        match &self.procs[proc].machine {
            Some(Machine::Entry(e)) => e.is_drained(),
            Some(Machine::Agent(a)) => a.is_drained(),
            None => true,
        }
    }

    /// Cuts or heals the way between two processes.
    pub fn set_cut(&mut self, a: Proc, b: Proc, cut: bool) {
        if cut {
            self.trace(a, &format!("cut off from p{b}"));
        }
        self.cut.insert((a.min(b), a.max(b)), cut);
        if !cut {
            return;
        }
        let ids: Vec<LinkId> = self.links_of(a);
        for id in ids {
            if !self.links[&id].ends.contains(&b) {
                continue;
            }
            for side in 0..2 {
                let delay = self.rng.random_range(500_000..7_000_000);
                self.at(delay, Event::Down(id, side));
            }
        }
    }

    fn is_cut(&self, a: Proc, b: Proc) -> bool {
        self.cut
            .get(&(a.min(b), a.max(b)))
            .copied()
            .unwrap_or(false)
    }

    /// Puts a configuration version in force: entries read it after a short while.
    pub fn set_config(&mut self, version: u64, value: Bytes) {
        self.config = (version, value);
        for proc in 0..self.entries {
            self.configure(proc);
        }
    }

    fn configure(&mut self, proc: Proc) {
        let now = self.clock(proc);
        let (version, value) = self.config.clone();
        if let Some(Machine::Entry(e)) = &mut self.procs[proc].machine {
            let before = e.follower().version();
            e.apply_config(now, version, value);
            assert!(e.follower().version() >= before);
        }
        self.flush(proc);
    }

    /// A caller sends a job to an entry. Returns false if the entry is down.
    pub fn submit(&mut self, proc: Proc, id: u64, submission: Submission, tasks: u32) -> bool {
        let now = self.clock(proc);
        if self.procs[proc].paused {
            return false;
        }
        let Some(Machine::Entry(e)) = &mut self.procs[proc].machine else {
            return false;
        };
        let job = submission.job;
        self.steps += 1;
        let before = self.witness.submitted(job);
        let open = Open { job, tasks, before };
        self.requests.insert((proc, id), open);
        e.submit(now, id, submission);
        self.flush(proc);
        true
    }

    /// Runs the world for a while, or until a promise is broken.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span.as_micros() as u64;
        while self.witness.violation().is_none() {
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
                self.handle(event);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        if let Event::Done(_, _, key, _) = &event {
            self.running.remove(key);
        }
        let owner = match &event {
            Event::Tick(proc, _) | Event::Reply(proc, ..) | Event::Done(proc, ..) => Some(*proc),
            Event::Frame(link, side, _) | Event::Down(link, side) => {
                self.links.get(link).map(|l| l.ends[*side])
            }
            Event::Apply(..) | Event::Connect => None,
        };
        if let Some(proc) = owner
            && self.procs[proc].paused
        {
            return self.procs[proc].backlog.push(event);
        }
        match event {
            Event::Tick(proc, life) => self.tick(proc, life),
            Event::Frame(link, side, body) => self.frame(link, side, body),
            Event::Down(link, side) => self.down(link, side),
            Event::Apply(proc, life, tag, op, reply) => self.apply(proc, life, tag, op, reply),
            Event::Reply(proc, life, tag, reply) => self.reply(proc, life, tag, reply),
            Event::Done(proc, life, key, end) => self.done(proc, life, key, end),
            Event::Connect => self.connect(),
        }
    }

    fn tick(&mut self, proc: Proc, life: u64) {
        if self.procs[proc].life != life {
            return;
        }
        let now = self.clock(proc);
        self.steps += 1;
        match &mut self.procs[proc].machine {
            Some(Machine::Entry(e)) => e.tick(now),
            Some(Machine::Agent(a)) => a.tick(now),
            None => return,
        }
        self.flush(proc);
        self.at(TICK_US, Event::Tick(proc, life));
    }

    fn frame(&mut self, id: LinkId, side: usize, body: Body) {
        let Some(link) = self.links.get(&id) else {
            return;
        };
        let [proc, other] = [link.ends[side], link.ends[1 - side]];
        if !link.up[side] || self.procs[proc].life != link.lives[side] {
            return;
        }
        if self.is_cut(proc, other) {
            // Under way until the cut heals or the link is given up.
            return self.at(100_000, Event::Frame(id, side, body));
        }
        let now = self.clock(proc);
        self.steps += 1;
        match &mut self.procs[proc].machine {
            Some(Machine::Entry(e)) => e.handle_message(now, id, body),
            Some(Machine::Agent(a)) => a.handle_message(now, id, body),
            None => {}
        }
        self.flush(proc);
    }

    fn down(&mut self, id: LinkId, side: usize) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        let was = std::mem::replace(&mut link.up[side], false);
        let proc = link.ends[side];
        let alive = self.procs[proc].life == link.lives[side];
        if link.up == [false, false] {
            self.links.remove(&id);
        }
        if !was || !alive {
            return;
        }
        let now = self.clock(proc);
        self.steps += 1;
        match &mut self.procs[proc].machine {
            Some(Machine::Entry(e)) => e.link_down(now, id),
            Some(Machine::Agent(a)) => a.link_down(id),
            None => {}
        }
        self.flush(proc);
    }

    fn links_of(&self, proc: Proc) -> Vec<LinkId> {
        let mine = self.links.iter().filter(|(_, l)| l.ends.contains(&proc));
        mine.map(|(id, _)| *id).collect()
    }

    fn side(&self, id: LinkId, proc: Proc) -> usize {
        usize::from(self.links[&id].ends[1] == proc)
    }

    /// Opens the links that are missing.
    fn connect(&mut self) {
        for a in 0..self.entries {
            for b in a + 1..self.procs.len() {
                let ready = |p: Proc| self.is_up(p) && !self.procs[p].paused;
                let linked = self.links.values().any(|l| {
                    l.ends == [a, b]
                        && (0..2).any(|s| l.up[s] && l.lives[s] == self.procs[l.ends[s]].life)
                });
                if ready(a) && ready(b) && !linked && !self.is_cut(a, b) {
                    self.open(a, b);
                }
            }
        }
        let pause = self.rng.random_range(50_000..400_000);
        self.at(pause, Event::Connect);
    }

    fn open(&mut self, a: Proc, b: Proc) {
        self.next += 1;
        let id = LinkId(self.next);
        let link = Link {
            ends: [a, b],
            lives: [self.procs[a].life, self.procs[b].life],
            up: [true, true],
            last: [0, 0],
        };
        self.links.insert(id, link);
        let hellos = [self.hello(a), self.hello(b)];
        for (proc, theirs) in [(a, &hellos[1]), (b, &hellos[0])] {
            let now = self.clock(proc);
            self.steps += 1;
            match &mut self.procs[proc].machine {
                Some(Machine::Entry(e)) => e.link_up(now, id, theirs),
                Some(Machine::Agent(g)) => g.link_up(now, id),
                None => {}
            }
            self.flush(proc);
        }
    }

    fn hello(&self, proc: Proc) -> wire::Hello {
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

    /// Does what a process wants done. One that is being paused does some of it later.
    fn flush(&mut self, proc: Proc) {
        let late = self.rng.random_bool(0.0005);
        let mut stall = false;
        let actions: Vec<Deferred> = match &mut self.procs[proc].machine {
            Some(Machine::Entry(e)) => e.take_actions().into_iter().map(Deferred::Entry).collect(),
            Some(Machine::Agent(a)) => a.take_actions().into_iter().map(Deferred::Agent).collect(),
            None => return,
        };
        for action in actions {
            stall |= late && !self.procs[proc].paused && self.rng.random_bool(0.5);
            if stall || self.procs[proc].paused {
                self.procs[proc].paused = true;
                self.procs[proc].stalled.push(action);
                continue;
            }
            match action {
                Deferred::Entry(a) => self.do_entry(proc, a),
                Deferred::Agent(a) => self.do_agent(proc, a),
            }
        }
    }

    fn do_entry(&mut self, proc: Proc, action: entry::Action) {
        match action {
            entry::Action::Send(link, body) => self.send(proc, link, body),
            entry::Action::Respond(id, reply) => self.respond(proc, id, &reply),
            entry::Action::Store(tag, op) => self.call_store(proc, tag, op),
            entry::Action::ShiftClock(by_ms) => self.procs[proc].base_ms += by_ms,
            entry::Action::Log(event) => self.trace(proc, &event.to_string()),
        }
    }

    fn do_agent(&mut self, proc: Proc, action: agent::Action) {
        match action {
            agent::Action::Send(link, body) => self.send(proc, link, body),
            agent::Action::Run(task) => self.run_task(proc, task),
            agent::Action::ShiftClock(by_ms) => self.procs[proc].base_ms += by_ms,
            agent::Action::Log(event) => self.trace(proc, &event.to_string()),
            agent::Action::Close(link) => {
                for side in 0..2 {
                    let delay = self.rng.random_range(1..3_000_000);
                    self.at(delay, Event::Down(link, side));
                }
            }
            agent::Action::Entries(_) => {}
        }
    }

    fn trace(&self, proc: Proc, text: &str) {
        if std::env::var_os("STACKCOURSE_TRACE").is_some() {
            eprintln!("{:>12} p{proc} {text}", self.now);
        }
    }

    fn send(&mut self, proc: Proc, id: LinkId, body: Body) {
        if !self.links.contains_key(&id) {
            return;
        }
        let side = 1 - self.side(id, proc);
        let to = self.links[&id].ends[side];
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
        let due = (now + delay).max(link.last[side] + 1);
        link.last[side] = due;
        if self.duplicates > 0.0 && self.rng.random_bool(self.duplicates) {
            let extra = self.rng.random_range(1..2_000_000);
            self.at(due - now + extra, Event::Frame(id, side, body.clone()));
        }
        self.at(due - now, Event::Frame(id, side, body));
    }

    fn respond(&mut self, proc: Proc, id: u64, reply: &JobReply) {
        let Some(open) = self.requests.remove(&(proc, id)) else {
            let what = format!("request {id} at p{proc} was answered twice");
            return self.witness.accuse(what);
        };
        self.trace(proc, &format!("answer {} {reply:?}", open.job));
        self.witness
            .answered(open.job, open.tasks, open.before, reply);
    }

    fn run_task(&mut self, proc: Proc, task: agent::RunTask) {
        let life = self.procs[proc].life;
        let left = self.clock(proc).mono.until(task.until).as_micros() as u64;
        if left == 0 {
            // The shipped agent looks at its clock once more before it calls the back end.
            return self.at(0, Event::Done(proc, life, task.key, End::NeverSent));
        }
        self.trace(proc, &format!("start {:?}", task.key));
        if self.rng.random_bool(0.01) {
            return self.at(300, Event::Done(proc, life, task.key, End::NeverSent));
        }
        self.witness.started(task.key);
        let late = |at: u64| self.now > at + 3_000_000;
        if self.procs[proc].leaving.is_some_and(late) {
            let what = format!("{:?} started at a leaving worker", task.key);
            self.witness.accuse(what);
        }
        self.running.insert(task.key, proc);
        self.trace(proc, &format!("{} running", self.running.len()));
        if self.running.len() > QUOTA {
            let what = format!("{} tasks run under a quota of {QUOTA}", self.running.len());
            self.witness.accuse(what);
        }
        let end = if self.rng.random_bool(0.01) {
            End::Failed
        } else {
            End::Answered
        };
        let long = self.rng.random_bool(0.05);
        let span = self
            .rng
            .random_range(20_000..if long { 4_000_000 } else { 400_000 });
        let end = if span < left { end } else { End::Failed };
        self.at(span.min(left), Event::Done(proc, life, task.key, end));
    }

    fn done(&mut self, proc: Proc, life: u64, key: TaskKey, end: End) {
        if self.procs[proc].life != life {
            return;
        }
        let now = self.clock(proc);
        self.steps += 1;
        let result = match end {
            End::Answered => Ok(Bytes::from(task_answer(key))),
            End::Failed => Err(RunFailure::Failed("broke".to_owned())),
            End::NeverSent => Err(RunFailure::NeverSent("no connection".to_owned())),
        };
        if let Some(Machine::Agent(a)) = &mut self.procs[proc].machine {
            a.handle_task_end(now, key, result);
        }
        self.flush(proc);
    }

    fn call_store(&mut self, proc: Proc, tag: u64, op: StoreOp) {
        let life = self.procs[proc].life;
        if self.store_cut[proc] {
            return self.at(900_000, Event::Reply(proc, life, tag, StoreReply::Lost));
        }
        let slow = self.rng.random_bool(0.02);
        let delay = self
            .rng
            .random_range(300..if slow { 3_000_000 } else { 4_000 });
        let lost = self.rng.random_bool(self.lossy.max(0.000_01)) || delay > 900_000;
        self.at(delay, Event::Apply(proc, life, tag, op, !lost));
        if lost {
            self.at(900_000, Event::Reply(proc, life, tag, StoreReply::Lost));
        }
    }

    /// The store carries out an operation; its answer may be lost.
    fn apply(&mut self, proc: Proc, life: u64, tag: u64, op: StoreOp, reply: bool) {
        let result = match op {
            StoreOp::Get { key } => StoreReply::Value(self.store.get(&key).cloned()),
            StoreOp::Swap { key, index, value } => {
                let present = self.store.get(&key).map_or(0, |s| s.index);
                let fits = present == index;
                if fits {
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
                StoreReply::Swapped(fits)
            }
            StoreOp::Remove { key } => {
                self.store.remove(&key);
                StoreReply::Lost
            }
        };
        if reply {
            let delay = self.rng.random_range(300..2_000);
            self.at(delay, Event::Reply(proc, life, tag, result));
        }
    }

    fn reply(&mut self, proc: Proc, life: u64, tag: u64, reply: StoreReply) {
        if self.procs[proc].life != life {
            return;
        }
        let now = self.clock(proc);
        self.steps += 1;
        if let Some(Machine::Entry(e)) = &mut self.procs[proc].machine {
            e.handle_store_reply(now, tag, reply);
        }
        self.flush(proc);
    }

    /// How many requests wait for an answer.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Tells the entries which agents the platform calls leaving.
    pub fn set_boxes(&mut self, leaving: &std::collections::HashSet<String>) {
        for proc in 0..self.entries {
            if let Some(Machine::Entry(e)) = &mut self.procs[proc].machine {
                e.set_leaving_boxes(leaving);
            }
        }
    }
}
