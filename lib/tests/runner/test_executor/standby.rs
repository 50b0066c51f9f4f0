//! Schedulers on standby, and runs that outlast what was ordered.

use super::*;

/// Links a second scheduler, which says that it is on standby.
fn with_standby() -> Bench {
    let mut bench = Bench::ready();
    bench.link(TWO, "two");
    stand_by(&mut bench, true);
    bench.pass(100);
    bench.actions.clear();
    bench
}

fn stand_by(bench: &mut Bench, standby: bool) {
    let orders = proto::Orders {
        standby,
        ..proto::Orders::default()
    };
    bench.orders(TWO, orders);
}

/// Two seconds in which the first scheduler is heard each 100 ms and the second one once a second.
fn two_seconds(bench: &mut Bench) {
    for n in 0..20 {
        bench.orders(ONE, proto::Orders::default());
        if n % 10 == 0 {
            stand_by(bench, true);
        }
        bench.pass(100);
    }
}

#[test]
fn test_executor_reports_seldom_to_a_scheduler_on_standby() {
    let mut bench = with_standby();
    two_seconds(&mut bench);
    assert!(bench.updates(ONE).len() >= 20);
    assert!(
        bench.updates(TWO).len() <= 3,
        "{}",
        bench.updates(TWO).len()
    );
    assert!(!bench.actions.contains(&Action::Close(TWO)));
}

#[test]
fn test_executor_lists_schedulers_that_may_place_tasks() {
    let mut bench = with_standby();
    let leased = |bench: &Bench| {
        let updates = bench.updates(ONE);
        let mut told = updates.into_iter().filter_map(|u| u.profile);
        told.next_back().map(|profile| profile.leased)
    };
    stand_by(&mut bench, false);
    bench.pass(25);
    bench.pass(100);
    assert_eq!(
        leased(&bench),
        Some(vec!["one".to_owned(), "two".to_owned()])
    );
    stand_by(&mut bench, true);
    bench.pass(25);
    bench.pass(100);
    assert_eq!(leased(&bench), Some(vec!["one".to_owned()]));
}

/// Schedulers rest on this where they claim new jobs only at executors that list a lost peer: with 55 of them linked, too.
#[test]
fn test_executor_tells_standby_of_leases_within_200_ms() {
    let mut bench = with_standby();
    for n in 0..53 {
        let link = LinkId(100 + n);
        bench.link(link, &format!("other-{n}"));
        let orders = proto::Orders {
            standby: true,
            ..proto::Orders::default()
        };
        bench.orders(link, orders);
    }
    two_seconds(&mut bench);
    bench.link(LinkId(200), "late");
    bench.orders(LinkId(200), proto::Orders::default());
    bench.actions.clear();
    for _ in 0..8 {
        bench.pass(25);
    }
    let updates = bench.updates(TWO);
    let mut told = updates.into_iter().filter_map(|u| u.profile);
    let told = told.next_back().expect("it was told");
    assert_eq!(told.leased, ["late", "one"]);
}

#[test]
fn test_executor_answers_a_claim_from_standby_at_once() {
    let mut bench = with_standby();
    let orders = proto::Orders {
        standby: true,
        claims: vec![7],
        ..proto::Orders::default()
    };
    bench.orders(TWO, orders);
    let update = bench.updates(TWO).pop().expect("an update at once");
    assert_eq!(update.claimed, [7]);
}

#[test]
fn test_executor_closes_the_link_of_a_scheduler_on_standby_that_is_silent() {
    let mut bench = with_standby();
    for _ in 0..23 {
        bench.orders(ONE, proto::Orders::default());
        bench.pass(100);
    }
    assert!(!bench.actions.contains(&Action::Close(TWO)));
    for _ in 0..2 {
        bench.orders(ONE, proto::Orders::default());
        bench.pass(100);
    }
    assert!(bench.actions.contains(&Action::Close(TWO)));
}

/// One that goes on standby with something at work keeps it for as long as its lease lasts.
#[test]
fn test_executor_stops_runs_of_a_scheduler_on_standby_when_its_lease_is_over() {
    let mut bench = with_standby();
    stand_by(&mut bench, false);
    bench.start(TWO, 1, &[0]);
    let started = OrderReply::Done(1);
    bench
        .executor
        .handle_start_reply(bench.now, run(1, 0, 1), started);
    stand_by(&mut bench, true);
    assert_eq!(bench.started(), [run(1, 0, 1)]);
    for _ in 0..6 {
        bench.orders(ONE, proto::Orders::default());
        bench.pass(100);
        bench.lists(&[run(1, 0, 1)], Vec::new());
    }
    assert_eq!(bench.stopped(), []);
    bench.pass(150);
    assert_eq!(bench.stopped(), [run(1, 0, 1)]);
}

/// A start that got no answer is stopped; the worker carries it out four seconds later all the same.
#[test]
fn test_executor_stops_a_run_that_its_worker_began_late() {
    let mut bench = Bench::ready();
    bench.start(ONE, 1, &[0]);
    let name = run(1, 0, 1);
    bench
        .executor
        .handle_start_reply(bench.now, name, OrderReply::NoAnswer);
    bench.take();
    bench
        .executor
        .handle_stop_reply(bench.now, name, OrderReply::Done(1));
    bench.take();
    for _ in 0..40 {
        bench.lists(&[], Vec::new());
        bench.orders(ONE, proto::Orders::default());
        bench.pass(100);
    }
    bench.actions.clear();
    bench.lists(&[name], Vec::new());
    assert_eq!(bench.stopped(), [name], "nobody wants it any more");
}

/// The scheduler that had a task started is removed for good, so its job's cancel comes to nobody who has it.
#[test]
fn test_executor_stops_runs_of_a_scheduler_that_is_removed() {
    let mut bench = Bench::ready();
    bench.start(ONE, 1, &[0]);
    let name = run(1, 0, 1);
    bench
        .executor
        .handle_start_reply(bench.now, name, OrderReply::Done(1));
    bench.executor.link_down(ONE);
    for _ in 0..8 {
        bench.lists(&[name], Vec::new());
        bench.pass(100);
    }
    assert_eq!(
        bench.stopped().first(),
        Some(&name),
        "within its lease of 700 ms"
    );
}
