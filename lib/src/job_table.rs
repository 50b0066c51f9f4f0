//! The job table: what the owner of a shard knows of its jobs.

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
use crate::outcome::Outcome;
use crate::outcome::Refusal;
use crate::outcome::Verdict;
use crate::prelude::LinkId;
use crate::room::Room;
use crate::shard::Epoch;
use crate::shard::ShardId;

new_key_type! {
    /// A job's place in the table.
    pub struct JobKey;
}

/// Bits of an attempt that count within an epoch.
const ATTEMPT_BITS: u32 = 20;

/// The failure of a task that ran and whose answer no agent holds any more.
pub const ANSWER_DROPPED: Bytes = Bytes::from_static(b"it ran; its answer is no longer held");

/// Who waits for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Waiter {
    /// A caller of this entry, by the number of its request.
    Local(u64),
    /// A caller of a peer: the link to the peer and the peer's number of the request.
    Peer(LinkId, u64),
}

/// How far a task is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// It has not started, and waits.
    Queued,
    /// It was sent to an agent and may have started.
    Placed {
        /// The agent.
        agent: AgentKey,
        /// The attempt it was sent under.
        attempt: u64,
        /// When.
        at: Mono,
    },
    /// It answered.
    Answered(Bytes),
    /// It started and failed.
    Failed(Bytes),
    /// It may have started, and nobody can tell.
    Lost,
}

/// One task.
#[derive(Clone, Debug)]
pub struct Task {
    /// What to run; empty for a task known from agents alone, until the job is resubmitted.
    pub payload: Bytes,
    /// How far it is.
    pub state: TaskState,
    /// How often it was sent under this owner.
    pub tries: u32,
}

/// One job.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its id.
    pub id: JobId,
    /// Its shard.
    pub shard: ShardId,
    /// Digest of service and body.
    pub digest: u64,
    /// Team and service.
    pub lane: LaneName,
    /// What one task takes.
    pub need: Room,
    /// The tasks in order.
    pub tasks: Vec<Task>,
    /// When it came to this owner.
    pub arrived: Mono,
    /// When it must be done.
    pub deadline: Mono,
    /// Who waits for it.
    pub waiters: Vec<Waiter>,
    /// Its end, once it has one.
    pub ended: Option<Verdict>,
    /// When a resubmission is taken in again, after it ended as `not_run`.
    pub again: Mono,
    /// Whether the bodies of its tasks are held, so that they can be sent.
    pub submitted: bool,
    /// Whether the claim that a once-only request needs is in the store.
    pub claimed: bool,
    /// Whether a claim is being written.
    pub claiming: bool,
}

impl Job {
    /// Bytes that it holds.
    pub fn bytes(&self) -> usize {
        let held = |t: &Task| match &t.state {
            TaskState::Answered(b) | TaskState::Failed(b) => b.len() + t.payload.len(),
            _ => t.payload.len(),
        };
        let tasks: usize = self.tasks.iter().map(held).sum();
        let ended = match &self.ended {
            Some(Verdict::Complete(body)) => body.len(),
            _ => 0,
        };
        tasks + ended
    }

    /// Whether any task may have been sent and is not accounted for.
    pub fn outstanding(&self) -> bool {
        let placed = |t: &Task| matches!(t.state, TaskState::Placed { .. });
        self.tasks.iter().any(placed)
    }

    /// Whether any task surely started.
    pub fn ran(&self) -> bool {
        let ran = |t: &Task| matches!(t.state, TaskState::Answered(_) | TaskState::Failed(_));
        self.tasks.iter().any(ran)
    }

    /// Whether a task may have started that nobody can tell of.
    pub fn lost(&self) -> bool {
        self.tasks.iter().any(|t| t.state == TaskState::Lost)
    }

    /// Whether more can be heard of the job: it has not ended, or ended as unknown.
    pub fn is_undecided(&self) -> bool {
        match &self.ended {
            None => true,
            Some(Verdict::Other(refusal)) => refusal.outcome == Some(Outcome::Unknown),
            Some(Verdict::Complete(_)) => false,
        }
    }

    /// Whether the job ended as unknown, and every task has been accounted for since.
    pub fn is_resolved(&self) -> bool {
        let ended = self.ended.is_some() && self.is_undecided();
        ended && !self.tasks.is_empty() && !self.lost() && !self.outstanding()
    }

    /// How the job ends if nothing more is done for it, with a cause for the case that nothing
    /// ran.
    pub fn verdict(&self, cause: Cause, detail: &str) -> Verdict {
        let all = self
            .tasks
            .iter()
            .all(|t| matches!(t.state, TaskState::Answered(_)));
        if all {
            return Verdict::Complete(self.answers());
        }
        if let Some((reason, cause)) = self.first_failure() {
            let detail = format!("{reason}; {} tasks in all", self.tasks.len());
            return Verdict::Other(Refusal::new(Outcome::Failed, cause, detail));
        }
        let outcome = if self.ran() {
            Outcome::Failed
        } else if self.lost() || self.outstanding() {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        Verdict::Other(Refusal::new(outcome, cause, detail))
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

    /// The attempt under which a task is sent next.
    pub fn next_attempt(&mut self, task: u32, epoch: Epoch) -> u64 {
        let task = &mut self.tasks[task as usize];
        task.tries += 1;
        (epoch.0 << ATTEMPT_BITS) | u64::from(task.tries)
    }

    /// Drops what a job that ends with this verdict does not need any more.
    pub fn drop_bodies(&mut self, verdict: &Verdict) {
        self.submitted = false;
        if matches!(verdict, Verdict::Complete(_)) {
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
    /// How many jobs are held, and how many bytes of bodies and answers.
    pub fn size(&self) -> (usize, usize) {
        (self.index.len(), self.bytes)
    }

    /// Adds a job that is not there yet.
    pub fn insert(&mut self, job: Job) -> JobKey {
        let id = job.id;
        self.bytes += job.bytes();
        let key = self.jobs.insert(job);
        let before = self.index.insert(id, key);
        assert!(before.is_none(), "invariant: a job has one record");
        key
    }

    /// A job by its id.
    pub fn find(&self, id: JobId) -> Option<JobKey> {
        self.index.get(&id).copied()
    }

    /// A job by its key.
    pub fn get(&self, key: JobKey) -> Option<&Job> {
        self.jobs.get(key)
    }

    /// Changes a job, keeping count of its bytes.
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

    /// The jobs of some shards.
    pub fn of_shard(&self, shard: ShardId) -> Vec<JobId> {
        let jobs = self.jobs.values().filter(|j| j.shard == shard);
        jobs.map(|j| j.id).collect()
    }

    /// Every job.
    pub fn iter(&self) -> impl Iterator<Item = (JobKey, &Job)> {
        self.jobs.iter()
    }

    /// The oldest job by mint time.
    pub fn oldest(&self) -> Option<JobId> {
        self.index.first_key_value().map(|(id, _)| *id)
    }
}
