//! Symptom: four seconds after the store had accepted a new configuration, the entries on small
//! machines still served by the old one; at the same time nine tenths of all jobs failed.
//!
//! Sequence: the configuration had grown to 250 KB. The entries on large machines had it from the store
//! within 20 ms and handed it to each peer that was behind. Until that copy had arrived, each
//! heartbeat of such a peer still named the old version, and each was answered with another whole
//! copy. The links of the small machines (25 Mbit/s) filled up: the store's answer to them waited
//! behind the copies, and so did heartbeats, until links broke; new links began with new copies.
//!
//! Cause: whole state was sent again on each word of a receiver that was behind, without waiting for
//! the copy that was on its way, into queues without a bound.
//!
//! What settled it: version 8 at 26.63 s at large entries, 26.98 to 27.12 s at small ones, and after
//! a restart 36.73 s against 37.73 to 38.59 s, while the delay of the small entries' own loop never
//! passed 300 ms; `send_queue` of one large entry went from 0 to 26.7 MB in 400 ms, in frames to
//! peers that had sent 6 KB of heartbeats meanwhile.

use std::time::Duration;

use stackcourse_lib::dispatch::catalog::Catalog;
use stackcourse_lib::dispatch::catalog::Queue;
use stackcourse_lib::dispatch::policy::Policy;
use stackcourse_testutils::dispatch::network::Node;
use stackcourse_testutils::dispatch::world::World;

const SCHEDULERS: usize = 10;
const LARGE: usize = 4;
const EXECUTORS: usize = 30;
/// 200 Mbit/s and 25 Mbit/s, in bytes a second.
const LARGE_LINK: u64 = 25_000_000;
const SMALL_LINK: u64 = 3_125_000;
/// A configuration of this many queues takes about 250 KB.
const QUEUES: usize = 1500;
/// The time within which an accepted configuration has to be in force.
const BOUND: Duration = Duration::from_secs(2);

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

/// Runs until all schedulers have a version; how long that took, if it was within `BOUND`.
fn time_until(world: &mut World, version: u64) -> Option<Duration> {
    let begin = world.now;
    let step = Duration::from_millis(10);
    while world.now - begin < BOUND.as_micros() as u64 {
        if (0..SCHEDULERS).all(|n| world.catalog_version(n) >= version) {
            return Some(Duration::from_micros(world.now - begin));
        }
        world.run(step);
    }
    None
}

/// The links of executors to all schedulers.
fn linked(world: &World) -> usize {
    (0..SCHEDULERS).map(|n| world.linked_executors(n)).sum()
}

#[test]
fn test_catalog_spread_of_a_large_version_leaves_links_alone() {
    for seed in 1..4 {
        let mut world = world(seed);
        assert_eq!(linked(&world), SCHEDULERS * EXECUTORS);
        world.accept_catalog(catalog(2, QUEUES), |_| true);
        let took = time_until(&mut world, 2);
        assert!(took.is_some(), "seed {seed}: not in force within {BOUND:?}");
        for _ in 0..30 {
            world.run(Duration::from_millis(100));
            assert_eq!(linked(&world), SCHEDULERS * EXECUTORS, "seed {seed}");
            for n in 0..SCHEDULERS {
                let wait = world.network.backlog(Node::Scheduler(n), world.now);
                let text = format!("seed {seed}: {wait} us wait at scheduler {n}");
                assert!(wait < 500_000, "{text}");
            }
        }
    }
}

#[test]
fn test_catalog_spread_reaches_those_that_the_store_turns_away() {
    for seed in 1..4 {
        let mut world = world(seed);
        world.accept_catalog(catalog(2, QUEUES), |n| n % 3 != 0);
        let took = time_until(&mut world, 2);
        assert!(took.is_some(), "seed {seed}: not in force within {BOUND:?}");
        world.run(Duration::from_secs(3));
        assert_eq!(linked(&world), SCHEDULERS * EXECUTORS, "seed {seed}");
    }
}

#[test]
fn test_catalog_spread_of_versions_in_series_is_in_time() {
    for seed in 1..4 {
        let mut world = world(seed);
        for version in 2..5 {
            world.accept_catalog(catalog(version, QUEUES), |_| true);
            world.run(Duration::from_millis(600));
        }
        world.accept_catalog(catalog(5, QUEUES), |n| n % 3 != 0);
        let took = time_until(&mut world, 5);
        assert!(took.is_some(), "seed {seed}: not in force within {BOUND:?}");
    }
}
