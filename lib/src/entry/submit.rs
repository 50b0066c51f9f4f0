//! Decides on a job at the owner of its shard: the request joins the job of the same id, gets its known
//! answer, is refused, or is accepted and its tasks queued. A job is refused as `not_run` only if no
//! task of it can have started.

use std::sync::Arc;

use super::Entry;
use super::requests::Submission;
use crate::admission::QueueLoad;
use crate::admission::retry_ms;
use crate::clock::millis;
use crate::configuration::Favour;
use crate::configuration::Repeat;
use crate::configuration::Service;
use crate::fleet::AgentKey;
use crate::job_body::JobBody;
use crate::job_table::Job;
use crate::job_table::JobKey;
use crate::job_table::Task;
use crate::job_table::TaskState;
use crate::job_table::Waiter;
use crate::lanes::LaneName;
use crate::outcome::Cause;
use crate::outcome::JobReply;
use crate::outcome::Refusal;
use crate::prelude::*;
use crate::shard::body_digest;

/// The retry delay given to callers when no worker is reachable or the memory for jobs is used up.
const NO_WORKER_RETRY_MS: u64 = 1_000;

/// The recent refusal of a job that is not in the job table.
#[derive(Clone, Debug)]
pub(super) struct RecentRefusal {
    pub(super) shard: ShardId,
    digest: u64,
    retry_at: Mono,
    refusal: Refusal,
}

/// The data of a job that has passed all checks.
struct CheckedJob {
    lane: LaneName,
    need: Room,
    repeat: Repeat,
    body: JobBody,
    deadline: Mono,
    digest: u64,
    shard: ShardId,
}

impl Entry {
    /// Decides on a request for a job that this entry owns.
    pub(super) fn decide_request(&mut self, now: Now, waiter: Waiter, submission: Submission) {
        if submission.peek {
            let reply = self.look_up(now, submission.job);
            return self.answer_waiter(waiter, reply);
        }
        let digest = body_digest(&submission.service, &submission.body);
        if let Some(key) = self.table.find(submission.job)
            && self.join_existing(now, waiter, key, digest)
        {
            return;
        }
        if let Some(refusal) = self.recent_refusal(now, submission.job, digest) {
            return self.answer_waiter(waiter, JobReply::Other(refusal));
        }
        if self.is_awaiting_lead(now, &submission) {
            return self.hold_request(now, waiter, submission);
        }
        match self.check_job(now, &submission, digest) {
            Ok(checked) => self.accept_job(now, waiter, submission.job, checked),
            Err(refusal) => {
                self.remember_refusal(now, &submission, digest, &refusal);
                self.answer_waiter(waiter, JobReply::Other(refusal));
            }
        }
    }

    /// Remembers a `not_run` refusal for the retry delay given to its caller. Otherwise a duplicate of
    /// the request could start the job while the refusal is in transit.
    fn remember_refusal(&mut self, now: Now, s: &Submission, digest: u64, refusal: &Refusal) {
        let delayed = refusal.outcome == Some(Outcome::NotRun) && refusal.retry_ms > 0;
        let Some(shard) = self.shard_of(s.job).filter(|_| delayed) else {
            return;
        };
        let retry_at = now.mono + Duration::from_millis(refusal.retry_ms);
        if let Some(key) = self.table.find(s.job) {
            self.table.update(key, |job| job.retry_at = retry_at);
            return;
        }
        let refused = RecentRefusal {
            shard,
            digest,
            retry_at,
            refusal: refusal.clone(),
        };
        self.recent_refusals.insert(s.job, refused);
    }

    /// Returns a job's recent refusal if its retry delay has not passed.
    fn recent_refusal(&self, now: Now, job: JobId, digest: u64) -> Option<Refusal> {
        let refused = self.recent_refusals.get(&job)?;
        let wait_ms = millis(now.mono.until(refused.retry_at));
        let same = refused.digest == digest && wait_ms > 0;
        same.then(|| refused.refusal.clone().retry(wait_ms))
    }

    /// Forgets refusals whose retry delay has passed.
    pub(super) fn forget_old_refusals(&mut self, now: Now) {
        self.recent_refusals.retain(|_, r| now.mono < r.retry_at);
    }

    /// Returns what is known of a job, without starting anything.
    fn look_up(&self, now: Now, job: JobId) -> JobReply {
        let known = self.table.find(job).and_then(|k| self.table.get(k));
        if let Some(job) = known {
            if job.is_resolved() {
                return job.reply(Cause::WorkerLost, "send it again to have the rest done");
            }
            return job.ended.clone().unwrap_or_else(|| {
                JobReply::Other(Refusal {
                    outcome: None,
                    cause: Cause::Running,
                    detail: "the job has not ended".into(),
                    retry_ms: 0,
                })
            });
        }
        let accounted = self
            .shard_of(job)
            .is_some_and(|s| self.is_accounted_for(s, job));
        let fresh = !self.is_expired(now, job);
        let outcome = if accounted && fresh {
            self.unstarted_outcome(now)
        } else {
            Outcome::Unknown
        };
        JobReply::Other(Refusal::new(
            outcome,
            Cause::NotFound,
            "no such job is known",
        ))
    }

    /// Joins a request to the known job of the same id: waits for it or gets its answer. Returns false if
    /// the job has to be submitted anew.
    fn join_existing(&mut self, now: Now, waiter: Waiter, key: JobKey, digest: u64) -> bool {
        let Some(job) = self.table.get(key) else {
            return false;
        };
        if job.digest != digest {
            let detail = "this id belongs to another body or service; that job is not affected";
            let refusal = Refusal::new(Outcome::NotRun, Cause::Reused, detail);
            self.answer_waiter(waiter, JobReply::Other(refusal));
            return true;
        }
        match &job.ended {
            Some(JobReply::Other(r)) if r.outcome == Some(Outcome::NotRun) => {
                let wait_ms = millis(now.mono.until(job.retry_at));
                if wait_ms == 0 {
                    return false;
                }
                let refusal = r.clone().retry(wait_ms);
                self.answer_waiter(waiter, JobReply::Other(refusal));
                true
            }
            Some(_) if job.is_resolved() => false,
            Some(reply) => {
                let reply = reply.clone();
                self.answer_waiter(waiter, reply);
                true
            }
            None if job.submitted => {
                self.table.update(key, |j| j.waiters.push(waiter));
                true
            }
            None => false,
        }
    }

    fn is_expired(&self, now: Now, job: JobId) -> bool {
        let past = job.minted_ms() + millis(self.setup.horizon) <= now.wall_ms;
        past && !self.skip_horizon
    }

    /// Returns whether this entry knows every task of a job that may have started.
    pub(super) fn is_accounted_for(&self, shard: ShardId, job: JobId) -> bool {
        let Some(held) = self.owned_shards.get(shard) else {
            return false;
        };
        held.clear_ms == 0 || job.minted_ms() > held.clear_ms
    }

    /// Checks whether a job can be accepted.
    fn check_job(&mut self, now: Now, s: &Submission, digest: u64) -> Result<CheckedJob, Refusal> {
        let shard = self.check_id(now, s.job)?;
        let idle = self.refusal_outcome(now, shard, s.job);
        let refuse = |cause, detail: String| Refusal::new(idle, cause, detail);
        let body = JobBody::parse(&s.body).map_err(|e| refuse(Cause::Invalid, e.to_string()))?;
        let config = self.follower.config().clone();
        let Some(service) = config.services.get(&s.service) else {
            let detail = format!("no service `{}` is configured", s.service);
            return Err(refuse(Cause::NoService, detail));
        };
        let team = if s.team.is_empty() {
            &service.team
        } else {
            &s.team
        };
        let known = *team == service.team || config.teams.contains_key(team);
        if !known {
            return Err(refuse(
                Cause::NoService,
                format!("no team `{team}` is configured"),
            ));
        }
        let lane = LaneName {
            team: self.names.get(team),
            service: self.names.get(&s.service),
        };
        let asked = body.deadline_ms.unwrap_or(config.limits.deadline_ms);
        let bound = asked.min(config.limits.longest_ms);
        let left = s.left.min(Duration::from_millis(bound));
        let slots = self.usable_slots(now, &lane.service, service);
        if slots == 0 {
            let detail = "no worker in the permitted halls and zones can be reached";
            let refusal = refuse(Cause::NoWorker, detail.into());
            return Err(refusal.retry(NO_WORKER_RETRY_MS));
        }
        self.check_load(&lane, slots, body.tasks.len(), left)
            .map_err(|(cause, detail, retry)| refuse(cause, detail).retry(retry))?;
        Ok(CheckedJob {
            lane,
            need: service.task_room(),
            repeat: service.repeat,
            deadline: now.mono + left,
            body,
            digest,
            shard,
        })
    }

    fn check_id(&self, now: Now, job: JobId) -> Result<ShardId, Refusal> {
        let unknown = |cause, detail: &str| Refusal::new(Outcome::Unknown, cause, detail);
        let Some(shard) = self.shard_of(job) else {
            return Err(unknown(Cause::NoOwner, "the ownership record is not known"));
        };
        if self.is_expired(now, job) {
            let detail = "the id was minted longer ago than the horizon; what became of the job \
                          is not remembered";
            return Err(unknown(Cause::Expired, detail));
        }
        let minted_ms = job.minted_ms();
        if minted_ms > self.latest_mint_ms(now) {
            let known = self.is_known_to_all();
            let sure = minted_ms > self.latest_taken_ms(now, known);
            let outcome = if sure {
                Outcome::NotRun
            } else {
                Outcome::Unknown
            };
            let ahead_ms = minted_ms - now.wall_ms;
            let detail = format!(
                "the id was minted {ahead_ms} ms in the future by the time of this entry; one of the two clocks is wrong"
            );
            return Err(Refusal::new(outcome, Cause::Ahead, detail));
        }
        Ok(shard)
    }

    /// Returns the outcome to report when a job is refused: `Unknown` unless none of its tasks can have
    /// started.
    fn refusal_outcome(&self, now: Now, shard: ShardId, job: JobId) -> Outcome {
        let known = self.table.find(job).and_then(|k| self.table.get(k));
        let touched =
            known.is_some_and(|j| j.has_run() || j.has_outstanding_task() || j.has_lost_task());
        if touched || !self.is_accounted_for(shard, job) {
            return Outcome::Unknown;
        }
        self.unstarted_outcome(now)
    }

    /// Returns the number of slots at workers that can take the service's tasks now.
    fn usable_slots(&mut self, now: Now, name: &Arc<str>, service: &Service) -> usize {
        let keys = self.permitted(name, service);
        let workers = keys.iter().filter_map(|k| self.fleet.get(*k));
        let usable = workers.filter(|w| w.is_usable(now.mono));
        let slots = usable.map(|w| w.room.slots as usize).sum::<usize>();
        match service.capacity {
            0 => slots,
            bound => slots.min(bound as usize),
        }
    }

    /// Returns the workers at which a service's tasks may run, cached until the configuration or the
    /// fleet changes.
    pub(super) fn permitted(&mut self, name: &Arc<str>, service: &Service) -> Arc<[AgentKey]> {
        if let Some(known) = self.permitted.get(name) {
            return known.clone();
        }
        let keys: Arc<[AgentKey]> = self.fleet.permitted(service).into();
        self.permitted.insert(name.clone(), keys.clone());
        keys
    }

    fn check_load(
        &mut self,
        lane: &LaneName,
        slots: usize,
        tasks: usize,
        left: Duration,
    ) -> Result<(), (Cause, String, u64)> {
        let config = self.follower.config();
        let quota = config.teams.get(&*lane.team).map(|t| t.quota as usize);
        if self.table.size().1 > self.setup.budget {
            let detail = "the memory for jobs is spent";
            return Err((Cause::Memory, detail.into(), NO_WORKER_RETRY_MS));
        }
        let running = self.placed.len().saturating_sub(slots);
        let load = QueueLoad {
            waiting: self.lanes.len() + running,
            slots,
            team_waiting: self.lanes.waiting(&lane.team),
            team_quota: quota,
            queue: config.limits.queue as usize,
            longest: match config.limits.favour {
                Favour::Time => self.setup.max_wait,
                Favour::Messages => left,
            },
        };
        if quota == Some(0) {
            let detail = format!("team `{}` has no quota", lane.team);
            return Err((Cause::QueueFull, detail, 0));
        }
        let admitted = self.admission.admit(&load, tasks, left);
        admitted.map_err(|(cause, wait)| {
            let waiting = load.waiting;
            let detail = format!(
                "{waiting} tasks are in front, a wait of about {} ms",
                millis(wait)
            );
            (cause, detail, retry_ms(wait, &mut self.rng))
        })
    }

    /// Accepts a job: inserts its record, or completes the one that exists.
    fn accept_job(&mut self, now: Now, waiter: Waiter, id: JobId, checked: CheckedJob) {
        let accounted = self.is_accounted_for(checked.shard, id);
        let repeat = checked.repeat;
        let key = match self.table.find(id) {
            Some(key) => self.fill_record(now, key, waiter, checked, accounted),
            None => self
                .table
                .insert(new_job(now, id, waiter, checked, accounted)),
        };
        let Some(job) = self.table.get(key) else {
            return;
        };
        self.deadlines.insert((job.deadline, key));
        if job.has_lost_task() || job.tasks.iter().all(|t| t.state != TaskState::Queued) {
            return self.end_if_decided(now, key);
        }
        if repeat == Repeat::Never && !job.claimed {
            return self.write_claim(key);
        }
        self.enqueue(key);
    }

    /// Completes a record that has no bodies, either of a job known from agents only or of one that
    /// ended without running.
    fn fill_record(
        &mut self,
        now: Now,
        key: JobKey,
        waiter: Waiter,
        checked: CheckedJob,
        accounted: bool,
    ) -> JobKey {
        self.table.update(key, |job| {
            job.waiters.push(waiter);
            job.arrived = now.mono;
            job.deadline = checked.deadline;
            job.lane = checked.lane;
            job.need = checked.need;
            job.submitted = true;
            job.ended = None;
            for (task, payload) in job.tasks.iter_mut().zip(checked.body.tasks) {
                task.payload = payload;
                if task.state == TaskState::Queued && !accounted {
                    task.state = TaskState::Lost;
                }
            }
        });
        key
    }

    /// Queues the tasks of a job that have not been placed.
    pub(super) fn enqueue(&mut self, key: JobKey) {
        let Some(job) = self.table.get(key) else {
            return;
        };
        let queued = job.tasks.iter().enumerate();
        let waiting: Vec<TaskKey> = queued
            .filter(|(_, t)| t.state == TaskState::Queued)
            .map(|(i, _)| TaskKey {
                job: job.id,
                task: i as u32,
            })
            .collect();
        let lane = job.lane.clone();
        for task in waiting {
            self.lanes.push(&lane, task);
        }
    }
}

fn new_job(now: Now, id: JobId, waiter: Waiter, checked: CheckedJob, accounted: bool) -> Job {
    let state = if accounted {
        TaskState::Queued
    } else {
        TaskState::Lost
    };
    let task = |payload| Task {
        payload,
        state: state.clone(),
        tries: 0,
    };
    Job {
        id,
        shard: checked.shard,
        digest: checked.digest,
        lane: checked.lane,
        need: checked.need,
        tasks: checked.body.tasks.into_iter().map(task).collect(),
        arrived: now.mono,
        deadline: checked.deadline,
        waiters: vec![waiter],
        ended: None,
        retry_at: Mono(0),
        submitted: true,
        claimed: false,
        claiming: false,
    }
}
