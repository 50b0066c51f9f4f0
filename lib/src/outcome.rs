//! The outcomes of jobs and the replies to requests.

use bytes::Bytes;

/// The outcome of a job. Every job that ends has exactly one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Every task was answered; the answers are complete and in task order.
    Complete,
    /// At least one task ran, and the job did not succeed.
    Failed,
    /// No task of the job has started, and none will unless the job is submitted again.
    NotRun,
    /// A task may have run; it is not known whether one did.
    Unknown,
}

impl Outcome {
    /// Returns the name of the outcome in responses to callers.
    pub fn word(self) -> &'static str {
        match self {
            Outcome::Complete => "complete",
            Outcome::Failed => "failed",
            Outcome::NotRun => "not_run",
            Outcome::Unknown => "unknown",
        }
    }

    /// Returns the number of the outcome in messages between processes, where 0 is a job that is still
    /// running.
    pub fn code(self) -> u32 {
        match self {
            Outcome::Complete => 1,
            Outcome::Failed => 2,
            Outcome::NotRun => 3,
            Outcome::Unknown => 4,
        }
    }

    /// Returns the outcome of a number; `None` for 0 and for unknown numbers.
    pub fn from_code(code: u32) -> Option<Outcome> {
        match code {
            1 => Some(Outcome::Complete),
            2 => Some(Outcome::Failed),
            3 => Some(Outcome::NotRun),
            4 => Some(Outcome::Unknown),
            _ => None,
        }
    }
}

/// Why the reply to a request is not [`JobReply::Complete`]. Its name is a metric label.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// The body is malformed or exceeds a limit.
    Invalid,
    /// The id was used with another body before.
    Reused,
    /// The id is older than the horizon.
    Expired,
    /// The mint time of the id is in the future.
    Ahead,
    /// The service or the team does not exist.
    NoService,
    /// No worker at which the job may run is usable.
    NoWorker,
    /// The queue is full, the wait would be too long, or the team has no quota.
    QueueFull,
    /// The deadline can't be met.
    Deadline,
    /// The memory budget for job records is exhausted.
    Memory,
    /// The store can't record the claim that a request to a service without repeats needs.
    NoClaim,
    /// No entry can own the job at present.
    NoOwner,
    /// A task failed at its backend server.
    TaskFailed,
    /// A worker with a task of the job was lost.
    WorkerLost,
    /// What happened before a change of owner can't be determined.
    Unreadable,
    /// The answer is no longer stored.
    Dropped,
    /// The job is unknown.
    NotFound,
    /// The job is still running.
    Running,
}

impl Cause {
    /// Returns the name in metrics and problem types.
    pub fn name(self) -> &'static str {
        match self {
            Cause::Invalid => "invalid",
            Cause::Reused => "reused",
            Cause::Expired => "expired",
            Cause::Ahead => "ahead",
            Cause::NoService => "no-service",
            Cause::NoWorker => "no-worker",
            Cause::QueueFull => "queue-full",
            Cause::Deadline => "deadline",
            Cause::Memory => "memory",
            Cause::NoClaim => "no-claim",
            Cause::NoOwner => "no-owner",
            Cause::TaskFailed => "task-failed",
            Cause::WorkerLost => "worker-lost",
            Cause::Unreadable => "unreadable",
            Cause::Dropped => "dropped",
            Cause::NotFound => "not-found",
            Cause::Running => "running",
        }
    }

    /// Returns the HTTP status of the response.
    pub fn status(self) -> u16 {
        match self {
            Cause::Invalid => 400,
            Cause::Reused => 409,
            Cause::Expired => 410,
            Cause::Ahead => 400,
            Cause::NoService | Cause::NotFound => 404,
            Cause::QueueFull | Cause::Deadline => 429,
            Cause::NoWorker | Cause::Memory | Cause::NoClaim | Cause::NoOwner => 503,
            Cause::TaskFailed => 502,
            Cause::WorkerLost | Cause::Unreadable | Cause::Dropped => 502,
            Cause::Running => 202,
        }
    }

    /// Returns the cause of a name.
    pub fn from_name(name: &str) -> Option<Cause> {
        Cause::ALL.into_iter().find(|c| c.name() == name)
    }

    /// All causes.
    pub const ALL: [Cause; 17] = [
        Cause::Invalid,
        Cause::Reused,
        Cause::Expired,
        Cause::Ahead,
        Cause::NoService,
        Cause::NoWorker,
        Cause::QueueFull,
        Cause::Deadline,
        Cause::Memory,
        Cause::NoClaim,
        Cause::NoOwner,
        Cause::TaskFailed,
        Cause::WorkerLost,
        Cause::Unreadable,
        Cause::Dropped,
        Cause::NotFound,
        Cause::Running,
    ];
}

/// The reply to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobReply {
    /// The job is complete: a JSON array with one answer per task, in task order.
    Complete(Bytes),
    /// Any other reply.
    Other(Refusal),
}

/// A reply that is not [`JobReply::Complete`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The outcome; `None` if the job is still running.
    pub outcome: Option<Outcome>,
    /// Why the reply is not complete.
    pub cause: Cause,
    /// A description of the reason.
    pub detail: String,
    /// The time after which a retry may help, in milliseconds; 0 if a retry can't help.
    pub retry_ms: u64,
}

impl Refusal {
    /// Returns a refusal without a retry delay.
    pub fn new(outcome: Outcome, cause: Cause, detail: impl Into<String>) -> Refusal {
        Refusal {
            outcome: Some(outcome),
            cause,
            detail: detail.into(),
            retry_ms: 0,
        }
    }

    /// Returns the refusal with a retry delay in milliseconds.
    pub fn retry(mut self, ms: u64) -> Refusal {
        self.retry_ms = ms;
        self
    }
}
