//! Faults around cancels: while a job is cancelled, schedulers freeze, die and lose their links, and the job is
//! submitted again at one that is frozen, which reads the request when it wakes.
//!
//! A cancel that is remembered by processes only is lost with them. Faults that are drawn one by one seldom hit
//! all processes that know of the same cancel, so they are drawn together here.

use rand::Rng;
use rand::seq::SliceRandom;
use stackcourse_lib::dispatch::model::JobNumber;

use crate::dispatch::callers::RESUBMIT_US;
use crate::dispatch::network::Node;
use crate::dispatch::world::Planned;
use crate::dispatch::world::World;

/// How long after its job's first submission a scheduler freezes, in microseconds.
const FREEZE_AFTER_US: std::ops::Range<u64> = 100_000..1_200_000;
/// How long it stays frozen, in microseconds.
const FREEZE_US: std::ops::Range<u64> = 1_500_000..4_000_000;
/// The latest cancel after the first submission, in microseconds.
const LAST_CANCEL_US: u64 = 1_700_000;
/// How long before the frozen scheduler wakes the one with the job is lost at most, in microseconds.
const LOST_BEFORE_US: u64 = 300_000;
/// How long the scheduler with the job is frozen, in microseconds.
const LOST_US: std::ops::Range<u64> = 1_000_000..3_500_000;
/// How long a killed process is down, in microseconds.
const DOWN_US: std::ops::Range<u64> = 100_000..1_200_000;
/// The latest kill of another scheduler after the frozen one wakes, in microseconds.
const LAST_KILL_US: u64 = 1_000_000;
/// The probability that the cancel comes to the scheduler with the job.
const CANCEL_AT_FIRST: f64 = 0.7;
/// The probability that a further scheduler is killed before the frozen one wakes.
const KILL_BEFORE: f64 = 0.8;
/// The probability that it is killed (again) as the frozen one wakes.
const KILL_AGAIN: f64 = 0.6;
/// The probability that an executor is killed after the cancel.
const KILL_EXECUTOR: f64 = 0.1;

/// Submits a job at a random scheduler, and plans its cancel and the faults around it.
pub fn plan(world: &mut World, number: JobNumber) {
    let (schedulers, executors) = world.size();
    let mut order: Vec<usize> = (0..schedulers).collect();
    order.shuffle(&mut world.rng);
    let [first, frozen, third] = order[..] else {
        return world.submit(number, order[0]);
    };
    world.submit(number, first);
    let freeze_at = world.rng.random_range(FREEZE_AFTER_US);
    let freeze = world.rng.random_range(FREEZE_US);
    let wakes_at = freeze_at + freeze;
    world.plan(freeze_at, Planned::Freeze(Node::Scheduler(frozen), freeze));
    world.plan(RESUBMIT_US, Planned::Submit(number, frozen));
    let cancel_at = world.rng.random_range(freeze_at..LAST_CANCEL_US);
    let place = match world.rng.random_bool(CANCEL_AT_FIRST) {
        true => first,
        false => order[world.rng.random_range(0..order.len())],
    };
    world.plan(cancel_at, Planned::Cancel(number, place));
    let third = Node::Scheduler(third);
    if wakes_at > cancel_at && world.rng.random_bool(KILL_BEFORE) {
        let at = world.rng.random_range(cancel_at..wakes_at);
        let downtime = world.rng.random_range(DOWN_US);
        world.plan(at, Planned::Kill(third, downtime));
    }
    if world.rng.random_bool(KILL_AGAIN) {
        let at = world
            .rng
            .random_range(wakes_at - LOST_BEFORE_US..wakes_at + LAST_KILL_US);
        let downtime = world.rng.random_range(DOWN_US);
        world.plan(at, Planned::Kill(third, downtime));
    }
    let at = wakes_at - world.rng.random_range(0..LOST_BEFORE_US);
    plan_loss(world, at, Node::Scheduler(first));
    if world.rng.random_bool(KILL_EXECUTOR) {
        let executor = Node::Executor(world.rng.random_range(0..executors));
        let downtime = world.rng.random_range(DOWN_US);
        world.plan(cancel_at, Planned::Kill(executor, downtime));
    }
}

/// Plans how the scheduler with the job is lost: it freezes, is killed, loses its links, or goes on.
fn plan_loss(world: &mut World, at: u64, node: Node) {
    let loss = match world.rng.random_range(0..10) {
        0..=4 => Planned::Freeze(node, world.rng.random_range(LOST_US)),
        5..=6 => Planned::Kill(node, world.rng.random_range(DOWN_US)),
        7..=8 => Planned::ResetLinks(node),
        _ => return,
    };
    world.plan(at, loss);
}
