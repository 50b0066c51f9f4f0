//! Which jobs of a round of placing may take room.
//!
//! A job that does not fit doesn't end the round: those of its class that fit whole go past it for as long as it
//! has time.
//! After that the room that comes free is left to it. Less urgent jobs never go past a more urgent one, here or at a
//! peer, unless there is room for both.

use crate::prelude::*;

/// A job that has not begun, as a round sees it.
#[derive(Clone, Copy, Debug)]
pub struct Entrant {
    /// Its class; the lowest go first.
    pub class: u8,
    /// Whether too few of its kind are served, so that it yields to nobody.
    pub owed: bool,
    /// The room that it must find to begin, in thousandths of a core.
    pub least: u64,
    /// The room that all of it needs.
    pub whole: u64,
    /// Until when others may go past it.
    pub patient_until: Mono,
}

/// What a round does with a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It is tried.
    Try,
    /// It yields to others.
    Yield,
}

#[derive(Clone, Copy, Debug)]
struct Blocked {
    class: u8,
    patient_until: Mono,
    least: u64,
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
    pub fn turn(&self, job: &Entrant, elsewhere: u64) -> Turn {
        let (beside, least) = match self.blocked {
            Some(b) if self.now >= b.patient_until => return Turn::Yield,
            Some(b) if job.class > b.class && !job.owed => (b.least, job.whole),
            Some(_) => (0, job.whole),
            None => (0, job.least),
        };
        let elsewhere = if job.owed { 0 } else { elsewhere };
        let taken = beside.saturating_add(elsewhere);
        let yields = taken > 0 || self.blocked.is_some();
        if yields && self.free < taken.saturating_add(least) {
            return Turn::Yield;
        }
        Turn::Try
    }

    /// Room was taken.
    pub fn take(&mut self, cpu_milli: u64) {
        self.free = self.free.saturating_sub(cpu_milli);
    }

    /// A job began with only a part of its tasks. The room that comes free next is for the rest of it, so that at most
    /// one job stands half placed: what it has used is lost if it is not finished.
    pub fn begin_part(&mut self) {
        self.misses = self.most_misses;
    }

    /// A job did not fit.
    pub fn miss(&mut self, job: &Entrant) {
        self.misses += 1;
        let blocked = self.blocked.get_or_insert(Blocked {
            class: job.class,
            patient_until: job.patient_until,
            least: job.least,
        });
        blocked.patient_until = blocked.patient_until.min(job.patient_until);
    }

    /// Whether no further job is looked at: trying costs time that the entry needs to answer.
    pub fn is_over(&self) -> bool {
        self.misses >= self.most_misses
    }
}
