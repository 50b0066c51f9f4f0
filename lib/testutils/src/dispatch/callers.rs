//! The callers of a simulated world and their jobs.
//!
//! Creates random jobs and keeps what the simulation has to know of each: its request, how long its tasks run
//! and whether they fail or crash workers. [`World`](super::world::World) submits the jobs, and submits them
//! again when no answer comes.

use std::collections::HashMap;
use std::rc::Rc;

use rand::Rng;
use stackcourse_lib::dispatch::catalog::Catalog;
use stackcourse_lib::dispatch::catalog::Queue;
use stackcourse_lib::dispatch::model::Demand;
use stackcourse_lib::dispatch::model::JobNumber;
use stackcourse_lib::dispatch::model::JobRequest;
use stackcourse_lib::dispatch::model::Step;
use stackcourse_lib::dispatch::scheduler::CallerId;

use crate::dispatch::witness::InvariantChecker;
use crate::dispatch::witness::JobHistory;
use crate::dispatch::witness::MAX_ATTEMPTS;

/// The time after which a job without an answer is submitted again, in microseconds.
pub const RESUBMIT_US: u64 = 1_300_000;

/// A job of a caller.
#[derive(Clone, Debug)]
pub struct OpenJob {
    /// The request as it is submitted.
    pub request: JobRequest,
    /// The run time of its tasks, in microseconds, where `task_work_us` has none for them.
    pub work_us: u64,
    /// The run time of each task, in microseconds, where they differ.
    pub task_work_us: Vec<u64>,
    /// Whether all its tasks fail.
    pub fails: bool,
    /// The index of the task that crashes each worker that starts it, if there is one.
    pub crashing_task: Option<u32>,
    /// Whether the caller received a final answer.
    pub settled: bool,
    /// The number of submissions.
    pub submissions: u32,
}

impl OpenJob {
    /// Returns the run time of a task, in microseconds.
    pub fn work_us_of(&self, index: u32) -> u64 {
        let list = &self.task_work_us;
        list.get(index as usize).copied().unwrap_or(self.work_us)
    }
}

/// The callers of a world and their jobs.
#[derive(Debug)]
pub struct Callers {
    /// The catalog that new schedulers start with.
    pub catalog: Catalog,
    /// The jobs by number.
    pub jobs: HashMap<JobNumber, OpenJob>,
    /// The job that each waiting caller waits for.
    pub waiting: HashMap<CallerId, JobNumber>,
    next_caller: u64,
    next_job: u64,
}

/// The name of the default queue and of the service behind it.
pub const SERVICE: &str = "quotes";

/// Returns a catalog of one queue.
pub fn catalog(version: u64) -> Catalog {
    let queue = Queue {
        name: SERVICE.to_owned(),
        host: "quotes.example".to_owned(),
        path_prefix: "/quotes/".to_owned(),
        service: SERVICE.to_owned(),
        priority: 0,
        max_attempts: MAX_ATTEMPTS,
        extension: 1.6,
        objective_ms: 60,
    };
    Catalog {
        version,
        queues: vec![queue],
        ..Catalog::default()
    }
}

/// Returns a catalog of three queues with the priorities 0 to 2.
pub fn ranked_catalog(version: u64) -> Catalog {
    let plain = catalog(version);
    let ranked = |priority: u32| Queue {
        name: format!("{SERVICE}-{priority}"),
        priority,
        ..plain.queues[0].clone()
    };
    Catalog {
        queues: (0..3).map(ranked).collect(),
        ..plain
    }
}

impl Default for Callers {
    fn default() -> Callers {
        Callers::with_catalog(catalog(1))
    }
}

impl Callers {
    /// Creates a set without callers. Schedulers start with `catalog`.
    pub fn with_catalog(catalog: Catalog) -> Callers {
        Callers {
            catalog,
            jobs: HashMap::new(),
            waiting: HashMap::new(),
            next_caller: 0,
            next_job: 0,
        }
    }

    /// Returns the next free job number.
    pub fn next_number(&mut self) -> JobNumber {
        self.next_job += 1;
        JobNumber(self.next_job)
    }

    /// Creates a caller that waits for a job.
    pub fn caller_for(&mut self, number: JobNumber) -> CallerId {
        self.next_caller += 1;
        let caller = CallerId(self.next_caller);
        self.waiting.insert(caller, number);
        caller
    }

    /// Creates a random job and registers it with the invariant checker.
    pub fn new_job(&mut self, rng: &mut impl Rng, witness: &mut InvariantChecker) -> JobNumber {
        let number = self.next_number();
        let count = rng.random_range(1..=8);
        let work_ms = [60, 200, 900][rng.random_range(0..3)];
        let cpu_milli = rng.random_range(800..2300);
        let step = Step {
            count,
            demand: Demand {
                cpu_milli,
                memory_mb: 64,
                gpu: 0,
            },
            estimate_ms: work_ms * rng.random_range(60..140) / 100,
            ..Step::default()
        };
        let queues = &self.catalog.queues;
        // With one queue nothing is drawn, so that existing seeds reproduce the same runs.
        let queue = match queues.len() {
            1 => 0,
            count => rng.random_range(0..count),
        };
        let request = JobRequest {
            number,
            queue: queues[queue].name.clone(),
            spec: Rc::from("work"),
            steps: vec![step],
            patience_ms: rng.random_range(2000..5000),
            call: Rc::default(),
        };
        let open = OpenJob {
            request,
            work_us: u64::from(work_ms) * 1000,
            task_work_us: Vec::new(),
            fails: rng.random_bool(0.02),
            crashing_task: None,
            settled: false,
            submissions: 0,
        };
        self.jobs.insert(number, open);
        let seen = JobHistory {
            tasks: count,
            cpu: cpu_milli,
            ..JobHistory::default()
        };
        witness.jobs.insert(number, seen);
        number
    }
}
