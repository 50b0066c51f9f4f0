//! Claims: when a job may be at work elsewhere, and asking the executors to end that.

use std::collections::BTreeSet;

use super::Scheduler;
use super::executor_view::ExecutorView;
use super::fleet::ExecutorKey;
use super::jobs::Job;
use super::jobs::Phase;
use super::peers::Peer;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::JobOutcome;
use crate::event::Kind;
use crate::prelude::*;

/// How far a claim is.
enum ClaimState {
    /// Executors have yet to confirm it.
    Open,
    /// Nobody else runs the job, nor will.
    Settled,
    /// The job may be at work where it can't be claimed.
    OutOfReach,
}

impl Scheduler {
    /// Notes that what doubt rests on has changed: links, and which schedulers executors hear.
    pub(super) fn refresh_doubt(&mut self) {
        self.doubt_stale = true;
    }

    /// Works out anew which peers can't be heard here, though some executor hears them: they may
    /// be at work. Done before decisions only: in a large fleet reports change it far more often.
    fn settle_doubt(&mut self) {
        if !std::mem::take(&mut self.doubt_stale) {
            return;
        }
        let heard = self.leases.names();
        let away = heard.filter(|name| **name != self.setup.name && !self.is_linked(name));
        self.doubtful = away.cloned().collect();
    }

    /// When a peer was last heard of.
    fn last_heard(&self, name: &str) -> Mono {
        let last_heard = self.peers.get(name).map(|p| p.last_heard);
        last_heard.unwrap_or_default().max(self.setup.started)
    }

    /// Whether a job that comes in for the first time here may be at work elsewhere without this
    /// scheduler knowing: it has only just started, or a peer may be at work that has not been
    /// heard for so long that a job of its may come again here without having been announced.
    pub(super) fn in_doubt(&mut self) -> bool {
        self.settle_doubt();
        let now = self.now;
        if self.is_young() || self.has_lost_a_link() {
            return true;
        }
        let bound = self.setup.policy.claims.unheard;
        let unheard = |name: &String| now.since(self.last_heard(name)) >= bound;
        self.doubtful.iter().any(unheard) || self.is_minority()
    }

    /// Whether the link to a peer was lost only just now. What it had to announce went with the
    /// link, and what it has ended since is not listed on the next one.
    fn has_lost_a_link(&self) -> bool {
        let bound = self.setup.policy.claims.link_lost;
        let recent = |p: &Peer| p.lost_at.is_some_and(|at| self.now.since(at) < bound);
        self.peers.values().any(recent)
    }

    /// Whether peers can't be heard, and neither can half of the executors: then it can't be known
    /// here whether those peers are at work.
    fn is_minority(&self) -> bool {
        let now = self.now;
        let bound = self.setup.policy.claims.unheard;
        let away = |p: &Peer| p.link.is_none() && now.since(p.last_heard) >= bound;
        let linked = self.executors.values().filter(|e| e.link.is_some());
        self.peers.values().any(away) && linked.count() * 2 < self.executors.len()
    }

    /// Whether a peer was met in a new incarnation only just now. What its earlier one had placed where this scheduler has
    /// no link may still run, though the peer is heard; without this a task would run twice at once.
    fn has_renewed_peer(&self) -> bool {
        let bound = self.setup.lapse;
        let recent = |p: &Peer| p.restarted_at.is_some_and(|at| self.now.since(at) < bound);
        self.peers.values().any(recent)
    }

    /// Whether a claim must reach every executor that is known: a peer may be at work that could
    /// use one that can't be reached here.
    fn must_reach_all(&self) -> bool {
        !self.doubtful.is_empty() || self.is_minority()
    }

    /// Whether a job that was placed before may have been taken by a peer meanwhile: it has been
    /// here for long enough to come again, and some peer was not heard for as long. It has to be
    /// claimed before anything more of it is placed.
    pub(super) fn is_exposed(&self, job: &Job) -> bool {
        let now = self.now;
        now.since(job.safe_since) >= self.setup.policy.claims.again_after
            && self.gap > job.safe_since
    }

    /// Notes whether some peer is not heard at present.
    pub(super) fn note_gap(&mut self) {
        let now = self.now;
        let bound = self.setup.policy.claims.unheard;
        let unheard = |p: &Peer| now.since(p.last_heard) >= bound;
        if self.peers.values().any(unheard) {
            self.gap = now;
        }
    }

    /// Whether every peer that can't be heard has had the time to notice that, and to stop its
    /// runs where a claim of this scheduler does not reach; and whether executors had the time
    /// to connect here.
    fn peers_settled(&self) -> bool {
        let (now, lapse) = (self.now, self.setup.lapse);
        let settled = |p: &Peer| match p.link {
            Some(_) => p.has_reported,
            None => self.silence(p.last_heard) >= lapse,
        };
        let heard = |name: &String| self.silence(self.last_heard(name)) >= lapse;
        now.since(self.present_since) >= self.setup.policy.claims.meeting
            && self.peers.values().all(settled)
            && self.doubtful.iter().all(heard)
    }

    /// Whether this scheduler has only just started, or come back from a long pause: jobs of a life
    /// before may still be at work, and it may not have met everybody yet.
    pub(super) fn is_young(&self) -> bool {
        self.now.since(self.present_since) < self.setup.policy.claims.warm_up
    }

    /// Whether every executor is linked that there is. One that was lost when this scheduler
    /// started has left runs at its worker that end by themselves only.
    fn has_met_roster(&self) -> bool {
        let roster = self.roster.as_ref();
        let met =
            roster.is_some_and(|names| names.iter().all(|name| self.is_linked_or_accounted(name)));
        met && !self.lacks_executors()
    }

    /// Whether the store's list lacks an executor that is linked here: keys can be missing while their
    /// owners live, so others may be missing as well. Without this a task would run twice where the list was empty,
    /// two of four executors were linked, and a peer had the task at work at a third.
    pub(super) fn lacks_executors(&self) -> bool {
        let listed = |name: &String| self.roster.as_ref().is_some_and(|r| r.contains(name));
        let mut linked = self.executors.values().filter(|e| e.link.is_some());
        linked.any(|e| !listed(&e.name))
    }

    /// Whether the store's list of the executors should be read again soon: this scheduler has just
    /// started, and the list is not known or lacks some, or a peer waits for it.
    pub fn wants_roster(&self) -> bool {
        let own = self.is_young() && (self.roster.is_none() || self.lacks_executors());
        own || self.roster_sync.is_wanted()
    }

    /// Whether a claim made now reaches every executor that it must reach.
    fn reaches_enough(&self) -> bool {
        !self.must_reach_all() || self.executors.values().all(|e| e.link.is_some())
    }

    /// Ends a job of which it can't be known whether it is at work elsewhere.
    fn end_unclaimable(&mut self, number: JobNumber) {
        self.count_cause("unclaimable");
        self.end_job(number, JobOutcome::Unknown, "unclaimable");
    }

    /// Jobs that are being claimed.
    pub(super) fn claiming(&self) -> Vec<JobNumber> {
        let claiming = self.jobs.iter();
        let claiming = claiming.filter(|(_, j)| matches!(j.phase, Phase::Claiming(_)));
        claiming.map(|(n, _)| *n).collect()
    }

    /// Asks all executors to end what others have of a job; the job waits for that.
    ///
    /// What is placed already runs on: a claim by another scheduler would have ended it.
    pub(super) fn claim(&mut self, number: JobNumber) {
        self.settle_doubt();
        self.counts.claims += 1;
        // Nobody has said that it has the job: only what went with the link may have.
        let unheard = !self.announced.is_announced(number) && !self.ended.contains_key(&number);
        let lost = !self.is_young() && unheard && self.has_lost_a_link();
        if !self.is_young() && !lost && !self.reaches_enough() {
            return self.end_unclaimable(number);
        }
        let now = self.now;
        // Nobody else is known to have the job: only a forerunner of this scheduler may have.
        let young = self.is_young()
            && !self.announced.is_announced(number)
            && !self.ended.contains_key(&number);
        if let Some(job) = self.jobs.get_mut(&number) {
            job.phase = Phase::Claiming(BTreeSet::new());
            // Executors may confirm at once and others much later: from when they were asked on
            // a peer may have taken the job.
            job.safe_since = now;
            job.ran_elsewhere = true;
            job.claimed_young = young;
            job.claimed_lost = lost;
        }
        let asked = if lost {
            self.reach_of_lost()
        } else {
            self.executors.keys().collect()
        };
        for key in &asked {
            self.ask_claim(number, *key);
        }
        self.log(Kind::JobClaimed, format!("{number} at {}", asked.len()));
        self.settle_claims();
    }

    /// The executors at which peers whose link was only just lost may have placed tasks.
    ///
    /// Load pattern: one of 55 schedulers is lost, and for half a second each new job at each of the others is
    /// claimed. At all of 240 executors that is 300,000 claims; at those that list the lost one it is a fifth. A
    /// scheduler places tasks at an executor once that has had the time to list it for all others
    /// ([`CELL_JOIN_DELAY`](super::cell::CELL_JOIN_DELAY)).
    fn reach_of_lost(&self) -> Vec<ExecutorKey> {
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
        let may = |e: &ExecutorView| e.link.is_none() || recent(e.linked_at) || lists(e);
        let reach = self.executors.iter().filter(|(_, e)| may(e));
        reach.map(|(key, _)| key).collect()
    }

    /// Asks an executor to end what others have of a job, and waits for its word.
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
        if job.renewed {
            orders.renewals.push(number.0);
        } else {
            orders.claims.push(number.0);
        }
        self.pending.push(key);
    }

    pub(super) fn claim_confirmed(&mut self, number: JobNumber, key: ExecutorKey) {
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

    /// Begins the jobs that every executor has confirmed, or that can't run where it has not.
    pub(super) fn settle_claims(&mut self) {
        self.settle_doubt();
        let grown = !self.is_young();
        self.begin_confirmed();
        if !self.peers_settled() || !(grown || self.has_met_roster()) {
            return;
        }
        self.note_meeting();
        if grown && !self.reaches_enough() {
            self.end_claimed_young();
        }
        for number in self.claiming() {
            match self.claim_state(number) {
                ClaimState::Open => {}
                ClaimState::Settled => self.begin_claimed(number),
                ClaimState::OutOfReach => self.end_unclaimable(number),
            }
        }
    }

    /// Logs once that claims no longer wait for anybody to be met.
    fn note_meeting(&mut self) {
        if std::mem::replace(&mut self.has_met, true) {
            return;
        }
        let after = crate::clock::millis(self.now.since(self.setup.started));
        let linked = self.executors.values().filter(|e| e.link.is_some()).count();
        self.log(
            Kind::ClaimsSettle,
            format!("after {after} ms, {linked} executors linked"),
        );
    }

    /// Begins the jobs that were claimed only because a link broke, once every executor that is
    /// known has confirmed: whoever else has one can't run it any more, heard or not.
    fn begin_confirmed(&mut self) {
        for number in self.claiming() {
            let confirmed = |j: &Job| {
                let asked = matches!(&j.phase, Phase::Claiming(asked) if asked.is_empty());
                j.claimed_lost && asked
            };
            let confirmed = self.jobs.get(&number).is_some_and(confirmed);
            if confirmed && self.linked_holder(number).is_none() {
                self.begin_claimed(number);
            }
        }
    }

    fn claim_state(&self, number: JobNumber) -> ClaimState {
        let Some(job) = self.jobs.get(&number) else {
            return ClaimState::Open;
        };
        let Phase::Claiming(asked) = &job.phase else {
            return ClaimState::Open;
        };
        // A peer that has it and is heard may be at work on it where it can't be claimed.
        let rival = self.linked_holder(number).is_some();
        if rival && self.executors.values().any(|e| self.is_lost(e)) {
            return ClaimState::OutOfReach;
        }
        let all = self.must_reach_all();
        let wait = all || self.has_renewed_peer() || self.was_just_given_up(number);
        // Nobody is known to have the job: where all that runs is known, it is not among it.
        let unheard = job.claimed_young && !self.announced.is_announced(number);
        let over = |e: &ExecutorView| self.is_lost(e) || (unheard && self.is_accounted(e));
        let may_run = |e: &ExecutorView| wait || !over(e);
        let open = |key: &ExecutorKey| self.executors.get(*key).is_some_and(may_run);
        let confirmed = !asked.iter().any(open);
        // What a forerunner of this scheduler had started is over by then, asked about or not,
        // unless a peer may be at work unheard.
        let over = !self.is_young() && job.claimed_young && !all;
        if confirmed || over {
            ClaimState::Settled
        } else {
            ClaimState::Open
        }
    }

    /// Whether a peer gave the job up only just now. What it had placed at an executor that can't be reached from here is
    /// being stopped there, or ends with the peer's lease; without this a task would run twice at once.
    fn was_just_given_up(&self, number: JobNumber) -> bool {
        let at = self.given_up.get(&number);
        at.is_some_and(|at| self.now.since(*at) < self.setup.lapse)
    }

    /// Whether nothing that was placed at an executor runs there any more. One that has said so before it left need not be
    /// waited for: jobs would be refused meanwhile for executors that are taken away.
    fn is_lost(&self, executor: &ExecutorView) -> bool {
        let over = executor.departed || self.silence(executor.last_heard) >= self.setup.lapse;
        executor.link.is_none() && over
    }

    fn begin_claimed(&mut self, number: JobNumber) {
        if let Some(job) = self.jobs.get_mut(&number) {
            job.phase = Phase::Active;
        }
        self.queue_job(number);
    }

    /// Jobs that came in while this scheduler was young, and that it can't claim now either.
    fn end_claimed_young(&mut self) {
        for number in self.claiming() {
            if self.jobs.get(&number).is_some_and(|j| j.claimed_young) {
                self.end_unclaimable(number);
            }
        }
    }
}
