//! Leases of schedulers, and the sessions that outlast their links.

use super::*;

#[test]
fn test_executor_lease_expiry_stops_runs() {
    let mut bench = Bench::ready();
    bench.order_start(ONE, 1, &[0]);
    bench
        .executor
        .handle_start_reply(bench.now, run(1, 0, 1), OrderReply::Done(1));
    for _ in 0..6 {
        bench.advance(100);
        bench.report_lists(&[run(1, 0, 1)], Vec::new());
    }
    assert_eq!(bench.sent_stops(), []);
    bench.advance(150);
    assert_eq!(bench.sent_stops(), [run(1, 0, 1)]);
}

#[test]
fn test_executor_rejects_stale_echo() {
    let mut bench = Bench::ready();
    bench.now = bench.now + Duration::from_millis(650);
    let orders = proto::Orders {
        echo_us: 1,
        sequence: 1,
        ..proto::Orders::default()
    };
    bench.executor.handle_orders(bench.now, ONE, orders);
    bench.now = bench.now + Duration::from_millis(100);
    let late = proto::Orders {
        echo_us: 1,
        sequence: 2,
        starts: vec![proto::StartTasks {
            job: 1,
            tasks: vec![proto::TaskStart {
                index: 0,
                attempt: 1,
                ..proto::TaskStart::default()
            }],
            slack_ms: 1000,
            ..proto::StartTasks::default()
        }],
        ..proto::Orders::default()
    };
    bench.executor.handle_orders(bench.now, ONE, late);
    bench.collect_actions();
    assert_eq!(
        bench.sent_starts(),
        [],
        "the scheduler was paused for longer than its lease"
    );
}

#[test]
fn test_executor_end_numbers_across_sessions() {
    let mut bench = Bench::ready();
    bench.order_start(ONE, 1, &[0]);
    bench
        .executor
        .handle_start_reply(bench.now, run(1, 0, 1), OrderReply::Done(1));
    bench.report_lists(&[], vec![finished(1, run(1, 0, 1), RunEnd::Done)]);
    bench.advance(800);
    bench.report_lists(&[], Vec::new());
    bench.link_up(TWO, "one");
    bench.order_start(TWO, 2, &[0]);
    bench
        .executor
        .handle_start_reply(bench.now, run(2, 0, 1), OrderReply::Done(1));
    bench.report_lists(&[], vec![finished(2, run(2, 0, 1), RunEnd::Done)]);
    assert_eq!(bench.ends(ONE), [(1, EndKind::Done)]);
    assert_eq!(bench.ends(TWO), [(2, EndKind::Done)]);
}
