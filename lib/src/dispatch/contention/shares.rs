//! The share of the jobs of each kind that is served, and which kinds are underserved.
//!
//! Strict priorities starve less urgent jobs, and large jobs find room later than small ones. A kind whose
//! served share is below a set fraction of that of all others goes before them until it is no longer
//! underserved.

use crate::dispatch::policy::Contention;
use crate::prelude::*;

/// The maximum number of kinds. Jobs of further kinds count with the last one.
const MAX_KINDS: usize = 16;
/// Shares of fewer jobs than this are not compared.
const MIN_JOBS: f64 = 8.0;
/// The share of jobs that are not large.
const ORDINARY_SHARE: f64 = 0.9;
/// The relative step by which the threshold of large jobs is adjusted.
const THRESHOLD_STEP: f64 = 0.02;

/// A group of jobs whose served share is compared with that of all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Kind {
    /// The priority of the jobs.
    pub priority: u32,
    /// Whether they are among the largest tenth of their priority, by the room that they need.
    pub large: bool,
}

/// The decaying job counts of a kind.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    served: f64,
    all: f64,
    /// The room above which a job is large, in thousandths of a core; 0 if not known. It is kept with the
    /// kind that is not large.
    threshold: f64,
}

/// The numbers of served and of all jobs, by kind.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    tallies: Vec<(Kind, Tally)>,
    at: Mono,
}

impl Shares {
    /// Returns the kind of a job that needs `cpu_milli` thousandths of a core.
    pub fn kind(&self, priority: u32, cpu_milli: u64) -> Kind {
        let ordinary = Kind {
            priority,
            large: false,
        };
        let threshold = self.tally(ordinary).map_or(0.0, |t| t.threshold);
        let large = threshold > 0.0 && cpu_milli as f64 > threshold;
        Kind { priority, large }
    }

    /// Records a job that has begun, or was refused before it did.
    pub fn record(
        &mut self,
        now: Mono,
        priority: u32,
        cpu_milli: u64,
        served: bool,
        policy: &Contention,
    ) {
        self.decay(now, policy.share_memory);
        let kind = self.kind(priority, cpu_milli);
        let ordinary = Kind {
            large: false,
            ..kind
        };
        let threshold = &mut self.tally_mut(ordinary).threshold;
        *threshold = adjust_threshold(*threshold, cpu_milli as f64);
        let tally = self.tally_mut(kind);
        tally.all += 1.0;
        tally.served += f64::from(u8::from(served));
    }

    /// Returns whether the served share of a kind is below `least_served` times the served share of all
    /// others.
    pub fn is_underserved(&self, kind: Kind, policy: &Contention) -> bool {
        let Some(own) = self.tally(kind) else {
            return false;
        };
        let others = self.tallies.iter().filter(|(k, _)| *k != kind);
        let (served, all) = others.fold((0.0, 0.0), |(served, all), (_, t)| {
            (served + t.served, all + t.all)
        });
        if own.all < MIN_JOBS || all < MIN_JOBS {
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
            if self.tallies.len() < MAX_KINDS {
                self.tallies.push((kind, Tally::default()));
            }
            self.tallies.len() - 1
        });
        &mut self.tallies[place].1
    }

    /// Lets the counts decay exponentially, and drops kinds of which no more jobs arrive.
    fn decay(&mut self, now: Mono, memory: Duration) {
        let passed = now.since(self.at).as_secs_f64();
        self.at = now;
        let left = (-passed / memory.as_secs_f64()).exp();
        for (_, tally) in &mut self.tallies {
            tally.served *= left;
            tally.all *= left;
        }
        self.tallies
            .retain(|(_, t)| t.all > 0.01 || t.threshold > 0.0 && t.all > 0.000_1);
    }
}

/// Returns the threshold above which a tenth of the values lie, adjusted by one more value.
fn adjust_threshold(threshold: f64, value: f64) -> f64 {
    if threshold == 0.0 {
        value * 2.0
    } else if value > threshold {
        threshold * (1.0 + THRESHOLD_STEP * ORDINARY_SHARE)
    } else {
        threshold * (1.0 - THRESHOLD_STEP * (1.0 - ORDINARY_SHARE))
    }
}
