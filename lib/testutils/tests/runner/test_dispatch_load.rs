//! Tests of the goodput on the virtual clock. The runs are repeatable: the same seed gives the same results.

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

/// Slow workers cost less goodput when they are detected, and still less when their tasks are moved.
#[test]
fn test_dispatch_load_slow_workers() {
    let mut undetected = Policy::default();
    undetected.health.slow_ratio = 100.0;
    let mut unmoved = Policy::default();
    unmoved.health.move_slow = false;
    let [moved, unmoved, undetected] = [Policy::default(), unmoved, undetected].map(|policy| {
        let report = load::run(plan(policy));
        assert_eq!(report.violation, None);
        report.goodput()
    });
    assert!(moved > unmoved, "{moved} with moves, {unmoved} without");
    assert!(
        unmoved > undetected,
        "{unmoved} when detected, {undetected} when not"
    );
}

/// Guards against schedulers that answer each heartbeat of a peer that is behind with the whole catalog,
/// which fills the links of small machines: no work is done in time meanwhile (0.000), and 0.2 of it in all.
/// A catalog of 1,500 queues comes each second, six of ten schedulers have 25 Mbit/s, and twenty executors
/// are restarted. The goodput of single seeds spreads by 0.025, so the mean of six is checked.
#[test]
fn test_dispatch_load_large_catalogs() {
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
        let recovery_time = report.recovery_time(0.9);
        assert!(
            recovery_time <= Duration::from_secs(2),
            "recovered after {recovery_time:?}"
        );
        goodput += report.goodput_under_faults() / SEEDS as f64;
    }
    assert!(
        goodput > 0.85,
        "{goodput} of the work in time during the faults"
    );
}

/// While preemption is off its other fields have no effect: the reports are equal.
#[test]
fn test_dispatch_load_preemption_off() {
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

/// Returns the share of the jobs in time for each kind, and the work done in time as a share of the capacity,
/// both as means over the seeds.
fn run_contended(on: bool, load: f64, bursts: [f64; 3]) -> ([f64; 3], f64) {
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

/// Bursts of the other kinds: 2.4 times as many jobs of the middle kind, or 1.8 times as many of the middle
/// and the long kind. With contention control at least as many urgent jobs are in time as without it, and no
/// kind is served less than half as often as the urgent one.
#[test]
fn test_dispatch_load_bursts() {
    for bursts in [[0.0, 0.0, 2.4], [0.0, 1.8, 1.8]] {
        let [(off, _), (on, _)] = [false, true].map(|on| run_contended(on, 0.9, bursts));
        assert!(on[0] >= off[0], "urgent: {on:?} on, {off:?} off");
        let least = on.iter().copied().fold(1.0, f64::min);
        assert!(least >= 0.5 * on[0], "starved: {on:?}");
    }
}

/// Above the capacity the goodput stays near its peak.
#[test]
fn test_dispatch_load_overload() {
    let (_, peak) = run_contended(true, 1.0, [0.0; 3]);
    for load in [1.1, 1.3, 1.5] {
        let (_, goodput) = run_contended(true, load, [0.0; 3]);
        assert!(goodput >= 0.95 * peak, "{goodput} at {load}, {peak} at 1");
    }
}

/// Twelve schedulers above the capacity, of which the first third takes about half as many jobs again and the
/// last third about half as many. Handoffs of jobs between schedulers at least halve the difference in
/// goodput.
#[test]
fn test_dispatch_load_balance() {
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
    let (unbalanced, balanced) = (spread(false), spread(true));
    assert!(
        balanced < unbalanced / 2.0,
        "{balanced} apart, {unbalanced} without handoffs"
    );
}
