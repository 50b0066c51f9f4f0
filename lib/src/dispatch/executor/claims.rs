//! Claims of jobs: what others have of a job ends, and the claimant is told once nothing is left.

use super::Executor;
use super::LAPSE_FACTOR;
use crate::dispatch::model::EndKind;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::TaskName;
use crate::prelude::*;

/// A job that a scheduler has claimed.
#[derive(Clone, Debug)]
pub(super) struct Claim {
    pub scheduler: String,
    pub at: Mono,
    /// Whether the claimant's own runs are to end as well.
    pub includes_own: bool,
    pub confirmed: bool,
}

impl Executor {
    /// Remembers that a scheduler claims a job; ends what others have of it.
    /// With `own`, what the claimant has had of it ends, too. Of two schedulers that claim a job at about the same time, the first by name has it.
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
            let at_odds = linked && now.since(at) < self.setup.policy.claims.contest;
            if at_odds && rival.as_str() < scheduler {
                return self.deny_claim(scheduler, job);
            }
            // It may still wait for other executors, and count this one's word.
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

    fn deny_claim(&mut self, scheduler: &str, job: JobNumber) {
        if let Some(session) = self.sessions.get_mut(scheduler) {
            session.denied.push(job);
            session.urgent = true;
        }
    }

    /// Whether a job is claimed by another scheduler.
    pub(super) fn is_claimed_by_other(&self, scheduler: &str, job: JobNumber) -> bool {
        let claim = self.claims.get(&job);
        claim.is_some_and(|c| c.scheduler != scheduler)
    }

    /// Tells the claimant once nothing of the job is left that others have started.
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

    /// Whether nothing runs at the worker that is not known here: its lists have been read, or
    /// nothing that was started before can have lasted until now.
    pub(super) fn knows_all_runs(&self, now: Mono) -> bool {
        let reconciled = self
            .worker
            .as_ref()
            .map_or(self.verified_idle, |w| w.reconciled);
        let lapse = self.setup.worker_hold.mul_f64(LAPSE_FACTOR);
        reconciled || now.since(self.unreconciled_since) >= lapse
    }

    /// Tells of the claims that had to wait until the worker's runs were known.
    pub(super) fn confirm_claims(&mut self, now: Mono) {
        let open = self.claims.iter().filter(|(_, c)| !c.confirmed);
        let open: Vec<JobNumber> = open.map(|(job, _)| *job).collect();
        for job in open {
            self.confirm_claim(now, job);
        }
    }

    pub(super) fn expire_claims(&mut self, now: Mono) {
        let memory = self.setup.policy.claims.memory;
        self.claims.retain(|_, c| now.since(c.at) < memory);
    }
}
