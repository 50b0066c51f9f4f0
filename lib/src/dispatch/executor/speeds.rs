//! The worker's speed, read from the progress and the ends of its runs.

use super::Executor;
use super::runs::Run;
use crate::dispatch::model::TaskName;
use crate::event::Kind;
use crate::prelude::*;

impl Run {
    /// The share of the run that a reading at this time is the first of, by its expected time. All shares of a run
    /// make one, so that a long run counts no more than a short one.
    fn take_share(&mut self, now: Mono) -> f64 {
        let ran = now.since(self.started_at).as_secs_f64();
        let share = (ran / self.estimate.as_secs_f64()).min(1.0) - self.sampled_share;
        self.sampled_share += share;
        share
    }
}

impl Executor {
    /// A run takes `ratio` times its expected time, by its progress.
    pub(super) fn sample_progress(&mut self, now: Mono, task: TaskName, ratio: f64) {
        if let Some(run) = self.timed_run(task) {
            let share = run.take_share(now);
            self.update_speed(ratio, share);
        }
    }

    /// A run has ended whole.
    pub(super) fn sample_finished_run(&mut self, now: Mono, task: TaskName) {
        if let Some(run) = self.timed_run(task)
            && let Some(ratio) = run.time_ratio(now)
        {
            let share = 1.0 - run.sampled_share;
            self.update_speed(ratio, share);
        }
    }

    /// A run whose time can be set against an expected one. One that goes on where an earlier one left off has less
    /// to do than is expected.
    fn timed_run(&mut self, task: TaskName) -> Option<&mut Run> {
        if !self.setup.policy.speeds.on {
            return None;
        }
        let run = self.runs.get_mut(&task)?;
        (run.is_fresh() && !run.estimate.is_zero()).then_some(run)
    }

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

    /// How long tasks take at the worker against their expected times, in percent; 0 if not known.
    pub fn slowness_percent(&self) -> u32 {
        self.speed.percent()
    }
}
