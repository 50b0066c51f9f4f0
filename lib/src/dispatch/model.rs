//! The model of work: jobs, steps, tasks, what they take of a worker, and how they end.

use std::fmt;
use std::rc::Rc;

use serde::Deserialize;
use serde::Serialize;

use crate::protos::dispatch as proto;

/// A job's id, chosen by its caller.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobNumber(pub u64);

impl fmt::Display for JobNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for JobNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

/// One task of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskName {
    /// The job.
    pub job: JobNumber,
    /// Which time of a job that runs repeatedly; 0 for all others.
    pub occurrence: u32,
    /// The step, from 0.
    pub step: u32,
    /// The task within its step, from 0.
    pub index: u32,
}

impl TaskName {
    /// Reads a task's name and attempt from a message.
    pub fn from_proto(task: &proto::TaskRef) -> (TaskName, u32) {
        let name = TaskName {
            job: JobNumber(task.job),
            occurrence: task.occurrence,
            step: task.step,
            index: task.index,
        };
        (name, task.attempt)
    }

    /// This name with an attempt, as it travels.
    pub fn proto(self, attempt: u32) -> proto::TaskRef {
        proto::TaskRef {
            job: self.job.0,
            occurrence: self.occurrence,
            step: self.step,
            index: self.index,
            attempt,
        }
    }

    /// Whether both are of the same step of the same occurrence of a job.
    pub fn same_step(self, other: TaskName) -> bool {
        self.job == other.job && self.occurrence == other.occurrence && self.step == other.step
    }
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TaskName {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}

/// What a task takes of a worker, or what a worker has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Demand {
    /// Thousandths of a core.
    pub cpu_milli: u32,
    /// Memory, in MiB.
    pub memory_mb: u32,
    /// Accelerators.
    pub gpu: u32,
}

impl Demand {
    /// Both together.
    pub fn plus(self, other: Demand) -> Demand {
        Demand {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            gpu: self.gpu.saturating_add(other.gpu),
        }
    }

    /// Whether it fits into `capacity` on top of `used`.
    pub fn fits(self, used: Demand, capacity: Demand) -> bool {
        let sum = self.plus(used);
        sum.cpu_milli <= capacity.cpu_milli
            && sum.memory_mb <= capacity.memory_mb
            && sum.gpu <= capacity.gpu
    }

    /// As it travels.
    pub fn proto(self) -> proto::Demand {
        proto::Demand {
            cpu_milli: self.cpu_milli,
            memory_mb: self.memory_mb,
            gpu: self.gpu,
        }
    }

    /// Reads it from a message; an absent one is nothing.
    pub fn from_proto(demand: Option<proto::Demand>) -> Demand {
        let d = demand.unwrap_or_default();
        Demand {
            cpu_milli: d.cpu_milli,
            memory_mb: d.memory_mb,
            gpu: d.gpu,
        }
    }
}

/// Room that is left; negative where more is spoken for than there is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FreeCapacity {
    /// Thousandths of a core.
    pub cpu_milli: i64,
    /// Memory, in MiB.
    pub memory_mb: i64,
    /// Accelerators.
    pub gpu: i64,
}

impl FreeCapacity {
    /// What `capacity` leaves beside nothing else.
    pub fn of(capacity: Demand) -> FreeCapacity {
        FreeCapacity {
            cpu_milli: i64::from(capacity.cpu_milli),
            memory_mb: i64::from(capacity.memory_mb),
            gpu: i64::from(capacity.gpu),
        }
    }

    /// What is left after `demand`.
    pub fn less(self, demand: Demand) -> FreeCapacity {
        FreeCapacity {
            cpu_milli: self.cpu_milli - i64::from(demand.cpu_milli),
            memory_mb: self.memory_mb - i64::from(demand.memory_mb),
            gpu: self.gpu - i64::from(demand.gpu),
        }
    }

    /// Whether `demand` fits. What a task does not ask for does not bind it.
    pub fn holds(self, demand: Demand) -> bool {
        let fits = |free: i64, need: u32| need == 0 || i64::from(need) <= free;
        fits(self.cpu_milli, demand.cpu_milli)
            && fits(self.memory_mb, demand.memory_mb)
            && fits(self.gpu, demand.gpu)
    }
}

/// One step of a job: tasks that are alike.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// How many tasks it has.
    pub count: u32,
    /// What each takes of a worker.
    pub demand: Demand,
    /// A rough guess of a task's time, in milliseconds.
    pub estimate_ms: u32,
    /// Earlier steps that must be complete first.
    pub after: Vec<u32>,
    /// Whether a run that ends early leaves a checkpoint.
    pub saves_progress: bool,
    /// A label that the worker must have; empty for none.
    pub requirement: String,
    /// The rack that holds the data; empty for none.
    pub rack: String,
    /// At most this many of its tasks at one worker; 0 for no bound.
    pub spread: u32,
}

/// What a caller hands in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobRequest {
    /// Its id.
    pub number: JobNumber,
    /// The name of its queue in the catalog.
    pub queue: String,
    /// What its tasks run; opaque here.
    pub spec: Rc<str>,
    /// Its steps, in order.
    pub steps: Vec<Step>,
    /// How long its caller waits, in milliseconds; 0 if not said.
    pub patience_ms: u64,
    /// The id that the caller has given this call, for the logs; empty for none. A job that is
    /// handed in again comes with another one.
    pub call: Rc<str>,
}

/// Why a job's steps can not be carried out by anybody.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JobError {
    /// There are none.
    #[error("steps: a job has at least one step")]
    NoSteps,
    /// A step without tasks.
    #[error("steps/{step}/count: must be 1 to {most}, is {count}")]
    Count {
        /// The step.
        step: usize,
        /// What it says.
        count: u32,
        /// The most there may be.
        most: u32,
    },
    /// A step that comes after itself or a later one.
    #[error("steps/{step}/after: {after} is not an earlier step")]
    After {
        /// The step.
        step: usize,
        /// What it names.
        after: u32,
    },
}

/// The most tasks a step may have.
pub const MAX_TASKS: u32 = 10_000;

impl JobRequest {
    /// Checks that the steps can be followed.
    ///
    /// # Errors
    ///
    /// The first thing that is wrong, with its place.
    pub fn check(&self) -> Result<(), JobError> {
        if self.steps.is_empty() {
            return Err(JobError::NoSteps);
        }
        for (step, s) in self.steps.iter().enumerate() {
            if s.count == 0 || s.count > MAX_TASKS {
                let (count, most) = (s.count, MAX_TASKS);
                return Err(JobError::Count { step, count, most });
            }
            if let Some(after) = s.after.iter().find(|a| **a as usize >= step) {
                let after = *after;
                return Err(JobError::After { step, after });
            }
        }
        Ok(())
    }
}

/// How a task's stay at an executor ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndKind {
    /// It ran to its end.
    Done,
    /// It ran and failed.
    Failed,
    /// Its run was stopped on request.
    Stopped,
    /// Its run ended because the worker's lease ran out or the worker was lost.
    Lost,
    /// Its run stood still and was stopped.
    Stalled,
    /// It never ran: the worker takes no new tasks.
    Unavailable,
    /// It never ran: its time had passed before there was room.
    Expired,
    /// It never ran, or was stopped: another scheduler has claimed the job.
    Claimed,
    /// It never ran: there was no room when it arrived, nor would there be any soon.
    NoRoom,
    /// The worker crashed while it ran there, or it never ran, since too many have.
    Crashed,
    /// Its run was stopped to make room for a more urgent task.
    Preempted,
}

impl EndKind {
    const ALL: [EndKind; 11] = [
        EndKind::Done,
        EndKind::Failed,
        EndKind::Stopped,
        EndKind::Lost,
        EndKind::Stalled,
        EndKind::Unavailable,
        EndKind::Expired,
        EndKind::Claimed,
        EndKind::NoRoom,
        EndKind::Crashed,
        EndKind::Preempted,
    ];

    /// Its number in messages.
    pub fn code(self) -> u32 {
        self as u32 + 1
    }

    /// Its word, for logs and metrics.
    pub fn word(self) -> &'static str {
        match self {
            EndKind::Done => "done",
            EndKind::Failed => "failed",
            EndKind::Stopped => "stopped",
            EndKind::Lost => "lost",
            EndKind::Stalled => "stalled",
            EndKind::Unavailable => "unavailable",
            EndKind::Expired => "expired",
            EndKind::Claimed => "claimed",
            EndKind::NoRoom => "no-room",
            EndKind::Crashed => "crashed",
            EndKind::Preempted => "preempted",
        }
    }

    /// Reads it from a message.
    pub fn from_code(code: u32) -> Option<EndKind> {
        EndKind::ALL.into_iter().find(|k| k.code() == code)
    }
}

/// What became of a job, as its caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum JobOutcome {
    /// Every task ran to its end.
    Completed,
    /// It ran and did not succeed.
    Failed,
    /// It was cancelled.
    Cancelled,
    /// No task of it was started, nor will be; come back after this many milliseconds.
    Refused(u32),
    /// It was given up after some task had been started; nothing of it runs any more. It is not
    /// known to have failed by a fault of its own.
    GivenUp,
    /// It is not known here, or was given up while tasks may have run; it may be handed in again.
    Unknown,
}

impl JobOutcome {
    /// Its number in messages; the time to come back stands above the lowest byte.
    pub fn code(self) -> u32 {
        match self {
            JobOutcome::Completed => 1,
            JobOutcome::Failed => 2,
            JobOutcome::Cancelled => 3,
            JobOutcome::Refused(ms) => 4 | (ms.min(0xff_ffff) << 8),
            JobOutcome::Unknown => 5,
            JobOutcome::GivenUp => 6,
        }
    }

    /// Reads it from a message; what can't be read is unknown.
    pub fn from_code(code: u32) -> JobOutcome {
        match code & 0xff {
            1 => JobOutcome::Completed,
            2 => JobOutcome::Failed,
            3 => JobOutcome::Cancelled,
            4 => JobOutcome::Refused(code >> 8),
            6 => JobOutcome::GivenUp,
            _ => JobOutcome::Unknown,
        }
    }

    /// Its word, for logs and metrics.
    pub fn word(self) -> &'static str {
        match self {
            JobOutcome::Completed => "completed",
            JobOutcome::Failed => "failed",
            JobOutcome::Cancelled => "cancelled",
            JobOutcome::Refused(_) => "refused",
            JobOutcome::Unknown => "unknown",
            JobOutcome::GivenUp => "given-up",
        }
    }
}
