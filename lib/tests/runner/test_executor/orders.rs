//! Orders that the worker does not answer, refuses or never gets.

use super::*;

#[test]
fn test_executor_unanswered_start_keeps_room() {
    let mut bench = Bench::ready();
    bench.order_start(ONE, 1, &[0, 1]);
    bench
        .executor
        .handle_start_reply(bench.now, run(1, 0, 1), OrderReply::NoAnswer);
    bench
        .executor
        .handle_start_reply(bench.now, run(1, 1, 1), OrderReply::Done(1));
    bench.collect_actions();
    assert_eq!(bench.sent_stops(), [run(1, 0, 1)]);
    bench.report_lists(&[run(1, 1, 1)], Vec::new());
    bench.order_start(ONE, 2, &[0]);
    assert_eq!(
        bench.sent_starts().len(),
        2,
        "the stop is not confirmed yet"
    );
    bench
        .executor
        .handle_stop_reply(bench.now, run(1, 0, 1), OrderReply::Done(1));
    bench.report_lists(&[run(1, 1, 1)], Vec::new());
    bench.order_start(ONE, 3, &[0]);
    assert_eq!(
        bench.sent_starts().len(),
        2,
        "this hold was sent before the confirmation of the stop"
    );
    bench.report_lists(&[run(1, 1, 1)], Vec::new());
    bench.order_start(ONE, 4, &[0]);
    assert_eq!(
        bench.sent_starts().len(),
        3,
        "the run can no longer be at the worker"
    );
    let rejected = [(1, EndKind::NoRoom), (2, EndKind::NoRoom)];
    assert_eq!(bench.ends(ONE)[..2], rejected);
    assert_eq!(bench.ends(ONE)[2..], [(3, EndKind::Stalled)]);
}

#[test]
fn test_executor_lost_start_reply() {
    let mut bench = Bench::ready();
    bench.order_start(ONE, 1, &[0]);
    bench.report_lists(&[run(1, 0, 1)], Vec::new());
    bench
        .executor
        .handle_start_reply(bench.now, run(1, 0, 1), OrderReply::NoAnswer);
    bench.collect_actions();
    assert_eq!(bench.sent_stops(), []);
}

/// The worker lists the run, whatever the reply to its start says. Ended here, the task would run twice.
#[test]
fn test_executor_unsent_start_of_listed_run() {
    let mut bench = Bench::ready();
    bench.order_start(ONE, 1, &[0, 1]);
    bench.report_lists(&[run(1, 0, 1)], Vec::new());
    for index in [0, 1] {
        let unsent = OrderReply::Unreachable;
        bench
            .executor
            .handle_start_reply(bench.now, run(1, index, 1), unsent);
    }
    bench.collect_actions();
    assert_eq!(bench.ends(ONE), [(1, EndKind::Unavailable)]);
    assert_eq!(bench.executor.task_counts(), (1, 0));
}

#[test]
fn test_executor_resends_stop() {
    let mut bench = Bench::ready();
    bench.order_start(ONE, 1, &[0]);
    bench
        .executor
        .handle_start_reply(bench.now, run(1, 0, 1), OrderReply::NoAnswer);
    bench.advance(50);
    bench.advance(50);
    assert!(bench.sent_stops().len() >= 2, "{:?}", bench.sent_stops());
}

#[test]
fn test_executor_old_run_number() {
    let mut bench = Bench::ready();
    bench.order_start(ONE, 1, &[0]);
    let old = OrderReply::Refused(StartRefusal::Old);
    bench
        .executor
        .handle_start_reply(bench.now, run(1, 0, 1), old);
    bench.collect_actions();
    assert_eq!(bench.sent_starts(), [run(1, 0, 1), run(1, 0, 2)]);
}

#[test]
fn test_executor_raises_fence() {
    let mut bench = Bench::ready();
    bench.order_start(ONE, 1, &[0]);
    let fenced = OrderReply::Refused(StartRefusal::Fence);
    bench
        .executor
        .handle_start_reply(bench.now, run(1, 0, 1), fenced);
    bench.collect_actions();
    let fences = bench.actions.iter().filter_map(|a| match a {
        Action::Start(call) => Some(call.fence),
        _ => None,
    });
    let fences: Vec<u64> = fences.collect();
    assert!(fences[1] > fences[0], "{fences:?}");
}

#[test]
fn test_executor_stops_unknown_runs_first() {
    let mut bench = Bench::new();
    bench.send_heartbeat("w1", false, 1);
    bench.link_up(ONE, "one");
    bench.report_lists(&[run(9, 0, 4)], Vec::new());
    bench.order_start(ONE, 1, &[0]);
    assert_eq!(bench.sent_stops(), [run(9, 0, 4)]);
    assert_eq!(bench.sent_starts(), []);
    assert_eq!(bench.ends(ONE), [(1, EndKind::Unavailable)]);
    bench.report_lists(&[], Vec::new());
    bench.order_start(ONE, 2, &[0]);
    assert_eq!(bench.sent_starts(), [run(2, 0, 1)]);
}
