//! Goodput on the virtual clock. The runs are repeatable: the same seed gives the same figures.

use std::time::Duration;

use stackcourse_lib::dispatch::policy::Policy;
use stackcourse_testutils::dispatch::load;
use stackcourse_testutils::dispatch::load::LoadPlan;

fn plan(policy: Policy) -> LoadPlan {
    LoadPlan {
        seed: 3,
        load: 0.7,
        span: Duration::from_secs(8),
        schedulers: 3,
        workers: 11,
        late: 0.0,
        slow: 2,
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
