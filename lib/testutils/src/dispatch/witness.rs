//! Checks the invariants of the dispatch plane.
//!
//! Takes what workers and callers observe, as starts, crashes and answers, and keeps the first violation: a
//! task that runs twice at the same time, more tasks than a worker has capacity for, or an answer that
//! contradicts what the workers did.

use std::collections::HashMap;
use std::collections::HashSet;

use stackcourse_lib::dispatch::model::JobNumber;
use stackcourse_lib::dispatch::model::JobOutcome;
use stackcourse_lib::dispatch::model::TaskName;

/// What was observed of a job.
#[derive(Clone, Debug, Default)]
pub struct JobHistory {
    /// The number of tasks.
    pub tasks: u32,
    /// The CPU demand of each task, in thousandths of a core.
    pub cpu: u32,
    /// The tasks that completed.
    pub done: HashSet<u32>,
    /// The number of failed runs per task.
    pub failed: HashMap<u32, u32>,
    /// The number of worker crashes per task: the task was running there, or had ended there and its end was
    /// not acknowledged yet.
    pub crashes: HashMap<u32, u32>,
    /// The task that crashes workers, once it has crashed one.
    pub culprit: Option<Culprit>,
    /// The number of submissions.
    pub submissions: u32,
    /// The number of submissions that were refused.
    pub refused: u32,
    /// Whether a task of the job has started.
    pub began: bool,
    /// Whether a caller has cancelled the job, acknowledged or not.
    pub cancel_sent: bool,
    /// When a cancel of the job was first acknowledged, in microseconds on the world's clock.
    pub cancelled_at: Option<u64>,
}

/// A task that crashes each worker that starts it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Culprit {
    /// The index of the task in its job.
    pub index: u32,
    /// The number of workers that it has crashed.
    pub crashes: u32,
    /// The number of starts after the first [`MAX_CRASHES`] crashes.
    pub extra_starts: u32,
}

/// Checks observations against the invariants and keeps the first violation.
#[derive(Clone, Debug, Default)]
pub struct InvariantChecker {
    /// The jobs that callers submitted.
    pub jobs: HashMap<JobNumber, JobHistory>,
    /// The first violation.
    pub violation: Option<String>,
    /// The number of task starts.
    pub starts: u64,
    /// The number of answers that report a job as completed.
    pub completed: u64,
    /// The number of answers that refuse a job.
    pub refused: u64,
    /// The number of all other answers.
    pub others: u64,
    /// The number of jobs that were reported as failed because of crashes that other jobs caused.
    pub wrongly_failed: u64,
}

/// A task that has failed this many times fails its job.
pub const MAX_ATTEMPTS: u32 = 3;
/// A task may be given up once this many workers have crashed while it ran there.
pub const MIN_CRASHES_TO_FAIL: u32 = 2;
/// A task that has crashed this many workers should not be started again. A few starts may be under way
/// already.
pub const MAX_CRASHES: u32 = 3;
/// This many starts beyond [`MAX_CRASHES`] are a violation.
pub const EXCESS_STARTS: u32 = 3;

/// A task that starts this long after its job's cancel was acknowledged is a violation, in microseconds.
pub const CANCEL_US: u64 = 3_000_000;

impl JobHistory {
    /// Records the start of a task. Returns whether the task crashes workers and has now been started too
    /// many times.
    fn record_start(&mut self, index: u32) -> bool {
        let is_over_limit = |c: &&mut Culprit| c.index == index && c.crashes >= MAX_CRASHES;
        let Some(culprit) = self.culprit.as_mut().filter(is_over_limit) else {
            return false;
        };
        culprit.extra_starts += 1;
        culprit.extra_starts >= EXCESS_STARTS
    }
}

impl InvariantChecker {
    /// Records a violation; the first one is kept.
    pub fn report_violation(&mut self, what: String) {
        self.violation.get_or_insert(what);
    }

    /// Checks the start of a task. `elsewhere` says whether the task runs at another worker already; `taken`
    /// is the demand of all tasks at this worker, including the new one.
    pub fn check_start(&mut self, task: TaskName, elsewhere: bool, taken: u32, capacity: u32) {
        self.starts += 1;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return self.report_violation(format!(
                "{task} was started, but its job was never submitted"
            ));
        };
        job.began = true;
        let repeated = job.record_start(task.index);
        if job.refused > 0 && job.refused == job.submissions {
            self.report_violation(format!("{task} was started after its job had been refused"));
        }
        if repeated {
            self.report_violation(format!(
                "{task} was started {EXCESS_STARTS} more times after it had crashed {MAX_CRASHES} workers"
            ));
        }
        if elsewhere {
            self.report_violation(format!("{task} runs at two workers at the same time"));
        }
        if taken > capacity {
            self.report_violation(format!(
                "{task} exceeds its worker's capacity: {taken} of {capacity} in use"
            ));
        }
    }

    /// Records that a caller cancels a job.
    pub fn record_cancel_sent(&mut self, number: JobNumber) {
        if let Some(job) = self.jobs.get_mut(&number) {
            job.cancel_sent = true;
        }
    }

    /// Records that a cancel of a job was acknowledged.
    pub fn record_cancel(&mut self, number: JobNumber, now: u64) {
        if let Some(job) = self.jobs.get_mut(&number) {
            job.cancelled_at.get_or_insert(now);
        }
    }

    /// Checks that a task that starts was not cancelled long ago. `runs_for` tells how long the executor that
    /// starts it has run, in microseconds, if that is known; it does not decide, and only serves the trace.
    pub fn check_not_cancelled(&mut self, task: TaskName, now: u64, runs_for: Option<u64>) {
        let job = self.jobs.get(&task.job);
        let Some(at) = job.and_then(|j| j.cancelled_at) else {
            return;
        };
        if now >= at + CANCEL_US {
            let ms = (now - at) / 1000;
            let runs_for = runs_for.map(|us| us / 1000);
            let runs_for = runs_for.map(|ms| format!(", by an executor that has run for {ms} ms"));
            self.report_violation(format!(
                "{task} was started {ms} ms after its job's cancel was acknowledged{}",
                runs_for.unwrap_or_default()
            ));
        }
    }

    /// Records the crash of a worker. `running` are the tasks that ran there or whose ends were not
    /// acknowledged yet.
    pub fn record_crash<'a>(&mut self, running: impl Iterator<Item = &'a TaskName>) {
        for task in running {
            if let Some(job) = self.jobs.get_mut(&task.job) {
                *job.crashes.entry(task.index).or_default() += 1;
            }
        }
    }

    /// Records that a task crashed its worker.
    pub fn record_culprit(&mut self, task: TaskName) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            let culprit = job.culprit.get_or_insert(Culprit {
                index: task.index,
                ..Culprit::default()
            });
            culprit.crashes += 1;
        }
    }

    /// Checks an answer to a caller against what the workers did.
    pub fn check_answer(&mut self, number: JobNumber, outcome: JobOutcome) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return self.report_violation(format!("{number} was answered, but never submitted"));
        };
        match outcome {
            JobOutcome::Completed => {
                self.completed += 1;
                if job.done.len() < job.tasks as usize {
                    let done = job.done.len();
                    let tasks = job.tasks;
                    let what = format!(
                        "{number} is reported as completed with {done} of {tasks} tasks done"
                    );
                    self.report_violation(what);
                }
            }
            JobOutcome::Failed => {
                self.others += 1;
                let failed_often = job.failed.values().any(|n| *n >= MAX_ATTEMPTS);
                let crashed_often = job.crashes.values().any(|n| *n >= MIN_CRASHES_TO_FAIL);
                if !failed_often && job.culprit.is_none() {
                    self.wrongly_failed += 1;
                }
                if !failed_often && !crashed_often {
                    self.report_violation(format!(
                        "{number} is reported as failed, but no task failed or crashed often enough"
                    ));
                }
            }
            JobOutcome::Refused(_) => {
                self.refused += 1;
                job.refused += 1;
                if job.began && job.refused == job.submissions {
                    self.report_violation(format!(
                        "{number} was refused after one of its tasks had started"
                    ));
                }
            }
            JobOutcome::Cancelled => {
                self.others += 1;
                if !job.cancel_sent {
                    let what =
                        format!("{number} is reported as cancelled, but nobody cancelled it");
                    self.report_violation(what);
                }
            }
            JobOutcome::Unknown | JobOutcome::GivenUp => self.others += 1,
        }
    }
}
