//! Ends jobs: when their tasks decide the outcome or at their deadline. Ended jobs are kept until
//! the horizon has passed, then dropped.

use super::Entry;
use super::PendingOp;
use super::Placed;
use crate::clock::millis;
use crate::fleet::AgentKey;
use crate::job_table::JobKey;
use crate::job_table::TaskState;
use crate::outcome::Cause;
use crate::outcome::JobReply;
use crate::prelude::*;
use crate::store::StoreOp;

/// How long after its deadline a job waits for answers of the agents that hold its tasks.
const LATE_ANSWER_GRACE: Duration = Duration::from_millis(500);

impl Entry {
    /// Sets the state of a placed task, and ends its job if that decides the outcome.
    pub(super) fn set_task_state(
        &mut self,
        now: Now,
        task: TaskKey,
        placed: &Placed,
        state: TaskState,
    ) {
        let Some(key) = self.table.find(task.job) else {
            return;
        };
        self.table.update(key, |job| {
            let is_undecided = job.is_undecided();
            let Some(entry) = job.tasks.get_mut(task.task as usize) else {
                return;
            };
            let here = matches!(entry.state, TaskState::Placed { attempt, .. }
                if attempt == placed.attempt);
            if here && is_undecided {
                entry.state = state;
            }
        });
        self.end_if_decided(now, key);
    }

    /// Records an agent's answer for a task that had been given up as lost. Its job has ended as
    /// `unknown` or `failed`; a caller of an `unknown` one learns more when it asks again. Returns
    /// whether the task was lost at that agent.
    pub(super) fn resolve_lost_task(
        &mut self,
        agent: AgentKey,
        task: TaskKey,
        answer: &wire::Answer,
    ) -> bool {
        let Some(lost) = self.lost.get(&task).copied() else {
            return false;
        };
        let incarnation = self.fleet.get(agent).map(|w| w.incarnation);
        if incarnation != Some(lost.incarnation) || answer.attempt != lost.attempt {
            return false;
        }
        self.lost.remove(&task);
        let state = match answer.status() {
            wire::Status::Ok => TaskState::Answered(answer.body.clone()),
            wire::Status::Failed => TaskState::Failed(answer.body.clone()),
            _ => TaskState::Queued,
        };
        if let Some(key) = self.table.find(task.job) {
            self.table.update(key, |job| {
                let entry = job.tasks.get_mut(task.task as usize);
                if let Some(entry) = entry.filter(|t| t.state == TaskState::Lost) {
                    entry.state = state;
                }
            });
        }
        true
    }

    /// Ends a job if its tasks decide the outcome: all have answered, or one has failed or is lost.
    pub(super) fn end_if_decided(&mut self, now: Now, key: JobKey) {
        let Some(job) = self.table.get(key) else {
            return;
        };
        if job.ended.is_some() {
            return;
        }
        let done = |s: &TaskState| matches!(s, TaskState::Answered(_));
        let all_answered = job.tasks.iter().all(|t| done(&t.state));
        let failed = |s: &TaskState| matches!(s, TaskState::Failed(_) | TaskState::Lost);
        let any_failed = job.tasks.iter().any(|t| failed(&t.state));
        if all_answered || any_failed {
            let detail = "a task may have run, and the agent that would know can't be asked";
            let cause = if job.has_lost_task() && !self.is_accounted_for(job.shard, job.id) {
                Cause::Unreadable
            } else {
                Cause::WorkerLost
            };
            self.end_job(now, key, cause, detail, 0);
        }
    }

    /// Ends a job and answers its waiters. A job of a shard that is being handed over is left to the
    /// next owner, because the record sent there states that the job has not ended.
    pub(super) fn end_job(
        &mut self,
        now: Now,
        key: JobKey,
        cause: Cause,
        detail: &str,
        retry_ms: u64,
    ) {
        let Some(job) = self.table.get(key) else {
            return;
        };
        if job.ended.is_some() || self.owned_shards.is_handing_over(job.shard) {
            return;
        }
        let deadline = job.deadline;
        let mut reply = job.reply(cause, detail);
        if let JobReply::Other(refusal) = &mut reply {
            if refusal.outcome == Some(Outcome::NotRun) {
                refusal.outcome = Some(self.unstarted_outcome(now));
                refusal.retry_ms = retry_ms;
            }
            if refusal.outcome == Some(Outcome::NotRun) {
                assert!(!job.has_run() && !job.has_outstanding_task() && !job.has_lost_task());
            }
        }
        let outcome = match &reply {
            JobReply::Complete(_) => Outcome::Complete,
            JobReply::Other(refusal) => refusal.outcome.unwrap_or(Outcome::Unknown),
        };
        self.counts.outcomes[outcome.code() as usize] += 1;
        self.deadlines.remove(&(deadline, key));
        let kept = reply.clone();
        let retry_at = now.mono + Duration::from_millis(retry_ms);
        let waiters = self.table.update(key, |job| {
            // The outcome of an unknown job may still become known, so its answers are kept.
            if outcome != Outcome::Unknown {
                job.drop_bodies(&kept);
            }
            job.ended = Some(kept);
            job.retry_at = retry_at;
            std::mem::take(&mut job.waiters)
        });
        for waiter in waiters.unwrap_or_default() {
            self.answer_waiter(waiter, reply.clone());
        }
    }

    /// Ends the jobs whose deadline has passed. A job with tasks at agents waits a little longer for
    /// their answers, so that one that did not start does not end as `unknown`.
    pub(super) fn end_due_jobs(&mut self, now: Now) {
        while let Some(&(due, key)) = self.deadlines.first() {
            if now.mono < due {
                return;
            }
            self.deadlines.pop_first();
            let Some(job) = self.table.get(key) else {
                continue;
            };
            if job.ended.is_some() {
                continue;
            }
            if self.owned_shards.is_handing_over(job.shard) {
                // The next owner decides, or this entry if the handover is aborted.
                self.deadlines.insert((now.mono + LATE_ANSWER_GRACE, key));
                continue;
            }
            let last = job.deadline + LATE_ANSWER_GRACE;
            if job.has_outstanding_task() && now.mono < last {
                self.deadlines.insert((last, key));
                continue;
            }
            let retry = crate::admission::retry_ms(self.admission.mean(), &mut self.rng);
            let detail = "the deadline passed first";
            self.end_job(now, key, Cause::Deadline, detail, retry);
        }
    }

    /// Drops the jobs that are older than the horizon by every box's clock. An entry whose clock is
    /// behind may be handed the shard, and must find the record of every job that it would still
    /// accept.
    pub(super) fn expire_jobs(&mut self, now: Now) {
        let kept = self.setup.horizon + self.setup.skew * 2;
        let bound = JobId::floor(now.wall_ms.saturating_sub(millis(kept)));
        while let Some(id) = self.table.oldest().filter(|id| *id < bound) {
            let removed = self.table.remove(id);
            self.lost.retain(|t, _| t.job != id);
            let claimed = removed.is_some_and(|j| j.claimed);
            if claimed {
                let key = super::claims::claim_key(id);
                self.store(PendingOp::Remove, StoreOp::Remove { key });
            }
        }
    }
}
