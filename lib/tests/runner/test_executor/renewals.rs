//! Tests of how long the worker is told to keep its runs alive once a lease is over.

use super::*;

/// The lease of a scheduler in [`Bench`].
const LEASE_MS: u64 = 700;
/// How long a renewal keeps runs alive in [`Bench`].
const HOLD_MS: u64 = 1000;
const OLD: RunName = run(1, 0, 1);
const OTHER: RunName = run(2, 0, 1);

impl Bench {
    /// Returns the executor with a run of scheduler one, whose lease begins now, and a run of scheduler two.
    fn with_two_runs() -> Bench {
        let mut bench = Bench::ready();
        bench.link_up(TWO, "two");
        bench.order_start(ONE, 1, &[0]);
        bench.order_start(TWO, 2, &[0]);
        for name in [OLD, OTHER] {
            let done = OrderReply::Done(1);
            bench.executor.handle_start_reply(bench.now, name, done);
        }
        bench.collect_actions();
        bench
    }

    /// Advances by `ms` in steps of 20 ms. Scheduler two is heard, the worker lists `running`, and no stop is
    /// answered.
    fn run_on(&mut self, ms: u64, running: &[RunName]) {
        for _ in 0..ms / 20 {
            self.advance(20);
            self.send_orders(TWO, proto::Orders::default());
            self.report_lists(running, Vec::new());
        }
    }

    /// Returns the latest deadline of an order sent so far, in milliseconds of the executor's clock.
    fn last_deadline(&self) -> u64 {
        let deadlines = self.actions.iter().map(|a| match a {
            Action::Hold(call) => call.deadline_ms,
            Action::Start(call) => call.deadline_ms,
            _ => 0,
        });
        let latest = deadlines.max().unwrap_or(0);
        // `Bench::report_lists` reports a clock that is ahead by this much.
        latest.saturating_sub(1000)
    }

    fn count_of(&self, kind: Kind) -> usize {
        let is_kind = |a: &&Action| matches!(a, Action::Log(event) if event.kind == kind);
        self.actions.iter().filter(is_kind).count()
    }
}

/// The worker leaves all stops of a run without an answer after the lease of its scheduler is over. Renewed
/// for the other scheduler's sake, the run would go on while its scheduler starts the task elsewhere.
#[test]
fn test_executor_renewals_end_after_lease() {
    let mut bench = Bench::with_two_runs();
    bench.run_on(3000, &[OLD, OTHER]);
    assert!(bench.sent_stops().len() > 10, "{:?}", bench.sent_stops());
    let deadline = bench.last_deadline();
    assert!(deadline <= LEASE_MS + HOLD_MS, "{deadline} ms");
    assert_eq!(bench.count_of(Kind::RenewalsWithheld), 1);
    assert_eq!(bench.executor.counts().withheld_renewals, 1);
}

/// A stop that is answered in time saves the worker's other runs.
#[test]
fn test_executor_renewals_go_on_after_stop() {
    let mut bench = Bench::with_two_runs();
    bench.run_on(LEASE_MS + 300, &[OLD, OTHER]);
    let done = OrderReply::Done(1);
    bench.executor.handle_stop_reply(bench.now, OLD, done);
    bench.collect_actions();
    bench.run_on(1000, &[OTHER]);
    let now = bench.now.0 / 1000;
    let deadline = bench.last_deadline();
    assert!(deadline >= now + HOLD_MS - 20, "{deadline} ms at {now} ms");
    assert_eq!(bench.count_of(Kind::RenewalsWithheld), 0);
    assert_eq!(bench.executor.task_counts(), (1, 0));
}

/// An executor that wakes from a pause first gets the reply to a hold. The next hold must not renew the runs
/// of the lease that ended meanwhile.
#[test]
fn test_executor_renewals_after_pause() {
    let mut bench = Bench::with_two_runs();
    bench.run_on(600, &[OLD, OTHER]);
    bench.now = bench.now + Duration::from_millis(500);
    bench.report_lists(&[OLD, OTHER], Vec::new());
    let deadline = bench.last_deadline();
    assert!(deadline <= LEASE_MS + HOLD_MS, "{deadline} ms");
}

/// The clock reading that comes back with the order that ends a standby is old. The scheduler counts from it
/// when it takes runs for over, whenever the order arrives.
#[test]
fn test_executor_renewals_after_standby() {
    let mut bench = Bench::ready();
    bench.link_up(TWO, "two");
    let on_standby = proto::Orders {
        standby: true,
        ..proto::Orders::default()
    };
    bench.send_orders(ONE, on_standby);
    let echoed = bench.now;
    bench.run_on(600, &[]);
    let starts = vec![proto::StartTasks {
        job: 1,
        spec: "x".to_owned(),
        tasks: vec![proto::TaskStart {
            attempt: 1,
            ..proto::TaskStart::default()
        }],
        slack_ms: 5000,
        estimate_ms: 100,
        ..proto::StartTasks::default()
    }];
    let orders = proto::Orders {
        echo_us: echoed.0,
        starts,
        sequence: 1,
        ..proto::Orders::default()
    };
    bench.executor.handle_orders(bench.now, ONE, orders);
    bench.collect_actions();
    assert_eq!(bench.sent_starts(), [OLD]);
    bench.run_on(3000, &[OLD]);
    let deadline = bench.last_deadline();
    assert!(deadline <= LEASE_MS + HOLD_MS, "{deadline} ms");
}

/// A run that is unknown here belongs to nobody who waits for it: its task may run elsewhere.
#[test]
fn test_executor_renewals_end_with_unknown_run() {
    let mut bench = Bench::with_two_runs();
    let since = bench.now.0 / 1000;
    for _ in 0..150 {
        bench.send_orders(ONE, proto::Orders::default());
        bench.run_on(20, &[OLD, OTHER, run(9, 0, 1)]);
    }
    let deadline = bench.last_deadline();
    assert!(deadline <= since + 20 + HOLD_MS, "{deadline} ms");
    bench.report_lists(&[OLD, OTHER], Vec::new());
    let now = bench.now.0 / 1000;
    assert_eq!(bench.last_deadline(), now + HOLD_MS);
}

/// A task that is started while the worker's runs may soon be left to expire would expire with them.
#[test]
fn test_executor_renewals_end_no_start() {
    let mut bench = Bench::with_two_runs();
    bench.run_on(LEASE_MS + 100, &[OLD]);
    bench.order_start(TWO, 3, &[0]);
    assert_eq!(bench.sent_starts(), [OLD, OTHER, run(3, 0, 1)]);
    bench.run_on(HOLD_MS / 2, &[OLD, run(3, 0, 1)]);
    bench.order_start(TWO, 4, &[0]);
    assert_eq!(bench.sent_starts().len(), 3);
    let ends = bench.ends(TWO);
    assert_eq!(ends.last(), Some(&(2, EndKind::Unavailable)), "{ends:?}");
}

/// A scheduler that links again and has heard from the executor waits for the ends of its runs.
#[test]
fn test_executor_renewals_after_new_link() {
    let mut bench = Bench::with_two_runs();
    bench.run_on(LEASE_MS + 100, &[OLD, OTHER]);
    bench.link_up(ONE, "one");
    for _ in 0..100 {
        bench.send_orders(ONE, proto::Orders::default());
        bench.run_on(20, &[OLD, OTHER]);
    }
    let now = bench.now.0 / 1000;
    let deadline = bench.last_deadline();
    assert!(deadline >= now + HOLD_MS - 20, "{deadline} ms at {now} ms");
}
