//! Tests of catalog synchronization: a scheduler gets the newest catalog from the store or, if that takes too
//! long, from one peer at a time, and sends its own only on request.

use super::*;

/// Returns the update of a peer that has this version of the catalog.
fn version_update(version: u64) -> proto::PeerUpdate {
    proto::PeerUpdate {
        catalog_version: version,
        ..proto::PeerUpdate::default()
    }
}

/// Returns an encoded catalog of this version.
fn encoded(version: u64) -> bytes::Bytes {
    let json = serde_json::to_vec(&catalog(version));
    json.expect("a catalog can be encoded as JSON").into()
}

/// Returns the updates to peers since the last call, and the links on which they were sent.
fn sent_updates(bench: &mut Bench) -> Vec<(LinkId, proto::PeerUpdate)> {
    let sent = bench.actions.iter().filter_map(|a| match a {
        Action::Send(link, body) => match &**body {
            Body::Peer(update) => Some((*link, update.clone())),
            _ => None,
        },
        _ => None,
    });
    let sent = sent.collect();
    bench.actions.clear();
    sent
}

/// Returns the links to peers that were asked for their catalog since the last call.
fn asked(bench: &mut Bench) -> Vec<LinkId> {
    let sent = sent_updates(bench).into_iter();
    let asked = sent.filter(|(_, u)| u.catalog_wanted);
    asked.map(|(link, _)| link).collect()
}

/// Returns how many copies of the catalog were sent since the last call.
fn copies(bench: &mut Bench) -> usize {
    let sent = sent_updates(bench).into_iter();
    sent.filter(|(_, u)| !u.catalog.is_empty()).count()
}

/// Returns a scheduler with two peers that have the same catalog.
fn with_two_peers() -> Bench {
    let mut bench = Bench::ready();
    bench.link(PEER, "s2", false);
    bench.link(OTHER_PEER, "s3", false);
    bench.send_peer_update_on(PEER, version_update(3));
    bench.send_peer_update_on(OTHER_PEER, version_update(3));
    bench.actions.clear();
    bench
}

#[test]
fn test_catalog_sent_once_per_request() {
    let mut bench = with_two_peers();
    bench.scheduler.set_catalog(bench.now, catalog(9));
    bench.collect_actions();
    let versions: Vec<u64> = sent_updates(&mut bench)
        .iter()
        .map(|(_, u)| u.catalog_version)
        .collect();
    assert_eq!(
        versions,
        [9, 9],
        "the version is sent to both peers at once"
    );
    for _ in 0..20 {
        bench.advance(100);
        bench.send_peer_update_on(PEER, version_update(3));
    }
    assert_eq!(
        copies(&mut bench),
        0,
        "the outdated peer has not asked for it"
    );
    bench.send_peer_update_on(
        PEER,
        proto::PeerUpdate {
            catalog_wanted: true,
            ..version_update(3)
        },
    );
    assert_eq!(copies(&mut bench), 1);
    for _ in 0..20 {
        bench.advance(100);
        bench.send_peer_update_on(PEER, version_update(3));
    }
    assert_eq!(copies(&mut bench), 0, "the copy may still be on its way");
}

#[test]
fn test_catalog_requested_from_one_peer() {
    let mut bench = with_two_peers();
    bench.send_peer_update_on(PEER, version_update(9));
    bench.send_peer_update_on(OTHER_PEER, version_update(9));
    bench.advance(20);
    bench.advance(160);
    assert_eq!(asked(&mut bench), [], "the store is given time first");
    bench.advance(40);
    let first = asked(&mut bench);
    assert_eq!(first.len(), 1, "one peer at a time: {first:?}");
    for _ in 0..7 {
        bench.advance(100);
        bench.send_peer_update_on(PEER, version_update(9));
        bench.send_peer_update_on(OTHER_PEER, version_update(9));
    }
    assert_eq!(asked(&mut bench), [], "its answer may still be on its way");
    bench.advance(120);
    let second = asked(&mut bench);
    assert_eq!(second.len(), 1);
    assert_ne!(first, second, "the second request goes to another peer");
    bench.send_peer_update_on(
        second[0],
        proto::PeerUpdate {
            catalog: encoded(9),
            ..version_update(9)
        },
    );
    assert_eq!(bench.scheduler.version(), 9);
    bench.advance(2000);
    assert_eq!(asked(&mut bench), []);
}

#[test]
fn test_catalog_request_lost_link() {
    let mut bench = with_two_peers();
    bench.send_peer_update_on(PEER, version_update(9));
    bench.send_peer_update_on(OTHER_PEER, version_update(9));
    bench.advance(20);
    bench.advance(220);
    let first = asked(&mut bench);
    assert_eq!(first.len(), 1);
    bench.scheduler.link_down(bench.now, first[0]);
    bench.advance(20);
    let second = asked(&mut bench);
    assert_eq!(second.len(), 1);
    assert_ne!(first, second);
}

#[test]
fn test_catalog_requested_without_own() {
    let mut bench = Bench::without_catalog();
    bench.link(PEER, "s2", false);
    bench.send_peer_update_on(PEER, version_update(9));
    bench.advance(20);
    assert_eq!(asked(&mut bench), [PEER]);
}

#[test]
fn test_catalog_outdated_peer() {
    let mut bench = with_two_peers();
    bench.scheduler.set_catalog(bench.now, catalog(9));
    bench.send_peer_update_on(PEER, version_update(3));
    bench.advance(20);
    bench.advance(1000);
    assert_eq!(asked(&mut bench), []);
    assert_eq!(bench.scheduler.version(), 9);
}

#[test]
fn test_scheduler_older_catalog() {
    let mut bench = Bench::ready();
    bench.scheduler.set_catalog(bench.now, catalog(9));
    bench.scheduler.set_catalog(bench.now, catalog(8));
    assert_eq!(bench.scheduler.version(), 9);
    bench.link(PEER, "s2", false);
    let older = serde_json::to_vec(&catalog(4)).expect("JSON");
    bench.send_peer_update(proto::PeerUpdate {
        catalog_version: 4,
        catalog: older.into(),
        ..proto::PeerUpdate::default()
    });
    assert_eq!(bench.scheduler.version(), 9);
    let newer = serde_json::to_vec(&catalog(12)).expect("JSON");
    bench.send_peer_update(proto::PeerUpdate {
        catalog_version: 12,
        catalog: newer.into(),
        ..proto::PeerUpdate::default()
    });
    assert_eq!(
        bench.scheduler.version(),
        12,
        "a newer catalog of a peer is applied"
    );
}
