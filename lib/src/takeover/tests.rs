//! Tests of `takeover`.

use super::*;
use crate::clock::Now;

const LAPSE: Duration = Duration::from_secs(2);

fn now(ms: u64) -> Now {
    Now::steady(Mono(ms * 1000), 1_000_000 + ms)
}

fn open(holdings: &mut OwnedShards, latest_expiry: Duration) -> RoundId {
    let claims = vec![(ShardId(1), Epoch(4))];
    let agents = BTreeSet::from([10, 11]);
    let opening = RoundStart {
        claims,
        agents,
        expiry: LAPSE,
        latest_expiry,
        known: true,
        gone_ms: 0,
    };
    holdings.open(now(0).mono, opening)
}

#[test]
fn test_takeover_waits_for_the_lapse_though_all_answered() {
    let mut holdings = OwnedShards::default();
    let id = open(&mut holdings, LAPSE);
    assert!(holdings.answered(id, 10) && holdings.answered(id, 11));
    assert!(holdings.ready(now(1_999).mono).is_empty());
    assert_eq!(holdings.ready(now(2_000).mono), [id]);
    assert_eq!(holdings.activate(id, 1_002_000), (vec![ShardId(1)], 0));
    assert_eq!(holdings.get(ShardId(1)).unwrap().clear_ms, 0);
}

#[test]
fn test_takeover_without_a_witness_marks_what_it_cannot_know() {
    let mut holdings = OwnedShards::default();
    let id = open(&mut holdings, LAPSE);
    holdings.answered(id, 10);
    assert_eq!(holdings.activate(id, 1_002_000).1, 1);
    assert_eq!(holdings.get(ShardId(1)).unwrap().clear_ms, 1_002_000);
}

#[test]
fn test_takeover_by_an_unknown_member_waits_longer_for_a_silent_agent() {
    let mut holdings = OwnedShards::default();
    let id = open(&mut holdings, Duration::from_secs(60));
    holdings.answered(id, 10);
    assert!(holdings.ready(now(59_000).mono).is_empty());
    assert_eq!(holdings.ready(now(60_000).mono), [id]);
}
