//! Symptom: on a quiet day of 55 entries and 240 executors the entries on small machines stood at their
//! 0.12 cores, at a seventh of the load a machine that a fleet of 5 and 15 bore at 0.013, and 33 MB a second
//! crossed between zones.
//!
//! Cause: what an entry sends and receives at rest grew with the square of the fleet. Each told all members to
//! everybody once a second, executors reported to all entries ten times a second, and were answered as often.
//!
//! Frames and bytes are counted on the model; they do not depend on the machine that runs the test.

use std::time::Duration;

use stackcourse_lib::dispatch::policy::Policy;
use stackcourse_testutils::dispatch::callers::Callers;
use stackcourse_testutils::dispatch::network::Node;
use stackcourse_testutils::dispatch::network::Traffic;
use stackcourse_testutils::dispatch::world::World;

/// Schedulers, executors, zones.
const SMALL: (usize, usize, usize) = (5, 15, 5);
const LARGE: (usize, usize, usize) = (40, 120, 5);
/// For how long is counted, in seconds.
const SPAN: u64 = 2;

/// What a process sends and receives in [`SPAN`] while nothing happens.
fn at_rest(size: (usize, usize, usize), node: Node) -> Traffic {
    let catalog = Callers::default().catalog;
    let mut world = World::with_zones(1, size, catalog, Policy::default());
    world.run(Duration::from_secs(3));
    world.network.reset_traffic();
    world.run(Duration::from_secs(SPAN));
    world.network.traffic_of(node)
}

fn bytes_a_second(load: Traffic) -> u64 {
    load.bytes.iter().sum::<u64>() / SPAN
}

fn frames_a_second(load: Traffic) -> u64 {
    load.frames.iter().sum::<u64>() / SPAN
}

/// With one cell of all executors, as it was, it is 800 frames a second at an executor and 3,180 at a scheduler.
#[test]
fn test_fleet_cost_of_heartbeats_goes_by_the_cell() {
    let frames = frames_a_second(at_rest(LARGE, Node::Executor(1)));
    assert!(frames < 450, "{frames} frames a second at an executor");
    let frames = frames_a_second(at_rest(LARGE, Node::Scheduler(1)));
    assert!(frames < 2_200, "{frames} frames a second at a scheduler");
}

#[test]
fn test_fleet_cost_of_members_is_none_at_rest() {
    let load = at_rest(LARGE, Node::Scheduler(1));
    let bytes = bytes_a_second(load);
    // A thousand frames a second each way, of some forty bytes. It was 200,000 with members told each second.
    assert!(bytes < 60_000, "{bytes} bytes a second at a scheduler");
    let load = at_rest(SMALL, Node::Scheduler(1));
    let bytes = bytes_a_second(load);
    assert!(bytes < 20_000, "{bytes} bytes a second in a small fleet");
}
