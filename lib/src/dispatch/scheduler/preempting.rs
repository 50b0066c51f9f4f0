//! Urgent jobs that take the room of others: where their tasks are placed while there is no free room. Which
//! runs are stopped is decided by the executors.

use super::Scheduler;
use super::fleet::ExecutorKey;
use super::jobs::Job;
use super::jobs::Task;
use super::jobs::TaskState;
use super::placing::TaskPlacement;
use super::placing::count_at;
use super::placing::satisfies;
use crate::dispatch::policy::Preemption;
use crate::event::Kind;
use crate::prelude::*;

impl Job {
    /// How often a run of a task may still be stopped for more urgent ones. One whose next failure ends its job is
    /// not stopped: each start of it may be the last one.
    pub fn stops_left(&self, task: &Task, policy: &Preemption) -> u32 {
        let last = task.failures + 1 >= self.max_attempts;
        if !policy.on || last {
            return 0;
        }
        policy.stops.saturating_sub(task.preempted)
    }
}

impl Scheduler {
    /// Adds the tasks of an urgent job that find no room to its plan, at executors where runs may be stopped for
    /// them, most room first.
    pub(super) fn plan_preempting(&mut self, job: &Job, plan: &mut Vec<TaskPlacement>) {
        if !self.may_preempt(job) {
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
        let free = plan.len();
        let mut rooms = self.preemptible_rooms(job, plan);
        for at in missing {
            let step = job.tasks[at].step;
            let key = self.most_preemptible(job, at, &rooms, plan);
            let Some(key) = key.filter(|_| self.is_last_call(job, step)) else {
                // Nothing is stopped for a job of which not all tasks find room.
                plan.truncate(free);
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

    /// Whether a job may take the room of others now: it is urgent, and what it asked for last must have been
    /// answered, so that one job does not ask with each report.
    fn may_preempt(&self, job: &Job) -> bool {
        let policy = &self.setup.policy.preemption;
        let again = |at: Mono| self.now.since(at) >= policy.stop_time;
        policy.on && job.priority == 0 && job.preempted_at.is_none_or(again)
    }

    /// Whether a task of a step still ends in time if it starts once a stop is confirmed, and would not if it waited
    /// much longer. Stops cost work, and most urgent jobs find room in time without them.
    fn is_last_call(&self, job: &Job, step: u32) -> bool {
        let policy = &self.setup.policy.preemption;
        let latest = job.objective_at - job.critical_path[step as usize];
        let confirmed = self.now + policy.stop_time;
        confirmed <= latest && latest <= confirmed + policy.margin
    }

    /// What is free at each executor or may be cleared there, less what is planned, in thousandths of a core.
    fn preemptible_rooms(&self, job: &Job, plan: &[TaskPlacement]) -> Vec<(ExecutorKey, i64)> {
        let barred = self.excluded_executors(&job.request.queue);
        let mut rooms = Vec::new();
        for key in &self.cell.executors {
            let executor = &self.executors[*key];
            let well = !executor.slow && !executor.report.suspect;
            let preemptible = i64::from(executor.report.preemptible_cpu_milli);
            let takes = executor.accepts_tasks(self.now, &job.service) && !barred.contains(key);
            if !well || !takes || preemptible == 0 {
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

    /// The executor with the most room of those that can take a task.
    fn most_preemptible(
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

    /// Takes note of the tasks of a plan for which runs may be stopped.
    pub(super) fn note_preempting(&mut self, job: &mut Job, plan: &[TaskPlacement]) {
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
