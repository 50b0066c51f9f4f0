//! Whether an executor reports that it can attribute all runs at its worker to linked schedulers.
//!
//! Schedulers rely on the report when they lose the executor: it tells them whose jobs may be running there.

use super::*;

/// Returns an executor with the recovery policy switched on, whose worker has sent a heartbeat.
fn with_recovery() -> Bench {
    let mut policy = Policy::default();
    policy.recovery.on = true;
    let mut bench = Bench::with_policy(policy);
    bench.send_heartbeat("w1", false, 1);
    bench
}

fn last_update(bench: &Bench, link: LinkId) -> proto::Update {
    bench.updates(link).pop().expect("an update")
}

fn owners(bench: &Bench, link: LinkId) -> Vec<u64> {
    let updates = bench.updates(link).into_iter().rev();
    let profile = updates.filter_map(|u| u.profile).next();
    profile.expect("a profile").owners
}

#[test]
fn test_executor_accounted_after_lists() {
    let mut bench = with_recovery();
    bench.link_up(ONE, "one");
    bench.advance(100);
    bench.advance(100);
    assert!(!last_update(&bench, ONE).accounted);
    bench.report_lists(&[], Vec::new());
    bench.advance(100);
    assert!(last_update(&bench, ONE).accounted);
    assert_eq!(owners(&bench, ONE), [7]);
}

#[test]
fn test_executor_unaccounted_scheduler_restarted() {
    let mut bench = with_recovery();
    bench.report_lists(&[], Vec::new());
    bench.link_up(ONE, "one");
    bench.advance(100);
    bench.order_start(ONE, 1, &[0]);
    bench
        .executor
        .handle_start_reply(bench.now, run(1, 0, 1), OrderReply::Done(1));
    bench.advance(100);
    assert!(last_update(&bench, ONE).accounted);
    let greeting = proto::Greeting {
        name: "one".to_owned(),
        incarnation: 8,
        ..proto::Greeting::default()
    };
    bench.executor.link_up(bench.now, TWO, &greeting);
    bench.advance(100);
    bench.advance(100);
    assert!(
        !last_update(&bench, TWO).accounted,
        "the run may still be running"
    );
    bench.report_lists(&[], vec![finished(1, run(1, 0, 1), RunEnd::Stopped)]);
    bench.advance(100);
    assert!(last_update(&bench, TWO).accounted);
    assert_eq!(owners(&bench, TWO), [8]);
}

#[test]
fn test_executor_accounted_new_scheduler() {
    let mut bench = with_recovery();
    bench.report_lists(&[], Vec::new());
    bench.link_up(ONE, "one");
    bench.advance(100);
    let greeting = proto::Greeting {
        name: "two".to_owned(),
        incarnation: 8,
        ..proto::Greeting::default()
    };
    bench.executor.link_up(bench.now, TWO, &greeting);
    bench.claim(ONE, 1);
    assert!(last_update(&bench, ONE).accounted);
    assert_eq!(owners(&bench, ONE), [7]);
    assert_eq!(last_update(&bench, ONE).newcomers, [8]);
    bench.advance(100);
    assert!(last_update(&bench, ONE).accounted);
    assert_eq!(owners(&bench, ONE), [7, 8]);
    assert_eq!(last_update(&bench, ONE).newcomers, [0u64; 0]);
}

#[test]
fn test_executor_accounting_disabled() {
    let mut bench = Bench::ready();
    bench.advance(100);
    bench.advance(100);
    let updates = bench.updates(ONE);
    assert!(updates.iter().all(|u| !u.accounted));
    assert!(owners(&bench, ONE).is_empty());
}
