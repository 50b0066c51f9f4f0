//! Health: how a worker does against its peers, and who gets trial tasks only.
//!
//! The measure is time at work for each task finished, in units of the time expected of such a
//! task, with tasks still running counted by their age so far. For a worker that answers nothing the time grows and the count does not, so a
//! stall shows as soon as slowness does. Both fade with a half-life, and a few tasks at the
//! peers' mean are added, so that a worker with little work is not judged by one long task.

use std::time::Duration;

use crate::clock::Mono;

/// How fast the past fades.
const HALF_LIFE: Duration = Duration::from_millis(2_000);
/// How many tasks at the peers' mean are added to a worker's own.
const PRIOR_TASKS: f64 = 4.0;
/// A worker this much slower than its peers is sick.
const SICK_RATIO: f64 = 2.6;
/// Trials whose mean is below this ratio to the peers' make a worker well.
const WELL_RATIO: f64 = 1.5;
/// A worker with this share of failures, and this much above its peers', is sick.
const SICK_FAILURES: f64 = 0.4;
/// So many trials are judged together: one short task says little.
const TRIALS: u32 = 5;
/// The first pause before trials; it doubles after each bad series.
const FIRST_PAUSE: Duration = Duration::from_millis(1_000);
/// The longest pause between trials.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);
/// At most this share of the permitted workers is sick at a time.
pub const MAX_UNHEALTHY_SHARE: f64 = 0.34;

/// How one worker does.
#[derive(Clone, Debug, Default)]
pub struct Health {
    faded: Mono,
    time: f64,
    done: f64,
    failed: f64,
    running: f64,
    begun: f64,
    sick: Option<Sick>,
}

#[derive(Clone, Copy, Debug)]
struct Sick {
    next: Mono,
    pause: Duration,
    trial: bool,
    /// Trials of this series, and their time.
    count: u32,
    time: f64,
    well: bool,
}

/// The mean of a worker's peers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerMean {
    /// Time at work for each task finished, in expected times.
    pub mean: f64,
    /// The share of failures.
    pub failures: f64,
}

impl Health {
    /// A task was sent to it. `scale` is 1 over the expected time of such a task, in seconds.
    pub fn record_start(&mut self, now: Mono, scale: f64) {
        self.fade(now);
        self.running += scale;
        self.begun += scale * seconds(now);
        if let Some(sick) = &mut self.sick {
            sick.trial = true;
        }
    }

    /// A task came back unstarted: it says nothing about the worker.
    pub fn record_cancel(&mut self, now: Mono, began: Mono, scale: f64) {
        self.fade(now);
        self.drop_running(began, scale);
        if let Some(sick) = &mut self.sick {
            sick.trial = false;
        }
    }

    /// A task has ended. `peers` judges trials.
    pub fn record_end(
        &mut self,
        now: Mono,
        began: Mono,
        scale: f64,
        failed: bool,
        peers: Option<PeerMean>,
    ) {
        self.fade(now);
        self.drop_running(began, scale);
        let took = now.since(began).as_secs_f64() * scale;
        self.time += took;
        self.done += 1.0;
        if failed {
            self.failed += 1.0;
        }
        let Some(sick) = &mut self.sick else {
            return;
        };
        sick.trial = false;
        sick.count += 1;
        sick.time += took;
        sick.next = now;
        let mean = sick.time / f64::from(sick.count);
        let over = |ratio: f64| peers.is_some_and(|p| mean > p.mean * ratio);
        let whole = sick.count >= TRIALS;
        if failed || over(SICK_RATIO) || (whole && over(WELL_RATIO)) {
            sick.count = 0;
            sick.time = 0.0;
            sick.pause = (sick.pause * 2).min(LONGEST_PAUSE);
            sick.next = now + sick.pause;
        } else if whole {
            sick.well = true;
        }
    }

    /// Whether a task may be sent to it as far as its health goes.
    pub fn accepts_tasks(&self, now: Mono) -> bool {
        self.sick.is_none_or(|s| !s.trial && now >= s.next)
    }

    /// Whether it gets trial tasks only.
    pub fn is_unhealthy(&self) -> bool {
        self.sick.is_some()
    }

    /// Time at work and tasks finished, for the mean of the peers.
    pub fn totals(&self, now: Mono) -> (f64, f64, f64) {
        let fade = self.fading(now);
        let time = self.time * fade + self.running_time(now);
        (time, self.done * fade, self.failed * fade)
    }

    /// Looks whether the worker has become sick or well. Returns the new state if it changed.
    pub fn update_state(&mut self, now: Mono, peers: PeerMean, may_sicken: bool) -> Option<bool> {
        if let Some(sick) = self.sick {
            if !sick.well {
                return None;
            }
            self.sick = None;
            self.time = 0.0;
            self.done = 0.0;
            self.failed = 0.0;
            return Some(false);
        }
        if !may_sicken || !self.is_outlier(now, peers) {
            return None;
        }
        self.sick = Some(Sick {
            next: now + FIRST_PAUSE,
            pause: FIRST_PAUSE,
            trial: false,
            count: 0,
            time: 0.0,
            well: false,
        });
        Some(true)
    }

    fn is_outlier(&self, now: Mono, peers: PeerMean) -> bool {
        let (time, done, failed) = self.totals(now);
        let mean = (time + PRIOR_TASKS * peers.mean) / (done + PRIOR_TASKS);
        let slow = mean > peers.mean * SICK_RATIO;
        let share = failed / (done + 2.0);
        let failing = share > SICK_FAILURES && share > 2.0 * peers.failures;
        slow || failing
    }

    fn drop_running(&mut self, began: Mono, scale: f64) {
        self.running = (self.running - scale).max(0.0);
        self.begun -= scale * seconds(began);
    }

    fn running_time(&self, now: Mono) -> f64 {
        (self.running * seconds(now) - self.begun).max(0.0)
    }

    fn fading(&self, now: Mono) -> f64 {
        let halves = now.since(self.faded).as_secs_f64() / HALF_LIFE.as_secs_f64();
        0.5_f64.powf(halves)
    }

    fn fade(&mut self, now: Mono) {
        let factor = self.fading(now);
        self.time *= factor;
        self.done *= factor;
        self.failed *= factor;
        self.faded = now;
    }
}

fn seconds(at: Mono) -> f64 {
    at.0 as f64 / 1e6
}

#[cfg(test)]
mod tests;
