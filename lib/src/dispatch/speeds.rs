//! How fast workers are, and what follows for how long a task takes at one of them.
//!
//! Load pattern: workers of several speeds under one service, each full most of the time; tasks whose expected times
//! are off by 40 % one by one; data that some workers are far from. Objectives grow with a task's work, so that a
//! slow worker is in time with short tasks and late with long ones, whatever else is done.
//!
//! Decision: each executor keeps the mean of the logarithms of how long runs took against what was expected, with
//! the newest counting most. It is told as *slowness*. Schedulers set it against the slowness of a worker of mean
//! speed: what is wrong with the expected times of a queue is the same at all workers, and cancels out.

use std::time::Duration;

use crate::dispatch::policy::Speeds;

/// A reading further from the estimate than this factor counts as being so far from it: one task that takes many
/// times as long as its like says little of the worker.
const FARTHEST: f64 = 2.5;
/// A run of which less than this share is left to be read adds nothing.
const LEAST_WEIGHT: f64 = 0.02;
/// A worker is told of once its estimate rests on so many runs.
const LEAST_RUNS: f64 = 2.0;
/// After a change the new estimate rests on so many runs at most, so that the next ones correct it.
const CHANGED_RUNS: f64 = 8.0;

/// The evidence that readings lie to one side of the estimate for good: a cumulative sum, and what it was made of.
#[derive(Clone, Copy, Debug, Default)]
struct Drift {
    sum: f64,
    weight: f64,
    total: f64,
}

impl Drift {
    /// Adds a reading that is `beyond` the least change that counts, which may be negative.
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

/// How slow a worker is, over many runs.
#[derive(Clone, Debug)]
pub struct SpeedEstimate {
    policy: Speeds,
    /// The logarithm of the slowness.
    mean: f64,
    /// On how many runs it rests.
    runs: f64,
    slower: Drift,
    faster: Drift,
}

impl SpeedEstimate {
    /// Nothing is known of the worker.
    pub fn new(policy: Speeds) -> SpeedEstimate {
        SpeedEstimate {
            policy,
            mean: 0.0,
            runs: 0.0,
            slower: Drift::default(),
            faster: Drift::default(),
        }
    }

    /// The worker begins another life. What it was before counts as a few runs, so that a machine that came back
    /// different is soon seen as it is.
    pub fn begin_life(&mut self) {
        self.runs = self.runs.min(f64::from(self.policy.prior_runs));
        self.slower = Drift::default();
        self.faster = Drift::default();
    }

    /// Takes note that a part of a run, or several parts, took `ratio` times the expected time. `weight` is the part's share of
    /// the run. Returns whether the worker's speed has changed for good.
    pub fn add_sample(&mut self, ratio: f64, weight: f64) -> bool {
        if ratio <= 0.0 || !ratio.is_finite() || weight < LEAST_WEIGHT {
            return false;
        }
        let bound = FARTHEST.ln();
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
        self.settle_change()
    }

    /// Takes the estimate up anew from the readings that show a change, if they prove one.
    fn settle_change(&mut self) -> bool {
        let proof = self.policy.proof;
        let drifts = [self.slower, self.faster];
        let Some(drift) = drifts.into_iter().find(|d| d.sum > proof) else {
            return false;
        };
        self.mean = drift.mean();
        self.runs = drift.weight.min(CHANGED_RUNS);
        self.slower = Drift::default();
        self.faster = Drift::default();
        true
    }

    /// How long tasks take against their expected times, in percent; 0 if not known.
    pub fn percent(&self) -> u32 {
        if self.runs < LEAST_RUNS {
            return 0;
        }
        (self.mean.exp() * 100.0).round().max(1.0) as u32
    }
}

/// The slowness of the workers that a scheduler has reports of, as reports come and go.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetSpeeds {
    /// The sum of their speeds, in thousandths: whole numbers, so that what is taken out is what was put in.
    sum: u64,
    count: u64,
}

impl FleetSpeeds {
    fn speed(percent: u32) -> u64 {
        100_000 / u64::from(percent)
    }

    /// Counts a worker in; one of which nothing is known, at 0, adds nothing.
    pub fn add(&mut self, percent: u32) {
        if percent > 0 {
            self.sum += FleetSpeeds::speed(percent);
            self.count += 1;
        }
    }

    /// Takes a worker out again.
    pub fn remove(&mut self, percent: u32) {
        if percent > 0 {
            self.sum = self.sum.saturating_sub(FleetSpeeds::speed(percent));
            self.count = self.count.saturating_sub(1);
        }
    }

    /// How many times as long a worker takes as one of mean speed; 1 if that is not known.
    pub fn relative(&self, percent: u32) -> f64 {
        if percent == 0 || self.sum == 0 {
            return 1.0;
        }
        let mean = self.sum as f64 / 1000.0 / self.count as f64;
        f64::from(percent) / 100.0 * mean
    }
}

/// What is known of the times of a queue's tasks against their estimates, after one more that took `ratio` times its
/// estimate and counts with this weight. A mean of logarithms: estimates that are too low by some factor and too high
/// by the same one cancel out, and a task that takes many times as long as its like counts little.
pub fn update_ratio(learned: f64, ratio: f64, weight: f64) -> f64 {
    if ratio <= 0.0 || !ratio.is_finite() {
        return learned;
    }
    let bound = FARTHEST.ln();
    let off = (ratio / learned).ln().clamp(-bound, bound);
    learned * (off * weight).exp()
}

/// A task that is to be placed, as far as its time goes.
#[derive(Clone, Copy, Debug)]
pub struct TaskTiming {
    /// How long it is expected to run at a worker of mean speed, near its data.
    pub expected: Duration,
    /// How much its objective grows with its work.
    pub stretch: f64,
    /// How long it is until the task has to end, by what is expected.
    pub left: Duration,
}

impl TaskTiming {
    /// How long the task takes where tasks take `factor` times as long.
    pub fn run_time(&self, factor: f64) -> Duration {
        self.expected.mul_f64(factor)
    }

    /// Whether the task ends in time where tasks take `factor` times as long, also if it takes `error` longer than expected.
    /// Its objective grows with its work, so only the time by which it falls behind that growth is at risk.
    pub fn is_in_time(&self, factor: f64, error: f64) -> bool {
        let behind = self.expected.mul_f64((factor - self.stretch).max(0.0));
        self.run_time(factor) + behind.mul_f64(error) <= self.left
    }
}

/// The slowness that a worker is used to, in percent, by the reports of it over time.
#[derive(Clone, Copy, Debug, Default)]
pub struct TypicalSlowness {
    percent: f64,
}

impl TypicalSlowness {
    /// Takes note of a report that came `gap` after the one before.
    pub fn note(&mut self, percent: u32, gap: Duration, policy: &Speeds) {
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

    /// Whether a worker at this slowness is far slower than it is used to be. One that was is so until it is back nearly.
    pub fn is_degraded(&self, percent: u32, was: bool, policy: &Speeds) -> bool {
        let bound = self.percent * policy.sick_ratio;
        let bound = if was { bound * WELL_SHARE } else { bound };
        self.percent > 0.0 && f64::from(percent) > bound
    }
}

/// A sick worker is well again below this share of what made it sick, so that one at the edge does not go to and fro.
const WELL_SHARE: f64 = 0.8;

#[cfg(test)]
mod tests;
