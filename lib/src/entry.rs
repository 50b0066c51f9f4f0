//! The entry's state machine: takes jobs, owns shards, places tasks, collects answers.
//!
//! Inputs are the methods that take the time; what is to be done comes out of
//! [`Entry::actions`]. The parts:
//!
//! - `requests`: callers' requests on their way to the owner of their job,
//! - `submit`: what the owner does with a job; `claims`: what once-only requests need first,
//! - `placing`: tasks to workers, and their answers; `account`: what runs where; `ending`: how jobs
//!   end; `watching`: workers that fall behind or are lost,
//! - `record`: reading the ownership record; `changing`: changing it; `sealing`: takeover,
//! - `handing`: handing shards over to another entry,
//! - `links`: agents and peers, heartbeats, rights and promises; `clocks`: the time of day,
//! - `shares`: quotas.

mod account;
mod changing;
mod claims;
mod clocks;
mod ending;
mod handing;
mod links;
mod placing;
mod record;
mod requests;
mod sealing;
mod shares;
mod submit;
mod watching;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::admission::Admission;
use crate::admission::RetryBudget;
use crate::clock::millis;
use crate::clock_check::ClockCheck;
use crate::clock_step::StepWatch;
use crate::configuration::Configuration;
use crate::event::Event;
use crate::event::Kind;
use crate::fleet::AgentKey;
use crate::fleet::Fleet;
use crate::follower::Follower;
use crate::job_table::JobKey;
use crate::job_table::JobTable;
use crate::lanes::LaneName;
use crate::lanes::Lanes;
use crate::lead::Leads;
use crate::names::Names;
use crate::outcome::Cause;
use crate::outcome::Verdict;
use crate::ownership::OwnershipRecord;
use crate::ownership::Roster;
use crate::placement::Placer;
use crate::placement::Policy;
use crate::prelude::*;
use crate::quota::Allocators;
use crate::quota::Share;
use crate::start_record::DisabledCheck;
use crate::store::StoreOp;
use crate::takeover::OwnedShards;
use crate::tenure::RightState;
use crate::tenure::Tenure;
use crate::tenure::TenureSetup;

pub use requests::Submission;

/// The entry's settings that concern decisions.
#[derive(Clone, Debug)]
pub struct EntrySetup {
    /// The entry's name, unique among entries.
    pub name: String,
    /// Drawn at random when the process starts.
    pub incarnation: u64,
    /// The availability zone of the box.
    pub zone: String,
    /// Where peers and agents reach it, as ip:port.
    pub address: String,
    /// Where callers reach it, as ip:port.
    pub http: String,
    /// How many shards a new ownership record gets.
    pub shards: u32,
    /// Spans of the right to act.
    pub tenure: TenureSetup,
    /// Time between reads of the ownership record.
    pub confirm: Duration,
    /// Time between heartbeats to peers.
    pub beat: Duration,
    /// A peer silent for this long is taken over from.
    pub suspect: Duration,
    /// An agent silent for this long is struck from the roster.
    pub strike: Duration,
    /// A job that waits for a lost agent ends without it after this long.
    pub grace: Duration,
    /// Jobs minted longer ago are refused.
    pub horizon: Duration,
    /// Jobs minted further ahead are refused.
    pub ahead: Duration,
    /// The bound on the difference between two boxes' wall clocks.
    pub skew: Duration,
    /// The longest wait for a slot that is taken in.
    pub wait: Duration,
    /// How long a request waits for its job to get an owner.
    pub park: Duration,
    /// How many bytes of job bodies and answers may be held.
    pub budget: usize,
    /// How workers are chosen.
    pub policy: Policy,
    /// Seed of the random numbers.
    pub seed: u64,
}

impl EntrySetup {
    /// The defaults, for an entry of this name and incarnation.
    pub fn new(name: &str, incarnation: u64) -> EntrySetup {
        EntrySetup {
            name: name.to_owned(),
            incarnation,
            zone: String::new(),
            address: String::new(),
            http: String::new(),
            shards: 64,
            tenure: TenureSetup {
                lease: Duration::from_millis(1_500),
                max_extension: Duration::from_secs(300),
                promise: Duration::from_millis(1_500),
            },
            confirm: Duration::from_millis(400),
            beat: Duration::from_millis(300),
            suspect: Duration::from_millis(1_500),
            strike: Duration::from_secs(30),
            grace: Duration::from_secs(3),
            horizon: Duration::from_secs(900),
            ahead: Duration::from_secs(5),
            skew: Duration::from_millis(500),
            wait: Duration::from_millis(1_000),
            park: Duration::from_secs(8),
            budget: 256 << 20,
            policy: Policy::default(),
            seed: incarnation,
        }
    }
}

/// What the entry wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message on a link.
    Send(LinkId, Body),
    /// Answer a caller's request.
    Respond(u64, Verdict),
    /// Carry on a time of day that is so many milliseconds later.
    ShiftClock(i64),
    /// Carry out a store operation; its end is reported by [`Entry::store_done`] with the tag.
    Store(u64, StoreOp),
    /// Log an event.
    Log(Event),
}

/// Counters of the entry's decisions, for metrics.
#[derive(Clone, Debug, Default)]
pub struct EntryCounts {
    /// Starts sent to agents.
    pub starts: u64,
    /// Tasks answered or failed at their back end.
    pub answers: u64,
    /// Requests taken in from callers.
    pub requests: u64,
    /// Requests passed on to another entry.
    pub forwards: u64,
    /// Jobs ended, by outcome's number.
    pub outcomes: [u64; 5],
    /// Refusals by cause.
    pub refusals: BTreeMap<&'static str, u64>,
    /// Wasted messages by kind.
    pub wasted: BTreeMap<&'static str, u64>,
    /// Takeover rounds served.
    pub takeovers: u64,
    /// Shards handed over.
    pub handovers: u64,
    /// Time from the arrival of a job to the start of its task, in microseconds, summed over all
    /// starts.
    pub waited_us: u64,
}

/// A peer entry at the other end of a link.
#[derive(Debug)]
struct Peer {
    name: String,
    incarnation: u64,
    heard: Mono,
    leaving: bool,
    config: u64,
    behind: Option<Mono>,
    /// Since when it has known a record as new as the one that this entry goes by.
    abreast: Option<Mono>,
    /// Since when it has asked for promises without a break, and when it asked last.
    asking: Option<(Mono, Mono)>,
    /// The number of the last `Forward` that came from it.
    forwards: u64,
    /// The last heartbeat that came from it: its number, and when it came.
    beaten: Option<(u64, Mono)>,
}

/// The record as it was read last.
#[derive(Clone, Debug)]
struct ReadRecord {
    record: Arc<OwnershipRecord>,
    roster: Arc<Roster>,
    index: u64,
}

/// A task at an agent, whether or not its job still waits for it.
#[derive(Clone, Debug)]
struct Placed {
    agent: AgentKey,
    attempt: u64,
    need: Room,
    lane: LaneName,
    at: Mono,
    until: Mono,
    shard: ShardId,
    /// 1 over the expected time of such a task, in seconds.
    scale: f64,
}

/// What a store operation was for.
#[derive(Clone, Debug)]
enum Errand {
    ReadRecord { sent: Mono },
    ReadRoster { sent: Mono },
    WriteRoster,
    SwapRecord,
    WriteClaim(JobKey),
    ReadClaim(JobKey),
    Remove,
}

/// A change of the record under way.
#[derive(Clone, Debug)]
struct Change {
    next: OwnershipRecord,
    roster: Option<Roster>,
    base: u64,
    reducing: bool,
    old_roster: String,
}

/// A swap that took place or may take place, so that what was read of the record is out of date.
#[derive(Clone, Copy, Debug)]
struct Doubt {
    /// The index that it replaces.
    base: u64,
    /// Whether it takes a right from another entry.
    reducing: bool,
}

/// A task that was lost with its agent.
#[derive(Clone, Copy, Debug)]
struct LostTask {
    incarnation: u64,
    attempt: u64,
    shard: ShardId,
}

/// The entry.
#[derive(Debug)]
pub struct Entry {
    setup: EntrySetup,
    /// This entry's incarnation as a member; drawn anew when it joins again.
    me: u64,
    rng: ChaCha8Rng,
    names: Names,
    follower: Follower,
    permitted: HashMap<Arc<str>, Arc<[AgentKey]>>,
    fleet: Fleet,
    peers: BTreeMap<LinkId, Peer>,
    knew_me: HashSet<u64>,
    joined: Option<Mono>,
    first_seen: HashMap<u64, Mono>,
    /// Since when the roster has listed each agent.
    listed: HashMap<u64, Mono>,
    /// Slots of agents that could not be read back, until their tasks have surely ended.
    unread: HashMap<u64, (Mono, u32)>,
    last_heard: HashMap<u64, Mono>,
    /// Since when each close peer is one: before, its heartbeats were rare.
    close_since: HashMap<u64, Mono>,
    last_live: Vec<u64>,
    born: Mono,
    bound_names: HashMap<LaneName, [Arc<str>; 2]>,
    read: Option<ReadRecord>,
    read_ok: Option<Mono>,
    read_due: Mono,
    reading: bool,
    fetched: Option<(OwnershipRecord, u64)>,
    change: Option<Change>,
    change_due: Mono,
    doubt: Option<Doubt>,
    promised_out: Mono,
    moved: Mono,
    tenure: Tenure,
    leads: Leads,
    clocks: ClockCheck,
    steps: StepWatch,
    holdings: OwnedShards,
    incoming: BTreeMap<ShardId, handing::Incoming>,
    handing: BTreeMap<ShardId, handing::Outgoing>,
    table: JobTable,
    refused: HashMap<JobId, submit::Refused>,
    placed: BTreeMap<TaskKey, Placed>,
    /// Tasks that were lost with their agent, which may come back and tell of them.
    lost: BTreeMap<TaskKey, LostTask>,
    ghosts: Vec<(Mono, LaneName)>,
    lanes: Lanes,
    delayed: Vec<(Mono, LaneName, TaskKey)>,
    deadlines: BTreeSet<(Mono, JobKey)>,
    shares: BTreeMap<Arc<str>, Share>,
    allocators: Allocators,
    admission: Admission,
    /// The expected time of each service's tasks, in seconds.
    expected: HashMap<Arc<str>, f64>,
    retries: RetryBudget,
    placer: Placer,
    requests: BTreeMap<u64, requests::Request>,
    /// Requests of peers for shards that are still being sealed.
    held: Vec<requests::Held>,
    errands: HashMap<u64, Errand>,
    next_tag: u64,
    next_forward: u64,
    /// The last heartbeats sent: their numbers and times.
    beats: VecDeque<(u64, Mono)>,
    next_beat: Mono,
    beats_sent: u32,
    plan_due: Mono,
    /// Time at work, tasks finished and failed of all healthy workers, looked at now and then.
    fleet_work: (f64, f64, f64),
    slow_due: Mono,
    /// When refusals were logged last, and how many there were by then.
    refusals_told: (Mono, u64),
    part_sent: HashMap<AgentKey, (u64, Arc<[u8]>)>,
    entries_sent: HashMap<LinkId, u64>,
    leaving: bool,
    /// For the randomised runs alone: takes jobs that the horizon has passed.
    forgetful: bool,
    counts: EntryCounts,
    actions: Vec<Action>,
}

impl Entry {
    /// An entry that knows nothing yet.
    pub fn new(setup: EntrySetup) -> Entry {
        Entry {
            me: setup.incarnation,
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            names: Names::default(),
            follower: Follower::default(),
            permitted: HashMap::new(),
            fleet: Fleet::default(),
            peers: BTreeMap::new(),
            knew_me: HashSet::new(),
            joined: None,
            first_seen: HashMap::new(),
            listed: HashMap::new(),
            unread: HashMap::new(),
            last_heard: HashMap::new(),
            close_since: HashMap::new(),
            last_live: Vec::new(),
            born: Mono(0),
            bound_names: HashMap::new(),
            read: None,
            read_ok: None,
            read_due: Mono(0),
            reading: false,
            fetched: None,
            change: None,
            change_due: Mono(0),
            doubt: None,
            promised_out: Mono(0),
            moved: Mono(0),
            tenure: Tenure::new(setup.tenure),
            leads: Leads::new(setup.horizon),
            clocks: ClockCheck::new(setup.skew),
            steps: StepWatch::default(),
            holdings: OwnedShards::default(),
            incoming: BTreeMap::new(),
            handing: BTreeMap::new(),
            table: JobTable::default(),
            refused: HashMap::new(),
            placed: BTreeMap::new(),
            lost: BTreeMap::new(),
            ghosts: Vec::new(),
            lanes: Lanes::default(),
            delayed: Vec::new(),
            deadlines: BTreeSet::new(),
            shares: BTreeMap::new(),
            allocators: Allocators::default(),
            admission: Admission::default(),
            expected: HashMap::new(),
            retries: RetryBudget::default(),
            placer: Placer::new(setup.policy),
            requests: BTreeMap::new(),
            held: Vec::new(),
            errands: HashMap::new(),
            next_tag: 0,
            next_forward: 0,
            beats: VecDeque::new(),
            next_beat: Mono(0),
            beats_sent: 0,
            plan_due: Mono(0),
            fleet_work: (0.0, 0.0, 0.0),
            slow_due: Mono(0),
            refusals_told: (Mono(0), 0),
            part_sent: HashMap::new(),
            entries_sent: HashMap::new(),
            leaving: false,
            forgetful: false,
            counts: EntryCounts::default(),
            actions: Vec::new(),
            setup,
        }
    }

    /// Leaves out one check, for the randomised runs.
    pub fn break_for_test(&mut self, broken: DisabledCheck) {
        self.forgetful = broken == DisabledCheck::Horizon;
    }

    /// Takes what the entry wants done.
    pub fn actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// The counters so far.
    pub fn counts(&self) -> &EntryCounts {
        &self.counts
    }

    /// The configuration in force.
    pub fn config(&self) -> &Arc<Configuration> {
        self.follower.config()
    }

    /// The follower of the configuration.
    pub fn follower(&self) -> &Follower {
        &self.follower
    }

    /// The workers.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// How many shards are owned, and how many of them served.
    pub fn shards(&self) -> (usize, usize) {
        self.holdings.counts()
    }

    /// Jobs held, their bytes, and tasks waiting.
    pub fn load(&self) -> (usize, usize, usize) {
        let (jobs, bytes) = self.table.size();
        (jobs, bytes, self.lanes.len())
    }

    /// Tasks placed at agents.
    pub fn outstanding(&self) -> usize {
        self.placed.len()
    }

    /// Tasks of a team placed at agents.
    pub fn outstanding_of(&self, team: &str) -> usize {
        let of = |p: &&Placed| *p.lane.team == *team;
        self.placed.values().filter(of).count()
    }

    /// What carries the right to act.
    pub fn standing(&self, now: Now) -> RightState {
        self.tenure.right_state(now.mono)
    }

    /// The members of the record that was read last.
    pub fn record(&self) -> Option<&Arc<OwnershipRecord>> {
        self.read.as_ref().map(|r| &r.record)
    }

    /// This entry's incarnation as a member.
    pub fn incarnation(&self) -> u64 {
        self.me
    }

    /// The entry's name.
    pub fn name(&self) -> &str {
        &self.setup.name
    }

    /// Where peers and agents reach the entry.
    pub fn address(&self) -> &str {
        &self.setup.address
    }

    /// How many peers answer and count this entry as a member.
    pub fn peers(&self, now: Now) -> usize {
        let mutual = |p: &&Peer| self.knew_me.contains(&p.incarnation) && self.alive(now, p);
        self.peers.values().filter(mutual).count()
    }

    /// Whether the process was asked to leave.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether a leaving entry has nothing left to finish.
    pub fn drained(&self) -> bool {
        let member = self
            .read
            .as_ref()
            .is_some_and(|r| r.record.member(self.me).is_some());
        let owns = self.holdings.counts().0 > 0;
        self.leaving && self.requests.is_empty() && !member && !owns
    }

    /// The process is to leave: its shards go to its peers, its callers get their answers.
    pub fn leave(&mut self, now: Now) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        self.plan_due = now.mono;
        self.log(Kind::Leaving, self.setup.name.clone());
        self.beat(now);
        self.step(now);
    }

    /// Time has passed. To be called every 10 ms or so.
    pub fn tick(&mut self, now: Now) {
        self.begin(now);
        if now.mono >= self.next_beat {
            self.next_beat = now.mono + self.setup.beat;
            self.beat_due(now);
        }
        if now.mono >= self.slow_due {
            self.slow_due = now.mono + SLOW_TICK;
            self.slow_tick(now);
        }
        self.end_due_jobs(now);
        self.requeue_delayed(now);
        self.tend_requests(now);
        self.tend_handing(now);
        self.step(now);
    }

    /// A link is up; `hello` says who is at its other end.
    pub fn link_up(&mut self, now: Now, link: LinkId, hello: &wire::Hello) {
        self.begin(now);
        if hello.agent {
            self.agent_up(now, link, hello);
        } else {
            self.peer_up(now, link, hello);
        }
        self.step(now);
    }

    /// A link is down.
    pub fn link_down(&mut self, now: Now, link: LinkId) {
        self.begin(now);
        if let Some(peer) = self.peers.remove(&link) {
            self.last_heard.insert(peer.incarnation, now.mono);
            self.plan_due = now.mono;
            self.peer_down(now, link);
        } else if let Some(key) = self.fleet.link_down(link, now.mono) {
            let name = self.fleet.get(key).map(|w| w.name.to_string());
            self.log(Kind::LinkDown, name.unwrap_or_default());
        }
        self.entries_sent.remove(&link);
        self.step(now);
    }

    /// A message came in.
    pub fn frame(&mut self, now: Now, link: LinkId, body: Body) {
        self.begin(now);
        // What still arrives on a link that was replaced may be long out of date.
        if !self.peers.contains_key(&link) && self.fleet.at(link).is_none() {
            return self.waste("old-link");
        }
        match body {
            Body::Renew(renew) => self.on_renew(now, link, renew),
            Body::Answer(answer) => self.on_answer(now, link, answer),
            Body::Sealed(sealed) => self.on_sealed(now, link, sealed),
            Body::Beat(beat) => self.on_beat(now, link, beat),
            Body::PromiseAsk(ask) => self.on_promise_ask(now, link, ask),
            Body::Promise(promise) => self.on_promise(now, link, promise),
            Body::Forward(forward) => self.on_forward(now, link, forward),
            Body::Reply(reply) => self.on_reply(now, link, reply),
            Body::Part(part) => self.configure(now, part.version, part.json),
            Body::ShareAsk(ask) => self.on_share_ask(now, link, ask),
            Body::Share(share) => self.on_share(now, share),
            Body::Handover(handover) => self.on_handover(now, link, handover),
            Body::Handed(handed) => self.on_handed(now, link, handed),
            _ => {}
        }
        self.step(now);
    }

    /// A configuration version was read from the store or came from a peer.
    pub fn configure(&mut self, now: Now, version: u64, value: Bytes) {
        match self.follower.offer(version, value) {
            Ok(false) => {}
            Ok(true) => {
                self.log(Kind::ConfigInForce, format!("version {version}"));
                self.permitted.clear();
                self.send_parts(now);
                self.step(now);
            }
            Err(e) => self.log(Kind::ConfigBad, e.to_string()),
        }
    }

    /// The platform's list of boxes was read: `leaving` are the names of agents whose boxes leave.
    pub fn boxes(&mut self, leaving: &HashSet<String>) {
        for (_, worker) in self.fleet.iter_mut() {
            worker.parting = leaving.contains(&*worker.name);
        }
    }

    /// What comes before every decision: a look at the clock.
    fn begin(&mut self, now: Now) {
        if self.born == Mono(0) {
            self.born = now.mono;
        }
        self.watch_clock(now);
        let Some((before, after)) = self.tenure.observe(now.mono) else {
            return;
        };
        let kind = match (before, after) {
            (_, RightState::Expired) => Kind::RightLapsed,
            (_, RightState::Promised) => Kind::RightExtended,
            (_, RightState::Confirmed) => Kind::RightRestored,
        };
        self.log(kind, String::new());
    }

    /// What follows every input: changes of the record, shards that can be served, tasks that can
    /// be placed.
    fn step(&mut self, now: Now) {
        self.serve_ready(now);
        self.plan_change(now);
        self.ask_shares(now);
        self.pump(now);
    }

    fn slow_tick(&mut self, now: Now) {
        self.end_late_requests(now);
        self.judge_workers(now);
        self.lose_agents(now);
        self.expire_jobs(now);
        self.holdings.forget();
        self.begin_moves(now);
        self.ask_overdue(now);
        self.release_ghosts(now);
        self.forget_refused(now);
        self.forget_clocks(now);
        self.tell_refusals(now);
    }

    /// Logs refusals at most once a second, together.
    fn tell_refusals(&mut self, now: Now) {
        let (told, before) = self.refusals_told;
        let total: u64 = self.counts.refusals.values().sum();
        if total == before || now.mono < told + Duration::from_secs(1) {
            return;
        }
        self.refusals_told = (now.mono, total);
        self.log(Kind::RequestRefused, format!("{} requests", total - before));
    }

    fn log(&mut self, kind: Kind, detail: impl Into<String>) {
        self.actions.push(Action::Log(Event::new(kind, detail)));
    }

    fn send(&mut self, link: LinkId, body: Body) {
        self.actions.push(Action::Send(link, body));
    }

    fn store(&mut self, errand: Errand, op: StoreOp) {
        self.next_tag += 1;
        self.errands.insert(self.next_tag, errand);
        self.actions.push(Action::Store(self.next_tag, op));
    }

    fn waste(&mut self, kind: &'static str) {
        *self.counts.wasted.entry(kind).or_default() += 1;
    }

    /// The outcome of a job of which nothing has started: `not_run` only while the store itself
    /// has confirmed that nobody else owns it.
    fn idle_outcome(&self, now: Now) -> Outcome {
        match self.tenure.right_state(now.mono) {
            RightState::Confirmed => Outcome::NotRun,
            RightState::Promised | RightState::Expired => Outcome::Unknown,
        }
    }

    fn shard_of(&self, job: JobId) -> Option<ShardId> {
        let read = self.read.as_ref()?;
        Some(ShardId::of(job, read.record.count()))
    }

    /// The allowance for clocks when a job's mint time is compared with a box's time.
    fn clock_allowance_ms(&self) -> u64 {
        millis(self.setup.ahead) + 2 * millis(self.setup.skew)
    }

    fn count_refusal(&mut self, cause: Cause) {
        *self.counts.refusals.entry(cause.name()).or_default() += 1;
    }
}

/// Time between looks at what changes slowly.
const SLOW_TICK: Duration = Duration::from_millis(100);
