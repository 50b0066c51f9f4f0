//! Which incarnation the worker is in: heartbeats that arrive late or come from another source change
//! nothing.

use super::*;

impl Bench {
    /// Starts another incarnation of the worker: it sends a heartbeat, and answers holds under its id. The
    /// pending hold still names the earlier incarnation.
    pub(super) fn start_incarnation(&mut self, id: &str) {
        let pending = self.last_number();
        self.send_heartbeat(id, false, 1);
        self.reply_to(pending, HoldReply::WrongLife);
        self.report_lists(&[], Vec::new());
    }

    fn send_heartbeat_of_service(&mut self, service: &str, sequence: u64) {
        let heartbeat = WorkerHeartbeat {
            incarnation: incarnation_of("w1"),
            service: service.to_owned(),
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

    /// Advances by 100 ms, during which the worker answers its hold and the scheduler renews its lease.
    fn advance_with_replies(&mut self) {
        self.advance(100);
        self.report_lists(&[], Vec::new());
        self.send_orders(ONE, proto::Orders::default());
    }

    /// Starts a task of a job, which the worker confirms.
    fn start_confirmed(&mut self, job: u64) {
        self.order_start(ONE, job, &[0]);
        let reply = OrderReply::Done(1);
        self.executor
            .handle_start_reply(self.now, run(job, 0, 1), reply);
        self.collect_actions();
    }

    fn last_profile(&self) -> proto::Profile {
        let updates = self.updates(ONE).into_iter();
        updates
            .filter_map(|u| u.profile)
            .next_back()
            .expect("a profile")
    }

    fn is_ready(&self) -> bool {
        let last = self.updates(ONE).pop().expect("an update");
        last.worker.expect("a worker report").ready
    }
}

/// A delayed heartbeat of w1 arrives after w2 has registered and started a run. If it were believed, the run
/// would be ended as crashed.
#[test]
fn test_executor_late_heartbeat_earlier_incarnation() {
    let mut bench = Bench::ready();
    bench.start_incarnation("w2");
    bench.order_start(ONE, 1, &[0]);
    bench
        .executor
        .handle_start_reply(bench.now, run(1, 0, 1), OrderReply::Done(1));
    bench.send_heartbeat("w1", false, 9);
    bench.report_lists(&[run(1, 0, 1)], Vec::new());
    assert_matches!(bench.actions.iter().rev().find_map(hold_target), Some(id) if id == "w1");
    bench.handle_hold_reply(HoldReply::WrongLife);
    bench.advance(50);
    assert_eq!(bench.ends(ONE), []);
    assert_eq!(bench.executor.counts().rejected_heartbeats, 1);
    assert_eq!(bench.last_profile().worker, "w2");
}

/// Returns the worker id that a hold is addressed to.
fn hold_target(action: &Action) -> Option<String> {
    match action {
        Action::Hold(call) => Some(call.incarnation.clone()),
        _ => None,
    }
}

/// The worker's answers may be lost, so the executor asks three times; an incarnation that never answers is
/// rejected.
#[test]
fn test_executor_unconfirmed_incarnation_retries() {
    let mut bench = Bench::ready();
    let (pending, lists) = (bench.last_number(), bench.lists(0, &[], Vec::new()));
    bench.send_heartbeat("w2", false, 1);
    bench.reply_to(pending, lists);
    for _ in 0..2 {
        bench.handle_hold_reply(HoldReply::NoAnswer);
        bench.advance(25);
    }
    bench.report_lists(&[], Vec::new());
    bench.advance(25);
    assert_eq!(
        bench.last_profile().worker,
        "w2",
        "the third request was answered"
    );
    let (pending, lists) = (bench.last_number(), bench.lists(0, &[], Vec::new()));
    bench.send_heartbeat("w3", false, 1);
    bench.reply_to(pending, lists);
    for _ in 0..3 {
        bench.handle_hold_reply(HoldReply::NoAnswer);
        bench.advance(25);
    }
    assert_matches!(bench.actions.iter().rev().find_map(hold_target), Some(id) if id == "w2");
}

#[test]
fn test_executor_late_heartbeat_after_leave() {
    let mut bench = Bench::ready();
    bench.executor.handle_worker_left(bench.now, "w1");
    bench.collect_actions();
    bench.send_heartbeat("w1", false, 7);
    bench.handle_hold_reply(HoldReply::Unreachable);
    bench.advance(50);
    assert_eq!(bench.last_profile().worker, "");
}

/// A heartbeat of another incarnation makes the next hold urgent. Once the worker has left, that must not
/// speed up the probes that name no incarnation.
#[test]
fn test_executor_probe_rate_without_worker() {
    let mut bench = Bench::ready();
    bench.send_heartbeat("w2", false, 1);
    bench.executor.handle_worker_left(bench.now, "w1");
    bench.collect_actions();
    bench.handle_hold_reply(HoldReply::NoAnswer);
    let before = bench.hold_count();
    let mut answered = before - 1;
    for _ in 0..20 {
        if bench.hold_count() > answered {
            answered = bench.hold_count();
            bench.handle_hold_reply(HoldReply::NoAnswer);
        }
        bench.advance(1);
    }
    let more = bench.hold_count() - before;
    assert!(more <= 1, "{more} holds in 20 ms");
}

#[test]
fn test_executor_service_change_after_start() {
    let mut bench = Bench::ready();
    bench.order_start(ONE, 1, &[0]);
    bench.send_heartbeat_of_service("other", 5);
    bench.advance(100);
    assert_eq!(bench.last_profile().service, "s");
}

#[test]
fn test_executor_service_change_before_start() {
    let mut bench = Bench::ready();
    bench.send_heartbeat_of_service("other", 5);
    bench.advance(100);
    assert_eq!(bench.last_profile().service, "other");
    bench.send_heartbeat_of_service("s", 6);
    bench.advance(100);
    assert_eq!(bench.last_profile().service, "s");
}

/// A heartbeat with the maximum sequence number makes all genuine ones look old. The worker must not be
/// excluded from tasks for good.
#[test]
fn test_executor_maximum_sequence_number() {
    let mut bench = Bench::ready();
    bench.send_heartbeat_of_service("s", u64::MAX);
    for sequence in 2..6 {
        for _ in 0..15 {
            bench.advance_with_replies();
        }
        bench.send_heartbeat("w1", false, sequence);
    }
    bench.advance_with_replies();
    assert!(bench.is_ready());
}

/// Delayed heartbeats that arrive together have rising sequence numbers, but are still older than the newest
/// one.
#[test]
fn test_executor_delayed_heartbeats() {
    let mut bench = Bench::ready();
    bench.send_heartbeat("w1", true, 8);
    for _ in 0..16 {
        bench.advance_with_replies();
    }
    for sequence in 3..7 {
        bench.send_heartbeat("w1", false, sequence);
    }
    assert_eq!(bench.executor.counts().rejected_heartbeats, 4);
    bench.send_heartbeat("w1", false, 9);
    bench.advance_with_replies();
    assert!(!bench.is_ready(), "a draining worker stays draining");
}

/// An end whose number was already acknowledged is skipped. If its run is still known, the executor must log
/// and count it, since the run's result is lost.
#[test]
fn test_executor_logs_skipped_end() {
    let mut bench = Bench::ready();
    bench.start_confirmed(1);
    bench.report_lists(&[], vec![finished(9, run(1, 0, 1), RunEnd::Done)]);
    bench.start_confirmed(2);
    bench.report_lists(
        &[run(2, 0, 1)],
        vec![finished(2, run(2, 0, 1), RunEnd::Done)],
    );
    let logged = |a: &Action| matches!(a, Action::Log(e) if e.kind == Kind::EndSkipped);
    assert!(bench.actions.iter().any(logged));
    assert_eq!(bench.executor.counts().skipped_ends, 1);
}
