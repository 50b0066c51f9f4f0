//! The worker's state as the executor sees it: draining, silence, failures, new incarnations and capacity
//! changes.

use super::*;

#[test]
fn test_executor_draining_worker() {
    let mut bench = Bench::ready();
    bench.order_start(ONE, 1, &[0, 1]);
    bench.advance(95);
    bench.report_lists_at(95, &[run(1, 0, 1), run(1, 1, 1)], Vec::new());
    bench.order_start(ONE, 1, &[2]);
    assert_eq!(
        bench.ends(ONE),
        [],
        "the task waits for a run that is about to end"
    );
    bench.send_heartbeat("w1", true, 2);
    assert_eq!(
        bench.ends(ONE),
        [(1, EndKind::Unavailable)],
        "the queued task is returned"
    );
    bench.order_start(ONE, 2, &[0]);
    assert_eq!(bench.sent_starts().len(), 2);
    assert_eq!(bench.ends(ONE).len(), 2);
}

#[test]
fn test_executor_logs_draining_worker() {
    let mut bench = Bench::new();
    bench.send_heartbeat("w1", true, 1);
    let logged = |a: &Action| matches!(a, Action::Log(e) if e.kind == Kind::WorkerDraining);
    assert!(bench.actions.iter().any(logged));
}

#[test]
fn test_executor_one_unanswered_hold() {
    let mut bench = Bench::ready();
    bench.handle_hold_reply(HoldReply::NoAnswer);
    bench.order_start(ONE, 1, &[0]);
    assert_eq!(bench.sent_starts(), [run(1, 0, 1)]);
    bench.advance(250);
    bench.handle_hold_reply(HoldReply::NoAnswer);
    bench.order_start(ONE, 2, &[0]);
    assert_eq!(bench.sent_starts().len(), 1, "the worker counts as silent");
}

#[test]
fn test_executor_hold_rate_without_answers() {
    let mut bench = Bench::ready();
    let before = bench.hold_count();
    let mut answered = 0;
    for _ in 0..2000 {
        if bench.hold_count() > answered {
            answered = bench.hold_count();
            bench.handle_hold_reply(HoldReply::NoAnswer);
        }
        bench.advance(1);
    }
    let asked = bench.hold_count() - before;
    assert!(
        asked <= 60,
        "{asked} holds in two seconds, each on a new connection"
    );
    assert!(
        asked >= 20,
        "{asked} holds: the recovery would be noticed late"
    );
}

#[test]
fn test_executor_start_extends_keepalive() {
    let mut bench = Bench::ready();
    bench.handle_hold_reply(HoldReply::NoAnswer);
    bench.now = bench.now + Duration::from_millis(3000);
    bench.link_up(ONE, "one");
    bench.order_start(ONE, 1, &[0]);
    assert_eq!(bench.sent_starts(), [run(1, 0, 1)]);
    bench.handle_hold_reply(HoldReply::NoAnswer);
    bench.advance(20);
    assert_eq!(
        bench.ends(ONE),
        [],
        "the start keeps the run alive for a while"
    );
    for _ in 0..15 {
        bench.send_orders(ONE, proto::Orders::default());
        bench.advance(20);
        bench.handle_hold_reply(HoldReply::NoAnswer);
    }
    assert_eq!(bench.ends(ONE), []);
    for _ in 0..60 {
        bench.send_orders(ONE, proto::Orders::default());
        bench.advance(20);
        bench.handle_hold_reply(HoldReply::NoAnswer);
    }
    assert_eq!(bench.ends(ONE), [(1, EndKind::Lost)]);
}

#[test]
fn test_executor_pace_recovers() {
    let mut bench = Bench::ready();
    let times = [600, 600, 100, 100, 100, 100];
    for (job, ms) in times.into_iter().enumerate() {
        let name = run(job as u64 + 1, 0, 1);
        bench.order_start(ONE, name.task.job.0, &[0]);
        for _ in 0..ms / 50 {
            bench.advance(50);
            bench.send_orders(ONE, proto::Orders::default());
            bench.report_lists(&[name], Vec::new());
        }
        let end = finished(job as u64 + 1, name, RunEnd::Done);
        bench.report_lists(&[], vec![end]);
    }
    let last = bench.updates(ONE).pop().expect("an update");
    let pace = last.worker.expect("a worker report").pace_percent;
    assert!(pace < 190, "{pace} % of the estimate");
}

#[test]
fn test_executor_trials_back_off() {
    let mut bench = Bench::ready();
    let mut trials = Vec::new();
    let mut number = 0;
    for step in 0..1200u64 {
        bench.advance(10);
        bench.send_orders(ONE, proto::Orders::default());
        if step % 10 != 0 {
            continue;
        }
        bench.send_heartbeat("w1", false, step + 2);
        bench.order_start(ONE, step + 1, &[0]);
        let name = run(step + 1, 0, 1);
        if bench.sent_starts().last() == Some(&name) {
            trials.push(step * 10);
            number += 1;
            bench
                .executor
                .handle_start_reply(bench.now, name, OrderReply::Done(1));
            bench.report_lists(&[], vec![finished(number, name, RunEnd::Failed)]);
        } else {
            bench.report_lists(&[], Vec::new());
        }
    }
    let gaps: Vec<u64> = trials.windows(2).map(|w| w[1] - w[0]).collect();
    assert!(
        gaps[..2].iter().all(|g| *g <= 100),
        "the worker is healthy at first: {gaps:?}"
    );
    assert!(
        *gaps.last().expect("at least two trials") >= 3000,
        "{gaps:?}"
    );
}

#[test]
fn test_executor_new_incarnation() {
    let mut bench = Bench::ready();
    bench.order_start(ONE, 1, &[0]);
    bench
        .executor
        .handle_start_reply(bench.now, run(1, 0, 1), OrderReply::Done(1));
    bench.start_incarnation("w2");
    assert_eq!(bench.ends(ONE), [(1, EndKind::Crashed)]);
    assert_matches!(bench.actions.last(), Some(_));
}

impl Bench {
    /// Sends a heartbeat with a capacity of `room` tasks.
    fn resize(&mut self, room: u32, sequence: u64) {
        let heartbeat = WorkerHeartbeat {
            incarnation: incarnation_of("w1"),
            service: "s".to_owned(),
            draining: false,
            capacity: Demand {
                cpu_milli: room * 1000,
                memory_mb: 1000,
                gpu: 0,
            },
            labels: Vec::new(),
            sequence,
        };
        self.executor.handle_heartbeat(self.now, heartbeat);
        self.collect_actions();
    }
}

#[test]
fn test_executor_capacity_reduced() {
    let mut bench = Bench::ready();
    bench.order_start(ONE, 1, &[0]);
    bench.resize(1, 2);
    bench.order_start(ONE, 2, &[0]);
    assert_eq!(
        bench.sent_starts(),
        [run(1, 0, 1)],
        "the run uses the whole capacity"
    );
    assert_eq!(bench.ends(ONE), [(1, EndKind::NoRoom)]);
    bench.resize(2, 3);
    bench.order_start(ONE, 3, &[0]);
    assert_eq!(
        bench.sent_starts().len(),
        2,
        "restored capacity is used at once"
    );
    let last = bench.updates(ONE).pop().and_then(|u| u.worker);
    assert_eq!(last.map(|w| w.free_cpu_milli), Some(0));
}

#[test]
fn test_executor_capacity_below_allocation() {
    let mut bench = Bench::ready();
    bench.order_start(ONE, 1, &[0, 1]);
    bench.resize(1, 2);
    assert_eq!(bench.sent_stops(), []);
    bench.advance(20);
    let last = bench.updates(ONE).pop().and_then(|u| u.worker);
    assert_eq!(last.map(|w| w.free_cpu_milli), Some(-1000));
    bench.report_lists(
        &[run(1, 1, 1)],
        vec![finished(1, run(1, 0, 1), RunEnd::Done)],
    );
    bench.order_start(ONE, 2, &[0]);
    assert_eq!(
        bench.sent_starts().len(),
        2,
        "the other run uses the whole capacity"
    );
}

#[test]
fn test_executor_late_capacity_increase() {
    let mut bench = Bench::ready();
    bench.resize(1, 3);
    bench.resize(2, 2);
    bench.order_start(ONE, 1, &[0, 1]);
    assert_eq!(bench.sent_starts(), [run(1, 0, 1)]);
}

#[test]
fn test_executor_stale_capacity() {
    let mut bench = Bench::ready();
    bench.advance(3400);
    bench.link_up(TWO, "two");
    bench.order_start(TWO, 1, &[0]);
    assert_eq!(
        bench.sent_starts(),
        [],
        "the capacity may have shrunk meanwhile"
    );
    bench.send_heartbeat("w1", false, 2);
    bench.order_start(TWO, 2, &[0]);
    assert_eq!(bench.sent_starts(), [run(2, 0, 1)]);
}

/// Schedulers take the report of departure as proof that no run of any job is left here. It must not be sent
/// before all runs have ended, also those of an earlier executor.
#[test]
fn test_executor_leaving_reports_departure() {
    let mut bench = Bench::new();
    bench.send_heartbeat("w1", false, 1);
    bench.link_up(ONE, "one");
    bench.executor.leave(bench.now);
    bench.collect_actions();
    let departed = |bench: &Bench| bench.updates(ONE).iter().any(|u| u.departed);
    assert!(!departed(&bench), "the lists have not been read yet");
    bench.report_lists(&[run(9, 0, 4)], Vec::new());
    bench.advance(20);
    assert!(!departed(&bench), "a run of an earlier executor is left");
    assert!(!bench.executor.is_drained(bench.now));
    bench.report_lists(&[], Vec::new());
    bench.advance(20);
    assert!(departed(&bench));
    assert!(bench.executor.is_drained(bench.now));
}

/// Answers `silent` holds not at all and then refuses the next, until the worker has been silent for a
/// second. Returns the number of its runs that are left.
fn runs_after_mixed_refusals(silent: usize) -> usize {
    let mut bench = Bench::ready();
    bench.order_start(ONE, 1, &[0]);
    let done = OrderReply::Done(1);
    bench
        .executor
        .handle_start_reply(bench.now, run(1, 0, 1), done);
    bench.collect_actions();
    for round in 0..50 {
        bench.advance(20);
        bench.send_orders(ONE, proto::Orders::default());
        let refused = round % (silent + 1) == silent;
        bench.handle_hold_reply(match refused {
            true => HoldReply::Unreachable,
            false => HoldReply::NoAnswer,
        });
    }
    bench.executor.task_counts().0
}

/// A single refused connection after 150 ms of silence says nothing of that silence. Taken for a worker that
/// is gone, its runs would be started again elsewhere while they go on.
#[test]
fn test_executor_single_refusal_keeps_runs() {
    assert_eq!(runs_after_mixed_refusals(9), 1);
    assert_eq!(runs_after_mixed_refusals(1), 1);
    assert_eq!(runs_after_mixed_refusals(0), 0);
}

/// The same before the first heartbeat: the worker is not known to run nothing.
#[test]
fn test_executor_single_refusal_confirms_no_claim() {
    let claimed = |refusals: usize| {
        let mut bench = Bench::new();
        bench.link_up(ONE, "one");
        bench.claim(ONE, 1);
        bench.advance(200);
        for _ in 0..refusals {
            bench.handle_hold_reply(HoldReply::Unreachable);
            bench.advance(40);
        }
        let updates = bench.updates(ONE);
        updates.into_iter().flat_map(|u| u.claimed).count()
    };
    assert_eq!(claimed(1), 0);
    assert_eq!(claimed(6), 1);
}
