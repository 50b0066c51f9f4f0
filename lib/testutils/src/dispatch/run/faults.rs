//! The faults of randomised runs. Each is drawn from the world's random numbers.

use std::collections::BTreeSet;

use rand::Rng;
use stackcourse_lib::prelude::Duration;

use super::ZONES;
use crate::dispatch::network::Node;
use crate::dispatch::world::CAPACITY;
use crate::dispatch::world::World;

/// The longest time that such a worker is down, in microseconds.
const QUICK_RESTART_US: u64 = 30_000;
/// The probability that its executor is cut off within [`QUICK_RESTART_US`] of such a restart.
const QUICK_RESTART_ISOLATED: f64 = 0.3;
/// The share of the orders to the worker that are late meanwhile.
const QUICK_RESTART_LATE_SHARE: f64 = 0.95;
/// The share of the orders to its worker that are late meanwhile.
const ISOLATION_LATE_SHARE: f64 = 0.5;

/// Changes the capacity of a random worker to between a quarter and all of [`CAPACITY`].
pub(super) fn resize(world: &mut World) {
    let (_, executors) = world.size();
    let n = world.rng.random_range(0..executors);
    let capacity = world.rng.random_range(CAPACITY / 4..=CAPACITY);
    let now = world.now;
    world.workers[n].resize(now, capacity);
    world.print(Node::Executor(n), &format!("capacity {capacity}"));
}

/// Evacuates a random zone, or ends its evacuation. In a third of the calls the store serves other
/// schedulers than before.
pub(super) fn evacuate(world: &mut World) {
    if world.rng.random_bool(0.33) {
        let (schedulers, _) = world.size();
        let unserved = (0..schedulers).filter(|_| world.rng.random_bool(0.4));
        let unserved = unserved.collect();
        world.set_unserved(unserved);
    }
    let zone = format!("z{}", world.rng.random_range(0..ZONES));
    let evacuated = !world.is_evacuated(&zone);
    world.print(
        Node::Scheduler(0),
        &format!("{zone} evacuated: {evacuated}"),
    );
    world.set_evacuated(&zone, evacuated);
}

/// Suspends a random process for up to five seconds. In a quarter of the calls another one is suspended with
/// it.
pub(super) fn suspend(world: &mut World, counted: bool) {
    let span = world.rng.random_range(100_000..5_000_000);
    let others = world.rng.random_bool(0.25);
    for _ in 0..=u32::from(others) {
        let node = random_node(world);
        world.print(node, &format!("suspended for {span} us"));
        world.suspend(node, span, counted);
    }
}

/// Cuts a random executor off from all schedulers for up to two and a half seconds.
pub(super) fn isolate(world: &mut World) {
    let (_, executors) = world.size();
    let n = world.rng.random_range(0..executors);
    let span = world.rng.random_range(300_000..2_500_000);
    world.print(Node::Executor(n), &format!("isolated for {span} us"));
    world.isolate(n, span, ISOLATION_LATE_SHARE);
}

/// Restarts a random worker at once under its old id, if it is up. Its executor may be cut off soon after.
pub(super) fn restart_worker_quickly(world: &mut World) {
    let (_, executors) = world.size();
    let n = world.rng.random_range(0..executors);
    if !world.workers[n].up {
        return;
    }
    let downtime = world.rng.random_range(0..QUICK_RESTART_US);
    world.print(
        Node::Executor(n),
        &format!("worker restarts in {downtime} us"),
    );
    world.restart_quickly(n, downtime);
    if world.rng.random_bool(QUICK_RESTART_ISOLATED) {
        let pause = world.rng.random_range(0..QUICK_RESTART_US);
        world.run(Duration::from_micros(pause));
        let span = world.rng.random_range(300_000..2_500_000);
        world.print(Node::Executor(n), &format!("isolated for {span} us"));
        world.isolate(n, span, QUICK_RESTART_LATE_SHARE);
    }
}

fn random_node(world: &mut World) -> Node {
    let (schedulers, executors) = world.size();
    if world.rng.random_bool(0.5) {
        Node::Scheduler(world.rng.random_range(0..schedulers))
    } else {
        Node::Executor(world.rng.random_range(0..executors))
    }
}

pub(super) fn inject_fault(world: &mut World) {
    let node = random_node(world);
    let (_, executors) = world.size();
    let worker = world.rng.random_range(0..executors);
    let kind = world.rng.random_range(0..13);
    world.print(node, &format!("fault {kind}, worker {worker}"));
    match kind {
        0 | 1 => {
            if world.is_node_up(node) {
                let silent = world.rng.random_bool(0.5);
                let downtime = world.rng.random_range(20_000..3_000_000);
                world.kill(node, silent, downtime);
            }
        }
        2 => {
            let span = world.rng.random_range(50_000..4_000_000);
            world.freeze(node, span);
        }
        3 | 4 => {
            let other = random_node(world);
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

/// Adds a link between two linked schedulers, or resets one link of a scheduler.
pub(super) fn add_or_reset_link(world: &mut World) {
    let (schedulers, _) = world.size();
    let a = Node::Scheduler(world.rng.random_range(0..schedulers));
    let b = Node::Scheduler(world.rng.random_range(0..schedulers));
    if world.rng.random_bool(0.5) {
        world.add_link(a, b);
    } else {
        world.reset_link(a);
    }
}

/// Kills an executor without its peers learning of it. In a third of the calls a scheduler is killed with it
/// and restarted soon.
pub(super) fn kill_executor(world: &mut World) {
    let (schedulers, executors) = world.size();
    let n = world.rng.random_range(0..executors);
    let downtime = world.rng.random_range(400_000..2_500_000);
    if world.is_node_up(Node::Executor(n)) {
        world.kill(Node::Executor(n), true, downtime);
    }
    if world.rng.random_bool(0.33) {
        let scheduler = Node::Scheduler(world.rng.random_range(0..schedulers));
        let downtime = world.rng.random_range(100_000..900_000);
        if world.is_node_up(scheduler) {
            world.kill(scheduler, false, downtime);
        }
    }
}

/// Kills all schedulers, all executors, or all processes; each is restarted later. With `workers`, killing
/// all processes also cuts the power of all workers.
pub(super) fn kill_many(world: &mut World, workers: bool) {
    let (schedulers, executors) = world.size();
    let which = world.rng.random_range(0..3);
    let silent = world.rng.random_bool(0.5);
    let killed = ["all schedulers", "all executors", "all processes"][which];
    world.print(Node::Scheduler(0), &format!("{killed} are killed"));
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
            let downtime = world.rng.random_range(100_000..1_600_000);
            world.kill(node, silent, downtime);
        }
    }
}

/// Ends all faults and waits until their effects have passed.
pub(super) fn end_faults(world: &mut World) {
    world.heal();
    world.set_unserved(BTreeSet::new());
    for zone in (0..ZONES).map(|n| format!("z{n}")) {
        if world.is_evacuated(&zone) {
            world.set_evacuated(&zone, false);
        }
    }
    world.late_share = 0.0;
    world.lost_share = 0.0;
    world.ended_share = 0.0;
    let (_, executors) = world.size();
    for number in 0..executors {
        world.replace_worker(number);
        world.workers[number].slowdown = 1.0;
        world.workers[number].is_failing = false;
        world.workers[number].resize(world.now, CAPACITY);
    }
    world.run(Duration::from_secs(14));
}
