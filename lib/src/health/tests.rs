//! Tests of `health`.

use super::*;

const PEERS: PeerMean = PeerMean {
    mean: 0.4,
    failures: 0.0,
};

fn at(ms: u64) -> Mono {
    Mono(ms * 1000)
}

#[test]
fn test_health_stall_without_answers() {
    let mut health = Health::default();
    for _ in 0..8 {
        health.record_start(at(0), 1.0);
    }
    assert_eq!(health.update_state(at(200), PEERS, true), None);
    assert_eq!(health.update_state(at(1_500), PEERS, true), Some(true));
    assert!(!health.accepts_tasks(at(1_600)));
}

#[test]
fn test_health_fast_failures() {
    let mut health = Health::default();
    for i in 0..6 {
        health.record_start(at(i * 10), 1.0);
        health.record_end(at(i * 10 + 5), at(i * 10), 1.0, true, Some(PEERS));
    }
    assert_eq!(health.update_state(at(100), PEERS, true), Some(true));
}

#[test]
fn test_health_recovery_after_trials() {
    let mut health = Health::default();
    for _ in 0..8 {
        health.record_start(at(0), 1.0);
    }
    health.update_state(at(2_000), PEERS, true);
    for _ in 0..8 {
        health.record_end(at(2_100), at(0), 1.0, false, Some(PEERS));
    }
    let mut now = 10_000;
    while health.is_unhealthy() {
        assert!(now < 20_000, "the worker never recovered");
        if health.accepts_tasks(at(now)) {
            health.record_start(at(now), 1.0);
            health.record_end(at(now + 300), at(now), 1.0, false, Some(PEERS));
            health.update_state(at(now + 300), PEERS, true);
        }
        now += 400;
    }
}

#[test]
fn test_health_single_long_task() {
    let mut health = Health::default();
    health.record_start(at(0), 1.0);
    assert_eq!(health.update_state(at(2_000), PEERS, true), None);
}
