//! Guards against a large catalog that reaches the entries on small machines late and breaks their links.
//!
//! An entry that has the new catalog sends it to each peer that is behind. If it does so again on each
//! heartbeat of such a peer, without waiting for the copy on its way, copies of 250 KB fill the links of
//! small machines (25 Mbit/s). The store's answer and the heartbeats wait behind them, links break, and new
//! links start with new copies: entries used the old catalog for four seconds, one send queue grew to 26.7 MB
//! within 400 ms, and nine of ten jobs failed.

use std::time::Duration;

use stackcourse_lib::dispatch::catalog::Catalog;
use stackcourse_lib::dispatch::catalog::Queue;
use stackcourse_lib::dispatch::policy::Policy;
use stackcourse_testutils::dispatch::network::Node;
use stackcourse_testutils::dispatch::world::World;

const SCHEDULERS: usize = 10;
const LARGE: usize = 4;
const EXECUTORS: usize = 30;
/// The bandwidths of large and small machines, 200 Mbit/s and 25 Mbit/s, in bytes per second.
const LARGE_LINK: u64 = 25_000_000;
const SMALL_LINK: u64 = 3_125_000;
/// A catalog of this many queues takes about 250 KB.
const QUEUES: usize = 1500;
/// The time within which all schedulers must use an accepted catalog.
const MAX_DELAY: Duration = Duration::from_secs(2);

fn catalog(version: u64, queues: usize) -> Catalog {
    let queue = |number: usize| Queue {
        name: format!("queue-{number}"),
        host: format!("host-{number}.example"),
        path_prefix: format!("/queue-{number}/"),
        service: "quotes".to_owned(),
        max_attempts: 3,
        extension: 1.6,
        objective_ms: 60,
        ..Queue::default()
    };
    Catalog {
        version,
        queues: (0..queues).map(queue).collect(),
        ..Catalog::default()
    }
}

fn world(seed: u64) -> World {
    let policy = Policy::default();
    let mut world = World::with_policy(seed, SCHEDULERS, EXECUTORS, catalog(1, 3), policy);
    for n in 0..SCHEDULERS {
        let rate = if n < LARGE { LARGE_LINK } else { SMALL_LINK };
        world.network.set_bandwidth(Node::Scheduler(n), rate);
    }
    world.run(Duration::from_secs(4));
    world
}

/// Runs until all schedulers use a version, and returns how long that took if it was within [`MAX_DELAY`].
fn time_until(world: &mut World, version: u64) -> Option<Duration> {
    let begin = world.now;
    let step = Duration::from_millis(10);
    while world.now - begin < MAX_DELAY.as_micros() as u64 {
        if (0..SCHEDULERS).all(|n| world.catalog_version(n) >= version) {
            return Some(Duration::from_micros(world.now - begin));
        }
        world.run(step);
    }
    None
}

/// Returns the number of links between schedulers and executors.
fn count_links(world: &World) -> usize {
    (0..SCHEDULERS).map(|n| world.linked_executors(n)).sum()
}

#[test]
fn test_catalog_spread_stable_links() {
    for seed in 1..4 {
        let mut world = world(seed);
        assert_eq!(count_links(&world), SCHEDULERS * EXECUTORS);
        world.accept_catalog(catalog(2, QUEUES), |_| true);
        let took = time_until(&mut world, 2);
        assert!(
            took.is_some(),
            "seed {seed}: not in force within {MAX_DELAY:?}"
        );
        for _ in 0..30 {
            world.run(Duration::from_millis(100));
            assert_eq!(count_links(&world), SCHEDULERS * EXECUTORS, "seed {seed}");
            for n in 0..SCHEDULERS {
                let wait = world.network.backlog(Node::Scheduler(n), world.now);
                let text = format!("seed {seed}: {wait} us of backlog at scheduler {n}");
                assert!(wait < 500_000, "{text}");
            }
        }
    }
}

#[test]
fn test_catalog_spread_unserved_schedulers() {
    for seed in 1..4 {
        let mut world = world(seed);
        world.accept_catalog(catalog(2, QUEUES), |n| n % 3 != 0);
        let took = time_until(&mut world, 2);
        assert!(
            took.is_some(),
            "seed {seed}: not in force within {MAX_DELAY:?}"
        );
        world.run(Duration::from_secs(3));
        assert_eq!(count_links(&world), SCHEDULERS * EXECUTORS, "seed {seed}");
    }
}

#[test]
fn test_catalog_spread_consecutive_versions() {
    for seed in 1..4 {
        let mut world = world(seed);
        for version in 2..5 {
            world.accept_catalog(catalog(version, QUEUES), |_| true);
            world.run(Duration::from_millis(600));
        }
        world.accept_catalog(catalog(5, QUEUES), |n| n % 3 != 0);
        let took = time_until(&mut world, 5);
        assert!(
            took.is_some(),
            "seed {seed}: not in force within {MAX_DELAY:?}"
        );
    }
}
