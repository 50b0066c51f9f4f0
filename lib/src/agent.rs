//! The agent's state machine: the only part that has tasks started at a backend server.
//!
//! It takes in messages from entries, the ends of running tasks and the time, and gives out
//! [`Action`]s. A task waits here only while its slot is taken or its owner's right is being
//! asked for; the owner queues the rest.

mod reports;
mod starts;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use bytes::Bytes;

use crate::clock::micros;
use crate::clock_check::ClockAnswer;
use crate::clock_check::ClockCheck;
use crate::clock_step::StepWatch;
use crate::configuration::AgentPart;
use crate::event::Event;
use crate::event::Kind;
use crate::grants::Grant;
use crate::prelude::*;
use crate::start_record::Broken;
use crate::start_record::Progress;
use crate::start_record::StartAsk;
use crate::start_record::StartRecord;

/// A link on which a heartbeat has not been answered for this long is given up.
const DEAD: Duration = Duration::from_secs(6);
/// How long an entry counts as active after its last start or seal.
const ACTIVE: Duration = Duration::from_secs(10);

/// The agent's settings that concern decisions.
#[derive(Clone, Debug)]
pub struct AgentSetup {
    /// The agent's name, unique among agents.
    pub name: String,
    /// Drawn at random when the process starts.
    pub incarnation: u64,
    /// The availability zone of the box.
    pub zone: String,
    /// The hall of the box.
    pub hall: String,
    /// What the backend server has to give.
    pub room: Room,
    /// How many tasks may wait for a slot.
    pub queue: usize,
    /// Jobs minted longer ago are refused.
    pub horizon: Duration,
    /// The bound on the difference between two boxes' wall clocks.
    pub skew: Duration,
    /// How many bytes of answers are kept for owners that ask again.
    pub budget: usize,
    /// Time between requests for the right of an active entry.
    pub renew: Duration,
    /// Time between heartbeats to an entry that owns shards and sends no work.
    pub idle: Duration,
    /// Time between heartbeats to an entry that owns no shards.
    pub standby: Duration,
}

impl AgentSetup {
    /// The defaults, for an agent of this name and incarnation.
    pub fn new(name: &str, incarnation: u64, room: Room) -> AgentSetup {
        AgentSetup {
            name: name.to_owned(),
            incarnation,
            zone: String::new(),
            hall: String::new(),
            room,
            queue: 64,
            horizon: Duration::from_secs(900),
            skew: Duration::from_millis(500),
            budget: 8 << 20,
            renew: Duration::from_millis(1_000),
            idle: Duration::from_millis(2_000),
            standby: Duration::from_millis(15_000),
        }
    }
}

/// What the agent wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message on a link.
    Send(LinkId, Body),
    /// Hand a task to the back end. Its end must be reported by [`Agent::done`].
    Run(RunTask),
    /// Carry on a time of day that is so many milliseconds later.
    ShiftClock(i64),
    /// Log an event.
    Log(Event),
    /// Close a link.
    Close(LinkId),
    /// Keep links to the entries that listen at these addresses.
    Entries(Vec<String>),
}

/// A task for the back end.
#[derive(Clone, Debug)]
pub struct RunTask {
    /// The task.
    pub key: TaskKey,
    /// The service's name, the last part of the back end's URL.
    pub service: String,
    /// The task's JSON.
    pub payload: Bytes,
    /// When to give up, on this agent's clock. Whoever carries the task out looks at the clock once
    /// more right before the call, because the process may have been paused since.
    pub until: Mono,
}

/// Why a task has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunFailure {
    /// The back end could not be connected to: nothing of the task reached it.
    NeverSent(String),
    /// The task may have run.
    Failed(String),
}

/// Counters of the agent's decisions, for metrics.
#[derive(Clone, Copy, Debug, Default)]
pub struct AgentCounts {
    /// Tasks handed to the back end.
    pub started: u64,
    /// Tasks that the back end answered.
    pub answered: u64,
    /// Tasks that failed at the back end.
    pub failed: u64,
    /// Starts refused because the right had lapsed or the epoch had passed.
    pub fenced: u64,
    /// Starts refused for any other reason.
    pub refused: u64,
    /// Seals answered.
    pub sealed: u64,
}

/// An entry at the other end of a link.
#[derive(Debug)]
struct EntryLink {
    /// The number under which its clock is noted.
    number: u64,
    grant: Grant,
    renewed: Mono,
    active: Option<Mono>,
    standby: bool,
    unanswered: Option<Mono>,
    /// The last grant: the number of the request that it answers, and when it came.
    granted: Option<(u64, Mono)>,
    seen: u64,
}

/// A start that waits for a slot or for its owner's right.
#[derive(Debug)]
struct Waiting {
    start: wire::Start,
    ask: StartAsk,
    link: LinkId,
    arrived: Mono,
    deadline: Mono,
}

/// A task at the back end.
#[derive(Debug)]
struct Running {
    shard: ShardId,
    attempt: u64,
    room: Room,
    since: Mono,
    team: String,
}

/// The agent.
#[derive(Debug)]
pub struct Agent {
    setup: AgentSetup,
    record: StartRecord,
    part: AgentPart,
    links: BTreeMap<LinkId, EntryLink>,
    holders: HashMap<ShardId, LinkId>,
    queue: VecDeque<Waiting>,
    running: HashMap<TaskKey, Running>,
    used: Room,
    clocks: ClockCheck,
    steps: StepWatch,
    next: u64,
    leaving: bool,
    unfenced: bool,
    counts: AgentCounts,
    actions: Vec<Action>,
}

impl Agent {
    /// An agent that has started nothing yet.
    pub fn new(setup: AgentSetup) -> Agent {
        let clocks = ClockCheck::new(setup.skew);
        Agent {
            record: StartRecord::new(setup.horizon, setup.skew * 2, setup.budget),
            setup,
            part: AgentPart::default(),
            links: BTreeMap::new(),
            holders: HashMap::new(),
            queue: VecDeque::new(),
            running: HashMap::new(),
            used: Room::default(),
            clocks,
            steps: StepWatch::default(),
            next: 0,
            leaving: false,
            unfenced: false,
            counts: AgentCounts::default(),
            actions: Vec::new(),
        }
    }

    /// Leaves out one check, for the randomised runs.
    pub fn break_for_test(&mut self, broken: Broken) {
        self.unfenced = broken == Broken::Fence;
        self.record.break_for_test(broken);
    }

    /// Takes what the agent wants done.
    pub fn actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// The agent's name.
    pub fn name(&self) -> &str {
        &self.setup.name
    }

    /// Its incarnation.
    pub fn incarnation(&self) -> u64 {
        self.setup.incarnation
    }

    /// The counters so far.
    pub fn counts(&self) -> AgentCounts {
        self.counts
    }

    /// The start record.
    pub fn record(&self) -> &StartRecord {
        &self.record
    }

    /// The configuration version in force here.
    pub fn config(&self) -> u64 {
        self.part.version
    }

    /// How many tasks run, and how many wait.
    pub fn busy(&self) -> (usize, usize) {
        (self.running.len(), self.queue.len())
    }

    /// How many tasks of a team run.
    pub fn running_of(&self, team: &str) -> usize {
        self.running.values().filter(|r| r.team == team).count()
    }

    /// How far the box's clock is ahead of the time that this agent carries on, and how far the
    /// clock of the entry that differs most is, in milliseconds.
    pub fn clock_gaps_ms(&self) -> [i64; 2] {
        [self.steps.reported_ms(), self.clocks.widest_ms()]
    }

    /// Whether a leaving agent has nothing left to finish.
    pub fn drained(&self) -> bool {
        self.leaving && self.running.is_empty() && self.queue.is_empty()
    }

    /// A link to an entry is up.
    pub fn link_up(&mut self, now: Now, link: LinkId) {
        self.next += 1;
        let entry = EntryLink {
            number: self.next,
            grant: Grant::default(),
            renewed: now.mono,
            active: None,
            standby: false,
            unanswered: None,
            granted: None,
            seen: 0,
        };
        self.links.insert(link, entry);
        self.renew(now, link);
    }

    /// A link is down. Starts that came by it and still wait are forgotten: their owner asks.
    pub fn link_down(&mut self, link: LinkId) {
        self.links.remove(&link);
        let links = &self.links;
        let linked = |number| links.values().any(|e| e.number == number);
        self.clocks.retain(linked);
        self.queue.retain(|w| w.link != link);
        self.holders.retain(|_, l| *l != link);
    }

    /// The process is to leave: nothing new is started, what runs is finished.
    pub fn leave(&mut self, now: Now) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        let event = Event::new(Kind::Leaving, self.setup.name.clone());
        self.actions.push(Action::Log(event));
        for waiting in std::mem::take(&mut self.queue) {
            self.refuse(now, waiting, wire::Refusal::Leaving);
        }
        let links: Vec<LinkId> = self.links.keys().copied().collect();
        for link in links {
            self.renew(now, link);
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Now) {
        self.record.expire(now);
        if let Some(step) = self.steps.detect_step(now.step_ms()) {
            let event = Event::new(Kind::ClockStepped, step.to_string());
            self.actions.push(Action::Log(event));
        }
        let due: Vec<LinkId> = self
            .links
            .iter()
            .filter(|(_, e)| now.mono >= e.renewed + self.pace(now, e))
            .map(|(l, _)| *l)
            .collect();
        for link in due {
            self.renew(now, link);
        }
        self.close_dead(now);
        self.pump(now);
    }

    /// A message came in.
    pub fn frame(&mut self, now: Now, link: LinkId, body: Body) {
        if !self.links.contains_key(&link) {
            return;
        }
        match body {
            Body::Grant(grant) => self.on_grant(now, link, grant),
            Body::Start(start) => self.on_start(now, link, start),
            Body::Seal(seal) => self.on_seal(now, link, seal),
            Body::Recall(recall) => self.on_recall(now, link, recall),
            Body::Part(part) => self.on_part(now, link, part),
            _ => {}
        }
    }

    /// Closes links on which a heartbeat has not been answered: they are half-open.
    fn close_dead(&mut self, now: Now) {
        let dead = |e: &EntryLink| e.unanswered.is_some_and(|at| now.mono >= at + DEAD);
        let links = self.links.iter().filter(|(_, e)| dead(e));
        let links: Vec<LinkId> = links.map(|(l, _)| *l).collect();
        for link in links {
            self.link_down(link);
            self.actions.push(Action::Close(link));
        }
    }

    fn pace(&self, now: Now, entry: &EntryLink) -> Duration {
        let active = entry.active.is_some_and(|at| now.mono < at + ACTIVE);
        if active {
            self.setup.renew
        } else if entry.standby {
            self.setup.standby
        } else {
            self.setup.idle
        }
    }

    fn renew(&mut self, now: Now, link: LinkId) {
        let Some(entry) = self.links.get_mut(&link) else {
            return;
        };
        entry.renewed = now.mono;
        entry.unanswered.get_or_insert(now.mono);
        let seq = entry.grant.ask(now.mono);
        let granted = entry.granted;
        let mut renew = wire::Renew {
            seq,
            load: Some(self.load(link)),
            leaving: self.leaving,
            config: self.part.version,
            clock_ms: now.wall_ms,
            proven: self.clocks.is_proven(),
            ..Default::default()
        };
        if let Some((echo, at)) = granted {
            renew.echo = echo;
            renew.since_us = micros(now.mono.since(at));
        }
        self.send(link, Body::Renew(renew));
    }

    fn load(&self, link: LinkId) -> wire::Load {
        wire::Load {
            used: Some(self.used.wire()),
            queued: self.queue.len() as u32,
            seen: self.links.get(&link).map_or(0, |e| e.seen),
        }
    }

    fn send(&mut self, link: LinkId, body: Body) {
        self.actions.push(Action::Send(link, body));
    }

    fn answer(&mut self, link: LinkId, mut answer: wire::Answer) {
        answer.load = Some(self.load(link));
        self.send(link, Body::Answer(answer));
    }

    fn on_grant(&mut self, now: Now, link: LinkId, grant: wire::Grant) {
        let Some(entry) = self.links.get_mut(&link) else {
            return;
        };
        let enrolled = grant.enrolled;
        let remain = if enrolled { grant.remain_us } else { 0 };
        let span = Duration::from_micros(remain);
        entry.grant.granted(grant.seq, grant.tenure, span);
        entry.standby = grant.standby;
        entry.unanswered = None;
        let first = entry.granted.replace((grant.seq, now.mono)).is_none();
        let number = entry.number;
        let answered = entry.grant.sent(grant.seq).map(|sent| ClockAnswer {
            clock_ms: grant.clock_ms,
            sent,
            held: Duration::ZERO,
            proven: grant.proven,
        });
        if let Some(answered) = answered {
            self.compare_clock(now, number, answered);
        }
        if first {
            // The entry may have just started, and learns the time from this.
            self.renew(now, link);
        }
        if !grant.entries.is_empty() {
            self.actions.push(Action::Entries(grant.entries));
        }
        self.pump(now);
    }

    /// Compares the time that an entry carries on with the own, and goes by the entries' time for
    /// as long as nothing was started by the own.
    fn compare_clock(&mut self, now: Now, entry: u64, answered: ClockAnswer) {
        if let Some(ahead_ms) = self.clocks.note(now, entry, answered) {
            let event = Event::new(Kind::ClockDiffers, format!("an entry's by {ahead_ms} ms"));
            self.actions.push(Action::Log(event));
        }
        let Some(shift_ms) = self.clocks.take_correction() else {
            return;
        };
        self.steps.reset();
        let event = Event::new(Kind::ClockShifted, format!("by {shift_ms} ms"));
        self.actions.push(Action::Log(event));
        self.actions.push(Action::ShiftClock(shift_ms));
    }

    fn on_part(&mut self, now: Now, link: LinkId, part: wire::Part) {
        if part.version <= self.part.version {
            return;
        }
        if part.same > 0 {
            if part.same == self.part.version {
                self.part.version = part.version;
                self.renew(now, link);
            }
            return;
        }
        match AgentPart::parse(part.version, &part.json) {
            Ok(parsed) => {
                self.part = parsed;
                self.renew(now, link);
                let event = Event::new(Kind::ConfigInForce, format!("version {}", part.version));
                self.actions.push(Action::Log(event));
            }
            Err(e) => {
                let event = Event::new(Kind::ConfigBad, e.to_string());
                self.actions.push(Action::Log(event));
            }
        }
    }
}

fn wire_progress(progress: Progress) -> (wire::Status, Bytes) {
    match progress {
        Progress::Running => (wire::Status::Running, Bytes::new()),
        Progress::Answered(body) => (wire::Status::Ok, body),
        Progress::Failed(body) => (wire::Status::Failed, body),
        Progress::Dropped => (
            wire::Status::Failed,
            Bytes::from_static(b"the answer is no longer held"),
        ),
    }
}
