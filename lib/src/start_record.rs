//! The start record: what an agent has started, and the fence that prevents duplicate starts.
//!
//! An agent is the only process that starts tasks at its backend server, so its record is
//! authoritative for what ran there. The record refuses
//!
//! - a start under an epoch lower than the highest one seen for the shard,
//! - a start of a task that has started already, or of an attempt that was given back,
//! - a start of a job older than the horizon, as such jobs are forgotten.
//!
//! Two rules bound memory: jobs are dropped after the horizon, and when the stored answers exceed
//! a budget of bytes, the oldest are dropped while the fact that the task ran is kept.

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

/// The reason why the record does not permit a start.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum StartError {
    /// A higher epoch has been seen for the shard.
    #[error("the epoch has passed")]
    Fenced,
    /// The task has been started before by this agent.
    #[error("the task has started before")]
    Started,
    /// This attempt was given back.
    #[error("the attempt was given back")]
    GivenBack,
    /// The job is older than the horizon.
    #[error("the job is older than the horizon")]
    Expired,
}

/// The progress of a started task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The backend server runs it.
    Running,
    /// It succeeded with this answer.
    Answered(Bytes),
    /// It failed with this message.
    Failed(Bytes),
    /// It succeeded, and the answer was dropped to stay within the budget.
    Dropped,
}

/// One task in the record.
#[derive(Clone, Debug)]
struct TaskRecord {
    task: u32,
    attempt: u64,
    /// The progress, or `None` if the attempt was given back and must never start.
    progress: Option<Progress>,
}

/// One job in the record.
#[derive(Clone, Debug)]
struct JobRecord {
    shard: ShardId,
    service: Arc<str>,
    team: Arc<str>,
    digest: u64,
    tasks: u32,
    entries: Vec<TaskRecord>,
}

/// A request to start a task.
#[derive(Clone, Copy, Debug)]
pub struct StartRequest {
    /// The task.
    pub key: TaskKey,
    /// The number of this attempt to place the task. The upper bits hold the owner's epoch, so the
    /// attempts of a later owner are higher.
    pub attempt: u64,
    /// The job's shard.
    pub shard: ShardId,
    /// The epoch under which the owner decided to start it.
    pub epoch: Epoch,
    /// The digest of the job's service and body.
    pub digest: u64,
    /// The number of tasks in the job.
    pub tasks: u32,
}

/// A started task, as it is reported to a new owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedTask {
    /// The task.
    pub key: TaskKey,
    /// The number of tasks in the job.
    pub tasks: u32,
    /// The digest of the job's service and body.
    pub digest: u64,
    /// The attempt that started.
    pub attempt: u64,
    /// The progress of the task.
    pub progress: Progress,
    /// The service.
    pub service: Arc<str>,
    /// The team whose quota it uses.
    pub team: Arc<str>,
}

/// The record of what an agent has started within the horizon.
#[derive(Debug)]
pub struct StartRecord {
    horizon: Duration,
    margin: Duration,
    budget: usize,
    stored_bytes: usize,
    tasks: usize,
    epochs: HashMap<ShardId, Epoch>,
    jobs: BTreeMap<JobId, JobRecord>,
    /// The time at which each job is dropped.
    expirations: BTreeSet<(Mono, JobId)>,
    /// The ended tasks in order of their ends, oldest first.
    answer_order: VecDeque<TaskKey>,
    names: Names,
    disabled: DisabledCheck,
}

/// The check that is disabled, so that randomised runs can prove that they detect its absence. The
/// daemons never disable one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DisabledCheck {
    /// All checks are enabled.
    #[default]
    Nothing,
    /// The fence: starts under older epochs or without a right are accepted.
    Fence,
    /// The report of started tasks: the reply to a seal is empty.
    Seal,
    /// The horizon: jobs older than it are accepted, although they may have been forgotten.
    Horizon,
}

impl StartRecord {
    /// Creates an empty record that refuses jobs minted longer than `horizon` ago, remembers them
    /// for `margin` longer, and stores up to `budget` bytes of answers.
    ///
    /// The margin must cover the difference between the times of day of any two processes: every
    /// other process must refuse a job before this agent forgets it. If this agent's time is ahead
    /// of all others, the same span counts from the job's first task instead.
    pub fn new(horizon: Duration, margin: Duration, budget: usize) -> StartRecord {
        StartRecord {
            horizon,
            margin,
            budget,
            stored_bytes: 0,
            tasks: 0,
            epochs: HashMap::new(),
            jobs: BTreeMap::new(),
            expirations: BTreeSet::new(),
            answer_order: VecDeque::new(),
            names: Names::default(),
            disabled: DisabledCheck::Nothing,
        }
    }

    /// Disables one check, so that randomised runs can prove that they detect its absence.
    pub fn disable_check(&mut self, disabled: DisabledCheck) {
        self.disabled = disabled;
    }

    /// Returns the highest epoch seen for a shard.
    pub fn epoch(&self, shard: ShardId) -> Epoch {
        self.epochs.get(&shard).copied().unwrap_or_default()
    }

    /// Returns the number of jobs, the number of tasks and the bytes of answers in the record.
    pub fn size(&self) -> (usize, usize, usize) {
        (self.jobs.len(), self.tasks, self.stored_bytes)
    }

    /// Raises the epoch of a shard. Returns false if a higher one has been seen.
    pub fn raise_epoch(&mut self, shard: ShardId, epoch: Epoch) -> bool {
        let seen = self.epochs.entry(shard).or_default();
        if epoch < *seen && self.disabled != DisabledCheck::Fence {
            return false;
        }
        *seen = epoch.max(*seen);
        true
    }

    /// Checks whether the start is permitted, without recording it.
    ///
    /// # Errors
    ///
    /// Returns the reason if it is not.
    pub fn check(&self, now: Now, request: &StartRequest) -> Result<(), StartError> {
        if request.epoch < self.epoch(request.shard) && self.disabled != DisabledCheck::Fence {
            return Err(StartError::Fenced);
        }
        if self.is_expired(now, request.key.job) && self.disabled != DisabledCheck::Horizon {
            return Err(StartError::Expired);
        }
        let Some(entry) = self.entry(request.key) else {
            return Ok(());
        };
        if entry.progress.is_some() {
            return Err(StartError::Started);
        }
        if request.attempt <= entry.attempt {
            return Err(StartError::GivenBack);
        }
        Ok(())
    }

    /// Records a start. Must be called right before the task is sent to the backend server.
    ///
    /// # Errors
    ///
    /// Returns the reason if the start is not permitted; nothing is recorded then.
    pub fn start(
        &mut self,
        now: Now,
        request: &StartRequest,
        service: &str,
        team: &str,
    ) -> Result<(), StartError> {
        self.check(now, request)?;
        self.raise_epoch(request.shard, request.epoch);
        let service = self.names.get(service);
        let team = self.names.get(team);
        let entry = self.ensure_entry(now, request);
        entry.attempt = request.attempt;
        entry.progress = Some(Progress::Running);
        if let Some(job) = self.jobs.get_mut(&request.key.job) {
            job.digest = request.digest;
            job.tasks = request.tasks;
            job.service = service;
            job.team = team;
        }
        Ok(())
    }

    /// Gives an attempt back: records that it must never start.
    ///
    /// # Errors
    ///
    /// Returns [`StartError::Started`] if the task has started already.
    pub fn give_back(&mut self, now: Now, request: &StartRequest) -> Result<(), StartError> {
        let started = self
            .entry(request.key)
            .is_some_and(|e| e.progress.is_some());
        if started {
            return Err(StartError::Started);
        }
        if self.is_expired(now, request.key.job) {
            return Ok(());
        }
        let entry = self.ensure_entry(now, request);
        entry.attempt = entry.attempt.max(request.attempt);
        Ok(())
    }

    /// Records the result of a running task. Does nothing if the task has been forgotten.
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
        self.stored_bytes += body_len(&progress);
        entry.progress = Some(progress);
        self.answer_order.push_back(key);
        self.drop_answers();
    }

    /// Reverts the start of a task of which nothing reached the backend server. The attempt counts
    /// as given back.
    pub fn undo_start(&mut self, key: TaskKey) {
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

    /// Returns the progress of a task, or `None` if it has not started here.
    pub fn progress(&self, key: TaskKey) -> Option<&Progress> {
        self.entry(key)?.progress.as_ref()
    }

    /// Returns the started tasks of the shards.
    pub fn started_tasks(&self, shards: &HashSet<ShardId>) -> Vec<StartedTask> {
        if self.disabled == DisabledCheck::Seal {
            return Vec::new();
        }
        let of_shard = self.jobs.iter().filter(|(_, j)| shards.contains(&j.shard));
        of_shard
            .flat_map(|(id, job)| job.entries.iter().map(move |e| (*id, job, e)))
            .filter_map(|(id, job, e)| {
                Some(StartedTask {
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

    /// Drops the jobs that are older than the horizon and the margin.
    pub fn expire(&mut self, now: Now) {
        while let Some(&(due, job)) = self.expirations.first() {
            if now.mono < due {
                return;
            }
            self.expirations.pop_first();
            let Some(entry) = self.jobs.remove(&job) else {
                continue;
            };
            self.tasks -= entry.entries.len();
            let bodies = entry.entries.iter().filter_map(|e| e.progress.as_ref());
            self.stored_bytes -= bodies.map(body_len).sum::<usize>();
        }
    }

    fn is_expired(&self, now: Now, job: JobId) -> bool {
        job.minted_ms().saturating_add(millis(self.horizon)) <= now.wall_ms
    }

    fn entry(&self, key: TaskKey) -> Option<&TaskRecord> {
        let job = self.jobs.get(&key.job)?;
        job.entries.iter().find(|e| e.task == key.task)
    }

    /// Returns when a job that is recorded now is dropped: the horizon and the margin after it was
    /// minted or recorded, whichever is later.
    fn expires_at(&self, now: Now, job: JobId) -> Mono {
        let ahead = job.minted_ms().saturating_sub(now.wall_ms);
        now.mono + self.horizon + self.margin + Duration::from_millis(ahead)
    }

    /// Returns the record of a task, and creates it if necessary.
    fn ensure_entry(&mut self, now: Now, request: &StartRequest) -> &mut TaskRecord {
        if !self.jobs.contains_key(&request.key.job) {
            let due = self.expires_at(now, request.key.job);
            self.expirations.insert((due, request.key.job));
        }
        let job = self
            .jobs
            .entry(request.key.job)
            .or_insert_with(|| JobRecord {
                shard: request.shard,
                service: self.names.get(""),
                team: self.names.get(""),
                digest: request.digest,
                tasks: request.tasks,
                entries: Vec::new(),
            });
        let index = job.entries.iter().position(|e| e.task == request.key.task);
        let index = index.unwrap_or_else(|| {
            self.tasks += 1;
            job.entries.push(TaskRecord {
                task: request.key.task,
                attempt: 0,
                progress: None,
            });
            job.entries.len() - 1
        });
        &mut job.entries[index]
    }

    /// Drops the oldest answers until the rest is within the budget. Failure messages are kept.
    fn drop_answers(&mut self) {
        while self.stored_bytes > self.budget {
            let Some(key) = self.answer_order.pop_front() else {
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
                self.stored_bytes -= body_len(progress);
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
