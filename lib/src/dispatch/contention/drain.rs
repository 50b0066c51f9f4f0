//! How fast room comes free.

use crate::prelude::*;

/// The weight of the newest run in what is learned.
const WEIGHT: f64 = 0.02;
/// So many runs must have ended before anything is concluded from them.
const LEAST_RUNS: u32 = 20;

/// How long runs hold their room, learned from those that end. Room in use comes free at the rate of what is used
/// through that time.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReleaseRate {
    runs: u32,
    /// Means over runs: room in thousandths of a core, and that times seconds.
    cpu: f64,
    work: f64,
}

impl ReleaseRate {
    /// A run has ended.
    pub fn note(&mut self, cpu_milli: u32, ran: Duration) {
        self.runs = self.runs.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(self.runs));
        let cpu = f64::from(cpu_milli);
        self.cpu += weight * (cpu - self.cpu);
        self.work += weight * (cpu * ran.as_secs_f64() - self.work);
    }

    /// The room that comes free a second where so much is in use, in thousandths of a core; none while too little is
    /// known.
    pub fn rate(&self, used_milli: u64) -> Option<f64> {
        let known = self.runs >= LEAST_RUNS && self.work > 0.0 && used_milli > 0;
        known.then(|| used_milli as f64 * self.cpu / self.work)
    }
}

/// When a job would start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Forecast {
    /// The room that jobs ahead of it need here, in thousandths of a core.
    pub own: u64,
    /// The same at peers.
    pub peers: u64,
    /// What it needs itself.
    pub need: u64,
    /// What is free now.
    pub free: u64,
    /// What comes free a second.
    pub rate: f64,
}

impl Forecast {
    /// How long it waits until there is room for all that is ahead of it, and for itself.
    pub fn wait(&self) -> Duration {
        let needed = self
            .own
            .saturating_add(self.peers)
            .saturating_add(self.need);
        let missing = needed.saturating_sub(self.free);
        if missing == 0 {
            return Duration::ZERO;
        }
        let seconds = missing as f64 / self.rate.max(1.0);
        Duration::from_secs_f64(seconds.min(LONGEST.as_secs_f64()))
    }
}

/// No wait is predicted to be longer.
const LONGEST: Duration = Duration::from_secs(60);
