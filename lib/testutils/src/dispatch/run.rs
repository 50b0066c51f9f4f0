//! Randomised runs: load and faults drawn from a seed, which reproduces the run.

use rand::Rng;
use stackcourse_lib::dispatch::model::JobNumber;
use stackcourse_lib::dispatch::policy::Policy;
use stackcourse_lib::prelude::Duration;

use crate::dispatch::callers;
use crate::dispatch::network::Node;
use crate::dispatch::world::CAPACITY;
use crate::dispatch::world::World;

/// What came of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunReport {
    /// Inputs given to the state machines.
    pub steps: u64,
    /// Tasks that began.
    pub starts: u64,
    /// Jobs that callers were told are complete.
    pub completed: u64,
    /// Jobs that were refused.
    pub refused: u64,
    /// Jobs that ended otherwise.
    pub others: u64,
    /// Runs that executors, in their last lives, have stopped for more urgent tasks.
    pub preempted: u64,
    /// The first promise that was broken.
    pub violation: Option<String>,
    /// Jobs complete of those handed in after all faults had ended, in percent.
    pub recovered: u64,
}

const SCHEDULERS: usize = 3;
const EXECUTORS: usize = 5;
/// Availability zones, where some are evacuated.
const ZONES: usize = 3;
/// How likely a zone is evacuated or taken back at each step.
const EVACUATIONS: f64 = 0.02;
/// The share of jobs that must be complete once all faults have ended, in percent.
pub const RECOVERED: u64 = 80;
/// How likely a loss of many is at each step.
const LOSSES: f64 = 0.004;
/// The share of schedulers that the store turns away when they start.
const UNSERVED: f64 = 0.4;
/// How likely an executor is lost at each step while schedulers serve early.
const LOST_AGAIN: f64 = 0.04;
/// How likely a job has a task that takes workers down.
const CRASHING: f64 = 0.02;
/// How likely a worker's room changes at each step.
const RESIZES: f64 = 0.05;
/// How likely a scheduler is asked to leave at each step.
const LEAVES: f64 = 0.03;
/// How likely an executor is asked to leave at each step.
const DEPARTURES: f64 = 0.03;
/// How likely a suspension is at each step.
const SUSPENSIONS: f64 = 0.02;
/// How likely a link is doubled or broken at each step.
const DOUBLED: f64 = 0.08;
/// How likely many jobs come at once, where some are urgent, at each step.
const BURSTS: f64 = 0.05;
/// How many they are.
const BURST_JOBS: u32 = 12;
/// Jobs handed in while it is calm again.
const CALM_JOBS: u64 = 60;

/// Whether machines are suspended, and what the clock of a process makes of that.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Suspensions {
    /// None is.
    #[default]
    None,
    /// Clocks count the time.
    Counted,
    /// Clocks stand still meanwhile, as the steady clock of the system does.
    Uncounted,
}

/// What to run.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunPlan {
    /// The seed.
    pub seed: u64,
    /// For how long faults come, in virtual time.
    pub span: Duration,
    /// Whether all schedulers, all executors or everybody may be killed at once, too.
    pub losses: bool,
    /// At how many executors a scheduler places tasks; 0 for all of them.
    pub cell: u32,
    /// Whether some jobs have a task that takes down each worker which starts it.
    pub crashing: bool,
    /// Whether workers' rooms shrink and grow while they run.
    pub resizing: bool,
    /// Whether zones are evacuated, and the store turns some schedulers away meanwhile.
    pub evacuating: bool,
    /// Whether schedulers are asked to leave, and are started again.
    pub leaving: bool,
    /// Whether executors are asked to leave, and are started again.
    pub departing: bool,
    /// Whether schedulers are linked twice, and single links break.
    pub duplicate_links: bool,
    /// Whether workers that have crashed come up under the id that they had.
    pub reuse_ids: bool,
    /// Whether schedulers that have just started serve before they have met everybody, while the store turns some away.
    pub recovering: bool,
    /// Whether jobs are of several priorities, and urgent ones may stop the runs of others.
    pub preempting: bool,
    /// Whether schedulers hand jobs that wait to others at which less waits.
    pub balance: bool,
    /// Whether machines are suspended.
    pub suspensions: Suspensions,
    /// Whether to print what happens.
    pub trace: bool,
}

/// Runs a seed for a span of virtual time with faults, then for some time without.
pub fn run(seed: u64, span: Duration) -> RunReport {
    run_plan(RunPlan {
        seed,
        span,
        ..RunPlan::default()
    })
}

/// Runs a plan.
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
        world.unserved_share = UNSERVED;
    }
    if plan.reuse_ids {
        world.keep_worker_ids();
    }
    let span = plan.span;
    world.run(Duration::from_millis(3500));
    let faults = world.rng.random_range(0.0..0.12);
    let end = world.now + span.as_micros() as u64;
    while world.now < end && world.witness.violation.is_none() {
        let pause = world.rng.random_range(1..90);
        world.run(Duration::from_millis(pause));
        let number = hand_in(&mut world);
        if plan.preempting && world.rng.random_bool(BURSTS) {
            burst(&mut world);
        }
        if plan.crashing && world.rng.random_bool(CRASHING) {
            make_crashing(&mut world, number);
        }
        if plan.resizing && world.rng.random_bool(RESIZES) {
            resize(&mut world);
        }
        if plan.suspensions != Suspensions::None && world.rng.random_bool(SUSPENSIONS) {
            suspend(&mut world, plan.suspensions == Suspensions::Counted);
        }
        if plan.evacuating && world.rng.random_bool(EVACUATIONS) {
            evacuate(&mut world);
        }
        if plan.leaving && world.rng.random_bool(LEAVES) {
            let n = world.rng.random_range(0..SCHEDULERS);
            if world.is_node_up(Node::Scheduler(n)) {
                world.print(Node::Scheduler(n), "asked to leave");
                world.leave_scheduler(n);
            }
        }
        if plan.departing && world.rng.random_bool(DEPARTURES) {
            let n = world.rng.random_range(0..EXECUTORS);
            if world.is_node_up(Node::Executor(n)) {
                world.print(Node::Executor(n), "asked to leave");
                world.leave_executor(n);
            }
        }
        if plan.duplicate_links && world.rng.random_bool(DOUBLED) {
            double_or_break(&mut world);
        }
        if world.rng.random_bool(faults) {
            fault(&mut world);
        }
        if plan.recovering && world.rng.random_bool(LOST_AGAIN) {
            lose_again(&mut world);
        }
        if plan.losses && world.rng.random_bool(LOSSES) {
            lose_many(&mut world, plan.reuse_ids);
        }
    }
    calm(&mut world);
    let before = world.witness.completed;
    for _ in 0..CALM_JOBS {
        hand_in(&mut world);
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
        recovered: (world.witness.completed - before) * 100 / CALM_JOBS,
    }
}

/// The policy of a plan. In cells a scheduler places tasks at one executor more when its own are full.
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

/// Makes a task of a job take down each worker which starts it. None has begun yet.
fn make_crashing(world: &mut World, number: JobNumber) {
    if let Some(job) = world.callers.jobs.get_mut(&number) {
        let count = job.request.steps[0].count;
        job.crashing_task = Some(world.rng.random_range(0..count));
    }
}

/// Gives a worker a quarter of its room up to all of it.
fn resize(world: &mut World) {
    let (_, executors) = world.size();
    let n = world.rng.random_range(0..executors);
    let capacity = world.rng.random_range(CAPACITY / 4..=CAPACITY);
    let now = world.now;
    world.workers[n].resize(now, capacity);
    world.print(Node::Executor(n), &format!("room for {capacity}"));
}

/// Evacuates a zone, or takes it back; one in three times the store turns other schedulers away from then on.
fn evacuate(world: &mut World) {
    if world.rng.random_bool(0.33) {
        let (schedulers, _) = world.size();
        let away = (0..schedulers).filter(|_| world.rng.random_bool(0.4));
        let away = away.collect();
        world.set_unserved(away);
    }
    let zone = format!("z{}", world.rng.random_range(0..ZONES));
    let evacuated = !world.is_evacuated(&zone);
    world.print(
        Node::Scheduler(0),
        &format!("{zone} evacuated: {evacuated}"),
    );
    world.set_evacuated(&zone, evacuated);
}

/// Suspends a process for up to some seconds; one in four times another one together with it.
fn suspend(world: &mut World, counted: bool) {
    let span = world.rng.random_range(100_000..5_000_000);
    let others = world.rng.random_bool(0.25);
    for _ in 0..=u32::from(others) {
        let node = any_node(world);
        world.print(node, &format!("suspended for {span} us"));
        world.suspend(node, span, counted);
    }
}

fn hand_in(world: &mut World) -> JobNumber {
    let number = world.callers.new_job(&mut world.rng, &mut world.witness);
    let (schedulers, _) = world.size();
    let at = world.rng.random_range(0..schedulers);
    world.submit(number, at);
    number
}

/// Hands in many jobs at once, so that urgent ones find all workers full.
fn burst(world: &mut World) {
    for _ in 0..BURST_JOBS {
        hand_in(world);
    }
}

fn any_node(world: &mut World) -> Node {
    let (schedulers, executors) = world.size();
    if world.rng.random_bool(0.5) {
        Node::Scheduler(world.rng.random_range(0..schedulers))
    } else {
        Node::Executor(world.rng.random_range(0..executors))
    }
}

fn fault(world: &mut World) {
    let node = any_node(world);
    let (_, executors) = world.size();
    let worker = world.rng.random_range(0..executors);
    let kind = world.rng.random_range(0..13);
    world.print(node, &format!("fault {kind}, worker {worker}"));
    match kind {
        0 | 1 => {
            if world.is_node_up(node) {
                let silent = world.rng.random_bool(0.5);
                let away = world.rng.random_range(20_000..3_000_000);
                world.kill(node, silent, away);
            }
        }
        2 => {
            let span = world.rng.random_range(50_000..4_000_000);
            world.freeze(node, span);
        }
        3 | 4 => {
            let other = any_node(world);
            world.cut(node, other);
            if world.rng.random_bool(0.6) {
                world.cut(other, node);
            }
        }
        5 => world.heal(),
        6 => world.reset_links(node),
        7 => world.crash_worker(worker),
        8 => world.replace_worker(worker),
        9 => {
            let slowdown = world.rng.random_range(1.0..7.0);
            world.workers[worker].slowdown = slowdown;
        }
        10 => world.workers[worker].is_failing = world.rng.random_bool(0.5),
        11 => world.late_share = [0.0, 0.05, 0.2][world.rng.random_range(0..3)],
        _ => world.lost_share = [0.0, 0.03, 0.1][world.rng.random_range(0..3)],
    }
}

/// Links two schedulers once more, or breaks one link of a scheduler.
fn double_or_break(world: &mut World) {
    let (schedulers, _) = world.size();
    let a = Node::Scheduler(world.rng.random_range(0..schedulers));
    let b = Node::Scheduler(world.rng.random_range(0..schedulers));
    if world.rng.random_bool(0.5) {
        world.add_link(a, b);
    } else {
        world.reset_link(a);
    }
}

/// Loses an executor without anybody hearing of it, and one in three times a scheduler with it, which starts anew soon.
fn lose_again(world: &mut World) {
    let (schedulers, executors) = world.size();
    let n = world.rng.random_range(0..executors);
    let away = world.rng.random_range(400_000..2_500_000);
    if world.is_node_up(Node::Executor(n)) {
        world.kill(Node::Executor(n), true, away);
    }
    if world.rng.random_bool(0.33) {
        let scheduler = Node::Scheduler(world.rng.random_range(0..schedulers));
        let away = world.rng.random_range(100_000..900_000);
        if world.is_node_up(scheduler) {
            world.kill(scheduler, false, away);
        }
    }
}

/// Kills all schedulers, all executors, or everybody. Each comes back by itself. With `workers`, those lose
/// power at the same moment as everybody.
fn lose_many(world: &mut World, workers: bool) {
    let (schedulers, executors) = world.size();
    let which = world.rng.random_range(0..3);
    let silent = world.rng.random_bool(0.5);
    if workers && which == 2 {
        for number in 0..executors {
            world.lose_power(number);
        }
    }
    let nodes = (0..schedulers).map(Node::Scheduler);
    let nodes = nodes.chain((0..executors).map(Node::Executor));
    for node in nodes {
        let spared = match node {
            Node::Scheduler(_) => which == 1,
            Node::Executor(_) => which == 0,
        };
        if !spared && world.is_node_up(node) {
            let away = world.rng.random_range(100_000..1_600_000);
            world.kill(node, silent, away);
        }
    }
}

/// Ends all faults and lets what is left of them pass.
fn calm(world: &mut World) {
    world.heal();
    world.set_unserved(std::collections::BTreeSet::new());
    for zone in (0..ZONES).map(|n| format!("z{n}")) {
        if world.is_evacuated(&zone) {
            world.set_evacuated(&zone, false);
        }
    }
    world.late_share = 0.0;
    world.lost_share = 0.0;
    let (_, executors) = world.size();
    for number in 0..executors {
        world.replace_worker(number);
        world.workers[number].slowdown = 1.0;
        world.workers[number].is_failing = false;
        world.workers[number].resize(world.now, CAPACITY);
    }
    world.run(Duration::from_secs(14));
}
