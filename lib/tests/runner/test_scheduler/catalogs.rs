//! How the newest catalog is come by: from the store, else from one peer at a time.

use super::*;

fn word(version: u64) -> proto::PeerUpdate {
    proto::PeerUpdate {
        catalog_version: version,
        ..proto::PeerUpdate::default()
    }
}

fn encoded(version: u64) -> bytes::Bytes {
    let json = serde_json::to_vec(&catalog(version));
    json.expect("texts and numbers have a JSON form").into()
}

/// The updates to peers since the last look, and on which link.
fn told(bench: &mut Bench) -> Vec<(LinkId, proto::PeerUpdate)> {
    let told = bench.actions.iter().filter_map(|a| match a {
        Action::Send(link, body) => match &**body {
            Body::Peer(update) => Some((*link, update.clone())),
            _ => None,
        },
        _ => None,
    });
    let told = told.collect();
    bench.actions.clear();
    told
}

/// Which peers were asked for their catalog since the last look.
fn asked(bench: &mut Bench) -> Vec<LinkId> {
    let told = told(bench).into_iter();
    let asked = told.filter(|(_, u)| u.catalog_wanted);
    asked.map(|(link, _)| link).collect()
}

/// How many copies of the catalog were sent since the last look.
fn copies(bench: &mut Bench) -> usize {
    let told = told(bench).into_iter();
    told.filter(|(_, u)| !u.catalog.is_empty()).count()
}

fn with_two_peers() -> Bench {
    let mut bench = Bench::ready();
    bench.link(PEER, "s2", false);
    bench.link(OTHER_PEER, "s3", false);
    bench.send_peer_update_on(PEER, word(3));
    bench.send_peer_update_on(OTHER_PEER, word(3));
    bench.actions.clear();
    bench
}

#[test]
fn test_scheduler_sends_its_catalog_once_for_each_request() {
    let mut bench = with_two_peers();
    bench.scheduler.set_catalog(bench.now, catalog(9));
    bench.collect_actions();
    let versions: Vec<u64> = told(&mut bench)
        .iter()
        .map(|(_, u)| u.catalog_version)
        .collect();
    assert_eq!(versions, [9, 9], "both peers hear of the version at once");
    for _ in 0..20 {
        bench.advance(100);
        bench.send_peer_update_on(PEER, word(3));
    }
    assert_eq!(
        copies(&mut bench),
        0,
        "a peer that is behind and has not asked"
    );
    bench.send_peer_update_on(
        PEER,
        proto::PeerUpdate {
            catalog_wanted: true,
            ..word(3)
        },
    );
    assert_eq!(copies(&mut bench), 1);
    for _ in 0..20 {
        bench.advance(100);
        bench.send_peer_update_on(PEER, word(3));
    }
    assert_eq!(copies(&mut bench), 0, "the copy is on its way");
}

#[test]
fn test_scheduler_asks_one_peer_when_the_store_does_not_tell() {
    let mut bench = with_two_peers();
    bench.send_peer_update_on(PEER, word(9));
    bench.send_peer_update_on(OTHER_PEER, word(9));
    bench.advance(20);
    bench.advance(160);
    assert_eq!(asked(&mut bench), [], "the store has the first word");
    bench.advance(40);
    let first = asked(&mut bench);
    assert_eq!(first.len(), 1, "one peer at a time: {first:?}");
    for _ in 0..7 {
        bench.advance(100);
        bench.send_peer_update_on(PEER, word(9));
        bench.send_peer_update_on(OTHER_PEER, word(9));
    }
    assert_eq!(asked(&mut bench), [], "its answer may be on its way");
    bench.advance(120);
    let second = asked(&mut bench);
    assert_eq!(second.len(), 1);
    assert_ne!(first, second, "another one the second time");
    bench.send_peer_update_on(
        second[0],
        proto::PeerUpdate {
            catalog: encoded(9),
            ..word(9)
        },
    );
    assert_eq!(bench.scheduler.version(), 9);
    bench.advance(2000);
    assert_eq!(asked(&mut bench), []);
}

#[test]
fn test_scheduler_asks_another_peer_when_the_link_to_the_asked_one_breaks() {
    let mut bench = with_two_peers();
    bench.send_peer_update_on(PEER, word(9));
    bench.send_peer_update_on(OTHER_PEER, word(9));
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
fn test_scheduler_without_a_catalog_asks_at_once() {
    let mut bench = Bench::without_catalog();
    bench.link(PEER, "s2", false);
    bench.send_peer_update_on(PEER, word(9));
    bench.advance(20);
    assert_eq!(asked(&mut bench), [PEER]);
}

#[test]
fn test_scheduler_takes_no_catalog_from_a_peer_that_is_behind() {
    let mut bench = with_two_peers();
    bench.scheduler.set_catalog(bench.now, catalog(9));
    bench.send_peer_update_on(PEER, word(3));
    bench.advance(20);
    bench.advance(1000);
    assert_eq!(asked(&mut bench), []);
    assert_eq!(bench.scheduler.version(), 9);
}
