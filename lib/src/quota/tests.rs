//! Tests of how a quota is divided into shares, and of when shares expire.

use super::*;

static SEQ: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(1);

fn ask(holder: u64, used: u32, want: u32, have: u32) -> ShareAsk {
    let seq = SEQ.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    ShareAsk {
        holder,
        seq,
        used,
        want,
        have,
    }
}

fn at(ms: u64) -> Mono {
    Mono(ms * 1000)
}

#[test]
fn test_quota_idle_share_reassigned() {
    let mut allocator = Allocator::first();
    assert_eq!(allocator.ask(at(1), 10, ask(1, 0, 30, 0)), 10);
    assert_eq!(allocator.ask(at(2), 10, ask(2, 0, 30, 0)), 0);
    let kept = allocator.ask(at(3), 10, ask(1, 2, 30, 10));
    assert_eq!(kept, 5);
    assert_eq!(allocator.ask(at(4), 10, ask(2, 0, 30, 0)), 0);
    allocator.ask(at(5), 10, ask(1, 2, 30, 5));
    assert_eq!(allocator.ask(at(6), 10, ask(2, 0, 30, 0)), 5);
}

#[test]
fn test_quota_silent_holder_reserved() {
    let mut allocator = Allocator::first();
    allocator.ask(at(0), 10, ask(1, 0, 10, 0));
    assert_eq!(allocator.ask(at(3_000), 10, ask(2, 0, 10, 0)), 0);
    assert_eq!(allocator.ask(at(9_000), 10, ask(2, 0, 10, 0)), 10);
}

#[test]
fn test_quota_new_allocator_confirms_first() {
    let mut allocator = Allocator::new(at(1_000));
    assert_eq!(allocator.ask(at(1_100), 10, ask(1, 1, 9, 0)), 0);
    assert_eq!(allocator.ask(at(1_200), 10, ask(2, 4, 9, 6)), 6);
    assert_eq!(allocator.ask(at(4_000), 10, ask(1, 1, 9, 0)), 4);
}

/// Guards against exceeding the quota when a holder cannot be informed of a new allocator, and its
/// last tasks continue to run after its share has expired.
#[test]
fn test_quota_new_allocator_unknown_to_holder() {
    let mut allocator = Allocator::new(at(1_000));
    allocator.set_known(false);
    assert_eq!(allocator.ask(at(4_000), 10, ask(1, 1, 9, 0)), 0);
    assert_eq!(allocator.ask(at(8_999), 10, ask(1, 1, 9, 0)), 0);
    assert_eq!(allocator.ask(at(9_000), 10, ask(1, 1, 9, 0)), 9);
    allocator.set_known(true);
    assert!(!allocator.is_settling(at(3_200)));
}

#[test]
fn test_share_expires_on_holder_clock() {
    let mut share = Share::default();
    let seq = share.ask(at(0));
    share.granted(seq, 2, SHARE_SPAN);
    assert!(share.is_open(at(1_999)));
    assert!(!share.is_open(at(2_000)));
    share.granted(seq, 9, SHARE_SPAN);
    assert_eq!(share.have(at(10)), 2);
}
