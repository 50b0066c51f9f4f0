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
    /// How many workers have crashed while each task ran there, or had ended there and nobody knew.
    pub lost: HashMap<u32, u32>,
    /// The task of it that takes workers down, if one has.
    pub culprit: Option<Culprit>,
    /// How often it was handed in.
    pub handed_in: u32,
    /// How often it was refused.
    pub refused: u32,
    /// Whether a task has begun.
    pub began: bool,
}

/// A task that takes down each worker which starts it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Culprit {
    /// Which task of its job.
    pub index: u32,
    /// How many workers it has taken down.
    pub crashes: u32,
    /// How often it was started after [`CRASHES_BORNE`] of them.
    pub more: u32,
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
    /// Jobs that were said to have failed for the crashes of workers and that would have run whole.
    pub misjudged: u64,
}

/// A task that has failed so often fails its job.
pub const MAX_ATTEMPTS: u32 = 3;
/// A task may be given up once so many workers have crashed while it ran there.
pub const CRASHES_ENOUGH: u32 = 2;
/// After so many crashes a task that causes them is hardly started any more.
pub const CRASHES_BORNE: u32 = 3;
/// So many starts after that are too many.
pub const MORE_STARTS: u32 = 3;

impl SeenJob {
    /// Notes that a task begins; says whether it takes workers down and was started too often.
    fn starts_again(&mut self, index: u32) -> bool {
        let spent = |c: &&mut Culprit| c.index == index && c.crashes >= CRASHES_BORNE;
        let Some(culprit) = self.culprit.as_mut().filter(spent) else {
            return false;
        };
        culprit.more += 1;
        culprit.more >= MORE_STARTS
    }
}

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
        let repeated = job.starts_again(task.index);
        if job.refused > 0 && job.refused == job.handed_in {
            self.break_promise(format!("{task} was started after its job was refused"));
        }
        if repeated {
            self.break_promise(format!(
                "{task} was started {MORE_STARTS} times more after {CRASHES_BORNE} workers had crashed under it"
            ));
        }
        if elsewhere {
            self.break_promise(format!("{task} runs twice at once"));
        }
        if taken > capacity {
            self.break_promise(format!("{task}: {taken} taken of {capacity}"));
        }
    }

    /// A worker crashes at which `running` runs or has ended unknown to all others.
    pub fn crashed<'a>(&mut self, running: impl Iterator<Item = &'a TaskName>) {
        for lost in running {
            if let Some(job) = self.jobs.get_mut(&lost.job) {
                *job.lost.entry(lost.index).or_default() += 1;
            }
        }
    }

    /// A task takes a worker down.
    pub fn crashed_by(&mut self, task: TaskName) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            let culprit = job.culprit.get_or_insert(Culprit {
                index: task.index,
                ..Culprit::default()
            });
            culprit.crashes += 1;
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
                let lost = job.lost.values().any(|n| *n >= CRASHES_ENOUGH);
                if !often && job.culprit.is_none() {
                    self.misjudged += 1;
                }
                if !often && !lost {
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
