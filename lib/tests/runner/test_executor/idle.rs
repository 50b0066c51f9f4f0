//! Tests of holds while nothing runs at the worker.

use super::*;

/// The wait of holds while a run is known.
const SHORT: Duration = Duration::from_millis(25);

/// Returns an executor whose worker runs nothing, with long holds.
fn idle() -> Bench {
    let mut policy = Policy::default();
    policy.orders.idle_wait = Duration::from_millis(200);
    Bench::ready_with(policy)
}

impl Bench {
    /// Lets a span pass in which the worker answers each hold after the wait that it names.
    fn answer_holds(&mut self, ms: u64, running: &[RunName]) {
        let mut sent = self.now;
        for _ in 0..ms {
            let before = self.hold_count();
            self.advance(1);
            let wait = self.last_hold.as_ref().expect("a hold").wait;
            if self.now.since(sent) >= wait {
                self.report_lists(running, Vec::new());
            }
            if self.hold_count() > before {
                sent = self.now;
            }
        }
    }

    fn last_wait(&self) -> Duration {
        self.last_hold.as_ref().expect("a hold").wait
    }

    fn has_logged(&self, kind: Kind) -> bool {
        let logged = |a: &Action| matches!(a, Action::Log(event) if event.kind == kind);
        self.actions.iter().any(logged)
    }
}

/// Guards against 40 calls a second to a worker that does nothing: in a large fleet they took a large part of what
/// agents used.
#[test]
fn test_executor_idle_holds_are_few() {
    let mut bench = idle();
    let before = bench.hold_count();
    bench.answer_holds(1000, &[]);
    let holds = bench.hold_count() - before;
    assert!(holds <= 6, "{holds} holds in a second without a run");
}

/// Guards against a first run whose progress, or the loss of whose answer, is noticed only after the long wait.
#[test]
fn test_executor_idle_hold_ends_with_a_start() {
    let mut bench = idle();
    bench.answer_holds(100, &[]);
    let before = bench.hold_count();
    bench.order_start(ONE, 1, &[0]);
    assert_eq!(bench.hold_count(), before + 1, "at once with the start");
    assert_eq!(bench.last_wait(), SHORT);
    bench.answer_holds(1000, &[run(1, 0, 1)]);
    let holds = bench.hold_count() - before;
    assert!(holds >= 35, "{holds} holds in a second with a run");
}

/// Guards against lists that are older than a start: a run that they lack would count as lost.
#[test]
fn test_executor_idle_hold_answered_late() {
    let mut bench = idle();
    let (old, lists) = (bench.last_number(), bench.lists(0, &[], Vec::new()));
    bench.order_start(ONE, 1, &[0]);
    bench
        .executor
        .handle_start_reply(bench.now, run(1, 0, 1), OrderReply::Done(1));
    bench.report_lists(&[run(1, 0, 1)], Vec::new());
    bench.reply_to(old, lists);
    assert_eq!(bench.ends(ONE), []);
    assert_eq!(bench.executor.task_counts(), (1, 0));
}

/// Guards against a heartbeat of another incarnation that is not checked before the long wait ends.
#[test]
fn test_executor_idle_hold_ends_with_a_candidate() {
    let mut bench = idle();
    bench.answer_holds(100, &[]);
    let before = bench.hold_count();
    bench.send_heartbeat("w2", false, 1);
    assert_eq!(bench.hold_count(), before + 1, "at once with the heartbeat");
    let call = bench.last_hold.as_ref().expect("a hold");
    assert_eq!(
        (call.incarnation.as_str(), call.wait),
        ("w2", Duration::ZERO)
    );
}

/// Guards against a worker that stops answering while it is idle and is noticed later than one with runs.
#[test]
fn test_executor_idle_silence() {
    let mut bench = idle();
    let extra = Policy::default().orders.hold_extra;
    let answered = bench.now;
    let mut sent = bench.now;
    while !bench.has_logged(Kind::WorkerSilent) {
        let before = bench.hold_count();
        bench.advance(1);
        if bench.now.since(sent) == bench.last_wait() + extra {
            bench.handle_hold_reply(HoldReply::NoAnswer);
        }
        if bench.hold_count() > before {
            sent = bench.now;
        }
    }
    // With the short wait it takes five holds of 45 ms and the pauses of 10 ms between them.
    let silent = bench.now.since(answered);
    assert!(silent <= Duration::from_millis(290), "{silent:?}");
}
