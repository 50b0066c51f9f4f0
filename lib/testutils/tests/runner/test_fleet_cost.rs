//! Guards against idle traffic that grows with the square of the fleet: each entry sends all members to every
//! other one each second, and each executor reports to all entries ten times a second and is answered as
//! often. On a quiet day of a fleet of 55 entries and 240 executors the entries on small machines then used
//! all of their 0.12 cores, and 33 MB a second crossed between zones; with 5 entries and 15 executors, at
//! seven times the load per machine, they used 0.013 cores.
//!
//! Frames and bytes are counted on the simulated network and do not depend on the machine that runs the test.

use std::time::Duration;

use stackcourse_lib::dispatch::model::JobNumber;
use stackcourse_lib::dispatch::policy::Policy;
use stackcourse_testutils::dispatch::callers::Callers;
use stackcourse_testutils::dispatch::network::Node;
use stackcourse_testutils::dispatch::network::Traffic;
use stackcourse_testutils::dispatch::world::Planned;
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

/// The largest fleet that is not divided into partitions, nearly.
const UNDIVIDED: (usize, usize, usize) = (55, 240, 5);
/// The most frames a second, in both directions, of a scheduler of that fleet at rest: half of those with which its
/// processes took twice the processor time that they may.
const UNDIVIDED_FRAMES: u64 = 1_212;

/// Guards against a fleet whose processes are busy with each other while there is nothing to do.
#[test]
fn test_fleet_cost_undivided_at_rest() {
    let frames = frames_per_s(idle_traffic(UNDIVIDED, Node::Scheduler(1)));
    assert!(
        frames <= UNDIVIDED_FRAMES,
        "{frames} frames a second at a scheduler"
    );
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

/// The numbers of schedulers, executors and zones of a fleet in which many jobs are cancelled.
const CANCELLING: (usize, usize, usize) = (5, 40, 5);
/// The number of jobs, of which each is cancelled.
const JOBS: u64 = 200;
/// The time between two submissions, in microseconds.
const JOB_GAP_US: u64 = 5_000;
/// When a job ends or is cancelled after its submission, in microseconds.
const JOB_US: u64 = 300_000;

/// Returns the frames and the bytes that all schedulers send while jobs end by themselves, or are cancelled.
fn sent_with_jobs(cancelled: bool) -> (u64, u64) {
    let catalog = Callers::default().catalog;
    let mut world = World::with_zones(1, CANCELLING, catalog, Policy::default());
    world.run(Duration::from_secs(3));
    world.network.reset_traffic();
    let (schedulers, _, _) = CANCELLING;
    for n in 0..JOBS {
        let number = new_job(&mut world, cancelled);
        let scheduler = n as usize % schedulers;
        let at = n * JOB_GAP_US;
        world.plan(at, Planned::Submit(number, scheduler));
        if cancelled {
            world.plan(at + JOB_US, Planned::Cancel(number, scheduler));
        }
    }
    world.run(Duration::from_secs(2));
    assert_eq!(world.witness.violation, None);
    let traffic = (0..schedulers).map(|n| world.network.traffic_of(Node::Scheduler(n)));
    let sum = |(frames, bytes): (u64, u64), t: Traffic| (frames + t.frames[0], bytes + t.bytes[0]);
    traffic.fold((0, 0), sum)
}

/// Creates a job of two tasks that end after [`JOB_US`], or would go on for longer if it is to be cancelled.
fn new_job(world: &mut World, cancelled: bool) -> JobNumber {
    let number = world.callers.new_job(&mut world.rng, &mut world.witness);
    let job = world.callers.jobs.get_mut(&number).expect("it is new");
    job.fails = false;
    job.work_us = if cancelled { 3 * JOB_US } else { JOB_US };
    job.request.steps[0].estimate_ms = 300;
    job.request.steps[0].count = 2;
    job.submissions = 3;
    let seen = world.witness.jobs.get_mut(&number).expect("it is new");
    seen.tasks = 2;
    number
}

/// A cancel goes to every executor. It must not cost each of them a message of its own, only some bytes in one that
/// is sent anyway: a large fleet has hundreds of cancels a second.
#[test]
fn test_fleet_cost_cancels() {
    let (frames, bytes) = sent_with_jobs(false);
    let (frames_cancelled, bytes_cancelled) = sent_with_jobs(true);
    let (_, executors, _) = CANCELLING;
    let more_frames = frames_cancelled.saturating_sub(frames) / JOBS;
    assert!(
        more_frames < 15,
        "{more_frames} more frames for each cancel"
    );
    let more_bytes = bytes_cancelled.saturating_sub(bytes) / JOBS;
    let limit = executors as u64 * 10 + 300;
    assert!(
        more_bytes < limit,
        "{more_bytes} more bytes for each cancel"
    );
}
