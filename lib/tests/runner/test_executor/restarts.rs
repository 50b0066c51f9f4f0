//! A worker that restarts under the same id.
//!
//! Each incarnation counts its heartbeats and the ends of its runs from 1. If the executor told incarnations
//! apart by the id alone, it would compare the new counts with the old ones: heartbeats, also one that
//! announces draining, would be rejected as old, and ends would be skipped, so that completed runs would run
//! again elsewhere.

use super::*;

impl Bench {
    /// Sends a heartbeat of the incarnation that started at `started`.
    fn send_heartbeat_from(&mut self, started: u64, draining: bool, sequence: u64) {
        let heartbeat = WorkerHeartbeat {
            incarnation: WorkerIncarnation {
                id: "w1".to_owned(),
                born: Some(started),
            },
            service: "s".to_owned(),
            draining,
            capacity: Demand {
                cpu_milli: 2000,
                memory_mb: 1000,
                gpu: 0,
            },
            sequence,
            ..WorkerHeartbeat::default()
        };
        self.executor.handle_heartbeat(self.now, heartbeat);
        self.collect_actions();
    }

    /// Answers a hold with the lists of the incarnation that started at `started`.
    fn report_lists_from(&mut self, started: u64, running: &[RunName], finished: Vec<FinishedRow>) {
        let row = |run: &RunName| RunningRow {
            run: *run,
            percent: 0,
        };
        self.handle_hold_reply(HoldReply::Lists {
            born: Some(started),
            clock_ms: 1000,
            running: running.iter().map(row).collect(),
            finished,
        });
    }

    /// Returns an executor whose worker started at 100 and has reported end number 9.
    fn after_ends() -> Bench {
        let mut bench = Bench::new();
        bench.send_heartbeat_from(100, false, 17);
        bench.report_lists_from(100, &[], Vec::new());
        bench.link_up(ONE, "one");
        bench.order_start(ONE, 1, &[0]);
        let reply = OrderReply::Done(1);
        bench
            .executor
            .handle_start_reply(bench.now, run(1, 0, 1), reply);
        let end = finished(9, run(1, 0, 1), RunEnd::Done);
        bench.report_lists_from(100, &[], vec![end]);
        bench
    }

    /// The same after two seconds of outage, with the worker back in the incarnation that started at
    /// `started`.
    fn restarted(started: u64) -> Bench {
        let mut bench = Bench::after_ends();
        for _ in 0..20 {
            bench.handle_hold_reply(HoldReply::Unreachable);
            bench.send_orders(ONE, proto::Orders::default());
            bench.advance(100);
        }
        bench.send_heartbeat_from(started, false, 1);
        for _ in 0..3 {
            bench.report_lists_from(started, &[], Vec::new());
        }
        bench.advance(20);
        bench
    }
}

#[test]
fn test_executor_restarted_worker_counters() {
    let mut bench = Bench::restarted(200);
    bench.order_start(ONE, 2, &[0]);
    let reply = OrderReply::Done(1);
    bench
        .executor
        .handle_start_reply(bench.now, run(2, 0, 1), reply);
    let end = finished(1, run(2, 0, 1), RunEnd::Done);
    bench.report_lists_from(200, &[], vec![end]);
    let ends = bench.ends(ONE);
    bench.send_heartbeat_from(200, true, 2);
    bench.order_start(ONE, 3, &[0]);
    let before = [run(1, 0, 1), run(2, 0, 1)];
    assert_eq!(bench.sent_starts(), before, "the worker is draining");
    assert_eq!(ends, [(1, EndKind::Done), (2, EndKind::Done)]);
}

/// If the worker's clock was set back, the newer incarnation has the earlier start time.
#[test]
fn test_executor_restarted_worker_clock_set_back() {
    let mut bench = Bench::restarted(50);
    bench.order_start(ONE, 2, &[0]);
    let reply = OrderReply::Done(1);
    bench
        .executor
        .handle_start_reply(bench.now, run(2, 0, 1), reply);
    let end = finished(1, run(2, 0, 1), RunEnd::Done);
    bench.report_lists_from(50, &[], vec![end]);
    assert_eq!(bench.ends(ONE)[1], (2, EndKind::Done));
}

/// A delayed heartbeat of the earlier incarnation announces draining and has a higher sequence number than
/// the present ones.
#[test]
fn test_executor_restarted_worker_late_heartbeat() {
    let mut bench = Bench::restarted(200);
    bench.order_start(ONE, 2, &[0]);
    let reply = OrderReply::Done(1);
    bench
        .executor
        .handle_start_reply(bench.now, run(2, 0, 1), reply);
    bench.send_heartbeat_from(100, true, 18);
    for _ in 0..2 {
        bench.report_lists_from(200, &[run(2, 0, 1)], Vec::new());
    }
    bench.order_start(ONE, 3, &[0]);
    assert_eq!(bench.sent_starts().len(), 3);
    assert_eq!(bench.ends(ONE).len(), 1, "no run ends");
    assert_eq!(bench.executor.counts().rejected_heartbeats, 1);
}

/// Starts sent between the restart and the first heartbeat of the new incarnation may have reached it. A run
/// that it lists must not be ended as lost, or it would run a second time elsewhere.
#[test]
fn test_executor_restarted_worker_keeps_new_run() {
    let mut bench = Bench::after_ends();
    bench.order_start(ONE, 2, &[0]);
    bench.order_start(ONE, 3, &[0]);
    for job in [2, 3] {
        let reply = OrderReply::Done(1500);
        bench
            .executor
            .handle_start_reply(bench.now, run(job, 0, 1), reply);
    }
    bench.send_heartbeat_from(200, false, 1);
    for _ in 0..2 {
        bench.report_lists_from(200, &[run(3, 0, 1)], Vec::new());
    }
    bench.advance(20);
    assert_eq!(bench.ends(ONE)[1..], [(2, EndKind::Crashed)]);
    assert_eq!(bench.sent_stops(), []);
    let end = finished(1, run(3, 0, 1), RunEnd::Done);
    bench.report_lists_from(200, &[], vec![end]);
    assert_eq!(bench.ends(ONE)[2..], [(3, EndKind::Done)]);
}

/// A start was answered by the new incarnation, and the lists that reveal it are older than that answer: the run is
/// there. It must not be ended, or it would run a second time elsewhere, and the crash of the incarnation before
/// must not count for it.
#[test]
fn test_executor_restarted_worker_answers_start() {
    let mut bench = Bench::after_ends();
    bench.order_start(ONE, 2, &[0]);
    bench
        .executor
        .handle_start_reply(bench.now, run(2, 0, 1), OrderReply::Done(3));
    bench.send_heartbeat_from(200, false, 1);
    bench.report_lists_from(200, &[], Vec::new());
    assert_eq!(bench.ends(ONE).len(), 1, "only the end before");
    bench.advance(20);
    bench.report_lists_from(200, &[run(2, 0, 1)], Vec::new());
    assert_eq!(bench.sent_stops(), [], "it is not unknown");
    let end = finished(1, run(2, 0, 1), RunEnd::Done);
    bench.report_lists_from(200, &[], vec![end]);
    assert_eq!(bench.ends(ONE)[1..], [(2, EndKind::Done)]);
    let updates = bench.updates(ONE);
    let ends = updates.iter().flat_map(|u| u.ends.iter());
    assert!(ends.into_iter().all(|e| e.crashes.is_none()));
}

/// A start that was sent before the restart was known may be carried out seconds later. On the clock of the new
/// incarnation its deadline is far ahead, so only a higher fencing token makes the worker refuse it.
#[test]
fn test_executor_restarted_worker_fences_late_starts() {
    let mut bench = Bench::after_ends();
    bench.order_start(ONE, 2, &[0]);
    let fence_of = |bench: &Bench| {
        let fence = |a: &Action| match a {
            Action::Start(call) => Some(call.fence),
            Action::Hold(call) => Some(call.fence),
            _ => None,
        };
        bench.actions.iter().rev().find_map(fence).expect("a call")
    };
    let before = fence_of(&bench);
    bench.send_heartbeat_from(200, false, 1);
    bench.report_lists_from(200, &[], Vec::new());
    bench.advance(20);
    assert!(fence_of(&bench) > before);
}

/// The lists reveal the new incarnation before its first heartbeat. Its capacity may be smaller, so nothing
/// is started.
#[test]
fn test_executor_restarted_worker_without_heartbeat() {
    let mut bench = Bench::after_ends();
    bench.handle_hold_reply(HoldReply::NoAnswer);
    for _ in 0..2 {
        bench.report_lists_from(200, &[], Vec::new());
    }
    bench.order_start(ONE, 2, &[0]);
    assert_eq!(bench.sent_starts().len(), 1);
    bench.send_heartbeat_from(200, false, 1);
    bench.order_start(ONE, 3, &[0]);
    assert_eq!(bench.sent_starts().len(), 2);
}

/// The heartbeat of the new incarnation arrives while a hold is pending. Until the worker confirms it, starts
/// could reach an incarnation whose capacity is not known.
#[test]
fn test_executor_restarted_worker_unconfirmed() {
    let mut bench = Bench::after_ends();
    bench.send_heartbeat_from(200, false, 1);
    bench.order_start(ONE, 2, &[0]);
    assert_eq!(bench.sent_starts().len(), 1);
}

/// The earlier incarnation's notice that it left arrives late. If it were believed, the present run would be
/// started elsewhere as well.
#[test]
fn test_executor_restarted_worker_late_leave() {
    let mut bench = Bench::restarted(200);
    bench.order_start(ONE, 2, &[0]);
    let reply = OrderReply::Done(1);
    bench
        .executor
        .handle_start_reply(bench.now, run(2, 0, 1), reply);
    for draining in [false, true] {
        bench.send_heartbeat_from(200, draining, 2);
        bench.executor.handle_worker_left(bench.now, "w1");
        bench.report_lists_from(200, &[run(2, 0, 1)], Vec::new());
        bench.advance(20);
        assert_eq!(bench.ends(ONE).len(), 1, "only the end before the restart");
    }
}

/// The heartbeat saved in the store is of the earlier incarnation, whose capacity may have been different.
#[test]
fn test_executor_restored_incarnation_same_id() {
    let mut bench = Bench::new();
    let heartbeat = WorkerHeartbeat {
        incarnation: WorkerIncarnation {
            id: "w1".to_owned(),
            born: Some(100),
        },
        service: "s".to_owned(),
        ..WorkerHeartbeat::default()
    };
    bench.executor.restore_worker(bench.now, heartbeat);
    bench.collect_actions();
    bench.report_lists_from(200, &[], Vec::new());
    bench.link_up(ONE, "one");
    bench.order_start(ONE, 1, &[0]);
    assert_eq!(bench.sent_starts(), []);
    bench.send_heartbeat_from(200, false, 1);
    for _ in 0..2 {
        bench.report_lists_from(200, &[], Vec::new());
    }
    bench.order_start(ONE, 2, &[0]);
    assert_eq!(bench.sent_starts(), [run(2, 0, 1)]);
}

/// Within one incarnation draining is final, so it counts even if the heartbeat that announces it arrives
/// late.
#[test]
fn test_executor_late_draining_heartbeat() {
    let mut bench = Bench::after_ends();
    bench.send_heartbeat_from(100, true, 16);
    bench.order_start(ONE, 2, &[0]);
    assert_eq!(bench.sent_starts().len(), 1);
}

/// The fencing token is derived from the time of day. If the clock was set back while the executor was down,
/// here by an hour, the worker refuses holds until the token exceeds the earlier one.
#[test]
fn test_executor_fence_after_clock_set_back() {
    let earlier_fence = 3_600_000;
    let mut bench = Bench::new();
    bench.send_heartbeat_from(100, false, 1);
    let mut refused = 0;
    while last_fence(&bench) <= earlier_fence {
        refused += 1;
        assert!(refused <= 20, "refused {refused} times");
        bench.handle_hold_reply(HoldReply::Fenced);
        bench.advance(1);
    }
}

fn last_fence(bench: &Bench) -> u64 {
    let holds = bench.actions.iter().rev().find_map(|a| match a {
        Action::Hold(call) => Some(call.fence),
        _ => None,
    });
    holds.expect("a hold")
}

/// A start that reaches the incarnation after the one that it was sent to names a time that is far ahead on
/// the clock there, so its run is kept alive for as long as the worker ever does. If the worker falls silent
/// then, the task must not be started elsewhere before that.
#[test]
fn test_executor_restarted_worker_keeps_run_longer() {
    let mut bench = Bench::after_ends();
    bench.order_start(ONE, 2, &[0]);
    let done = OrderReply::Done(1);
    bench
        .executor
        .handle_start_reply(bench.now, run(2, 0, 1), done);
    bench.report_lists_from(200, &[run(2, 0, 1)], Vec::new());
    let since = bench.now;
    while bench.executor.task_counts().0 > 0 {
        bench.advance(20);
        bench.send_orders(ONE, proto::Orders::default());
        bench.handle_hold_reply(HoldReply::NoAnswer);
    }
    let kept = bench.now.since(since);
    assert!(kept >= Duration::from_millis(2000), "{kept:?}");
    assert!(kept <= Duration::from_millis(2400), "{kept:?}");
}
