//! Numbered log events: their kinds, levels and texts.
//!
//! A number never changes its meaning. `docs/EVENTS.md` lists the same events in the same order and tells
//! operators what to do; a test compares the two.

use std::fmt;

/// How urgent an event is for an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Requires an operator.
    Error,
    /// May require an operator.
    Warn,
    /// Reports a change of state.
    Info,
}

macro_rules! events {
    ($($name:ident = $number:literal, $level:ident, $text:literal;)*) => {
        /// A kind of event, with a number that never changes its meaning.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Kind { $(#[doc = $text] $name,)* }

        impl Kind {
            /// All kinds, in the order of their numbers.
            pub const ALL: &'static [Kind] = &[$(Kind::$name,)*];

            /// Returns the number of the event.
            pub fn number(self) -> u16 {
                match self { $(Kind::$name => $number,)* }
            }

            /// Returns the level at which the event is logged.
            pub fn level(self) -> Level {
                match self { $(Kind::$name => Level::$level,)* }
            }

            /// Returns the text that is the same for every event of this kind.
            pub fn text(self) -> &'static str {
                match self { $(Kind::$name => $text,)* }
            }
        }
    };
}

events! {
    Started = 100, Info, "the process started";
    Leaving = 101, Info, "the process is shutting down: it takes no new work and finishes what it has";
    Left = 102, Info, "the process has shut down";
    Reloaded = 103, Info, "the settings file has changed and was reloaded";
    ReloadFailed = 104, Error, "the settings file can't be loaded; the last valid settings stay in force";
    LinkUp = 110, Info, "a link to another process is up";
    LinkDown = 111, Warn, "a link to another process is down";
    BadFrame = 112, Warn, "a message can't be decoded; its link is closed";
    LinkEnded = 113, Warn, "the connection of a link has ended";
    LoopLate = 120, Warn, "the event loop of this process is late: it has more work than time";
    ClockStepped = 121, Warn, "the box's clock was changed; this process keeps counting from its time at the start";
    ClockDiffers = 122, Warn, "another process uses a different time of day from this one";
    ClockShifted = 123, Warn, "the box's clock was wrong at the start; this process adopts the time of the others";
    ClientBudget = 130, Info, "what clients may make this process hold is known";
    ClientsLimited = 131, Warn, "clients were refused or disconnected, so that they do not make this process hold too much";
    BodyLimitConflict = 132, Warn, "the configuration allows larger bodies than clients may make this process hold; they are refused";
    Joined = 200, Info, "this entry has joined the ownership record";
    Dropped = 201, Warn, "this entry was removed from the ownership record and rejoins";
    RightExpired = 202, Warn, "the right to start tasks has expired";
    RightRestored = 203, Info, "the right to start tasks is restored";
    RightExtended = 204, Warn, "the store is unavailable; promises of peers extend the right to start tasks";
    TakeoverStarted = 210, Warn, "the shards of a silent entry are taken over";
    ShardActive = 211, Info, "this entry now serves shards";
    ReadbackIncomplete = 212, Warn, "shards are served although an agent could not be read back";
    HandoverDone = 213, Info, "a shard was handed over to this entry";
    Rebalance = 214, Info, "shards are handed over to other entries";
    AgentEnrolled = 220, Info, "agents were added to the roster";
    AgentGone = 221, Warn, "silent agents were removed from the roster";
    RosterKnown = 222, Info, "the list of executors is known or has changed";
    FleetDivided = 223, Info, "the number of partitions of the fleet is known";
    WriteUnconfirmed = 230, Warn, "a write to the store got no answer; the record is read back";
    StoreUnavailable = 231, Warn, "the store does not answer";
    StoreRecovered = 232, Info, "the store answers again";
    BadRecord = 233, Error, "a value in the store is invalid";
    LateAnswer = 240, Info, "an answer matched no task and was dropped";
    TaskLost = 241, Warn, "a task was lost with its agent; its job ends without its result";
    StaleStart = 242, Warn, "a start was refused because the right to start tasks had expired";
    WorkerUnhealthy = 250, Warn, "a worker is unhealthy: slow, stalled or failing; it gets trial tasks only";
    WorkerRecovered = 251, Info, "a worker has recovered";
    ConfigInForce = 300, Info, "a configuration version is in force";
    ConfigBad = 301, Error, "a configuration version is invalid and was skipped";
    ConfigUnconfirmed = 302, Warn, "the store has not confirmed recently that the configuration in force is the newest";
    ConfigConfirmed = 303, Info, "the store confirms the newest configuration again";
    ZoneEvacuated = 304, Warn, "an availability zone is evacuated: no new work is started there";
    ZoneBack = 305, Info, "the evacuation of an availability zone has ended";
    RequestRefused = 310, Info, "requests were refused";
    JobTaken = 400, Info, "a job was accepted";
    JobCompleted = 401, Info, "a job is complete";
    JobFailed = 402, Info, "a job ended without success";
    JobRefused = 403, Info, "a job was refused; none of its tasks was started";
    JobFollowed = 404, Info, "a resubmitted job is followed at the scheduler that has it";
    JobClaimed = 405, Info, "a job is claimed at the executors before it runs";
    TasksPlaced = 406, Info, "tasks of a job were sent to an executor";
    JobJoined = 407, Info, "a resubmitted job joins the one that is held here or gets its outcome";
    JobHandedOff = 408, Info, "this process shuts down before a job could end; the job is handed off to a peer";
    JobForwarded = 409, Info, "a job of another partition is forwarded to a scheduler there";
    TaskRetried = 410, Info, "a task is to be placed again";
    TaskMoved = 411, Info, "a run is slow and is stopped, to run elsewhere";
    TaskCrashes = 412, Warn, "workers crash while they run a task; its job is aborted";
    QueueConfined = 413, Warn, "workers crash while they run tasks of a queue; the queue is confined to some of the workers";
    QueueReleased = 414, Info, "a queue is no longer confined";
    ForwardFailed = 415, Warn, "a request could not be forwarded to a scheduler of its partition";
    WorkerUp = 420, Info, "a worker has registered";
    WorkerReady = 421, Info, "a worker is ready for tasks";
    WorkerDraining = 422, Info, "a worker is draining and takes no new tasks";
    WorkerDown = 423, Warn, "an incarnation of a worker has ended";
    WorkerSilent = 424, Warn, "the worker does not answer";
    WorkerAnswers = 425, Info, "the worker answers again";
    InvalidHeartbeat = 426, Warn, "a heartbeat is invalid, outdated or from another worker; it is rejected";
    EndSkipped = 427, Warn, "the worker lists the end of a run under a number that was used before; the end is skipped";
    UnreadableRow = 428, Warn, "a row of the worker's lists can't be read; it names no run";
    StartUnanswered = 430, Warn, "a start got no answer; its run is stopped";
    StartRefused = 431, Info, "the worker refused a start";
    FenceRaised = 432, Warn, "the worker has seen a higher fencing token; the token is raised";
    RunStalled = 433, Warn, "a run makes no progress and is stopped";
    UnknownRun = 434, Warn, "an unknown run at the worker is stopped";
    LeaseOver = 435, Warn, "a scheduler's lease has expired; its runs are stopped";
    Paused = 436, Warn, "this process was paused for so long that the others have dropped it; it reconnects";
    RunsLost = 437, Warn, "a worker is gone or was silent for too long; what ran there is lost";
    StartUnsent = 438, Info, "a start was not sent, since the worker accepts no connections; the task is returned";
    RenewalsWithheld = 439, Warn, "the worker's runs are left to expire, because one that no lease covers may still be there";
    CancelledRefused = 440, Info, "a task was not started, since its job was cancelled; the scheduler is told";
    StartInNextLife = 441, Info, "a start was answered by a later incarnation of the worker than the one that it was sent to";
    BacklogGrew = 460, Info, "work waits for free capacity";
    BacklogCleared = 461, Info, "no work waits for free capacity any more";
    WorkAhead = 462, Info, "the backlog ahead of a job that is refused or given up";
    RunsPreempted = 465, Info, "runs are preempted by a more urgent task";
    PreemptionDenied = 466, Info, "an urgent task finds no free capacity, and no runs may be preempted for it";
    PreemptionPlanned = 467, Info, "an urgent job finds no free capacity and is placed where runs may be preempted for it";
    SpeedChanged = 470, Info, "a worker's speed has changed lastingly";
    WorkerDegraded = 471, Warn, "a worker is far slower than it usually is; it gets trial tasks only";
    WorkerSpeedRestored = 472, Info, "a worker is as fast as it usually is again";
    JobHeldBack = 473, Info, "tasks of a job wait despite free capacity, since they would be late there";
    JobRebalanced = 475, Info, "more work waits here than at peers; a job is handed off to a peer";
    EntryOverloaded = 476, Warn, "this entry is short of processor time; peers hand off no jobs to it";
    EntryRecovered = 477, Info, "this entry is no longer short of processor time";
    RosterFromPeer = 480, Info, "a peer has sent the list of executors, which could not be read from the store here";
    ExecutorBypassed = 481, Info, "jobs do not wait for a silent executor, since it is known for which schedulers it runs tasks";
    ClaimsResolved = 482, Info, "claimed jobs no longer wait for contact with other processes";
    ClaimsPending = 483, Info, "this process has just started; claimed jobs wait for contact with other processes";
    CancelDropped = 484, Warn, "more cancelled jobs are remembered than allowed; the oldest is forgotten";
    JobRevoked = 485, Info, "a cancelled job may run for a peer that can't be reached; executors are told to end it";
    CancelLearned = 486, Info, "an executor knows that a job was cancelled; the job ends here";
}

/// One occurrence of an event, as it is logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The kind of event.
    pub kind: Kind,
    /// The details of this occurrence, as text; may be empty.
    pub detail: String,
}

impl Event {
    /// Creates an occurrence with its details.
    pub fn new(kind: Kind, detail: impl Into<String>) -> Event {
        Event {
            kind,
            detail: detail.into(),
        }
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "SC{:03} {}", self.kind.number(), self.kind.text())?;
        if !self.detail.is_empty() {
            write!(f, ": {}", self.detail)?;
        }
        Ok(())
    }
}
