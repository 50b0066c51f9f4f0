//! Randomised runs of the dispatch plane: fixed seeds.

use std::time::Duration;

use stackcourse_testutils::dispatch::run;
use stackcourse_testutils::dispatch::run::RunPlan;

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
            cell: 0,
            trace: false,
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
            trace: false,
        });
        assert_eq!(report.violation, None, "seed {seed}");
        assert!(report.starts > 0, "seed {seed} started nothing");
    }
}

#[test]
fn test_dispatch_run_is_reproduced_by_its_seed() {
    assert_eq!(run::run(7, SPAN), run::run(7, SPAN));
}
