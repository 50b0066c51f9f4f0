//! Guards against idle traffic that grows with the square of the fleet: each entry sends all members to every
//! other one each second, and each executor reports to all entries ten times a second and is answered as
//! often. On a quiet day of a fleet of 55 entries and 240 executors the entries on small machines then used
//! all of their 0.12 cores, and 33 MB a second crossed between zones; with 5 entries and 15 executors, at
//! seven times the load per machine, they used 0.013 cores.
//!
//! Frames and bytes are counted on the simulated network and do not depend on the machine that runs the test.

use std::time::Duration;

use stackcourse_lib::dispatch::policy::Policy;
use stackcourse_testutils::dispatch::callers::Callers;
use stackcourse_testutils::dispatch::network::Node;
use stackcourse_testutils::dispatch::network::Traffic;
use stackcourse_testutils::dispatch::world::World;

/// The numbers of schedulers, executors and zones of a small and a large fleet.
const SMALL: (usize, usize, usize) = (5, 15, 5);
const LARGE: (usize, usize, usize) = (40, 120, 5);
/// For how long the traffic is counted, in seconds.
const SPAN: u64 = 2;

/// Returns the traffic of a process in [`SPAN`] without any jobs.
fn idle_traffic(size: (usize, usize, usize), node: Node) -> Traffic {
    let catalog = Callers::default().catalog;
    let mut world = World::with_zones(1, size, catalog, Policy::default());
    world.run(Duration::from_secs(3));
    world.network.reset_traffic();
    world.run(Duration::from_secs(SPAN));
    world.network.traffic_of(node)
}

fn bytes_per_s(traffic: Traffic) -> u64 {
    traffic.bytes.iter().sum::<u64>() / SPAN
}

fn frames_per_s(traffic: Traffic) -> u64 {
    traffic.frames.iter().sum::<u64>() / SPAN
}

/// With a single cell of all executors it is 800 frames a second at an executor and 3,180 at a scheduler.
#[test]
fn test_fleet_cost_heartbeats() {
    let frames = frames_per_s(idle_traffic(LARGE, Node::Executor(1)));
    assert!(frames < 450, "{frames} frames a second at an executor");
    let frames = frames_per_s(idle_traffic(LARGE, Node::Scheduler(1)));
    assert!(frames < 2_200, "{frames} frames a second at a scheduler");
}

#[test]
fn test_fleet_cost_members() {
    let traffic = idle_traffic(LARGE, Node::Scheduler(1));
    let bytes = bytes_per_s(traffic);
    // A thousand frames a second in each direction, of about forty bytes. With the members in a message each
    // second it is 200,000 bytes.
    assert!(bytes < 60_000, "{bytes} bytes a second at a scheduler");
    let traffic = idle_traffic(SMALL, Node::Scheduler(1));
    let bytes = bytes_per_s(traffic);
    assert!(bytes < 20_000, "{bytes} bytes a second in a small fleet");
}
