//! Callers of a world: they hand jobs in, hand them in again after silence, and leave.

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

use crate::dispatch::witness::MAX_ATTEMPTS;
use crate::dispatch::witness::SeenJob;
use crate::dispatch::witness::Witness;

/// A job that has had no answer is handed in again after this long, in microseconds.
pub const AGAIN_US: u64 = 1_300_000;

/// What a caller knows of its job.
#[derive(Clone, Debug)]
pub struct OpenJob {
    /// The request.
    pub request: JobRequest,
    /// How long its tasks take, in microseconds.
    pub work_us: u64,
    /// How long each of its tasks takes, where they differ.
    pub works_us: Vec<u64>,
    /// Whether its tasks always fail.
    pub poison: bool,
    /// The task of its that takes down each worker which starts it, if there is one.
    pub crashing: Option<u32>,
    /// Whether its caller was answered for good or has left.
    pub settled: bool,
    /// How often it was handed in.
    pub tries: u32,
}

impl OpenJob {
    /// How long one of its tasks takes, in microseconds.
    pub fn work_of(&self, index: u32) -> u64 {
        let list = &self.works_us;
        list.get(index as usize).copied().unwrap_or(self.work_us)
    }
}

/// All callers.
#[derive(Debug)]
pub struct Callers {
    /// The catalog that new schedulers begin with.
    pub catalog: Catalog,
    /// Their jobs.
    pub jobs: HashMap<JobNumber, OpenJob>,
    /// Which caller waits for which job.
    pub waiting: HashMap<CallerId, JobNumber>,
    next_caller: u64,
    next_job: u64,
}

/// The queue of the world, and the service behind it.
pub const SERVICE: &str = "quotes";

/// The catalog of the world.
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

/// The same with queues of three priorities.
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
    /// No callers yet, and the catalog that schedulers begin with.
    pub fn with_catalog(catalog: Catalog) -> Callers {
        Callers {
            catalog,
            jobs: HashMap::new(),
            waiting: HashMap::new(),
            next_caller: 0,
            next_job: 0,
        }
    }

    /// A number for a job that is made elsewhere.
    pub fn next_number(&mut self) -> JobNumber {
        self.next_job += 1;
        JobNumber(self.next_job)
    }

    /// A caller for a job.
    pub fn caller_for(&mut self, number: JobNumber) -> CallerId {
        self.next_caller += 1;
        let caller = CallerId(self.next_caller);
        self.waiting.insert(caller, number);
        caller
    }

    /// A new job.
    pub fn new_job(&mut self, rng: &mut impl Rng, witness: &mut Witness) -> JobNumber {
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
        // Nothing is drawn where there is no choice, so that the seeds of such runs give what they gave.
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
            works_us: Vec::new(),
            poison: rng.random_bool(0.02),
            crashing: None,
            settled: false,
            tries: 0,
        };
        self.jobs.insert(number, open);
        let seen = SeenJob {
            tasks: count,
            cpu: cpu_milli,
            ..SeenJob::default()
        };
        witness.jobs.insert(number, seen);
        number
    }
}
