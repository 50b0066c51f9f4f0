//! The scheduler's state machine: it accepts jobs from its entry, places their tasks at executors and reports
//! their outcomes. Its input is the time, requests and messages on links, its output a list of [`Action`]s;
//! it performs no I/O itself.
//!
//! A job is run by the scheduler that accepted it, unless it is handed off to a peer. Schedulers announce
//! their jobs to each other at once, so that a job that is submitted again elsewhere is followed instead of
//! run twice. If the other scheduler can't be asked, the job is first claimed at the executors: they end what
//! they run of it for other schedulers and start nothing more of it for them.

mod announcements;
mod balance;
mod bulkhead;
mod cancels;
mod catalog_sync;
mod cell;
mod claims;
mod contention;
mod evacuations;
mod executor_view;
mod executors;
mod followed_jobs;
mod handoff;
mod jobs;
mod leases;
mod leaving;
mod members;
mod metrics;
mod pace;
mod peer_links;
mod peers;
mod pending_claims;
mod placement;
mod preemption;
mod roster;
mod silence;
mod speeds;
mod submission;
mod task_ends;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;

use crate::dispatch::cancels::CancelMemory;
use crate::dispatch::catalog::CatalogIndex;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::JobOutcome;
use crate::dispatch::policy::Policy;
use crate::dispatch::scheduler::announcements::Announcements;
use crate::dispatch::scheduler::balance::Loads;
use crate::dispatch::scheduler::bulkhead::Bulkheads;
use crate::dispatch::scheduler::catalog_sync::CatalogSync;
use crate::dispatch::scheduler::cell::Cell;
use crate::dispatch::scheduler::contention::Contention;
use crate::dispatch::scheduler::executor_view::ExecutorView;
use crate::dispatch::scheduler::executors::ExecutorKey;
use crate::dispatch::scheduler::followed_jobs::FollowedJob;
use crate::dispatch::scheduler::jobs::Job;
use crate::dispatch::scheduler::leases::Leases;
use crate::dispatch::scheduler::members::Members;
use crate::dispatch::scheduler::pace::Paces;
use crate::dispatch::scheduler::peers::Peer;
use crate::dispatch::scheduler::roster::RosterSync;
use crate::dispatch::speeds::FleetSpeeds;
use crate::dispatch::timings::JobTimings;
use crate::dispatch::zones::Zones;
use crate::event::Event;
use crate::event::Kind;
use crate::prelude::*;
use crate::protos::dispatch as proto;

pub use crate::dispatch::scheduler::metrics::InformationAges;
pub use crate::dispatch::scheduler::metrics::SchedulerCounts;

/// Identity, timeouts and policy of a scheduler.
#[derive(Clone, Debug)]
pub struct SchedulerSetup {
    /// Its name, unique among schedulers.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Address at which other processes reach it.
    pub address: String,
    /// Random number drawn when the process starts.
    pub incarnation: u64,
    /// A link on which nothing arrives for this long is closed.
    pub silence: Duration,
    /// This long after an executor was last heard, nothing runs there any more for this scheduler.
    pub lapse: Duration,
    /// When the process started.
    pub started: Mono,
    /// Seed for random choices, as among equivalent workers.
    pub seed: u64,
    /// Tunable parameters of all decisions.
    pub policy: Policy,
}

/// Identifies a caller that waits for the end of a job; numbered by the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallerId(pub u64);

/// A side effect that the daemon carries out for the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message on a link.
    Send(LinkId, Box<proto::frame::Body>),
    /// Close a link.
    Close(LinkId),
    /// Tell a caller the outcome of its job.
    Answer(CallerId, JobOutcome),
    /// Connect to schedulers that were just learned of.
    Dial(Vec<proto::Member>),
    /// Write a log line.
    Log(Event),
}

/// The remote process of a link.
#[derive(Clone, Debug)]
enum LinkEnd {
    Executor(ExecutorKey),
    Peer(String),
}

/// How and when a job ended.
#[derive(Clone, Copy, Debug)]
struct Ended {
    at: Mono,
    outcome: JobOutcome,
    /// Whether any of its tasks may have been started.
    began: bool,
}

/// The state of a scheduler: its jobs, and what it knows of executors and peers.
pub struct Scheduler {
    setup: SchedulerSetup,
    catalog: CatalogSync,
    jobs: BTreeMap<JobNumber, Job>,
    /// Jobs with tasks to place, ordered by class and latest start.
    waiting: BTreeSet<(u8, Mono, JobNumber)>,
    /// Recently ended jobs, kept for `claims.memory`.
    ended: BTreeMap<JobNumber, Ended>,
    /// Jobs run by peers whose outcome callers here wait for.
    following: BTreeMap<JobNumber, FollowedJob>,
    /// Cancelled jobs, kept for `claims.memory`.
    cancels: CancelMemory,
    /// Those of them whose cancel was acknowledged here.
    own_cancels: CancelMemory,
    /// When a peer reported that it no longer has a job; kept for one lapse.
    withdrawn: BTreeMap<JobNumber, Mono>,
    /// When the claims that wait were last logged.
    claims_logged: Mono,
    /// Jobs that peers have announced.
    announced: Announcements,
    executors: SlotMap<ExecutorKey, ExecutorView>,
    /// Keys of the executors by name.
    executor_keys: HashMap<String, ExecutorKey>,
    /// The remote process of each link.
    link_ends: HashMap<LinkId, LinkEnd>,
    /// Executors with collected orders that may not have been sent yet.
    pending: Vec<ExecutorKey>,
    /// Whether the next flush checks all executors and peers for due heartbeats.
    flush_all: bool,
    /// Schedulers that hold leases at executors.
    leases: Leases,
    cell: Cell,
    contention: Contention,
    paces: Paces,
    speeds: FleetSpeeds,
    /// In a placement round: the executors at which the remaining jobs may be placed, once a held-back job
    /// has reserved the others; `None` if nothing is reserved.
    allowed_executors: Option<BTreeSet<ExecutorKey>>,
    bulkheads: Bulkheads,
    peers: BTreeMap<String, Peer>,
    /// Loads of this scheduler and of its peers.
    loads: Loads,
    /// Peers that are not linked here but hold a lease at some executor, so they may be running jobs.
    unreachable_peers: BTreeSet<String>,
    /// Whether `unreachable_peers` must be recomputed before it is used.
    unreachable_stale: bool,
    /// The latest time at which a peer may have accepted a job without announcing it here: a peer was not
    /// heard, was found to have the same job, or this process was paused.
    last_gap: Mono,
    /// The names of all executors that the store lists, once known.
    roster: Option<BTreeSet<String>>,
    roster_sync: RosterSync,
    /// Whether claims have been settled since the start of the process.
    claims_settled: bool,
    members: Members,
    /// Which availability zones are evacuated.
    zones: Zones,
    /// The edition of `zones` that was last passed on.
    zones_flushed: u64,
    /// Running mean by queue of how long tasks take relative to their estimates.
    time_ratios: HashMap<String, f64>,
    /// When the process will end, once it is leaving.
    leaving: Option<Mono>,
    /// Whether all callers were answered for the last time.
    is_closed: bool,
    last_accepted: Mono,
    rng: SmallRng,
    counts: SchedulerCounts,
    timings: JobTimings,
    actions: Vec<Action>,
    now: Mono,
    /// Since when this process has run without a pause of `claims.pause`.
    awake_since: Mono,
    /// Since when this process has run without a pause long enough for the others to close their links to it.
    /// Until it has met them again, it does not know which jobs they have.
    active_since: Mono,
}

impl Scheduler {
    /// Creates a scheduler without catalog, executors and peers.
    pub fn new(setup: SchedulerSetup) -> Scheduler {
        let rng = SmallRng::seed_from_u64(setup.seed);
        let active_since = setup.started;
        let cancels = CancelMemory::new(&setup.policy.claims);
        Scheduler {
            setup,
            catalog: CatalogSync::default(),
            jobs: BTreeMap::new(),
            waiting: BTreeSet::new(),
            ended: BTreeMap::new(),
            following: BTreeMap::new(),
            own_cancels: cancels.clone(),
            cancels,
            withdrawn: BTreeMap::new(),
            claims_logged: Mono::default(),
            announced: Announcements::default(),
            executors: SlotMap::with_key(),
            executor_keys: HashMap::new(),
            link_ends: HashMap::new(),
            pending: Vec::new(),
            flush_all: true,
            leases: Leases::default(),
            cell: Cell::default(),
            contention: Contention::default(),
            paces: Paces::default(),
            speeds: FleetSpeeds::default(),
            allowed_executors: None,
            bulkheads: Bulkheads::default(),
            peers: BTreeMap::new(),
            loads: Loads::default(),
            unreachable_peers: BTreeSet::new(),
            unreachable_stale: false,
            last_gap: Mono::default(),
            roster: None,
            roster_sync: RosterSync::default(),
            claims_settled: false,
            members: Members::default(),
            zones: Zones::default(),
            zones_flushed: 0,
            time_ratios: HashMap::new(),
            leaving: None,
            is_closed: false,
            last_accepted: Mono::default(),
            rng,
            counts: SchedulerCounts::default(),
            timings: JobTimings::default(),
            actions: Vec::new(),
            now: Mono::default(),
            awake_since: Mono::default(),
            active_since,
        }
    }

    /// Advances the clock. After a pause of this process, silence counts from now on: the others may have
    /// sent messages that were not read. After a pause of `silence`, drops all links.
    fn advance_clock(&mut self, now: Mono) {
        let has_run = self.now != Mono::default();
        let pause = now.since(self.now);
        self.now = now;
        if pause >= self.setup.policy.claims.pause {
            self.awake_since = now;
        }
        if pause >= self.setup.silence && has_run {
            self.drop_links();
        }
    }

    /// Closes all links, as the other sides have done by now: messages still queued in them are old and must
    /// not count as signs of life.
    fn drop_links(&mut self) {
        self.log(Kind::Paused, self.setup.name.clone());
        self.last_gap = self.now;
        self.active_since = self.now;
        let keys: Vec<ExecutorKey> = self.executors.keys().collect();
        for key in keys {
            let link = self.unlink_executor(key);
            self.actions.extend(link.map(Action::Close));
        }
        self.invalidate_unreachable();
        self.drop_peer_links();
    }

    /// Returns how long nothing was heard from a process last heard at `heard`, counted at the earliest from
    /// the end of this process's last pause.
    fn silence(&self, heard: Mono) -> Duration {
        self.now.since(heard.max(self.awake_since))
    }

    /// Flushes collected messages and returns the actions to carry out.
    pub fn take_actions(&mut self) -> Vec<Action> {
        self.check_closed();
        self.flush();
        std::mem::take(&mut self.actions)
    }

    /// Returns the catalog in force.
    pub fn catalog(&self) -> Option<&CatalogIndex> {
        self.catalog.index()
    }

    /// Returns the version of the catalog in force, or 0 if there is none.
    pub fn version(&self) -> u64 {
        self.catalog.version()
    }

    /// Returns whether requests should be sent here: a catalog is in force, an executor is linked, and the
    /// process is not leaving. A scheduler that has just started has to claim each job at all executors
    /// first, so it leaves requests to a settled peer in its zone if there is one: with 240 executors, the 23
    /// jobs a second of one entry would make 5,500 claims a second.
    pub fn is_ready(&self) -> bool {
        let reachable = self.executors.values().any(|e| e.link.is_some());
        let has_alternative = self.is_warming_up() && self.has_settled_neighbour();
        self.leaving.is_none() && self.catalog.index().is_some() && reachable && !has_alternative
    }

    /// Returns whether no job is held and no caller waits for a peer's job.
    pub fn is_idle(&self) -> bool {
        self.jobs.is_empty() && self.following.is_empty()
    }

    /// Returns how long ago the last job was accepted.
    pub fn quiet_time(&self, now: Mono) -> Duration {
        now.since(self.last_accepted)
    }

    /// Runs the periodic work: timeouts, claims and placement.
    pub fn tick(&mut self, now: Mono) {
        self.advance_clock(now);
        self.flush_all = true;
        self.expire_jobs();
        self.watch_executors();
        self.watch_peers();
        self.watch_catalog();
        self.request_roster();
        self.log_silent_executors();
        self.log_pending_claims();
        self.watch_bulkheads();
        self.watch_contention();
        self.drop_expired();
        self.settle_claims();
        self.place();
        self.balance_jobs();
    }

    /// Drops records of ended, announced and withdrawn jobs that have expired.
    fn drop_expired(&mut self) {
        let now = self.now;
        let memory = self.setup.policy.claims.memory;
        self.ended.retain(|_, e| now.since(e.at) < memory);
        self.announced.forget_before(now - memory);
        self.cancels.expire(now);
        self.own_cancels.expire(now);
        let lapse = self.setup.lapse;
        self.withdrawn.retain(|_, at| now.since(*at) < lapse);
    }

    /// Learns schedulers from another source, and connects to those that are new.
    pub fn add_members(&mut self, now: Mono, members: Vec<proto::Member>) {
        self.advance_clock(now);
        let own = (&self.setup.name, &self.setup.address);
        let others = members.into_iter();
        let others = others.filter(|m| m.name != *own.0 && m.address != *own.1);
        let fresh: Vec<proto::Member> = others.filter(|m| self.members.add(m)).collect();
        if !fresh.is_empty() {
            self.actions.push(Action::Dial(fresh));
        }
    }

    /// Returns the greeting that is sent first on each link.
    pub fn greeting(&self) -> proto::Greeting {
        proto::Greeting {
            executor: false,
            name: self.setup.name.clone(),
            zone: self.setup.zone.clone(),
            incarnation: self.setup.incarnation,
            address: self.setup.address.clone(),
            ..proto::Greeting::default()
        }
    }

    /// Sends the collected messages and due heartbeats to executors and peers.
    fn flush(&mut self) {
        let now = self.now;
        self.refresh_cell();
        if std::mem::take(&mut self.flush_all) {
            self.pending.clear();
            self.pending.extend(self.executors.keys());
            self.flush_executors(now);
            self.flush_peers();
            return;
        }
        self.flush_executors(now);
        if self.peers.values().any(Peer::has_pending_update) {
            self.flush_peers();
        }
    }

    /// Sends orders to the executors in `pending` for which any are due, a heartbeat included.
    fn flush_executors(&mut self, now: Mono) {
        let mut pending = std::mem::take(&mut self.pending);
        pending.retain(|key| {
            let Some(executor) = self.executors.get_mut(*key) else {
                return false;
            };
            if let Some((link, orders)) = executor.due_orders(now, &self.members, &self.zones) {
                let body = proto::frame::Body::Orders(orders);
                self.actions.push(Action::Send(link, Box::new(body)));
            }
            executor.is_pending()
        });
        self.pending = pending;
    }

    fn log(&mut self, kind: Kind, detail: String) {
        self.actions.push(Action::Log(Event::new(kind, detail)));
    }

    fn count_cause(&mut self, cause: &'static str) {
        *self.counts.causes.entry(cause).or_default() += 1;
    }
}
