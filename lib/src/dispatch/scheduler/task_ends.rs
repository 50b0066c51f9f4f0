//! Ends of task runs. An executor's report completes the task, makes it ready for another attempt, or ends
//! its job: when it has failed too often, crashes workers, or was claimed by another scheduler.

use super::Scheduler;
use super::executors::ExecutorKey;
use super::jobs::TaskState;
use crate::dispatch::crashes::CrashRecord;
use crate::dispatch::model::EndKind;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::JobOutcome;
use crate::dispatch::model::TaskName;
use crate::dispatch::speeds::update_ratio;
use crate::event::Kind;
use crate::prelude::*;
use crate::protos::dispatch as proto;

impl Scheduler {
    /// Handles an executor's report of the end of a task run.
    pub(super) fn handle_task_end(&mut self, key: ExecutorKey, end: &proto::TaskEnd) {
        if !self.mark_end_seen(key, end.number) {
            return;
        }
        let Some(kind) = EndKind::from_code(end.kind) else {
            return;
        };
        let Some(task) = &end.task else {
            return;
        };
        let (name, attempt) = TaskName::from_proto(task);
        if kind == EndKind::Done {
            self.record_run_time(key, name, Duration::from_micros(end.ran_us));
        }
        if !end.checkpoint.is_empty()
            && let Some(job) = self.jobs.get_mut(&name.job)
            && let Some(task) = job.task_mut(name)
        {
            task.checkpoint.clone_from(&end.checkpoint);
        }
        self.blame_run(name.job, end.blame);
        self.merge_crashes(name, CrashRecord::from_proto(end.crashes));
        if end.sole && self.is_confined(name.job) {
            return self.give_up(name.job, "crashes");
        }
        self.finish_attempt(key, name, attempt, kind);
    }

    /// Merges what an executor knows of worker crashes under a task into its record.
    fn merge_crashes(&mut self, name: TaskName, record: CrashRecord) {
        if let Some(job) = self.jobs.get_mut(&name.job)
            && let Some(task) = job.task_mut(name)
        {
            task.crashes = task.crashes.merge(record);
        }
    }

    /// Handles the crash record that an executor reports when a job is claimed there: the scheduler that had
    /// the job before may have been lost with its own record.
    pub(super) fn handle_crashed_task(&mut self, crashed: &proto::CrashedTask) {
        let Some(task) = &crashed.task else {
            return;
        };
        let (name, _) = TaskName::from_proto(task);
        self.merge_crashes(name, CrashRecord::from_proto(crashed.record));
        self.fail_crashing(name);
    }

    /// Fails a job if too many workers have crashed under a task of it; returns whether it did. Without this
    /// bound, one task crashed eight workers within 1.4 s, and each was down for three seconds.
    fn fail_crashing(&mut self, name: TaskName) -> bool {
        let Some(task) = self.jobs.get_mut(&name.job).and_then(|j| j.task_mut(name)) else {
            return false;
        };
        let record = task.crashes;
        if !record.is_given_up(&self.setup.policy.crashes) {
            return false;
        }
        let cause = if record.proven {
            "the cause"
        } else {
            "present"
        };
        let detail = format!("{name}: {} workers, {cause}", record.count);
        self.log(Kind::TaskCrashes, detail);
        self.count_cause("crashes");
        self.end_job(name.job, JobOutcome::Failed, "crashes");
        true
    }

    /// Records the duration of a completed run, for contention control and in the time ratio of its queue.
    fn record_run_time(&mut self, key: ExecutorKey, name: TaskName, ran: Duration) {
        let Some(job) = self.jobs.get(&name.job) else {
            return;
        };
        let Some(step) = job.request.steps.get(name.step as usize) else {
            return;
        };
        self.contention.record_run(step.demand.cpu_milli, ran);
        if step.estimate_ms == 0 {
            return;
        }
        let ratio = ran.as_secs_f64() * 1000.0 / f64::from(step.estimate_ms);
        let ratio = ratio / self.run_factor(key, step);
        let weight = self.setup.policy.admission.learn_weight;
        let queue = job.request.queue.clone();
        let time_ratio = self.time_ratios.entry(queue).or_insert(1.0);
        *time_ratio = match self.setup.policy.speeds.on {
            true => update_ratio(*time_ratio, ratio, weight),
            false => *time_ratio + weight * (ratio.min(4.0) - *time_ratio),
        };
    }

    /// Ends the attempt of a task at an executor: the task is done, or placed again. Reports of earlier
    /// attempts are ignored.
    pub(super) fn finish_attempt(
        &mut self,
        key: ExecutorKey,
        name: TaskName,
        attempt: u32,
        kind: EndKind,
    ) {
        if let Some(executor) = self.executors.get_mut(key)
            && executor.placed.get(&name) == Some(&attempt)
        {
            executor.placed.remove(&name);
        }
        let Some(job) = self.jobs.get_mut(&name.job) else {
            return;
        };
        let Some(task) = job.task_mut(name) else {
            return;
        };
        if task.state != TaskState::Placed(key) || task.attempts != attempt {
            return;
        }
        if kind == EndKind::Done {
            return self.complete_task(name);
        }
        task.state = TaskState::Ready;
        self.retry_task(key, name, kind);
    }

    /// Marks a task as done; unblocks the steps after it, or completes the job.
    fn complete_task(&mut self, name: TaskName) {
        let number = name.job;
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        if let Some(task) = job.task_mut(name) {
            task.state = TaskState::Done;
        }
        job.unfinished -= 1;
        job.unblock();
        if job.unfinished == 0 {
            self.end_job(number, JobOutcome::Completed, "done");
        } else {
            self.queue_job(number);
        }
    }

    /// Decides what follows an attempt that did not complete: another one, or the end of the job.
    fn retry_task(&mut self, key: ExecutorKey, name: TaskName, kind: EndKind) {
        let number = name.job;
        let cause = kind.word();
        *self.counts.unfinished_attempts.entry(cause).or_default() += 1;
        let place = self.executors.get(key).map(|e| e.name.clone());
        let place = place.unwrap_or_default();
        self.log(Kind::TaskRetried, format!("{name} at {place}: {cause}"));
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let limit = job.max_attempts;
        let Some(task) = job.task_mut(name) else {
            return;
        };
        match kind {
            EndKind::Failed => {
                task.failures += 1;
                task.avoid = Some(key);
                if task.failures >= limit {
                    self.count_cause("attempts");
                    return self.end_job(number, JobOutcome::Failed, "attempts");
                }
            }
            EndKind::Claimed => return self.end_claimed_job(number),
            EndKind::Unavailable => self.mark_unavailable(key),
            EndKind::Crashed => {
                task.avoid = Some(key);
                if self.fail_crashing(name) {
                    return;
                }
            }
            EndKind::Stalled | EndKind::Lost => task.avoid = Some(key),
            EndKind::Preempted => task.preempted += 1,
            EndKind::Done | EndKind::Stopped | EndKind::Expired | EndKind::NoRoom => {}
        }
        self.queue_job(number);
    }

    /// Places nothing more at an executor until it has reported again.
    fn mark_unavailable(&mut self, key: ExecutorKey) {
        if let Some(executor) = self.executors.get_mut(key) {
            executor.report.ready = false;
        }
    }

    /// Ends a job here that another scheduler has claimed. Its callers follow it there if that scheduler is
    /// linked.
    pub(super) fn end_claimed_job(&mut self, number: JobNumber) {
        if !self.jobs.contains_key(&number) {
            return;
        }
        self.count_cause("claimed");
        let other = self.linked_holder(number);
        if let Some(other) = other
            && let Some(job) = self.jobs.get_mut(&number)
        {
            let request = job.request.clone();
            for caller in std::mem::take(&mut job.callers) {
                self.follow(&other, caller, request.clone());
            }
        }
        self.end_job(number, JobOutcome::Unknown, "claimed");
    }
}
