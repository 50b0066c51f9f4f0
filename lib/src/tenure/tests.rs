//! Tests of when the right starts, is extended and expires.

use super::*;

const SECOND: u64 = 1_000_000;

fn new_tenure() -> Tenure {
    Tenure::new(TenureSetup {
        lease: Duration::from_secs(2),
        max_extension: Duration::from_secs(60),
        promise: Duration::from_secs(1),
    })
}

#[test]
fn test_tenure_counted_from_read() {
    let mut tenure = new_tenure();
    tenure.confirm(Mono(SECOND), vec![7]);
    assert_eq!(
        tenure.right_state(Mono(3 * SECOND - 1)),
        RightState::Confirmed
    );
    assert_eq!(tenure.right_state(Mono(3 * SECOND)), RightState::Expired);
}

#[test]
fn test_tenure_needs_all_promises() {
    let mut tenure = new_tenure();
    tenure.confirm(Mono(0), vec![7, 8]);
    let late = Mono(5 * SECOND);
    let seq = tenure.ask(7, late);
    tenure.promise(7, seq, true);
    assert_eq!(tenure.right_state(late), RightState::Expired);
    let seq = tenure.ask(8, late);
    tenure.promise(8, seq, true);
    assert_eq!(tenure.right_state(late), RightState::Promised);
    assert_eq!(tenure.right_state(Mono(6 * SECOND)), RightState::Expired);
}

#[test]
fn test_tenure_single_member_extension() {
    let mut tenure = new_tenure();
    tenure.confirm(Mono(0), Vec::new());
    assert_eq!(tenure.right_state(Mono(59 * SECOND)), RightState::Promised);
    assert_eq!(tenure.right_state(Mono(60 * SECOND)), RightState::Expired);
}

#[test]
fn test_tenure_number_rises_on_expiry() {
    let mut tenure = new_tenure();
    tenure.confirm(Mono(0), vec![7]);
    tenure.observe(Mono(0));
    let first = tenure.number();
    tenure.observe(Mono(3 * SECOND));
    tenure.confirm(Mono(3 * SECOND), vec![7]);
    tenure.observe(Mono(3 * SECOND));
    assert_eq!(tenure.number(), first + 1);
}
