//! The entry's state machine: accepts jobs, owns shards, places tasks and collects answers.
//!
//! Its inputs are the methods that take the current time; its output is the list of actions that
//! [`Entry::take_actions`] returns. It does no I/O and reads no clock of its own. The submodules:
//!
//! - `requests`: routes callers' requests to the owner of their job,
//! - `submit`: decides on a job at its owner; `claims`: writes the claim of a once-only job,
//! - `placement`: sends tasks to workers and handles their answers; `account`: tracks which task is
//!   where; `ends`: ends jobs; `worker_health`: marks workers as unhealthy or recovered,
//! - `record`: reads the ownership record; `record_changes`: changes it,
//! - `takeover`: takes shards over; `handover`: hands shards over to another entry,
//! - `links`: exchanges heartbeats, grants and promises with agents and peers; `clocks`: compares
//!   the time of day,
//! - `shares`: holds and gives out shares of quotas.

mod account;
mod claims;
mod clocks;
mod ends;
mod handover;
mod links;
mod placement;
mod record;
mod record_changes;
mod requests;
mod shares;
mod submit;
mod takeover;
mod worker_health;

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
use crate::outcome::JobReply;
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

/// The settings that the entry's decisions depend on.
#[derive(Clone, Debug)]
pub struct EntrySetup {
    /// The entry's name, unique among entries.
    pub name: String,
    /// The entry's incarnation, a random number drawn when the process starts.
    pub incarnation: u64,
    /// The availability zone of the box.
    pub zone: String,
    /// The address for peers and agents, as ip:port.
    pub address: String,
    /// The address for callers, as ip:port.
    pub http: String,
    /// The number of shards in a new ownership record.
    pub shards: u32,
    /// The durations of the right to act.
    pub tenure: TenureSetup,
    /// The time between reads of the ownership record (`confirm_ms`).
    pub read_interval: Duration,
    /// The time between heartbeats to peers (`beat_ms`).
    pub heartbeat_interval: Duration,
    /// The silence after which a peer's shards are taken over (`suspect_ms`).
    pub suspect_timeout: Duration,
    /// The silence after which an agent is removed from the roster (`strike_ms`).
    pub removal_timeout: Duration,
    /// How long after the loss of an agent its tasks are given up (`grace_ms`).
    pub grace: Duration,
    /// The greatest age, by mint time, at which a job is accepted (`horizon_ms`).
    pub horizon: Duration,
    /// How far in the future a job's mint time may lie (`ahead_ms`).
    pub max_ahead: Duration,
    /// The assumed bound on the difference between the wall clocks of two boxes (`skew_ms`).
    pub skew: Duration,
    /// The longest expected wait for a slot with which a job is still accepted (`wait_ms`).
    pub max_wait: Duration,
    /// How long a request waits for its job to have a reachable owner (`park_ms`).
    pub owner_timeout: Duration,
    /// The most bytes of job bodies and answers that are held (`budget_bytes`).
    pub budget: usize,
    /// The policy by which workers are chosen.
    pub policy: Policy,
    /// The seed of the random numbers.
    pub seed: u64,
}

impl EntrySetup {
    /// Returns the default settings for an entry of this name and incarnation.
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
            read_interval: Duration::from_millis(400),
            heartbeat_interval: Duration::from_millis(300),
            suspect_timeout: Duration::from_millis(1_500),
            removal_timeout: Duration::from_secs(30),
            grace: Duration::from_secs(3),
            horizon: Duration::from_secs(900),
            max_ahead: Duration::from_secs(5),
            skew: Duration::from_millis(500),
            max_wait: Duration::from_millis(1_000),
            owner_timeout: Duration::from_secs(8),
            budget: 256 << 20,
            policy: Policy::default(),
            seed: incarnation,
        }
    }
}

/// An action that the entry requests from its host.
#[derive(Clone, Debug)]
pub enum Action {
    /// Sends a message on a link.
    Send(LinkId, Body),
    /// Answers the caller's request of this number.
    Respond(u64, JobReply),
    /// Shifts the process's time of day by this many milliseconds.
    ShiftClock(i64),
    /// Runs a store operation; [`Entry::handle_store_reply`] takes its result with the same tag.
    Store(u64, StoreOp),
    /// Logs an event.
    Log(Event),
}

/// Counts the entry's decisions, for metrics.
#[derive(Clone, Debug, Default)]
pub struct EntryCounts {
    /// Task starts sent to agents.
    pub starts: u64,
    /// Tasks that were answered or failed at their backend server.
    pub answers: u64,
    /// Requests received from callers.
    pub requests: u64,
    /// Requests forwarded to another entry.
    pub forwards: u64,
    /// Jobs ended, by the outcome's code.
    pub outcomes: [u64; 5],
    /// Answers other than a complete job, by cause.
    pub refusals: BTreeMap<&'static str, u64>,
    /// Messages of retries, recalls and late arrivals, by kind.
    pub wasted: BTreeMap<&'static str, u64>,
    /// Takeover rounds after which shards were served.
    pub takeovers: u64,
    /// Shards handed over to another entry.
    pub handovers: u64,
    /// The time from a job's arrival to the start of a task, in microseconds, summed over all starts.
    pub queue_time_us: u64,
}

/// The peer entry at the other end of a link.
#[derive(Debug)]
struct Peer {
    name: String,
    incarnation: u64,
    last_heard: Mono,
    leaving: bool,
    /// The version of the configuration in force there.
    config: u64,
    /// Since when its configuration has been older than this entry's.
    behind_since: Option<Mono>,
    /// Since when its heartbeats have named an ownership record at least as new as this entry's.
    current_since: Option<Mono>,
    /// When it began to ask for promises without a break, and when it last asked.
    ask_span: Option<(Mono, Mono)>,
    /// The number of the last `Forward` received from it.
    last_forward: u64,
    /// The number of the last heartbeat received from it, and its time of arrival.
    last_heartbeat: Option<(u64, Mono)>,
}

/// The ownership record and its roster as last read, with the record's index in the store.
#[derive(Clone, Debug)]
struct ReadRecord {
    record: Arc<OwnershipRecord>,
    roster: Arc<Roster>,
    index: u64,
}

/// A task that was sent to an agent, whether or not its job still waits for it.
#[derive(Clone, Debug)]
struct Placed {
    agent: AgentKey,
    attempt: u64,
    need: Room,
    lane: LaneName,
    at: Mono,
    until: Mono,
    shard: ShardId,
    /// The reciprocal of the expected duration of such a task, in 1/s.
    scale: f64,
}

/// The purpose of a store operation whose result is outstanding.
#[derive(Clone, Debug)]
enum PendingOp {
    ReadRecord { sent: Mono },
    ReadRoster { sent: Mono },
    WriteRoster,
    SwapRecord,
    WriteClaim(JobKey),
    ReadClaim(JobKey),
    Remove,
}

/// A change of the ownership record that is being written.
#[derive(Clone, Debug)]
struct Change {
    next: OwnershipRecord,
    roster: Option<Roster>,
    /// The store index of the record that it replaces.
    base: u64,
    /// Whether it takes a right from another entry.
    revokes_right: bool,
    /// The key of the roster that it replaces.
    old_roster: String,
}

/// A swap of the record that succeeded or may still succeed. Until the record is read again, the
/// copy at hand may be stale.
#[derive(Clone, Copy, Debug)]
struct UnconfirmedSwap {
    /// The store index of the record that it replaces.
    base: u64,
    /// Whether it takes a right from another entry.
    revokes_right: bool,
}

/// A task that was given up with its agent.
#[derive(Clone, Copy, Debug)]
struct LostTask {
    incarnation: u64,
    attempt: u64,
    shard: ShardId,
}

/// The state machine of one entry process.
#[derive(Debug)]
pub struct Entry {
    setup: EntrySetup,
    /// This entry's incarnation as a member; a new one is drawn when it rejoins.
    incarnation: u64,
    rng: ChaCha8Rng,
    names: Names,
    follower: Follower,
    /// The agents at which each service's tasks may run; a cache.
    permitted: HashMap<Arc<str>, Arc<[AgentKey]>>,
    fleet: Fleet,
    peers: BTreeMap<LinkId, Peer>,
    /// Incarnations of peers that have reported that they know this entry as a member.
    acknowledged_by: HashSet<u64>,
    joined_at: Option<Mono>,
    /// When each member was first seen in the record.
    first_seen: HashMap<u64, Mono>,
    /// Since when the roster has listed each agent.
    listed_since: HashMap<u64, Mono>,
    /// Slots of agents that could not be read back, each with the time by which their tasks have ended.
    unread_slots: HashMap<u64, (Mono, u32)>,
    /// When the link to each peer last went down.
    disconnected_at: HashMap<u64, Mono>,
    /// Since when each ring neighbour has been one; before, it sent heartbeats at the slow rate.
    neighbour_since: HashMap<u64, Mono>,
    /// The live members as last seen.
    last_live: Vec<u64>,
    started_at: Mono,
    /// The names of the quotas that each lane's tasks count against; a cache.
    quota_names: HashMap<LaneName, [Arc<str>; 2]>,
    /// The record as last read.
    read: Option<ReadRecord>,
    /// When the last successful read of the record was sent.
    last_read: Option<Mono>,
    read_due: Mono,
    reading: bool,
    /// A record that was read and whose roster is being read, with its index.
    fetched: Option<(OwnershipRecord, u64)>,
    change: Option<Change>,
    change_due: Mono,
    unconfirmed: Option<UnconfirmedSwap>,
    /// Until when this entry has promised its peers to take nothing over.
    promised_until: Mono,
    /// When the set of live members last changed.
    live_changed: Mono,
    tenure: Tenure,
    leads: Leads,
    clocks: ClockCheck,
    steps: StepWatch,
    owned_shards: OwnedShards,
    incoming: BTreeMap<ShardId, handover::Incoming>,
    outgoing: BTreeMap<ShardId, handover::Outgoing>,
    table: JobTable,
    recent_refusals: HashMap<JobId, submit::RecentRefusal>,
    placed: BTreeMap<TaskKey, Placed>,
    /// Tasks that were given up with their agent; the agent reports them if it reconnects.
    lost: BTreeMap<TaskKey, LostTask>,
    /// Tasks that may still run out of this entry's sight, each with the time until which it counts
    /// against its quotas.
    orphans: Vec<(Mono, LaneName)>,
    lanes: Lanes,
    /// Tasks that return to their lane at the given time.
    delayed: Vec<(Mono, LaneName, TaskKey)>,
    deadlines: BTreeSet<(Mono, JobKey)>,
    shares: BTreeMap<Arc<str>, Share>,
    allocators: Allocators,
    admission: Admission,
    /// The expected duration of each service's tasks, in seconds.
    expected_times: HashMap<Arc<str>, f64>,
    retries: RetryBudget,
    placer: Placer,
    requests: BTreeMap<u64, requests::Request>,
    /// Requests that wait for their shard to be served or for a lead to take effect.
    held_requests: Vec<requests::HeldRequest>,
    pending_ops: HashMap<u64, PendingOp>,
    next_tag: u64,
    next_forward: u64,
    /// The numbers and times of the last heartbeats sent.
    heartbeats: VecDeque<(u64, Mono)>,
    next_heartbeat: Mono,
    heartbeat_rounds: u32,
    plan_due: Mono,
    /// The work time, finished tasks and failed tasks of all healthy workers at the last slow tick.
    fleet_work: (f64, f64, f64),
    slow_due: Mono,
    /// When refusals were last logged, and their total at that time.
    refusals_logged: (Mono, u64),
    /// The version and content of the configuration part last sent to each agent.
    sent_parts: HashMap<AgentKey, (u64, Arc<[u8]>)>,
    /// The number of the record whose addresses were last sent on each link.
    entries_sent: HashMap<LinkId, u64>,
    leaving: bool,
    /// Accepts jobs older than the horizon; set in randomised test runs only.
    skip_horizon: bool,
    counts: EntryCounts,
    actions: Vec<Action>,
}

impl Entry {
    /// Creates an entry that has read no record and has no links.
    pub fn new(setup: EntrySetup) -> Entry {
        Entry {
            incarnation: setup.incarnation,
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            names: Names::default(),
            follower: Follower::default(),
            permitted: HashMap::new(),
            fleet: Fleet::default(),
            peers: BTreeMap::new(),
            acknowledged_by: HashSet::new(),
            joined_at: None,
            first_seen: HashMap::new(),
            listed_since: HashMap::new(),
            unread_slots: HashMap::new(),
            disconnected_at: HashMap::new(),
            neighbour_since: HashMap::new(),
            last_live: Vec::new(),
            started_at: Mono(0),
            quota_names: HashMap::new(),
            read: None,
            last_read: None,
            read_due: Mono(0),
            reading: false,
            fetched: None,
            change: None,
            change_due: Mono(0),
            unconfirmed: None,
            promised_until: Mono(0),
            live_changed: Mono(0),
            tenure: Tenure::new(setup.tenure),
            leads: Leads::new(setup.horizon),
            clocks: ClockCheck::new(setup.skew),
            steps: StepWatch::default(),
            owned_shards: OwnedShards::default(),
            incoming: BTreeMap::new(),
            outgoing: BTreeMap::new(),
            table: JobTable::default(),
            recent_refusals: HashMap::new(),
            placed: BTreeMap::new(),
            lost: BTreeMap::new(),
            orphans: Vec::new(),
            lanes: Lanes::default(),
            delayed: Vec::new(),
            deadlines: BTreeSet::new(),
            shares: BTreeMap::new(),
            allocators: Allocators::default(),
            admission: Admission::default(),
            expected_times: HashMap::new(),
            retries: RetryBudget::default(),
            placer: Placer::new(setup.policy),
            requests: BTreeMap::new(),
            held_requests: Vec::new(),
            pending_ops: HashMap::new(),
            next_tag: 0,
            next_forward: 0,
            heartbeats: VecDeque::new(),
            next_heartbeat: Mono(0),
            heartbeat_rounds: 0,
            plan_due: Mono(0),
            fleet_work: (0.0, 0.0, 0.0),
            slow_due: Mono(0),
            refusals_logged: (Mono(0), 0),
            sent_parts: HashMap::new(),
            entries_sent: HashMap::new(),
            leaving: false,
            skip_horizon: false,
            counts: EntryCounts::default(),
            actions: Vec::new(),
            setup,
        }
    }

    /// Disables one check, so that randomised runs can prove that they detect its absence.
    pub fn disable_check(&mut self, disabled: DisabledCheck) {
        self.skip_horizon = disabled == DisabledCheck::Horizon;
    }

    /// Takes the actions requested since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the counters so far.
    pub fn counts(&self) -> &EntryCounts {
        &self.counts
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Arc<Configuration> {
        self.follower.config()
    }

    /// Returns the follower of the configuration.
    pub fn follower(&self) -> &Follower {
        &self.follower
    }

    /// Returns the workers as this entry knows them.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the number of shards owned, and of those served.
    pub fn shard_counts(&self) -> (usize, usize) {
        self.owned_shards.counts()
    }

    /// Returns the number of jobs held, their bytes, and the number of tasks waiting.
    pub fn job_counts(&self) -> (usize, usize, usize) {
        let (jobs, bytes) = self.table.size();
        (jobs, bytes, self.lanes.len())
    }

    /// Returns the number of tasks placed at agents.
    pub fn placed_tasks(&self) -> usize {
        self.placed.len()
    }

    /// Returns the number of a team's tasks placed at agents.
    pub fn placed_tasks_of(&self, team: &str) -> usize {
        let of = |p: &&Placed| *p.lane.team == *team;
        self.placed.values().filter(of).count()
    }

    /// Returns the state of this entry's right to act.
    pub fn right_state(&self, now: Now) -> RightState {
        self.tenure.right_state(now.mono)
    }

    /// Returns the ownership record as last read.
    pub fn record(&self) -> Option<&Arc<OwnershipRecord>> {
        self.read.as_ref().map(|r| &r.record)
    }

    /// Returns this entry's incarnation as a member.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the entry's name.
    pub fn name(&self) -> &str {
        &self.setup.name
    }

    /// Returns the address for peers and agents.
    pub fn address(&self) -> &str {
        &self.setup.address
    }

    /// Returns the number of peers that answer and know this entry as a member.
    pub fn reachable_peers(&self, now: Now) -> usize {
        let mutual =
            |p: &&Peer| self.acknowledged_by.contains(&p.incarnation) && self.is_alive(now, p);
        self.peers.values().filter(mutual).count()
    }

    /// Returns whether the process was asked to leave.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns whether the entry is leaving and has nothing left to finish.
    pub fn is_drained(&self) -> bool {
        let member = self
            .read
            .as_ref()
            .is_some_and(|r| r.record.member(self.incarnation).is_some());
        let owns = self.owned_shards.counts().0 > 0;
        self.leaving && self.requests.is_empty() && !member && !owns
    }

    /// Starts the shutdown: hands the shards over to peers and finishes the open requests.
    pub fn leave(&mut self, now: Now) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        self.plan_due = now.mono;
        self.log(Kind::Leaving, self.setup.name.clone());
        self.send_heartbeats(now);
        self.advance(now);
    }

    /// Runs the periodic work. The host calls it about every 10 ms.
    pub fn tick(&mut self, now: Now) {
        self.observe_time(now);
        if now.mono >= self.next_heartbeat {
            self.next_heartbeat = now.mono + self.setup.heartbeat_interval;
            self.send_due_heartbeats(now);
        }
        if now.mono >= self.slow_due {
            self.slow_due = now.mono + SLOW_TICK;
            self.slow_tick(now);
        }
        self.end_due_jobs(now);
        self.requeue_delayed(now);
        self.process_requests(now);
        self.abort_late_handovers(now);
        self.advance(now);
    }

    /// Handles a new link; `hello` identifies the process at its other end.
    pub fn link_up(&mut self, now: Now, link: LinkId, hello: &wire::Hello) {
        self.observe_time(now);
        if hello.agent {
            self.agent_up(now, link, hello);
        } else {
            self.peer_up(now, link, hello);
        }
        self.advance(now);
    }

    /// Handles the loss of a link.
    pub fn link_down(&mut self, now: Now, link: LinkId) {
        self.observe_time(now);
        if let Some(peer) = self.peers.remove(&link) {
            self.disconnected_at.insert(peer.incarnation, now.mono);
            self.plan_due = now.mono;
            self.peer_down(now, link);
        } else if let Some(key) = self.fleet.link_down(link, now.mono) {
            let name = self.fleet.get(key).map(|w| w.name.to_string());
            self.log(Kind::LinkDown, name.unwrap_or_default());
        }
        self.entries_sent.remove(&link);
        self.advance(now);
    }

    /// Handles a message that was received on a link.
    pub fn handle_message(&mut self, now: Now, link: LinkId, body: Body) {
        self.observe_time(now);
        // Messages still arriving on a replaced link may be long out of date.
        if !self.peers.contains_key(&link) && self.fleet.key_by_link(link).is_none() {
            return self.count_wasted("old-link");
        }
        match body {
            Body::Renew(renew) => self.on_renew(now, link, renew),
            Body::Answer(answer) => self.on_answer(now, link, answer),
            Body::Sealed(sealed) => self.on_sealed(now, link, sealed),
            Body::Beat(beat) => self.on_heartbeat(now, link, beat),
            Body::PromiseAsk(ask) => self.on_promise_ask(now, link, ask),
            Body::Promise(promise) => self.on_promise(now, link, promise),
            Body::Forward(forward) => self.on_forward(now, link, forward),
            Body::Reply(reply) => self.on_reply(now, link, reply),
            Body::Part(part) => self.apply_config(now, part.version, part.json),
            Body::ShareAsk(ask) => self.on_share_ask(now, link, ask),
            Body::Share(share) => self.on_share(now, share),
            Body::Handover(handover) => self.on_handover(now, link, handover),
            Body::Handed(handed) => self.on_handed(now, link, handed),
            _ => {}
        }
        self.advance(now);
    }

    /// Takes in a configuration version from the store or a peer, and sends it to the agents if it is new.
    pub fn apply_config(&mut self, now: Now, version: u64, value: Bytes) {
        match self.follower.apply(version, value) {
            Ok(false) => {}
            Ok(true) => {
                self.log(Kind::ConfigInForce, format!("version {version}"));
                self.permitted.clear();
                self.send_parts(now);
                self.advance(now);
            }
            Err(e) => self.log(Kind::ConfigBad, e.to_string()),
        }
    }

    /// Marks the workers whose boxes leave; `leaving` holds the names of their agents.
    pub fn set_leaving_boxes(&mut self, leaving: &HashSet<String>) {
        for (_, worker) in self.fleet.iter_mut() {
            worker.box_leaving = leaving.contains(&*worker.name);
        }
    }

    /// Checks the clocks and the right to act. It runs before every decision, so that no expiry of
    /// the right goes unnoticed.
    fn observe_time(&mut self, now: Now) {
        if self.started_at == Mono(0) {
            self.started_at = now.mono;
        }
        self.watch_clock(now);
        let Some((before, after)) = self.tenure.observe(now.mono) else {
            return;
        };
        let kind = match (before, after) {
            (_, RightState::Expired) => Kind::RightExpired,
            (_, RightState::Promised) => Kind::RightExtended,
            (_, RightState::Confirmed) => Kind::RightRestored,
        };
        self.log(kind, String::new());
    }

    /// Does the work that an input may have made possible: serves shards, changes the record,
    /// requests shares and places tasks.
    fn advance(&mut self, now: Now) {
        self.serve_ready_shards(now);
        self.plan_change(now);
        self.request_shares(now);
        self.place_waiting(now);
    }

    fn slow_tick(&mut self, now: Now) {
        self.end_late_requests(now);
        self.update_worker_health(now);
        self.remove_lost_agents(now);
        self.expire_jobs(now);
        self.owned_shards.drop_finished_rounds();
        self.rebalance_shards(now);
        self.recall_overdue(now);
        self.release_orphans(now);
        self.forget_old_refusals(now);
        self.forget_old_clocks(now);
        self.log_refusals(now);
    }

    /// Logs the number of new refusals, at most once a second.
    fn log_refusals(&mut self, now: Now) {
        let (logged, before) = self.refusals_logged;
        let total: u64 = self.counts.refusals.values().sum();
        if total == before || now.mono < logged + Duration::from_secs(1) {
            return;
        }
        self.refusals_logged = (now.mono, total);
        self.log(Kind::RequestRefused, format!("{} requests", total - before));
    }

    fn log(&mut self, kind: Kind, detail: impl Into<String>) {
        self.actions.push(Action::Log(Event::new(kind, detail)));
    }

    fn send(&mut self, link: LinkId, body: Body) {
        self.actions.push(Action::Send(link, body));
    }

    fn store(&mut self, pending: PendingOp, op: StoreOp) {
        self.next_tag += 1;
        self.pending_ops.insert(self.next_tag, pending);
        self.actions.push(Action::Store(self.next_tag, op));
    }

    fn count_wasted(&mut self, kind: &'static str) {
        *self.counts.wasted.entry(kind).or_default() += 1;
    }

    /// Returns the outcome of a job that has not started here. It is `not_run` only while a recent
    /// read of the record confirms that no other entry owns the job.
    fn unstarted_outcome(&self, now: Now) -> Outcome {
        match self.tenure.right_state(now.mono) {
            RightState::Confirmed => Outcome::NotRun,
            RightState::Promised | RightState::Expired => Outcome::Unknown,
        }
    }

    fn shard_of(&self, job: JobId) -> Option<ShardId> {
        let read = self.read.as_ref()?;
        Some(ShardId::of(job, read.record.count()))
    }

    /// Returns the tolerance, in milliseconds, for comparing a job's mint time with a box's time.
    fn clock_allowance_ms(&self) -> u64 {
        millis(self.setup.max_ahead) + 2 * millis(self.setup.skew)
    }

    fn count_refusal(&mut self, cause: Cause) {
        *self.counts.refusals.entry(cause.name()).or_default() += 1;
    }
}

/// The time between two runs of the less urgent periodic work.
const SLOW_TICK: Duration = Duration::from_millis(100);
