//! Slow workers: compares the pace of each worker with the median of all, limits slow ones to trial tasks,
//! and moves runs off them that would end late.

use std::collections::BTreeMap;

use super::Scheduler;
use super::executor_view::ExecutorView;
use super::executors::ExecutorKey;
use super::jobs::Job;
use super::jobs::TaskState;
use crate::dispatch::model::Demand;
use crate::dispatch::model::TaskName;
use crate::event::Kind;
use crate::prelude::*;
use crate::protos::dispatch as proto;

/// A slow worker has recovered once its pace is below this share of the bound that made it slow, so that one
/// near the bound does not alternate between the two states.
const RECOVERED_SHARE: f64 = 0.8;
/// The least number of workers of known pace for which a median is meaningful.
const MIN_PACES: usize = 3;

/// A histogram of the paces of the linked executors that report one, updated with each report. Sorting all of
/// them for each report would handle half a million values a second with 240 executors that report ten times
/// a second.
#[derive(Clone, Debug, Default)]
pub(super) struct Paces {
    counts: BTreeMap<u32, usize>,
    total: usize,
}

impl Paces {
    /// Adds a pace, in percent; 0 means unknown and is ignored.
    pub fn add(&mut self, percent: u32) {
        if percent > 0 {
            *self.counts.entry(percent).or_default() += 1;
            self.total += 1;
        }
    }

    /// Removes a pace.
    pub fn remove(&mut self, percent: u32) {
        if let Some(count) = self.counts.get_mut(&percent) {
            *count -= 1;
            self.total -= 1;
            if *count == 0 {
                self.counts.remove(&percent);
            }
        }
    }

    /// Returns the median in percent, or 0 if too few paces are known.
    fn median(&self) -> f64 {
        if self.total < MIN_PACES {
            return 0.0;
        }
        let mut below = 0;
        let mut counts = self.counts.iter();
        let middle = counts.find(|(_, count)| {
            below += **count;
            below > self.total / 2
        });
        middle.map_or(0.0, |(percent, _)| f64::from(*percent))
    }
}

impl Scheduler {
    /// Updates whether an executor that has just reported is slow: by its own usual slowness if that is
    /// known, else by the paces of the others.
    pub(super) fn update_slow_state(&mut self, key: ExecutorKey) {
        if self.update_degraded_state(key) {
            return;
        }
        let median = self.paces.median();
        let bound = self.setup.policy.health.slow_ratio * median;
        let executor = &mut self.executors[key];
        let pace = f64::from(executor.report.pace_percent);
        let slow = match executor.slow {
            true => median > 0.0 && pace > bound * RECOVERED_SHARE,
            false => median > 0.0 && pace > bound,
        };
        if slow == executor.slow {
            return;
        }
        executor.slow = slow;
        let kind = if slow {
            Kind::WorkerUnhealthy
        } else {
            Kind::WorkerRecovered
        };
        let name = &executor.name;
        let detail = format!("{name}: pace {pace} % of the estimates, median {median} %");
        self.log(kind, detail);
    }

    /// Returns how long this scheduler waits between trial tasks at a slow worker. The interval grows with
    /// the number of schedulers that place tasks there, since each of them sends trials.
    pub(super) fn trial_gap(&self, executor: &ExecutorView) -> Duration {
        let others = executor.profile.leased.iter();
        let others = others.filter(|name| **name != self.setup.name).count();
        self.setup.policy.health.slow_trial * (others as u32 + 1)
    }

    /// Handles the report of a slow run: stops it, so that it is placed elsewhere, if it would be late here,
    /// in time there, and another worker has the free capacity.
    pub(super) fn move_slow_run(&mut self, key: ExecutorKey, run: &proto::SlowRun) {
        let policy = self.setup.policy.health;
        let Some(task) = &run.task else {
            return;
        };
        let (name, attempt) = TaskName::from_proto(task);
        let Some(job) = self.jobs.get(&name.job) else {
            return;
        };
        let Some(path) = job.critical_path.get(name.step as usize) else {
            return;
        };
        let end_here = self.now + Duration::from_millis(u64::from(run.remaining_ms));
        let end_elsewhere = self.now + policy.move_time + *path;
        let gains = end_here > job.objective_at && end_elsewhere <= job.objective_at;
        let slow = self.executors[key].slow;
        if !policy.move_slow || !slow || !gains || !self.fits_elsewhere(job, key, name.step) {
            return;
        }
        let Some(task) = self.jobs.get_mut(&name.job).and_then(|j| j.task_mut(name)) else {
            return;
        };
        if task.moved || task.attempts != attempt || task.state != TaskState::Placed(key) {
            return;
        }
        task.moved = true;
        task.avoid = Some(key);
        let executor = &mut self.executors[key];
        executor.orders.stops.push(name.proto(attempt));
        self.pending.push(key);
        let at = &self.executors[key].name;
        let detail = format!("{name} at {at}: {} ms left", run.remaining_ms);
        self.log(Kind::TaskMoved, detail);
    }

    /// Returns whether a task of a step fits at another worker that is neither slow nor suspect.
    fn fits_elsewhere(&self, job: &Job, key: ExecutorKey, step: u32) -> bool {
        let demand: Demand = job.request.steps[step as usize].demand;
        let fits = |k: &ExecutorKey| {
            let e = &self.executors[*k];
            let healthy = !e.slow && !e.report.suspect;
            *k != key && healthy && e.accepts_tasks(self.now, &job.service) && e.free.holds(demand)
        };
        self.cell.executors.iter().any(fits)
    }
}
