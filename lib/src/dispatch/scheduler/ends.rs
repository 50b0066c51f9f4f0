//! Ends of tasks, and what follows for their jobs.

use super::Scheduler;
use super::fleet::ExecutorKey;
use super::jobs::TaskState;
use crate::dispatch::crashes::CrashRecord;
use crate::dispatch::model::EndKind;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::JobOutcome;
use crate::dispatch::model::TaskName;
use crate::dispatch::speeds::learn_ratio;
use crate::event::Kind;
use crate::prelude::*;
use crate::protos::dispatch as proto;

impl Scheduler {
    /// An executor tells of the end of a task.
    pub(super) fn task_ended(&mut self, key: ExecutorKey, end: &proto::TaskEnd) {
        if !self.note_end(key, end.number) {
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
            self.learn(key, name, Duration::from_micros(end.ran_us));
        }
        if !end.checkpoint.is_empty()
            && let Some(job) = self.jobs.get_mut(&name.job)
            && let Some(task) = job.task_mut(name)
        {
            task.checkpoint.clone_from(&end.checkpoint);
        }
        self.blame_run(name.job, end.blame);
        self.note_crashes(name, CrashRecord::from_proto(end.crashes));
        if end.sole && self.is_confined(name.job) {
            return self.give_up(name.job, "crashes");
        }
        self.task_gone(key, name, attempt, kind);
    }

    /// Takes note of what an executor knows of a task from workers that crashed.
    fn note_crashes(&mut self, name: TaskName, record: CrashRecord) {
        if let Some(job) = self.jobs.get_mut(&name.job)
            && let Some(task) = job.task_mut(name)
        {
            task.crashes = task.crashes.merge(record);
        }
    }

    /// An executor where a job was claimed tells what it knows of its tasks: the scheduler that had the
    /// job before may have learned it, and be lost.
    pub(super) fn task_crashed_before(&mut self, crashed: &proto::CrashedTask) {
        let Some(task) = &crashed.task else {
            return;
        };
        let (name, _) = TaskName::from_proto(task);
        self.note_crashes(name, CrashRecord::from_proto(crashed.record));
        self.give_up_crashing(name);
    }

    /// Gives a job up if workers crash under a task of it; says whether it did. Without a bound on such
    /// runs one task was started at eight workers in 1.4 s, and each was down for three seconds.
    fn give_up_crashing(&mut self, name: TaskName) -> bool {
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

    /// Learns how long tasks of a queue take against their estimates.
    fn learn(&mut self, key: ExecutorKey, name: TaskName, ran: Duration) {
        let Some(job) = self.jobs.get(&name.job) else {
            return;
        };
        let step = &job.request.steps[name.step as usize];
        self.contention.note_run(step.demand.cpu_milli, ran);
        if step.estimate_ms == 0 {
            return;
        }
        let ratio = ran.as_secs_f64() * 1000.0 / f64::from(step.estimate_ms);
        let ratio = ratio / self.run_factor(key, step);
        let weight = self.setup.policy.admission.learn_weight;
        let queue = job.request.queue.clone();
        let learned = self.learned.entry(queue).or_insert(1.0);
        *learned = match self.setup.policy.speeds.on {
            true => learn_ratio(*learned, ratio, weight),
            false => *learned + weight * (ratio.min(4.0) - *learned),
        };
    }

    /// A task is not at an executor any more.
    pub(super) fn task_gone(
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
            return self.task_done(name);
        }
        task.state = TaskState::Ready;
        self.task_again(key, name, kind);
    }

    fn task_done(&mut self, name: TaskName) {
        let number = name.job;
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        if let Some(task) = job.task_mut(name) {
            task.state = TaskState::Done;
        }
        job.left -= 1;
        job.unblock();
        if job.left == 0 {
            self.end_job(number, JobOutcome::Completed, "done");
        } else {
            self.queue_job(number);
        }
    }

    fn task_again(&mut self, key: ExecutorKey, name: TaskName, kind: EndKind) {
        let number = name.job;
        let cause = kind.word();
        *self.counts.again.entry(cause).or_default() += 1;
        let place = self.executors.get(key).map(|e| e.name.clone());
        let place = place.unwrap_or_default();
        self.log(Kind::TaskAgain, format!("{name} at {place}: {cause}"));
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let most = job.max_attempts;
        let Some(task) = job.task_mut(name) else {
            return;
        };
        match kind {
            EndKind::Failed => {
                task.failures += 1;
                task.avoid = Some(key);
                if task.failures >= most {
                    self.count_cause("attempts");
                    return self.end_job(number, JobOutcome::Failed, "attempts");
                }
            }
            EndKind::Claimed => return self.lose_job(number),
            EndKind::Unavailable => self.not_available(key),
            EndKind::Crashed => {
                task.avoid = Some(key);
                if self.give_up_crashing(name) {
                    return;
                }
            }
            EndKind::Stalled | EndKind::Lost => task.avoid = Some(key),
            EndKind::Preempted => task.preempted += 1,
            EndKind::Done | EndKind::Stopped | EndKind::Expired | EndKind::NoRoom => {}
        }
        self.queue_job(number);
    }

    /// Nothing more is placed at an executor until it has reported again.
    fn not_available(&mut self, key: ExecutorKey) {
        if let Some(executor) = self.executors.get_mut(key) {
            executor.report.ready = false;
        }
    }

    /// Another scheduler has claimed a job: its callers follow it there if that can be asked.
    pub(super) fn lose_job(&mut self, number: JobNumber) {
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
