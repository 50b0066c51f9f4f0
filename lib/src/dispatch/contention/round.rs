//! Which jobs of a round of placing may take room.
//!
//! A job that does not fit doesn't end the round: those of its class that fit whole go past it for as long as it
//! has time.
//! After that the room that comes free is left to it. Less urgent jobs never go past a more urgent one, here or at a
//! peer, unless there is room for both.

use crate::prelude::*;

/// A job that has not begun, as a round sees it.
#[derive(Clone, Copy, Debug)]
pub struct PendingJob {
    /// Its class; the lowest go first.
    pub class: u8,
    /// Whether too few of its kind are served, so that it yields to nobody.
    pub underserved: bool,
    /// The room that it must find to begin, in thousandths of a core.
    pub min_cpu: u64,
    /// The room that all of it needs.
    pub total_cpu: u64,
    /// Until when others may go past it.
    pub yields_until: Mono,
}

/// What a round does with a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoundDecision {
    /// It is tried.
    Try,
    /// It yields to others.
    Yield,
}

#[derive(Clone, Copy, Debug)]
struct Blocked {
    class: u8,
    yields_until: Mono,
    min_cpu: u64,
}

/// A round of placing.
#[derive(Clone, Copy, Debug)]
pub struct Round {
    now: Mono,
    free: u64,
    blocked: Option<Blocked>,
    misses: u32,
    most_misses: u32,
}

impl Round {
    /// A round with so much room, in thousandths of a core, that ends after so many jobs that did not fit.
    pub fn new(now: Mono, free: u64, most_misses: u32) -> Round {
        Round {
            now,
            free,
            blocked: None,
            misses: 0,
            most_misses,
        }
    }

    /// Whether a job is tried. `elsewhere` is the room that more urgent work at peers needs.
    pub fn decide(&self, job: &PendingJob, elsewhere: u64) -> RoundDecision {
        let (beside, min_cpu) = match self.blocked {
            Some(b) if self.now >= b.yields_until => return RoundDecision::Yield,
            Some(b) if job.class > b.class && !job.underserved => (b.min_cpu, job.total_cpu),
            Some(_) => (0, job.total_cpu),
            None => (0, job.min_cpu),
        };
        let elsewhere = if job.underserved { 0 } else { elsewhere };
        let taken = beside.saturating_add(elsewhere);
        let yields = taken > 0 || self.blocked.is_some();
        if yields && self.free < taken.saturating_add(min_cpu) {
            return RoundDecision::Yield;
        }
        RoundDecision::Try
    }

    /// Room was taken.
    pub fn take(&mut self, cpu_milli: u64) {
        self.free = self.free.saturating_sub(cpu_milli);
    }

    /// A job began with only a part of its tasks. The room that comes free next is for the rest of it, so that at most
    /// one job stands half placed: what it has used is lost if it is not finished.
    pub fn record_partial(&mut self) {
        self.misses = self.most_misses;
    }

    /// A job did not fit.
    pub fn record_miss(&mut self, job: &PendingJob) {
        self.misses += 1;
        let blocked = self.blocked.get_or_insert(Blocked {
            class: job.class,
            yields_until: job.yields_until,
            min_cpu: job.min_cpu,
        });
        blocked.yields_until = blocked.yields_until.min(job.yields_until);
    }

    /// Whether no further job is looked at: trying costs time that the entry needs to answer.
    pub fn is_over(&self) -> bool {
        self.misses >= self.most_misses
    }
}
