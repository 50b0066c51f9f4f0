//! Runs that are stopped for more urgent tasks, and what may go wrong halfway.

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

/// A task of a patient queue, of which two fill the worker.
fn patient() -> proto::StartTasks {
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

/// A task of an urgent one.
fn urgent() -> proto::StartTasks {
    proto::StartTasks {
        slack_ms: 80,
        estimate_ms: 60,
        priority: 0,
        preempts: true,
        ..patient()
    }
}

impl Bench {
    fn start_like(&mut self, link: LinkId, like: &proto::StartTasks, job: u64, stops: u32) {
        let task = proto::TaskStart {
            attempt: 1,
            stops,
            ..proto::TaskStart::default()
        };
        let start = proto::StartTasks {
            job,
            tasks: vec![task],
            ..like.clone()
        };
        let orders = proto::Orders {
            starts: vec![start],
            sequence: 1,
            ..proto::Orders::default()
        };
        self.orders(link, orders);
    }

    fn confirm_start(&mut self, run: RunName) {
        self.executor
            .handle_start_reply(self.now, run, OrderReply::Done(1));
        self.take();
    }

    fn stop_replied(&mut self, run: RunName, reply: OrderReply) {
        self.executor.handle_stop_reply(self.now, run, reply);
        self.take();
    }

    fn preemptible(&self) -> u32 {
        let last = self.updates(TWO).pop().expect("an update");
        last.worker.expect("it reports").preemptible_cpu_milli
    }
}

/// A worker that is full of two patient runs of the scheduler two, which began 10 and 30 ms ago.
fn full(on: bool) -> Bench {
    let mut policy = Policy::default();
    policy.preemption.on = on;
    policy.preemption.waste_share = 0.1;
    let mut bench = Bench::with_policy(policy);
    bench.heartbeat("w1", false, 1);
    bench.lists(&[], Vec::new());
    bench.link(ONE, "one");
    bench.link(TWO, "two");
    bench.link(THREE, "three");
    bench.start_like(TWO, &patient(), 1, 1);
    bench.confirm_start(run(1, 0, 1));
    bench.pass(20);
    bench.start_like(TWO, &patient(), 2, 1);
    bench.confirm_start(run(2, 0, 1));
    bench.pass(10);
    bench.lists_at(1, &BOTH, Vec::new());
    bench.lists_at(1, &BOTH, Vec::new());
    bench
}

const BOTH: [RunName; 2] = [run(1, 0, 1), run(2, 0, 1)];
const OLDER: RunName = run(1, 0, 1);
const YOUNGER: RunName = run(2, 0, 1);
const ASKED: RunName = run(7, 0, 1);

#[test]
fn test_executor_starts_an_urgent_task_once_the_room_of_a_stopped_run_is_confirmed() {
    let mut bench = full(true);
    bench.start_like(ONE, &urgent(), 7, 1);
    assert_eq!(bench.stopped(), [YOUNGER], "it loses least");
    assert_eq!(bench.started(), BOTH, "the stop is not confirmed");
    bench.stop_replied(YOUNGER, OrderReply::Done(1));
    assert_eq!(bench.started(), BOTH, "it may run still");
    bench.lists(&[OLDER], vec![finished(1, YOUNGER, RunEnd::Stopped)]);
    assert_eq!(bench.started(), [OLDER, YOUNGER, ASKED]);
    assert_eq!(bench.ends(TWO), [(1, EndKind::Preempted)]);
    assert_eq!(bench.executor.counts().preempted, 1);
    assert_eq!(
        bench.executor.counts().wasted_core_ms,
        10,
        "10 ms of a core"
    );
}

#[test]
fn test_executor_stops_nothing_while_the_switch_is_off() {
    let mut bench = full(false);
    bench.pass(100);
    assert_eq!(bench.preemptible(), 0);
    bench.start_like(ONE, &urgent(), 7, 1);
    assert_eq!(bench.stopped(), []);
    assert_eq!(bench.ends(ONE), [(1, EndKind::NoRoom)]);
}

#[test]
fn test_executor_reports_the_room_that_may_be_cleared() {
    let mut bench = full(true);
    bench.pass(100);
    assert_eq!(bench.preemptible(), 1000, "half of its room at a time");
    bench.pass(400);
    assert_eq!(
        bench.preemptible(),
        0,
        "they could not end in time elsewhere"
    );
}

/// Each of two schedulers could have a run stopped. Both together must not empty the worker.
#[test]
fn test_executor_is_not_emptied_by_several_schedulers_at_once() {
    let mut bench = full(true);
    bench.start_like(ONE, &urgent(), 7, 1);
    bench.start_like(THREE, &urgent(), 8, 1);
    assert_eq!(bench.stopped(), [YOUNGER]);
    assert_eq!(bench.ends(THREE), [(1, EndKind::NoRoom)]);
    let logged = |a: &Action| matches!(a, Action::Log(e) if e.kind == Kind::PreemptionDenied);
    assert_eq!(bench.actions.iter().filter(|a| logged(a)).count(), 1);
}

/// The room of one stopped run holds two small tasks, whoever sends them.
#[test]
fn test_executor_counts_a_run_that_is_being_stopped_as_room_to_come() {
    let mut bench = full(true);
    let small = proto::StartTasks {
        demand: Some(proto::Demand {
            cpu_milli: 500,
            memory_mb: 5,
            gpu: 0,
        }),
        ..urgent()
    };
    bench.start_like(ONE, &small, 7, 1);
    bench.start_like(THREE, &small, 8, 1);
    assert_eq!(bench.stopped(), [YOUNGER]);
    bench.lists(&[OLDER], vec![finished(1, YOUNGER, RunEnd::Stopped)]);
    assert_eq!(bench.started(), [OLDER, YOUNGER, ASKED, run(8, 0, 1)]);
}

/// A task that waits for a run about to end must not take the room that was cleared, though it has less time.
#[test]
fn test_executor_keeps_cleared_room_for_the_urgent_task() {
    let mut bench = full(true);
    let row = |run: RunName, percent: u32| RunningRow { run, percent };
    bench.handle_hold_reply(HoldReply::Lists {
        born: None,
        clock_ms: 1031,
        running: vec![row(OLDER, 99), row(YOUNGER, 1)],
        finished: Vec::new(),
    });
    let hasty = proto::StartTasks {
        slack_ms: 60,
        ..patient()
    };
    bench.start_like(THREE, &hasty, 8, 1);
    assert_eq!(bench.ends(THREE), [], "it waits for the older run");
    bench.start_like(ONE, &urgent(), 7, 1);
    assert_eq!(bench.stopped(), [YOUNGER]);
    bench.lists(&[OLDER], vec![finished(1, YOUNGER, RunEnd::Stopped)]);
    assert!(bench.started().contains(&ASKED));
    assert!(!bench.started().contains(&run(8, 0, 1)));
}

#[test]
fn test_executor_spares_runs_that_may_not_be_stopped_again() {
    let mut policy = Policy::default();
    policy.preemption.on = true;
    let mut bench = Bench::with_policy(policy);
    bench.heartbeat("w1", false, 1);
    bench.lists(&[], Vec::new());
    bench.link(ONE, "one");
    for job in [1, 2] {
        bench.start_like(ONE, &patient(), job, 0);
        bench.confirm_start(run(job, 0, 1));
    }
    bench.start_like(ONE, &urgent(), 7, 1);
    assert_eq!(bench.stopped(), []);
    assert_eq!(bench.ends(ONE), [(1, EndKind::NoRoom)]);
}

/// The entry that asked dies after the stop: its task goes with its lease, the stopped run is told as preempted.
#[test]
fn test_executor_drops_an_urgent_task_whose_scheduler_is_gone() {
    let mut bench = full(true);
    bench.start_like(ONE, &urgent(), 7, 1);
    let greeting = proto::Greeting {
        name: "one".to_owned(),
        incarnation: 8,
        ..proto::Greeting::default()
    };
    bench.executor.link_up(bench.now, LinkId(9), &greeting);
    bench.take();
    bench.stop_replied(YOUNGER, OrderReply::Done(1));
    bench.lists(&[OLDER], vec![finished(1, YOUNGER, RunEnd::Stopped)]);
    assert_eq!(bench.started(), BOTH);
    assert_eq!(bench.ends(TWO), [(1, EndKind::Preempted)]);
    bench.start_like(THREE, &patient(), 8, 1);
    assert_eq!(bench.started().len(), 3, "the room is free again");
}

/// A stop that gets no answer is sent again; its room is not free meanwhile, and the urgent task is handed back.
#[test]
fn test_executor_hands_an_urgent_task_back_whose_stop_is_not_answered() {
    let mut bench = full(true);
    bench.start_like(ONE, &urgent(), 7, 1);
    bench.stop_replied(YOUNGER, OrderReply::NoAnswer);
    bench.lists(&BOTH, Vec::new());
    bench.pass(45);
    assert_eq!(bench.stopped(), [YOUNGER, YOUNGER]);
    bench.stop_replied(YOUNGER, OrderReply::NoAnswer);
    bench.pass(40);
    assert_eq!(bench.ends(ONE), [(1, EndKind::Expired)]);
    assert_eq!(bench.started(), BOTH);
    assert_eq!(bench.ends(TWO), [], "it may run still");
}

/// The start of the urgent task gets no answer: its room stays taken until its stop is confirmed.
#[test]
fn test_executor_stops_an_urgent_task_whose_start_is_lost() {
    let mut bench = full(true);
    bench.start_like(ONE, &urgent(), 7, 1);
    bench.lists(&[OLDER], vec![finished(1, YOUNGER, RunEnd::Stopped)]);
    bench
        .executor
        .handle_start_reply(bench.now, ASKED, OrderReply::NoAnswer);
    bench.take();
    assert_eq!(bench.stopped(), [YOUNGER, ASKED]);
    bench.start_like(THREE, &patient(), 8, 1);
    assert_eq!(bench.started().len(), 3);
    assert_eq!(bench.ends(THREE), [(2, EndKind::NoRoom)]);
}

/// The stopped run ends whole before the stop reaches it.
#[test]
fn test_executor_counts_a_run_that_ends_before_its_stop_as_done() {
    let mut bench = full(true);
    bench.start_like(ONE, &urgent(), 7, 1);
    bench.lists(&[OLDER], vec![finished(1, YOUNGER, RunEnd::Done)]);
    assert_eq!(bench.ends(TWO), [(1, EndKind::Done)]);
    assert_eq!(bench.started(), [OLDER, YOUNGER, ASKED]);
    assert_eq!(bench.executor.counts().preempted, 0);
}
