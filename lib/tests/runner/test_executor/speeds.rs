//! The worker's long-term speed, learned over many runs, and its report to schedulers.

use std::time::Duration;

use stackcourse_lib::dispatch::executor::OrderReply;
use stackcourse_lib::dispatch::executor::RunEnd;
use stackcourse_lib::dispatch::policy::Policy;
use stackcourse_lib::event::Kind;
use stackcourse_lib::protos::dispatch as proto;

use super::Action;
use super::Bench;
use super::ONE;
use super::finished;
use super::run;

fn with_speeds(on: bool) -> Bench {
    let mut policy = Policy::default();
    policy.speeds.on = on;
    let mut bench = Bench::with_policy(policy);
    bench.send_heartbeat("w1", false, 1);
    bench.report_lists(&[], Vec::new());
    bench.link_up(ONE, "one");
    bench
}

impl Bench {
    /// Runs `count` tasks with an estimate of 100 ms one after the other, each of which takes `ms`.
    fn complete_runs(&mut self, worker: &str, first: u64, count: u64, ms: u64) {
        for job in first..first + count {
            self.send_heartbeat(worker, false, job + 1);
            self.order_start(ONE, job, &[0]);
            let name = run(job, 0, 1);
            self.executor
                .handle_start_reply(self.now, name, OrderReply::Done(1));
            self.now = self.now + Duration::from_millis(ms);
            self.send_orders(ONE, proto::Orders::default());
            let end = finished(job, name, RunEnd::Done);
            self.report_lists(&[], vec![end]);
        }
    }

    fn slowness_percent(&mut self) -> u32 {
        self.send_orders(ONE, proto::Orders::default());
        self.advance(100);
        let last = self.updates(ONE).pop().expect("an update");
        last.worker.expect("a worker report").slowness_percent
    }
}

#[test]
fn test_executor_reports_slowness() {
    let [on, off] = [true, false].map(|on| {
        let mut bench = with_speeds(on);
        bench.complete_runs("w1", 1, 20, 180);
        bench.slowness_percent()
    });
    assert_eq!((on, off), (180, 0));
}

#[test]
fn test_executor_logs_speed_change() {
    let mut bench = with_speeds(true);
    bench.complete_runs("w1", 1, 40, 100);
    assert_eq!(bench.slowness_percent(), 100);
    bench.complete_runs("w1", 41, 16, 200);
    let changed = |a: &Action| matches!(a, Action::Log(e) if e.kind == Kind::SpeedChanged);
    assert!(bench.actions.iter().any(changed));
    assert!(bench.slowness_percent() > 190);
}

/// The machine is usually the same after a restart, so its last speed applies until its runs show another
/// one.
#[test]
fn test_executor_new_incarnation_keeps_speed() {
    let mut bench = with_speeds(true);
    bench.complete_runs("w1", 1, 40, 200);
    bench.executor.handle_worker_left(bench.now, "w1");
    bench.collect_actions();
    bench.send_heartbeat("w2", false, 1);
    bench.report_lists(&[], Vec::new());
    assert_eq!(bench.slowness_percent(), 200);
    bench.complete_runs("w2", 60, 8, 100);
    let after = bench.slowness_percent();
    assert!(after < 130, "{after} %");
}
