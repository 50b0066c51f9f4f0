//! Tests of claims: jobs that may be running for another scheduler. Covers jobs that a peer holds or may hold
//! after its link is lost, and schedulers that have just started or were paused. No task may run twice at
//! once, and a job is started as soon as that is certain.

use super::*;

#[test]
fn test_claim_resubmitted_job() {
    let mut bench = Bench::ready();
    bench.submit(1, 7, 1);
    bench
        .scheduler
        .caller_left(bench.now, CallerId(1), JobNumber(7));
    bench.collect_actions();
    bench.actions.clear();
    bench.submit(2, 7, 1);
    bench.advance(20);
    assert_eq!(bench.starts(), [], "its earlier run may still be going on");
    assert!(bench.orders().iter().any(|o| o.renewals == [7]));
    bench.send_update(proto::Update {
        claimed: vec![7],
        ..proto::Update::default()
    });
    assert_eq!(bench.starts(), [(7, 0, 1)]);
}

#[test]
fn test_claim_job_of_linked_peer() {
    let mut bench = Bench::ready();
    bench.link(PEER, "s2", false);
    bench.send_peer_update(proto::PeerUpdate {
        jobs: vec![7],
        ..proto::PeerUpdate::default()
    });
    bench.submit(1, 7, 1);
    assert_eq!(bench.starts(), []);
    let outcome = JobOutcome::Completed.code();
    bench.send_peer_update(proto::PeerUpdate {
        ends: vec![proto::JobEnd { job: 7, outcome }],
        ..proto::PeerUpdate::default()
    });
    assert_eq!(bench.answers(), [(1, JobOutcome::Completed)]);
}

#[test]
fn test_claim_job_given_up_by_one_of_two_peers() {
    let mut bench = Bench::ready();
    bench.link(PEER, "s2", false);
    bench.link(OTHER_PEER, "s3", false);
    bench.announce_on(PEER, 7);
    bench.announce_on(OTHER_PEER, 7);
    bench.submit(1, 7, 1);
    bench.end_job_on(OTHER_PEER, 7, JobOutcome::Unknown);
    bench.advance(20);
    assert_eq!(bench.starts(), [], "s2 still holds it");
    assert!(bench.orders().iter().all(|o| o.claims.is_empty()));
    bench.end_job_on(PEER, 7, JobOutcome::Completed);
    assert_eq!(bench.answers(), [(1, JobOutcome::Completed)]);
}

#[test]
fn test_claim_job_of_reconnected_peer() {
    let mut bench = Bench::ready();
    let roster = vec!["e1".to_owned(), "e2".to_owned()];
    bench.scheduler.set_roster(bench.now, roster);
    bench.link(PEER, "s2", false);
    bench.announce_on(PEER, 7);
    bench.scheduler.link_down(bench.now, PEER);
    bench.submit_estimated(1, 7, 1, 900);
    bench.link(PEER, "s2", false);
    bench.announce_on(PEER, 7);
    bench.send_update(proto::Update {
        claimed: vec![7],
        ..proto::Update::default()
    });
    bench.advance(20);
    assert_eq!(
        bench.starts(),
        [],
        "s2 may run it at e2, which is not linked"
    );
    assert_eq!(bench.answers(), [(1, JobOutcome::Unknown)]);
}

#[test]
fn test_claim_job_of_lost_peer() {
    let mut bench = Bench::ready();
    bench.link(PEER, "s2", false);
    bench.send_peer_update(proto::PeerUpdate {
        jobs: vec![7],
        ..proto::PeerUpdate::default()
    });
    bench.scheduler.link_down(bench.now, PEER);
    bench.submit(1, 7, 1);
    bench.advance(20);
    assert!(bench.orders().iter().any(|o| o.claims == [7]));
    bench.send_update(proto::Update {
        claimed: vec![7],
        ..proto::Update::default()
    });
    assert_eq!(
        bench.starts(),
        [],
        "the peer may not have noticed that it is cut off"
    );
    for _ in 0..70 {
        bench.report(Vec::new());
        bench.advance(20);
    }
    // The job can't end in time any more, and is given up without a start.
    assert_eq!(bench.starts(), []);
    assert_eq!(bench.answers().len(), 1);
}

#[test]
fn test_claim_unreachable_peer_with_lease() {
    let mut bench = Bench::ready();
    bench.link(PEER, "s2", false);
    bench.scheduler.link_down(bench.now, PEER);
    for _ in 0..50 {
        bench.report(vec!["s1".to_owned(), "s2".to_owned()]);
        bench.advance(20);
    }
    bench.submit(1, 7, 1);
    bench.advance(20);
    assert!(bench.orders().iter().any(|o| o.claims == [7]));
    assert_eq!(bench.starts(), []);
}

#[test]
fn test_claim_after_pause() {
    let mut bench = Bench::ready();
    bench.advance(2400);
    bench.submit(1, 7, 1);
    bench.link(EXECUTOR, "e1", true);
    bench.report(Vec::new());
    bench.advance(20);
    assert_eq!(
        bench.starts(),
        [],
        "a peer may have accepted it during the pause"
    );
    assert!(bench.orders().iter().any(|o| o.claims == [7]));
}

#[test]
fn test_claim_repeated_after_pause() {
    let mut bench = Bench::new();
    bench.link(EXECUTOR, "e1", true);
    bench.link(PEER, "s2", false);
    let roster = vec!["e1".to_owned()];
    bench.scheduler.set_roster(bench.now, roster);
    bench.submit_estimated(1, 7, 1, 2000);
    bench.actions.clear();
    bench.advance(2400);
    bench.link(PEER, "s2", false);
    bench.link(EXECUTOR, "e1", true);
    for _ in 0..5 {
        bench.send_peer_update(proto::PeerUpdate::default());
        bench.report(Vec::new());
        bench.advance(20);
    }
    assert_eq!(
        bench.starts(),
        [],
        "the peer may have accepted it meanwhile"
    );
    assert!(bench.orders().iter().any(|o| o.claims == [7]));
    for _ in 0..22 {
        bench.send_peer_update(proto::PeerUpdate::default());
        bench.send_update(proto::Update {
            claimed: vec![7],
            ..proto::Update::default()
        });
        bench.advance(20);
    }
    assert_eq!(bench.starts(), [(7, 0, 1)]);
}

/// A caller's connection may break together with the link on which its job would have been announced.
#[test]
fn test_claim_after_lost_link() {
    let mut bench = Bench::ready();
    bench.link(PEER, "s2", false);
    bench.send_peer_update(proto::PeerUpdate::default());
    bench.scheduler.link_down(bench.now, PEER);
    bench.submit(1, 9, 1);
    assert_eq!(bench.starts(), [], "the peer may have accepted it");
    bench.advance(20);
    let claims: Vec<u64> = bench.orders().into_iter().flat_map(|o| o.claims).collect();
    assert_eq!(claims, [9]);
    bench.send_update(proto::Update {
        claimed: vec![9],
        ..proto::Update::default()
    });
    assert_eq!(
        bench.starts(),
        [(9, 0, 1)],
        "the executors' confirmation is enough"
    );
}

#[test]
fn test_claim_long_after_lost_link() {
    let mut bench = Bench::ready();
    bench.link(PEER, "s2", false);
    bench.send_peer_update(proto::PeerUpdate::default());
    bench.scheduler.link_down(bench.now, PEER);
    for _ in 0..26 {
        bench.advance(20);
        bench.report(Vec::new());
    }
    bench.actions.clear();
    bench.submit(1, 9, 1);
    assert_eq!(bench.starts(), [(9, 0, 1)]);
}

#[test]
fn test_claim_after_peer_left() {
    let mut bench = Bench::ready();
    bench.link(PEER, "s2", false);
    bench.send_peer_update(proto::PeerUpdate {
        leaving: true,
        ..proto::PeerUpdate::default()
    });
    bench.scheduler.link_down(bench.now, PEER);
    bench.submit(1, 9, 1);
    assert_eq!(bench.starts(), [(9, 0, 1)]);
}

/// Guards against a task that runs twice at once after a peer was restarted. The new incarnation is heard at
/// once, but what the earlier one started at e2, which is not linked here, runs on until its lease expires.
/// Found by the random run with executors that leave, seed 79.
#[test]
fn test_claim_after_peer_restart() {
    let mut bench = Bench::new();
    bench.link(EXECUTOR, "e1", true);
    bench.link(OTHER_EXECUTOR, "e2", true);
    bench.link(PEER, "s2", false);
    bench.scheduler.link_down(bench.now, OTHER_EXECUTOR);
    for _ in 0..100 {
        bench.report(Vec::new());
        bench.send_peer_update(proto::PeerUpdate::default());
        bench.advance(20);
    }
    bench.scheduler.link_down(bench.now, PEER);
    bench.link_incarnation(2, PEER, "s2", false);
    bench.send_peer_update(proto::PeerUpdate::default());
    bench.submit_estimated(1, 7, 1, 2000);
    for _ in 0..50 {
        bench.confirm_claim();
        bench.send_peer_update(proto::PeerUpdate::default());
        bench.advance(20);
    }
    assert_eq!(bench.starts(), [], "e2 may still run it");
    for _ in 0..20 {
        bench.confirm_claim();
        bench.send_peer_update(proto::PeerUpdate::default());
        bench.advance(20);
    }
    assert_eq!(bench.starts(), [(7, 0, 1)], "the lease at e2 has expired");
}

/// Guards against a task that runs twice at once after a peer has given up its job. The peer's stop may not
/// have reached e2, which is not linked here, when the job is taken over. Found by the random run that
/// recovers, with executors that leave, seed 5082.
#[test]
fn test_claim_job_given_up_by_peer() {
    let mut bench = Bench::ready();
    bench.link(OTHER_EXECUTOR, "e2", true);
    bench.link(PEER, "s2", false);
    bench.scheduler.link_down(bench.now, OTHER_EXECUTOR);
    for _ in 0..100 {
        bench.report(Vec::new());
        bench.send_peer_update(proto::PeerUpdate::default());
        bench.advance(20);
    }
    bench.announce_on(PEER, 7);
    bench.submit_estimated(1, 7, 1, 2000);
    bench.end_job_on(PEER, 7, JobOutcome::Unknown);
    for _ in 0..60 {
        bench.confirm_claim();
        bench.send_peer_update(proto::PeerUpdate::default());
        bench.advance(20);
    }
    assert_eq!(bench.starts(), [], "e2 may still run it");
    for _ in 0..10 {
        bench.confirm_claim();
        bench.send_peer_update(proto::PeerUpdate::default());
        bench.advance(20);
    }
    assert_eq!(bench.starts(), [(7, 0, 1)], "the lease at e2 has expired");
}
