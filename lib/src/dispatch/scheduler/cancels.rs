//! Cancelled jobs. A caller whose cancel was accepted may expect that the job ends, wherever it runs and
//! whoever takes it up later. So a cancel is kept for as long as jobs are remembered: the job is not accepted
//! here any more, and every peer is told, also on each new link, and keeps the cancel as well.
//!
//! A peer that has the job may be out of reach, and run it on. The scheduler that accepted the cancel then
//! claims the job at the executors, which ends its runs there and prevents new ones.

use std::collections::BTreeMap;

use super::Action;
use super::Scheduler;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::JobOutcome;
use crate::event::Kind;
use crate::prelude::*;

/// A cancel that is kept.
#[derive(Clone, Copy, Debug)]
struct Cancel {
    at: Mono,
    /// Whether a caller sent it here, and not a peer.
    own: bool,
}

/// The cancels that are kept, by job.
#[derive(Clone, Debug, Default)]
pub(super) struct Cancels(BTreeMap<JobNumber, Cancel>);

impl Cancels {
    /// Keeps a cancel. Returns the oldest one, which is dropped, if there are now more than `most`.
    fn keep(&mut self, number: JobNumber, at: Mono, own: bool, most: usize) -> Option<JobNumber> {
        let cancel = self.0.entry(number).or_insert(Cancel { at, own });
        cancel.own |= own;
        if self.0.len() <= most {
            return None;
        }
        let oldest = self.0.iter().min_by_key(|(_, cancel)| cancel.at);
        let oldest = oldest.map(|(number, _)| *number)?;
        self.0.remove(&oldest);
        Some(oldest)
    }

    /// Returns whether a job was cancelled.
    pub fn contains(&self, number: JobNumber) -> bool {
        self.0.contains_key(&number)
    }

    /// Returns the cancelled jobs.
    pub fn numbers(&self) -> impl Iterator<Item = JobNumber> + '_ {
        self.0.keys().copied()
    }

    /// Returns the jobs that callers have cancelled here.
    fn own(&self) -> impl Iterator<Item = JobNumber> + '_ {
        let own = self.0.iter().filter(|(_, cancel)| cancel.own);
        own.map(|(number, _)| *number)
    }

    /// Drops the cancels made at or before the given time.
    pub fn forget_before(&mut self, bound: Mono) {
        self.0.retain(|_, cancel| cancel.at > bound);
    }
}

impl Scheduler {
    /// Cancels a job here and at all peers, for a caller. Returns whether the job is known.
    pub fn cancel(&mut self, now: Mono, number: JobNumber) -> bool {
        self.advance_clock(now);
        let held = self.jobs.contains_key(&number);
        if !held && self.known_outcome(number).is_some() {
            return true;
        }
        let known = held
            || self.ended.contains_key(&number)
            || self.following.contains_key(&number)
            || self.announced.is_announced(number);
        if !known {
            return false;
        }
        self.apply_cancel(number, true);
        self.pass_cancel_on(number);
        if !held && self.linked_holder(number).is_none() {
            self.revoke_runs(number);
        }
        self.place();
        true
    }

    /// Keeps a cancel and ends the job here: for its callers, whether it runs here or at a peer.
    pub(super) fn apply_cancel(&mut self, number: JobNumber, own: bool) {
        let most = self.setup.policy.claims.cancels as usize;
        if let Some(dropped) = self.cancels.keep(number, self.now, own, most) {
            self.counts.dropped_cancels += 1;
            self.log(Kind::CancelDropped, dropped.to_string());
        }
        if let Some(following) = self.following.remove(&number) {
            for caller in following.callers {
                let outcome = JobOutcome::Cancelled;
                self.actions.push(Action::Answer(caller, outcome));
            }
        }
        self.end_job(number, JobOutcome::Cancelled, "cancelled");
    }

    /// Tells all linked peers of a cancel: at once those that have announced the job, the others with the next
    /// update.
    fn pass_cancel_on(&mut self, number: JobNumber) {
        let holders = self.announced.holders(number);
        let holders: Vec<String> = holders.map(str::to_owned).collect();
        let linked = self.peers.iter_mut().filter(|(_, p)| p.link.is_some());
        for (name, peer) in linked {
            peer.outgoing.cancel.push(number.0);
            peer.cancels_urgently |= holders.contains(name);
        }
    }

    /// Revokes the jobs that callers have cancelled here and that a lost peer had: it may live and run them.
    pub(super) fn revoke_cancelled_jobs(&mut self, peer: &str) {
        let is_held = |number: &JobNumber| self.announced.holders(*number).any(|h| h == peer);
        let held: Vec<JobNumber> = self.cancels.own().filter(is_held).collect();
        for number in held {
            self.revoke_runs(number);
        }
    }

    /// Claims a job at all linked executors without running it: they end what runs of it for others, and start
    /// no more.
    fn revoke_runs(&mut self, number: JobNumber) {
        for (key, executor) in &mut self.executors {
            if executor.link.is_some() {
                executor.orders.claims.push(number.0);
                self.pending.push(key);
            }
        }
        self.log(Kind::JobRevoked, number.to_string());
    }
}
