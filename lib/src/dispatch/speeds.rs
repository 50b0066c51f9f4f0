//! The speeds of workers, learned from the durations of their runs, and how long a task takes at each worker.
//!
//! Load pattern: workers of several speeds under one service, each full most of the time; tasks whose
//! expected times are each off by 40 %; data that is far from some workers. Objectives grow with a task's
//! work, so a slow worker is in time with short tasks and late with long ones in any case.
//!
//! Decision: each executor keeps the mean logarithm of the ratio of actual to expected run times, in which
//! the newest runs weigh most, and reports it as the worker's *slowness*. Schedulers compare it with the
//! slowness of a worker of mean speed: a systematic error in the expected times of a queue is the same at all
//! workers, and cancels out.

use std::time::Duration;

use crate::dispatch::policy::Speeds;

/// The largest factor by which a sample may differ from the estimate. Larger differences are clamped to it,
/// since one task that takes many times as long as similar ones says little about the worker.
const MAX_DEVIATION: f64 = 2.5;
/// Samples of a smaller share of a run than this are ignored.
const MIN_WEIGHT: f64 = 0.02;
/// The number of runs from which on an estimate is reported.
const MIN_RUNS: f64 = 2.0;
/// The maximum number of runs that a new estimate counts as after a change, so that the next runs correct it.
const MAX_CHANGED_RUNS: f64 = 8.0;

/// The evidence that samples lie to one side of the estimate permanently: a cumulative sum (CUSUM), and the
/// samples since it was last zero.
#[derive(Clone, Copy, Debug, Default)]
struct Drift {
    sum: f64,
    /// The sum of the weights of those samples.
    weight: f64,
    /// The weighted sum of their values.
    total: f64,
}

impl Drift {
    /// Adds a sample. `beyond` is its difference beyond the smallest change that counts, and may be negative.
    fn add(&mut self, beyond: f64, value: f64, weight: f64) {
        self.sum += beyond * weight;
        if self.sum <= 0.0 {
            *self = Drift::default();
            return;
        }
        self.weight += weight;
        self.total += value * weight;
    }

    fn mean(&self) -> f64 {
        self.total / self.weight
    }
}

/// The estimated slowness of a worker over many runs.
#[derive(Clone, Debug)]
pub struct SpeedEstimate {
    policy: Speeds,
    /// The logarithm of the slowness.
    mean: f64,
    /// The number of runs that the estimate rests on.
    runs: f64,
    slower: Drift,
    faster: Drift,
}

impl SpeedEstimate {
    /// Creates an estimate of a worker that nothing is known about.
    pub fn new(policy: Speeds) -> SpeedEstimate {
        SpeedEstimate {
            policy,
            mean: 0.0,
            runs: 0.0,
            slower: Drift::default(),
            faster: Drift::default(),
        }
    }

    /// Starts a new incarnation of the worker. The earlier estimate counts as a few runs only, so that a
    /// machine whose speed has changed is soon recognized.
    pub fn begin_incarnation(&mut self) {
        self.runs = self.runs.min(f64::from(self.policy.prior_runs));
        self.slower = Drift::default();
        self.faster = Drift::default();
    }

    /// Records that a part of a run took `ratio` times the expected time. `weight` is the part's share of the
    /// run. Returns whether the worker's speed has changed permanently.
    pub fn add_sample(&mut self, ratio: f64, weight: f64) -> bool {
        if ratio <= 0.0 || !ratio.is_finite() || weight < MIN_WEIGHT {
            return false;
        }
        let bound = MAX_DEVIATION.ln();
        let off = match self.runs > 0.0 {
            true => (ratio.ln() - self.mean).clamp(-bound, bound),
            false => ratio.ln(),
        };
        let value = self.mean + off;
        let most = f64::from(self.policy.readings);
        self.runs = (self.runs + weight).min(most);
        let least = self.policy.change.ln();
        self.slower.add(off - least, value, weight);
        self.faster.add(-off - least, value, weight);
        self.mean += off * (weight / self.runs).min(1.0);
        self.detect_change()
    }

    /// Restarts the estimate from the samples that indicate a change, if they prove one. Returns whether they
    /// do.
    fn detect_change(&mut self) -> bool {
        let proof = self.policy.proof;
        let drifts = [self.slower, self.faster];
        let Some(drift) = drifts.into_iter().find(|d| d.sum > proof) else {
            return false;
        };
        self.mean = drift.mean();
        self.runs = drift.weight.min(MAX_CHANGED_RUNS);
        self.slower = Drift::default();
        self.faster = Drift::default();
        true
    }

    /// Returns how long tasks take in percent of their expected times; 0 if not known.
    pub fn percent(&self) -> u32 {
        if self.runs < MIN_RUNS {
            return 0;
        }
        (self.mean.exp() * 100.0).round().max(1.0) as u32
    }
}

/// The mean speed of the workers that a scheduler has reports of.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetSpeeds {
    /// The sum of their speeds, in thousandths. It is an integer, so that removing a worker subtracts exactly
    /// what was added.
    sum: u64,
    count: u64,
}

impl FleetSpeeds {
    fn speed(percent: u32) -> u64 {
        100_000 / u64::from(percent)
    }

    /// Adds a worker by its slowness. A worker of unknown slowness, 0, adds nothing.
    pub fn add(&mut self, percent: u32) {
        if percent > 0 {
            self.sum += FleetSpeeds::speed(percent);
            self.count += 1;
        }
    }

    /// Removes a worker that was added with the same slowness.
    pub fn remove(&mut self, percent: u32) {
        if percent > 0 {
            self.sum = self.sum.saturating_sub(FleetSpeeds::speed(percent));
            self.count = self.count.saturating_sub(1);
        }
    }

    /// Returns how many times as long a worker takes as one of mean speed; 1 if that is not known.
    pub fn relative(&self, percent: u32) -> f64 {
        if percent == 0 || self.sum == 0 {
            return 1.0;
        }
        let mean = self.sum as f64 / 1000.0 / self.count as f64;
        f64::from(percent) / 100.0 * mean
    }
}

/// Returns the learned ratio of actual to estimated times of a queue's tasks after one more task, which took
/// `ratio` times its estimate and counts with `weight`. The ratio is a mean of logarithms: estimates that are
/// too low and too high by the same factor cancel out, and a task that takes many times as long as similar
/// ones counts little.
pub fn update_ratio(learned: f64, ratio: f64, weight: f64) -> f64 {
    if ratio <= 0.0 || !ratio.is_finite() {
        return learned;
    }
    let bound = MAX_DEVIATION.ln();
    let off = (ratio / learned).ln().clamp(-bound, bound);
    learned * (off * weight).exp()
}

/// The time requirements of a task that is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct TaskTiming {
    /// How long the task is expected to run at a worker of mean speed near its data.
    pub expected: Duration,
    /// The queue's `extension`: the factor by which its objective grows with its expected duration.
    pub extension: f64,
    /// The time left until the task has to end.
    pub left: Duration,
}

impl TaskTiming {
    /// Returns how long the task takes at a worker where tasks take `factor` times as long.
    pub fn run_time(&self, factor: f64) -> Duration {
        self.expected.mul_f64(factor)
    }

    /// Returns whether the task ends in time at a worker where tasks take `factor` times as long, even if its
    /// expected time is too low by the share `error`. Its objective grows with its work, so that the error
    /// only matters for the time by which the task falls behind that growth.
    pub fn is_in_time(&self, factor: f64, error: f64) -> bool {
        let behind = self.expected.mul_f64((factor - self.extension).max(0.0));
        self.run_time(factor) + behind.mul_f64(error) <= self.left
    }
}

/// The slowness that is typical of a worker, in percent: a moving average of its reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct TypicalSlowness {
    percent: f64,
}

impl TypicalSlowness {
    /// Records a report that arrived `gap` after the previous one.
    pub fn record(&mut self, percent: u32, gap: Duration, policy: &Speeds) {
        let now = f64::from(percent);
        if percent == 0 {
            return;
        }
        if self.percent == 0.0 {
            self.percent = now;
            return;
        }
        let share = gap.as_secs_f64() / policy.usual.as_secs_f64();
        self.percent += (now - self.percent) * share.min(1.0);
    }

    /// Returns whether a worker of this slowness is far slower than it usually is. `was_degraded` says
    /// whether it was so before: it then remains so until it has nearly recovered.
    pub fn is_degraded(&self, percent: u32, was_degraded: bool, policy: &Speeds) -> bool {
        let bound = self.percent * policy.sick_ratio;
        let bound = if was_degraded {
            bound * RECOVERY_SHARE
        } else {
            bound
        };
        self.percent > 0.0 && f64::from(percent) > bound
    }
}

/// A degraded worker has recovered once it is below this share of the threshold at which it became degraded.
/// The gap keeps a worker near the threshold from alternating between the two.
const RECOVERY_SHARE: f64 = 0.8;

#[cfg(test)]
mod tests;
