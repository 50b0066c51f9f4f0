//! What the owner of a shard does with a job: joins it to a running one, gives the known answer,
//! refuses it, or takes it in.

use std::sync::Arc;

use super::Entry;
use super::requests::Submission;
use crate::admission::Crowd;
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
use crate::outcome::Refusal;
use crate::outcome::Verdict;
use crate::prelude::*;
use crate::shard::body_digest;

/// When to come back after a refusal that lack of a worker caused.
const NO_WORKER_RETRY_MS: u64 = 1_000;

/// A job that was refused and has no record otherwise.
#[derive(Clone, Debug)]
pub(super) struct Refused {
    pub(super) shard: ShardId,
    digest: u64,
    again: Mono,
    refusal: Refusal,
}

/// A job that has passed every check.
struct Plan {
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
    pub(super) fn decide(&mut self, now: Now, waiter: Waiter, submission: Submission) {
        if submission.peek {
            let verdict = self.look(now, submission.job);
            return self.tell(waiter, verdict);
        }
        let digest = body_digest(&submission.service, &submission.body);
        if let Some(key) = self.table.find(submission.job)
            && self.join(now, waiter, key, digest)
        {
            return;
        }
        if let Some(refusal) = self.refused_lately(now, submission.job, digest) {
            return self.tell(waiter, Verdict::Other(refusal));
        }
        if self.awaits_lead(now, &submission) {
            return self.hold(now, waiter, submission);
        }
        match self.plan(now, &submission, digest) {
            Ok(plan) => self.take_in(now, waiter, submission.job, plan),
            Err(refusal) => {
                self.note_refusal(now, &submission, digest, &refusal);
                self.tell(waiter, Verdict::Other(refusal));
            }
        }
    }

    /// Remembers a `not_run` for as long as its caller was asked to stay away. Without it a
    /// copy of the request that is under way at the same time could start the job while the
    /// refusal travels.
    fn note_refusal(&mut self, now: Now, s: &Submission, digest: u64, refusal: &Refusal) {
        let stays = refusal.outcome == Some(Outcome::NotRun) && refusal.retry_ms > 0;
        let Some(shard) = self.shard_of(s.job).filter(|_| stays) else {
            return;
        };
        let again = now.mono + Duration::from_millis(refusal.retry_ms);
        if let Some(key) = self.table.find(s.job) {
            self.table.update(key, |job| job.again = again);
            return;
        }
        let refused = Refused {
            shard,
            digest,
            again,
            refusal: refusal.clone(),
        };
        self.refused.insert(s.job, refused);
    }

    /// The refusal that a job got a moment ago, if its caller was asked to stay away for longer.
    fn refused_lately(&self, now: Now, job: JobId, digest: u64) -> Option<Refusal> {
        let refused = self.refused.get(&job)?;
        let wait_ms = millis(now.mono.until(refused.again));
        let same = refused.digest == digest && wait_ms > 0;
        same.then(|| refused.refusal.clone().retry(wait_ms))
    }

    /// Forgets refusals whose callers may come back.
    pub(super) fn forget_refused(&mut self, now: Now) {
        self.refused.retain(|_, r| now.mono < r.again);
    }

    /// What is known of a job, without starting anything.
    fn look(&self, now: Now, job: JobId) -> Verdict {
        let known = self.table.find(job).and_then(|k| self.table.get(k));
        if let Some(job) = known {
            if job.is_resolved() {
                return job.verdict(Cause::WorkerLost, "send it again to have the rest done");
            }
            return job.ended.clone().unwrap_or_else(|| {
                Verdict::Other(Refusal {
                    outcome: None,
                    cause: Cause::Running,
                    detail: "the job has not ended".into(),
                    retry_ms: 0,
                })
            });
        }
        let whole = self.shard_of(job).is_some_and(|s| self.readable(s, job));
        let fresh = !self.expired(now, job);
        let outcome = if whole && fresh {
            self.idle_outcome(now)
        } else {
            Outcome::Unknown
        };
        Verdict::Other(Refusal::new(
            outcome,
            Cause::NotFound,
            "no such job is known",
        ))
    }

    /// Joins a request to the job of the same id. Returns false if the job has to be taken in.
    fn join(&mut self, now: Now, waiter: Waiter, key: JobKey, digest: u64) -> bool {
        let Some(job) = self.table.get(key) else {
            return false;
        };
        if job.digest != digest {
            let detail = "this id belongs to another body or service; that job is not affected";
            let refusal = Refusal::new(Outcome::NotRun, Cause::Reused, detail);
            self.tell(waiter, Verdict::Other(refusal));
            return true;
        }
        match &job.ended {
            Some(Verdict::Other(r)) if r.outcome == Some(Outcome::NotRun) => {
                let wait_ms = millis(now.mono.until(job.again));
                if wait_ms == 0 {
                    return false;
                }
                let again = r.clone().retry(wait_ms);
                self.tell(waiter, Verdict::Other(again));
                true
            }
            Some(_) if job.is_resolved() => false,
            Some(verdict) => {
                let verdict = verdict.clone();
                self.tell(waiter, verdict);
                true
            }
            None if job.submitted => {
                self.table.update(key, |j| j.waiters.push(waiter));
                true
            }
            None => false,
        }
    }

    fn expired(&self, now: Now, job: JobId) -> bool {
        let past = job.minted_ms() + millis(self.setup.horizon) <= now.wall_ms;
        past && !self.forgetful
    }

    /// Whether all that may have started of a job is known here.
    pub(super) fn readable(&self, shard: ShardId, job: JobId) -> bool {
        let Some(held) = self.holdings.get(shard) else {
            return false;
        };
        held.clear_ms == 0 || job.minted_ms() > held.clear_ms
    }

    /// Checks everything that can be wrong with a job before it is taken in.
    fn plan(&mut self, now: Now, s: &Submission, digest: u64) -> Result<Plan, Refusal> {
        let shard = self.check_id(now, s.job)?;
        let idle = self.outcome_untouched(now, shard, s.job);
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
        self.check_crowd(&lane, slots, body.tasks.len(), left)
            .map_err(|(cause, detail, retry)| refuse(cause, detail).retry(retry))?;
        Ok(Plan {
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
        if self.expired(now, job) {
            let detail = "the id was minted longer ago than the horizon; what became of the job \
                          is not remembered";
            return Err(unknown(Cause::Expired, detail));
        }
        let minted_ms = job.minted_ms();
        if minted_ms > self.latest_ms(now) {
            let known = self.is_known_to_all();
            let sure = minted_ms > self.taken_up_to_ms(now, known);
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

    /// The outcome to tell when a job is refused that nothing is known of.
    fn outcome_untouched(&self, now: Now, shard: ShardId, job: JobId) -> Outcome {
        let known = self.table.find(job).and_then(|k| self.table.get(k));
        let touched = known.is_some_and(|j| j.ran() || j.outstanding() || j.lost());
        if touched || !self.readable(shard, job) {
            return Outcome::Unknown;
        }
        self.idle_outcome(now)
    }

    /// The slots of the workers that may take the service's tasks now.
    fn usable_slots(&mut self, now: Now, name: &Arc<str>, service: &Service) -> usize {
        let keys = self.permitted(name, service);
        let workers = keys.iter().filter_map(|k| self.fleet.get(*k));
        let usable = workers.filter(|w| w.usable(now.mono));
        let slots = usable.map(|w| w.room.slots as usize).sum::<usize>();
        match service.capacity {
            0 => slots,
            bound => slots.min(bound as usize),
        }
    }

    /// The workers at which a service's tasks may run, remembered until something changes.
    pub(super) fn permitted(&mut self, name: &Arc<str>, service: &Service) -> Arc<[AgentKey]> {
        if let Some(known) = self.permitted.get(name) {
            return known.clone();
        }
        let keys: Arc<[AgentKey]> = self.fleet.permitted(service).into();
        self.permitted.insert(name.clone(), keys.clone());
        keys
    }

    fn check_crowd(
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
        let crowd = Crowd {
            waiting: self.lanes.len() + running,
            slots,
            team_waiting: self.lanes.waiting(&lane.team),
            team_quota: quota,
            queue: config.limits.queue as usize,
            longest: match config.limits.favour {
                Favour::Time => self.setup.wait,
                Favour::Messages => left,
            },
        };
        if quota == Some(0) {
            let detail = format!("team `{}` has no quota", lane.team);
            return Err((Cause::QueueFull, detail, 0));
        }
        let admitted = self.admission.admit(&crowd, tasks, left);
        admitted.map_err(|(cause, wait)| {
            let waiting = crowd.waiting;
            let detail = format!(
                "{waiting} tasks are in front, a wait of about {} ms",
                millis(wait)
            );
            (cause, detail, retry_ms(wait, &mut self.rng))
        })
    }

    /// Takes a job in: makes its record, or completes one that is known from agents alone.
    fn take_in(&mut self, now: Now, waiter: Waiter, id: JobId, plan: Plan) {
        let readable = self.readable(plan.shard, id);
        let repeat = plan.repeat;
        let key = match self.table.find(id) {
            Some(key) => self.resume(now, key, waiter, plan, readable),
            None => self.table.insert(new_job(now, id, waiter, plan, readable)),
        };
        let Some(job) = self.table.get(key) else {
            return;
        };
        self.deadlines.insert((job.deadline, key));
        if job.lost() || job.tasks.iter().all(|t| t.state != TaskState::Queued) {
            return self.check_end(now, key);
        }
        if repeat == Repeat::Never && !job.claimed {
            return self.write_claim(key);
        }
        self.enqueue(key);
    }

    /// Fills in a record that has no bodies: one known from agents, or one that did not run.
    fn resume(
        &mut self,
        now: Now,
        key: JobKey,
        waiter: Waiter,
        plan: Plan,
        readable: bool,
    ) -> JobKey {
        self.table.update(key, |job| {
            job.waiters.push(waiter);
            job.arrived = now.mono;
            job.deadline = plan.deadline;
            job.lane = plan.lane;
            job.need = plan.need;
            job.submitted = true;
            job.ended = None;
            for (task, payload) in job.tasks.iter_mut().zip(plan.body.tasks) {
                task.payload = payload;
                if task.state == TaskState::Queued && !readable {
                    task.state = TaskState::Lost;
                }
            }
        });
        key
    }

    /// Lets the tasks of a job wait for workers.
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

fn new_job(now: Now, id: JobId, waiter: Waiter, plan: Plan, readable: bool) -> Job {
    let state = if readable {
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
        shard: plan.shard,
        digest: plan.digest,
        lane: plan.lane,
        need: plan.need,
        tasks: plan.body.tasks.into_iter().map(task).collect(),
        arrived: now.mono,
        deadline: plan.deadline,
        waiters: vec![waiter],
        ended: None,
        again: Mono(0),
        submitted: true,
        claimed: false,
        claiming: false,
    }
}
