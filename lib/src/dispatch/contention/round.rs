//! Which jobs of a placement round may take room.
//!
//! A job that does not fit does not end the round: jobs of its class that fit completely overtake it until it
//! has used up a part of its time. After that the room that becomes free is left to it. A less urgent job
//! overtakes a more urgent one, here or at a peer, only if there is room for both.

use crate::prelude::*;

/// A job that has not begun, as considered by a placement round.
#[derive(Clone, Copy, Debug)]
pub struct PendingJob {
    /// The class of the job; the lowest class goes first.
    pub class: u8,
    /// Whether too few jobs of its kind are served. Such a job leaves no room to more urgent ones, here or at
    /// peers.
    pub underserved: bool,
    /// The room that the job needs to begin, in thousandths of a core.
    pub min_cpu: u64,
    /// The room that all its tasks need, in thousandths of a core.
    pub total_cpu: u64,
    /// The time until which others may overtake it.
    pub yields_until: Mono,
}

/// What a placement round does with a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoundDecision {
    /// The round tries to place the job.
    Try,
    /// The job yields to others and is skipped.
    Yield,
}

/// The first job of a round that did not fit.
#[derive(Clone, Copy, Debug)]
struct Blocked {
    class: u8,
    yields_until: Mono,
    min_cpu: u64,
}

/// The state of a placement round.
#[derive(Clone, Copy, Debug)]
pub struct Round {
    now: Mono,
    free: u64,
    blocked: Option<Blocked>,
    misses: u32,
    max_misses: u32,
}

impl Round {
    /// Starts a round with `free` thousandths of a core that ends after `max_misses` jobs that did not fit.
    pub fn new(now: Mono, free: u64, max_misses: u32) -> Round {
        Round {
            now,
            free,
            blocked: None,
            misses: 0,
            max_misses,
        }
    }

    /// Returns whether a job is tried. `peer_demand` is the room that more urgent work at peers needs.
    pub fn decide(&self, job: &PendingJob, peer_demand: u64) -> RoundDecision {
        let (reserved, min_cpu) = match self.blocked {
            Some(b) if self.now >= b.yields_until => return RoundDecision::Yield,
            Some(b) if job.class > b.class && !job.underserved => (b.min_cpu, job.total_cpu),
            Some(_) => (0, job.total_cpu),
            None => (0, job.min_cpu),
        };
        let peer_demand = if job.underserved { 0 } else { peer_demand };
        let taken = reserved.saturating_add(peer_demand);
        let yields = taken > 0 || self.blocked.is_some();
        if yields && self.free < taken.saturating_add(min_cpu) {
            return RoundDecision::Yield;
        }
        RoundDecision::Try
    }

    /// Takes the room of tasks that were placed.
    pub fn take(&mut self, cpu_milli: u64) {
        self.free = self.free.saturating_sub(cpu_milli);
    }

    /// Ends the round because a job began with only a part of its tasks. The room that becomes free next is
    /// for its other tasks, so that at most one job is partly placed: the work done for a job is lost if it
    /// is not finished.
    pub fn record_partial(&mut self) {
        self.misses = self.max_misses;
    }

    /// Records a job that did not fit. The first one is the one that others overtake, until the earliest
    /// `yields_until` of all that did not fit.
    pub fn record_miss(&mut self, job: &PendingJob) {
        self.misses += 1;
        let blocked = self.blocked.get_or_insert(Blocked {
            class: job.class,
            yields_until: job.yields_until,
            min_cpu: job.min_cpu,
        });
        blocked.yields_until = blocked.yields_until.min(job.yields_until);
    }

    /// Returns whether the round is over. Trying more jobs would cost time that the entry needs to answer
    /// requests.
    pub fn is_over(&self) -> bool {
        self.misses >= self.max_misses
    }
}
