//! Claims of jobs: when the executor confirms or denies them.

use super::*;

#[test]
fn test_executor_claim_confirmed_after_runs_end() {
    let mut bench = Bench::ready();
    bench.link_up(TWO, "two");
    bench.order_start(ONE, 1, &[0]);
    bench
        .executor
        .handle_start_reply(bench.now, run(1, 0, 1), OrderReply::Done(1));
    bench.claim(TWO, 1);
    assert_eq!(bench.sent_stops(), [run(1, 0, 1)]);
    let claimed = |b: &Bench| b.updates(TWO).iter().any(|u| u.claimed == [1]);
    assert!(!claimed(&bench));
    bench.report_lists(&[], vec![finished(1, run(1, 0, 1), RunEnd::Stopped)]);
    assert!(claimed(&bench));
    bench.order_start(ONE, 1, &[1]);
    assert_eq!(
        bench.sent_starts().len(),
        1,
        "another scheduler has claimed the job"
    );
    let kinds: Vec<EndKind> = bench.ends(ONE).iter().map(|e| e.1).collect();
    assert_eq!(kinds, [EndKind::Claimed, EndKind::Claimed]);
}

#[test]
fn test_executor_conflicting_claims() {
    let mut bench = Bench::ready();
    bench.link_up(TWO, "two");
    bench.claim(TWO, 1);
    bench.claim(ONE, 1);
    assert!(bench.updates(TWO).iter().any(|u| u.denied == [1]));
    bench.claim(TWO, 1);
    assert_eq!(
        bench
            .updates(ONE)
            .iter()
            .filter(|u| !u.denied.is_empty())
            .count(),
        0
    );
}

#[test]
fn test_executor_claim_confirmed_by_probe() {
    let mut bench = Bench::new();
    bench.link_up(ONE, "one");
    bench.claim(ONE, 1);
    bench.advance(20);
    assert!(bench.updates(ONE).iter().all(|u| u.claimed.is_empty()));
    bench.report_lists(&[run(1, 0, 1)], Vec::new());
    assert_eq!(
        bench.sent_stops(),
        [run(1, 0, 1)],
        "a run started by an earlier executor"
    );
    assert!(bench.updates(ONE).iter().all(|u| u.claimed.is_empty()));
    bench.advance(40);
    bench.report_lists(&[], Vec::new());
    let last = bench.updates(ONE).pop().expect("an update");
    assert_eq!(
        last.claimed,
        [1],
        "no run of the job is left and none can start"
    );
}

#[test]
fn test_executor_claim_probe_of_earlier_incarnation() {
    let mut bench = Bench::new();
    bench.link_up(ONE, "one");
    bench.claim(ONE, 1);
    bench.send_heartbeat("w1", false, 1);
    bench.report_lists(&[], Vec::new());
    assert!(bench.updates(ONE).iter().all(|u| u.claimed.is_empty()));
    bench.report_lists(&[], Vec::new());
    let last = bench.updates(ONE).pop().expect("an update");
    assert_eq!(last.claimed, [1]);
}

#[test]
fn test_executor_claim_superseded() {
    let mut bench = Bench::ready();
    bench.link_up(TWO, "two");
    bench.claim(ONE, 1);
    for _ in 0..30 {
        bench.send_orders(ONE, proto::Orders::default());
        bench.send_orders(TWO, proto::Orders::default());
        bench.advance(100);
    }
    bench.claim(TWO, 1);
    let denied = |link| bench.updates(link).iter().any(|u| u.denied == [1]);
    assert!(
        denied(ONE),
        "the first claimant may still wait for other executors"
    );
    assert!(!denied(TWO));
}

#[test]
fn test_executor_claim_unknown_worker() {
    let mut bench = Bench::new();
    bench.link_up(ONE, "one");
    bench.claim(ONE, 1);
    assert!(bench.updates(ONE).iter().all(|u| u.claimed.is_empty()));
    for _ in 0..12 {
        bench.send_orders(ONE, proto::Orders::default());
        bench.advance(100);
    }
    assert!(
        bench.updates(ONE).iter().any(|u| u.claimed == [1]),
        "no run can have been kept alive until now"
    );
}
