//! Schedulers on standby, and runs that no scheduler owns any more.

use super::*;

/// Returns an executor with a second scheduler, which is on standby.
fn with_standby() -> Bench {
    let mut bench = Bench::ready();
    bench.link_up(TWO, "two");
    set_standby(&mut bench, true);
    bench.advance(100);
    bench.actions.clear();
    bench
}

fn set_standby(bench: &mut Bench, standby: bool) {
    let orders = proto::Orders {
        standby,
        ..proto::Orders::default()
    };
    bench.send_orders(TWO, orders);
}

/// Advances by two seconds. The first scheduler sends orders every 100 ms, the one on standby every second.
fn advance_two_seconds(bench: &mut Bench) {
    for n in 0..20 {
        bench.send_orders(ONE, proto::Orders::default());
        if n % 10 == 0 {
            set_standby(bench, true);
        }
        bench.advance(100);
    }
}

#[test]
fn test_executor_standby_report_interval() {
    let mut bench = with_standby();
    advance_two_seconds(&mut bench);
    assert!(bench.updates(ONE).len() >= 20);
    assert!(
        bench.updates(TWO).len() <= 3,
        "{}",
        bench.updates(TWO).len()
    );
    assert!(!bench.actions.contains(&Action::Close(TWO)));
}

#[test]
fn test_executor_leased_schedulers() {
    let mut bench = with_standby();
    let leased = |bench: &Bench| {
        let updates = bench.updates(ONE);
        let mut profiles = updates.into_iter().filter_map(|u| u.profile);
        profiles.next_back().map(|profile| profile.leased)
    };
    set_standby(&mut bench, false);
    bench.advance(25);
    bench.advance(100);
    assert_eq!(
        leased(&bench),
        Some(vec!["one".to_owned(), "two".to_owned()])
    );
    set_standby(&mut bench, true);
    bench.advance(25);
    bench.advance(100);
    assert_eq!(leased(&bench), Some(vec!["one".to_owned()]));
}

/// Schedulers claim new jobs only at executors that list a lost peer, so a change of leases must be
/// reported to them within 200 ms, also with 55 linked schedulers.
#[test]
fn test_executor_standby_lease_updates() {
    let mut bench = with_standby();
    for n in 0..53 {
        let link = LinkId(100 + n);
        bench.link_up(link, &format!("other-{n}"));
        let orders = proto::Orders {
            standby: true,
            ..proto::Orders::default()
        };
        bench.send_orders(link, orders);
    }
    advance_two_seconds(&mut bench);
    bench.link_up(LinkId(200), "late");
    bench.send_orders(LinkId(200), proto::Orders::default());
    bench.actions.clear();
    for _ in 0..8 {
        bench.advance(25);
    }
    let updates = bench.updates(TWO);
    let mut profiles = updates.into_iter().filter_map(|u| u.profile);
    let last = profiles.next_back().expect("a profile");
    assert_eq!(last.leased, ["late", "one"]);
}

#[test]
fn test_executor_standby_claim() {
    let mut bench = with_standby();
    let orders = proto::Orders {
        standby: true,
        claims: vec![7],
        ..proto::Orders::default()
    };
    bench.send_orders(TWO, orders);
    let update = bench.updates(TWO).pop().expect("an immediate update");
    assert_eq!(update.claimed, [7]);
}

#[test]
fn test_executor_standby_silence() {
    let mut bench = with_standby();
    for _ in 0..23 {
        bench.send_orders(ONE, proto::Orders::default());
        bench.advance(100);
    }
    assert!(!bench.actions.contains(&Action::Close(TWO)));
    for _ in 0..2 {
        bench.send_orders(ONE, proto::Orders::default());
        bench.advance(100);
    }
    assert!(bench.actions.contains(&Action::Close(TWO)));
}

/// A scheduler that goes on standby while a run of its own is active keeps the run until its lease expires.
#[test]
fn test_executor_standby_lease_expiry() {
    let mut bench = with_standby();
    set_standby(&mut bench, false);
    bench.order_start(TWO, 1, &[0]);
    let reply = OrderReply::Done(1);
    bench
        .executor
        .handle_start_reply(bench.now, run(1, 0, 1), reply);
    set_standby(&mut bench, true);
    assert_eq!(bench.sent_starts(), [run(1, 0, 1)]);
    for _ in 0..6 {
        bench.send_orders(ONE, proto::Orders::default());
        bench.advance(100);
        bench.report_lists(&[run(1, 0, 1)], Vec::new());
    }
    assert_eq!(bench.sent_stops(), []);
    bench.advance(150);
    assert_eq!(bench.sent_stops(), [run(1, 0, 1)]);
}

/// An unanswered start is stopped, but the worker executes it four seconds later. The run must be stopped
/// then.
#[test]
fn test_executor_stops_late_start() {
    let mut bench = Bench::ready();
    bench.order_start(ONE, 1, &[0]);
    let name = run(1, 0, 1);
    bench
        .executor
        .handle_start_reply(bench.now, name, OrderReply::NoAnswer);
    bench.collect_actions();
    bench
        .executor
        .handle_stop_reply(bench.now, name, OrderReply::Done(1));
    bench.collect_actions();
    for _ in 0..40 {
        bench.report_lists(&[], Vec::new());
        bench.send_orders(ONE, proto::Orders::default());
        bench.advance(100);
    }
    bench.actions.clear();
    bench.report_lists(&[name], Vec::new());
    assert_eq!(
        bench.sent_stops(),
        [name],
        "no scheduler owns the run any more"
    );
}

/// If a scheduler is removed for good, no other one knows its runs, so a cancellation of the job would not
/// stop them.
#[test]
fn test_executor_scheduler_removed() {
    let mut bench = Bench::ready();
    bench.order_start(ONE, 1, &[0]);
    let name = run(1, 0, 1);
    bench
        .executor
        .handle_start_reply(bench.now, name, OrderReply::Done(1));
    bench.executor.link_down(ONE);
    for _ in 0..8 {
        bench.report_lists(&[name], Vec::new());
        bench.advance(100);
    }
    assert_eq!(
        bench.sent_stops().first(),
        Some(&name),
        "within its lease of 700 ms"
    );
}
