//! Load on a simulated dispatch plane.
//!
//! Submits the users' mix of jobs at a share of the workers' capacity, with planned faults in the middle half
//! of the run, and reports the goodput: the share of the work that completes within its objective. The
//! virtual clock leaves out the processing cost of the processes themselves.

use std::rc::Rc;

use rand::Rng;
use stackcourse_lib::dispatch::catalog::Catalog;
use stackcourse_lib::dispatch::catalog::Queue;
use stackcourse_lib::dispatch::model::Demand;
use stackcourse_lib::dispatch::model::JobNumber;
use stackcourse_lib::dispatch::model::JobOutcome;
use stackcourse_lib::dispatch::model::JobRequest;
use stackcourse_lib::dispatch::model::Step;
use stackcourse_lib::dispatch::policy::Policy;
use stackcourse_lib::prelude::Duration;

use crate::dispatch::callers::OpenJob;
use crate::dispatch::callers::SERVICE;
use crate::dispatch::network::Node;
use crate::dispatch::witness::JobHistory;
use crate::dispatch::world::World;

/// A kind of jobs, with a queue of its own.
#[derive(Clone, Copy, Debug)]
pub struct JobKind {
    /// The name of its queue.
    pub name: &'static str,
    /// The share of jobs that are of this kind, in percent.
    pub share: f64,
    /// The mean run time of a task, in milliseconds.
    pub work_ms: f64,
    /// The mean number of tasks of a job.
    pub mean_tasks: f64,
    /// The largest number of tasks of a job.
    pub max_tasks: u32,
    /// The priority of the queue.
    pub priority: u32,
}

/// The kinds of jobs of a typical day of the users.
pub const KINDS: [JobKind; 3] = [
    JobKind {
        name: "short",
        share: 24.5,
        work_ms: 60.0,
        mean_tasks: 8.0,
        max_tasks: 32,
        priority: 0,
    },
    JobKind {
        name: "long",
        share: 4.4,
        work_ms: 900.0,
        mean_tasks: 4.0,
        max_tasks: 16,
        priority: 2,
    },
    JobKind {
        name: "middle",
        share: 71.1,
        work_ms: 200.0,
        mean_tasks: 2.0,
        max_tasks: 8,
        priority: 1,
    },
];

const EXTENSION: f64 = 1.6;
const OBJECTIVE_MS: u32 = 60;
const MEAN_CPU: f64 = 1600.0;
/// The largest number of speeds in a plan.
const MAX_SPEEDS: usize = 8;
/// The rack that jobs may prefer, and its share of the workers: one in this many.
const RACK: (&str, usize) = ("rack-0", 6);
/// The factor by which a slow worker takes longer.
pub const SLOWDOWN: f64 = 5.0;
const SIZES: [u32; 3] = [16_000, 16_000, 24_000];

/// The parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct LoadPlan {
    /// The seed.
    pub seed: u64,
    /// The offered work as a share of the workers' capacity.
    pub load: f64,
    /// For how long jobs are offered, in virtual time.
    pub span: Duration,
    /// The number of schedulers that share the load.
    pub schedulers: usize,
    /// The number of workers.
    pub workers: usize,
    /// The share of the jobs of the last third of the schedulers that go to the first third instead.
    pub load_skew: f64,
    /// The share of orders to workers that are delivered late.
    pub late: f64,
    /// The number of workers that take [`SLOWDOWN`] times as long in the middle half of the span.
    pub slow: usize,
    /// The faults in the middle half of the span, apart from slow workers.
    pub faults: LoadFaults,
    /// How the workers differ from each other.
    pub variation: WorkerVariation,
    /// The policy of all processes.
    pub policy: Policy,
}

/// Differences between workers in speed and in the distance to data.
#[derive(Clone, Copy, Debug)]
pub struct WorkerVariation {
    speeds: [f64; MAX_SPEEDS],
    count: usize,
    /// The share of jobs of the first kind whose data lies in one rack.
    pub rack_share: f64,
    /// The factor by which a task takes longer outside the rack of its data.
    pub remote_factor: f64,
}

impl Default for WorkerVariation {
    fn default() -> WorkerVariation {
        WorkerVariation::of(&[0.8, 1.0, 1.25])
    }
}

impl WorkerVariation {
    /// Creates a variation with these speeds in turn, up to [`MAX_SPEEDS`], and no rack preferences.
    pub fn of(list: &[f64]) -> WorkerVariation {
        let count = list.len().min(MAX_SPEEDS);
        let mut speeds = [1.0; MAX_SPEEDS];
        speeds[..count].copy_from_slice(&list[..count]);
        WorkerVariation {
            speeds,
            count: count.max(1),
            rack_share: 0.0,
            remote_factor: 1.0,
        }
    }

    fn speed(&self, worker: usize) -> f64 {
        self.speeds[worker % self.count]
    }
}

/// The faults of a run; none by default.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadFaults {
    /// The bandwidth of the machines of two thirds of the schedulers during the whole run, in Mbit/s; 0 for
    /// no limit. The others have [`LARGE_LINK_FACTOR`] times as much.
    pub link_mbit: u64,
    /// The number of queues of the catalogs that the store accepts, one each second; 0 for none.
    pub queues: usize,
    /// The number of executor restarts, one each [`RESTART_INTERVAL_US`].
    pub restarts: usize,
    /// The share of jobs in the middle half of the span with a task that crashes each worker that starts it.
    /// They count neither as offered nor as done.
    pub crashing: f64,
    /// The index of the kind of those jobs; `None` for all kinds.
    pub crashing_kind: Option<usize>,
    /// The factor by which more jobs of each kind come, in the order of [`KINDS`]; 0 for the usual number.
    pub bursts: [f64; 3],
}

impl LoadFaults {
    /// Returns the arrival rate of each kind; without bursts the rates sum to 100.
    fn rates(&self) -> [f64; 3] {
        let factor = |kind: usize| match self.bursts[kind] {
            0.0 => 1.0,
            factor => factor,
        };
        [0, 1, 2].map(|kind| KINDS[kind].share * factor(kind))
    }

    /// Returns the factor by which more jobs come in all.
    fn factor(&self) -> f64 {
        if self.bursts == [0.0; 3] {
            return 1.0;
        }
        self.rates().iter().sum::<f64>() / 100.0
    }
}

/// The bandwidth of a large machine as a multiple of that of a small one.
const LARGE_LINK_FACTOR: u64 = 8;
/// The interval between the restarts of [`LoadFaults::restarts`], in microseconds.
const RESTART_INTERVAL_US: u64 = 200_000;
/// The time until a killed executor restarts, in microseconds.
const RESTART_US: u64 = 500_000;
/// The interval between the catalogs of [`LoadFaults::queues`], in microseconds.
const CATALOG_INTERVAL_US: u64 = 1_000_000;
/// The length of the windows over which goodput is measured to find the recovery time, in microseconds.
const WINDOW_US: u64 = 500_000;

/// The results of the jobs of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KindReport {
    /// The number of jobs submitted.
    pub offered: u64,
    /// The number of jobs that completed within their objective.
    pub in_time: u64,
    /// The number of jobs that completed later.
    pub late: u64,
    /// The number of jobs that were refused.
    pub refused: u64,
    /// The work of all jobs and of the jobs in time, in core-seconds.
    pub work: (f64, f64),
}

/// The result of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadReport {
    /// The results by kind, in the order of [`KINDS`].
    pub kinds: [KindReport; 3],
    /// The work offered and the work done in time, by thirds of the schedulers.
    pub thirds: [(f64, f64); 3],
    /// The work offered and the work done in time, by windows of half a second.
    pub windows: Vec<(f64, f64)>,
    /// The number of worker crashes that were caused by a task.
    pub crashes: u64,
    /// The number of jobs that were reported as failed because of crashes that other jobs caused.
    pub wrongly_failed: u64,
    /// A hash of all answers: their times, their jobs, and whether each reports a completed job.
    pub digest: u64,
    /// The first violation of an invariant.
    pub violation: Option<String>,
}

impl LoadReport {
    /// Returns the share of the work offered in the middle half of the run that was done in time.
    pub fn goodput_under_faults(&self) -> f64 {
        let count = self.windows.len();
        let middle = &self.windows[count / 4..count * 3 / 4];
        let offered: f64 = middle.iter().map(|w| w.0).sum();
        let done: f64 = middle.iter().map(|w| w.1).sum();
        done / offered
    }

    /// Returns how long after the middle half of the run the last window with a goodput below `share` ends;
    /// zero if there is none.
    pub fn recovery_time(&self, share: f64) -> Duration {
        let count = self.windows.len();
        let after = &self.windows[count * 3 / 4..];
        let bad = after.iter().rposition(|w| w.1 < share * w.0);
        let windows = bad.map_or(0, |at| at as u64 + 1);
        Duration::from_micros(windows * WINDOW_US)
    }

    /// Returns the share of the offered work that was done in time.
    pub fn goodput(&self) -> f64 {
        let offered: f64 = self.kinds.iter().map(|k| k.work.0).sum();
        let done: f64 = self.kinds.iter().map(|k| k.work.1).sum();
        done / offered
    }
}

/// A job that counts as offered work.
struct OfferedJob {
    number: JobNumber,
    kind: usize,
    third: usize,
    at: u64,
    objective_us: u64,
    work: f64,
}

/// Returns a catalog of one queue per kind and `extra` other queues.
fn catalog(version: u64, extra: usize) -> Catalog {
    let queue = |kind: &JobKind| Queue {
        name: kind.name.to_owned(),
        service: SERVICE.to_owned(),
        priority: kind.priority,
        max_attempts: 3,
        extension: EXTENSION,
        objective_ms: OBJECTIVE_MS,
        ..Queue::default()
    };
    let other = |number: usize| Queue {
        name: format!("other-{number}"),
        host: format!("host-{number}.example"),
        path_prefix: format!("/other-{number}/"),
        ..queue(&KINDS[0])
    };
    Catalog {
        version,
        queues: KINDS
            .iter()
            .map(queue)
            .chain((0..extra).map(other))
            .collect(),
        ..Catalog::default()
    }
}

/// Runs a plan and returns its report.
pub fn run(plan: LoadPlan) -> LoadReport {
    let mut world = World::with_policy(
        plan.seed,
        plan.schedulers,
        plan.workers,
        catalog(2, 0),
        plan.policy,
    );
    set_bandwidths(&mut world, &plan);
    for number in 0..plan.workers {
        world.workers[number].capacity = SIZES[number % 3];
        if plan.variation.rack_share > 0.0 && number % RACK.1 == 0 {
            world.workers[number].rack = RACK.0.to_owned();
        }
    }
    world.remote_factor = plan.variation.remote_factor;
    set_slowdowns(&mut world, &plan, false);
    world.run(Duration::from_secs(4));
    world.late_share = plan.late;
    let mean_work: f64 = KINDS.iter().map(weighted_work).sum::<f64>() / 100.0;
    let room = |n: usize| f64::from(SIZES[n % 3]) / 1000.0 * plan.variation.speed(n);
    let capacity: f64 = (0..plan.workers).map(room).sum();
    let per_s = plan.load * capacity / mean_work;
    let begin = world.now;
    let span = plan.span.as_micros() as u64;
    let end = begin + span;
    let mut offered = Vec::new();
    let mut fault_state = FaultState::default();
    while world.now < end {
        let bursting = (begin + span / 4..begin + span * 3 / 4).contains(&world.now);
        let factor = if bursting { plan.faults.factor() } else { 1.0 };
        let gap = -world.rng.random_range(f64::MIN_POSITIVE..1.0).ln() / (per_s * factor);
        world.run(Duration::from_secs_f64(gap));
        let middle = begin + span / 4..begin + span * 3 / 4;
        let slow = middle.contains(&world.now);
        set_slowdowns(&mut world, &plan, slow);
        if slow {
            fault_state.inject_due(&mut world, &plan);
        }
        let faults = if slow {
            plan.faults
        } else {
            LoadFaults::default()
        };
        let kind = draw_kind(&mut world, &faults);
        offered.extend(submit_job(&mut world, &plan, &faults, kind));
    }
    world.run(Duration::from_secs(6));
    report(&world, &offered, begin)
}

fn set_bandwidths(world: &mut World, plan: &LoadPlan) {
    let small = plan.faults.link_mbit * 1_000_000 / 8;
    if small == 0 {
        return;
    }
    for n in 0..plan.schedulers {
        let rate = if n % 3 == 0 {
            small * LARGE_LINK_FACTOR
        } else {
            small
        };
        world.network.set_bandwidth(Node::Scheduler(n), rate);
    }
}

/// The faults that were injected so far.
#[derive(Default)]
struct FaultState {
    catalogs: u64,
    last_catalog: u64,
    restarts: usize,
    last_restart: u64,
}

impl FaultState {
    /// Injects the faults that are due.
    fn inject_due(&mut self, world: &mut World, plan: &LoadPlan) {
        let faults = plan.faults;
        if faults.queues > 0 && world.now >= self.last_catalog + CATALOG_INTERVAL_US {
            self.last_catalog = world.now;
            self.catalogs += 1;
            world.accept_catalog(catalog(2 + self.catalogs, faults.queues), |_| true);
        }
        if self.restarts < faults.restarts && world.now >= self.last_restart + RESTART_INTERVAL_US {
            self.last_restart = world.now;
            world.kill(
                Node::Executor(self.restarts % plan.workers),
                false,
                RESTART_US,
            );
            self.restarts += 1;
        }
    }
}

/// Sets the slowdown of each worker. `slow` says whether the slow workers of the plan are slow now.
fn set_slowdowns(world: &mut World, plan: &LoadPlan, slow: bool) {
    for number in 0..plan.workers {
        let factor = if slow && number < plan.slow {
            SLOWDOWN
        } else {
            1.0
        };
        world.workers[number].slowdown = factor / plan.variation.speed(number);
    }
}

/// Returns the mean work of a kind's jobs, in core-seconds, times its share in percent.
fn weighted_work(kind: &JobKind) -> f64 {
    kind.share * kind.mean_tasks * kind.work_ms / 1000.0 * MEAN_CPU / 1000.0
}

/// Draws from an approximately normal distribution; `spread` is the standard deviation as a share of the
/// mean. Never returns less than a tenth of the mean.
fn draw_around(world: &mut World, mean: f64, spread: f64) -> f64 {
    let sum: f64 = (0..12).map(|_| world.rng.random_range(0.0..1.0)).sum();
    (mean * (1.0 + spread * (sum - 6.0))).max(mean / 10.0)
}

/// Draws the kind of the next job.
fn draw_kind(world: &mut World, faults: &LoadFaults) -> usize {
    let draw = world.rng.random_range(0.0..100.0) * faults.factor();
    let rates = faults.rates();
    let mut kind = 0;
    let mut sum = rates[0];
    while draw > sum && kind < 2 {
        kind += 1;
        sum += rates[kind];
    }
    kind
}

/// Submits a job. Returns `None` if one of its tasks crashes workers, because it does not count as offered
/// work.
fn submit_job(
    world: &mut World,
    plan: &LoadPlan,
    faults: &LoadFaults,
    kind: usize,
) -> Option<OfferedJob> {
    let k = KINDS[kind];
    let count = (draw_around(world, k.mean_tasks, 0.4).round() as u32).clamp(1, k.max_tasks);
    let work_ms = draw_around(world, k.work_ms, 0.4);
    let cpu_milli = draw_around(world, MEAN_CPU, 0.2) as u32;
    let works: Vec<u64> = (0..count)
        .map(|_| (draw_around(world, work_ms, 0.15) * 1000.0) as u64)
        .collect();
    let longest = works.iter().copied().max().unwrap_or_default();
    let estimate = draw_around(world, work_ms, 0.4);
    // Without rack preferences nothing is drawn, so that existing seeds reproduce the same runs.
    let rack_share = plan.variation.rack_share;
    let prefers_rack = kind == 0 && rack_share > 0.0 && world.rng.random_bool(rack_share);
    let number = world.callers.next_number();
    let request = JobRequest {
        number,
        queue: k.name.to_owned(),
        spec: Rc::from("work"),
        steps: vec![Step {
            count,
            demand: Demand {
                cpu_milli,
                memory_mb: 64,
                gpu: 0,
            },
            estimate_ms: estimate as u32,
            rack: if prefers_rack {
                RACK.0.to_owned()
            } else {
                String::new()
            },
            ..Step::default()
        }],
        patience_ms: 4000,
        call: Rc::default(),
    };
    let work = works.iter().sum::<u64>() as f64 / 1e6 * f64::from(cpu_milli) / 1000.0;
    world.callers.jobs.insert(
        number,
        OpenJob {
            request,
            work_us: longest,
            task_work_us: works,
            fails: false,
            crashing_task: None,
            settled: false,
            submissions: 0,
        },
    );
    world.witness.jobs.insert(
        number,
        JobHistory {
            tasks: count,
            cpu: cpu_milli,
            ..JobHistory::default()
        },
    );
    let at = world.now;
    // Without crashing jobs nothing is drawn, so that existing seeds reproduce the same runs.
    let may_crash = faults.crashing_kind.is_none_or(|k| k == kind);
    let crashing = if may_crash { faults.crashing } else { 0.0 };
    let crashes = crashing > 0.0 && world.rng.random_bool(crashing);
    if crashes && let Some(job) = world.callers.jobs.get_mut(&number) {
        job.crashing_task = Some(0);
    }
    let scheduler = draw_scheduler(world, plan);
    let third = scheduler * 3 / plan.schedulers;
    world.submit(number, scheduler);
    (!crashes).then_some(OfferedJob {
        number,
        kind,
        third,
        at,
        objective_us: (longest as f64 * EXTENSION) as u64 + u64::from(OBJECTIVE_MS) * 1000,
        work,
    })
}

/// Returns the hash of all answers.
fn digest(world: &World) -> u64 {
    let fold = |sum: u64, n: u64| sum.wrapping_mul(0x0100_0000_01b3) ^ n;
    let numbers = world.answers.iter().flat_map(|(at, job, outcome)| {
        let completed = u64::from(*outcome == JobOutcome::Completed);
        [*at, job.0, completed]
    });
    numbers.fold(0, fold)
}

/// Draws the scheduler at which a job is submitted. Without a load skew only one number is drawn, so that
/// existing seeds reproduce the same runs.
fn draw_scheduler(world: &mut World, plan: &LoadPlan) -> usize {
    let drawn = world.rng.random_range(0..plan.schedulers);
    let third = drawn * 3 / plan.schedulers;
    if third < 2 || plan.load_skew == 0.0 || !world.rng.random_bool(plan.load_skew) {
        return drawn;
    }
    world.rng.random_range(0..plan.schedulers.div_ceil(3))
}

/// Sums up the answers to the offered jobs.
fn report(world: &World, offered: &[OfferedJob], begin: u64) -> LoadReport {
    let mut windows = Vec::new();
    let mut kinds = [KindReport::default(); 3];
    let mut thirds = [(0.0, 0.0); 3];
    for job in offered {
        let kind = &mut kinds[job.kind];
        kind.offered += 1;
        kind.work.0 += job.work;
        thirds[job.third].0 += job.work;
        let window = ((job.at - begin) / WINDOW_US) as usize;
        windows.resize(windows.len().max(window + 1), (0.0, 0.0));
        windows[window].0 += job.work;
        let mut answers = world.answers.iter().filter(|a| a.1 == job.number);
        match answers.next() {
            Some((at, _, JobOutcome::Completed)) if at - job.at <= job.objective_us => {
                kind.in_time += 1;
                kind.work.1 += job.work;
                thirds[job.third].1 += job.work;
                windows[window].1 += job.work;
            }
            Some((_, _, JobOutcome::Completed)) => kind.late += 1,
            Some((_, _, JobOutcome::Refused(_))) => kind.refused += 1,
            _ => {}
        }
    }
    LoadReport {
        kinds,
        thirds,
        windows,
        crashes: world.crashes,
        wrongly_failed: world.witness.wrongly_failed,
        digest: digest(world),
        violation: world.witness.violation.clone(),
    }
}
