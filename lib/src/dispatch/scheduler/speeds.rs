//! What a scheduler makes of the workers' speeds: when a task would end where, and who is sick.

use std::collections::BTreeSet;

use super::Scheduler;
use super::executor_view::ExecutorView;
use super::fleet::ExecutorKey;
use super::jobs::Job;
use super::jobs::Task;
use super::jobs::TaskState;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::Step;
use crate::dispatch::policy::Admission;
use crate::dispatch::speeds::TaskTiming;
use crate::event::Kind;
use crate::prelude::*;

/// What the speeds say of a worker as the place of a task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Fit {
    /// The task ends in time there. The score favours slow workers, so that fast ones stay free.
    InTime(f64),
    /// It does not. The score favours those at which it ends first.
    Late(f64),
}

impl Scheduler {
    fn by_speed(&self) -> bool {
        self.setup.policy.speeds.on
    }

    /// The policy by which a job's latest start goes. Where speeds are known nothing is set aside for slow workers: a
    /// job goes to those at which it still ends in time.
    pub(super) fn admission(&self) -> Admission {
        let mut policy = self.setup.policy.admission;
        if self.by_speed() {
            policy.slow_allowance = 1.0;
        }
        policy
    }

    /// How many times as long a step's task takes at a worker as at one of mean speed near its data.
    fn factor(&self, executor: &ExecutorView, step: &Step) -> f64 {
        let own = executor.report.slowness_percent;
        self.speeds.relative(own) * self.far_factor(executor, step)
    }

    /// How many times as long a step's task takes at a worker for being far from its data.
    fn far_factor(&self, executor: &ExecutorView, step: &Step) -> f64 {
        let near = step.rack.is_empty() || executor.profile.labels.contains(&step.rack);
        if near {
            1.0
        } else {
            self.setup.policy.speeds.far_factor
        }
    }

    /// How a worker fits a task of a step, if tasks are placed by speed.
    pub(super) fn fit(&self, job: &Job, step: u32, executor: &ExecutorView) -> Option<Fit> {
        if !self.by_speed() {
            return None;
        }
        let policy = &self.setup.policy.speeds;
        let factor = self.factor(executor, &job.request.steps[step as usize]);
        let outlook = self.outlook(job, step);
        if outlook.is_in_time(factor, policy.error) {
            let own = self.speeds.relative(executor.report.slowness_percent);
            return Some(Fit::InTime((own - 1.0) * policy.keep_fast));
        }
        Some(Fit::Late(-outlook.run_time(factor).as_secs_f64()))
    }

    fn outlook(&self, job: &Job, step: u32) -> TaskTiming {
        let expected = job.expected[step as usize];
        let after = job.critical_path[step as usize].saturating_sub(expected);
        TaskTiming {
            expected,
            stretch: job.stretch,
            left: self.now.until(job.objective_at - after),
        }
    }

    /// Whether a worker is to be tried though tasks would be late there: it does nothing, so that nobody would
    /// notice if it were well again.
    pub(super) fn needs_probe(&self, executor: &ExecutorView) -> bool {
        let own = self.speeds.relative(executor.report.slowness_percent);
        let idle = executor.free.cpu_milli >= i64::from(executor.capacity.cpu_milli);
        idle && own >= self.setup.policy.speeds.sick_ratio
    }

    /// How long a task of a step is expected to run at a worker of mean speed that is as far from its data, which is
    /// what the worker's own speed is read against.
    pub(super) fn expected_at(&self, job: &Job, step: u32, key: ExecutorKey) -> Duration {
        let expected = job.expected[step as usize];
        if !self.by_speed() {
            return expected;
        }
        let s = &job.request.steps[step as usize];
        expected.mul_f64(self.far_factor(&self.executors[key], s))
    }

    /// The latest start at which a task of a step is in time at a worker.
    pub(super) fn latest_at(&self, job: &Job, step: u32, key: ExecutorKey) -> Mono {
        let ordinary = job.objective_at - job.critical_path[step as usize];
        if !self.by_speed() {
            return ordinary;
        }
        let expected = job.expected[step as usize];
        let s = &job.request.steps[step as usize];
        let here = expected.mul_f64(self.factor(&self.executors[key], s));
        ordinary + expected - here
    }

    /// What a run's time is to be divided by to say what it would have been at a worker of mean speed near its data.
    pub(super) fn run_factor(&self, key: ExecutorKey, step: &Step) -> f64 {
        match self.executors.get(key) {
            Some(executor) if self.by_speed() => self.factor(executor, step),
            _ => 1.0,
        }
    }

    /// For the log: how slow a worker is and whether it is far from the data; empty if that does not count.
    pub(super) fn speed_words(&self, job: &Job, step: u32, key: ExecutorKey) -> String {
        if !self.by_speed() {
            return String::new();
        }
        let executor = &self.executors[key];
        let s = &job.request.steps[step as usize];
        let own = self.speeds.relative(executor.report.slowness_percent);
        let far = self.far_factor(executor, s);
        let time = job.expected[step as usize].mul_f64(own * far);
        let time = crate::clock::millis(time);
        format!(", slowness {own:.2}, far {far:.1}, {time} ms expected")
    }

    /// Judges whether an executor that has just reported is far slower than it is used to be; false if that is
    /// not known of it.
    pub(super) fn judge_usual(&mut self, key: ExecutorKey) -> bool {
        let percent = self.executors[key].report.slowness_percent;
        if !self.by_speed() || percent == 0 {
            return false;
        }
        let now = self.now;
        let policy = self.setup.policy.speeds;
        let executor = &mut self.executors[key];
        let gap = now.since(executor.judged_at);
        executor.judged_at = now;
        executor.usual.note(percent, gap, &policy);
        let sick = executor.usual.is_degraded(percent, executor.slow, &policy);
        if sick != executor.slow {
            executor.slow = sick;
            let detail = format!("{}: slowness {percent} %", executor.name);
            let kind = if sick {
                Kind::WorkerDegraded
            } else {
                Kind::WorkerSpeedRestored
            };
            self.log(kind, detail);
        }
        true
    }

    /// Whether a job that has not found all its room leaves some to those behind it: it waits by choice, and they may
    /// have what it would be late at. The rest stays its own, or a stream of patient jobs would keep it waiting.
    pub(super) fn leaves_room(&mut self, number: JobNumber) -> bool {
        let Some(job) = self.jobs.get(&number).filter(|j| j.held_back) else {
            return false;
        };
        let ready = |t: &&Task| t.state == TaskState::Ready;
        let Some(task) = job.tasks.iter().find(ready) else {
            return false;
        };
        let late = |key: &ExecutorKey| {
            let fit = self.fit(job, task.step, &self.executors[*key]);
            matches!(fit, Some(Fit::Late(_))) && self.is_spared(*key)
        };
        let allowed_executors: BTreeSet<ExecutorKey> =
            self.cell.executors.iter().copied().filter(late).collect();
        let some = !allowed_executors.is_empty();
        self.allowed_executors = Some(allowed_executors);
        some
    }

    /// Whether jobs that are more urgent leave the room at an executor to others.
    pub(super) fn is_spared(&self, key: ExecutorKey) -> bool {
        self.allowed_executors
            .as_ref()
            .is_none_or(|keys| keys.contains(&key))
    }

    /// Notes that tasks of a job wait although there is room, since they would be late there.
    pub(super) fn hold_back(&mut self, number: JobNumber) {
        self.counts.held_back += 1;
        self.log(Kind::JobHeldBack, number.to_string());
    }
}
