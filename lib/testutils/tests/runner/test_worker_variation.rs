//! Tests of load runs with workers that differ in speed and in the distance to data.

use std::time::Duration;

use stackcourse_lib::dispatch::policy::Policy;
use stackcourse_testutils::dispatch::load;
use stackcourse_testutils::dispatch::load::LoadFaults;
use stackcourse_testutils::dispatch::load::LoadPlan;
use stackcourse_testutils::dispatch::load::LoadReport;
use stackcourse_testutils::dispatch::load::WorkerVariation;

fn plan(seed: u64, variation: WorkerVariation, policy: Policy) -> LoadPlan {
    LoadPlan {
        seed,
        load: 0.9,
        span: Duration::from_secs(6),
        schedulers: 3,
        workers: 12,
        late: 0.0,
        load_skew: 0.0,
        slow: 1,
        faults: LoadFaults::default(),
        variation,
        policy,
    }
}

fn run_plan(plan: LoadPlan) -> LoadReport {
    let report = load::run(plan);
    assert_eq!(report.violation, None, "seed {}", plan.seed);
    report
}

/// With the speed policy off each answer is the same, and comes at the same time, as without the mechanism.
#[test]
fn test_worker_variation_policy_off() {
    let quarter = WorkerVariation::of(&[0.55, 1.2, 1.2, 1.2]);
    let digests = [1, 2].map(|seed| run_plan(plan(seed, quarter, Policy::default())).digest);
    assert_eq!(
        digests,
        [4_336_022_938_636_250_089, 8_263_911_642_410_862_068]
    );
}

/// Returns a policy that places tasks by the speeds of the workers.
fn by_speed() -> Policy {
    let mut policy = Policy::default();
    policy.speeds.on = true;
    policy
}

/// Half of the workers have a third of the others' speed, and most are full. Without the speed policy two of
/// five long jobs are late.
#[test]
fn test_worker_variation_by_speed() {
    const SEEDS: u64 = 3;
    let half = WorkerVariation::of(&[0.5, 1.5]);
    let [off, on] = [Policy::default(), by_speed()].map(|policy| {
        let plans = (1..=SEEDS).map(|seed| LoadPlan {
            load: 0.8,
            load_skew: 0.0,
            slow: 0,
            ..plan(seed, half, policy)
        });
        plans.map(|plan| run_plan(plan).goodput()).sum::<f64>() / SEEDS as f64
    });
    assert!(on > off + 0.03, "{on} of the work in time, {off} without");
}

/// The data of 60 % of the jobs of a queue lies in one rack with a sixth of the workers; elsewhere their
/// tasks take twice as long.
#[test]
fn test_worker_variation_data_racks() {
    const SEEDS: u64 = 3;
    let mut rack = WorkerVariation::default();
    rack.rack_share = 0.6;
    rack.remote_factor = 2.0;
    let mut far = by_speed();
    far.speeds.far_factor = 2.0;
    let [off, on] = [Policy::default(), far].map(|policy| {
        let plans = (1..=SEEDS).map(|seed| LoadPlan {
            load: 0.7,
            load_skew: 0.0,
            slow: 0,
            ..plan(seed, rack, policy)
        });
        plans.map(|plan| run_plan(plan).kinds[0].late).sum::<u64>()
    });
    assert!(on < off, "{on} jobs late, {off} without");
}
