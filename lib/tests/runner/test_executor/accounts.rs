//! Whether an executor can say for whom all runs at its worker are.

use super::*;

fn recovering() -> Bench {
    let mut policy = Policy::default();
    policy.recovery.on = true;
    let mut bench = Bench::with_policy(policy);
    bench.heartbeat("w1", false, 1);
    bench
}

fn last(bench: &Bench, link: LinkId) -> proto::Update {
    bench.updates(link).pop().expect("an update")
}

fn owners(bench: &Bench, link: LinkId) -> Vec<u64> {
    let updates = bench.updates(link).into_iter().rev();
    let profile = updates.filter_map(|u| u.profile).next();
    profile.expect("a profile").owners
}

#[test]
fn test_executor_accounts_for_its_runs_once_it_has_read_the_lists() {
    let mut bench = recovering();
    bench.link(ONE, "one");
    bench.pass(100);
    bench.pass(100);
    assert!(!last(&bench, ONE).accounted);
    bench.lists(&[], Vec::new());
    bench.pass(100);
    assert!(last(&bench, ONE).accounted);
    assert_eq!(owners(&bench, ONE), [7]);
}

#[test]
fn test_executor_does_not_account_for_runs_of_a_scheduler_that_has_started_anew() {
    let mut bench = recovering();
    bench.lists(&[], Vec::new());
    bench.link(ONE, "one");
    bench.pass(100);
    bench.start(ONE, 1, &[0]);
    bench
        .executor
        .handle_start_reply(bench.now, run(1, 0, 1), OrderReply::Done(1));
    bench.pass(100);
    assert!(last(&bench, ONE).accounted);
    let greeting = proto::Greeting {
        name: "one".to_owned(),
        incarnation: 8,
        ..proto::Greeting::default()
    };
    bench.executor.link_up(bench.now, TWO, &greeting);
    bench.pass(100);
    bench.pass(100);
    assert!(!last(&bench, TWO).accounted, "the run may not have ended");
    bench.lists(&[], vec![finished(1, run(1, 0, 1), RunEnd::Stopped)]);
    bench.pass(100);
    assert!(last(&bench, TWO).accounted);
    assert_eq!(owners(&bench, TWO), [8]);
}

#[test]
fn test_executor_accounts_for_a_scheduler_that_its_profile_does_not_name_yet() {
    let mut bench = recovering();
    bench.lists(&[], Vec::new());
    bench.link(ONE, "one");
    bench.pass(100);
    let greeting = proto::Greeting {
        name: "two".to_owned(),
        incarnation: 8,
        ..proto::Greeting::default()
    };
    bench.executor.link_up(bench.now, TWO, &greeting);
    bench.claim(ONE, 1);
    assert!(last(&bench, ONE).accounted);
    assert_eq!(owners(&bench, ONE), [7]);
    assert_eq!(last(&bench, ONE).newcomers, [8]);
    bench.pass(100);
    assert!(last(&bench, ONE).accounted);
    assert_eq!(owners(&bench, ONE), [7, 8]);
    assert_eq!(last(&bench, ONE).newcomers, [0u64; 0]);
}

#[test]
fn test_executor_says_nothing_of_its_accounts_unless_it_is_to() {
    let mut bench = Bench::ready();
    bench.pass(100);
    bench.pass(100);
    let updates = bench.updates(ONE);
    assert!(updates.iter().all(|u| !u.accounted));
    assert!(owners(&bench, ONE).is_empty());
}
