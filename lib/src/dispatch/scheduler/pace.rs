//! Slow workers: which ones are, how often they are tried, and runs that are moved off them.

use std::collections::BTreeMap;

use super::Scheduler;
use super::executor_view::ExecutorView;
use super::fleet::ExecutorKey;
use super::jobs::Job;
use super::jobs::TaskState;
use crate::dispatch::model::Demand;
use crate::dispatch::model::TaskName;
use crate::event::Kind;
use crate::prelude::*;
use crate::protos::dispatch as proto;

/// A worker is well again once its pace is below this share of what made it slow, so that one at
/// the edge does not go to and fro.
const WELL_SHARE: f64 = 0.8;
/// With fewer workers of known pace there is nothing to compare with.
const LEAST_PACES: usize = 3;

/// The paces of the linked executors that report one, counted as reports come in. Sorting all of them for each
/// report would be half a million values a second beside 240 executors that report ten times a second.
#[derive(Clone, Debug, Default)]
pub(super) struct Paces {
    counts: BTreeMap<u32, usize>,
    total: usize,
}

impl Paces {
    /// Counts a pace in, in percent; 0 is none.
    pub fn add(&mut self, percent: u32) {
        if percent > 0 {
            *self.counts.entry(percent).or_default() += 1;
            self.total += 1;
        }
    }

    /// Takes a pace out again.
    pub fn remove(&mut self, percent: u32) {
        if let Some(count) = self.counts.get_mut(&percent) {
            *count -= 1;
            self.total -= 1;
            if *count == 0 {
                self.counts.remove(&percent);
            }
        }
    }

    /// The middle one, in percent; 0 if there are too few.
    fn median(&self) -> f64 {
        if self.total < LEAST_PACES {
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
    /// Judges whether an executor that has just reported takes much longer than the others.
    pub(super) fn judge_pace(&mut self, key: ExecutorKey) {
        if self.judge_usual(key) {
            return;
        }
        let median = self.paces.median();
        let bound = self.setup.policy.health.slow_ratio * median;
        let executor = &mut self.executors[key];
        let pace = f64::from(executor.report.pace_percent);
        let slow = match executor.slow {
            true => median > 0.0 && pace > bound * WELL_SHARE,
            false => median > 0.0 && pace > bound,
        };
        if slow == executor.slow {
            return;
        }
        executor.slow = slow;
        let kind = if slow {
            Kind::WorkerSick
        } else {
            Kind::WorkerWell
        };
        let name = &executor.name;
        let detail = format!("{name}: pace {pace} % of the estimates, the others {median} %");
        self.log(kind, detail);
    }

    /// How long after a task on trial this scheduler sends a slow worker another one. All schedulers
    /// that place tasks there try it.
    pub(super) fn trial_gap(&self, executor: &ExecutorView) -> Duration {
        let others = executor.profile.leased.iter();
        let others = others.filter(|name| **name != self.setup.name).count();
        self.setup.policy.health.slow_trial * (others as u32 + 1)
    }

    /// A run goes slowly. It is stopped, to run elsewhere, if it would be late here and in time
    /// there, and there is room.
    pub(super) fn move_slow(&mut self, key: ExecutorKey, run: &proto::SlowRun) {
        let policy = self.setup.policy.health;
        let Some(task) = &run.task else {
            return;
        };
        let (name, attempt) = TaskName::from_proto(task);
        let Some(job) = self.jobs.get(&name.job) else {
            return;
        };
        let here = self.now + Duration::from_millis(u64::from(run.remaining_ms));
        let there = self.now + policy.move_time + job.chain[name.step as usize];
        let gains = here > job.objective_at && there <= job.objective_at;
        let slow = self.executors[key].slow;
        if !policy.move_slow || !slow || !gains || !self.has_room_elsewhere(job, key, name.step) {
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

    /// Whether a task of a step fits at a worker that is well.
    fn has_room_elsewhere(&self, job: &Job, key: ExecutorKey, step: u32) -> bool {
        let demand: Demand = job.request.steps[step as usize].demand;
        let fits = |k: &ExecutorKey| {
            let e = &self.executors[*k];
            let well = !e.slow && !e.report.suspect;
            *k != key && well && e.accepts_tasks(self.now, &job.service) && e.free.holds(demand)
        };
        self.cell.executors.iter().any(fits)
    }
}
