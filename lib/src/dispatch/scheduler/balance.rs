//! Hands waiting jobs off to peers with a smaller backlog, and follows them there.
//!
//! [`crate::dispatch::balance`] decides which job goes to which peer; input are the backlogs and the
//! processor load that peers report. Only jobs of which no run can have started anywhere are handed off, and
//! each of them only once.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Scheduler;
use super::followed_jobs::FollowedJob;
use super::jobs::Job;
use super::jobs::Phase;
use super::peers::Peer;
use crate::dispatch::balance::Balancer;
use crate::dispatch::balance::Candidate;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::JobOutcome;
use crate::event::Kind;
use crate::prelude::*;
use crate::protos::dispatch as proto;

/// An overloaded entry counts as recovered once its processor load is at most this share of the limit.
const RECOVERY_SHARE: f64 = 0.9;

/// The load that a peer has last reported.
#[derive(Clone, Debug, Default)]
struct PeerLoad {
    /// The CPU that its waiting jobs need, by priority, in thousandths of a core. Includes the jobs that were
    /// handed off to it since the report.
    waiting: BTreeMap<u32, u64>,
    /// The share of its processor time that it uses, in percent; 0 if not known.
    busy_percent: u32,
}

/// The loads of this scheduler and its peers.
#[derive(Clone, Debug, Default)]
pub(super) struct Loads {
    /// The share of its processor time that this process uses, in percent; 0 if not known.
    busy_percent: u32,
    /// Whether that share has exceeded the limit and has not recovered yet.
    overloaded: bool,
    peers: BTreeMap<String, PeerLoad>,
}

impl PeerLoad {
    /// Returns the CPU that the peer's waiting jobs of this and more urgent priorities need.
    fn waiting_up_to(&self, priority: u32) -> u64 {
        let waiting = self.waiting.range(..=priority).map(|(_, cpu)| *cpu);
        waiting.fold(0, u64::saturating_add)
    }
}

impl Loads {
    /// Drops the load of a peer whose link is lost.
    pub fn forget(&mut self, name: &str) {
        self.peers.remove(name);
    }
}

impl Job {
    /// Returns whether no run of it can have started anywhere, it is not being claimed, and no peer follows
    /// it.
    fn is_untouched(&self) -> bool {
        let fresh = !self.began && !self.began_before && !self.ran_elsewhere;
        fresh && self.phase == Phase::Active && self.followers.is_empty()
    }

    /// Moves its arrival and deadlines back by the time that it has waited elsewhere.
    pub(super) fn backdate_arrival(&mut self, waited: Duration) {
        self.arrived = self.arrived - waited;
        self.objective_at = self.objective_at - waited;
        self.start_deadline = self.start_deadline - waited;
        self.expires_at = self.expires_at - waited;
    }
}

impl Scheduler {
    /// Sets the measured share of its available processor time that this process uses, in percent. If
    /// balancing is on, logs when the process becomes overloaded and when it has recovered.
    pub fn set_busy(&mut self, now: Mono, percent: u32) {
        self.advance_clock(now);
        let most = self.setup.policy.balance.busy * 100.0;
        let bound = if self.loads.overloaded {
            most * RECOVERY_SHARE
        } else {
            most
        };
        self.loads.busy_percent = percent.max(1);
        let overloaded = f64::from(percent) > bound;
        if !self.setup.policy.balance.on || overloaded == self.loads.overloaded {
            return;
        }
        self.loads.overloaded = overloaded;
        let kind = if overloaded {
            Kind::EntryOverloaded
        } else {
            Kind::EntryRecovered
        };
        self.log(kind, format!("{percent} % of its processor time"));
    }

    /// Returns the share of its processor time that this process uses, in percent, and the CPU that the jobs
    /// waiting here need, in thousandths of a core.
    pub fn own_load(&self) -> (u32, u64) {
        (self.loads.busy_percent, self.waiting_up_to(u32::MAX))
    }

    /// Returns the CPU that the jobs waiting here of this and more urgent priorities need, in thousandths of
    /// a core.
    fn waiting_up_to(&self, priority: u32) -> u64 {
        let jobs = self.waiting.iter().filter_map(|w| self.jobs.get(&w.2));
        let jobs = jobs.filter(|job| job.priority <= priority);
        jobs.map(Job::ready_cpu).sum()
    }

    /// Returns the processor load that is reported to peers, in percent; 0 if balancing is off.
    pub(super) fn busy_update(&self) -> u32 {
        match self.setup.policy.balance.on {
            true => self.loads.busy_percent,
            false => 0,
        }
    }

    /// Records the backlog and the processor load that a peer has reported.
    pub(super) fn record_peer_load(&mut self, name: &str, update: &proto::PeerUpdate) {
        if !self.setup.policy.balance.on {
            return;
        }
        let rows = update.backlog.iter();
        let load = PeerLoad {
            waiting: rows.map(|b| (b.priority, b.cpu_milli)).collect(),
            busy_percent: update.busy_percent,
        };
        self.loads.peers.insert(name.to_owned(), load);
    }

    /// Hands waiting jobs off to peers if the backlog here is larger than theirs. Each priority is balanced
    /// by itself, the most urgent first. If only less urgent jobs were handed off, urgent ones would wait at
    /// the schedulers with many callers while less urgent ones used the capacity at others.
    pub(super) fn balance_jobs(&mut self) {
        if !self.setup.policy.balance.on || self.waiting.is_empty() || self.leaving.is_some() {
            return;
        }
        let names = self.handoff_targets();
        let priorities = self.waiting.iter().filter_map(|w| self.jobs.get(&w.2));
        let priorities: BTreeSet<u32> = priorities.map(|job| job.priority).collect();
        let mut left = self.setup.policy.balance.round_jobs as usize;
        for priority in priorities {
            left -= self.balance_priority(priority, &names, left);
        }
    }

    /// Hands off up to `most` jobs of a priority, those that would be placed last first, because they gain
    /// most. Compares the demand that these jobs wait behind, which is that of their own and more urgent
    /// priorities. Returns the number of jobs that were handed off.
    fn balance_priority(&mut self, priority: u32, names: &[String], most: usize) -> usize {
        let loads = names.iter().enumerate().map(|(key, name)| Candidate {
            key,
            waiting: self.loads.peers[name].waiting_up_to(priority),
        });
        let mut balancer = Balancer::new(self.waiting_up_to(priority), loads.collect());
        if !balancer.is_overloaded(self.setup.policy.balance.uneven) {
            return 0;
        }
        let last = self.waiting.iter().rev();
        let candidates = last.filter(|(_, at, number)| self.can_hand_off(*number, *at));
        let candidates = candidates.map(|w| w.2);
        let candidates = candidates.filter(|number| self.jobs[number].priority == priority);
        let candidates: Vec<JobNumber> = candidates.take(most).collect();
        let mut count = 0;
        for number in candidates {
            let size = self.jobs[&number].ready_cpu();
            if let Some(key) = balancer.assign(size, &mut self.rng) {
                self.hand_off_waiting(number, &names[key]);
                count += 1;
            }
        }
        count
    }

    /// Returns the peers that jobs may be handed off to. Only peers that were heard within two heartbeats are
    /// eligible: a job handed off to an unreachable peer waits until the link to it is closed.
    fn handoff_targets(&self) -> Vec<String> {
        let recent = self.setup.policy.reports.heartbeat * 2;
        let most = self.setup.policy.balance.busy * 100.0;
        let eligible = |name: &String, p: &Peer| {
            let heard =
                p.link.is_some() && p.has_reported && self.now.since(p.last_heard) <= recent;
            let load = self.loads.peers.get(name);
            heard && p.accepts_jobs() && load.is_some_and(|l| f64::from(l.busy_percent) <= most)
        };
        let peers = self.peers.iter().filter(|(name, p)| eligible(name, p));
        peers.map(|(name, _)| name.clone()).collect()
    }

    /// Returns whether a job that must begin by `at` may be handed off. It must have waited long enough,
    /// leave enough time for the transfer, and be known to this scheduler only: a job that a peer follows was
    /// handed off to this scheduler, or submitted at the peer too, and stays. Jobs of confined queues and
    /// those that have to be claimed again stay as well.
    fn can_hand_off(&self, number: JobNumber, at: Mono) -> bool {
        let policy = self.setup.policy.balance;
        let Some(job) = self.jobs.get(&number) else {
            return false;
        };
        let waited = self.now.since(job.arrived) >= policy.wait;
        let reaches = at >= self.now + policy.least_left;
        let confined = self.bulkheads.confines(&job.request.queue);
        waited && reaches && !confined && job.is_untouched() && !self.needs_reclaim(job)
    }

    /// Hands a waiting job off to a peer, and follows it there.
    fn hand_off_waiting(&mut self, number: JobNumber, name: &str) {
        let Some(job) = self.jobs.remove(&number) else {
            return;
        };
        if let Some((class, at)) = job.waiting_key {
            self.waiting.remove(&(class, at, number));
        }
        let waited = crate::clock::millis(self.now.since(job.arrived)) as u32;
        let call = &job.request.call;
        let detail = format!("{number} to {name} after {waited} ms request {call}");
        self.log(Kind::JobRebalanced, detail);
        self.counts.handoffs_sent += 1;
        if let Some(load) = self.loads.peers.get_mut(name) {
            *load.waiting.entry(job.priority).or_default() += job.ready_cpu();
        }
        if let Some(peer) = self.peers.get_mut(name) {
            peer.queue_handoff(proto::HandedJob {
                waited_ms: waited,
                ..job.request.proto()
            });
        }
        // Callers that submit the job again here, before the peer has announced it, follow it there.
        self.announced.record(number, name, self.now);
        let following = FollowedJob {
            peer: name.to_owned(),
            callers: job.callers,
            request: job.request,
            handed_off: true,
        };
        self.following.insert(number, following);
    }

    /// Informs the peer to which a job was handed off that no caller waits for it here any more.
    pub(super) fn unfollow(&mut self, name: &str, number: JobNumber) {
        if !self.setup.policy.balance.on {
            return;
        }
        if let Some(peer) = self.peers.get_mut(name).filter(|p| p.link.is_some()) {
            peer.outgoing.unfollow.push(number.0);
        }
    }

    /// Stops reporting a job to a peer whose callers have left. The job is cancelled if no callers and
    /// followers are left.
    pub(super) fn handle_unfollow(&mut self, name: &str, number: JobNumber) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let before = job.followers.len();
        job.followers.retain(|f| f != name);
        let unfollowed = job.followers.len() < before;
        if unfollowed && job.followers.is_empty() && job.callers.is_empty() {
            self.count_cause("caller-left");
            self.end_job(number, JobOutcome::Unknown, "caller-left");
            self.place();
        }
    }
}
