//! The executor's state machine: the only process that sends orders to one worker.
//!
//! Its input is messages from schedulers, heartbeats and replies from the worker, and the passing of time;
//! its output is a list of [`Action`]s. The worker's allocated capacity is exact: it is taken when a start is
//! sent, and released only when the worker lists the end of the run or when a confirmed stop rules out that
//! it runs. Schedulers hold leases, which the executor measures on its own clock from the readings that they
//! echo; runs of a scheduler whose lease has expired are stopped.

mod claims;
mod crashes;
mod evacuation;
mod health;
mod hold_replies;
mod holds;
mod incarnations;
mod preemption;
mod renewals;
mod reports;
mod runs;
mod sessions;
mod speeds;
mod worker_api;

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::dispatch::cancels::CancelMemory;
use crate::dispatch::executor::claims::Claim;
use crate::dispatch::executor::crashes::CrashMemory;
use crate::dispatch::executor::health::Health;
use crate::dispatch::executor::holds::PendingHold;
use crate::dispatch::executor::incarnations::Incarnations;
use crate::dispatch::executor::runs::QueuedTask;
use crate::dispatch::executor::runs::Run;
use crate::dispatch::executor::sessions::Session;
use crate::dispatch::model::Demand;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::TaskName;
use crate::dispatch::policy::Policy;
use crate::dispatch::preemption::LossBudget;
use crate::dispatch::speeds::SpeedEstimate;
use crate::dispatch::timings::RunTimings;
use crate::dispatch::zones::ZoneRecord;
use crate::event::Event;
use crate::event::Kind;
use crate::prelude::*;
use crate::protos::dispatch as proto;

pub use crate::dispatch::executor::runs::RunState;
pub use crate::dispatch::executor::worker_api::FinishedRow;
pub use crate::dispatch::executor::worker_api::HoldCall;
pub use crate::dispatch::executor::worker_api::HoldReply;
pub use crate::dispatch::executor::worker_api::OrderReply;
pub use crate::dispatch::executor::worker_api::RunEnd;
pub use crate::dispatch::executor::worker_api::RunName;
pub use crate::dispatch::executor::worker_api::RunningRow;
pub use crate::dispatch::executor::worker_api::StartCall;
pub use crate::dispatch::executor::worker_api::StartRefusal;
pub use crate::dispatch::executor::worker_api::WorkerHeartbeat;
pub use crate::dispatch::executor::worker_api::WorkerIncarnation;

/// The settings that the executor's decisions depend on.
#[derive(Clone, Debug)]
pub struct ExecutorSetup {
    /// The executor's name, unique among executors.
    pub name: String,
    /// The executor's availability zone.
    pub zone: String,
    /// A random number drawn when the process starts.
    pub incarnation: u64,
    /// When the process started.
    pub started: Mono,
    /// A fencing token above those of earlier incarnations.
    pub fence: u64,
    /// How long a scheduler's lease lasts from the clock reading that it echoes.
    pub lease: Duration,
    /// How long the worker keeps runs alive after a renewal. Together with `lease` it must not exceed the
    /// time after which schedulers consider the runs of a silent executor ended.
    pub worker_hold: Duration,
    /// The longest time for which the worker keeps runs alive after an order, whatever deadline it names.
    pub max_hold: Duration,
    /// The interval of the worker's heartbeats.
    pub heartbeat: Duration,
    /// The policy settings.
    pub policy: Policy,
}

/// A side effect that the caller carries out for the executor.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message on a link.
    Send(LinkId, Box<proto::frame::Body>),
    /// Close a link.
    Close(LinkId),
    /// Send a start to the worker and pass the reply to [`Executor::handle_start_reply`].
    Start(StartCall),
    /// Send a stop to the worker and pass the reply to [`Executor::handle_stop_reply`]: the id of the
    /// worker's incarnation, the run and the fencing token.
    Stop(String, RunName, u64),
    /// Send a hold to the worker and pass its number and the reply to [`Executor::handle_hold_reply`]. It may
    /// be sent while an earlier one is open.
    Hold(HoldCall),
    /// Connect to those of these schedulers that are not linked yet.
    Dial(Vec<proto::Member>),
    /// Persist the worker's heartbeat for the next incarnation of this process; `None` if there is no worker.
    SaveHeartbeat(Option<WorkerHeartbeat>),
    /// Write a log line.
    Log(Event),
}

/// Counters for the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExecutorCounts {
    /// Starts sent to the worker.
    pub starts: u64,
    /// Starts that were not answered.
    pub unanswered_starts: u64,
    /// Stops sent to the worker.
    pub stops: u64,
    /// Runs that completed.
    pub done: u64,
    /// Runs that failed.
    pub failed: u64,
    /// Runs that expired or were lost.
    pub lost: u64,
    /// Runs that were lost because the worker crashed.
    pub crashed: u64,
    /// Runs that made no progress.
    pub stalled: u64,
    /// Tasks returned without having run, and runs that ended by a stop order, a claim or a refused start.
    pub returned: u64,
    /// Leases of schedulers that expired.
    pub expired_leases: u64,
    /// How often renewals were withheld from the worker, so that all of its runs expired.
    pub withheld_renewals: u64,
    /// Runs that the worker listed and this executor had not started.
    pub unknown_runs: u64,
    /// Ends of runs that are still active here, skipped because ends with higher numbers had been processed
    /// before.
    pub skipped_ends: u64,
    /// Heartbeats that could not be parsed or were not accepted.
    pub rejected_heartbeats: u64,
    /// Runs that were preempted for more urgent tasks.
    pub preempted: u64,
    /// The work of preempted runs that was lost, in thousandths of a core-second.
    pub wasted_core_ms: u64,
    /// Lasting changes of the worker's speed.
    pub speed_changes: u64,
    /// Tasks that were not started because their job was cancelled.
    pub cancelled_tasks: u64,
    /// Cancels that were forgotten because there were too many.
    pub dropped_cancels: u64,
}

/// Allowance for a slow worker clock: a span on the worker's clock lasts at most this many times as long on
/// the executor's clock.
const CLOCK_ALLOWANCE: f64 = 1.1;

/// The worker in its current incarnation.
#[derive(Debug, Default)]
struct Worker {
    heartbeat: WorkerHeartbeat,
    /// When its last heartbeat arrived; `None` for an incarnation that is known only from the worker's lists.
    last_heartbeat: Option<Mono>,
    /// Whether its lists have been read in this incarnation and no run of an earlier executor is left.
    reconciled: bool,
    /// Whether it answers holds.
    responsive: bool,
    /// When it first failed to answer a hold, since its last answer.
    silent_since: Option<Mono>,
    /// The reading of its clock in its last answer, in milliseconds, and when the answer arrived.
    clock: Option<(u64, Mono)>,
    /// The highest number of an end that was processed.
    last_end: u64,
    /// Whether a run was started in this incarnation. From then on a heartbeat that names another service is
    /// rejected.
    has_started: bool,
    /// A heartbeat with a lower sequence number than the newest, and when it arrived.
    lower_sequence: Option<(u64, Mono)>,
}

/// The executor's state.
pub struct Executor {
    setup: ExecutorSetup,
    worker: Option<Worker>,
    incarnations: Incarnations,
    runs: BTreeMap<TaskName, Run>,
    allocated: Demand,
    queue: VecDeque<QueuedTask>,
    sessions: BTreeMap<String, Session>,
    claims: BTreeMap<JobNumber, Claim>,
    /// Cancelled jobs, kept for `claims.memory`. None of them has a claim.
    cancels: CancelMemory,
    crash_memory: CrashMemory,
    /// The number of the last end reported to any scheduler. It is counted across all sessions, since a
    /// scheduler can outlive its session.
    last_end: u64,
    /// The hash of the current profile, to send a profile only when it has changed.
    profile_hash: u64,
    /// The names of the schedulers that hold leases, as published in the profile.
    leased: Vec<String>,
    /// The incarnations of these schedulers, as published in the profile.
    owners: Vec<u64>,
    /// Since when the published leases may be outdated.
    stale_since: Option<Mono>,
    health: Health,
    /// How much work preemption may still discard.
    preemption_budget: LossBudget,
    /// The worker's speed, over all of its incarnations that this process has seen.
    speed: SpeedEstimate,
    fence: u64,
    /// By how much the fencing token is raised next.
    fence_step: u64,
    /// Since when the worker may have runs that are not known here.
    unreconciled_since: Mono,
    /// Until when runs may be alive due to orders already sent, without any further renewal.
    keepalive_until: Mono,
    /// When expired leases were last looked for.
    leases_checked: Mono,
    /// Since when the worker has refused all holds; `None` if it did not refuse the last one.
    refused_since: Option<Mono>,
    /// Since when the worker lists runs that are unknown here; `None` if its last lists had none.
    unknown_since: Option<Mono>,
    /// Whether renewals are withheld from the worker.
    withholding: bool,
    /// When no scheduler was linked for the last time, from which on cancels may have been missed.
    unlinked_at: Mono,
    /// Whether the worker was found to have no runs before its first heartbeat arrived.
    verified_idle: bool,
    /// The incarnation id in the pending hold, if that hold only requests lists; an empty id names no
    /// incarnation.
    probing: Option<String>,
    /// The last heartbeat that an earlier incarnation of this process received. It is used if the worker
    /// confirms that it is still in the incarnation that the heartbeat names.
    saved_heartbeat: Option<WorkerHeartbeat>,
    /// The newest hold, while it is not answered.
    pending_hold: Option<PendingHold>,
    /// The number of holds sent.
    holds_sent: u64,
    /// When the next hold is due.
    next_hold: Mono,
    leaving: bool,
    /// The newest record of its availability zone.
    zone_record: ZoneRecord,
    counts: ExecutorCounts,
    timings: RunTimings,
    actions: Vec<Action>,
}

impl Executor {
    /// Creates an executor that knows nothing of its worker yet.
    pub fn new(setup: ExecutorSetup) -> Executor {
        Executor {
            fence: setup.fence,
            fence_step: runs::FENCE_STEP,
            worker: None,
            incarnations: Incarnations::default(),
            runs: BTreeMap::new(),
            allocated: Demand::default(),
            queue: VecDeque::new(),
            sessions: BTreeMap::new(),
            claims: BTreeMap::new(),
            cancels: CancelMemory::new(&setup.policy.claims),
            unlinked_at: setup.started,
            crash_memory: CrashMemory::default(),
            last_end: 0,
            profile_hash: reports::hash_profile(&proto::Profile::default()),
            leased: Vec::new(),
            owners: Vec::new(),
            stale_since: None,
            health: Health::new(setup.policy.health),
            preemption_budget: LossBudget::default(),
            speed: SpeedEstimate::new(setup.policy.speeds),
            unreconciled_since: setup.started,
            keepalive_until: Mono::default(),
            leases_checked: Mono::default(),
            refused_since: None,
            unknown_since: None,
            withholding: false,
            verified_idle: false,
            probing: None,
            saved_heartbeat: None,
            pending_hold: None,
            holds_sent: 0,
            next_hold: Mono::default(),
            leaving: false,
            zone_record: ZoneRecord::default(),
            counts: ExecutorCounts::default(),
            timings: RunTimings::default(),
            actions: Vec::new(),
            setup,
        }
    }

    /// Returns the actions to carry out, and clears them.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the counters.
    pub fn counts(&self) -> ExecutorCounts {
        self.counts
    }

    /// Returns the histograms of how long runs take.
    pub fn timings(&self) -> &RunTimings {
        &self.timings
    }

    /// Returns the number of tasks that run and the number that are queued.
    pub fn task_counts(&self) -> (usize, usize) {
        (self.runs.len(), self.queue.len())
    }

    /// Returns the number of schedulers with a link to this executor.
    pub fn linked_schedulers(&self) -> usize {
        self.sessions.values().filter(|s| s.link.is_some()).count()
    }

    /// Returns the greeting that is sent to schedulers when a link opens.
    pub fn greeting(&self) -> proto::Greeting {
        proto::Greeting {
            executor: true,
            name: self.setup.name.clone(),
            zone: self.setup.zone.clone(),
            incarnation: self.setup.incarnation,
            address: String::new(),
            ..proto::Greeting::default()
        }
    }

    /// Handles everything that is due at this time.
    pub fn tick(&mut self, now: Mono) {
        self.check_leases(now);
        self.expire_claims(now);
        self.crash_memory
            .expire(now, self.setup.policy.claims.memory);
        self.confirm_claims(now);
        self.expire_queued(now);
        self.resend_stops(now);
        self.stop_stalled(now);
        self.advance(now);
    }

    /// Stops accepting tasks and returns the queued ones; runs continue.
    pub fn leave(&mut self, now: Mono) {
        self.leaving = true;
        self.log(Kind::Leaving, self.setup.name.clone());
        self.return_queue(now);
        self.advance(now);
    }

    /// Returns whether the executor leaves, has nothing left to do, and has reported that to the linked
    /// schedulers.
    pub fn is_drained(&self, now: Mono) -> bool {
        let notified = |s: &Session| s.ends.is_empty() && (s.link.is_none() || s.departure_sent);
        self.has_departed(now) && self.sessions.values().all(notified)
    }

    /// Returns whether the executor leaves and nothing runs at its worker, known here or not. From then on
    /// nothing is started.
    fn has_departed(&self, now: Mono) -> bool {
        let idle = self.runs.is_empty() && self.queue.is_empty();
        self.leaving && idle && self.knows_all_runs(now)
    }

    /// Returns whether tasks may start. The last heartbeat must be recent, since the worker's capacity may
    /// have shrunk after an old one: an executor that resumes after a pause of 3.5 s, for example, would
    /// start a task that no longer fits.
    fn is_ready(&self, now: Mono) -> bool {
        let beats = self.setup.policy.orders.room_beats;
        let age = self.setup.heartbeat.mul_f64(beats);
        let recent = |w: &Worker| w.last_heartbeat.is_some_and(|at| now.since(at) < age);
        let ready = |w: &Worker| w.reconciled && w.responsive && !w.heartbeat.draining && recent(w);
        let open = !self.leaving && !self.zone_record.evacuated && !self.is_incarnation_uncertain();
        open && self.can_keep_runs(now) && self.worker.as_ref().is_some_and(ready)
    }

    /// Returns the id of the worker's current incarnation; empty if there is none.
    fn worker_id(&self) -> String {
        let incarnation = self
            .worker
            .as_ref()
            .map(|w| w.heartbeat.incarnation.id.clone());
        incarnation.unwrap_or_default()
    }

    /// Returns the worker's current incarnation for a log line.
    fn incarnation_name(&self) -> String {
        let worker = self.worker.as_ref();
        worker.map_or_else(String::new, |w| w.heartbeat.incarnation.to_string())
    }

    /// Returns the reading of the worker's clock in its last answer, in milliseconds; 0 if unknown.
    fn worker_reading(&self) -> u64 {
        let clock = self.worker.as_ref().and_then(|w| w.clock);
        clock.map_or(0, |(ms, _)| ms)
    }

    fn capacity(&self) -> Demand {
        let capacity = self.worker.as_ref().map(|w| w.heartbeat.capacity);
        capacity.unwrap_or_default()
    }

    /// Returns the current reading of the worker's clock, extrapolated from its last answer; 0 if unknown.
    fn worker_clock(&self, now: Mono) -> u64 {
        let clock = self.worker.as_ref().and_then(|w| w.clock);
        clock.map_or(0, |(ms, at)| ms + crate::clock::millis(now.since(at)))
    }

    /// Sends the starts, holds and reports that are due in the current state.
    fn advance(&mut self, now: Mono) {
        self.check_leases(now);
        self.start_queued(now);
        self.send_due_hold(now);
        self.send_due_updates(now);
    }

    fn log(&mut self, kind: Kind, detail: String) {
        self.actions.push(Action::Log(Event::new(kind, detail)));
    }
}
