//! Goodput on the virtual clock. The runs are repeatable: the same seed gives the same figures.

use std::time::Duration;

use stackcourse_lib::dispatch::policy::Policy;
use stackcourse_testutils::dispatch::load;
use stackcourse_testutils::dispatch::load::LoadFaults;
use stackcourse_testutils::dispatch::load::LoadPlan;
use stackcourse_testutils::dispatch::load::WorkerVariation;

fn plan(policy: Policy) -> LoadPlan {
    LoadPlan {
        seed: 3,
        load: 0.7,
        span: Duration::from_secs(8),
        schedulers: 3,
        workers: 11,
        load_skew: 0.0,
        late: 0.0,
        slow: 2,
        faults: LoadFaults::default(),
        variation: WorkerVariation::default(),
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
            faults: LoadFaults {
                crashing_kind: None,
                link_mbit: 25,
                queues: 1500,
                restarts: 20,
                crashing: 0.0,
                bursts: [0.0; 3],
            },
            ..plan(Policy::default())
        };
        let report = load::run(plan);
        assert_eq!(report.violation, None, "seed {seed}");
        let back = report.recovery_time(0.9);
        assert!(back <= Duration::from_secs(2), "well again after {back:?}");
        goodput += report.goodput_under_faults() / SEEDS as f64;
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

/// What came of jobs of the kinds of the load over some seeds: the share in time of each, and the work done in time
/// as a share of the capacity of the whole run.
fn contend(on: bool, load: f64, bursts: [f64; 3]) -> ([f64; 3], f64) {
    const SEEDS: u64 = 3;
    let mut policy = Policy::default();
    policy.contention.on = on;
    let mut shares = [0.0; 3];
    let mut goodput = 0.0;
    for seed in 1..=SEEDS {
        let faults = LoadFaults {
            bursts,
            ..LoadFaults::default()
        };
        let plan = LoadPlan {
            seed,
            load,
            schedulers: 4,
            slow: 0,
            faults,
            ..plan(policy)
        };
        let report = load::run(plan);
        assert_eq!(report.violation, None, "seed {seed}");
        for (share, kind) in shares.iter_mut().zip(report.kinds) {
            *share += kind.in_time as f64 / kind.offered as f64 / SEEDS as f64;
        }
        goodput += load * report.goodput() / SEEDS as f64;
    }
    (shares, goodput)
}

/// 2.4 times as many jobs of the middle kind, and 1.8 times as many of it and of the patient one at once: the urgent
/// kind pays less than without contention, and no kind is served less than half as often as another.
#[test]
fn test_dispatch_load_bursts_of_other_queues_leave_the_urgent_one_its_room() {
    for bursts in [[0.0, 0.0, 2.4], [0.0, 1.8, 1.8]] {
        let [(off, _), (on, _)] = [false, true].map(|on| contend(on, 0.9, bursts));
        assert!(on[0] >= off[0], "urgent: {on:?} on, {off:?} off");
        let least = on.iter().copied().fold(1.0, f64::min);
        assert!(least >= 0.5 * on[0], "starved: {on:?}");
    }
}

/// The work done in time stays near its peak above the capacity.
#[test]
fn test_dispatch_load_goodput_stays_near_its_peak_above_the_capacity() {
    let (_, peak) = contend(true, 1.0, [0.0; 3]);
    for load in [1.1, 1.3, 1.5] {
        let (_, goodput) = contend(true, load, [0.0; 3]);
        assert!(goodput >= 0.95 * peak, "{goodput} at {load}, {peak} at 1");
    }
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
                load_skew: 0.55,
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
