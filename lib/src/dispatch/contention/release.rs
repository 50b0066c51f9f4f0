//! How fast room becomes free: learned from the runs that end, and used to forecast when a job would start.
//! Amounts of room are in thousandths of a core.

use crate::prelude::*;

/// The minimum weight of the newest run in the learned means.
const MIN_WEIGHT: f64 = 0.02;
/// The number of runs that must have ended before a rate is given.
const MIN_RUNS: u32 = 20;

/// The rate at which room becomes free: the room in use divided by the mean time that runs hold it, weighted
/// by their room.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReleaseRate {
    runs: u32,
    /// The mean over runs of their room, in thousandths of a core.
    mean_cpu: f64,
    /// The mean over runs of their room times their duration, in thousandths of a core-second.
    mean_work: f64,
}

impl ReleaseRate {
    /// Records a run that has ended.
    pub fn record(&mut self, cpu_milli: u32, ran: Duration) {
        self.runs = self.runs.saturating_add(1);
        let weight = MIN_WEIGHT.max(1.0 / f64::from(self.runs));
        let cpu = f64::from(cpu_milli);
        self.mean_cpu += weight * (cpu - self.mean_cpu);
        self.mean_work += weight * (cpu * ran.as_secs_f64() - self.mean_work);
    }

    /// Returns the room that becomes free a second while `used_milli` is in use, or `None` while too few runs
    /// have ended.
    pub fn rate(&self, used_milli: u64) -> Option<f64> {
        let known = self.runs >= MIN_RUNS && self.mean_work > 0.0 && used_milli > 0;
        known.then(|| used_milli as f64 * self.mean_cpu / self.mean_work)
    }
}

/// What decides when a job would start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Forecast {
    /// The room that jobs ahead of it need at this scheduler, in thousandths of a core.
    pub own: u64,
    /// The room that jobs ahead of it need at peers.
    pub peers: u64,
    /// The room that the job itself needs to begin.
    pub need: u64,
    /// The room that is free now.
    pub free: u64,
    /// The room that becomes free a second.
    pub rate: f64,
}

impl Forecast {
    /// Returns how long the job waits until there is room for all that is ahead of it and for itself.
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
        Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64()))
    }
}

/// The longest wait that is forecast.
const MAX_WAIT: Duration = Duration::from_secs(60);
