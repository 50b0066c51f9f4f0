//! For whom tasks of a job may start: decided from the claims of schedulers and from cancels.
//!
//! A claim ends the runs and queued tasks that other schedulers have of the job. It is confirmed to the
//! claimant once none is left. A cancel ends those of all schedulers, and takes the place of a claim. This is
//! the only process that sees each start at its worker, so a scheduler that has not heard of a cancel is told
//! here.

use std::collections::BTreeSet;

use super::CLOCK_ALLOWANCE;
use super::Executor;
use crate::dispatch::model::EndKind;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::TaskName;
use crate::event::Kind;
use crate::prelude::*;
use crate::protos::dispatch as proto;

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

/// Whether tasks of a job may start for a scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StartRight {
    /// They may.
    Granted,
    /// Another scheduler has claimed the job.
    Claimed,
    /// The job was cancelled.
    Cancelled,
}

impl Executor {
    /// Returns whether tasks of a job may start for a scheduler.
    pub(super) fn start_right(&self, scheduler: &str, job: JobNumber) -> StartRight {
        if self.cancels.contains(job) {
            return StartRight::Cancelled;
        }
        let claim = self.claims.get(&job);
        match claim.is_some_and(|c| c.scheduler != scheduler) {
            true => StartRight::Claimed,
            false => StartRight::Granted,
        }
    }

    /// Registers the cancels in a scheduler's orders.
    pub(super) fn register_cancels(&mut self, now: Mono, scheduler: &str, orders: &proto::Orders) {
        for job in &orders.cancel {
            let dropped = self.cancels.insert(now, JobNumber(*job));
            self.log_dropped_cancel(dropped);
            self.end_cancelled_job(now, scheduler, JobNumber(*job));
        }
        for told in &orders.kept_cancels {
            let dropped = self.cancels.insert_told(now, told);
            self.log_dropped_cancel(dropped);
            self.end_cancelled_job(now, scheduler, JobNumber(told.job));
        }
    }

    fn log_dropped_cancel(&mut self, dropped: Option<JobNumber>) {
        if let Some(dropped) = dropped {
            self.counts.dropped_cancels += 1;
            self.log(Kind::CancelDropped, dropped.to_string());
        }
    }

    /// Ends all tasks of a job that a scheduler tells to be cancelled. Other schedulers that have some, or have
    /// claimed the job, may not have heard of it and are told.
    fn end_cancelled_job(&mut self, now: Mono, scheduler: &str, job: JobNumber) {
        let mut others = self.schedulers_of(job);
        others.extend(self.claims.remove(&job).map(|claim| claim.scheduler));
        others.remove(scheduler);
        for other in others {
            self.report_cancelled(&other, job);
        }
        self.stop_tasks(now, job, |_| true);
    }

    /// Queues the report that a job is cancelled for the scheduler's next update.
    pub(super) fn report_cancelled(&mut self, scheduler: &str, job: JobNumber) {
        if let Some(session) = self.sessions.get_mut(scheduler)
            && !session.cancelled.contains(&job)
        {
            session.cancelled.push(job);
            session.urgent = true;
        }
    }

    /// Returns the schedulers that have runs or queued tasks of a job, as keys of their sessions.
    fn schedulers_of(&self, job: JobNumber) -> BTreeSet<String> {
        let queued = self.queue.iter().filter(|w| w.task.job == job);
        let queued = queued.map(|w| w.scheduler.clone());
        let running = self.runs.iter().filter(|(t, _)| t.job == job);
        let running = running.map(|(_, r)| r.scheduler.clone());
        queued.chain(running).collect()
    }

    /// Stops the runs and drops the queued tasks of a job that the given schedulers have.
    fn stop_tasks(&mut self, now: Mono, job: JobNumber, of: impl Fn(&str) -> bool) {
        let queued = self.queue.iter().filter(|w| w.task.job == job);
        let queued = queued.filter(|w| of(&w.scheduler)).map(|w| w.task);
        let running = self.runs.iter().filter(|(t, _)| t.job == job);
        let running = running.filter(|(_, r)| of(&r.scheduler)).map(|(t, _)| *t);
        let tasks: Vec<TaskName> = queued.chain(running).collect();
        for task in tasks {
            self.stop_task(now, task, EndKind::Claimed);
        }
    }

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
        if self.cancels.contains(job) {
            return self.report_cancelled(scheduler, job);
        }
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
        self.stop_tasks(now, job, |s| includes_own || s != scheduler);
        self.confirm_claim(now, job);
    }

    /// Queues a denial of a claim for the scheduler's next update.
    fn deny_claim(&mut self, scheduler: &str, job: JobNumber) {
        if let Some(session) = self.sessions.get_mut(scheduler) {
            session.denied.push(job);
            session.urgent = true;
        }
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

    /// Returns whether this process may have missed cancels that are still kept elsewhere: it has just started,
    /// or no scheduler was linked for a while.
    pub(super) fn may_lack_cancels(&self, now: Mono) -> bool {
        now.since(self.unlinked_at) < self.setup.policy.claims.memory
    }

    /// Drops claims and cancels after `policy.claims.memory`.
    pub(super) fn expire_claims(&mut self, now: Mono) {
        let memory = self.setup.policy.claims.memory;
        self.claims.retain(|_, c| now.since(c.at) < memory);
        self.cancels.expire(now);
    }
}
