//! How jobs end: by their tasks, by their deadline, and out of memory at the horizon.

use super::Entry;
use super::Errand;
use super::Placed;
use crate::clock::millis;
use crate::fleet::AgentKey;
use crate::job_table::JobKey;
use crate::job_table::TaskState;
use crate::outcome::Cause;
use crate::outcome::Verdict;
use crate::prelude::*;
use crate::store::StoreOp;

/// How long after its deadline a job waits for the word of the agents that hold its tasks.
const LAST_WORD: Duration = Duration::from_millis(500);

impl Entry {
    /// Sets the state of a task that was placed, and ends its job if that decides it.
    pub(super) fn settle_task(
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
        self.check_end(now, key);
    }

    /// Takes in the word on a task that had been given up with its agent. The job has ended as
    /// `unknown` or `failed`; one that was `unknown` can be told more when it is asked for again.
    /// Returns whether the task was such a one.
    pub(super) fn found_again(
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

    /// Ends a job if its tasks decide it: all answered, or one failed or lost.
    pub(super) fn check_end(&mut self, now: Now, key: JobKey) {
        let Some(job) = self.table.get(key) else {
            return;
        };
        if job.ended.is_some() {
            return;
        }
        let done = |s: &TaskState| matches!(s, TaskState::Answered(_));
        let whole = job.tasks.iter().all(|t| done(&t.state));
        let failed = |s: &TaskState| matches!(s, TaskState::Failed(_) | TaskState::Lost);
        let broken = job.tasks.iter().any(|t| failed(&t.state));
        if whole || broken {
            let detail = "a task may have run, and the agent that would know can't be asked";
            let cause = if job.lost() && !self.readable(job.shard, job.id) {
                Cause::Unreadable
            } else {
                Cause::WorkerLost
            };
            self.end_job(now, key, cause, detail, 0);
        }
    }

    /// Ends a job and tells whoever waits. A job whose record is on its way to another entry is
    /// left to that entry: the record says that it has not ended.
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
        if job.ended.is_some() || self.holdings.handing(job.shard) {
            return;
        }
        let deadline = job.deadline;
        let mut verdict = job.verdict(cause, detail);
        if let Verdict::Other(refusal) = &mut verdict {
            if refusal.outcome == Some(Outcome::NotRun) {
                refusal.outcome = Some(self.idle_outcome(now));
                refusal.retry_ms = retry_ms;
            }
            if refusal.outcome == Some(Outcome::NotRun) {
                assert!(!job.ran() && !job.outstanding() && !job.lost());
            }
        }
        let outcome = match &verdict {
            Verdict::Complete(_) => Outcome::Complete,
            Verdict::Other(refusal) => refusal.outcome.unwrap_or(Outcome::Unknown),
        };
        self.counts.outcomes[outcome.code() as usize] += 1;
        self.deadlines.remove(&(deadline, key));
        let kept = verdict.clone();
        let again = now.mono + Duration::from_millis(retry_ms);
        let waiters = self.table.update(key, |job| {
            // More may be heard of a job that is unknown, so its answers are kept.
            if outcome != Outcome::Unknown {
                job.drop_bodies(&kept);
            }
            job.ended = Some(kept);
            job.again = again;
            std::mem::take(&mut job.waiters)
        });
        for waiter in waiters.unwrap_or_default() {
            self.tell(waiter, verdict.clone());
        }
    }

    /// Ends the jobs whose deadline has passed. One with tasks at agents waits a little for their
    /// word, because a job that did not start shall not end as unknown.
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
            if self.holdings.handing(job.shard) {
                // Its next owner decides, or this one when it has the shard back.
                self.deadlines.insert((now.mono + LAST_WORD, key));
                continue;
            }
            let last = job.deadline + LAST_WORD;
            if job.outstanding() && now.mono < last {
                self.deadlines.insert((last, key));
                continue;
            }
            let retry = crate::admission::retry_ms(self.admission.mean(), &mut self.rng);
            let detail = "the deadline passed first";
            self.end_job(now, key, Cause::Deadline, detail, retry);
        }
    }

    /// Forgets the jobs that the horizon has passed, by every box's clock: an entry whose clock is
    /// behind may be handed the shard and must not find a job missing that it would still take.
    pub(super) fn expire_jobs(&mut self, now: Now) {
        let kept = self.setup.horizon + self.setup.skew * 2;
        let bound = JobId::floor(now.wall_ms.saturating_sub(millis(kept)));
        while let Some(id) = self.table.oldest().filter(|id| *id < bound) {
            let removed = self.table.remove(id);
            self.lost.retain(|t, _| t.job != id);
            let claimed = removed.is_some_and(|j| j.claimed);
            if claimed {
                let key = super::claims::claim_key(id);
                self.store(Errand::Remove, StoreOp::Remove { key });
            }
        }
    }
}
