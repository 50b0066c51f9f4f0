//! Jobs that are refused because nothing can run them.

use super::*;

#[test]
fn test_scheduler_refusal_without_capacity() {
    let mut bench = Bench::ready();
    bench.submit(1, 1, 4);
    bench.submit(2, 2, 4);
    for _ in 0..20 {
        bench.advance(20);
    }
    let answers = bench.answers();
    assert_eq!(answers.len(), 1, "{answers:?}");
    assert!(matches!(answers[0], (2, JobOutcome::Refused(ms)) if ms >= 400));
    assert!(bench.starts().iter().all(|s| s.0 == 1));
}

/// Guards against an entry that accepts and announces a job although no executor is linked: a peer
/// that could run the job would follow it there instead.
#[test]
fn test_scheduler_refusal_without_executors() {
    let mut bench = Bench::ready();
    bench.link(PEER, "s2", false);
    bench.send_peer_update(proto::PeerUpdate::default());
    bench.scheduler.link_down(bench.now, EXECUTOR);
    bench.actions.clear();
    bench.submit(1, 9, 1);
    assert_matches!(bench.answers()[..], [(1, JobOutcome::Refused(_))]);
    bench.advance(200);
    let announced = bench.actions.iter().any(|a| match a {
        Action::Send(_, body) => matches!(&**body, Body::Peer(update) if update.jobs == [9]),
        _ => false,
    });
    assert!(!announced, "a peer may be able to run it");
}
