//! Preemption: runs that are stopped for more urgent tasks, and failures between the stop and the start.

use stackcourse_lib::dispatch::executor::Action;
use stackcourse_lib::dispatch::executor::HoldReply;
use stackcourse_lib::dispatch::executor::OrderReply;
use stackcourse_lib::dispatch::executor::RunEnd;
use stackcourse_lib::dispatch::executor::RunName;
use stackcourse_lib::dispatch::executor::RunningRow;
use stackcourse_lib::dispatch::model::EndKind;
use stackcourse_lib::dispatch::policy::Policy;
use stackcourse_lib::event::Kind;
use stackcourse_lib::prelude::LinkId;
use stackcourse_lib::protos::dispatch as proto;

use super::Bench;
use super::ONE;
use super::TWO;
use super::finished;
use super::run;

const THREE: LinkId = LinkId(3);

/// Returns the start of a low-priority task. Two of these fill the worker.
fn low_priority_start() -> proto::StartTasks {
    proto::StartTasks {
        job: 0,
        occurrence: 0,
        step: 0,
        spec: String::new(),
        demand: Some(proto::Demand {
            cpu_milli: 1000,
            memory_mb: 10,
            gpu: 0,
        }),
        tasks: Vec::new(),
        slack_ms: 500,
        estimate_ms: 900,
        priority: 2,
        spread: 0,
        preempts: false,
        saves_progress: false,
    }
}

/// Returns the start of an urgent task, which may preempt others.
fn urgent_start() -> proto::StartTasks {
    proto::StartTasks {
        slack_ms: 80,
        estimate_ms: 60,
        priority: 0,
        preempts: true,
        ..low_priority_start()
    }
}

impl Bench {
    fn order_start_like(
        &mut self,
        link: LinkId,
        template: &proto::StartTasks,
        job: u64,
        stops: u32,
    ) {
        let task = proto::TaskStart {
            attempt: 1,
            stops,
            ..proto::TaskStart::default()
        };
        let start = proto::StartTasks {
            job,
            tasks: vec![task],
            ..template.clone()
        };
        let orders = proto::Orders {
            starts: vec![start],
            sequence: 1,
            ..proto::Orders::default()
        };
        self.send_orders(link, orders);
    }

    fn confirm_start(&mut self, run: RunName) {
        self.executor
            .handle_start_reply(self.now, run, OrderReply::Done(1));
        self.collect_actions();
    }

    fn reply_to_stop(&mut self, run: RunName, reply: OrderReply) {
        self.executor.handle_stop_reply(self.now, run, reply);
        self.collect_actions();
    }

    fn preemptible_cpu(&self) -> u32 {
        let last = self.updates(TWO).pop().expect("an update");
        last.worker.expect("a worker report").preemptible_cpu_milli
    }
}

/// Returns an executor whose worker is full with two low-priority runs of scheduler two, started 30 and 10 ms
/// ago.
fn full_worker(preemption_on: bool) -> Bench {
    let mut policy = Policy::default();
    policy.preemption.on = preemption_on;
    policy.preemption.waste_share = 0.1;
    let mut bench = Bench::with_policy(policy);
    bench.send_heartbeat("w1", false, 1);
    bench.report_lists(&[], Vec::new());
    bench.link_up(ONE, "one");
    bench.link_up(TWO, "two");
    bench.link_up(THREE, "three");
    bench.order_start_like(TWO, &low_priority_start(), 1, 1);
    bench.confirm_start(run(1, 0, 1));
    bench.advance(20);
    bench.order_start_like(TWO, &low_priority_start(), 2, 1);
    bench.confirm_start(run(2, 0, 1));
    bench.advance(10);
    bench.report_lists_at(1, &BOTH, Vec::new());
    bench.report_lists_at(1, &BOTH, Vec::new());
    bench
}

const BOTH: [RunName; 2] = [run(1, 0, 1), run(2, 0, 1)];
const OLDER: RunName = run(1, 0, 1);
const YOUNGER: RunName = run(2, 0, 1);
const URGENT: RunName = run(7, 0, 1);

#[test]
fn test_executor_preemption_waits_for_confirmed_end() {
    let mut bench = full_worker(true);
    bench.order_start_like(ONE, &urgent_start(), 7, 1);
    assert_eq!(
        bench.sent_stops(),
        [YOUNGER],
        "the younger run loses the least work"
    );
    assert_eq!(bench.sent_starts(), BOTH, "the stop is not confirmed yet");
    bench.reply_to_stop(YOUNGER, OrderReply::Done(1));
    assert_eq!(bench.sent_starts(), BOTH, "the run may still be running");
    bench.report_lists(&[OLDER], vec![finished(1, YOUNGER, RunEnd::Stopped)]);
    assert_eq!(bench.sent_starts(), [OLDER, YOUNGER, URGENT]);
    assert_eq!(bench.ends(TWO), [(1, EndKind::Preempted)]);
    assert_eq!(bench.executor.counts().preempted, 1);
    assert_eq!(
        bench.executor.counts().wasted_core_ms,
        10,
        "one core for 10 ms"
    );
}

#[test]
fn test_executor_preemption_disabled() {
    let mut bench = full_worker(false);
    bench.advance(100);
    assert_eq!(bench.preemptible_cpu(), 0);
    bench.order_start_like(ONE, &urgent_start(), 7, 1);
    assert_eq!(bench.sent_stops(), []);
    assert_eq!(bench.ends(ONE), [(1, EndKind::NoRoom)]);
}

#[test]
fn test_executor_reports_preemptible_cpu() {
    let mut bench = full_worker(true);
    bench.advance(100);
    assert_eq!(
        bench.preemptible_cpu(),
        1000,
        "at most half of the capacity at a time"
    );
    bench.advance(400);
    assert_eq!(
        bench.preemptible_cpu(),
        0,
        "the runs could no longer end in time elsewhere"
    );
}

/// Two schedulers request preemption at once. Each request alone is within the limit, but together they would
/// stop all runs of the worker.
#[test]
fn test_executor_preemption_several_schedulers() {
    let mut bench = full_worker(true);
    bench.order_start_like(ONE, &urgent_start(), 7, 1);
    bench.order_start_like(THREE, &urgent_start(), 8, 1);
    assert_eq!(bench.sent_stops(), [YOUNGER]);
    assert_eq!(bench.ends(THREE), [(1, EndKind::NoRoom)]);
    let logged = |a: &Action| matches!(a, Action::Log(e) if e.kind == Kind::PreemptionDenied);
    assert_eq!(bench.actions.iter().filter(|a| logged(a)).count(), 1);
}

/// The room of one stopped run suffices for two small tasks, so a second scheduler's task must not stop
/// another run.
#[test]
fn test_executor_preemption_shares_freed_room() {
    let mut bench = full_worker(true);
    let small = proto::StartTasks {
        demand: Some(proto::Demand {
            cpu_milli: 500,
            memory_mb: 5,
            gpu: 0,
        }),
        ..urgent_start()
    };
    bench.order_start_like(ONE, &small, 7, 1);
    bench.order_start_like(THREE, &small, 8, 1);
    assert_eq!(bench.sent_stops(), [YOUNGER]);
    bench.report_lists(&[OLDER], vec![finished(1, YOUNGER, RunEnd::Stopped)]);
    assert_eq!(bench.sent_starts(), [OLDER, YOUNGER, URGENT, run(8, 0, 1)]);
}

/// A task that waits for a run about to end must not take the room freed by preemption, even if it must start
/// sooner.
#[test]
fn test_executor_preemption_reserves_freed_room() {
    let mut bench = full_worker(true);
    let row = |run: RunName, percent: u32| RunningRow { run, percent };
    bench.handle_hold_reply(HoldReply::Lists {
        born: None,
        clock_ms: 1031,
        running: vec![row(OLDER, 99), row(YOUNGER, 1)],
        finished: Vec::new(),
    });
    let earlier = proto::StartTasks {
        slack_ms: 60,
        ..low_priority_start()
    };
    bench.order_start_like(THREE, &earlier, 8, 1);
    assert_eq!(bench.ends(THREE), [], "the task waits for the older run");
    bench.order_start_like(ONE, &urgent_start(), 7, 1);
    assert_eq!(bench.sent_stops(), [YOUNGER]);
    bench.report_lists(&[OLDER], vec![finished(1, YOUNGER, RunEnd::Stopped)]);
    assert!(bench.sent_starts().contains(&URGENT));
    assert!(!bench.sent_starts().contains(&run(8, 0, 1)));
}

#[test]
fn test_executor_preemption_no_stops_left() {
    let mut policy = Policy::default();
    policy.preemption.on = true;
    let mut bench = Bench::with_policy(policy);
    bench.send_heartbeat("w1", false, 1);
    bench.report_lists(&[], Vec::new());
    bench.link_up(ONE, "one");
    for job in [1, 2] {
        bench.order_start_like(ONE, &low_priority_start(), job, 0);
        bench.confirm_start(run(job, 0, 1));
    }
    bench.order_start_like(ONE, &urgent_start(), 7, 1);
    assert_eq!(bench.sent_stops(), []);
    assert_eq!(bench.ends(ONE), [(1, EndKind::NoRoom)]);
}

/// The requesting scheduler restarts after the stop: its urgent task is dropped, and the stopped run is
/// reported as preempted.
#[test]
fn test_executor_preemption_scheduler_restarted() {
    let mut bench = full_worker(true);
    bench.order_start_like(ONE, &urgent_start(), 7, 1);
    let greeting = proto::Greeting {
        name: "one".to_owned(),
        incarnation: 8,
        ..proto::Greeting::default()
    };
    bench.executor.link_up(bench.now, LinkId(9), &greeting);
    bench.collect_actions();
    bench.reply_to_stop(YOUNGER, OrderReply::Done(1));
    bench.report_lists(&[OLDER], vec![finished(1, YOUNGER, RunEnd::Stopped)]);
    assert_eq!(bench.sent_starts(), BOTH);
    assert_eq!(bench.ends(TWO), [(1, EndKind::Preempted)]);
    bench.order_start_like(THREE, &low_priority_start(), 8, 1);
    assert_eq!(
        bench.sent_starts().len(),
        3,
        "the freed room is available again"
    );
}

/// An unanswered stop is sent again. Its room must not be used meanwhile, and the urgent task expires and is
/// returned.
#[test]
fn test_executor_preemption_unanswered_stop() {
    let mut bench = full_worker(true);
    bench.order_start_like(ONE, &urgent_start(), 7, 1);
    bench.reply_to_stop(YOUNGER, OrderReply::NoAnswer);
    bench.report_lists(&BOTH, Vec::new());
    bench.advance(45);
    assert_eq!(bench.sent_stops(), [YOUNGER, YOUNGER]);
    bench.reply_to_stop(YOUNGER, OrderReply::NoAnswer);
    bench.advance(40);
    assert_eq!(bench.ends(ONE), [(1, EndKind::Expired)]);
    assert_eq!(bench.sent_starts(), BOTH);
    assert_eq!(bench.ends(TWO), [], "the run may still be running");
}

/// If the start of the urgent task is not answered, its room stays allocated until its stop is confirmed.
#[test]
fn test_executor_preemption_unanswered_start() {
    let mut bench = full_worker(true);
    bench.order_start_like(ONE, &urgent_start(), 7, 1);
    bench.report_lists(&[OLDER], vec![finished(1, YOUNGER, RunEnd::Stopped)]);
    bench
        .executor
        .handle_start_reply(bench.now, URGENT, OrderReply::NoAnswer);
    bench.collect_actions();
    assert_eq!(bench.sent_stops(), [YOUNGER, URGENT]);
    bench.order_start_like(THREE, &low_priority_start(), 8, 1);
    assert_eq!(bench.sent_starts().len(), 3);
    assert_eq!(bench.ends(THREE), [(2, EndKind::NoRoom)]);
}

/// The victim completes before the stop reaches it, and must count as done, not as preempted.
#[test]
fn test_executor_preemption_victim_completes() {
    let mut bench = full_worker(true);
    bench.order_start_like(ONE, &urgent_start(), 7, 1);
    bench.report_lists(&[OLDER], vec![finished(1, YOUNGER, RunEnd::Done)]);
    assert_eq!(bench.ends(TWO), [(1, EndKind::Done)]);
    assert_eq!(bench.sent_starts(), [OLDER, YOUNGER, URGENT]);
    assert_eq!(bench.executor.counts().preempted, 0);
}
