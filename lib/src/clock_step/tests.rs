//! Tests of `clock_step`.

use super::*;

#[test]
fn test_clock_step_reported_once() {
    let mut watch = StepWatch::default();
    assert_eq!(watch.detect_step(0), None);
    let ahead = watch.detect_step(600_000).expect("a step");
    assert_eq!((ahead.by_ms, ahead.total_ms), (600_000, 600_000));
    assert_eq!(watch.detect_step(600_000), None);
    let back = watch.detect_step(-10_000).expect("a step");
    assert_eq!(
        back.to_string(),
        "by -610000 ms, -10000 ms from the time carried on"
    );
}

#[test]
fn test_clock_step_small_corrections() {
    let mut watch = StepWatch::default();
    watch.detect_step(0);
    assert_eq!(watch.detect_step(499), None);
    assert!(watch.detect_step(500).is_some(), "corrections add up");
}

#[test]
fn test_clock_step_after_reset() {
    let mut watch = StepWatch::default();
    watch.detect_step(0);
    watch.reset();
    assert_eq!(watch.detect_step(7_000), None);
    assert_eq!(watch.reported_ms(), 7_000);
}
