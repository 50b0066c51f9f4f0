//! The start record: what an agent has started, and the fence that keeps it from starting twice.
//!
//! An agent is the only process that starts tasks at its backend server, so its record is the
//! witness of what ran there. The record refuses
//!
//! - a start under an epoch lower than the highest seen for the shard,
//! - a task that it has started or has promised not to start,
//! - a job older than the horizon, because such jobs are forgotten.
//!
//! Memory is bounded twice: jobs are dropped at the horizon, and answers beyond a budget of bytes
//! are dropped oldest first, while the fact that the task ran is kept.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;

use crate::clock::Mono;
use crate::clock::Now;
use crate::clock::millis;
use crate::job_id::JobId;
use crate::job_id::TaskKey;
use crate::names::Names;
use crate::shard::Epoch;
use crate::shard::ShardId;

/// Why the record does not permit a start.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum StartError {
    /// A higher epoch has been seen for the shard.
    #[error("the epoch has passed")]
    Fenced,
    /// The task has started here before.
    #[error("the task has started before")]
    Started,
    /// This attempt was given back.
    #[error("the attempt was given back")]
    GivenBack,
    /// The job is older than the horizon.
    #[error("the job is older than the horizon")]
    Expired,
}

/// How far a started task has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The back end works on it.
    Running,
    /// It answered.
    Answered(Bytes),
    /// It failed.
    Failed(Bytes),
    /// It answered, and the answer was dropped for want of memory.
    Dropped,
}

/// One task in the record.
#[derive(Clone, Debug)]
struct TaskEntry {
    task: u32,
    attempt: u64,
    /// `None` for attempts that were given back and must never start.
    progress: Option<Progress>,
}

/// One job in the record.
#[derive(Clone, Debug)]
struct JobEntry {
    shard: ShardId,
    service: Arc<str>,
    team: Arc<str>,
    digest: u64,
    tasks: u32,
    entries: Vec<TaskEntry>,
}

/// What is asked to start.
#[derive(Clone, Copy, Debug)]
pub struct StartRequest {
    /// The task.
    pub key: TaskKey,
    /// Which attempt to place the task this is. An owner's attempts carry its epoch in their upper
    /// bits, so those of a later owner are higher.
    pub attempt: u64,
    /// The job's shard.
    pub shard: ShardId,
    /// The epoch under which the owner decided.
    pub epoch: Epoch,
    /// Digest of the job's service and body.
    pub digest: u64,
    /// How many tasks the job has.
    pub tasks: u32,
}

/// A started task as it is reported to a new owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// The task.
    pub key: TaskKey,
    /// How many tasks the job has.
    pub tasks: u32,
    /// Digest of the job's service and body.
    pub digest: u64,
    /// The attempt that started.
    pub attempt: u64,
    /// How far it came.
    pub progress: Progress,
    /// The service.
    pub service: Arc<str>,
    /// The team whose quota it uses.
    pub team: Arc<str>,
}

/// What an agent has started within the horizon.
#[derive(Debug)]
pub struct StartRecord {
    horizon: Duration,
    margin: Duration,
    budget: usize,
    kept: usize,
    tasks: usize,
    epochs: HashMap<ShardId, Epoch>,
    jobs: BTreeMap<JobId, JobEntry>,
    /// When each job is forgotten.
    expiry: BTreeSet<(Mono, JobId)>,
    order: VecDeque<TaskKey>,
    names: Names,
    /// For the randomised runs alone: leaves out one of the checks, to show that they bite.
    broken: DisabledCheck,
}

/// Which check is left out, to show that the randomised runs notice. Never set by the daemons.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DisabledCheck {
    /// All checks are in place.
    #[default]
    Nothing,
    /// Starts under older epochs, or without a right, are accepted.
    Fence,
    /// A seal reports nothing.
    Seal,
    /// Jobs older than the horizon are accepted although they were forgotten.
    Horizon,
}

impl StartRecord {
    /// An empty record that refuses jobs minted longer than `horizon` ago, remembers them for
    /// `margin` longer, and keeps up to `budget` bytes of answers.
    ///
    /// The margin has to cover the difference between the times that any two processes carry on:
    /// when this agent forgets a job, every other process must refuse it already. For an agent
    /// whose own time is ahead of all others, a job is remembered for as long from its first task.
    pub fn new(horizon: Duration, margin: Duration, budget: usize) -> StartRecord {
        StartRecord {
            horizon,
            margin,
            budget,
            kept: 0,
            tasks: 0,
            epochs: HashMap::new(),
            jobs: BTreeMap::new(),
            expiry: BTreeSet::new(),
            order: VecDeque::new(),
            names: Names::default(),
            broken: DisabledCheck::Nothing,
        }
    }

    /// Leaves out one check, for the randomised runs.
    pub fn break_for_test(&mut self, broken: DisabledCheck) {
        self.broken = broken;
    }

    /// The highest epoch seen for a shard.
    pub fn epoch(&self, shard: ShardId) -> Epoch {
        self.epochs.get(&shard).copied().unwrap_or_default()
    }

    /// How many jobs and tasks are remembered, and how many bytes of answers.
    pub fn size(&self) -> (usize, usize, usize) {
        (self.jobs.len(), self.tasks, self.kept)
    }

    /// Raises the shard's epoch. Returns false if a higher one had been seen.
    pub fn raise_epoch(&mut self, shard: ShardId, epoch: Epoch) -> bool {
        let seen = self.epochs.entry(shard).or_default();
        if epoch < *seen && self.broken != DisabledCheck::Fence {
            return false;
        }
        *seen = epoch.max(*seen);
        true
    }

    /// Whether the start is permitted, without recording it.
    ///
    /// # Errors
    ///
    /// The reason, when it is not.
    pub fn check(&self, now: Now, ask: &StartRequest) -> Result<(), StartError> {
        if ask.epoch < self.epoch(ask.shard) && self.broken != DisabledCheck::Fence {
            return Err(StartError::Fenced);
        }
        if self.expired(now, ask.key.job) && self.broken != DisabledCheck::Horizon {
            return Err(StartError::Expired);
        }
        let Some(entry) = self.entry(ask.key) else {
            return Ok(());
        };
        if entry.progress.is_some() {
            return Err(StartError::Started);
        }
        if ask.attempt <= entry.attempt {
            return Err(StartError::GivenBack);
        }
        Ok(())
    }

    /// Records a start. To be called right before the task is handed to the back end.
    ///
    /// # Errors
    ///
    /// The reason, when the start is not permitted; nothing is recorded then.
    pub fn start(
        &mut self,
        now: Now,
        ask: &StartRequest,
        service: &str,
        team: &str,
    ) -> Result<(), StartError> {
        self.check(now, ask)?;
        self.raise_epoch(ask.shard, ask.epoch);
        let service = self.names.get(service);
        let team = self.names.get(team);
        let entry = self.entry_mut(now, ask);
        entry.attempt = ask.attempt;
        entry.progress = Some(Progress::Running);
        if let Some(job) = self.jobs.get_mut(&ask.key.job) {
            job.digest = ask.digest;
            job.tasks = ask.tasks;
            job.service = service;
            job.team = team;
        }
        Ok(())
    }

    /// Promises never to start this attempt, unless the task has started already.
    ///
    /// # Errors
    ///
    /// [`StartError::Started`] when it has.
    pub fn give_back(&mut self, now: Now, ask: &StartRequest) -> Result<(), StartError> {
        let started = self.entry(ask.key).is_some_and(|e| e.progress.is_some());
        if started {
            return Err(StartError::Started);
        }
        if self.expired(now, ask.key.job) {
            return Ok(());
        }
        let entry = self.entry_mut(now, ask);
        entry.attempt = entry.attempt.max(ask.attempt);
        Ok(())
    }

    /// Records how a running task ended. Does nothing for a task that is no longer remembered.
    pub fn end(&mut self, key: TaskKey, progress: Progress) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let Some(entry) = job.entries.iter_mut().find(|e| e.task == key.task) else {
            return;
        };
        assert_eq!(
            entry.progress,
            Some(Progress::Running),
            "invariant: a task ends once"
        );
        self.kept += body_len(&progress);
        entry.progress = Some(progress);
        self.order.push_back(key);
        self.shed();
    }

    /// Takes a start back, because nothing of it reached the back end. The attempt stays given back.
    pub fn unstart(&mut self, key: TaskKey) {
        let job = self.jobs.get_mut(&key.job);
        let entry = job.and_then(|j| j.entries.iter_mut().find(|e| e.task == key.task));
        if let Some(entry) = entry {
            assert_eq!(
                entry.progress,
                Some(Progress::Running),
                "invariant: only a running task is taken back"
            );
            entry.progress = None;
        }
    }

    /// How far a task has come; `None` if it has not started here.
    pub fn progress(&self, key: TaskKey) -> Option<&Progress> {
        self.entry(key)?.progress.as_ref()
    }

    /// All that has started of some shards.
    pub fn evidence(&self, shards: &HashSet<ShardId>) -> Vec<Evidence> {
        if self.broken == DisabledCheck::Seal {
            return Vec::new();
        }
        let of_shard = self.jobs.iter().filter(|(_, j)| shards.contains(&j.shard));
        of_shard
            .flat_map(|(id, job)| job.entries.iter().map(move |e| (*id, job, e)))
            .filter_map(|(id, job, e)| {
                Some(Evidence {
                    key: TaskKey {
                        job: id,
                        task: e.task,
                    },
                    tasks: job.tasks,
                    digest: job.digest,
                    attempt: e.attempt,
                    progress: e.progress.clone()?,
                    service: job.service.clone(),
                    team: job.team.clone(),
                })
            })
            .collect()
    }

    /// Forgets the jobs that the horizon and the margin have passed.
    pub fn expire(&mut self, now: Now) {
        while let Some(&(due, job)) = self.expiry.first() {
            if now.mono < due {
                return;
            }
            self.expiry.pop_first();
            let Some(entry) = self.jobs.remove(&job) else {
                continue;
            };
            self.tasks -= entry.entries.len();
            let bodies = entry.entries.iter().filter_map(|e| e.progress.as_ref());
            self.kept -= bodies.map(body_len).sum::<usize>();
        }
    }

    fn expired(&self, now: Now, job: JobId) -> bool {
        job.minted_ms().saturating_add(millis(self.horizon)) <= now.wall_ms
    }

    fn entry(&self, key: TaskKey) -> Option<&TaskEntry> {
        let job = self.jobs.get(&key.job)?;
        job.entries.iter().find(|e| e.task == key.task)
    }

    /// When a job that is recorded now is forgotten: a horizon and the margin after it was minted,
    /// and not sooner than that long from now.
    fn forgotten_at(&self, now: Now, job: JobId) -> Mono {
        let ahead = job.minted_ms().saturating_sub(now.wall_ms);
        now.mono + self.horizon + self.margin + Duration::from_millis(ahead)
    }

    /// The entry of a task, made if need be.
    fn entry_mut(&mut self, now: Now, ask: &StartRequest) -> &mut TaskEntry {
        if !self.jobs.contains_key(&ask.key.job) {
            let due = self.forgotten_at(now, ask.key.job);
            self.expiry.insert((due, ask.key.job));
        }
        let job = self.jobs.entry(ask.key.job).or_insert_with(|| JobEntry {
            shard: ask.shard,
            service: self.names.get(""),
            team: self.names.get(""),
            digest: ask.digest,
            tasks: ask.tasks,
            entries: Vec::new(),
        });
        let place = job.entries.iter().position(|e| e.task == ask.key.task);
        let place = place.unwrap_or_else(|| {
            self.tasks += 1;
            job.entries.push(TaskEntry {
                task: ask.key.task,
                attempt: 0,
                progress: None,
            });
            job.entries.len() - 1
        });
        &mut job.entries[place]
    }

    /// Drops the oldest answers until the rest fits the budget.
    fn shed(&mut self) {
        while self.kept > self.budget {
            let Some(key) = self.order.pop_front() else {
                return;
            };
            let Some(job) = self.jobs.get_mut(&key.job) else {
                continue;
            };
            let entry = job.entries.iter_mut().find(|e| e.task == key.task);
            let Some(progress) = entry.and_then(|e| e.progress.as_mut()) else {
                continue;
            };
            if matches!(progress, Progress::Answered(_)) {
                self.kept -= body_len(progress);
                *progress = Progress::Dropped;
            }
        }
    }
}

fn body_len(progress: &Progress) -> usize {
    match progress {
        Progress::Answered(body) | Progress::Failed(body) => body.len(),
        Progress::Running | Progress::Dropped => 0,
    }
}

#[cfg(test)]
mod tests;
