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

/// Lets a worker end so many runs at a slowness, with expected times that are off by 40 %.
fn run(estimate: &mut SpeedEstimate, rng: &mut SmallRng, slowness: f64, runs: u32) -> u32 {
    let mut changes = 0;
    for _ in 0..runs {
        let error: f64 = (0..12).map(|_| rng.random_range(-0.5..0.5)).sum();
        let tail = if rng.random_bool(0.03) { 7.0 } else { 1.0 };
        let ratio = slowness * tail * (0.4 * error).exp();
        changes += u32::from(estimate.add_sample(ratio, 1.0));
    }
    changes
}

fn near(percent: u32, wanted: f64, share: f64) -> bool {
    (f64::from(percent) / wanted - 1.0).abs() < share
}

#[test]
fn test_speed_estimate_is_near_over_many_runs() {
    for seed in 0..50 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut estimate = SpeedEstimate::new(Speeds::default());
        run(&mut estimate, &mut rng, 1.8, 100);
        let percent = estimate.percent();
        assert!(near(percent, 180.0, 0.35), "seed {seed}: {percent}");
    }
}

#[test]
fn test_speed_estimate_of_a_steady_worker_seldom_changes() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut estimate = SpeedEstimate::new(Speeds::default());
    let changes = run(&mut estimate, &mut rng, 1.0, 20_000);
    assert!(changes <= 20, "{changes} changes");
}

/// The speed halves while the worker is full, and is well again.
#[test]
fn test_speed_estimate_follows_a_change_within_two_dozen_runs() {
    let mut missed = 0;
    for seed in 0..50 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut estimate = SpeedEstimate::new(Speeds::default());
        run(&mut estimate, &mut rng, 1.0, 200);
        run(&mut estimate, &mut rng, 2.0, 24);
        let slow = estimate.percent();
        run(&mut estimate, &mut rng, 2.0, 200);
        run(&mut estimate, &mut rng, 1.0, 24);
        let well = estimate.percent();
        missed += u32::from(slow < 150) + u32::from(well > 150);
    }
    assert!(missed <= 10, "{missed} of 100 changes");
}

#[test]
fn test_speed_estimate_of_a_new_life_begins_with_the_earlier_one_and_gives_it_up() {
    let mut rng = SmallRng::seed_from_u64(4);
    let mut estimate = SpeedEstimate::new(Speeds::default());
    run(&mut estimate, &mut rng, 2.0, 200);
    let before = estimate.percent();
    estimate.begin_life();
    assert_eq!(estimate.percent(), before);
    run(&mut estimate, &mut rng, 0.8, 12);
    let after = estimate.percent();
    assert!(near(after, 80.0, 0.4), "{after} of 80");
}

#[test]
fn test_speed_estimate_is_told_once_there_are_runs() {
    let mut estimate = SpeedEstimate::new(Speeds::default());
    assert_eq!(estimate.percent(), 0);
    estimate.add_sample(1.5, 1.0);
    assert_eq!(estimate.percent(), 0);
    estimate.add_sample(1.5, 1.0);
    assert_eq!(estimate.percent(), 150);
}

/// One run that is read many times counts as one.
#[test]
fn test_speed_estimate_weighs_parts_of_a_run_as_one() {
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
fn test_fleet_speeds_set_a_worker_against_the_mean_speed() {
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

/// One task in thirty takes seven times as long; estimates are off to both sides.
#[test]
fn test_learn_ratio_is_not_led_by_the_longest() {
    let mut learned = 1.0;
    for n in 0..3000 {
        let tail = if n % 30 == 0 { 7.0 } else { 1.0 };
        let off = [0.6, 1.0 / 0.6][n % 2];
        learned = update_ratio(learned, 1.2 * tail * off, 0.02);
    }
    assert!((1.1..1.35).contains(&learned), "{learned}");
}

#[test]
fn test_outlook_short_tasks_are_in_time_at_a_slow_worker_and_long_ones_are_not() {
    let of = |work: u64| TaskTiming {
        expected: Duration::from_millis(work),
        stretch: 1.6,
        left: Duration::from_millis(48) + Duration::from_millis(work).mul_f64(1.6),
    };
    assert!(of(50).is_in_time(1.9, 0.4));
    assert!(!of(800).is_in_time(1.9, 0.4));
    assert!(of(800).is_in_time(0.9, 0.4));
    let edge = of(150);
    assert!(edge.is_in_time(1.9, 0.0) && !edge.is_in_time(1.9, 0.4));
}

#[test]
fn test_usual_tells_a_slow_worker_from_a_sick_one() {
    let policy = Speeds::default();
    let beat = Duration::from_millis(100);
    let mut usual = TypicalSlowness::default();
    for _ in 0..100 {
        usual.note(220, beat, &policy);
    }
    assert!(!usual.is_degraded(220, false, &policy));
    assert!(usual.is_degraded(460, false, &policy));
    assert!(usual.is_degraded(400, true, &policy));
    for _ in 0..2000 {
        usual.note(460, beat, &policy);
    }
    assert!(!usual.is_degraded(460, true, &policy));
}
