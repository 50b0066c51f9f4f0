use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::FleetSpeeds;
use super::SpeedEstimate;
use super::TaskTiming;
use super::TypicalSlowness;
use super::update_ratio;
use crate::dispatch::policy::Speeds;

/// Adds `runs` runs of a worker of this slowness, with expected times that are off by 40 % and a few runs
/// that take seven times as long. Returns how many changes of speed were detected.
fn add_runs(estimate: &mut SpeedEstimate, rng: &mut SmallRng, slowness: f64, runs: u32) -> u32 {
    let mut changes = 0;
    for _ in 0..runs {
        let error: f64 = (0..12).map(|_| rng.random_range(-0.5..0.5)).sum();
        let outlier = if rng.random_bool(0.03) { 7.0 } else { 1.0 };
        let ratio = slowness * outlier * (0.4 * error).exp();
        changes += u32::from(estimate.add_sample(ratio, 1.0));
    }
    changes
}

fn is_near(percent: u32, wanted: f64, share: f64) -> bool {
    (f64::from(percent) / wanted - 1.0).abs() < share
}

#[test]
fn test_speed_estimate_converges() {
    for seed in 0..50 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut estimate = SpeedEstimate::new(Speeds::default());
        add_runs(&mut estimate, &mut rng, 1.8, 100);
        let percent = estimate.percent();
        assert!(is_near(percent, 180.0, 0.35), "seed {seed}: {percent}");
    }
}

#[test]
fn test_speed_estimate_steady_worker() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut estimate = SpeedEstimate::new(Speeds::default());
    let changes = add_runs(&mut estimate, &mut rng, 1.0, 20_000);
    assert!(changes <= 20, "{changes} changes");
}

/// The worker's speed halves and recovers later. Nine of ten changes must show in the estimate after 24 runs.
#[test]
fn test_speed_estimate_change() {
    let mut missed = 0;
    for seed in 0..50 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut estimate = SpeedEstimate::new(Speeds::default());
        add_runs(&mut estimate, &mut rng, 1.0, 200);
        add_runs(&mut estimate, &mut rng, 2.0, 24);
        let degraded = estimate.percent();
        add_runs(&mut estimate, &mut rng, 2.0, 200);
        add_runs(&mut estimate, &mut rng, 1.0, 24);
        let recovered = estimate.percent();
        missed += u32::from(degraded < 150) + u32::from(recovered > 150);
    }
    assert!(missed <= 10, "{missed} of 100 changes");
}

#[test]
fn test_speed_estimate_new_incarnation() {
    let mut rng = SmallRng::seed_from_u64(4);
    let mut estimate = SpeedEstimate::new(Speeds::default());
    add_runs(&mut estimate, &mut rng, 2.0, 200);
    let before = estimate.percent();
    estimate.begin_incarnation();
    assert_eq!(estimate.percent(), before);
    add_runs(&mut estimate, &mut rng, 0.8, 12);
    let after = estimate.percent();
    assert!(is_near(after, 80.0, 0.4), "{after} of 80");
}

#[test]
fn test_speed_estimate_unknown() {
    let mut estimate = SpeedEstimate::new(Speeds::default());
    assert_eq!(estimate.percent(), 0);
    estimate.add_sample(1.5, 1.0);
    assert_eq!(estimate.percent(), 0);
    estimate.add_sample(1.5, 1.0);
    assert_eq!(estimate.percent(), 150);
}

/// Ten samples of one run count as a single run.
#[test]
fn test_speed_estimate_partial_samples() {
    let mut estimate = SpeedEstimate::new(Speeds::default());
    for _ in 0..40 {
        estimate.add_sample(1.0, 1.0);
    }
    for _ in 0..10 {
        estimate.add_sample(5.0, 0.1);
    }
    assert!(estimate.percent() < 115, "{}", estimate.percent());
}

#[test]
fn test_fleet_speeds_relative() {
    let mut fleet = FleetSpeeds::default();
    assert_eq!(fleet.relative(200), 1.0);
    for percent in [200, 100, 0] {
        fleet.add(percent);
    }
    assert!((fleet.relative(200) - 1.5).abs() < 0.01);
    assert_eq!(fleet.relative(0), 1.0);
    fleet.remove(200);
    fleet.remove(0);
    assert!((fleet.relative(200) - 2.0).abs() < 0.01);
}

/// One task in thirty takes seven times as long, and estimates err to both sides. Neither may distort the
/// ratio.
#[test]
fn test_update_ratio_outliers() {
    let mut learned = 1.0;
    for n in 0..3000 {
        let outlier = if n % 30 == 0 { 7.0 } else { 1.0 };
        let error = [0.6, 1.0 / 0.6][n % 2];
        learned = update_ratio(learned, 1.2 * outlier * error, 0.02);
    }
    assert!((1.1..1.35).contains(&learned), "{learned}");
}

#[test]
fn test_task_timing_slow_worker() {
    let of = |work: u64| TaskTiming {
        expected: Duration::from_millis(work),
        extension: 1.6,
        left: Duration::from_millis(48) + Duration::from_millis(work).mul_f64(1.6),
    };
    assert!(of(50).is_in_time(1.9, 0.4));
    assert!(!of(800).is_in_time(1.9, 0.4));
    assert!(of(800).is_in_time(0.9, 0.4));
    let edge = of(150);
    assert!(edge.is_in_time(1.9, 0.0) && !edge.is_in_time(1.9, 0.4));
}

#[test]
fn test_typical_slowness_degraded_worker() {
    let policy = Speeds::default();
    let heartbeat = Duration::from_millis(100);
    let mut typical = TypicalSlowness::default();
    for _ in 0..100 {
        typical.record(220, heartbeat, &policy);
    }
    assert!(!typical.is_degraded(220, false, &policy));
    assert!(typical.is_degraded(460, false, &policy));
    assert!(typical.is_degraded(400, true, &policy));
    for _ in 0..2000 {
        typical.record(460, heartbeat, &policy);
    }
    assert!(!typical.is_degraded(460, true, &policy));
}
