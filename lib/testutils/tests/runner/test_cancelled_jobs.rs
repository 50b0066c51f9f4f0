//! Guards against jobs that are started although their cancel was acknowledged, because every scheduler that has
//! heard of the cancel is frozen, dead or just started when another one takes the job up.

use std::time::Duration;

use stackcourse_lib::dispatch::model::JobNumber;
use stackcourse_lib::dispatch::model::JobOutcome;
use stackcourse_testutils::dispatch::network::Node;
use stackcourse_testutils::dispatch::world::Planned;
use stackcourse_testutils::dispatch::world::World;

const FIRST: usize = 0;
const SECOND: usize = 1;
const THIRD: usize = 2;

/// Returns a fleet that has been up for some seconds, and a job of two tasks that work for three seconds.
fn world(seed: u64) -> (World, JobNumber) {
    let mut world = World::new(seed, 3, 4);
    world.keeps_requests = true;
    world.run(Duration::from_secs(4));
    let number = world.callers.new_job(&mut world.rng, &mut world.witness);
    let job = world.callers.jobs.get_mut(&number).expect("it is new");
    job.fails = false;
    job.work_us = 3_000_000;
    job.request.steps[0].estimate_ms = 3000;
    job.request.steps[0].count = 2;
    job.request.patience_ms = 8000;
    // The caller submits it as planned, and not by itself.
    job.submissions = 3;
    (world, number)
}

fn plan(world: &mut World, ms: u64, planned: Planned) {
    world.plan(ms * 1000, planned);
}

/// The second scheduler reads the job's second submission after a freeze in which the first one took the cancel,
/// while the first one is frozen and the third one has been restarted.
#[test]
fn test_cancelled_job_of_frozen_scheduler() {
    for seed in 1..6 {
        let (mut world, number) = world(seed);
        let (first, second, third) = (
            Node::Scheduler(FIRST),
            Node::Scheduler(SECOND),
            Node::Scheduler(THIRD),
        );
        plan(&mut world, 0, Planned::Submit(number, FIRST));
        plan(&mut world, 400, Planned::Freeze(second, 3_400_000));
        plan(&mut world, 1300, Planned::Submit(number, SECOND));
        plan(&mut world, 1395, Planned::Cancel(number, FIRST));
        plan(&mut world, 2600, Planned::Kill(third, 1_100_000));
        plan(&mut world, 3690, Planned::Freeze(first, 2_900_000));
        plan(&mut world, 3940, Planned::Kill(third, 600_000));
        world.run(Duration::from_secs(9));
        assert_eq!(world.witness.violation, None, "seed {seed}");
        assert_eq!(world.witness.starts, 2, "seed {seed}");
        let outcomes: Vec<JobOutcome> = world.answers.iter().map(|a| a.2).collect();
        assert_eq!(outcomes, [JobOutcome::Cancelled; 2], "seed {seed}");
        let waited_us = world.answers[1].0 - 14_000_000;
        assert!(
            waited_us < 5_500_000,
            "answered at once, not when it expires"
        );
    }
}

/// The same after all schedulers were killed: the executors remember the cancel.
#[test]
fn test_cancelled_job_after_loss_of_all_schedulers() {
    for seed in 1..6 {
        let (mut world, number) = world(seed);
        plan(&mut world, 0, Planned::Submit(number, FIRST));
        plan(&mut world, 1000, Planned::Cancel(number, FIRST));
        for scheduler in [FIRST, SECOND, THIRD] {
            let node = Node::Scheduler(scheduler);
            plan(&mut world, 1500, Planned::Kill(node, 300_000));
        }
        plan(&mut world, 4200, Planned::Submit(number, SECOND));
        world.run(Duration::from_secs(9));
        assert_eq!(world.witness.violation, None, "seed {seed}");
        assert_eq!(world.witness.starts, 2, "seed {seed}");
        let outcomes: Vec<JobOutcome> = world.answers.iter().map(|a| a.2).collect();
        assert_eq!(outcomes, [JobOutcome::Cancelled; 2], "seed {seed}");
    }
}

/// All executors that stopped the job are killed after its cancel: the schedulers tell the new ones.
#[test]
fn test_cancelled_job_after_loss_of_all_executors() {
    for seed in 1..6 {
        let (mut world, number) = world(seed);
        let second = Node::Scheduler(SECOND);
        plan(&mut world, 0, Planned::Submit(number, FIRST));
        plan(&mut world, 500, Planned::Freeze(second, 3_400_000));
        plan(&mut world, 1300, Planned::Submit(number, SECOND));
        plan(&mut world, 1395, Planned::Cancel(number, FIRST));
        for executor in 0..4 {
            let node = Node::Executor(executor);
            plan(&mut world, 2000, Planned::Kill(node, 300_000));
        }
        plan(
            &mut world,
            3895,
            Planned::ResetLinks(Node::Scheduler(FIRST)),
        );
        plan(
            &mut world,
            3896,
            Planned::Freeze(Node::Scheduler(FIRST), 1_500_000),
        );
        plan(
            &mut world,
            3896,
            Planned::Freeze(Node::Scheduler(THIRD), 1_500_000),
        );
        world.run(Duration::from_secs(9));
        assert_eq!(world.witness.violation, None, "seed {seed}");
        assert_eq!(world.witness.starts, 2, "seed {seed}");
    }
}
