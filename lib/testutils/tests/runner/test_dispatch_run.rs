//! Randomised runs of the dispatch plane: fixed seeds.

use std::time::Duration;

use stackcourse_testutils::dispatch::run;

const SPAN: Duration = Duration::from_secs(40);

fn assert_seeds(seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let report = run::run(seed, SPAN);
        assert_eq!(report.violation, None, "seed {seed}");
        assert!(report.starts > 0, "seed {seed} started nothing");
        let recovered = report.recovered;
        assert!(recovered >= run::RECOVERED, "seed {seed} recovered to {recovered} %");
    }
}

#[test]
fn test_dispatch_run_keeps_every_promise_first_seeds() {
    assert_seeds(1..21);
}

#[test]
fn test_dispatch_run_keeps_every_promise_second_seeds() {
    assert_seeds(101..121);
}

#[test]
fn test_dispatch_run_is_reproduced_by_its_seed() {
    assert_eq!(run::run(7, SPAN), run::run(7, SPAN));
}
