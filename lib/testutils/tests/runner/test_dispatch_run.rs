//! Randomised runs of the dispatch plane: fixed seeds.

use std::time::Duration;

use stackcourse_testutils::dispatch::run;
use stackcourse_testutils::dispatch::run::RunPlan;
use stackcourse_testutils::dispatch::run::RunReport;
use stackcourse_testutils::dispatch::run::Suspensions;

const SPAN: Duration = Duration::from_secs(40);

fn assert_seeds(seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let report = run::run(seed, SPAN);
        assert_eq!(report.violation, None, "seed {seed}");
        assert!(report.starts > 0, "seed {seed} started nothing");
        let recovered = report.recovered;
        assert!(
            recovered >= run::RECOVERED,
            "seed {seed} recovered to {recovered} %"
        );
    }
}

#[test]
fn test_dispatch_run_keeps_every_promise_first_seeds() {
    assert_seeds(1..11);
}

#[test]
fn test_dispatch_run_keeps_every_promise_second_seeds() {
    assert_seeds(101..111);
}

/// Seeds that broke a promise once.
#[test]
fn test_dispatch_run_keeps_every_promise_seeds_that_failed_before() {
    for seed in [
        13, 16, 23, 24, 25, 27, 30, 36, 37, 39, 48, 50, 56, 57, 58, 74, 78, 86, 92, 122, 263, 362,
    ] {
        assert_seeds(seed..seed + 1);
    }
}

/// Seeds that broke a promise once when many processes were lost together.
#[test]
fn test_dispatch_run_keeps_every_promise_when_many_are_lost() {
    for seed in [9, 21, 31, 40, 41, 114, 169, 191, 310, 324] {
        let report = run::run_plan(RunPlan {
            seed,
            span: SPAN,
            losses: true,
            ..RunPlan::default()
        });
        assert_eq!(report.violation, None, "seed {seed}");
        assert!(report.starts > 0, "seed {seed} started nothing");
    }
}

/// Guards against jobs that are followed and not taken over, since links of schedulers are doubled and break singly.
#[test]
fn test_dispatch_run_keeps_every_promise_while_links_are_doubled() {
    for seed in 1..13 {
        let report = run::run_plan(RunPlan {
            seed,
            span: SPAN,
            duplicate_links: true,
            losses: seed % 2 == 0,
            leaving: seed % 3 == 0,
            ..RunPlan::default()
        });
        assert_eq!(report.violation, None, "seed {seed}");
        assert!(report.starts > 0, "seed {seed} started nothing");
    }
}

/// Schedulers that place tasks at two of five executors, and at a third when those are full.
#[test]
fn test_dispatch_run_keeps_every_promise_in_cells() {
    for seed in 1..13 {
        let report = run::run_plan(RunPlan {
            seed,
            span: SPAN,
            losses: seed % 2 == 0,
            cell: 2,
            ..RunPlan::default()
        });
        assert_eq!(report.violation, None, "seed {seed}");
        assert!(report.starts > 0, "seed {seed} started nothing");
    }
}

/// Tasks that take workers down, among all other faults.
#[test]
fn test_dispatch_run_keeps_every_promise_with_crashing_tasks() {
    // The witness held two of these for broken: 30 for a start that never arrived, 42 for an end that nobody knew.
    for seed in (1..9).chain([30, 42]) {
        let report = run::run_plan(RunPlan {
            seed,
            span: SPAN,
            crashing: true,
            ..RunPlan::default()
        });
        assert_eq!(report.violation, None, "seed {seed}");
        assert!(report.starts > 0, "seed {seed} started nothing");
    }
}

/// Urgent jobs that stop the runs of others, among all other faults.
#[test]
fn test_dispatch_run_keeps_every_promise_while_runs_are_preempted() {
    let mut preempted = 0;
    for seed in 1..9 {
        let report = run::run_plan(RunPlan {
            seed,
            span: SPAN,
            preempting: true,
            losses: seed % 3 == 0,
            resizing: seed % 2 == 0,
            ..RunPlan::default()
        });
        assert_eq!(report.violation, None, "seed {seed}");
        preempted += report.preempted;
    }
    assert!(preempted > 0, "no run was stopped for an urgent job");
}

/// Workers whose rooms shrink and grow. In seed 48 an executor that was paused for 3.5 s took the old room for the present one.
#[test]
fn test_dispatch_run_keeps_every_promise_when_rooms_change() {
    for seed in (1..9).chain([48]) {
        let report = run::run_plan(RunPlan {
            seed,
            span: SPAN,
            resizing: true,
            ..RunPlan::default()
        });
        assert_eq!(report.violation, None, "seed {seed}");
        assert!(report.starts > 0, "seed {seed} started nothing");
    }
}

/// Zones that are evacuated and taken back, among all other faults, while the store turns some schedulers away.
#[test]
fn test_dispatch_run_keeps_every_promise_when_zones_are_evacuated() {
    for seed in 1..13 {
        let report = run::run_plan(RunPlan {
            seed,
            span: SPAN,
            evacuating: true,
            losses: seed % 3 == 0,
            cell: if seed % 2 == 0 { 2 } else { 0 },
            ..RunPlan::default()
        });
        assert_eq!(report.violation, None, "seed {seed}");
        assert!(report.starts > 0, "seed {seed} started nothing");
    }
}

/// Schedulers that are asked to leave and hand on what would outlast them, among all other faults.
#[test]
fn test_dispatch_run_keeps_every_promise_when_schedulers_leave() {
    // In 1097 and 1160 a job was handed on and begun, the link to the peer broke, and its caller was refused.
    for seed in (1..9).chain([1097, 1160]) {
        let report = run::run_plan(RunPlan {
            seed,
            span: SPAN,
            leaving: true,
            evacuating: seed > 1000,
            losses: seed % 3 == 0 && seed < 1000,
            ..RunPlan::default()
        });
        assert_eq!(report.violation, None, "seed {seed}");
        assert!(report.starts > 0, "seed {seed} started nothing");
    }
}

/// An agent that was killed while its worker's room shrank goes by the room that it had left in the store.
#[test]
fn test_dispatch_run_keeps_the_room_of_a_worker_that_is_recalled() {
    let report = run::run_plan(RunPlan {
        seed: 6434,
        span: SPAN,
        resizing: true,
        leaving: true,
        suspensions: Suspensions::Counted,
        ..RunPlan::default()
    });
    assert_eq!(report.violation, None);
}

/// Executors that are asked to leave and are started again: once one has said that nothing runs there, claims do not wait for it.
#[test]
fn test_dispatch_run_keeps_every_promise_when_executors_leave() {
    for seed in 1..13 {
        let report = run::run_plan(RunPlan {
            seed,
            span: SPAN,
            departing: true,
            leaving: seed % 2 == 0,
            losses: seed % 3 == 0,
            reuse_ids: seed % 4 == 0,
            ..RunPlan::default()
        });
        assert_eq!(report.violation, None, "seed {seed}");
        assert!(report.starts > 0, "seed {seed} started nothing");
    }
}

/// A scheduler that is started again is heard under its name at once, while what its earlier life had begun still runs at an
/// executor that another one has no link to: in these three seeds a task ran twice at once.
#[test]
fn test_dispatch_run_tells_lives_of_a_scheduler_apart() {
    let plan = RunPlan {
        span: SPAN,
        departing: true,
        ..RunPlan::default()
    };
    let losses = RunPlan {
        losses: true,
        ..plan
    };
    let plans = [
        RunPlan { seed: 79, ..plan },
        RunPlan {
            seed: 22,
            crashing: true,
            reuse_ids: true,
            suspensions: Suspensions::Counted,
            ..losses
        },
        RunPlan {
            seed: 23,
            cell: 2,
            ..losses
        },
    ];
    for plan in plans {
        let report = run::run_plan(plan);
        assert_eq!(report.violation, None, "seed {}", plan.seed);
    }
}

/// Workers that come back under the id that they had, with all counts and the clock begun anew, and heartbeats of the lives
/// before that arrive late. While their ends and heartbeats were taken for old ones, half of the seeds with tasks
/// that crash workers never recovered: in 35, 37 and 40 not one of the jobs after all faults was complete.
#[test]
fn test_dispatch_run_recovers_when_workers_come_back_under_their_ids() {
    let plain = [10, 15, 29].map(|seed| (seed, false));
    let crashing = [26, 28, 33, 35, 37, 40].map(|seed| (seed, true));
    for (seed, crashing) in plain.into_iter().chain(crashing) {
        let report = run::run_plan(RunPlan {
            seed,
            span: SPAN,
            reuse_ids: true,
            crashing,
            ..RunPlan::default()
        });
        assert_eq!(report.violation, None, "seed {seed}");
        let recovered = report.recovered;
        assert!(recovered >= run::RECOVERED, "seed {seed}: {recovered} %");
    }
}

fn run_suspended(seed: u64, suspensions: Suspensions) -> RunReport {
    run::run_plan(RunPlan {
        seed,
        span: SPAN,
        suspensions,
        ..RunPlan::default()
    })
}

/// Suspended machines. Where clocks stand still meanwhile, an executor begins tasks under leases that are over for all
/// others, and they run twice: this shows that the check sees it.
#[test]
fn test_dispatch_run_keeps_every_promise_when_machines_are_suspended() {
    let runs_twice = |seed| {
        let broken = run_suspended(seed, Suspensions::Uncounted).violation;
        broken.is_some_and(|what| what.ends_with("runs at two workers at the same time"))
    };
    assert!([17, 18, 35, 37, 38].into_iter().any(runs_twice));
    for seed in [1, 2, 3, 4, 17, 18, 35, 37, 38] {
        let report = run_suspended(seed, Suspensions::Counted);
        assert_eq!(report.violation, None, "seed {seed}");
        assert!(report.starts > 0, "seed {seed} started nothing");
    }
}

#[test]
fn test_dispatch_run_is_reproduced_by_its_seed() {
    assert_eq!(run::run(7, SPAN), run::run(7, SPAN));
}
