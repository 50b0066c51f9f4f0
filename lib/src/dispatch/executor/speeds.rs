//! The worker's speed, estimated from the progress and the ends of its runs.
//!
//! Each sample is the ratio of a run's time to its expected time, weighted by the share of the run that it
//! covers.

use super::Executor;
use super::runs::Run;
use crate::dispatch::model::TaskName;
use crate::event::Kind;
use crate::prelude::*;

impl Run {
    /// Returns the share of the run that no earlier sample covers, relative to its expected time, and marks
    /// it as covered. The shares of a run sum to one, so that a long run counts no more than a short one.
    fn take_share(&mut self, now: Mono) -> f64 {
        let ran = now.since(self.started_at).as_secs_f64();
        let share = (ran / self.estimate.as_secs_f64()).min(1.0) - self.sampled_share;
        self.sampled_share += share;
        share
    }
}

impl Executor {
    /// Updates the speed from a run that takes `ratio` times its expected time, by its progress.
    pub(super) fn sample_progress(&mut self, now: Mono, task: TaskName, ratio: f64) {
        if let Some(run) = self.timed_run(task) {
            let share = run.take_share(now);
            self.update_speed(ratio, share);
        }
    }

    /// Updates the speed from a completed run.
    pub(super) fn sample_finished_run(&mut self, now: Mono, task: TaskName) {
        if let Some(run) = self.timed_run(task)
            && let Some(ratio) = run.time_ratio(now)
        {
            let share = 1.0 - run.sampled_share;
            self.update_speed(ratio, share);
        }
    }

    /// Returns a run whose time can be compared to its estimate. A run that resumes from a checkpoint is
    /// excluded, since it has less to do than estimated.
    fn timed_run(&mut self, task: TaskName) -> Option<&mut Run> {
        if !self.setup.policy.speeds.on {
            return None;
        }
        let run = self.runs.get_mut(&task)?;
        (run.is_fresh() && !run.estimate.is_zero()).then_some(run)
    }

    /// Adds a sample to the estimate, and logs a lasting change of speed.
    fn update_speed(&mut self, ratio: f64, share: f64) {
        let before = self.speed.percent();
        if self.speed.add_sample(ratio, share) {
            self.counts.speed_changes += 1;
            let after = self.speed.percent();
            let detail = format!(
                "{}: {before} % of the expected times before, {after} % now",
                self.worker_id()
            );
            self.log(Kind::SpeedChanged, detail);
        }
    }

    /// Returns how long tasks take at the worker in percent of their expected times; 0 if unknown.
    pub fn slowness_percent(&self) -> u32 {
        self.speed.percent()
    }
}
