//! Numbers from the worker and from schedulers that no clock or counter of theirs reaches.

use super::*;

/// A reading at the end of the number range ended the process when a time was added to it.
#[test]
fn test_executor_worker_clock_too_large() {
    let mut bench = Bench::ready();
    bench.order_start(ONE, 1, &[0]);
    let row = RunningRow {
        run: run(1, 0, 1),
        percent: u32::MAX,
    };
    for clock_ms in [u64::MAX, u64::MAX - 1, 1 << 62] {
        bench.handle_hold_reply(HoldReply::Lists {
            born: None,
            clock_ms,
            running: vec![row.clone()],
            finished: Vec::new(),
        });
        bench.advance(20);
        bench.send_orders(ONE, proto::Orders::default());
    }
    let deadlines = bench.actions.iter().map(|a| match a {
        Action::Hold(call) => call.deadline_ms,
        Action::Start(call) => call.deadline_ms,
        _ => 0,
    });
    assert!(
        deadlines.max() < Some(1_000_000),
        "the last valid reading counts"
    );
    bench.order_start(ONE, 2, &[0]);
    assert_eq!(bench.sent_starts().len(), 2, "tasks are still started");
}

/// An unreadable reading is passed on as 0. Taken for the worker's clock, it would make each deadline pass at once.
#[test]
fn test_executor_worker_clock_unreadable() {
    let mut bench = Bench::ready();
    bench.advance(100);
    bench.handle_hold_reply(HoldReply::Lists {
        born: None,
        clock_ms: 0,
        running: Vec::new(),
        finished: Vec::new(),
    });
    bench.send_orders(ONE, proto::Orders::default());
    bench.actions.clear();
    bench.order_start(ONE, 1, &[0]);
    let deadline = bench.actions.iter().find_map(|a| match a {
        Action::Start(call) => Some(call.deadline_ms),
        _ => None,
    });
    assert!(deadline >= Some(1000), "{deadline:?}");
}
