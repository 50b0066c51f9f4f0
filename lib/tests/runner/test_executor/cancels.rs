//! Tests of cancelled jobs at the executor, which sees each start at its worker: no scheduler may have tasks of
//! such a job started, whether it has heard of the cancel or not.

use super::*;

const JOB: u64 = 1;

impl Bench {
    /// Delivers the cancel of a job from the scheduler on a link.
    fn cancel(&mut self, link: LinkId, job: u64) {
        let orders = proto::Orders {
            cancel: vec![job],
            ..proto::Orders::default()
        };
        self.send_orders(link, orders);
    }

    /// Delivers an earlier cancel, as on a new link.
    fn cancel_kept(&mut self, link: LinkId, job: u64, remaining_ms: u32) {
        let orders = proto::Orders {
            kept_cancels: vec![proto::CancelledJob { job, remaining_ms }],
            ..proto::Orders::default()
        };
        self.send_orders(link, orders);
    }

    /// Returns the jobs that the scheduler on a link was told to be cancelled.
    fn told_cancelled(&self, link: LinkId) -> Vec<u64> {
        let updates = self.updates(link);
        let cancelled = updates.iter().flat_map(|u| u.cancelled.iter());
        cancelled.map(|c| c.job).collect()
    }

    fn two_schedulers() -> Bench {
        let mut bench = Bench::ready();
        bench.link_up(TWO, "two");
        bench
    }
}

/// A scheduler that was frozen during a cancel, or has just started, places the job: it must not run.
#[test]
fn test_executor_cancel_refuses_start() {
    let mut bench = Bench::two_schedulers();
    bench.cancel(ONE, JOB);
    bench.order_start(TWO, JOB, &[0, 1]);
    assert_eq!(bench.sent_starts(), []);
    assert_eq!(bench.told_cancelled(TWO), [JOB], "told once, and at once");
    assert!(bench.told_cancelled(ONE).is_empty(), "it knows");
    let kinds: Vec<EndKind> = bench.ends(TWO).iter().map(|e| e.1).collect();
    assert_eq!(kinds, [EndKind::Claimed, EndKind::Claimed]);
    assert_eq!(bench.executor.counts().cancelled_tasks, 2);
    bench.order_start(TWO, 2, &[0]);
    assert_eq!(bench.sent_starts(), [run(2, 0, 1)], "other jobs run");
}

/// The scheduler that cancelled a job itself must not start it either, whatever made it forget.
#[test]
fn test_executor_cancel_refuses_own_start() {
    let mut bench = Bench::ready();
    bench.cancel(ONE, JOB);
    bench.order_start(ONE, JOB, &[0]);
    assert_eq!(bench.sent_starts(), []);
    assert_eq!(bench.told_cancelled(ONE), [JOB]);
}

/// A job that runs for a scheduler that can't be reached by the one that cancelled it ends here.
#[test]
fn test_executor_cancel_ends_runs_of_all() {
    let mut bench = Bench::two_schedulers();
    bench.order_start(TWO, JOB, &[0]);
    bench
        .executor
        .handle_start_reply(bench.now, run(JOB, 0, 1), OrderReply::Done(1));
    bench.cancel(ONE, JOB);
    assert_eq!(bench.sent_stops(), [run(JOB, 0, 1)]);
    assert_eq!(bench.told_cancelled(TWO), [JOB]);
}

/// A start that the worker refuses is not sent again once the job was cancelled.
#[test]
fn test_executor_cancel_ends_starting_run() {
    let mut bench = Bench::two_schedulers();
    bench.order_start(TWO, JOB, &[0]);
    bench.cancel(ONE, JOB);
    let refusal = OrderReply::Refused(StartRefusal::Fence);
    bench
        .executor
        .handle_start_reply(bench.now, run(JOB, 0, 1), refusal);
    bench.collect_actions();
    assert_eq!(bench.sent_starts(), [run(JOB, 0, 1)]);
}

/// Tasks that wait for room when their job is cancelled are not started later.
#[test]
fn test_executor_cancel_removes_queued_task() {
    let mut bench = Bench::two_schedulers();
    bench.order_start(ONE, 2, &[0, 1]);
    for run in [run(2, 0, 1), run(2, 1, 1)] {
        let reply = OrderReply::Done(1);
        bench.executor.handle_start_reply(bench.now, run, reply);
    }
    bench.advance(99);
    bench.report_lists_at(99, &[run(2, 0, 1), run(2, 1, 1)], Vec::new());
    bench.order_start(TWO, JOB, &[0]);
    assert_eq!(bench.executor.task_counts(), (2, 1));
    bench.cancel(ONE, JOB);
    assert_eq!(bench.executor.task_counts(), (2, 0));
    let ended = vec![
        finished(1, run(2, 0, 1), RunEnd::Done),
        finished(2, run(2, 1, 1), RunEnd::Done),
    ];
    bench.report_lists(&[], ended);
    assert_eq!(bench.sent_starts().len(), 2);
    assert_eq!(bench.told_cancelled(TWO), [JOB]);
}

/// A scheduler that claims a cancelled job must learn that, instead of running it.
#[test]
fn test_executor_cancel_refuses_claim() {
    let mut bench = Bench::two_schedulers();
    bench.cancel(ONE, JOB);
    bench.claim(TWO, JOB);
    bench.advance(100);
    assert!(bench.updates(TWO).iter().all(|u| u.claimed.is_empty()));
    assert_eq!(bench.told_cancelled(TWO), [JOB]);
}

/// A claim that was made before the cancel gives no right any more.
#[test]
fn test_executor_cancel_replaces_claim() {
    let mut bench = Bench::two_schedulers();
    bench.claim(TWO, JOB);
    bench.cancel(ONE, JOB);
    assert_eq!(bench.told_cancelled(TWO), [JOB]);
    bench.order_start(TWO, JOB, &[0]);
    assert_eq!(bench.sent_starts(), []);
}

/// The memory of cancels is bounded, and what is forgotten is never forgotten in silence.
#[test]
fn test_executor_cancel_memory_is_bounded() {
    let mut policy = Policy::default();
    policy.claims.cancels = 2;
    let mut bench = Bench::with_policy(policy);
    bench.link_up(ONE, "one");
    for job in 1..=3 {
        bench.cancel(ONE, job);
        bench.advance(1);
    }
    let dropped = bench
        .actions
        .iter()
        .filter(|a| matches!(a, Action::Log(event) if event.kind == Kind::CancelDropped));
    assert_eq!(dropped.count(), 1);
    assert_eq!(bench.executor.counts().dropped_cancels, 1);
}

/// The time that remains of a cancel goes along, so that it is not kept for longer the more processes pass it on.
#[test]
fn test_executor_cancel_time_goes_along() {
    let mut bench = Bench::two_schedulers();
    bench.cancel_kept(ONE, JOB, 1000);
    bench.advance(500);
    bench.claim(TWO, JOB);
    let updates = bench.updates(TWO);
    let told = updates.iter().flat_map(|u| u.cancelled.iter());
    assert_eq!(told.map(|c| c.remaining_ms).collect::<Vec<u32>>(), [500]);
    bench.advance(600);
    bench.send_heartbeat("w1", false, 2);
    bench.claim(TWO, JOB);
    assert!(bench.updates(TWO).iter().any(|u| u.claimed == [JOB]));
}

/// An executor that has just started, or was without any link, may have missed cancels and asks for them; the
/// others do not, so that links that come and go cost nothing.
#[test]
fn test_executor_cancel_asks_when_unlinked() {
    let wanted = |b: &Bench, link: LinkId| b.updates(link).iter().any(|u| u.cancels_wanted);
    let mut bench = Bench::two_schedulers();
    assert!(wanted(&bench, ONE) && wanted(&bench, TWO));
    for _ in 0..50 {
        bench.advance(420);
        bench.send_orders(ONE, proto::Orders::default());
        bench.send_orders(TWO, proto::Orders::default());
    }
    bench.actions.clear();
    bench.executor.link_down(TWO);
    bench.link_up(TWO, "two");
    assert!(!wanted(&bench, TWO), "another scheduler was linked");
    bench.executor.link_down(ONE);
    bench.executor.link_down(TWO);
    bench.link_up(ONE, "one");
    assert!(wanted(&bench, ONE));
}
