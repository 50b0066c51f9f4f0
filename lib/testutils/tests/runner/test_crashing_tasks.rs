//! Tasks that take down each backend server which starts them.
//!
//! Symptom: at a fleet of eleven backend servers nearly all were down for three seconds, twice within six; one of 24
//! short jobs was in time. One task had been started at eight servers in 1.4 s, each of them gone 10 ms later.
//!
//! Sequence: a server is gone; its agent is refused connections for 150 ms and reports all that ran there as lost; the
//! scheduler places each of these tasks again within a millisecond, at the emptiest server that is left; the one that
//! took the first server down takes the next one down, with all that runs there.
//!
//! Cause: only runs that a server listed as failed counted against a task. One that had ended with its server was
//! placed again without a bound, and nothing of it was kept where another scheduler would find it.
//!
//! What settled it: `6a86….0.0.0 at side-pl-hall-b-4: lost` (SC410), seven times at seven agents, all at one scheduler,
//! 164 to 182 ms apart, each followed by the next placing (SC406) within a millisecond; and SC437 of the agents in the
//! first of these tests, which names the task as the youngest run at each of its servers, 11 to 12 ms old.

use std::time::Duration;

use stackcourse_lib::dispatch::model::JobNumber;
use stackcourse_lib::dispatch::model::JobOutcome;
use stackcourse_lib::dispatch::policy::Policy;
use stackcourse_testutils::dispatch::load;
use stackcourse_testutils::dispatch::load::LoadFaults;
use stackcourse_testutils::dispatch::load::LoadPlan;
use stackcourse_testutils::dispatch::load::WorkerVariation;
use stackcourse_testutils::dispatch::network::Node;
use stackcourse_testutils::dispatch::world::World;

/// A fleet that has been up for a while, and a job of which one task takes servers down.
fn world(seed: u64) -> (World, JobNumber) {
    let mut world = World::new(seed, 3, 11);
    world.run(Duration::from_secs(4));
    let number = world.callers.new_job(&mut world.rng, &mut world.witness);
    let job = world.callers.jobs.get_mut(&number).expect("it is new");
    job.crashing_task = Some(0);
    job.fails = false;
    job.work_us = 900_000;
    job.request.steps[0].estimate_ms = 900;
    job.request.patience_ms = 5000;
    (world, number)
}

#[test]
fn test_crashing_task_is_given_up_after_few_crashes() {
    for seed in 1..6 {
        let (mut world, number) = world(seed);
        world.submit(number, 0);
        world.run(Duration::from_secs(7));
        assert_eq!(world.witness.violation, None, "seed {seed}");
        assert!(world.crashes >= 2, "seed {seed}: one crash proves nothing");
        assert!(world.crashes <= 3, "seed {seed}: {} crashes", world.crashes);
        let answers: Vec<JobOutcome> = world.answers.iter().map(|a| a.2).collect();
        assert_eq!(answers, [JobOutcome::Failed], "seed {seed}");
    }
}

/// Two schedulers are lost one after the other while they have the job. What the first has learned
/// of the task goes with it; the agents must know.
#[test]
fn test_crashing_task_is_remembered_when_its_scheduler_is_lost() {
    const KNOWS_ONE_CRASH: Duration = Duration::from_millis(300);
    const AWAY_US: u64 = 10_000_000;
    for seed in 1..6 {
        let (mut world, number) = world(seed);
        for scheduler in 0..2 {
            world.submit(number, scheduler);
            world.run(KNOWS_ONE_CRASH);
            world.kill(Node::Scheduler(scheduler), false, AWAY_US);
            world.run(Duration::from_millis(100));
        }
        world.submit(number, 2);
        world.run(Duration::from_secs(7));
        assert_eq!(world.witness.violation, None, "seed {seed}");
        assert!(world.crashes <= 3, "seed {seed}: {} crashes", world.crashes);
    }
}

/// One job in ten of the shortest kind takes workers down. All queues went down with it (0.355 of the work of the middle
/// half in time, 18 jobs given up for what others did); its queue is confined, and the others go on.
#[test]
fn test_crashing_tasks_of_one_queue_leave_the_other_queues_in_time() {
    const SEEDS: u64 = 4;
    let mut goodput = 0.0;
    for seed in 1..=SEEDS {
        let report = load::run(LoadPlan {
            seed,
            load: 0.72,
            span: Duration::from_secs(12),
            schedulers: 3,
            workers: 11,
            late: 0.0,
            load_skew: 0.0,
            slow: 0,
            faults: LoadFaults {
                crashing: 0.1,
                crashing_kind: Some(0),
                ..LoadFaults::default()
            },
            variation: WorkerVariation::default(),
            policy: Policy::default(),
        });
        assert_eq!(report.violation, None, "seed {seed}");
        goodput += report.goodput_under_faults() / SEEDS as f64;
    }
    assert!(goodput > 0.45, "{goodput} of the work in time");
}

/// At seven tenths of the capacity one job in two hundred takes workers down; the others are in time but for what
/// the first two crashes of each cost. The goodput of one seed spreads by 0.08, so the mean of forty counts: 0.78, and
/// 0.66 where such tasks are placed again without a bound.
#[test]
fn test_crashing_tasks_leave_other_jobs_in_time() {
    const SEEDS: u64 = 40;
    const FIRST: u64 = 8;
    let mut goodput = 0.0;
    let mut wrongly_failed = 0;
    for seed in 1..=SEEDS {
        let report = load::run(LoadPlan {
            seed,
            load: 0.7,
            span: Duration::from_secs(10),
            schedulers: 3,
            workers: 11,
            late: 0.0,
            load_skew: 0.0,
            slow: 0,
            faults: LoadFaults {
                crashing: 0.005,
                ..LoadFaults::default()
            },
            variation: WorkerVariation::default(),
            policy: Policy::default(),
        });
        assert_eq!(report.violation, None, "seed {seed}");
        goodput += report.goodput_under_faults() / SEEDS as f64;
        if seed <= FIRST {
            wrongly_failed += report.wrongly_failed;
        }
    }
    assert!(goodput > 0.75, "{goodput} of the other work in time");
    assert_eq!(wrongly_failed, 0, "jobs given up for what others did");
}
