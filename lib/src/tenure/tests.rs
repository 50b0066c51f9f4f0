//! Tests of `tenure`.

use super::*;

const SECOND: u64 = 1_000_000;

fn tenure() -> Tenure {
    Tenure::new(TenureSetup {
        lease: Duration::from_secs(2),
        max_extension: Duration::from_secs(60),
        promise: Duration::from_secs(1),
    })
}

#[test]
fn test_tenure_counts_from_the_sending_of_the_read() {
    let mut t = tenure();
    t.confirm(Mono(SECOND), vec![7]);
    assert_eq!(t.right_state(Mono(3 * SECOND - 1)), RightState::Confirmed);
    assert_eq!(t.right_state(Mono(3 * SECOND)), RightState::Expired);
}

#[test]
fn test_tenure_needs_every_promise() {
    let mut t = tenure();
    t.confirm(Mono(0), vec![7, 8]);
    let late = Mono(5 * SECOND);
    let seq = t.ask(7, late);
    t.promise(7, seq, true);
    assert_eq!(t.right_state(late), RightState::Expired);
    let seq = t.ask(8, late);
    t.promise(8, seq, true);
    assert_eq!(t.right_state(late), RightState::Promised);
    assert_eq!(t.right_state(Mono(6 * SECOND)), RightState::Expired);
}

#[test]
fn test_tenure_alone_rides_to_the_bound() {
    let mut t = tenure();
    t.confirm(Mono(0), Vec::new());
    assert_eq!(t.right_state(Mono(59 * SECOND)), RightState::Promised);
    assert_eq!(t.right_state(Mono(60 * SECOND)), RightState::Expired);
}

#[test]
fn test_tenure_number_rises_with_each_lapse() {
    let mut t = tenure();
    t.confirm(Mono(0), vec![7]);
    t.observe(Mono(0));
    let first = t.number();
    t.observe(Mono(3 * SECOND));
    t.confirm(Mono(3 * SECOND), vec![7]);
    t.observe(Mono(3 * SECOND));
    assert_eq!(t.number(), first + 1);
}
