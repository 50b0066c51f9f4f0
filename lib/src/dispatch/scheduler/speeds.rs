//! Uses the workers' speeds: predicts when a task would end at which worker, and detects degraded workers.
//!
//! Input is the slowness that executors report, in percent, compared with the mean speed of the fleet.
//! Unless `speeds.on` is set, the speeds of workers and their distances to data are ignored.

use std::collections::BTreeSet;

use super::Scheduler;
use super::executor_view::ExecutorView;
use super::executors::ExecutorKey;
use super::jobs::Job;
use super::jobs::Task;
use super::jobs::TaskState;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::Step;
use crate::dispatch::policy::Admission;
use crate::dispatch::speeds::TaskTiming;
use crate::event::Kind;
use crate::prelude::*;

/// How well a worker suits a task by its speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Fit {
    /// The task would end in time there. The score prefers slow workers, so that fast ones stay free.
    InTime(f64),
    /// The task would end too late there. The score prefers the workers at which it ends first.
    Late(f64),
}

impl Scheduler {
    /// Returns whether tasks are placed by the speed of the workers.
    fn is_speed_aware(&self) -> bool {
        self.setup.policy.speeds.on
    }

    /// Returns the policy that determines the latest start of a job. If tasks are placed by speed, no time is
    /// reserved for slow workers, because a job is placed at workers where it still ends in time.
    pub(super) fn admission(&self) -> Admission {
        let mut policy = self.setup.policy.admission;
        if self.is_speed_aware() {
            policy.slow_allowance = 1.0;
        }
        policy
    }

    /// Returns how many times as long a step's task takes at a worker as at one of mean speed near its data.
    fn duration_factor(&self, executor: &ExecutorView, step: &Step) -> f64 {
        let own = executor.report.slowness_percent;
        self.speeds.relative(own) * self.distance_factor(executor, step)
    }

    /// Returns how many times as long a step's task takes at a worker because of its distance to the data.
    fn distance_factor(&self, executor: &ExecutorView, step: &Step) -> f64 {
        let near = step.rack.is_empty() || executor.profile.labels.contains(&step.rack);
        if near {
            1.0
        } else {
            self.setup.policy.speeds.far_factor
        }
    }

    /// Returns how well a worker suits a task of a step; `None` if tasks are not placed by speed.
    pub(super) fn fit(&self, job: &Job, step: u32, executor: &ExecutorView) -> Option<Fit> {
        if !self.is_speed_aware() {
            return None;
        }
        let policy = &self.setup.policy.speeds;
        let factor = self.duration_factor(executor, &job.request.steps[step as usize]);
        let timing = self.task_timing(job, step);
        if timing.is_in_time(factor, policy.error) {
            let own = self.speeds.relative(executor.report.slowness_percent);
            return Some(Fit::InTime((own - 1.0) * policy.keep_fast));
        }
        Some(Fit::Late(-timing.run_time(factor).as_secs_f64()))
    }

    /// Returns the expected time of a task of a step, and the time that is left for it.
    fn task_timing(&self, job: &Job, step: u32) -> TaskTiming {
        let expected = job.expected[step as usize];
        let after = job.critical_path[step as usize].saturating_sub(expected);
        TaskTiming {
            expected,
            extension: job.extension,
            left: self.now.until(job.objective_at - after),
        }
    }

    /// Returns whether a slow and idle worker should get a task on trial although the task would be late
    /// there. Otherwise nobody would notice that it has recovered.
    pub(super) fn needs_probe(&self, executor: &ExecutorView) -> bool {
        let own = self.speeds.relative(executor.report.slowness_percent);
        let idle = executor.free.cpu_milli >= i64::from(executor.capacity.cpu_milli);
        idle && own >= self.setup.policy.speeds.sick_ratio
    }

    /// Returns how long a task of a step is expected to run at a worker of mean speed at the same distance to
    /// the data. The executor measures its worker's speed against this time.
    pub(super) fn expected_at(&self, job: &Job, step: u32, key: ExecutorKey) -> Duration {
        let expected = job.expected[step as usize];
        if !self.is_speed_aware() {
            return expected;
        }
        let s = &job.request.steps[step as usize];
        expected.mul_f64(self.distance_factor(&self.executors[key], s))
    }

    /// Returns the latest start at which a task of a step still ends in time at a worker.
    pub(super) fn latest_at(&self, job: &Job, step: u32, key: ExecutorKey) -> Mono {
        let ordinary = job.objective_at - job.critical_path[step as usize];
        if !self.is_speed_aware() {
            return ordinary;
        }
        let expected = job.expected[step as usize];
        let s = &job.request.steps[step as usize];
        let here = expected.mul_f64(self.duration_factor(&self.executors[key], s));
        ordinary + expected - here
    }

    /// Returns the divisor that converts a run's time to the time at a worker of mean speed near the data.
    pub(super) fn run_factor(&self, key: ExecutorKey, step: &Step) -> f64 {
        match self.executors.get(key) {
            Some(executor) if self.is_speed_aware() => self.duration_factor(executor, step),
            _ => 1.0,
        }
    }

    /// Describes a worker's speed and distance to the data for a log line; empty if tasks are not placed by
    /// speed.
    pub(super) fn describe_speed(&self, job: &Job, step: u32, key: ExecutorKey) -> String {
        if !self.is_speed_aware() {
            return String::new();
        }
        let executor = &self.executors[key];
        let s = &job.request.steps[step as usize];
        let own = self.speeds.relative(executor.report.slowness_percent);
        let far = self.distance_factor(executor, s);
        let time = job.expected[step as usize].mul_f64(own * far);
        let time = crate::clock::millis(time);
        format!(", slowness {own:.2}, far {far:.1}, {time} ms expected")
    }

    /// Updates whether the worker of an executor that has just reported is degraded, which means far slower
    /// than usual. Returns false, and changes nothing, if its speed is unknown or tasks are not placed by
    /// speed.
    pub(super) fn update_degraded_state(&mut self, key: ExecutorKey) -> bool {
        let percent = self.executors[key].report.slowness_percent;
        if !self.is_speed_aware() || percent == 0 {
            return false;
        }
        let now = self.now;
        let policy = self.setup.policy.speeds;
        let executor = &mut self.executors[key];
        let gap = now.since(executor.slowness_updated_at);
        executor.slowness_updated_at = now;
        executor.typical_slowness.record(percent, gap, &policy);
        let degraded = executor
            .typical_slowness
            .is_degraded(percent, executor.slow, &policy);
        if degraded != executor.slow {
            executor.slow = degraded;
            let detail = format!("{}: slowness {percent} %", executor.name);
            let kind = if degraded {
                Kind::WorkerDegraded
            } else {
                Kind::WorkerSpeedRestored
            };
            self.log(kind, detail);
        }
        true
    }

    /// Reserves the executors at which a held-back job would be in time: the jobs behind it in this round may
    /// use only those at which it would be late. Otherwise a steady stream of less urgent jobs would keep it
    /// waiting. Returns whether executors are left to other jobs. Returns false, and changes nothing, for a
    /// job that is not held back.
    pub(super) fn reserve_executors(&mut self, number: JobNumber) -> bool {
        let Some(job) = self.jobs.get(&number).filter(|j| j.held_back) else {
            return false;
        };
        let ready = |t: &&Task| t.state == TaskState::Ready;
        let Some(task) = job.tasks.iter().find(ready) else {
            return false;
        };
        let late = |key: &ExecutorKey| {
            let fit = self.fit(job, task.step, &self.executors[*key]);
            matches!(fit, Some(Fit::Late(_))) && self.is_allowed(*key)
        };
        let allowed: BTreeSet<ExecutorKey> =
            self.cell.executors.iter().copied().filter(late).collect();
        let found = !allowed.is_empty();
        self.allowed_executors = Some(allowed);
        found
    }

    /// Returns whether no earlier job of this placement round has reserved an executor.
    pub(super) fn is_allowed(&self, key: ExecutorKey) -> bool {
        self.allowed_executors
            .as_ref()
            .is_none_or(|keys| keys.contains(&key))
    }

    /// Counts and logs that tasks of a job wait although there is free capacity, because they would be late
    /// there.
    pub(super) fn record_held_back(&mut self, number: JobNumber) {
        self.counts.held_back += 1;
        self.log(Kind::JobHeldBack, number.to_string());
    }
}
