//! The agent's state machine, the only component that starts tasks at its backend server.
//!
//! Its input is messages from entries, the results of running tasks and the current time; its
//! output is [`Action`]s. A task is queued here only while no slot is free or while its owner's
//! right is being confirmed; all other tasks are queued at their owners.

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
use crate::start_record::DisabledCheck;
use crate::start_record::Progress;
use crate::start_record::StartRecord;
use crate::start_record::StartRequest;

/// A link is closed when a heartbeat on it has been unanswered for this long.
const LINK_TIMEOUT: Duration = Duration::from_secs(6);
/// How long an entry counts as active after its last start or seal.
const ACTIVE_PERIOD: Duration = Duration::from_secs(10);

/// The settings on which the agent's decisions depend.
#[derive(Clone, Debug)]
pub struct AgentSetup {
    /// The agent's name, unique among agents.
    pub name: String,
    /// A random number drawn when the process starts; it identifies this run of the agent.
    pub incarnation: u64,
    /// The availability zone of the box.
    pub zone: String,
    /// The hall of the box.
    pub hall: String,
    /// The capacity of the backend server.
    pub room: Room,
    /// The maximum number of tasks that wait for a slot.
    pub queue: usize,
    /// The maximum age of a job; starts of older jobs are refused.
    pub horizon: Duration,
    /// The maximum difference between the wall clocks of two boxes.
    pub skew: Duration,
    /// The maximum size in bytes of all stored answers, which are kept for owners that ask again.
    pub budget: usize,
    /// The interval between requests to an active entry to confirm its right.
    pub renew: Duration,
    /// The interval between heartbeats to an entry that owns shards but sends no work.
    pub idle: Duration,
    /// The interval between heartbeats to an entry that owns no shards.
    pub standby: Duration,
}

impl AgentSetup {
    /// Returns the default settings for an agent of this name, incarnation and capacity.
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

/// An effect that the caller must carry out for the agent.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message on a link.
    Send(LinkId, Body),
    /// Send a task to the backend server. Its result must be reported with
    /// [`Agent::handle_task_end`].
    Run(RunTask),
    /// Shift the time of day that the process keeps by this many milliseconds.
    ShiftClock(i64),
    /// Log an event.
    Log(Event),
    /// Close a link.
    Close(LinkId),
    /// Maintain links to the entries that listen at these addresses.
    Entries(Vec<String>),
}

/// A task for the backend server.
#[derive(Clone, Debug)]
pub struct RunTask {
    /// The task.
    pub key: TaskKey,
    /// The name of the service, which is the last segment of the backend server's URL.
    pub service: String,
    /// The task's input as JSON.
    pub payload: Bytes,
    /// The deadline on this agent's monotonic clock. The caller must check it again right before
    /// the call to the backend server, because the process may have been paused in between.
    pub until: Mono,
}

/// The reason why a task has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunFailure {
    /// Nothing of the task reached the backend server, as the connection failed or the deadline had
    /// passed before the call.
    NeverSent(String),
    /// The call failed after the task may have run.
    Failed(String),
}

/// Counters of the agent's decisions, exported as metrics.
#[derive(Clone, Copy, Debug, Default)]
pub struct AgentCounts {
    /// Tasks sent to the backend server.
    pub started: u64,
    /// Tasks answered by the backend server.
    pub answered: u64,
    /// Tasks that failed at the backend server.
    pub failed: u64,
    /// Starts refused because the owner's right had expired or its epoch was outdated.
    pub fenced: u64,
    /// Starts refused for any other reason, and tasks of which nothing reached the backend server.
    pub refused: u64,
    /// Seals received.
    pub sealed: u64,
}

/// A link to an entry.
#[derive(Debug)]
struct EntryLink {
    /// The key of the entry's readings in the clock check.
    clock_id: u64,
    grant: Grant,
    /// When the last `Renew` was sent.
    renewed_at: Mono,
    /// When the last start or seal was received.
    last_active: Option<Mono>,
    /// Whether the entry owns no shards.
    standby: bool,
    /// When the oldest `Renew` without a reply was sent.
    unanswered: Option<Mono>,
    /// The sequence number of the last grant and when it was received.
    last_grant: Option<(u64, Mono)>,
    /// The number of starts received.
    received: u64,
}

/// A start that waits for a slot or for the confirmation of its owner's right.
#[derive(Debug)]
struct QueuedStart {
    start: wire::Start,
    request: StartRequest,
    link: LinkId,
    arrived: Mono,
    deadline: Mono,
}

/// A task that runs at the backend server.
#[derive(Debug)]
struct Running {
    shard: ShardId,
    attempt: u64,
    room: Room,
    since: Mono,
    team: String,
}

/// The agent's state machine.
#[derive(Debug)]
pub struct Agent {
    setup: AgentSetup,
    record: StartRecord,
    part: AgentPart,
    links: BTreeMap<LinkId, EntryLink>,
    /// The link to the last known owner of each shard.
    owner_links: HashMap<ShardId, LinkId>,
    queue: VecDeque<QueuedStart>,
    running: HashMap<TaskKey, Running>,
    used: Room,
    clocks: ClockCheck,
    steps: StepWatch,
    last_clock_id: u64,
    leaving: bool,
    fence_disabled: bool,
    counts: AgentCounts,
    actions: Vec<Action>,
}

impl Agent {
    /// Creates an agent with an empty start record.
    pub fn new(setup: AgentSetup) -> Agent {
        let clocks = ClockCheck::new(setup.skew);
        Agent {
            record: StartRecord::new(setup.horizon, setup.skew * 2, setup.budget),
            setup,
            part: AgentPart::default(),
            links: BTreeMap::new(),
            owner_links: HashMap::new(),
            queue: VecDeque::new(),
            running: HashMap::new(),
            used: Room::default(),
            clocks,
            steps: StepWatch::default(),
            last_clock_id: 0,
            leaving: false,
            fence_disabled: false,
            counts: AgentCounts::default(),
            actions: Vec::new(),
        }
    }

    /// Disables one check, so that randomised runs can prove that they detect its absence.
    pub fn disable_check(&mut self, disabled: DisabledCheck) {
        self.fence_disabled = disabled == DisabledCheck::Fence;
        self.record.disable_check(disabled);
    }

    /// Takes the pending actions.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the agent's name.
    pub fn name(&self) -> &str {
        &self.setup.name
    }

    /// Returns the agent's incarnation.
    pub fn incarnation(&self) -> u64 {
        self.setup.incarnation
    }

    /// Returns the counters.
    pub fn counts(&self) -> AgentCounts {
        self.counts
    }

    /// Returns the start record.
    pub fn record(&self) -> &StartRecord {
        &self.record
    }

    /// Returns the configuration version in force at this agent.
    pub fn config(&self) -> u64 {
        self.part.version
    }

    /// Returns the number of running tasks and the number of queued ones.
    pub fn task_counts(&self) -> (usize, usize) {
        (self.running.len(), self.queue.len())
    }

    /// Returns the number of running tasks of a team.
    pub fn running_of(&self, team: &str) -> usize {
        self.running.values().filter(|r| r.team == team).count()
    }

    /// Returns how far two clocks are ahead of the time of day that this agent keeps, in
    /// milliseconds: the box's clock as last logged, and the clock of the entry that differs most.
    pub fn clock_offsets_ms(&self) -> [i64; 2] {
        [self.steps.reported_ms(), self.clocks.widest_ms()]
    }

    /// Returns whether the agent is leaving and has no running or queued task.
    pub fn is_drained(&self) -> bool {
        self.leaving && self.running.is_empty() && self.queue.is_empty()
    }

    /// Registers a link to an entry and requests its right.
    pub fn link_up(&mut self, now: Now, link: LinkId) {
        self.last_clock_id += 1;
        let entry = EntryLink {
            clock_id: self.last_clock_id,
            grant: Grant::default(),
            renewed_at: now.mono,
            last_active: None,
            standby: false,
            unanswered: None,
            last_grant: None,
            received: 0,
        };
        self.links.insert(link, entry);
        self.renew(now, link);
    }

    /// Removes a link and drops the queued starts received on it; their owner asks about them with
    /// `Recall` once it is linked again.
    pub fn link_down(&mut self, link: LinkId) {
        self.links.remove(&link);
        let links = &self.links;
        let linked = |id| links.values().any(|e| e.clock_id == id);
        self.clocks.retain(linked);
        self.queue.retain(|w| w.link != link);
        self.owner_links.retain(|_, l| *l != link);
    }

    /// Begins to drain the agent: refuses queued and new starts, while running tasks finish.
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

    /// Handles the passing of time: expires jobs, sends heartbeats, closes unresponsive links and
    /// decides queued starts.
    pub fn tick(&mut self, now: Now) {
        self.record.expire(now);
        if let Some(step) = self.steps.detect_step(now.step_ms()) {
            let event = Event::new(Kind::ClockStepped, step.to_string());
            self.actions.push(Action::Log(event));
        }
        let due: Vec<LinkId> = self
            .links
            .iter()
            .filter(|(_, e)| now.mono >= e.renewed_at + self.renew_interval(now, e))
            .map(|(l, _)| *l)
            .collect();
        for link in due {
            self.renew(now, link);
        }
        self.close_unresponsive(now);
        self.start_waiting(now);
    }

    /// Handles a message from an entry. Ignores messages on links that are no longer registered.
    pub fn handle_message(&mut self, now: Now, link: LinkId, body: Body) {
        if !self.links.contains_key(&link) {
            return;
        }
        match body {
            Body::Grant(grant) => self.handle_grant(now, link, grant),
            Body::Start(start) => self.handle_start(now, link, start),
            Body::Seal(seal) => self.handle_seal(now, link, seal),
            Body::Recall(recall) => self.handle_recall(now, link, recall),
            Body::Part(part) => self.handle_part(now, link, part),
            _ => {}
        }
    }

    /// Closes links on which a heartbeat has been unanswered for too long, as half-open
    /// connections report no error.
    fn close_unresponsive(&mut self, now: Now) {
        let dead = |e: &EntryLink| e.unanswered.is_some_and(|at| now.mono >= at + LINK_TIMEOUT);
        let links = self.links.iter().filter(|(_, e)| dead(e));
        let links: Vec<LinkId> = links.map(|(l, _)| *l).collect();
        for link in links {
            self.link_down(link);
            self.actions.push(Action::Close(link));
        }
    }

    fn renew_interval(&self, now: Now, entry: &EntryLink) -> Duration {
        let is_active = entry
            .last_active
            .is_some_and(|at| now.mono < at + ACTIVE_PERIOD);
        if is_active {
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
        entry.renewed_at = now.mono;
        entry.unanswered.get_or_insert(now.mono);
        let seq = entry.grant.ask(now.mono);
        let last_grant = entry.last_grant;
        let mut renew = wire::Renew {
            seq,
            load: Some(self.load_report(link)),
            leaving: self.leaving,
            config: self.part.version,
            clock_ms: now.wall_ms,
            proven: self.clocks.is_proven(),
            ..Default::default()
        };
        if let Some((echo, at)) = last_grant {
            renew.echo = echo;
            renew.since_us = micros(now.mono.since(at));
        }
        self.send(link, Body::Renew(renew));
    }

    fn load_report(&self, link: LinkId) -> wire::Load {
        wire::Load {
            used: Some(self.used.wire()),
            queued: self.queue.len() as u32,
            seen: self.links.get(&link).map_or(0, |e| e.received),
        }
    }

    fn send(&mut self, link: LinkId, body: Body) {
        self.actions.push(Action::Send(link, body));
    }

    fn send_answer(&mut self, link: LinkId, mut answer: wire::Answer) {
        answer.load = Some(self.load_report(link));
        self.send(link, Body::Answer(answer));
    }

    fn handle_grant(&mut self, now: Now, link: LinkId, grant: wire::Grant) {
        let Some(entry) = self.links.get_mut(&link) else {
            return;
        };
        let enrolled = grant.enrolled;
        let remain = if enrolled { grant.remain_us } else { 0 };
        let span = Duration::from_micros(remain);
        entry.grant.granted(grant.seq, grant.tenure, span);
        entry.standby = grant.standby;
        entry.unanswered = None;
        let first = entry.last_grant.replace((grant.seq, now.mono)).is_none();
        let clock_id = entry.clock_id;
        let answered = entry.grant.sent_at(grant.seq).map(|sent| ClockAnswer {
            clock_ms: grant.clock_ms,
            sent,
            held: Duration::ZERO,
            proven: grant.proven,
        });
        if let Some(answered) = answered {
            self.compare_clock(now, clock_id, answered);
        }
        if first {
            // The entry may have just started; the second request lets it measure this agent's clock.
            self.renew(now, link);
        }
        if !grant.entries.is_empty() {
            self.actions.push(Action::Entries(grant.entries));
        }
        self.start_waiting(now);
    }

    /// Compares an entry's time of day with that of this agent. Adopts the fleet's time as long as
    /// the agent's own is unproven, that is, before any start was accepted under it.
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

    fn handle_part(&mut self, now: Now, link: LinkId, part: wire::Part) {
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

fn status_and_body(progress: Progress) -> (wire::Status, Bytes) {
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
