//! The scheduler's state machine: decides for the jobs that its entry was handed.
//!
//! A job stays with the scheduler it arrived at. Schedulers tell each other at once which jobs
//! they have, so that a job that is handed in again elsewhere is followed rather than run anew.
//! Where the other scheduler can't be asked, the job is claimed at the executors first: they end
//! what the other one runs of it and start nothing more of it.

mod announcements;
mod balance;
mod bulkhead;
mod catalog_sync;
mod cell;
mod claims;
mod contention;
mod ends;
mod evacuations;
mod executor_view;
mod figures;
mod fleet;
mod following;
mod handing;
mod jobs;
mod leases;
mod members;
mod pace;
mod peer_links;
mod peers;
mod placing;
mod preempting;
mod roster;
mod silent;
mod speeds;
mod submit;
mod waiting;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;

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
use crate::dispatch::scheduler::fleet::ExecutorKey;
use crate::dispatch::scheduler::following::Following;
use crate::dispatch::scheduler::following::SentCancel;
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

pub use crate::dispatch::scheduler::figures::BeliefAges;
pub use crate::dispatch::scheduler::figures::SchedulerCounts;

/// The scheduler's settings that concern decisions.
#[derive(Clone, Debug)]
pub struct SchedulerSetup {
    /// Its name, unique among schedulers.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Where other processes reach it.
    pub address: String,
    /// Drawn when the process starts.
    pub incarnation: u64,
    /// A link on which nothing arrives for so long is closed.
    pub silence: Duration,
    /// So long after an executor was last heard of, nothing runs there any more for this
    /// scheduler.
    pub lapse: Duration,
    /// When the process started.
    pub started: Mono,
    /// Seeds the choice among workers that are alike.
    pub seed: u64,
    /// The figures that decide.
    pub policy: Policy,
}

/// A caller that waits for the end of a job, numbered by the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallerId(pub u64);

/// What the scheduler wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message on a link.
    Send(LinkId, Box<proto::frame::Body>),
    /// Close a link.
    Close(LinkId),
    /// Tell a caller what became of its job.
    Answer(CallerId, JobOutcome),
    /// Connect to schedulers that are not linked yet.
    Dial(Vec<proto::Member>),
    /// Write a log line.
    Log(Event),
}

/// Who is at the other end of a link.
#[derive(Clone, Debug)]
enum LinkEnd {
    Executor(ExecutorKey),
    Peer(String),
}

#[derive(Clone, Copy, Debug)]
struct Ended {
    at: Mono,
    outcome: JobOutcome,
    /// Whether anything of it had been started here.
    began: bool,
}

/// The scheduler.
pub struct Scheduler {
    setup: SchedulerSetup,
    catalog: CatalogSync,
    jobs: BTreeMap<JobNumber, Job>,
    /// Jobs with tasks to place, by what is urgent.
    waiting: BTreeSet<(u8, Mono, JobNumber)>,
    ended: BTreeMap<JobNumber, Ended>,
    following: BTreeMap<JobNumber, Following>,
    cancels_sent: Vec<SentCancel>,
    /// When peers said that they have given jobs up.
    given_up: BTreeMap<JobNumber, Mono>,
    /// When it was told last what claims wait for.
    waiting_told: Mono,
    /// Jobs that peers have.
    announced: Announcements,
    executors: SlotMap<ExecutorKey, ExecutorView>,
    /// The executors by name.
    named: HashMap<String, ExecutorKey>,
    /// Who is at the other end of a link.
    ends: HashMap<LinkId, LinkEnd>,
    /// Executors for which something has been gathered.
    pending: Vec<ExecutorKey>,
    /// Whether heartbeats are looked at with the next flush.
    sweep: bool,
    /// How many linked executors have granted a lease to a scheduler, by its name.
    leases: Leases,
    cell: Cell,
    contention: Contention,
    paces: Paces,
    speeds: FleetSpeeds,
    /// In a round of placing: where jobs that wait by choice leave room to those behind them; none while no job does.
    spared: Option<BTreeSet<ExecutorKey>>,
    bulkheads: Bulkheads,
    peers: BTreeMap<String, Peer>,
    /// What is known of its own load and that of peers.
    loads: Loads,
    /// Peers that can't be heard here, though some executor hears them.
    doubtful: BTreeSet<String>,
    /// Whether `doubtful` is to be worked out anew before it is used.
    doubt_stale: bool,
    /// When some peer was last not heard.
    gap: Mono,
    /// The executors that there are, by the store, once that is known.
    roster: Option<BTreeSet<String>>,
    roster_sync: RosterSync,
    /// Whether claims have been settled since the start of the process.
    has_met: bool,
    members: Members,
    /// Which availability zones are evacuated.
    zones: Zones,
    /// The edition of that which was last told to others.
    zones_flushed: u64,
    /// How long tasks take against their estimates, by queue.
    learned: HashMap<String, f64>,
    /// When the process ends, once it is leaving.
    leaving: Option<Mono>,
    last_taken: Mono,
    rng: SmallRng,
    counts: SchedulerCounts,
    timings: JobTimings,
    actions: Vec<Action>,
    now: Mono,
    /// Since when this process has run without a pause.
    awake_since: Mono,
    /// Since when this process has taken part without a pause in which the others have given it
    /// up. Until it has met them again it does not know which jobs they have.
    present_since: Mono,
}

impl Scheduler {
    /// A scheduler without catalog, executors and peers.
    pub fn new(setup: SchedulerSetup) -> Scheduler {
        let rng = SmallRng::seed_from_u64(setup.seed);
        let present_since = setup.started;
        Scheduler {
            setup,
            catalog: CatalogSync::default(),
            jobs: BTreeMap::new(),
            waiting: BTreeSet::new(),
            ended: BTreeMap::new(),
            following: BTreeMap::new(),
            cancels_sent: Vec::new(),
            given_up: BTreeMap::new(),
            waiting_told: Mono::default(),
            announced: Announcements::default(),
            executors: SlotMap::with_key(),
            named: HashMap::new(),
            ends: HashMap::new(),
            pending: Vec::new(),
            sweep: true,
            leases: Leases::default(),
            cell: Cell::default(),
            contention: Contention::default(),
            paces: Paces::default(),
            speeds: FleetSpeeds::default(),
            spared: None,
            bulkheads: Bulkheads::default(),
            peers: BTreeMap::new(),
            loads: Loads::default(),
            doubtful: BTreeSet::new(),
            doubt_stale: false,
            gap: Mono::default(),
            roster: None,
            roster_sync: RosterSync::default(),
            has_met: false,
            members: Members::default(),
            zones: Zones::default(),
            zones_flushed: 0,
            learned: HashMap::new(),
            leaving: None,
            last_taken: Mono::default(),
            rng,
            counts: SchedulerCounts::default(),
            timings: JobTimings::default(),
            actions: Vec::new(),
            now: Mono::default(),
            awake_since: Mono::default(),
            present_since,
        }
    }

    /// Takes note of the time. After a pause of this process others seem to have been silent that
    /// only were not listened to.
    fn enter(&mut self, now: Mono) {
        let begun = self.now != Mono::default();
        let pause = now.since(self.now);
        self.now = now;
        if pause >= self.setup.policy.claims.pause {
            self.awake_since = now;
        }
        if pause >= self.setup.silence && begun {
            self.drop_links();
        }
    }

    /// Gives up all links, as the others have done by now: what waits in them is old, and must not
    /// be taken for a sign of life.
    fn drop_links(&mut self) {
        self.log(Kind::Paused, self.setup.name.clone());
        self.gap = self.now;
        self.present_since = self.now;
        let keys: Vec<ExecutorKey> = self.executors.keys().collect();
        for key in keys {
            let link = self.unlink_executor(key);
            self.actions.extend(link.map(Action::Close));
        }
        self.refresh_doubt();
        self.drop_peer_links();
    }

    /// For how long nothing was heard from somebody who was last heard then, while this process
    /// listened.
    fn silence(&self, heard: Mono) -> Duration {
        self.now.since(heard.max(self.awake_since))
    }

    /// Takes what is to be done.
    pub fn take_actions(&mut self) -> Vec<Action> {
        self.flush();
        std::mem::take(&mut self.actions)
    }

    /// The catalog in force.
    pub fn catalog(&self) -> Option<&CatalogIndex> {
        self.catalog.index()
    }

    /// The version of the catalog in force; 0 for none.
    pub fn version(&self) -> u64 {
        self.catalog.version()
    }

    /// Whether requests should be sent here: a catalog is in force, a worker can be reached, and
    /// the process is not leaving. One that has just started has to claim each job at all executors
    /// first, so it leaves them to a neighbour that need not: beside 240 executors the 23 jobs a second
    /// of one entry would make 5,500 claims.
    pub fn is_ready(&self) -> bool {
        let reachable = self.executors.values().any(|e| e.link.is_some());
        let better_elsewhere = self.is_young() && self.has_settled_neighbour();
        self.leaving.is_none() && self.catalog.index().is_some() && reachable && !better_elsewhere
    }

    /// Whether no job is held and nobody waits.
    pub fn is_idle(&self) -> bool {
        self.jobs.is_empty() && self.following.is_empty()
    }

    /// Begins to leave: not ready any more. What still comes is served if it can end in time.
    pub fn leave(&mut self, now: Mono, ends_at: Mono) {
        self.enter(now);
        self.leaving = Some(ends_at);
        self.log(Kind::Leaving, self.setup.name.clone());
    }

    /// Whether it has been asked to leave.
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_some()
    }

    /// Whether a job can't be expected to end before this process does.
    fn ends_too_late(&self, job: &Job) -> bool {
        let whole = job.chain.iter().copied().max().unwrap_or_default();
        let needed = whole.mul_f64(self.setup.policy.leaving.room_to_end)
            + self.setup.policy.reports.heartbeat;
        self.leaving.is_some_and(|at| self.now + needed > at)
    }

    /// How long no job has been taken.
    pub fn untaken(&self, now: Mono) -> Duration {
        now.since(self.last_taken)
    }

    /// Gives up all that is held, so that every caller has an answer.
    pub fn abandon(&mut self, now: Mono) {
        self.enter(now);
        let numbers: Vec<JobNumber> = self.jobs.keys().copied().collect();
        for number in numbers {
            self.give_up(number, "leaving");
        }
        for (_, following) in std::mem::take(&mut self.following) {
            for caller in following.callers {
                self.actions
                    .push(Action::Answer(caller, JobOutcome::Unknown));
            }
        }
    }

    /// Passing time.
    pub fn tick(&mut self, now: Mono) {
        self.enter(now);
        self.sweep = true;
        self.expire_jobs();
        self.watch_executors();
        self.watch_peers();
        self.watch_catalog();
        self.seek_roster();
        self.note_silent();
        self.tell_waiting();
        self.watch_bulkheads();
        self.watch_contention();
        self.forget();
        self.settle_claims();
        self.place();
        self.balance_jobs();
    }

    fn forget(&mut self) {
        let now = self.now;
        let memory = self.setup.policy.claims.memory;
        self.ended.retain(|_, e| now.since(e.at) < memory);
        self.announced.forget_before(now - memory);
        let lapse = self.setup.lapse;
        self.given_up.retain(|_, at| now.since(*at) < lapse);
    }

    /// Names members that were learned elsewhere.
    pub fn add_members(&mut self, now: Mono, members: Vec<proto::Member>) {
        self.enter(now);
        let own = (&self.setup.name, &self.setup.address);
        let others = members.into_iter();
        let others = others.filter(|m| m.name != *own.0 && m.address != *own.1);
        let fresh: Vec<proto::Member> = others.filter(|m| self.members.note(m)).collect();
        if !fresh.is_empty() {
            self.actions.push(Action::Dial(fresh));
        }
    }

    /// The greeting to executors and peers.
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

    /// Sends what has been gathered for executors and peers.
    fn flush(&mut self) {
        let now = self.now;
        self.refresh_cell();
        if std::mem::take(&mut self.sweep) {
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

    /// Sends what is due to the executors for which something has been gathered, or a heartbeat may
    /// be due.
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
