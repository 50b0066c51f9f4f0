//! Claims of jobs by schedulers.
//!
//! A claim ends the runs and queued tasks that other schedulers have of the job. It is confirmed to the
//! claimant once none is left.

use super::CLOCK_ALLOWANCE;
use super::Executor;
use crate::dispatch::model::EndKind;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::TaskName;
use crate::prelude::*;

/// A scheduler's claim of a job.
#[derive(Clone, Debug)]
pub(super) struct Claim {
    /// The key of the claimant's session.
    pub scheduler: String,
    pub at: Mono,
    /// Whether the claimant's own runs end as well.
    pub includes_own: bool,
    pub confirmed: bool,
}

impl Executor {
    /// Registers a scheduler's claim of a job and ends the tasks that others have of it; with `includes_own`,
    /// also those of the claimant.
    ///
    /// If another scheduler has claimed the job before, one of the two claims is denied: the new one if the
    /// other scheduler is linked, has the lower name and made its claim within `claims.contest`, and
    /// otherwise the earlier one, which is replaced.
    pub(super) fn register_claim(
        &mut self,
        now: Mono,
        scheduler: &str,
        job: JobNumber,
        includes_own: bool,
    ) {
        let rival = self.claims.get(&job).filter(|c| c.scheduler != scheduler);
        if let Some((rival, at)) = rival.map(|c| (c.scheduler.clone(), c.at)) {
            let linked = self.sessions.get(&rival).is_some_and(|s| s.link.is_some());
            let contested = linked && now.since(at) < self.setup.policy.claims.contest;
            if contested && rival.as_str() < scheduler {
                return self.deny_claim(scheduler, job);
            }
            // The rival may still be waiting for other executors, relying on the confirmation from this one.
            self.deny_claim(&rival, job);
        }
        let claim = Claim {
            scheduler: scheduler.to_owned(),
            at: now,
            includes_own,
            confirmed: false,
        };
        self.claims.insert(job, claim);
        let others = |s: &str| includes_own || s != scheduler;
        let queued = self.queue.iter().filter(|w| w.task.job == job);
        let queued = queued.filter(|w| others(&w.scheduler)).map(|w| w.task);
        let running = self.runs.iter().filter(|(t, _)| t.job == job);
        let running = running
            .filter(|(_, r)| others(&r.scheduler))
            .map(|(t, _)| *t);
        let tasks: Vec<TaskName> = queued.chain(running).collect();
        for task in tasks {
            self.stop_task(now, task, EndKind::Claimed);
        }
        self.confirm_claim(now, job);
    }

    /// Queues a denial of a claim for the scheduler's next update.
    fn deny_claim(&mut self, scheduler: &str, job: JobNumber) {
        if let Some(session) = self.sessions.get_mut(scheduler) {
            session.denied.push(job);
            session.urgent = true;
        }
    }

    /// Returns whether a job is claimed by another scheduler.
    pub(super) fn is_claimed_by_other(&self, scheduler: &str, job: JobNumber) -> bool {
        let claim = self.claims.get(&job);
        claim.is_some_and(|c| c.scheduler != scheduler)
    }

    /// Confirms a claim to the claimant once no conflicting run of the job is left.
    pub(super) fn confirm_claim(&mut self, now: Mono, job: JobNumber) {
        if !self.knows_all_runs(now) {
            return;
        }
        let Some(claim) = self.claims.get_mut(&job) else {
            return;
        };
        let (owner, includes_own) = (&claim.scheduler, claim.includes_own);
        let left = self.runs.iter();
        let left = left.filter(|(t, r)| t.job == job && (includes_own || r.scheduler != *owner));
        if claim.confirmed || left.count() > 0 {
            return;
        }
        claim.confirmed = true;
        if let Some(session) = self.sessions.get_mut(owner) {
            session.claimed.push(job);
            session.urgent = true;
        }
    }

    /// Returns whether all runs at the worker are known: its lists have been read, or the keepalive of any
    /// earlier run has expired.
    pub(super) fn knows_all_runs(&self, now: Mono) -> bool {
        let reconciled = self
            .worker
            .as_ref()
            .map_or(self.verified_idle, |w| w.reconciled);
        let hold_time = self.setup.worker_hold.mul_f64(CLOCK_ALLOWANCE);
        reconciled || now.since(self.unreconciled_since) >= hold_time
    }

    /// Confirms the claims that had to wait until the worker's runs were known.
    pub(super) fn confirm_claims(&mut self, now: Mono) {
        let open = self.claims.iter().filter(|(_, c)| !c.confirmed);
        let open: Vec<JobNumber> = open.map(|(job, _)| *job).collect();
        for job in open {
            self.confirm_claim(now, job);
        }
    }

    /// Drops claims after `policy.claims.memory`.
    pub(super) fn expire_claims(&mut self, now: Mono) {
        let memory = self.setup.policy.claims.memory;
        self.claims.retain(|_, c| now.since(c.at) < memory);
    }
}
