//! Claims of a scheduler that has just started: which executors and peers it waits for.

use super::*;

/// Returns a scheduler that has just started and has a job: one executor lists a lease of a peer that is not
/// linked here, and the link to another executor has been lost again.
fn starting_with_unlinked_peer() -> Bench {
    let mut bench = Bench::new();
    bench.link(EXECUTOR, "e1", true);
    bench.link(OTHER_EXECUTOR, "e2", true);
    bench.scheduler.link_down(bench.now, OTHER_EXECUTOR);
    bench.report(vec!["s1".to_owned(), "s2".to_owned()]);
    bench.advance(20);
    bench.submit_estimated(1, 7, 1, 900);
    bench
}

/// Delivers an executor's confirmation of the claim of job 7, with leases of this scheduler and `s2`.
fn confirm_on(bench: &mut Bench, link: LinkId) {
    let update = proto::Update {
        claimed: vec![7],
        profile: Some(profile(vec!["s1".to_owned(), "s2".to_owned()])),
        ..proto::Update::default()
    };
    bench.send_update_on(link, update);
}

/// Returns a scheduler without peers that has just started, knows this roster, and has a job whose claim is
/// confirmed by the one linked executor.
fn starting_with_roster(names: &[&str]) -> Bench {
    let mut bench = Bench::new();
    bench.link(EXECUTOR, "e1", true);
    let names = names.iter().map(|n| (*n).to_owned()).collect();
    bench.scheduler.set_roster(bench.now, names);
    bench.submit_estimated(1, 7, 1, 2000);
    bench.report(Vec::new());
    for _ in 0..25 {
        bench.confirm_claim();
        bench.advance(20);
    }
    bench
}

#[test]
fn test_claim_at_start_peers_linked() {
    let mut bench = starting_with_unlinked_peer();
    assert_eq!(bench.answers(), [], "it is too early to end the job");
    let roster = vec!["e1".to_owned(), "e2".to_owned()];
    bench.scheduler.set_roster(bench.now, roster);
    bench.link(PEER, "s2", false);
    bench.link(OTHER_EXECUTOR, "e2", true);
    confirm_on(&mut bench, EXECUTOR);
    confirm_on(&mut bench, OTHER_EXECUTOR);
    for _ in 0..20 {
        bench.advance(20);
        bench.send_peer_update(proto::PeerUpdate::default());
        bench.send_update_on(OTHER_EXECUTOR, proto::Update::default());
        bench.report(Vec::new());
    }
    assert_eq!(bench.starts(), [(7, 0, 1)]);
}

#[test]
fn test_claim_at_start_unreachable_executor() {
    let mut bench = starting_with_unlinked_peer();
    for _ in 0..80 {
        confirm_on(&mut bench, EXECUTOR);
        bench.advance(20);
    }
    assert_eq!(bench.starts(), [], "the other executor may run it for s2");
    assert_eq!(bench.answers(), [(1, JobOutcome::Unknown)]);
}

#[test]
fn test_claim_at_start_complete_roster() {
    let bench = starting_with_roster(&["e1"]);
    assert_eq!(bench.starts(), [(7, 0, 1)]);
}

#[test]
fn test_claim_at_start_unlinked_executor() {
    let mut bench = starting_with_roster(&["e1", "e2"]);
    assert_eq!(bench.starts(), [], "e2 may still run tasks for others");
    for _ in 0..45 {
        bench.report(Vec::new());
        bench.advance(20);
    }
    assert_eq!(
        bench.starts(),
        [(7, 0, 1)],
        "any lease elsewhere has expired"
    );
}

/// Guards against waiting for executors that shut down in order just after a scheduler has read the roster.
/// After a power loss, eight executors were removed within 0.2 s of the restart, and the roster read before
/// still listed them.
#[test]
fn test_claim_at_start_departed_executor() {
    let mut bench = Bench::new();
    bench.link(EXECUTOR, "e1", true);
    bench.link(OTHER_EXECUTOR, "e2", true);
    let names = vec!["e1".to_owned(), "e2".to_owned()];
    bench.scheduler.set_roster(bench.now, names);
    bench.submit_estimated(1, 7, 1, 2000);
    bench.report(Vec::new());
    let last = proto::Update {
        departed: true,
        ..proto::Update::default()
    };
    bench.send_update_on(OTHER_EXECUTOR, last);
    bench.scheduler.link_down(bench.now, OTHER_EXECUTOR);
    for _ in 0..25 {
        bench.confirm_claim();
        bench.advance(20);
    }
    assert_eq!(bench.starts(), [(7, 0, 1)]);
}

/// The executor has linked again since it departed, and its link was lost: what it runs for others is not
/// known.
#[test]
fn test_claim_at_start_returned_executor() {
    let mut bench = Bench::new();
    bench.link(EXECUTOR, "e1", true);
    bench.link(OTHER_EXECUTOR, "e2", true);
    let names = vec!["e1".to_owned(), "e2".to_owned()];
    bench.scheduler.set_roster(bench.now, names);
    let last = proto::Update {
        departed: true,
        ..proto::Update::default()
    };
    bench.send_update_on(OTHER_EXECUTOR, last);
    bench.scheduler.link_down(bench.now, OTHER_EXECUTOR);
    bench.link(OTHER_EXECUTOR, "e2", true);
    bench.scheduler.link_down(bench.now, OTHER_EXECUTOR);
    bench.submit_estimated(1, 7, 1, 2000);
    for _ in 0..25 {
        bench.confirm_claim();
        bench.advance(20);
    }
    assert_eq!(bench.starts(), []);
}

#[test]
fn test_claim_never_linked_executor() {
    let mut bench = Bench::ready();
    let roster = vec!["e1".to_owned(), "e2".to_owned()];
    bench.scheduler.set_roster(bench.now, roster);
    bench.link(PEER, "s2", false);
    bench.scheduler.link_down(bench.now, PEER);
    for _ in 0..2000 {
        bench.report(vec!["s1".to_owned(), "s2".to_owned()]);
        bench.advance(20);
    }
    bench.submit(1, 7, 1);
    assert_eq!(bench.starts(), []);
    assert_eq!(bench.answers(), [(1, JobOutcome::Unknown)]);
}

#[test]
fn test_claim_at_start_unlinked_peer() {
    let mut bench = Bench::new();
    bench.link(EXECUTOR, "e1", true);
    bench.link(OTHER_EXECUTOR, "e2", true);
    bench.submit_estimated(1, 7, 1, 2000);
    for _ in 0..75 {
        confirm_on(&mut bench, EXECUTOR);
        bench.send_update_on(OTHER_EXECUTOR, proto::Update::default());
        bench.advance(20);
    }
    assert_eq!(
        bench.starts(),
        [],
        "e2 has not confirmed, and s2 is not heard"
    );
    confirm_on(&mut bench, OTHER_EXECUTOR);
    bench.advance(20);
    assert_eq!(bench.starts(), [(7, 0, 1)]);
}

/// Guards against a task that runs twice at once because the roster is incomplete. Keys can be missing in the
/// store while their owners are alive: with an empty roster and two of four executors linked, all executors
/// counted as met, and a job that a peer ran at a third one was started.
#[test]
fn test_claim_at_start_incomplete_roster() {
    let mut bench = starting_with_roster(&[]);
    assert_eq!(bench.starts(), [], "the roster lacks a linked executor");
    for _ in 0..45 {
        bench.report(Vec::new());
        bench.advance(20);
    }
    assert_eq!(
        bench.starts(),
        [(7, 0, 1)],
        "any lease elsewhere has expired"
    );
}

/// Guards against the same failure when the roster lacks an executor that a peer has announced.
#[test]
fn test_claim_at_start_executor_of_peer() {
    let mut bench = Bench::new();
    bench.link(EXECUTOR, "e1", true);
    bench.link(PEER, "s2", false);
    bench.scheduler.set_roster(bench.now, vec!["e1".to_owned()]);
    bench.send_peer_update(proto::PeerUpdate {
        executors: vec!["e1".to_owned(), "e2".to_owned()],
        ..proto::PeerUpdate::default()
    });
    bench.submit_estimated(1, 7, 1, 2000);
    bench.report(Vec::new());
    for _ in 0..25 {
        confirm_on(&mut bench, EXECUTOR);
        bench.advance(20);
        bench.send_peer_update(proto::PeerUpdate::default());
    }
    assert_eq!(bench.starts(), [], "the peer may run it at e2");
}

/// The jobs of a peer are unknown until its first update on a new link, which lists them.
#[test]
fn test_claim_at_start_first_peer_update() {
    let mut bench = Bench::new();
    bench.link(EXECUTOR, "e1", true);
    bench.scheduler.set_roster(bench.now, vec!["e1".to_owned()]);
    bench.submit_estimated(1, 7, 1, 2000);
    bench.report(Vec::new());
    bench.link(PEER, "s2", false);
    for _ in 0..10 {
        confirm_on(&mut bench, EXECUTOR);
        bench.advance(20);
    }
    assert_eq!(bench.starts(), [], "the peer has not listed its jobs");
    bench.send_peer_update(proto::PeerUpdate::default());
    bench.advance(20);
    assert_eq!(bench.starts(), [(7, 0, 1)]);
}
