//! The executor's state machine: alone in giving orders to one worker.
//!
//! It knows the worker's room exactly: room is taken when a start is sent and given back only
//! when the worker has listed the end of the run, or when a confirmed stop makes sure that there
//! is none. Schedulers hold leases here, measured on the executor's own clock from readings that
//! they echo; what runs for a scheduler whose lease is over is stopped.

mod calls;
mod claims;
mod crashes;
mod evacuation;
mod health;
mod incarnations;
mod lists;
mod preempting;
mod reports;
mod runs;
mod sessions;
mod speeds;

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::dispatch::executor::claims::Claim;
use crate::dispatch::executor::crashes::CrashMemory;
use crate::dispatch::executor::health::Health;
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

pub use crate::dispatch::executor::calls::FinishedRow;
pub use crate::dispatch::executor::calls::HoldCall;
pub use crate::dispatch::executor::calls::HoldReply;
pub use crate::dispatch::executor::calls::OrderReply;
pub use crate::dispatch::executor::calls::RunEnd;
pub use crate::dispatch::executor::calls::RunName;
pub use crate::dispatch::executor::calls::RunningRow;
pub use crate::dispatch::executor::calls::StartCall;
pub use crate::dispatch::executor::calls::StartRefusal;
pub use crate::dispatch::executor::calls::WorkerHeartbeat;
pub use crate::dispatch::executor::calls::WorkerIncarnation;
pub use crate::dispatch::executor::runs::RunState;

/// The executor's settings that concern decisions.
#[derive(Clone, Debug)]
pub struct ExecutorSetup {
    /// Its name, unique among executors.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Drawn when the process starts.
    pub incarnation: u64,
    /// When the process started.
    pub started: Mono,
    /// A fencing token above those of earlier lives.
    pub fence: u64,
    /// How long a scheduler's lease lasts from the reading it echoes.
    pub lease: Duration,
    /// How long the worker is asked to keep runs alive after a renewal. With the lease it must not
    /// last longer than schedulers wait before they hold what was placed here to be over.
    pub worker_hold: Duration,
    /// How often the worker says what it is and has.
    pub heartbeat: Duration,
    /// The figures that decide.
    pub policy: Policy,
}

/// What the executor wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message on a link.
    Send(LinkId, Box<proto::frame::Body>),
    /// Close a link.
    Close(LinkId),
    /// Send a start to the worker and hand in the reply.
    Start(StartCall),
    /// Send a stop to the worker and hand in the reply.
    Stop(String, RunName, u64),
    /// Send a hold to the worker and hand in the reply.
    Hold(HoldCall),
    /// Connect to schedulers that are not linked yet.
    Dial(Vec<proto::Member>),
    /// Keep what the worker says of itself where the next life of this process finds it; nothing
    /// if there is no worker.
    SaveHeartbeat(Option<WorkerHeartbeat>),
    /// Write a log line.
    Log(Event),
}

/// Counters, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExecutorCounts {
    /// Starts sent to the worker.
    pub starts: u64,
    /// Starts that got no answer.
    pub unanswered_starts: u64,
    /// Stops sent to the worker.
    pub stops: u64,
    /// Runs that ended whole.
    pub done: u64,
    /// Runs that failed.
    pub failed: u64,
    /// Runs that lapsed or were lost.
    pub lost: u64,
    /// Runs that were at a worker when it crashed.
    pub crashed: u64,
    /// Runs that stood still.
    pub stalled: u64,
    /// Tasks handed back without having run.
    pub returned: u64,
    /// Leases of schedulers that ran out.
    pub expired_leases: u64,
    /// Runs found at the worker that nobody here had started.
    pub unknown_runs: u64,
    /// Ends of runs that are here still, passed over since ends with higher numbers had been taken note of.
    pub skipped_ends: u64,
    /// Heartbeats that could not be read, or were not of the worker's life.
    pub rejected_heartbeats: u64,
    /// Runs that were stopped for more urgent tasks.
    pub preempted: u64,
    /// The work of theirs that was thrown away, in thousandths of a core-second.
    pub wasted_core_ms: u64,
    /// How often the worker's speed has changed for good.
    pub speed_changes: u64,
}

/// The worker's clock may be this much slow.
const LAPSE_FACTOR: f64 = 1.1;

/// The worker, in its present life.
#[derive(Debug, Default)]
struct Worker {
    heartbeat: WorkerHeartbeat,
    /// When it last said what it is and has; none in a life that only its lists have told of yet.
    last_heartbeat: Option<Mono>,
    /// Whether its lists have been read in this life, and nothing of an earlier executor runs.
    reconciled: bool,
    /// Whether it answered the last hold.
    responsive: bool,
    /// When it first failed to answer, since it last did.
    silent_since: Option<Mono>,
    clock: Option<(u64, Mono)>,
    last_end: u64,
    /// Whether something was started in this life, so that its service is one that is known.
    has_started: bool,
    /// The last heartbeat with a lower number than the newest, and when it came.
    lower_sequence: Option<(u64, Mono)>,
}

/// The executor.
pub struct Executor {
    setup: ExecutorSetup,
    worker: Option<Worker>,
    incarnations: Incarnations,
    runs: BTreeMap<TaskName, Run>,
    allocated: Demand,
    queue: VecDeque<QueuedTask>,
    sessions: BTreeMap<String, Session>,
    claims: BTreeMap<JobNumber, Claim>,
    crash_memory: CrashMemory,
    /// The number of the last end told to any scheduler. It rises over all sessions, since a
    /// scheduler may outlive its session here.
    last_end: u64,
    /// Tells apart what schedulers are told seldom.
    profile_hash: u64,
    /// The schedulers that hold leases here, by name, as they are told.
    leased: Vec<String>,
    /// The incarnations of these, as they are told.
    owners: Vec<u64>,
    /// Since when that may be out of date.
    stale_since: Option<Mono>,
    health: Health,
    /// What stops for more urgent tasks may still throw away.
    preemption_budget: LossBudget,
    /// Over all lives of the worker that this process has seen.
    speed: SpeedEstimate,
    fence: u64,
    /// How far it is raised next.
    fence_step: u64,
    /// Since when runs may be at the worker that are not known here.
    unreconciled_since: Mono,
    /// Until when runs may be alive by what was ordered, even if the worker is never asked again.
    keepalive_until: Mono,
    /// Whether no run was found at the worker before it first said anything of itself.
    verified_idle: bool,
    /// The life that is named by the hold that is under way, if it was sent before the worker
    /// said anything; empty if it names none.
    probing: Option<String>,
    /// What a worker said to an earlier life of this process. It is taken up if the worker is
    /// still in that life.
    saved_heartbeat: Option<WorkerHeartbeat>,
    hold_pending: bool,
    /// Counts holds that were sent.
    holds_sent: u64,
    next_hold: Mono,
    leaving: bool,
    /// The newest record of its availability zone.
    zone_record: ZoneRecord,
    counts: ExecutorCounts,
    timings: RunTimings,
    actions: Vec<Action>,
}

impl Executor {
    /// An executor that knows nothing of its worker yet.
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
            verified_idle: false,
            probing: None,
            saved_heartbeat: None,
            hold_pending: false,
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

    /// Takes what is to be done.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// The counters.
    pub fn counts(&self) -> ExecutorCounts {
        self.counts
    }

    /// How long runs take.
    pub fn timings(&self) -> &RunTimings {
        &self.timings
    }

    /// Tasks running, and tasks waiting here.
    pub fn task_counts(&self) -> (usize, usize) {
        (self.runs.len(), self.queue.len())
    }

    /// How many schedulers have a link here.
    pub fn linked_schedulers(&self) -> usize {
        self.sessions.values().filter(|s| s.link.is_some()).count()
    }

    /// The greeting to schedulers.
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

    /// Passing time.
    pub fn tick(&mut self, now: Mono) {
        self.expire_leases(now);
        self.expire_claims(now);
        self.crash_memory
            .expire(now, self.setup.policy.claims.memory);
        self.confirm_claims(now);
        self.expire_queued(now);
        self.resend_stops(now);
        self.stop_stalled(now);
        self.advance(now);
    }

    /// Takes nothing new; what runs goes on.
    pub fn leave(&mut self, now: Mono) {
        self.leaving = true;
        self.log(Kind::Leaving, self.setup.name.clone());
        self.return_queue(now);
        self.advance(now);
    }

    /// Whether an executor that leaves has nothing more to do, and has told so.
    pub fn is_drained(&self, now: Mono) -> bool {
        let told = |s: &Session| s.ends.is_empty() && (s.link.is_none() || s.departure_sent);
        self.has_departed(now) && self.sessions.values().all(told)
    }

    /// Whether it leaves and nothing runs at its worker, known here or not. Nothing will be started any more.
    fn has_departed(&self, now: Mono) -> bool {
        let idle = self.runs.is_empty() && self.queue.is_empty();
        self.leaving && idle && self.knows_all_runs(now)
    }

    /// Whether tasks may start. Where the worker's word is old its room may have shrunk: an executor that woke
    /// after 3.5 s began a task under the room of before.
    fn is_ready(&self, now: Mono) -> bool {
        let beats = self.setup.policy.orders.room_beats;
        let age = self.setup.heartbeat.mul_f64(beats);
        let known = |w: &Worker| w.last_heartbeat.is_some_and(|at| now.since(at) < age);
        let ready = |w: &Worker| w.reconciled && w.responsive && !w.heartbeat.draining && known(w);
        let open = !self.leaving && !self.zone_record.evacuated && !self.is_incarnation_uncertain();
        open && self.worker.as_ref().is_some_and(ready)
    }

    fn worker_id(&self) -> String {
        let life = self.worker.as_ref().map(|w| w.heartbeat.life.id.clone());
        life.unwrap_or_default()
    }

    fn capacity(&self) -> Demand {
        let capacity = self.worker.as_ref().map(|w| w.heartbeat.capacity);
        capacity.unwrap_or_default()
    }

    /// The worker's clock now, by its last answer; 0 if not known.
    fn worker_clock(&self, now: Mono) -> u64 {
        let clock = self.worker.as_ref().and_then(|w| w.clock);
        clock.map_or(0, |(ms, at)| ms + crate::clock::millis(now.since(at)))
    }

    /// The time on the worker's clock that is a span ahead; 0 if the clock is not known. An order
    /// that names it keeps all runs alive until then, whether it is answered or not.
    fn extend_deadline(&mut self, now: Mono, span: Duration) -> u64 {
        match self.worker_clock(now) {
            0 => 0,
            clock => {
                self.keepalive_until = self.keepalive_until.max(now + span.mul_f64(LAPSE_FACTOR));
                clock + crate::clock::millis(span)
            }
        }
    }

    /// What follows from the present state: starts, holds, reports.
    fn advance(&mut self, now: Mono) {
        self.start_queued(now);
        self.send_due_hold(now);
        self.send_due_updates(now);
    }

    fn send_due_hold(&mut self, now: Mono) {
        let hurried = self.worker.is_some() && self.incarnations.has_new_candidate();
        if self.hold_pending || (now < self.next_hold && !hurried) {
            return;
        }
        let Some(worker) = &self.worker else {
            return self.probe();
        };
        if let Some(life) = self.incarnations.candidate_id() {
            return self.request_lists(life);
        }
        let (life, seen) = (worker.heartbeat.life.id.clone(), worker.last_end);
        let (deadline_ms, wait) = if worker.reconciled && worker.responsive {
            (
                self.extend_deadline(now, self.setup.worker_hold),
                self.hold_wait(),
            )
        } else {
            (0, Duration::ZERO)
        };
        self.send_hold(HoldCall {
            life,
            deadline_ms,
            fence: self.fence,
            seen,
            wait,
        });
    }

    /// How long the worker may wait before it answers. Where a stop is confirmed, its lists tell
    /// that a run is gone, and the room for the next one must not wait for that.
    fn hold_wait(&self) -> Duration {
        let awaited = |run: &Run| matches!(run.state, RunState::Stopping { confirmed: Some(holds), .. } if self.holds_sent == holds);
        if self.runs.values().any(awaited) {
            return Duration::ZERO;
        }
        self.setup.policy.orders.hold_wait
    }

    /// Reads the lists of a worker that has not said anything yet, so that claims need not wait for
    /// its first heartbeat. The fencing token keeps late orders of an earlier executor from
    /// starting anything after that.
    fn probe(&mut self) {
        if self.verified_idle && self.saved_heartbeat.is_none() {
            return;
        }
        let life = self
            .saved_heartbeat
            .as_ref()
            .map(|heartbeat| heartbeat.life.id.clone());
        let life = life.unwrap_or_default();
        self.request_lists(life);
    }

    /// Reads the lists under a life that the worker may not be in.
    fn request_lists(&mut self, life: String) {
        self.probing = Some(life.clone());
        self.send_hold(HoldCall {
            life,
            deadline_ms: 0,
            fence: self.fence,
            seen: 0,
            wait: Duration::ZERO,
        });
    }

    fn send_hold(&mut self, call: HoldCall) {
        self.hold_pending = true;
        self.holds_sent += 1;
        self.actions.push(Action::Hold(call));
    }

    fn log(&mut self, kind: Kind, detail: String) {
        self.actions.push(Action::Log(Event::new(kind, detail)));
    }
}
