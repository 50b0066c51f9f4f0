//! Tests of `follower`.

use assert_matches::assert_matches;
use serde_json::json;

use super::*;

fn value(version: u64, config: serde_json::Value) -> Bytes {
    let v = Version {
        version,
        change: "c".into(),
        author: "a".into(),
        time_ms: 1,
        previous: String::new(),
        config,
    };
    Bytes::from(serde_json::to_vec(&v).unwrap())
}

#[test]
fn test_follower_version_never_decreases() {
    let mut follower = Follower::default();
    let empty = json!({"services": {}});
    assert_matches!(follower.apply(2, value(2, empty.clone())), Ok(true));
    assert_matches!(follower.apply(1, value(1, empty)), Ok(false));
    assert_eq!((follower.version(), follower.next()), (2, 3));
}

#[test]
fn test_follower_invalid_version() {
    let mut follower = Follower::default();
    let bad = follower.apply(1, value(1, json!({"services": 4})));
    assert_matches!(bad, Err(VersionError::Findings { version: 1, .. }));
    assert_eq!((follower.version(), follower.next()), (0, 2));
}
