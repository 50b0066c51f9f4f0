//! Workers that are not alike, on the virtual clock.

use std::time::Duration;

use stackcourse_lib::dispatch::policy::Policy;
use stackcourse_testutils::dispatch::load;
use stackcourse_testutils::dispatch::load::LoadPlan;
use stackcourse_testutils::dispatch::load::LoadReport;
use stackcourse_testutils::dispatch::load::Trouble;
use stackcourse_testutils::dispatch::load::Uneven;

fn plan(seed: u64, uneven: Uneven, policy: Policy) -> LoadPlan {
    LoadPlan {
        seed,
        load: 0.9,
        span: Duration::from_secs(6),
        schedulers: 3,
        workers: 12,
        late: 0.0,
        slow: 1,
        trouble: Trouble::default(),
        uneven,
        policy,
    }
}

fn play(plan: LoadPlan) -> LoadReport {
    let report = load::run(plan);
    assert_eq!(report.violation, None, "seed {}", plan.seed);
    report
}

/// With the switch off each answer comes when it came before there was one, and is the same.
#[test]
fn test_uneven_servers_switched_off_change_nothing() {
    let quarter = Uneven::of(&[0.55, 1.2, 1.2, 1.2]);
    let digests = [1, 2].map(|seed| play(plan(seed, quarter, Policy::default())).digest);
    assert_eq!(
        digests,
        [4_336_022_938_636_250_089, 8_263_911_642_410_862_068]
    );
}
