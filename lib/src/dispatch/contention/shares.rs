//! What share of the jobs of each kind is served, and which kinds are owed room.
//!
//! Strict priorities starve what is less urgent, and large jobs find room later than small ones. A kind of which less
//! than a set part is served, compared with all others, goes before them until that is made good.

use crate::dispatch::policy::Contention;
use crate::prelude::*;

/// So many kinds are told apart. Jobs of further priorities count with the last.
const KINDS: usize = 16;
/// Shares of fewer jobs say nothing.
const LEAST_JOBS: f64 = 8.0;
/// The share of jobs that are not large.
const ORDINARY: f64 = 0.9;
/// The step by which the bound of large jobs follows them, as a part of itself.
const STEP: f64 = 0.02;

/// Jobs that are compared with others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Kind {
    /// Their priority.
    pub priority: u32,
    /// Whether they are of the largest tenth of it, by the room that they need.
    pub large: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    served: f64,
    all: f64,
    /// The room above which a job is large, in thousandths of a core.
    bound: f64,
}

/// What became of jobs, by kind.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    tallies: Vec<(Kind, Tally)>,
    at: Mono,
}

impl Shares {
    /// The kind of a job.
    pub fn kind(&self, priority: u32, cpu_milli: u64) -> Kind {
        let ordinary = Kind {
            priority,
            large: false,
        };
        let bound = self.tally(ordinary).map_or(0.0, |t| t.bound);
        let large = bound > 0.0 && cpu_milli as f64 > bound;
        Kind { priority, large }
    }

    /// A job has begun, or was turned away before it did.
    pub fn note(
        &mut self,
        now: Mono,
        priority: u32,
        cpu_milli: u64,
        served: bool,
        policy: &Contention,
    ) {
        self.fade(now, policy.share_memory);
        let kind = self.kind(priority, cpu_milli);
        let ordinary = Kind {
            large: false,
            ..kind
        };
        let bound = &mut self.tally_mut(ordinary).bound;
        *bound = follow(*bound, cpu_milli as f64);
        let tally = self.tally_mut(kind);
        tally.all += 1.0;
        tally.served += f64::from(u8::from(served));
    }

    /// Whether less of a kind is served than `least_served` times what is served of all others.
    pub fn is_underserved(&self, kind: Kind, policy: &Contention) -> bool {
        let Some(own) = self.tally(kind) else {
            return false;
        };
        let others = self.tallies.iter().filter(|(k, _)| *k != kind);
        let (served, all) = others.fold((0.0, 0.0), |(served, all), (_, t)| {
            (served + t.served, all + t.all)
        });
        if own.all < LEAST_JOBS || all < LEAST_JOBS {
            return false;
        }
        own.served / own.all < policy.least_served * (served / all)
    }

    fn tally(&self, kind: Kind) -> Option<Tally> {
        let found = self.tallies.iter().find(|(k, _)| *k == kind);
        found.map(|(_, tally)| *tally)
    }

    fn tally_mut(&mut self, kind: Kind) -> &mut Tally {
        let known = self.tallies.iter().position(|(k, _)| *k == kind);
        let place = known.unwrap_or_else(|| {
            if self.tallies.len() < KINDS {
                self.tallies.push((kind, Tally::default()));
            }
            self.tallies.len() - 1
        });
        &mut self.tallies[place].1
    }

    /// Lets what was noted fade, and forgets kinds of which no jobs come any more.
    fn fade(&mut self, now: Mono, memory: Duration) {
        let passed = now.since(self.at).as_secs_f64();
        self.at = now;
        let left = (-passed / memory.as_secs_f64()).exp();
        for (_, tally) in &mut self.tallies {
            tally.served *= left;
            tally.all *= left;
        }
        self.tallies
            .retain(|(_, t)| t.all > 0.01 || t.bound > 0.0 && t.all > 0.000_1);
    }
}

/// A bound that a tenth of the values lies above, moved by one of them.
fn follow(bound: f64, value: f64) -> f64 {
    if bound == 0.0 {
        value * 2.0
    } else if value > bound {
        bound * (1.0 + STEP * ORDINARY)
    } else {
        bound * (1.0 - STEP * (1.0 - ORDINARY))
    }
}
