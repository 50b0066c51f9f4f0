//! How a job ends, and why.

use bytes::Bytes;

/// A job ends as exactly one of these.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Every task answered; the answers are whole and in task order.
    Complete,
    /// At least one task ran, and the whole did not succeed.
    Failed,
    /// No task of this job ever started, nor will one unless the job is resubmitted.
    NotRun,
    /// A task may have run.
    Unknown,
}

impl Outcome {
    /// The word callers see.
    pub fn word(self) -> &'static str {
        match self {
            Outcome::Complete => "complete",
            Outcome::Failed => "failed",
            Outcome::NotRun => "not_run",
            Outcome::Unknown => "unknown",
        }
    }

    /// The number that travels between processes. 0 stands for a job that is still running.
    pub fn code(self) -> u32 {
        match self {
            Outcome::Complete => 1,
            Outcome::Failed => 2,
            Outcome::NotRun => 3,
            Outcome::Unknown => 4,
        }
    }

    /// Reads the number back; `None` for a job that is still running.
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

/// Why a request got another answer than a complete one. The name is the metrics label.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// The body is malformed or out of bounds.
    Invalid,
    /// The id belongs to another body.
    Reused,
    /// The id is older than the horizon.
    Expired,
    /// The id was minted in the future.
    Ahead,
    /// No such service, or no team of that name.
    NoService,
    /// No permitted worker serves it.
    NoWorker,
    /// The queue is full.
    QueueFull,
    /// The deadline can't be met.
    Deadline,
    /// The memory for job records is spent.
    Memory,
    /// The store can't take the claim that a once-only request needs.
    NoClaim,
    /// Nobody can own the job for now.
    NoOwner,
    /// A task failed at its back end.
    TaskFailed,
    /// A worker was lost with a task.
    WorkerLost,
    /// What happened before a change of owner can't be read back.
    Unreadable,
    /// The answer is no longer held.
    Dropped,
    /// The job is not known.
    NotFound,
    /// The job still runs.
    Running,
}

impl Cause {
    /// The name in metrics and problem types.
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

    /// The HTTP status that goes with it.
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

    /// Reads a cause back from its name.
    pub fn from_name(name: &str) -> Option<Cause> {
        Cause::ALL.into_iter().find(|c| c.name() == name)
    }

    /// Every cause.
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

/// The answer to one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobReply {
    /// The job is complete: a JSON list with one answer a task, in task order.
    Complete(Bytes),
    /// Anything else.
    Other(Refusal),
}

/// An answer that is not a complete one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The outcome; `None` for a job that still runs or is not known.
    pub outcome: Option<Outcome>,
    /// Why.
    pub cause: Cause,
    /// The reason in words.
    pub detail: String,
    /// When a retry may help, in milliseconds from now; 0 when it can't.
    pub retry_ms: u64,
}

impl Refusal {
    /// A refusal without a hint to retry.
    pub fn new(outcome: Outcome, cause: Cause, detail: impl Into<String>) -> Refusal {
        Refusal {
            outcome: Some(outcome),
            cause,
            detail: detail.into(),
            retry_ms: 0,
        }
    }

    /// The same, with the time after which a retry may help.
    pub fn retry(mut self, ms: u64) -> Refusal {
        self.retry_ms = ms;
        self
    }
}
