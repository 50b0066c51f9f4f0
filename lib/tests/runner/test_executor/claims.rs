//! Claims of jobs at an executor.

use super::*;

#[test]
fn test_executor_confirms_a_claim_when_nothing_is_left() {
    let mut bench = Bench::ready();
    bench.link(TWO, "two");
    bench.start(ONE, 1, &[0]);
    bench
        .executor
        .handle_start_reply(bench.now, run(1, 0, 1), OrderReply::Done(1));
    bench.claim(TWO, 1);
    assert_eq!(bench.stopped(), [run(1, 0, 1)]);
    let claimed = |b: &Bench| b.updates(TWO).iter().any(|u| u.claimed == [1]);
    assert!(!claimed(&bench));
    bench.lists(&[], vec![finished(1, run(1, 0, 1), RunEnd::Stopped)]);
    assert!(claimed(&bench));
    bench.start(ONE, 1, &[1]);
    assert_eq!(
        bench.started().len(),
        1,
        "the job belongs to another scheduler"
    );
    let kinds: Vec<EndKind> = bench.ends(ONE).iter().map(|e| e.1).collect();
    assert_eq!(kinds, [EndKind::Claimed, EndKind::Claimed]);
}

#[test]
fn test_executor_prefers_the_first_by_name_of_two_claims() {
    let mut bench = Bench::ready();
    bench.link(TWO, "two");
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
fn test_executor_confirms_a_claim_before_its_worker_has_said_anything() {
    let mut bench = Bench::new();
    bench.link(ONE, "one");
    bench.claim(ONE, 1);
    bench.pass(20);
    assert!(bench.updates(ONE).iter().all(|u| u.claimed.is_empty()));
    bench.lists(&[run(1, 0, 1)], Vec::new());
    assert_eq!(bench.stopped(), [run(1, 0, 1)], "an earlier executor's run");
    assert!(bench.updates(ONE).iter().all(|u| u.claimed.is_empty()));
    bench.pass(40);
    bench.lists(&[], Vec::new());
    let last = bench.updates(ONE).pop().expect("an update");
    assert_eq!(last.claimed, [1], "nothing is left, and nothing can start");
}

#[test]
fn test_executor_does_not_take_a_probe_for_a_later_life() {
    let mut bench = Bench::new();
    bench.link(ONE, "one");
    bench.claim(ONE, 1);
    bench.heartbeat("w1", false, 1);
    bench.lists(&[], Vec::new());
    assert!(bench.updates(ONE).iter().all(|u| u.claimed.is_empty()));
    bench.lists(&[], Vec::new());
    let last = bench.updates(ONE).pop().expect("an update");
    assert_eq!(last.claimed, [1]);
}

#[test]
fn test_executor_tells_a_claimant_that_a_later_claim_has_replaced_its_own() {
    let mut bench = Bench::ready();
    bench.link(TWO, "two");
    bench.claim(ONE, 1);
    for _ in 0..30 {
        bench.orders(ONE, proto::Orders::default());
        bench.orders(TWO, proto::Orders::default());
        bench.pass(100);
    }
    bench.claim(TWO, 1);
    let denied = |link| bench.updates(link).iter().any(|u| u.denied == [1]);
    assert!(denied(ONE), "it may still wait for other executors");
    assert!(!denied(TWO));
}

#[test]
fn test_executor_does_not_confirm_before_it_knows_its_worker() {
    let mut bench = Bench::new();
    bench.link(ONE, "one");
    bench.claim(ONE, 1);
    assert!(bench.updates(ONE).iter().all(|u| u.claimed.is_empty()));
    for _ in 0..12 {
        bench.orders(ONE, proto::Orders::default());
        bench.pass(100);
    }
    assert!(
        bench.updates(ONE).iter().any(|u| u.claimed == [1]),
        "by now nothing can run"
    );
}
