//! Goodput on the virtual clock. The runs are repeatable: the same seed gives the same figures.

use std::time::Duration;

use stackcourse_lib::dispatch::policy::Policy;
use stackcourse_testutils::dispatch::load;
use stackcourse_testutils::dispatch::load::LoadPlan;
use stackcourse_testutils::dispatch::load::Trouble;

fn plan(policy: Policy) -> LoadPlan {
    LoadPlan {
        seed: 3,
        load: 0.7,
        span: Duration::from_secs(8),
        schedulers: 3,
        workers: 11,
        swing: 0.0,
        late: 0.0,
        slow: 2,
        trouble: Trouble::default(),
        policy,
    }
}

#[test]
fn test_dispatch_load_slow_workers_cost_less_when_they_are_told() {
    let mut blind = Policy::default();
    blind.health.slow_ratio = 100.0;
    let mut unmoved = Policy::default();
    unmoved.health.move_slow = false;
    let [told, unmoved, blind] = [Policy::default(), unmoved, blind].map(|policy| {
        let report = load::run(plan(policy));
        assert_eq!(report.violation, None);
        report.goodput()
    });
    assert!(told > unmoved, "{told} with moves, {unmoved} without");
    assert!(unmoved > blind, "{unmoved} when told, {blind} when not");
}

/// A configuration of 1,500 queues each second, ten schedulers of which six are on 25 Mbit/s, twenty executors
/// restarted. While each peer that was behind was sent the whole configuration on each heartbeat, nothing of the
/// work was done in time meanwhile (0.000), and 0.2 of it in all. The share of one seed spreads by 0.025, so the
/// mean of six counts.
#[test]
fn test_dispatch_load_goes_on_while_large_configurations_come() {
    const SEEDS: u64 = 6;
    let mut goodput = 0.0;
    for seed in 1..=SEEDS {
        let plan = LoadPlan {
            seed,
            load: 0.45,
            schedulers: 10,
            workers: 30,
            slow: 0,
            trouble: Trouble {
                crashing_kind: None,
                link_mbit: 25,
                queues: 1500,
                restarts: 20,
                crashing: 0.0,
            },
            ..plan(Policy::default())
        };
        let report = load::run(plan);
        assert_eq!(report.violation, None, "seed {seed}");
        let back = report.time_until_back(0.9);
        assert!(back <= Duration::from_secs(2), "well again after {back:?}");
        goodput += report.goodput_in_trouble() / SEEDS as f64;
    }
    assert!(goodput > 0.85, "{goodput} of the work in time meanwhile");
}

/// Twelve small entries in three zones, of which one takes half as many jobs again and another half as many, above the
/// capacity: callers of one zone are not worse off than those of another once jobs are handed on.
#[test]
fn test_dispatch_load_zones_with_more_callers_are_not_worse_off() {
    let spread = |on: bool| {
        let mut policy = Policy::default();
        policy.cells.size = 24;
        policy.balance.on = on;
        let reports = (1..=3).map(|seed| {
            let report = load::run(LoadPlan {
                seed,
                load: 1.2,
                span: Duration::from_secs(6),
                schedulers: 12,
                workers: 30,
                slow: 0,
                swing: 0.55,
                ..plan(policy)
            });
            assert_eq!(report.violation, None, "seed {seed}");
            report.thirds.map(|(offered, done)| done / offered)
        });
        let [first, _, last] = reports.fold([0.0; 3], |sum, r| [0, 1, 2].map(|n| sum[n] + r[n]));
        (last - first) / 3.0
    };
    let (kept, evened) = (spread(false), spread(true));
    assert!(evened < kept / 2.0, "{evened} apart, {kept} without");
}
