//! Jobs that wait here and are handed to a peer at which less waits. [`crate::dispatch::balance`] decides which.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Scheduler;
use super::following::Following;
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

/// An entry counts as short of processor time until it uses this share of what makes it so.
const RELIEVED: f64 = 0.9;

/// What a peer has last said of its load.
#[derive(Clone, Debug, Default)]
struct PeerLoad {
    /// What waits there by priority, in thousandths of a core; what was handed to it since counts.
    waiting: BTreeMap<u32, u64>,
    /// What it uses of its processor time, in percent; 0 if not known.
    busy: u32,
}

/// What is known of the loads of this scheduler and its peers.
#[derive(Clone, Debug, Default)]
pub(super) struct Loads {
    /// What this process uses of its processor time, in percent; 0 if not known.
    busy: u32,
    /// Whether that is more than it should be.
    short: bool,
    peers: BTreeMap<String, PeerLoad>,
}

impl PeerLoad {
    /// What waits there of a priority and of more urgent ones.
    fn waiting_up_to(&self, priority: u32) -> u64 {
        self.waiting.range(..=priority).map(|(_, cpu)| cpu).sum()
    }
}

impl Loads {
    /// Forgets a peer whose link is down.
    pub fn forget(&mut self, name: &str) {
        self.peers.remove(name);
    }
}

impl Job {
    /// Whether nobody can have started anything of it, nor has had it before.
    fn is_untouched(&self) -> bool {
        let fresh = !self.began && !self.began_before && !self.ran_elsewhere;
        fresh && self.phase == Phase::Active && self.followers.is_empty()
    }

    /// Takes into account that it has waited elsewhere.
    pub(super) fn backdate_arrival(&mut self, waited: Duration) {
        self.arrived = self.arrived - waited;
        self.objective_at = self.objective_at - waited;
        self.start_deadline = self.start_deadline - waited;
        self.expires_at = self.expires_at - waited;
    }
}

impl Scheduler {
    /// What this process uses of the processor time that it may use, in percent, as measured outside.
    pub fn set_busy(&mut self, now: Mono, percent: u32) {
        self.advance_clock(now);
        let most = self.setup.policy.balance.busy * 100.0;
        let bound = if self.loads.short {
            most * RELIEVED
        } else {
            most
        };
        self.loads.busy = percent.max(1);
        let short = f64::from(percent) > bound;
        if !self.setup.policy.balance.on || short == self.loads.short {
            return;
        }
        self.loads.short = short;
        let kind = if short {
            Kind::EntryOverloaded
        } else {
            Kind::EntryRecovered
        };
        self.log(kind, format!("{percent} % of its processor time"));
    }

    /// What this process uses of its processor time, in percent, and what waits here, in thousandths of a core.
    pub fn own_load(&self) -> (u32, u64) {
        (self.loads.busy, self.waiting_up_to(u32::MAX))
    }

    /// What waits here of a priority and of more urgent ones, in thousandths of a core.
    fn waiting_up_to(&self, priority: u32) -> u64 {
        let jobs = self.waiting.iter().filter_map(|w| self.jobs.get(&w.2));
        let jobs = jobs.filter(|job| job.priority <= priority);
        jobs.map(Job::ready_cpu).sum()
    }

    /// What peers are told of the processor time that is used here, in percent; 0 while jobs are not handed on.
    pub(super) fn busy_update(&self) -> u32 {
        match self.setup.policy.balance.on {
            true => self.loads.busy,
            false => 0,
        }
    }

    /// A peer says what waits there and how busy it is.
    pub(super) fn record_peer_load(&mut self, name: &str, update: &proto::PeerUpdate) {
        if !self.setup.policy.balance.on {
            return;
        }
        let rows = update.backlog.iter();
        let load = PeerLoad {
            waiting: rows.map(|b| (b.priority, b.cpu_milli)).collect(),
            busy: update.busy_percent,
        };
        self.loads.peers.insert(name.to_owned(), load);
    }

    /// Hands on jobs that wait here, if more waits than at peers. Each priority is evened out by itself, the most urgent
    /// first: if only patient jobs went, urgent ones would wait where callers are many, while patient ones elsewhere take
    /// the room.
    pub(super) fn balance_jobs(&mut self) {
        if !self.setup.policy.balance.on || self.waiting.is_empty() || self.leaving.is_some() {
            return;
        }
        let names = self.takers();
        let priorities = self.waiting.iter().filter_map(|w| self.jobs.get(&w.2));
        let priorities: BTreeSet<u32> = priorities.map(|job| job.priority).collect();
        let mut left = self.setup.policy.balance.round_jobs as usize;
        for priority in priorities {
            left -= self.even_out_at(priority, &names, left);
        }
    }

    /// Hands on up to `most` jobs of a priority: those that would be placed last, since they gain most. What counts
    /// is what they wait behind, of their own priority and more urgent ones. Tells how many went.
    fn even_out_at(&mut self, priority: u32, names: &[String], most: usize) -> usize {
        let loads = names.iter().enumerate().map(|(key, name)| Candidate {
            key,
            waiting: self.loads.peers[name].waiting_up_to(priority),
        });
        let mut spread = Balancer::new(self.waiting_up_to(priority), loads.collect());
        if !spread.is_overloaded(self.setup.policy.balance.uneven) {
            return 0;
        }
        let last = self.waiting.iter().rev();
        let going = last.filter(|(_, at, number)| self.may_go(*number, *at));
        let going = going.map(|w| w.2);
        let going = going.filter(|number| self.jobs[number].priority == priority);
        let going: Vec<JobNumber> = going.take(most).collect();
        let mut gone = 0;
        for number in going {
            let size = self.jobs[&number].ready_cpu();
            if let Some(key) = spread.assign(size, &mut self.rng) {
                self.hand_waiting(number, &names[key]);
                gone += 1;
            }
        }
        gone
    }

    /// The peers that may be handed jobs: heard just now, since what is handed to one that was cut off waits until its
    /// link is given up.
    fn takers(&self) -> Vec<String> {
        let recent = self.setup.policy.reports.heartbeat * 2;
        let most = self.setup.policy.balance.busy * 100.0;
        let takes = |name: &String, p: &Peer| {
            let heard =
                p.link.is_some() && p.has_reported && self.now.since(p.last_heard) <= recent;
            let load = self.loads.peers.get(name);
            heard && p.accepts_jobs() && load.is_some_and(|l| f64::from(l.busy) <= most)
        };
        let takers = self.peers.iter().filter(|(name, p)| takes(name, p));
        takers.map(|(name, _)| name.clone()).collect()
    }

    /// Whether a job that must begin by `at` may be run elsewhere. One that a peer waits for was handed here, or is known
    /// elsewhere: it goes no further.
    fn may_go(&self, number: JobNumber, at: Mono) -> bool {
        let policy = self.setup.policy.balance;
        let Some(job) = self.jobs.get(&number) else {
            return false;
        };
        let waited = self.now.since(job.arrived) >= policy.wait;
        let reaches = at >= self.now + policy.least_left;
        let confined = self.bulkheads.confines(&job.request.queue);
        waited && reaches && !confined && job.is_untouched() && !self.needs_reclaim(job)
    }

    /// Hands a job that waits here to a peer, and follows it there.
    fn hand_waiting(&mut self, number: JobNumber, name: &str) {
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
        self.counts.handed += 1;
        if let Some(load) = self.loads.peers.get_mut(name) {
            *load.waiting.entry(job.priority).or_default() += job.ready_cpu();
        }
        if let Some(peer) = self.peers.get_mut(name) {
            peer.hand(proto::HandedJob {
                waited_ms: waited,
                ..job.request.proto()
            });
        }
        // Whoever asks for it here before the peer has announced it is sent there.
        self.announced.note(number, name, self.now);
        let following = Following {
            peer: name.to_owned(),
            callers: job.callers,
            request: job.request,
            handed: true,
        };
        self.following.insert(number, following);
    }

    /// Tells the peer that has a handed job that nobody waits for it here any more.
    pub(super) fn unfollow(&mut self, name: &str, number: JobNumber) {
        if !self.setup.policy.balance.on {
            return;
        }
        if let Some(peer) = self.peers.get_mut(name).filter(|p| p.link.is_some()) {
            peer.outgoing.unfollow.push(number.0);
        }
    }

    /// A peer's callers have left a job that runs here. One that nobody waits for is cancelled.
    pub(super) fn handle_unfollow(&mut self, name: &str, number: JobNumber) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let before = job.followers.len();
        job.followers.retain(|f| f != name);
        let left = job.followers.len() < before;
        if left && job.followers.is_empty() && job.callers.is_empty() {
            self.count_cause("caller-left");
            self.end_job(number, JobOutcome::Unknown, "caller-left");
            self.place();
        }
    }
}
