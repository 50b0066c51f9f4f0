//! Cancelled jobs. A caller whose cancel was acknowledged may expect that the job ends, wherever it runs and
//! whoever takes it up later. So a cancel is kept for as long as jobs are remembered, here, at all peers and at
//! all executors: the job is not accepted any more, and no executor starts a task of it.
//!
//! The executors matter most, as each start passes through one of them. A scheduler that has not heard of a
//! cancel, because it was frozen or has just started, learns of it from the first executor at which it places
//! or claims the job, and keeps it as well.

use super::Action;
use super::Scheduler;
use super::executors::ExecutorKey;
use crate::dispatch::cancels::CancelReply;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::JobOutcome;
use crate::event::Kind;
use crate::prelude::*;
use crate::protos::dispatch as proto;

impl Scheduler {
    /// Cancels a job here, at all peers and at all executors, for a caller.
    pub fn cancel(&mut self, now: Mono, number: JobNumber) -> CancelReply {
        self.advance_clock(now);
        if self.own_cancels.contains(number) {
            return self.cancel_reply();
        }
        let held = self.jobs.contains_key(&number);
        // A job that is over may come again where nobody knows that, so its cancel is kept like any other.
        let over = self.known_outcome(number).is_some();
        let known = held
            || over
            || self.ended.contains_key(&number)
            || self.following.contains_key(&number)
            || self.announced.is_announced(number);
        if !known {
            return CancelReply::UnknownJob;
        }
        let reachable = held || over || self.hears_holder(number);
        self.own_cancels.insert(self.now, number);
        let dropped = self.cancels.insert(self.now, number);
        self.log_dropped_cancel(dropped);
        self.end_cancelled_job(number);
        self.pass_cancel_on(number);
        // The last update may have been sent.
        self.cancel_at_executors(number, !reachable || self.is_closed);
        self.place();
        self.cancel_reply()
    }

    /// Returns whether a peer that has announced the job is linked and was heard just now, so that it ends the job
    /// itself. One that is silent may be frozen.
    fn hears_holder(&self, number: JobNumber) -> bool {
        let bound = self.setup.policy.claims.pause;
        let mut holders = self.announced.holders(number);
        holders.any(|name| {
            let peer = self.peers.get(name);
            peer.is_some_and(|p| p.link.is_some() && self.silence(p.last_heard) < bound)
        })
    }

    /// Returns what may be promised for a cancel that is kept here.
    fn cancel_reply(&self) -> CancelReply {
        let executors = self.executors.values().any(|e| e.link.is_some());
        let peers = self.peers.values().any(|p| p.link.is_some());
        match executors || peers {
            true => CancelReply::Accepted,
            false => CancelReply::Uncertain,
        }
    }

    /// Keeps a cancel that another process has told of, and ends the job here.
    fn apply_told_cancel(&mut self, told: &proto::CancelledJob) {
        let dropped = self.cancels.insert_told(self.now, told);
        self.log_dropped_cancel(dropped);
        self.end_cancelled_job(JobNumber(told.job));
    }

    fn log_dropped_cancel(&mut self, dropped: Option<JobNumber>) {
        if let Some(dropped) = dropped {
            self.counts.dropped_cancels += 1;
            self.log(Kind::CancelDropped, dropped.to_string());
        }
    }

    /// Ends a cancelled job here: for its callers, whether it runs here or at a peer.
    fn end_cancelled_job(&mut self, number: JobNumber) {
        if let Some(following) = self.following.remove(&number) {
            for caller in following.callers {
                let outcome = JobOutcome::Cancelled;
                self.actions.push(Action::Answer(caller, outcome));
            }
        }
        self.end_job(number, JobOutcome::Cancelled, "cancelled");
    }

    /// Applies the cancels that a peer tells of: those since its last message, and earlier ones.
    pub(super) fn apply_peer_cancels(&mut self, fresh: &[u64], kept: &[proto::CancelledJob]) {
        for job in fresh {
            let number = JobNumber(*job);
            let dropped = self.cancels.insert(self.now, number);
            self.log_dropped_cancel(dropped);
            self.end_cancelled_job(number);
        }
        for told in kept {
            self.apply_told_cancel(told);
        }
    }

    /// Ends a job that an executor knows to be cancelled, and tells the others, which may not know it either.
    pub(super) fn learn_cancel(&mut self, key: ExecutorKey, told: &proto::CancelledJob) {
        let number = JobNumber(told.job);
        if self.cancels.contains(number) {
            return;
        }
        let place = self.executors[key].name.clone();
        self.log(Kind::CancelLearned, format!("{number} from {place}"));
        self.apply_told_cancel(told);
        self.pass_cancel_on(number);
        self.cancel_at_executors(number, false);
    }

    /// Tells all linked peers of a cancel: at once those that have announced the job, the others with the next
    /// update.
    fn pass_cancel_on(&mut self, number: JobNumber) {
        let holders = self.announced.holders(number);
        let holders: Vec<String> = holders.map(str::to_owned).collect();
        let linked = self.peers.iter_mut().filter(|(_, p)| p.link.is_some());
        for (name, peer) in linked {
            peer.outgoing.cancel.push(number.0);
            peer.cancels_urgently |= self.is_closed || holders.contains(name);
        }
    }

    /// Tells all linked executors of a cancel, with their next orders or, with `urgently`, at once: the job may
    /// run for a peer that can't be reached, and only the executors can end it.
    fn cancel_at_executors(&mut self, number: JobNumber, urgently: bool) {
        for (key, executor) in &mut self.executors {
            if executor.link.is_none() {
                continue;
            }
            executor.orders.cancel.push(number.0);
            if urgently {
                executor.cancels_urgently = true;
                self.pending.push(key);
            }
        }
        if urgently {
            self.log(Kind::JobRevoked, number.to_string());
        }
    }

    /// Tells an executor of the cancels that callers sent here: those that were on the way on an earlier link
    /// may be lost. Others it has heard from the schedulers that acknowledged them.
    pub(super) fn send_own_cancels(&mut self, key: ExecutorKey) {
        self.executors[key].orders.kept_cancels = self.own_cancels.proto(self.now);
    }

    /// Tells an executor of all cancels that are kept, since it has just started or was cut off.
    pub(super) fn send_all_cancels(&mut self, key: ExecutorKey) {
        if self.cancels.is_empty() {
            return;
        }
        let executor = &mut self.executors[key];
        executor.orders.kept_cancels = self.cancels.proto(self.now);
        executor.cancels_urgently = true;
        self.pending.push(key);
    }
}
