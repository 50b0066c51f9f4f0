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

/// Orders with extreme numbers, such as an attempt, a clock or a time limit, must not end the process.
#[test]
fn test_executor_orders_extreme_numbers() {
    let mut bench = Bench::ready();
    let task = proto::TaskStart {
        index: u32::MAX,
        attempt: u32::MAX,
        stops: u32::MAX,
        crashes: Some(proto::CrashRecord {
            count: 0,
            unsure: u32::MAX,
            ..proto::CrashRecord::default()
        }),
        ..proto::TaskStart::default()
    };
    let start = proto::StartTasks {
        job: u64::MAX,
        occurrence: u32::MAX,
        step: u32::MAX,
        demand: Some(proto::Demand {
            cpu_milli: u32::MAX,
            memory_mb: u32::MAX,
            gpu: u32::MAX,
        }),
        spread: u32::MAX,
        slack_ms: u32::MAX,
        estimate_ms: u32::MAX,
        priority: u32::MAX,
        tasks: vec![task.clone(), proto::TaskStart::default()],
        ..proto::StartTasks::default()
    };
    let small = proto::StartTasks {
        demand: None,
        tasks: vec![proto::TaskStart {
            crashes: None,
            ..task
        }],
        ..start.clone()
    };
    let orders = proto::Orders {
        echo_us: u64::MAX,
        sequence: u64::MAX,
        seen_ends: u64::MAX,
        starts: vec![start, small],
        claims: vec![u64::MAX],
        renewals: vec![u64::MAX],
        zone: Some(proto::ZoneState {
            zone: "elsewhere".to_owned(),
            revision: u64::MAX,
            evacuated: false,
        }),
        ..proto::Orders::default()
    };
    bench.executor.handle_orders(bench.now, ONE, orders);
    bench.collect_actions();
    for name in bench.sent_starts() {
        for reason in [StartRefusal::Old, StartRefusal::Late, StartRefusal::Fence] {
            let reply = OrderReply::Refused(reason);
            bench.executor.handle_start_reply(bench.now, name, reply);
        }
    }
    bench.advance(20);
    bench.report_lists(&[], vec![finished(u64::MAX, run(1, 0, 1), RunEnd::Done)]);
    bench.advance(20);
}
