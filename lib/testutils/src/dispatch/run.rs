//! Randomised runs of a simulated dispatch plane.
//!
//! Draws jobs and faults from a seed, which reproduces the run, ends all faults after the planned span, and
//! reports the first violation of an invariant and whether the plane recovers.

mod faults;

use rand::Rng;
use stackcourse_lib::dispatch::model::JobNumber;
use stackcourse_lib::dispatch::policy::Policy;
use stackcourse_lib::prelude::Duration;

use crate::dispatch::callers;
use crate::dispatch::cancel_faults;
use crate::dispatch::network::Node;
use crate::dispatch::world::World;

/// The result of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunReport {
    /// The number of events that the world handled.
    pub steps: u64,
    /// The number of task starts.
    pub starts: u64,
    /// The number of answers that report a job as completed.
    pub completed: u64,
    /// The number of answers that refuse a job.
    pub refused: u64,
    /// The number of all other answers.
    pub others: u64,
    /// The number of runs that the executors preempted, in their last incarnations.
    pub preempted: u64,
    /// The first violation of an invariant.
    pub violation: Option<String>,
    /// The share of jobs completed among those submitted after all faults had ended, in percent.
    pub recovered: u64,
}

const SCHEDULERS: usize = 3;
const EXECUTORS: usize = 5;
/// The number of availability zones in runs with evacuations.
const ZONES: usize = 3;
/// The probability per step that a zone is evacuated or no longer so.
const EVACUATION_CHANCE: f64 = 0.02;
/// The least share of jobs that must complete once all faults have ended, in percent.
pub const RECOVERED: u64 = 80;
/// The probability per step that many processes are killed at once.
const MASS_KILL_CHANCE: f64 = 0.004;
/// The share of starting schedulers that receive the roster late, in runs where schedulers serve early.
const UNSERVED_SHARE: f64 = 0.4;
/// The probability per step that an executor is killed, in runs where schedulers serve early.
const EXECUTOR_KILL_CHANCE: f64 = 0.04;
/// The probability that a job has a task that crashes workers.
const CRASHING_CHANCE: f64 = 0.02;
/// The probability per step that the capacity of a worker changes.
const RESIZE_CHANCE: f64 = 0.05;
/// The probability per step that a scheduler is asked to leave.
const LEAVE_CHANCE: f64 = 0.03;
/// The probability per step that an executor is asked to leave.
const DEPARTURE_CHANCE: f64 = 0.03;
/// The probability per step that an executor is cut off from all schedulers.
const ISOLATION_CHANCE: f64 = 0.02;
/// The share of workers' replies in place of which the connection ends, in runs with isolated executors.
const ENDED_SHARE: f64 = 0.02;
/// The share of jobs whose tasks outlast the leases, in runs with isolated executors.
const LONG_SHARE: f64 = 0.2;
/// The time that each task of such a job works, in milliseconds.
const LONG_WORK_MS: u32 = 3_000;
/// The probability per step that a worker restarts at once.
const QUICK_RESTART_CHANCE: f64 = 0.04;
/// The probability per step that one of the newest jobs is cancelled.
const CANCEL_CHANCE: f64 = 0.1;
/// The number of newest jobs of which one is cancelled.
const CANCEL_AMONG: u64 = 40;
/// The probability per step that a job is cancelled amid faults.
const CANCEL_FAULTS_CHANCE: f64 = 0.01;
/// The probability per step that a machine is suspended.
const SUSPENSION_CHANCE: f64 = 0.02;
/// The probability per step that a link is duplicated or reset.
const LINK_CHANCE: f64 = 0.08;
/// The probability per step that a burst of jobs comes, in runs with preemption.
const BURST_CHANCE: f64 = 0.05;
/// The number of jobs in a burst.
const BURST_JOBS: u32 = 12;
/// The number of jobs that are submitted after all faults have ended.
const RECOVERY_JOBS: u64 = 60;

/// Whether machines are suspended, and how the clocks of their processes behave meanwhile.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Suspensions {
    /// No machine is suspended.
    #[default]
    None,
    /// The clocks count the time of the suspension.
    Counted,
    /// The clocks stand still meanwhile, as the monotonic clock of the system does.
    Uncounted,
}

/// The parameters of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunPlan {
    /// The seed.
    pub seed: u64,
    /// For how long faults are injected, in virtual time.
    pub span: Duration,
    /// Whether all schedulers, all executors or all processes may be killed at once.
    pub losses: bool,
    /// The number of executors at which a scheduler places tasks; 0 for all of them.
    pub cell: u32,
    /// Whether some jobs have a task that crashes each worker that starts it.
    pub crashing: bool,
    /// Whether the capacities of workers change while they run.
    pub resizing: bool,
    /// Whether zones are evacuated, and the store does not serve some schedulers meanwhile.
    pub evacuating: bool,
    /// Whether schedulers are asked to leave and are restarted.
    pub leaving: bool,
    /// Whether executors are asked to leave and are restarted.
    pub departing: bool,
    /// Whether schedulers are linked twice and single links are reset.
    pub duplicate_links: bool,
    /// Whether crashed workers restart under their old ids.
    pub reuse_ids: bool,
    /// Whether schedulers that have just started serve before all others have reported, while some receive
    /// the roster late.
    pub recovering: bool,
    /// Whether jobs have different priorities and urgent ones may preempt the runs of others.
    pub preempting: bool,
    /// Whether schedulers hand waiting jobs off to peers at which less waits.
    pub balance: bool,
    /// Whether executors are cut off from all schedulers while orders to their workers are late, and workers
    /// end connections in order instead of answering. Some tasks outlast the leases then.
    pub isolating: bool,
    /// Whether workers restart at once under their old ids, some while their executors are cut off. Some tasks
    /// outlast the leases then.
    pub restarting: bool,
    /// Whether callers cancel jobs, some of them at other schedulers than they were submitted at and some
    /// amid faults. Requests wait for frozen schedulers then.
    pub cancelling: bool,
    /// Whether machines are suspended.
    pub suspensions: Suspensions,
    /// Whether to print what happens.
    pub trace: bool,
}

/// Runs a seed for a span of virtual time with faults and then for some time without.
pub fn run(seed: u64, span: Duration) -> RunReport {
    run_plan(RunPlan {
        seed,
        span,
        ..RunPlan::default()
    })
}

/// Runs a plan and returns its report.
pub fn run_plan(plan: RunPlan) -> RunReport {
    let zones = if plan.evacuating { ZONES } else { 1 };
    let catalog = match plan.preempting {
        true => callers::ranked_catalog(1),
        false => callers::catalog(1),
    };
    let mut world = World::with_zones(
        plan.seed,
        (SCHEDULERS, EXECUTORS, zones),
        catalog,
        policy(&plan),
    );
    world.trace = plan.trace;
    if plan.recovering {
        world.unserved_share = UNSERVED_SHARE;
    }
    if plan.reuse_ids || plan.restarting {
        world.keep_worker_ids();
    }
    if plan.isolating {
        world.ended_share = ENDED_SHARE;
    }
    world.keeps_requests = plan.cancelling;
    let span = plan.span;
    world.run(Duration::from_millis(3500));
    let faults = world.rng.random_range(0.0..0.12);
    let end = world.now + span.as_micros() as u64;
    while world.now < end && world.witness.violation.is_none() {
        let pause = world.rng.random_range(1..90);
        world.run(Duration::from_millis(pause));
        let long = plan.isolating || plan.restarting;
        let number = if long && world.rng.random_bool(LONG_SHARE) {
            submit_long_job(&mut world)
        } else {
            submit_job(&mut world)
        };
        if plan.cancelling && world.rng.random_bool(CANCEL_CHANCE) {
            cancel_job(&mut world, number);
        }
        if plan.cancelling && world.rng.random_bool(CANCEL_FAULTS_CHANCE) {
            let number = new_long_job(&mut world);
            cancel_faults::plan(&mut world, number);
        }
        if plan.isolating && world.rng.random_bool(ISOLATION_CHANCE) {
            faults::isolate(&mut world);
        }
        if plan.restarting && world.rng.random_bool(QUICK_RESTART_CHANCE) {
            faults::restart_worker_quickly(&mut world);
        }
        if plan.preempting && world.rng.random_bool(BURST_CHANCE) {
            submit_burst(&mut world);
        }
        if plan.crashing && world.rng.random_bool(CRASHING_CHANCE) {
            make_crashing(&mut world, number);
        }
        if plan.resizing && world.rng.random_bool(RESIZE_CHANCE) {
            faults::resize(&mut world);
        }
        if plan.suspensions != Suspensions::None && world.rng.random_bool(SUSPENSION_CHANCE) {
            faults::suspend(&mut world, plan.suspensions == Suspensions::Counted);
        }
        if plan.evacuating && world.rng.random_bool(EVACUATION_CHANCE) {
            faults::evacuate(&mut world);
        }
        if plan.leaving && world.rng.random_bool(LEAVE_CHANCE) {
            let n = world.rng.random_range(0..SCHEDULERS);
            if world.is_node_up(Node::Scheduler(n)) {
                world.print(Node::Scheduler(n), "asked to leave");
                world.leave_scheduler(n);
            }
        }
        if plan.departing && world.rng.random_bool(DEPARTURE_CHANCE) {
            let n = world.rng.random_range(0..EXECUTORS);
            if world.is_node_up(Node::Executor(n)) {
                world.print(Node::Executor(n), "asked to leave");
                world.leave_executor(n);
            }
        }
        if plan.duplicate_links && world.rng.random_bool(LINK_CHANCE) {
            faults::add_or_reset_link(&mut world);
        }
        if world.rng.random_bool(faults) {
            faults::inject_fault(&mut world);
        }
        if plan.recovering && world.rng.random_bool(EXECUTOR_KILL_CHANCE) {
            faults::kill_executor(&mut world);
        }
        if plan.losses && world.rng.random_bool(MASS_KILL_CHANCE) {
            faults::kill_many(&mut world, plan.reuse_ids);
        }
    }
    faults::end_faults(&mut world);
    let before = world.witness.completed;
    for _ in 0..RECOVERY_JOBS {
        submit_job(&mut world);
        world.run(Duration::from_millis(60));
    }
    world.run(Duration::from_secs(6));
    RunReport {
        steps: world.steps,
        starts: world.witness.starts,
        completed: world.witness.completed,
        refused: world.witness.refused,
        others: world.witness.others,
        preempted: world.preempted(),
        violation: world.witness.violation.clone(),
        recovered: (world.witness.completed - before) * 100 / RECOVERY_JOBS,
    }
}

/// Returns the policy of a plan. With cells a scheduler may borrow one executor when its own are full.
fn policy(plan: &RunPlan) -> Policy {
    let mut policy = Policy::default();
    policy.preemption.on = plan.preempting;
    policy.recovery.on = plan.recovering;
    policy.balance.on = plan.balance;
    if plan.cell > 0 {
        policy.cells.size = plan.cell;
        policy.cells.lent = 1;
        policy.cells.cover = 1;
    }
    policy
}

/// Makes a random task of a job crash each worker that starts it. No task of the job has begun yet.
fn make_crashing(world: &mut World, number: JobNumber) {
    if let Some(job) = world.callers.jobs.get_mut(&number) {
        let count = job.request.steps[0].count;
        job.crashing_task = Some(world.rng.random_range(0..count));
    }
}

/// Cancels a random one of the newest jobs at a random scheduler.
fn cancel_job(world: &mut World, newest: JobNumber) {
    let back = world.rng.random_range(0..CANCEL_AMONG);
    let number = JobNumber(newest.0.saturating_sub(back));
    let (schedulers, _) = world.size();
    let at = world.rng.random_range(0..schedulers);
    world.cancel(number, at);
}

fn submit_job(world: &mut World) -> JobNumber {
    let number = world.callers.new_job(&mut world.rng, &mut world.witness);
    submit_anywhere(world, number)
}

/// Creates a job whose tasks outlast the leases.
fn new_long_job(world: &mut World) -> JobNumber {
    let number = world.callers.new_job(&mut world.rng, &mut world.witness);
    if let Some(job) = world.callers.jobs.get_mut(&number) {
        job.work_us = u64::from(LONG_WORK_MS) * 1000;
        job.request.steps[0].estimate_ms = LONG_WORK_MS;
        job.request.patience_ms += u64::from(LONG_WORK_MS);
    }
    number
}

/// Submits a job whose tasks outlast the leases.
fn submit_long_job(world: &mut World) -> JobNumber {
    let number = new_long_job(world);
    submit_anywhere(world, number)
}

/// Submits a job at a random scheduler.
fn submit_anywhere(world: &mut World, number: JobNumber) -> JobNumber {
    let (schedulers, _) = world.size();
    let at = world.rng.random_range(0..schedulers);
    world.submit(number, at);
    number
}

/// Submits many jobs at once, so that urgent ones find all workers full.
fn submit_burst(world: &mut World) {
    for _ in 0..BURST_JOBS {
        submit_job(world);
    }
}
