//! Slow workers: which ones are, how often they are tried, and runs that are moved off them.

use super::Scheduler;
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

impl Scheduler {
    /// The middle of the paces of the executors that report one, in percent; 0 if too few do.
    fn median_pace(&self) -> f64 {
        let linked = self.executors.values().filter(|e| e.link.is_some());
        let paces = linked.map(|e| e.report.pace_percent).filter(|p| *p > 0);
        let mut paces: Vec<u32> = paces.collect();
        if paces.len() < LEAST_PACES {
            return 0.0;
        }
        paces.sort_unstable();
        f64::from(paces[paces.len() / 2])
    }

    /// Judges whether an executor that has just reported takes much longer than the others.
    pub(super) fn judge_pace(&mut self, key: ExecutorKey) {
        let median = self.median_pace();
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

    /// How long after a task on trial this scheduler sends a slow worker another one. All
    /// schedulers try it.
    pub(super) fn trial_gap(&self) -> Duration {
        let peers = self.peers.values().filter(|p| p.link.is_some()).count();
        self.setup.policy.health.slow_trial * (peers as u32 + 1)
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
        let detail = format!("{name} at {}: {} ms left", executor.name, run.remaining_ms);
        self.log(Kind::TaskMoved, detail);
    }

    /// Whether a task of a step fits at a worker that is well.
    fn has_room_elsewhere(&self, job: &Job, key: ExecutorKey, step: u32) -> bool {
        let demand: Demand = job.request.steps[step as usize].demand;
        let fits = |(k, e): (ExecutorKey, &super::fleet::ExecutorView)| {
            let well = !e.slow && !e.report.suspect;
            k != key && well && e.takes(self.now, &job.service) && e.free.holds(demand)
        };
        self.executors.iter().any(fits)
    }
}
