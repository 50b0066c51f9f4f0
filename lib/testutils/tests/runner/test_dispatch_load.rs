//! Goodput on the virtual clock. The runs are repeatable: the same seed gives the same figures.

use std::time::Duration;

use stackcourse_lib::dispatch::policy::Policy;
use stackcourse_testutils::dispatch::load;
use stackcourse_testutils::dispatch::load::LoadPlan;
use stackcourse_testutils::dispatch::load::Trouble;
use stackcourse_testutils::dispatch::load::Uneven;

fn plan(policy: Policy) -> LoadPlan {
    LoadPlan {
        seed: 3,
        load: 0.7,
        span: Duration::from_secs(8),
        schedulers: 3,
        workers: 11,
        late: 0.0,
        slow: 2,
        trouble: Trouble::default(),
        uneven: Uneven::default(),
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
                urgent: 0,
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

/// Fields of a mechanism that is off decide nothing: each job of the run ends as it did.
#[test]
fn test_dispatch_load_is_the_same_while_preemption_is_off() {
    let mut other = Policy::default();
    other.preemption.margin = Duration::from_millis(500);
    other.preemption.stop_time = Duration::from_millis(1);
    other.preemption.stops = 9;
    other.preemption.waste_share = 1.0;
    let [plain, other] = [Policy::default(), other].map(|policy| {
        load::run(LoadPlan {
            load: 1.3,
            slow: 0,
            ..plan(policy)
        })
    });
    assert_eq!(plain, other);
}
