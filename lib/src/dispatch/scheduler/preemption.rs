//! Plans the tasks of urgent jobs at executors where less urgent runs may be preempted for them.
//!
//! Input is the preemptible CPU that executors report. The executors select the runs to preempt. Nothing is
//! preempted for a job of which not all ready tasks find capacity.

use super::Scheduler;
use super::executors::ExecutorKey;
use super::jobs::Job;
use super::jobs::Task;
use super::jobs::TaskState;
use super::placement::TaskPlacement;
use super::placement::count_at;
use super::placement::satisfies;
use crate::dispatch::policy::Preemption;
use crate::event::Kind;
use crate::prelude::*;

impl Job {
    /// Returns how often runs of a task may still be preempted. A task whose next failure fails its job is
    /// not preempted, because each of its starts may be the last one.
    pub fn preemptions_left(&self, task: &Task, policy: &Preemption) -> u32 {
        let last = task.failures + 1 >= self.max_attempts;
        if !policy.on || last {
            return 0;
        }
        policy.stops.saturating_sub(task.preempted)
    }
}

impl Scheduler {
    /// Adds the tasks of an urgent job that find no free capacity to its plan, at the executors with the most
    /// free and preemptible CPU. Leaves the plan as it was unless all of them fit there and preemption is due
    /// for each.
    pub(super) fn plan_preemptions(&mut self, job: &Job, plan: &mut Vec<TaskPlacement>) {
        if !self.can_preempt(job) {
            return;
        }
        let missing = |at: &usize| {
            let ready = job.tasks[*at].state == TaskState::Ready;
            ready && !plan.iter().any(|p| p.task == *at)
        };
        let missing: Vec<usize> = (0..job.tasks.len()).filter(missing).collect();
        if missing.is_empty() {
            return;
        }
        let planned = plan.len();
        let mut rooms = self.preemptible_cpu(job, plan);
        for at in missing {
            let step = job.tasks[at].step;
            let key = self.best_preemptible(job, at, &rooms, plan);
            let Some(key) = key.filter(|_| self.is_preemption_due(job, step)) else {
                // Nothing is preempted unless all tasks of the job can be placed.
                plan.truncate(planned);
                return;
            };
            let demand = job.request.steps[step as usize].demand;
            for (_, room) in rooms.iter_mut().filter(|(k, _)| *k == key) {
                *room -= i64::from(demand.cpu_milli);
            }
            plan.push(TaskPlacement {
                task: at,
                step,
                key,
                trial: false,
                preempts: true,
            });
        }
    }

    /// Returns whether a job may preempt others now. It has to be urgent, and its last preemption has to be
    /// long enough ago to be confirmed, so that a job does not preempt again with each report.
    fn can_preempt(&self, job: &Job) -> bool {
        let policy = &self.setup.policy.preemption;
        let again = |at: Mono| self.now.since(at) >= policy.stop_time;
        policy.on && job.priority == 0 && job.preempted_at.is_none_or(again)
    }

    /// Returns whether a task of a step can still end in time if it starts once a preemption is confirmed,
    /// but not if it waits much longer. Preemption loses work, and most urgent jobs find capacity in time
    /// without it.
    fn is_preemption_due(&self, job: &Job, step: u32) -> bool {
        let policy = &self.setup.policy.preemption;
        let latest = job.objective_at - job.critical_path[step as usize];
        let confirmed = self.now + policy.stop_time;
        confirmed <= latest && latest <= confirmed + policy.margin
    }

    /// Returns the free plus the preemptible CPU of each executor, less what is planned, in thousandths of a
    /// core. Executors without preemptible CPU are left out.
    fn preemptible_cpu(&self, job: &Job, plan: &[TaskPlacement]) -> Vec<(ExecutorKey, i64)> {
        let barred = self.excluded_executors(&job.request.queue);
        let mut rooms = Vec::new();
        for key in &self.cell.executors {
            let executor = &self.executors[*key];
            let healthy = !executor.slow && !executor.report.suspect;
            let preemptible = i64::from(executor.report.preemptible_cpu_milli);
            let takes = executor.accepts_tasks(self.now, &job.service) && !barred.contains(key);
            if !healthy || !takes || preemptible == 0 {
                continue;
            }
            let mut room = executor.free.cpu_milli + preemptible;
            for placing in plan.iter().filter(|p| p.key == *key) {
                let demand = job.request.steps[placing.step as usize].demand;
                room -= i64::from(demand.cpu_milli);
            }
            rooms.push((*key, room));
        }
        rooms
    }

    /// Returns the executor with the most free and preemptible CPU of those that can take a task.
    fn best_preemptible(
        &self,
        job: &Job,
        at: usize,
        rooms: &[(ExecutorKey, i64)],
        plan: &[TaskPlacement],
    ) -> Option<ExecutorKey> {
        let task = &job.tasks[at];
        let step = &job.request.steps[task.step as usize];
        let takes = |key: ExecutorKey, room: i64| {
            let planned = plan.iter().filter(|p| p.step == task.step && p.key == key);
            let here = count_at(job, task.step, key) + planned.count();
            let spread = step.spread == 0 || here < step.spread as usize;
            let fits = i64::from(step.demand.cpu_milli) <= room;
            Some(key) != task.avoid && spread && fits && satisfies(&self.executors[key], step)
        };
        let able = rooms.iter().filter(|(key, room)| takes(*key, *room));
        able.max_by_key(|(_, room)| *room).map(|(key, _)| *key)
    }

    /// Logs the tasks of a plan for which runs may be preempted, and records the time in the job.
    pub(super) fn record_preemptions(&mut self, job: &mut Job, plan: &[TaskPlacement]) {
        let mut names: Vec<&str> = Vec::new();
        let preempting = plan.iter().filter(|p| p.preempts);
        names.extend(preempting.map(|p| self.executors[p.key].name.as_str()));
        if names.is_empty() {
            return;
        }
        let tasks = names.len();
        names.sort_unstable();
        names.dedup();
        let number = job.request.number;
        let detail = format!("{number}: {tasks} tasks at {}", names.join(" "));
        job.preempted_at = Some(self.now);
        self.log(Kind::PreemptionPlanned, detail);
    }
}
