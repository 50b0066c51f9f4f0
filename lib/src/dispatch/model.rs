//! The data model of the dispatch plane: jobs, steps and tasks, the resources that they need, and how they
//! end.
//!
//! Converts these types from and to messages. The numbers of [`EndKind`] and [`JobOutcome`] are part of the
//! wire format.

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

/// Identifies one task of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskName {
    /// The job that the task belongs to.
    pub job: JobNumber,
    /// The repetition of a job that runs repeatedly; 0 for all other jobs.
    pub occurrence: u32,
    /// The index of the step, from 0.
    pub step: u32,
    /// The index of the task within its step, from 0.
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

    /// Converts this name and an attempt to a message.
    pub fn proto(self, attempt: u32) -> proto::TaskRef {
        proto::TaskRef {
            job: self.job.0,
            occurrence: self.occurrence,
            step: self.step,
            index: self.index,
            attempt,
        }
    }

    /// Returns whether both tasks belong to the same step and the same occurrence of a job.
    pub fn is_same_step(self, other: TaskName) -> bool {
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

/// Resources that a task needs or that a worker has.
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
    /// Returns the sum of both, saturating.
    pub fn plus(self, other: Demand) -> Demand {
        Demand {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            gpu: self.gpu.saturating_add(other.gpu),
        }
    }

    /// Returns whether this demand fits into `capacity` in addition to `used`.
    pub fn fits(self, used: Demand, capacity: Demand) -> bool {
        let sum = self.plus(used);
        sum.cpu_milli <= capacity.cpu_milli
            && sum.memory_mb <= capacity.memory_mb
            && sum.gpu <= capacity.gpu
    }

    /// Converts the demand to a message.
    pub fn proto(self) -> proto::Demand {
        proto::Demand {
            cpu_milli: self.cpu_milli,
            memory_mb: self.memory_mb,
            gpu: self.gpu,
        }
    }

    /// Reads a demand from a message; an absent one is zero.
    pub fn from_proto(demand: Option<proto::Demand>) -> Demand {
        let d = demand.unwrap_or_default();
        Demand {
            cpu_milli: d.cpu_milli,
            memory_mb: d.memory_mb,
            gpu: d.gpu,
        }
    }
}

/// Free capacity of a worker; negative where more is reserved than the worker has.
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
    /// Returns the free capacity of a worker on which nothing is reserved.
    pub fn of(capacity: Demand) -> FreeCapacity {
        FreeCapacity {
            cpu_milli: i64::from(capacity.cpu_milli),
            memory_mb: i64::from(capacity.memory_mb),
            gpu: i64::from(capacity.gpu),
        }
    }

    /// Returns what is left once `demand` is subtracted.
    pub fn less(self, demand: Demand) -> FreeCapacity {
        FreeCapacity {
            cpu_milli: self.cpu_milli - i64::from(demand.cpu_milli),
            memory_mb: self.memory_mb - i64::from(demand.memory_mb),
            gpu: self.gpu - i64::from(demand.gpu),
        }
    }

    /// Returns whether `demand` fits. A resource that is not requested is not checked, even if it is
    /// overcommitted.
    pub fn holds(self, demand: Demand) -> bool {
        let fits = |free: i64, need: u32| need == 0 || i64::from(need) <= free;
        fits(self.cpu_milli, demand.cpu_milli)
            && fits(self.memory_mb, demand.memory_mb)
            && fits(self.gpu, demand.gpu)
    }
}

/// One step of a job: a number of identical tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// The number of tasks.
    pub count: u32,
    /// The resources that each task needs.
    pub demand: Demand,
    /// A rough estimate of the duration of a task, in milliseconds.
    pub estimate_ms: u32,
    /// Indexes of earlier steps that must complete first.
    pub after: Vec<u32>,
    /// Whether a run that ends early leaves a checkpoint from which the next run continues.
    pub saves_progress: bool,
    /// A label that the worker must have; empty for none.
    pub requirement: String,
    /// The rack that holds the input data; empty for none.
    pub rack: String,
    /// The most tasks of the step that one worker may have; 0 for no limit.
    pub spread: u32,
}

/// A job as its caller submits it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobRequest {
    /// The id of the job.
    pub number: JobNumber,
    /// The name of its queue in the catalog.
    pub queue: String,
    /// What the tasks run; opaque to the dispatch plane.
    pub spec: Rc<str>,
    /// The steps, in order.
    pub steps: Vec<Step>,
    /// How long the caller waits for the answer, in milliseconds; 0 if it did not say.
    pub patience_ms: u64,
    /// The request id of this call, for the logs; empty for none. Each resubmission of a job has another one.
    pub call: Rc<str>,
}

/// Why the steps of a job are invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JobError {
    /// The job has no steps.
    #[error("steps: a job has at least one step")]
    NoSteps,
    /// A step has no tasks or too many.
    #[error("steps/{step}/count: must be 1 to {limit}, is {count}")]
    InvalidCount {
        /// The index of the step.
        step: usize,
        /// The number of tasks that it names.
        count: u32,
        /// The largest number that is allowed.
        limit: u32,
    },
    /// All steps together have too many tasks.
    #[error("steps: at most {limit} tasks in all, are {count}")]
    TooManyTasks {
        /// The number of tasks of all steps.
        count: u64,
        /// The largest number that is allowed.
        limit: u32,
    },
    /// A step depends on itself or on a later step.
    #[error("steps/{step}/after: {dependency} is not an earlier step")]
    InvalidDependency {
        /// The index of the step.
        step: usize,
        /// The index of the step on which it depends.
        dependency: u32,
    },
}

/// The largest number of tasks in a job. Jobs have 220 tasks at most where they are all legitimate.
pub const MAX_TASKS: u32 = 1_000;
/// What a scheduler holds for a task of a job, in bytes.
pub const TASK_BYTES: usize = 192;

impl JobRequest {
    /// Checks that the steps are valid and can run in order.
    ///
    /// # Errors
    ///
    /// Returns the first error, with its position in the request.
    pub fn check(&self) -> Result<(), JobError> {
        if self.steps.is_empty() {
            return Err(JobError::NoSteps);
        }
        for (step, s) in self.steps.iter().enumerate() {
            if s.count == 0 || s.count > MAX_TASKS {
                let (count, limit) = (s.count, MAX_TASKS);
                return Err(JobError::InvalidCount { step, count, limit });
            }
            if let Some(dependency) = s.after.iter().find(|a| **a as usize >= step) {
                let dependency = *dependency;
                return Err(JobError::InvalidDependency { step, dependency });
            }
        }
        match self.task_count() {
            count if count > u64::from(MAX_TASKS) => {
                let limit = MAX_TASKS;
                Err(JobError::TooManyTasks { count, limit })
            }
            _ => Ok(()),
        }
    }

    fn task_count(&self) -> u64 {
        self.steps.iter().map(|s| u64::from(s.count)).sum()
    }

    /// Returns what the job makes a scheduler hold, in bytes.
    pub fn size(&self) -> usize {
        let step = |s: &Step| {
            let labels = s.requirement.len() + s.rack.len();
            size_of::<Step>() + s.after.len() * size_of::<u32>() + labels
        };
        let steps: usize = self.steps.iter().map(step).sum();
        let tasks = self.task_count() as usize * TASK_BYTES;
        size_of::<JobRequest>() + self.spec.len() + steps + tasks
    }
}

/// How an attempt of a task at an executor ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndKind {
    /// It ran and succeeded.
    Done,
    /// It ran and failed.
    Failed,
    /// Its run was stopped at the scheduler's request.
    Stopped,
    /// Its run ended because a lease expired or the worker was lost.
    Lost,
    /// Its run was stopped since it made no progress or its start got no answer.
    Stalled,
    /// It never ran: the worker accepts no new tasks.
    Unavailable,
    /// It never ran: its latest start time passed before there was free capacity.
    Expired,
    /// It never ran or was stopped: another scheduler has claimed the job.
    Claimed,
    /// It never ran: there was no free capacity when it arrived, and none was expected soon.
    NoRoom,
    /// The worker crashed while it ran, or it was not started because too many workers had crashed while
    /// running it.
    Crashed,
    /// Its run was preempted by a more urgent task.
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

    /// Returns the number that stands for it in messages.
    pub fn code(self) -> u32 {
        self as u32 + 1
    }

    /// Returns its label in logs and metrics.
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

    /// Reads the number from a message; `None` if it is unknown.
    pub fn from_code(code: u32) -> Option<EndKind> {
        EndKind::ALL.into_iter().find(|k| k.code() == code)
    }
}

/// The final state of a job, as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum JobOutcome {
    /// All tasks succeeded.
    Completed,
    /// It ran and failed.
    Failed,
    /// It was cancelled.
    Cancelled,
    /// None of its tasks was or will be started; the caller may retry after this many milliseconds.
    Refused(u32),
    /// It was given up after some of its tasks had been started; none of them runs any more. The job itself
    /// is not known to be the cause.
    GivenUp,
    /// It is not known here, or was given up while its tasks may have run; the caller may submit it again.
    Unknown,
}

impl JobOutcome {
    /// Returns the number that stands for it in messages; the retry delay is above the lowest byte.
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

    /// Reads the number from a message; one that is not known becomes [`JobOutcome::Unknown`].
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

    /// Returns its label in logs and metrics.
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
