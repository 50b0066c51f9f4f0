//! The job table: the owner's state of every job in its shards, with the tasks, the callers that
//! wait and the outcome. It also counts the bytes that the jobs hold.

use std::collections::BTreeMap;

use bytes::Bytes;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::clock::Mono;
use crate::fleet::AgentKey;
use crate::job_body::json_list;
use crate::job_id::JobId;
use crate::lanes::LaneName;
use crate::outcome::Cause;
use crate::outcome::JobReply;
use crate::outcome::Outcome;
use crate::outcome::Refusal;
use crate::prelude::LinkId;
use crate::room::Room;
use crate::shard::Epoch;
use crate::shard::ShardId;

new_key_type! {
    /// The key of a job in the table.
    pub struct JobKey;
}

/// The number of low bits of an attempt that count the tries within an epoch; the epoch is above.
const ATTEMPT_BITS: u32 = 20;

/// The failure message of a task that succeeded but whose answer is no longer stored by its agent.
pub const ANSWER_DROPPED: Bytes = Bytes::from_static(b"it ran; its answer is no longer held");

/// A request that waits for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Waiter {
    /// A request from a caller of this entry, by its number.
    Local(u64),
    /// A request that a peer has forwarded: the link to the peer and the peer's number for it.
    Peer(LinkId, u64),
}

/// The state of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// It has not started and is queued.
    Queued,
    /// It was sent to an agent and may have started.
    Placed {
        /// The agent.
        agent: AgentKey,
        /// The attempt under which it was sent.
        attempt: u64,
        /// When it was sent.
        at: Mono,
    },
    /// It succeeded with this answer.
    Answered(Bytes),
    /// It started and failed with this message.
    Failed(Bytes),
    /// It may have started, but the agent that knows cannot be asked.
    Lost,
}

/// A task of a job.
#[derive(Clone, Debug)]
pub struct Task {
    /// The input. It is empty if the task is known only from agents and the job has not been
    /// resubmitted.
    pub payload: Bytes,
    /// The state.
    pub state: TaskState,
    /// The number of attempts under this owner.
    pub tries: u32,
}

/// A job.
#[derive(Clone, Debug)]
pub struct Job {
    /// The job's id.
    pub id: JobId,
    /// The shard of the id.
    pub shard: ShardId,
    /// The digest of the service and the body.
    pub digest: u64,
    /// The team and the service.
    pub lane: LaneName,
    /// The capacity that one task takes.
    pub need: Room,
    /// The tasks in order.
    pub tasks: Vec<Task>,
    /// When this owner received the job.
    pub arrived: Mono,
    /// When the job must have ended.
    pub deadline: Mono,
    /// The requests that wait for the job.
    pub waiters: Vec<Waiter>,
    /// The outcome, or `None` if the job has not ended.
    pub ended: Option<JobReply>,
    /// When a resubmission is accepted again, if the job ended as `not_run`.
    pub retry_at: Mono,
    /// Whether the inputs of its tasks are present, so that they can be sent.
    pub submitted: bool,
    /// Whether the claim that a once-only request needs is in the store.
    pub claimed: bool,
    /// Whether the claim is being written.
    pub claiming: bool,
}

impl Job {
    /// Returns the bytes of inputs and answers that the job holds.
    pub fn bytes(&self) -> usize {
        let held = |t: &Task| match &t.state {
            TaskState::Answered(b) | TaskState::Failed(b) => b.len() + t.payload.len(),
            _ => t.payload.len(),
        };
        let tasks: usize = self.tasks.iter().map(held).sum();
        let ended = match &self.ended {
            Some(JobReply::Complete(body)) => body.len(),
            _ => 0,
        };
        tasks + ended
    }

    /// Returns whether any task was sent and its result is pending.
    pub fn has_outstanding_task(&self) -> bool {
        let placed = |t: &Task| matches!(t.state, TaskState::Placed { .. });
        self.tasks.iter().any(placed)
    }

    /// Returns whether any task has certainly started.
    pub fn has_run(&self) -> bool {
        let ran = |t: &Task| matches!(t.state, TaskState::Answered(_) | TaskState::Failed(_));
        self.tasks.iter().any(ran)
    }

    /// Returns whether any task is in [`TaskState::Lost`].
    pub fn has_lost_task(&self) -> bool {
        self.tasks.iter().any(|t| t.state == TaskState::Lost)
    }

    /// Returns whether results of tasks still matter: the job has not ended, or ended as unknown.
    pub fn is_undecided(&self) -> bool {
        match &self.ended {
            None => true,
            Some(JobReply::Other(refusal)) => refusal.outcome == Some(Outcome::Unknown),
            Some(JobReply::Complete(_)) => false,
        }
    }

    /// Returns whether the job ended as unknown and every task has been accounted for since.
    pub fn is_resolved(&self) -> bool {
        let ended = self.ended.is_some() && self.is_undecided();
        ended && !self.tasks.is_empty() && !self.has_lost_task() && !self.has_outstanding_task()
    }

    /// Returns the reply to a request for the job in its current state. `cause` and `detail` apply unless all
    /// tasks have succeeded or one has failed.
    pub fn reply(&self, cause: Cause, detail: &str) -> JobReply {
        let all = self
            .tasks
            .iter()
            .all(|t| matches!(t.state, TaskState::Answered(_)));
        if all {
            return JobReply::Complete(self.answers());
        }
        if let Some((reason, cause)) = self.first_failure() {
            let detail = format!("{reason}; {} tasks in all", self.tasks.len());
            return JobReply::Other(Refusal::new(Outcome::Failed, cause, detail));
        }
        let outcome = if self.has_run() {
            Outcome::Failed
        } else if self.has_lost_task() || self.has_outstanding_task() {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        JobReply::Other(Refusal::new(outcome, cause, detail))
    }

    fn first_failure(&self) -> Option<(String, Cause)> {
        self.tasks.iter().enumerate().find_map(|(i, t)| {
            let TaskState::Failed(reason) = &t.state else {
                return None;
            };
            let cause = if *reason == ANSWER_DROPPED {
                Cause::Dropped
            } else {
                Cause::TaskFailed
            };
            Some((
                format!("task {i}: {}", String::from_utf8_lossy(reason)),
                cause,
            ))
        })
    }

    fn answers(&self) -> Bytes {
        let bodies = self.tasks.iter().filter_map(|t| match &t.state {
            TaskState::Answered(body) => Some(body.as_ref()),
            _ => None,
        });
        json_list(bodies)
    }

    /// Returns the attempt under which a task is sent next, and counts it.
    pub fn next_attempt(&mut self, task: u32, epoch: Epoch) -> u64 {
        let task = &mut self.tasks[task as usize];
        task.tries += 1;
        (epoch.0 << ATTEMPT_BITS) | u64::from(task.tries)
    }

    /// Drops the inputs and answers that a job that has ended with this reply no longer needs.
    pub fn drop_bodies(&mut self, reply: &JobReply) {
        self.submitted = false;
        if matches!(reply, JobReply::Complete(_)) {
            self.tasks = Vec::new();
            return;
        }
        for task in &mut self.tasks {
            task.payload = Bytes::new();
            if let TaskState::Answered(body) = &mut task.state {
                *body = Bytes::new();
            }
        }
    }
}

/// The jobs of the shards that this entry owns.
#[derive(Debug, Default)]
pub struct JobTable {
    jobs: SlotMap<JobKey, Job>,
    index: BTreeMap<JobId, JobKey>,
    bytes: usize,
}

impl JobTable {
    /// Returns the number of jobs and the bytes of inputs and answers that they hold.
    pub fn size(&self) -> (usize, usize) {
        (self.index.len(), self.bytes)
    }

    /// Adds a job. Its id must not be in the table yet.
    pub fn insert(&mut self, job: Job) -> JobKey {
        let id = job.id;
        self.bytes += job.bytes();
        let key = self.jobs.insert(job);
        let before = self.index.insert(id, key);
        assert!(before.is_none(), "invariant: a job has one record");
        key
    }

    /// Returns the key of a job by its id.
    pub fn find(&self, id: JobId) -> Option<JobKey> {
        self.index.get(&id).copied()
    }

    /// Returns a job by its key.
    pub fn get(&self, key: JobKey) -> Option<&Job> {
        self.jobs.get(key)
    }

    /// Applies a change to a job and updates the count of bytes.
    pub fn update<T>(&mut self, key: JobKey, change: impl FnOnce(&mut Job) -> T) -> Option<T> {
        let job = self.jobs.get_mut(key)?;
        let before = job.bytes();
        let result = change(job);
        self.bytes = self.bytes + job.bytes() - before;
        Some(result)
    }

    /// Removes a job.
    pub fn remove(&mut self, id: JobId) -> Option<Job> {
        let key = self.index.remove(&id)?;
        let job = self.jobs.remove(key)?;
        self.bytes -= job.bytes();
        Some(job)
    }

    /// Returns the ids of the jobs in a shard.
    pub fn of_shard(&self, shard: ShardId) -> Vec<JobId> {
        let jobs = self.jobs.values().filter(|j| j.shard == shard);
        jobs.map(|j| j.id).collect()
    }

    /// Returns an iterator over all jobs.
    pub fn iter(&self) -> impl Iterator<Item = (JobKey, &Job)> {
        self.jobs.iter()
    }

    /// Returns the id of the job with the earliest mint time.
    pub fn oldest(&self) -> Option<JobId> {
        self.index.first_key_value().map(|(id, _)| *id)
    }
}
