//! The worker's speed over many runs, as it is reported.

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

fn learning(on: bool) -> Bench {
    let mut policy = Policy::default();
    policy.speeds.on = on;
    let mut bench = Bench::with_policy(policy);
    bench.heartbeat("w1", false, 1);
    bench.lists(&[], Vec::new());
    bench.link(ONE, "one");
    bench
}

impl Bench {
    /// Runs so many tasks of 100 ms one after the other, each of which takes `ms`.
    fn end_runs(&mut self, life: &str, first: u64, count: u64, ms: u64) {
        for job in first..first + count {
            self.heartbeat(life, false, job + 1);
            self.start(ONE, job, &[0]);
            let name = run(job, 0, 1);
            self.executor
                .handle_start_reply(self.now, name, OrderReply::Done(1));
            self.now = self.now + Duration::from_millis(ms);
            self.orders(ONE, proto::Orders::default());
            let end = finished(job, name, RunEnd::Done);
            self.lists(&[], vec![end]);
        }
    }

    fn slowness(&mut self) -> u32 {
        self.orders(ONE, proto::Orders::default());
        self.pass(100);
        let last = self.updates(ONE).pop().expect("an update");
        last.worker.expect("it reports").slowness_percent
    }
}

#[test]
fn test_executor_reports_how_slow_its_worker_is_if_it_is_asked_to() {
    let [on, off] = [true, false].map(|on| {
        let mut bench = learning(on);
        bench.end_runs("w1", 1, 20, 180);
        bench.slowness()
    });
    assert_eq!((on, off), (180, 0));
}

#[test]
fn test_executor_notes_a_speed_that_halves_for_good() {
    let mut bench = learning(true);
    bench.end_runs("w1", 1, 40, 100);
    assert_eq!(bench.slowness(), 100);
    bench.end_runs("w1", 41, 16, 200);
    let changed = |a: &Action| matches!(a, Action::Log(e) if e.kind == Kind::SpeedChanged);
    assert!(bench.actions.iter().any(changed));
    assert!(bench.slowness() > 190);
}

/// A machine that comes back is taken for what it was until its runs say otherwise.
#[test]
fn test_executor_begins_a_new_life_with_the_speed_of_the_earlier_one() {
    let mut bench = learning(true);
    bench.end_runs("w1", 1, 40, 200);
    bench.executor.handle_worker_left(bench.now, "w1");
    bench.take();
    bench.heartbeat("w2", false, 1);
    bench.lists(&[], Vec::new());
    assert_eq!(bench.slowness(), 200);
    bench.end_runs("w2", 60, 8, 100);
    let after = bench.slowness();
    assert!(after < 130, "{after}");
}
