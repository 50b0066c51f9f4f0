//! What workers and callers see, held against the promises.

use std::collections::HashMap;
use std::collections::HashSet;

use stackcourse_lib::dispatch::model::JobNumber;
use stackcourse_lib::dispatch::model::JobOutcome;
use stackcourse_lib::dispatch::model::TaskName;

/// A job as its caller knows it.
#[derive(Clone, Debug, Default)]
pub struct SeenJob {
    /// How many tasks it has.
    pub tasks: u32,
    /// What each takes, in thousandths of a core.
    pub cpu: u32,
    /// Which tasks have ended whole.
    pub done: HashSet<u32>,
    /// How often each task has failed.
    pub failed: HashMap<u32, u32>,
    /// How often it was handed in.
    pub handed_in: u32,
    /// How often it was refused.
    pub refused: u32,
    /// Whether a task has begun.
    pub began: bool,
}

/// Holds what is seen against the promises.
#[derive(Clone, Debug, Default)]
pub struct Witness {
    /// The jobs that callers handed in.
    pub jobs: HashMap<JobNumber, SeenJob>,
    /// The first promise that was broken.
    pub violation: Option<String>,
    /// Tasks that began.
    pub starts: u64,
    /// Jobs that callers were told are complete.
    pub completed: u64,
    /// Jobs that were refused.
    pub refused: u64,
    /// Jobs that ended otherwise.
    pub others: u64,
}

/// A task that has failed so often fails its job.
pub const MAX_ATTEMPTS: u32 = 3;

impl Witness {
    /// Notes a broken promise.
    pub fn break_promise(&mut self, what: String) {
        self.violation.get_or_insert(what);
    }

    /// A task begins at a worker; `elsewhere` says that it runs at another one already, and
    /// `taken` what runs at this one, with it.
    pub fn started(&mut self, task: TaskName, elsewhere: bool, taken: u32, capacity: u32) {
        self.starts += 1;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return self.break_promise(format!("{task} was started and nobody asked for it"));
        };
        job.began = true;
        if job.refused > 0 && job.refused == job.handed_in {
            self.break_promise(format!("{task} was started after its job was refused"));
        }
        if elsewhere {
            self.break_promise(format!("{task} runs twice at once"));
        }
        if taken > capacity {
            self.break_promise(format!("{task}: {taken} taken of {capacity}"));
        }
    }

    /// A caller is told what became of its job.
    pub fn answered(&mut self, number: JobNumber, outcome: JobOutcome) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return self.break_promise(format!("{number}: an answer nobody asked for"));
        };
        match outcome {
            JobOutcome::Completed => {
                self.completed += 1;
                if job.done.len() < job.tasks as usize {
                    let done = job.done.len();
                    let tasks = job.tasks;
                    let what = format!("{number} is said to be complete with {done} of {tasks}");
                    self.break_promise(what);
                }
            }
            JobOutcome::Failed => {
                self.others += 1;
                let often = job.failed.values().any(|n| *n >= MAX_ATTEMPTS);
                if !often {
                    self.break_promise(format!("{number} is said to have failed without cause"));
                }
            }
            JobOutcome::Refused(_) => {
                self.refused += 1;
                job.refused += 1;
                if job.began && job.refused == job.handed_in {
                    self.break_promise(format!("{number} was refused although it had begun"));
                }
            }
            JobOutcome::Cancelled | JobOutcome::Unknown | JobOutcome::GivenUp => self.others += 1,
        }
    }
}
