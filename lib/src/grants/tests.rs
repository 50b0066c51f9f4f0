//! Tests that grants are counted from the request and never extended by a late message.

use super::*;

#[test]
fn test_grant_expiry_counted_from_request() {
    let mut grant = Grant::default();
    let seq = grant.ask(Mono(1_000_000));
    grant.granted(seq, 4, Duration::from_secs(3));
    assert!(grant.permits(Mono(3_999_999), 4));
    assert!(!grant.permits(Mono(4_000_000), 4));
    assert!(!grant.permits(Mono(2_000_000), 3));
}

#[test]
fn test_grant_carried_by_start() {
    let mut grant = Grant::default();
    let seq = grant.ask(Mono(0));
    let (since, remain) = (Duration::from_secs(3), Duration::from_secs(1));
    grant.extend(seq, since, 2, remain);
    assert!(grant.permits(Mono(3_999_999), 2));
    assert!(!grant.permits(Mono(4_000_000), 2));
    // A late start of an earlier tenure does not restore the right.
    grant.extend(seq, since * 9, 1, remain);
    assert!(!grant.permits(Mono(4_000_000), 1));
}

#[test]
fn test_grant_stale_reply_ignored() {
    let mut grant = Grant::default();
    let first = grant.ask(Mono(0));
    let second = grant.ask(Mono(10));
    grant.granted(second, 1, Duration::from_secs(1));
    grant.granted(first, 9, Duration::from_secs(9));
    assert_eq!(grant.tenure(), 1);
}
