//! Tests of `operator`.

use assert_matches::assert_matches;

use super::*;
use crate::memory_store::MemoryStore;

const ONE: &[u8] = br#"{"services": {"a": {"halls": ["*"], "zones": ["*"]}}}"#;
const TWO: &[u8] = br#"{"services": {"b": {"halls": ["*"], "zones": ["*"]}}}"#;

#[actix_rt::test]
async fn test_apply_repeated() {
    let store = MemoryStore::default();
    let bad = apply(&store, "f", b"{}", "ann", None).await;
    assert_matches!(bad, Err(ApplyError::Findings(_)));
    assert_eq!(newest_version(&store).await.unwrap().0, 0);
    let first = apply(&store, "f", ONE, "ann", None).await.unwrap();
    assert_eq!((first.version, first.changed), (1, true));
    let again = apply(&store, "f", ONE, "ann", None).await.unwrap();
    assert_eq!((again.version, again.changed), (1, false));
}

#[actix_rt::test]
async fn test_apply_conflict() {
    let store = MemoryStore::default();
    apply(&store, "f", ONE, "ann", None).await.unwrap();
    apply(&store, "f", TWO, "bob", Some(1)).await.unwrap();
    let late = apply(&store, "f", ONE, "cat", Some(1)).await;
    assert_matches!(late, Err(ApplyError::Conflict { version: 2, author, .. })
        if author == "bob");
}

#[actix_rt::test]
async fn test_audit_chained_versions() {
    let store = MemoryStore::default();
    apply(&store, "f", ONE, "ann", None).await.unwrap();
    apply(&store, "f", TWO, "bob", None).await.unwrap();
    let lines = audit(&store, 1).await.unwrap();
    assert_eq!(lines.len(), 2);
    assert!(lines.iter().all(|l| l.chained));
    assert_eq!(lines[1].diff.len(), 2);
}
