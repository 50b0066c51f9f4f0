//! Compares a worker with its peers, and decides which workers get trial tasks only.
//!
//! The measure is the working time per finished task, in units of the expected duration of such a task.
//! Running tasks count with their age so far: for a worker that answers nothing the time grows and the count
//! does not, so a stall is detected as soon as slowness is. Time and count decay with a half-life, and a few
//! tasks at the mean of the peers are added, so that a worker with few tasks is not judged by a single long
//! one.

use std::time::Duration;

use crate::clock::Mono;

/// The half-life of the statistics.
const HALF_LIFE: Duration = Duration::from_millis(2_000);
/// The number of tasks at the mean of the peers that are added to a worker's own.
const PRIOR_TASKS: f64 = 4.0;
/// A worker that is slower than its peers by more than this factor is unhealthy.
const UNHEALTHY_RATIO: f64 = 2.6;
/// A worker recovers after a series of trials that was slower than its peers by at most this factor.
const RECOVERED_RATIO: f64 = 1.5;
/// A worker with a larger share of failures than this, and more than twice that of its peers, is unhealthy.
const UNHEALTHY_FAILURES: f64 = 0.4;
/// The number of trials in a series. They are judged together, since a single short task says little.
const SERIES_TRIALS: u32 = 5;
/// The pause before the first series of trials. It doubles after each failed series.
const INITIAL_PAUSE: Duration = Duration::from_millis(1_000);
/// The maximum pause before a series of trials.
const MAX_PAUSE: Duration = Duration::from_secs(8);
/// The maximum share of the workers of a fleet that are unhealthy at a time.
pub const MAX_UNHEALTHY_SHARE: f64 = 0.34;

/// The performance of one worker.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// When the statistics were decayed last.
    decayed_at: Mono,
    /// The durations of finished tasks, in expected durations; decays.
    time: f64,
    /// The number of finished tasks, including failed ones; decays.
    finished: f64,
    /// The number of failed tasks; decays.
    failed: f64,
    /// The sum of the scales of running tasks.
    running: f64,
    /// The sum of the start times of running tasks, in seconds, each multiplied by the scale of the task.
    start_sum: f64,
    /// Present while the worker is unhealthy.
    trials: Option<Trials>,
}

/// The trials of an unhealthy worker.
#[derive(Clone, Copy, Debug)]
struct Trials {
    /// The time from which the next trial may be sent.
    next: Mono,
    /// The pause before this series.
    pause: Duration,
    /// Whether a trial is running.
    running: bool,
    /// The number of trials of this series that have ended.
    count: u32,
    /// Their durations, in expected durations.
    time: f64,
    /// Whether a series has succeeded.
    recovered: bool,
}

/// The mean performance of a worker's peers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerMean {
    /// The working time per finished task, in expected durations.
    pub mean: f64,
    /// The share of tasks that failed.
    pub failures: f64,
}

impl Health {
    /// Records that a task was sent to the worker. `scale` is 1 over the expected duration of such a task in
    /// seconds.
    pub fn record_start(&mut self, now: Mono, scale: f64) {
        self.decay(now);
        self.running += scale;
        self.start_sum += scale * seconds(now);
        if let Some(trials) = &mut self.trials {
            trials.running = true;
        }
    }

    /// Records that a task was not run or is no longer tracked, and removes it from the statistics.
    pub fn record_cancel(&mut self, now: Mono, began: Mono, scale: f64) {
        self.decay(now);
        self.drop_running(began, scale);
        if let Some(trials) = &mut self.trials {
            trials.running = false;
        }
    }

    /// Records that a task has ended. Trials are compared with `peers`; without it only failures count
    /// against them.
    pub fn record_end(
        &mut self,
        now: Mono,
        began: Mono,
        scale: f64,
        failed: bool,
        peers: Option<PeerMean>,
    ) {
        self.decay(now);
        self.drop_running(began, scale);
        let took = now.since(began).as_secs_f64() * scale;
        self.time += took;
        self.finished += 1.0;
        if failed {
            self.failed += 1.0;
        }
        let Some(trials) = &mut self.trials else {
            return;
        };
        trials.running = false;
        trials.count += 1;
        trials.time += took;
        trials.next = now;
        let mean = trials.time / f64::from(trials.count);
        let is_slower = |ratio: f64| peers.is_some_and(|p| mean > p.mean * ratio);
        let is_complete = trials.count >= SERIES_TRIALS;
        if failed || is_slower(UNHEALTHY_RATIO) || (is_complete && is_slower(RECOVERED_RATIO)) {
            trials.count = 0;
            trials.time = 0.0;
            trials.pause = (trials.pause * 2).min(MAX_PAUSE);
            trials.next = now + trials.pause;
        } else if is_complete {
            trials.recovered = true;
        }
    }

    /// Returns whether a task may be sent to the worker as far as its health is concerned. An unhealthy
    /// worker accepts one trial at a time, and none during a pause.
    pub fn accepts_tasks(&self, now: Mono) -> bool {
        self.trials.is_none_or(|t| !t.running && now >= t.next)
    }

    /// Returns whether the worker is unhealthy and gets trial tasks only.
    pub fn is_unhealthy(&self) -> bool {
        self.trials.is_some()
    }

    /// Returns the working time including that of running tasks, the number of finished tasks and the number
    /// of failed tasks, from which the mean of the peers is computed.
    pub fn totals(&self, now: Mono) -> (f64, f64, f64) {
        let decay = self.decay_factor(now);
        let time = self.time * decay + self.running_time(now);
        (time, self.finished * decay, self.failed * decay)
    }

    /// Checks whether the worker has become unhealthy or has recovered. Returns the new state if it changed:
    /// true if unhealthy. A worker can become unhealthy only if `may_become_unhealthy`.
    pub fn update_state(
        &mut self,
        now: Mono,
        peers: PeerMean,
        may_become_unhealthy: bool,
    ) -> Option<bool> {
        if let Some(trials) = self.trials {
            if !trials.recovered {
                return None;
            }
            self.trials = None;
            self.time = 0.0;
            self.finished = 0.0;
            self.failed = 0.0;
            return Some(false);
        }
        if !may_become_unhealthy || !self.is_outlier(now, peers) {
            return None;
        }
        self.trials = Some(Trials {
            next: now + INITIAL_PAUSE,
            pause: INITIAL_PAUSE,
            running: false,
            count: 0,
            time: 0.0,
            recovered: false,
        });
        Some(true)
    }

    fn is_outlier(&self, now: Mono, peers: PeerMean) -> bool {
        let (time, finished, failed) = self.totals(now);
        let mean = (time + PRIOR_TASKS * peers.mean) / (finished + PRIOR_TASKS);
        let slow = mean > peers.mean * UNHEALTHY_RATIO;
        let share = failed / (finished + 2.0);
        let failing = share > UNHEALTHY_FAILURES && share > 2.0 * peers.failures;
        slow || failing
    }

    fn drop_running(&mut self, began: Mono, scale: f64) {
        self.running = (self.running - scale).max(0.0);
        self.start_sum -= scale * seconds(began);
    }

    /// Returns the sum of the ages of running tasks, in expected durations.
    fn running_time(&self, now: Mono) -> f64 {
        (self.running * seconds(now) - self.start_sum).max(0.0)
    }

    /// Returns the factor by which the statistics decay until `now`.
    fn decay_factor(&self, now: Mono) -> f64 {
        let half_lives = now.since(self.decayed_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        0.5_f64.powf(half_lives)
    }

    fn decay(&mut self, now: Mono) {
        let factor = self.decay_factor(now);
        self.time *= factor;
        self.finished *= factor;
        self.failed *= factor;
        self.decayed_at = now;
    }
}

fn seconds(at: Mono) -> f64 {
    at.0 as f64 / 1e6
}

#[cfg(test)]
mod tests;
