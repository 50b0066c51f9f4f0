//! Claims: makes sure that a job runs for one scheduler only. Decides when a job may be running for another
//! scheduler, asks the executors to end what they run of it for others, and lets it be placed once nobody
//! else runs it, or will. A job for which that can't be established ends with the outcome `Unknown`.

use std::collections::BTreeSet;

use super::Scheduler;
use super::executor_view::ExecutorView;
use super::executors::ExecutorKey;
use super::jobs::Job;
use super::jobs::Phase;
use super::peers::Peer;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::JobOutcome;
use crate::event::Kind;
use crate::prelude::*;

/// The progress of a claim.
enum ClaimState {
    /// Executors have yet to confirm the claim.
    Open,
    /// Nobody else runs the job, nor will.
    Settled,
    /// The job may be running at an executor that can't be asked.
    OutOfReach,
}

impl Scheduler {
    /// Marks the set of unreachable peers as outdated, after links or executors' lists of leases have
    /// changed.
    pub(super) fn invalidate_unreachable(&mut self) {
        self.unreachable_stale = true;
    }

    /// Recomputes the set of unreachable peers if it is outdated. This is done only before decisions: in a
    /// large fleet, executors' reports change what it depends on far more often.
    fn refresh_unreachable(&mut self) {
        if !std::mem::take(&mut self.unreachable_stale) {
            return;
        }
        let holders = self.leases.names();
        let unlinked = holders.filter(|name| **name != self.setup.name && !self.is_linked(name));
        self.unreachable_peers = unlinked.cloned().collect();
    }

    /// Returns when a peer was last heard; for an unknown peer, the start of this process.
    fn last_heard(&self, name: &str) -> Mono {
        let last_heard = self.peers.get(name).map(|p| p.last_heard);
        last_heard.unwrap_or_default().max(self.setup.started)
    }

    /// Returns whether a job that is submitted here for the first time may be running elsewhere without this
    /// scheduler knowing: it has just started or just lost a link, it can't tell whether some peer is
    /// running, or a peer that may be running was not heard for so long that one of its jobs may be submitted
    /// again here before it was announced.
    pub(super) fn may_run_elsewhere(&mut self) -> bool {
        self.refresh_unreachable();
        self.is_warming_up() || self.has_lost_link() || self.has_unheard_peer()
    }

    /// Returns whether a peer that may be running was not heard for `claims.unheard`, so that its jobs may be
    /// submitted here unannounced.
    fn has_unheard_peer(&self) -> bool {
        let now = self.now;
        let bound = self.setup.policy.claims.unheard;
        let unheard = |name: &String| now.since(self.last_heard(name)) >= bound;
        self.unreachable_peers.iter().any(unheard) || self.is_minority()
    }

    /// Returns whether the link to a peer was lost recently. Announcements that were still to be sent on it
    /// are gone, and jobs that the peer has ended since then are not listed on the next link.
    fn has_lost_link(&self) -> bool {
        let bound = self.setup.policy.claims.link_lost;
        let recent = |p: &Peer| p.lost_at.is_some_and(|at| self.now.since(at) < bound);
        self.peers.values().any(recent)
    }

    /// Returns whether some peer is not heard and fewer than half of the executors are linked. Then the
    /// executors linked here can't tell whether that peer is running.
    fn is_minority(&self) -> bool {
        let now = self.now;
        let bound = self.setup.policy.claims.unheard;
        let unlinked = |p: &Peer| p.link.is_none() && now.since(p.last_heard) >= bound;
        let linked = self.executors.values().filter(|e| e.link.is_some());
        self.peers.values().any(unlinked) && linked.count() * 2 < self.executors.len()
    }

    /// Returns whether a peer was recently met in a new incarnation. What its earlier incarnation placed at
    /// executors without a link to this scheduler may still run, though the peer is heard; without this check
    /// a task would run twice at once.
    fn has_restarted_peer(&self) -> bool {
        let bound = self.setup.lapse;
        let recent = |p: &Peer| p.restarted_at.is_some_and(|at| self.now.since(at) < bound);
        self.peers.values().any(recent)
    }

    /// Returns whether a claim must reach every known executor, because a peer may be running that can use
    /// executors not linked here.
    fn must_reach_all(&self) -> bool {
        !self.unreachable_peers.is_empty() || self.is_minority()
    }

    /// Returns whether a job must be claimed before more of it is placed. A peer may have taken it meanwhile:
    /// it was held here for long enough to be submitted again elsewhere, and a peer was not heard, or found
    /// to have it too, since this scheduler was last known to be the only one that has the job.
    pub(super) fn needs_reclaim(&self, job: &Job) -> bool {
        let now = self.now;
        now.since(job.exclusive_since) >= self.setup.policy.claims.again_after
            && self.last_gap > job.exclusive_since
    }

    /// Sets `last_gap` to the present if some peer has not been heard for `claims.unheard`.
    pub(super) fn record_unheard_peers(&mut self) {
        let now = self.now;
        let bound = self.setup.policy.claims.unheard;
        let unheard = |p: &Peer| now.since(p.last_heard) >= bound;
        if self.peers.values().any(unheard) {
            self.last_gap = now;
        }
    }

    /// Returns whether all peers are accounted for and executors had `claims.meeting` to connect here. A peer
    /// is accounted for if it is linked and has named its jobs, or has been silent for the lapse: by then it
    /// has noticed that, and its runs have ended where a claim of this scheduler does not reach.
    fn peers_settled(&self) -> bool {
        let (now, lapse) = (self.now, self.setup.lapse);
        let settled = |p: &Peer| match p.link {
            Some(_) => p.has_reported,
            None => self.silence(p.last_heard) >= lapse,
        };
        let heard = |name: &String| self.silence(self.last_heard(name)) >= lapse;
        now.since(self.active_since) >= self.setup.policy.claims.meeting
            && self.peers.values().all(settled)
            && self.unreachable_peers.iter().all(heard)
    }

    /// Returns whether this scheduler has just started, or come back from a long pause. Jobs of its earlier
    /// incarnation may still be running, and it may not have met all other processes yet.
    pub(super) fn is_warming_up(&self) -> bool {
        self.now.since(self.active_since) < self.setup.policy.claims.warm_up
    }

    /// Returns whether every executor in the store's list has been met, and the list is complete. An executor
    /// that was lost when this scheduler started may have left runs at its worker that only end by
    /// themselves.
    fn has_met_roster(&self) -> bool {
        let roster = self.roster.as_ref();
        let met =
            roster.is_some_and(|names| names.iter().all(|name| self.is_linked_or_accounted(name)));
        met && !self.lacks_executors()
    }

    /// Returns whether the store's list lacks an executor that is linked here. A key can be missing while its
    /// owner is alive, so others may be missing as well. Without this check a task would run twice if the
    /// list is empty, only some of the executors are linked, and a peer runs the task at another one.
    pub(super) fn lacks_executors(&self) -> bool {
        let listed = |name: &String| self.roster.as_ref().is_some_and(|r| r.contains(name));
        let mut linked = self.executors.values().filter(|e| e.link.is_some());
        linked.any(|e| !listed(&e.name))
    }

    /// Returns whether the store's list of the executors should be read again soon: this scheduler has just
    /// started and the list is unknown or incomplete, or a peer waits for it.
    pub fn wants_roster(&self) -> bool {
        let own = self.is_warming_up() && (self.roster.is_none() || self.lacks_executors());
        own || self.roster_sync.is_wanted()
    }

    /// Returns whether a claim made now reaches every executor that it must reach.
    fn reaches_required(&self) -> bool {
        !self.must_reach_all() || self.executors.values().all(|e| e.link.is_some())
    }

    /// Ends a job with the outcome `Unknown`, since it can't be established whether it runs elsewhere.
    fn end_unclaimable(&mut self, number: JobNumber) {
        self.count_cause("unclaimable");
        self.end_job(number, JobOutcome::Unknown, "unclaimable");
    }

    /// Returns the jobs with open claims.
    pub(super) fn claiming_jobs(&self) -> Vec<JobNumber> {
        let claiming = self.jobs.iter();
        let claiming = claiming.filter(|(_, j)| matches!(j.phase, Phase::Claiming(_)));
        claiming.map(|(n, _)| *n).collect()
    }

    /// Claims a job: asks executors to end what they run of it for other schedulers. The job is not placed
    /// until the claim is settled.
    ///
    /// Its own runs go on: if another scheduler had claimed the job, they would have been ended.
    pub(super) fn claim(&mut self, number: JobNumber) {
        self.refresh_unreachable();
        self.counts.claims += 1;
        // No peer is known to have the job, and none was unheard for long: only one whose link was lost just now may
        // have it unannounced.
        let unknown = !self.announced.is_announced(number) && !self.ended.contains_key(&number);
        let lost =
            !self.is_warming_up() && unknown && self.has_lost_link() && !self.has_unheard_peer();
        if !self.is_warming_up() && !lost && !self.reaches_required() {
            return self.end_unclaimable(number);
        }
        let now = self.now;
        // No peer is known to have the job: only an earlier incarnation of this scheduler may have had it.
        let starting = self.is_warming_up()
            && !self.announced.is_announced(number)
            && !self.ended.contains_key(&number);
        if let Some(job) = self.jobs.get_mut(&number) {
            job.phase = Phase::Claiming(BTreeSet::new());
            // Executors confirm at different times, and a peer may take the job at any time after the first
            // was asked: it is known to be exclusive only up to now.
            job.exclusive_since = now;
            job.ran_elsewhere = true;
            job.startup_claim = starting;
            job.loss_claim = lost;
        }
        let asked = if lost {
            self.lost_peer_executors()
        } else {
            self.executors.keys().collect()
        };
        for key in &asked {
            self.ask_claim(number, *key);
        }
        self.log(Kind::JobClaimed, format!("{number} at {}", asked.len()));
        self.settle_claims();
    }

    /// Returns the executors at which peers whose link was recently lost may have placed tasks.
    ///
    /// If one of 55 schedulers is lost, each of the others claims every new job for half a second. At all of
    /// 240 executors that would be 300,000 claims; at the executors that list the lost scheduler as a lease
    /// holder it is a fifth of them. The lists suffice, because a scheduler places tasks at an executor only
    /// after the executor has had the time to list it for all others ([`super::cell::CELL_JOIN_DELAY`]).
    fn lost_peer_executors(&self) -> Vec<ExecutorKey> {
        let bound = self.setup.policy.claims.link_lost;
        let recent = |at: Mono| self.now.since(at) < bound;
        let lost = self.peers.iter();
        let lost = lost.filter(|(_, p)| p.lost_at.is_some_and(recent));
        let lost: Vec<&String> = lost.map(|(name, _)| name).collect();
        let listed = |name: &&String| self.leases.holds(name);
        if self.is_single_cell() || !lost.iter().all(listed) {
            return self.executors.keys().collect();
        }
        let lists = |e: &ExecutorView| e.profile.leased.iter().any(|name| lost.contains(&name));
        let may_have_placed =
            |e: &ExecutorView| e.link.is_none() || recent(e.linked_at) || lists(e);
        let reach = self.executors.iter().filter(|(_, e)| may_have_placed(e));
        reach.map(|(key, _)| key).collect()
    }

    /// Asks an executor to confirm the claim of a job, and waits for its answer.
    pub(super) fn ask_claim(&mut self, number: JobNumber, key: ExecutorKey) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        if let Phase::Claiming(asked) = &mut job.phase {
            asked.insert(key);
        }
        let executor = &mut self.executors[key];
        if executor.asked_at <= executor.last_heard {
            executor.asked_at = self.now;
        }
        let orders = &mut executor.orders;
        if job.began_before {
            orders.renewals.push(number.0);
        } else {
            orders.claims.push(number.0);
        }
        self.pending.push(key);
    }

    /// Handles an executor's confirmation of a claim.
    pub(super) fn confirm_claim(&mut self, number: JobNumber, key: ExecutorKey) {
        if let Some(job) = self.jobs.get_mut(&number)
            && let Phase::Claiming(asked) = &mut job.phase
        {
            asked.remove(&key);
            if !asked.is_empty() {
                return;
            }
        }
        self.settle_claims();
    }

    /// Activates the claimed jobs that nobody else runs, and ends those that can't be claimed.
    pub(super) fn settle_claims(&mut self) {
        self.refresh_unreachable();
        let warmed_up = !self.is_warming_up();
        self.activate_loss_claims();
        if !self.peers_settled() || !(warmed_up || self.has_met_roster()) {
            return;
        }
        self.log_claims_settled();
        if warmed_up && !self.reaches_required() {
            self.end_startup_claims();
        }
        for number in self.claiming_jobs() {
            match self.claim_state(number) {
                ClaimState::Open => {}
                ClaimState::Settled => self.activate_job(number),
                ClaimState::OutOfReach => self.end_unclaimable(number),
            }
        }
    }

    /// Logs, once after the start, that all other processes have been met and claims can be settled.
    fn log_claims_settled(&mut self) {
        if std::mem::replace(&mut self.claims_settled, true) {
            return;
        }
        let after = crate::clock::millis(self.now.since(self.setup.started));
        let linked = self.executors.values().filter(|e| e.link.is_some()).count();
        self.log(
            Kind::ClaimsResolved,
            format!("after {after} ms, {linked} executors linked"),
        );
    }

    /// Activates the jobs that were claimed only because a link was lost, once every executor that was asked
    /// has confirmed: no other scheduler can run them any more, whether it is heard or not.
    fn activate_loss_claims(&mut self) {
        for number in self.claiming_jobs() {
            let confirmed = |j: &Job| {
                let asked = matches!(&j.phase, Phase::Claiming(asked) if asked.is_empty());
                j.loss_claim && asked
            };
            let confirmed = self.jobs.get(&number).is_some_and(confirmed);
            if confirmed && self.linked_holder(number).is_none() {
                self.activate_job(number);
            }
        }
    }

    /// Returns how far the claim of a job is.
    fn claim_state(&self, number: JobNumber) -> ClaimState {
        let Some(job) = self.jobs.get(&number) else {
            return ClaimState::Open;
        };
        let Phase::Claiming(asked) = &job.phase else {
            return ClaimState::Open;
        };
        // A linked peer that has the job may be running it at an executor that can't be asked.
        let rival = self.linked_holder(number).is_some();
        if rival && self.executors.values().any(|e| self.is_lost(e)) {
            return ClaimState::OutOfReach;
        }
        let all = self.must_reach_all();
        let wait = all || self.has_restarted_peer() || self.was_recently_withdrawn(number);
        // No peer is known to have the job: an executor whose runs are all known does not run it.
        let unheard = job.startup_claim && !self.announced.is_announced(number);
        let over = |e: &ExecutorView| self.is_lost(e) || (unheard && self.is_accounted(e));
        let may_run = |e: &ExecutorView| wait || !over(e);
        let open = |key: &ExecutorKey| self.executors.get(*key).is_some_and(may_run);
        let confirmed = !asked.iter().any(open);
        // What an earlier incarnation of this scheduler had started has ended by now, confirmed or not,
        // unless an unreachable peer may be running.
        let over = !self.is_warming_up() && job.startup_claim && !all;
        if confirmed || over {
            ClaimState::Settled
        } else {
            ClaimState::Open
        }
    }

    /// Returns whether a peer recently reported that it no longer has the job. What it had placed at an
    /// executor that can't be reached from here is still being stopped there, or ends with the peer's lease;
    /// without this check a task would run twice at once.
    fn was_recently_withdrawn(&self, number: JobNumber) -> bool {
        let at = self.withdrawn.get(&number);
        at.is_some_and(|at| self.now.since(*at) < self.setup.lapse)
    }

    /// Returns whether nothing that was placed at an executor runs there any more. An executor that has
    /// announced this before it departed is not waited for: otherwise jobs would be refused for a while
    /// whenever executors are removed.
    fn is_lost(&self, executor: &ExecutorView) -> bool {
        let over = executor.departed || self.silence(executor.last_heard) >= self.setup.lapse;
        executor.link.is_none() && over
    }

    /// Lets a claimed job be placed.
    fn activate_job(&mut self, number: JobNumber) {
        if let Some(job) = self.jobs.get_mut(&number) {
            job.phase = Phase::Active;
        }
        self.queue_job(number);
    }

    /// Ends the jobs that were claimed while this scheduler had just started, if it still can't reach every
    /// executor that it must reach.
    fn end_startup_claims(&mut self) {
        for number in self.claiming_jobs() {
            if self.jobs.get(&number).is_some_and(|j| j.startup_claim) {
                self.end_unclaimable(number);
            }
        }
    }
}
