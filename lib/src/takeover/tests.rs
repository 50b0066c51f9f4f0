//! Tests of when the shards of a round are served.

use super::*;
use crate::clock::Now;

const EXPIRY: Duration = Duration::from_secs(2);

fn now(ms: u64) -> Now {
    Now::steady(Mono(ms * 1000), 1_000_000 + ms)
}

fn open(shards: &mut OwnedShards, latest_expiry: Duration) -> RoundId {
    let claims = vec![(ShardId(1), Epoch(4))];
    let agents = BTreeSet::from([10, 11]);
    let start = RoundStart {
        claims,
        agents,
        expiry: EXPIRY,
        latest_expiry,
        known: true,
        gone_ms: 0,
    };
    shards.open_round(now(0).mono, start)
}

#[test]
fn test_takeover_waits_for_expiry() {
    let mut shards = OwnedShards::default();
    let id = open(&mut shards, EXPIRY);
    assert!(shards.record_answer(id, 10) && shards.record_answer(id, 11));
    assert!(shards.ready_rounds(now(1_999).mono).is_empty());
    assert_eq!(shards.ready_rounds(now(2_000).mono), [id]);
    assert_eq!(shards.activate(id, 1_002_000), (vec![ShardId(1)], 0));
    assert_eq!(shards.get(ShardId(1)).unwrap().clear_ms, 0);
}

#[test]
fn test_takeover_missing_agent() {
    let mut shards = OwnedShards::default();
    let id = open(&mut shards, EXPIRY);
    shards.record_answer(id, 10);
    assert_eq!(shards.activate(id, 1_002_000).1, 1);
    assert_eq!(shards.get(ShardId(1)).unwrap().clear_ms, 1_002_000);
}

#[test]
fn test_takeover_unknown_member_silent_agent() {
    let mut shards = OwnedShards::default();
    let id = open(&mut shards, Duration::from_secs(60));
    shards.record_answer(id, 10);
    assert!(shards.ready_rounds(now(59_000).mono).is_empty());
    assert_eq!(shards.ready_rounds(now(60_000).mono), [id]);
}
