//! What passes between an executor and its worker, in terms that know nothing of how it travels.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::dispatch::model::Demand;
use crate::dispatch::model::TaskName;

/// One life of a worker, from its start to its end.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerIncarnation {
    /// The name under which the worker takes calls.
    #[serde(rename = "life")]
    pub id: String,
    /// When it started, in milliseconds since 1970 by the worker's clock; none if it does not say.
    #[serde(default)]
    pub born: Option<u64>,
}

impl WorkerIncarnation {
    /// Whether both are the same life. One that does not say when it started is told from others by its id alone.
    pub fn is_same_as(&self, other: &WorkerIncarnation) -> bool {
        let born = self.born.zip(other.born);
        self.id == other.id && born.is_none_or(|(one, two)| one == two)
    }
}

impl fmt::Display for WorkerIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.born {
            Some(born) => write!(f, "{}, born {born}", self.id),
            None => f.write_str(&self.id),
        }
    }
}

/// What a worker says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerHeartbeat {
    /// Its present life.
    #[serde(flatten)]
    pub life: WorkerIncarnation,
    /// The service it works for.
    pub service: String,
    /// Whether it is leaving.
    pub draining: bool,
    /// What it has.
    pub capacity: Demand,
    /// Its kind, its rack.
    pub labels: Vec<String>,
    /// Rises with each beat, so that a late one is known.
    pub sequence: u64,
}

impl WorkerHeartbeat {
    /// Whether both say the same of what the worker is and has.
    pub(super) fn is_like(&self, other: &WorkerHeartbeat) -> bool {
        self.service == other.service
            && self.capacity == other.capacity
            && self.labels == other.labels
    }
}

/// One run of a task at the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunName {
    /// The task.
    pub task: TaskName,
    /// The run, from 1.
    pub run: u32,
}

/// A start to be sent to the worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartCall {
    /// The life of the worker it is meant for.
    pub life: String,
    /// The run.
    pub run: RunName,
    /// What to run.
    pub spec: Rc<str>,
    /// The time on the worker's clock after which it must not begin, in milliseconds; 0 if the
    /// clock is not known.
    pub deadline_ms: u64,
    /// The fencing token.
    pub fence: u64,
    /// Where an earlier run left off.
    pub checkpoint: String,
}

/// A request to keep the runs alive and to list them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HoldCall {
    /// The life of the worker it is meant for; empty if not known.
    pub life: String,
    /// Runs are kept alive until this time on the worker's clock, in milliseconds; 0 to list only.
    pub deadline_ms: u64,
    /// The fencing token.
    pub fence: u64,
    /// Ends up to this number have been taken note of.
    pub seen: u64,
    /// How long the worker may wait for an end before it answers.
    pub wait: Duration,
}

/// Why a worker refused a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// Its fencing token is too low.
    Fence,
    /// Its run number is not above one that ended or was stopped.
    Old,
    /// Its deadline has passed.
    Late,
    /// It does not fit.
    Room,
    /// The worker can't run it at all.
    Invalid,
    /// The worker is unwell and did nothing.
    Unwell,
}

/// The answer to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// It was done; the worker's clock, in milliseconds.
    Done(u64),
    /// It was refused and will never be done.
    Refused(StartRefusal),
    /// Another life of the worker answered.
    WrongLife,
    /// There was no answer: it may have been done, or may be done later.
    NoAnswer,
    /// There is no worker to take it.
    Unreachable,
}

/// A run that the worker lists as running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningRow {
    /// The run.
    pub run: RunName,
    /// How far it is.
    pub percent: u32,
}

/// An end that the worker lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinishedRow {
    /// Its number, rising within a life.
    pub number: u64,
    /// The run.
    pub run: RunName,
    /// How it ended.
    pub end: RunEnd,
    /// Its checkpoint, if it left one.
    pub checkpoint: String,
}

/// How a run ended, as the worker says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// Whole.
    Done,
    /// By a fault of its own or the worker's.
    Failed,
    /// By a stop.
    Stopped,
    /// Because its lease ran out, or otherwise not by itself.
    Lapsed,
}

/// The answer to a hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HoldReply {
    /// The worker's lists.
    Lists {
        /// When the life that answers started, in milliseconds since 1970; none if it does not say.
        born: Option<u64>,
        /// Its clock, in milliseconds.
        clock_ms: u64,
        /// What runs.
        running: Vec<RunningRow>,
        /// What ended and was not yet taken note of.
        finished: Vec<FinishedRow>,
    },
    /// The fencing token is too low.
    Fenced,
    /// Another life of the worker answered.
    WrongLife,
    /// There was no answer.
    NoAnswer,
    /// There is no worker.
    Unreachable,
}
