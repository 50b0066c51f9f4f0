//! The calls and replies between an executor and its worker, independent of the transport.
//!
//! The adapter to a worker translates them; the executor's state machine creates the calls and handles the
//! replies.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::dispatch::model::Demand;
use crate::dispatch::model::TaskName;

/// An incarnation of a worker: one process of it, from its start to its end.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerIncarnation {
    /// The id under which the worker accepts calls.
    #[serde(rename = "life")]
    pub id: String,
    /// When it started, in milliseconds since the Unix epoch on the worker's clock; `None` if it is not
    /// reported.
    #[serde(default)]
    pub born: Option<u64>,
}

impl WorkerIncarnation {
    /// Returns whether both are the same incarnation. Without both start times, only the ids are compared.
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

/// A heartbeat of a worker: its incarnation, service and capacity.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerHeartbeat {
    /// The worker's current incarnation.
    #[serde(flatten)]
    pub incarnation: WorkerIncarnation,
    /// The service that the worker belongs to.
    pub service: String,
    /// Whether the worker is leaving and takes no new tasks.
    pub draining: bool,
    /// The worker's total capacity.
    pub capacity: Demand,
    /// The worker's labels, such as its type and rack.
    pub labels: Vec<String>,
    /// Rises with each heartbeat, so that a delayed one is recognized.
    pub sequence: u64,
}

impl WorkerHeartbeat {
    /// Returns whether both report the same service, capacity and labels.
    pub(super) fn has_same_profile(&self, other: &WorkerHeartbeat) -> bool {
        self.service == other.service
            && self.capacity == other.capacity
            && self.labels == other.labels
    }
}

/// The name of one run of a task at the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunName {
    /// The task.
    pub task: TaskName,
    /// The number of the run, from 1.
    pub run: u32,
}

/// A start order for the worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartCall {
    /// The id of the worker's incarnation that it is addressed to.
    pub incarnation: String,
    /// The run to start.
    pub run: RunName,
    /// The specification of the task, opaque here.
    pub spec: Rc<str>,
    /// The time on the worker's clock after which the run must not begin, in milliseconds; 0 if the clock is
    /// unknown.
    pub deadline_ms: u64,
    /// The fencing token.
    pub fence: u64,
    /// The checkpoint of an earlier run; empty if there is none.
    pub checkpoint: String,
}

/// A hold: a request to keep the runs alive and to list them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HoldCall {
    /// The number of the hold, by which its reply is recognised here. The worker does not see it.
    pub number: u64,
    /// The id of the worker's incarnation that it is addressed to; empty if unknown.
    pub incarnation: String,
    /// The time on the worker's clock until which runs are kept alive, in milliseconds; 0 to list only.
    pub deadline_ms: u64,
    /// The fencing token.
    pub fence: u64,
    /// The number up to which ends have been processed.
    pub seen: u64,
    /// How long the worker may wait for an end before it answers.
    pub wait: Duration,
}

/// Why a worker refused a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// Its fencing token is too low.
    Fence,
    /// Its run number is not above that of a run that has ended or was stopped.
    Old,
    /// Its deadline has passed.
    Late,
    /// The worker has too little free capacity.
    Room,
    /// The worker can't run this task at all.
    Invalid,
    /// The worker is unhealthy and did nothing.
    Unwell,
}

/// The reply to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// It was carried out; holds the worker's clock, in milliseconds.
    Done(u64),
    /// It was refused and will never be carried out.
    Refused(StartRefusal),
    /// Another incarnation of the worker answered.
    WrongLife,
    /// There was no answer: it may have been carried out, or may be later. The connection may have ended,
    /// also in order.
    NoAnswer,
    /// No connection to the worker could be made, so the order was never sent.
    Unreachable,
}

/// A run that the worker lists as running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningRow {
    /// The run.
    pub run: RunName,
    /// Its progress in percent.
    pub percent: u32,
}

/// The end of a run that the worker lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinishedRow {
    /// The number of the end, rising within an incarnation.
    pub number: u64,
    /// The run.
    pub run: RunName,
    /// How it ended.
    pub end: RunEnd,
    /// The checkpoint that the run left; empty if there is none.
    pub checkpoint: String,
}

/// How a run ended, as reported by the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// It completed.
    Done,
    /// It failed, by an error of its own or of the worker.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its keepalive expired, or it was ended in some other way from outside.
    Expired,
}

/// The reply to a hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HoldReply {
    /// The worker's lists.
    Lists {
        /// When the incarnation that answers started, in milliseconds since the Unix epoch; `None` if not
        /// reported.
        born: Option<u64>,
        /// The worker's clock, in milliseconds.
        clock_ms: u64,
        /// The runs that are active.
        running: Vec<RunningRow>,
        /// The ends above the number that the call confirmed.
        finished: Vec<FinishedRow>,
    },
    /// The fencing token is too low.
    Fenced,
    /// Another incarnation of the worker answered.
    WrongLife,
    /// There was no answer. The connection may have ended, also in order: that tells nothing of the worker.
    NoAnswer,
    /// The connection was refused: nobody listens at the worker's address.
    Unreachable,
}
