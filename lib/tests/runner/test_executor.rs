//! The executor: room, leases, claims, and orders that get no answer.

mod accounts;
mod claims;
mod crashes;
mod evacuation;
mod lives;
mod preempting;
mod recall;
mod restarts;
mod slow;
mod speeds;
mod standby;
mod worker;

use std::time::Duration;

use assert_matches::assert_matches;
use stackcourse_lib::dispatch::executor::Action;
use stackcourse_lib::dispatch::executor::Executor;
use stackcourse_lib::dispatch::executor::ExecutorSetup;
use stackcourse_lib::dispatch::executor::FinishedRow;
use stackcourse_lib::dispatch::executor::HoldReply;
use stackcourse_lib::dispatch::executor::OrderReply;
use stackcourse_lib::dispatch::executor::RunEnd;
use stackcourse_lib::dispatch::executor::RunName;
use stackcourse_lib::dispatch::executor::RunningRow;
use stackcourse_lib::dispatch::executor::StartRefusal;
use stackcourse_lib::dispatch::executor::WorkerHeartbeat;
use stackcourse_lib::dispatch::executor::WorkerIncarnation;
use stackcourse_lib::dispatch::model::Demand;
use stackcourse_lib::dispatch::model::EndKind;
use stackcourse_lib::dispatch::model::JobNumber;
use stackcourse_lib::dispatch::model::TaskName;
use stackcourse_lib::dispatch::policy::Policy;
use stackcourse_lib::event::Kind;
use stackcourse_lib::prelude::LinkId;
use stackcourse_lib::prelude::Mono;
use stackcourse_lib::protos::dispatch as proto;
use stackcourse_lib::protos::dispatch::frame::Body;

const ONE: LinkId = LinkId(1);
const TWO: LinkId = LinkId(2);

/// An executor beside a worker of two tasks' room, and what it has asked for.
struct Bench {
    executor: Executor,
    now: Mono,
    actions: Vec<Action>,
}

impl Bench {
    /// A worker that has been met, with nothing running.
    fn ready() -> Bench {
        let mut bench = Bench::new();
        bench.heartbeat("w1", false, 1);
        bench.lists(&[], Vec::new());
        bench.link(ONE, "one");
        bench
    }

    fn new() -> Bench {
        Bench::with_policy(Policy::default())
    }

    fn with_policy(policy: Policy) -> Bench {
        let setup = ExecutorSetup {
            name: "e".to_owned(),
            zone: "z".to_owned(),
            incarnation: 1,
            started: Mono(1),
            fence: 5,
            lease: Duration::from_millis(700),
            worker_hold: Duration::from_millis(1000),
            heartbeat: Duration::from_millis(1500),
            policy,
        };
        Bench {
            executor: Executor::new(setup),
            now: Mono(1),
            actions: Vec::new(),
        }
    }

    fn take(&mut self) {
        let fresh = self.executor.take_actions();
        self.actions.extend(fresh);
    }

    fn heartbeat(&mut self, life: &str, draining: bool, sequence: u64) {
        let heartbeat = WorkerHeartbeat {
            life: life_of(life),
            service: "s".to_owned(),
            draining,
            capacity: Demand {
                cpu_milli: 2000,
                memory_mb: 1000,
                gpu: 0,
            },
            labels: Vec::new(),
            sequence,
        };
        self.executor.handle_heartbeat(self.now, heartbeat);
        self.take();
    }

    fn lists(&mut self, running: &[RunName], finished: Vec<FinishedRow>) {
        let percent = (self.now.0 / 20_000 % 99) as u32;
        self.lists_at(percent, running, finished);
    }

    fn lists_at(&mut self, percent: u32, running: &[RunName], finished: Vec<FinishedRow>) {
        let row = |run: &RunName| RunningRow { run: *run, percent };
        let reply = HoldReply::Lists {
            born: None,
            clock_ms: 1000 + self.now.0 / 1000,
            running: running.iter().map(row).collect(),
            finished,
        };
        self.handle_hold_reply(reply);
    }

    fn handle_hold_reply(&mut self, reply: HoldReply) {
        self.executor.handle_hold_reply(self.now, reply);
        self.take();
    }

    fn link(&mut self, link: LinkId, name: &str) {
        let greeting = proto::Greeting {
            name: name.to_owned(),
            incarnation: 7,
            ..proto::Greeting::default()
        };
        self.executor.link_up(self.now, link, &greeting);
        self.take();
    }

    fn orders(&mut self, link: LinkId, orders: proto::Orders) {
        let orders = proto::Orders {
            echo_us: self.now.0,
            ..orders
        };
        self.executor.handle_orders(self.now, link, orders);
        self.take();
    }

    fn start(&mut self, link: LinkId, job: u64, indexes: &[u32]) {
        let task = |index: &u32| proto::TaskStart {
            index: *index,
            attempt: 1,
            ..proto::TaskStart::default()
        };
        let starts = vec![proto::StartTasks {
            job,
            spec: "x".to_owned(),
            demand: Some(proto::Demand {
                cpu_milli: 1000,
                memory_mb: 10,
                gpu: 0,
            }),
            tasks: indexes.iter().map(task).collect(),
            slack_ms: 5000,
            estimate_ms: 100,
            ..proto::StartTasks::default()
        }];
        let orders = proto::Orders {
            starts,
            sequence: 1,
            ..proto::Orders::default()
        };
        self.orders(link, orders);
    }

    fn claim(&mut self, link: LinkId, job: u64) {
        let orders = proto::Orders {
            claims: vec![job],
            ..proto::Orders::default()
        };
        self.orders(link, orders);
    }

    fn pass(&mut self, ms: u64) {
        self.now = self.now + Duration::from_millis(ms);
        self.executor.tick(self.now);
        self.take();
    }

    fn holds(&self) -> usize {
        let holds = self.actions.iter().filter(|a| matches!(a, Action::Hold(_)));
        holds.count()
    }

    fn started(&mut self) -> Vec<RunName> {
        let starts = self.actions.iter().filter_map(|a| match a {
            Action::Start(call) => Some(call.run),
            _ => None,
        });
        starts.collect()
    }

    fn stopped(&mut self) -> Vec<RunName> {
        let stops = self.actions.iter().filter_map(|a| match a {
            Action::Stop(_, run, _) => Some(*run),
            _ => None,
        });
        stops.collect()
    }

    fn updates(&self, link: LinkId) -> Vec<proto::Update> {
        let sent = self.actions.iter().filter_map(|a| match a {
            Action::Send(to, body) if *to == link => match &**body {
                Body::Update(update) => Some(update.clone()),
                _ => None,
            },
            _ => None,
        });
        sent.collect()
    }

    fn ends(&self, link: LinkId) -> Vec<(u64, EndKind)> {
        let updates = self.updates(link);
        let ends = updates.iter().flat_map(|u| u.ends.iter());
        let end = |e: &proto::TaskEnd| (e.number, EndKind::from_code(e.kind).expect("a kind"));
        ends.map(end).collect()
    }
}

/// A life of a worker that does not say when it started.
fn life_of(id: &str) -> WorkerIncarnation {
    WorkerIncarnation {
        id: id.to_owned(),
        born: None,
    }
}

const fn run(job: u64, index: u32, run: u32) -> RunName {
    RunName {
        task: TaskName {
            job: JobNumber(job),
            occurrence: 0,
            step: 0,
            index,
        },
        run,
    }
}

fn finished(number: u64, run: RunName, end: RunEnd) -> FinishedRow {
    FinishedRow {
        number,
        run,
        end,
        checkpoint: String::new(),
    }
}

#[test]
fn test_executor_starts_only_what_fits() {
    let mut bench = Bench::ready();
    bench.start(ONE, 1, &[0, 1, 2]);
    assert_eq!(bench.started(), [run(1, 0, 1), run(1, 1, 1)]);
    bench
        .executor
        .handle_start_reply(bench.now, run(1, 0, 1), OrderReply::Done(1));
    bench
        .executor
        .handle_start_reply(bench.now, run(1, 1, 1), OrderReply::Done(1));
    bench.lists(
        &[run(1, 1, 1)],
        vec![finished(1, run(1, 0, 1), RunEnd::Done)],
    );
    assert_eq!(bench.started().len(), 2, "what did not fit was handed back");
    bench.start(ONE, 2, &[0, 1]);
    assert_eq!(bench.started().len(), 3, "the end has made room for one");
    let handed_back = (1, EndKind::NoRoom);
    let ended = [handed_back, (2, EndKind::Done), (3, EndKind::NoRoom)];
    assert_eq!(bench.ends(ONE), ended);
}

#[test]
fn test_executor_hands_back_at_once_what_has_no_room_soon() {
    let mut bench = Bench::ready();
    bench.start(ONE, 1, &[0, 1]);
    bench.link(TWO, "two");
    bench.start(TWO, 2, &[0]);
    assert_eq!(bench.started(), [run(1, 0, 1), run(1, 1, 1)]);
    assert_eq!(bench.ends(TWO), [(1, EndKind::NoRoom)]);
    let free = |u: proto::Update| u.worker.expect("it reports").free_cpu_milli;
    let last = bench.updates(TWO).pop().expect("an update");
    assert_eq!(
        free(last),
        0,
        "the scheduler learns of the room with the end"
    );
}

#[test]
fn test_executor_keeps_a_task_for_a_run_that_is_about_to_end() {
    let mut bench = Bench::ready();
    bench.start(ONE, 1, &[0, 1]);
    bench.pass(95);
    bench.lists_at(95, &[run(1, 0, 1), run(1, 1, 1)], Vec::new());
    bench.start(ONE, 2, &[0]);
    assert_eq!(bench.ends(ONE), [], "a run ends within some milliseconds");
    bench.lists(
        &[run(1, 1, 1)],
        vec![finished(1, run(1, 0, 1), RunEnd::Done)],
    );
    assert_eq!(bench.started().len(), 3);
}

#[test]
fn test_executor_holds_the_room_of_an_unanswered_start() {
    let mut bench = Bench::ready();
    bench.start(ONE, 1, &[0, 1]);
    bench
        .executor
        .handle_start_reply(bench.now, run(1, 0, 1), OrderReply::NoAnswer);
    bench
        .executor
        .handle_start_reply(bench.now, run(1, 1, 1), OrderReply::Done(1));
    bench.take();
    assert_eq!(bench.stopped(), [run(1, 0, 1)]);
    bench.lists(&[run(1, 1, 1)], Vec::new());
    bench.start(ONE, 2, &[0]);
    assert_eq!(bench.started().len(), 2, "the stop is not confirmed");
    bench
        .executor
        .handle_stop_reply(bench.now, run(1, 0, 1), OrderReply::Done(1));
    bench.lists(&[run(1, 1, 1)], Vec::new());
    bench.start(ONE, 3, &[0]);
    assert_eq!(
        bench.started().len(),
        2,
        "this hold was sent before the stop was confirmed"
    );
    bench.lists(&[run(1, 1, 1)], Vec::new());
    bench.start(ONE, 4, &[0]);
    assert_eq!(bench.started().len(), 3, "now nothing can run of it");
    let handed_back = [(1, EndKind::NoRoom), (2, EndKind::NoRoom)];
    assert_eq!(bench.ends(ONE)[..2], handed_back);
    assert_eq!(bench.ends(ONE)[2..], [(3, EndKind::Stalled)]);
}

#[test]
fn test_executor_keeps_a_run_whose_answer_alone_was_lost() {
    let mut bench = Bench::ready();
    bench.start(ONE, 1, &[0]);
    bench.lists(&[run(1, 0, 1)], Vec::new());
    bench
        .executor
        .handle_start_reply(bench.now, run(1, 0, 1), OrderReply::NoAnswer);
    bench.take();
    assert_eq!(bench.stopped(), []);
}

#[test]
fn test_executor_repeats_a_stop_until_it_is_confirmed() {
    let mut bench = Bench::ready();
    bench.start(ONE, 1, &[0]);
    bench
        .executor
        .handle_start_reply(bench.now, run(1, 0, 1), OrderReply::NoAnswer);
    bench.pass(50);
    bench.pass(50);
    assert!(bench.stopped().len() >= 2, "{:?}", bench.stopped());
}

#[test]
fn test_executor_numbers_a_run_above_one_that_ended() {
    let mut bench = Bench::ready();
    bench.start(ONE, 1, &[0]);
    let old = OrderReply::Refused(StartRefusal::Old);
    bench
        .executor
        .handle_start_reply(bench.now, run(1, 0, 1), old);
    bench.take();
    assert_eq!(bench.started(), [run(1, 0, 1), run(1, 0, 2)]);
}

#[test]
fn test_executor_raises_its_fence_when_the_worker_saw_a_higher_one() {
    let mut bench = Bench::ready();
    bench.start(ONE, 1, &[0]);
    let fenced = OrderReply::Refused(StartRefusal::Fence);
    bench
        .executor
        .handle_start_reply(bench.now, run(1, 0, 1), fenced);
    bench.take();
    let fences = bench.actions.iter().filter_map(|a| match a {
        Action::Start(call) => Some(call.fence),
        _ => None,
    });
    let fences: Vec<u64> = fences.collect();
    assert!(fences[1] > fences[0], "{fences:?}");
}

#[test]
fn test_executor_stops_strangers_before_it_starts_anything() {
    let mut bench = Bench::new();
    bench.heartbeat("w1", false, 1);
    bench.link(ONE, "one");
    bench.lists(&[run(9, 0, 4)], Vec::new());
    bench.start(ONE, 1, &[0]);
    assert_eq!(bench.stopped(), [run(9, 0, 4)]);
    assert_eq!(bench.started(), []);
    assert_eq!(bench.ends(ONE), [(1, EndKind::Unavailable)]);
    bench.lists(&[], Vec::new());
    bench.start(ONE, 2, &[0]);
    assert_eq!(bench.started(), [run(2, 0, 1)]);
}

#[test]
fn test_executor_stops_what_runs_when_a_lease_is_over() {
    let mut bench = Bench::ready();
    bench.start(ONE, 1, &[0]);
    bench
        .executor
        .handle_start_reply(bench.now, run(1, 0, 1), OrderReply::Done(1));
    for _ in 0..6 {
        bench.pass(100);
        bench.lists(&[run(1, 0, 1)], Vec::new());
    }
    assert_eq!(bench.stopped(), []);
    bench.pass(150);
    assert_eq!(bench.stopped(), [run(1, 0, 1)]);
}

#[test]
fn test_executor_refuses_orders_with_an_old_echo() {
    let mut bench = Bench::ready();
    bench.now = bench.now + Duration::from_millis(650);
    let orders = proto::Orders {
        echo_us: 1,
        sequence: 1,
        ..proto::Orders::default()
    };
    bench.executor.handle_orders(bench.now, ONE, orders);
    bench.now = bench.now + Duration::from_millis(100);
    let late = proto::Orders {
        echo_us: 1,
        sequence: 2,
        starts: vec![proto::StartTasks {
            job: 1,
            tasks: vec![proto::TaskStart {
                index: 0,
                attempt: 1,
                ..proto::TaskStart::default()
            }],
            slack_ms: 1000,
            ..proto::StartTasks::default()
        }],
        ..proto::Orders::default()
    };
    bench.executor.handle_orders(bench.now, ONE, late);
    bench.take();
    assert_eq!(
        bench.started(),
        [],
        "the sender was paused for longer than its lease"
    );
}

#[test]
fn test_executor_numbers_ends_over_all_sessions() {
    let mut bench = Bench::ready();
    bench.start(ONE, 1, &[0]);
    bench
        .executor
        .handle_start_reply(bench.now, run(1, 0, 1), OrderReply::Done(1));
    bench.lists(&[], vec![finished(1, run(1, 0, 1), RunEnd::Done)]);
    bench.pass(800);
    bench.lists(&[], Vec::new());
    bench.link(TWO, "one");
    bench.start(TWO, 2, &[0]);
    bench
        .executor
        .handle_start_reply(bench.now, run(2, 0, 1), OrderReply::Done(1));
    bench.lists(&[], vec![finished(2, run(2, 0, 1), RunEnd::Done)]);
    assert_eq!(bench.ends(ONE), [(1, EndKind::Done)]);
    assert_eq!(bench.ends(TWO), [(2, EndKind::Done)]);
}

#[test]
fn test_executor_tells_its_profile_only_when_it_has_changed() {
    let mut bench = Bench::ready();
    let told = |bench: &Bench| -> Vec<proto::Profile> {
        let updates = bench.updates(ONE);
        updates.into_iter().filter_map(|u| u.profile).collect()
    };
    assert_eq!(told(&bench).len(), 1, "on a new link");
    for _ in 0..4 {
        bench.orders(ONE, proto::Orders::default());
        bench.pass(100);
    }
    assert_eq!(told(&bench).len(), 1);
    bench.link(TWO, "two");
    bench.pass(100);
    let last = told(&bench).pop().expect("it was told again");
    assert_eq!(last.leased, ["one", "two"]);
    assert_eq!(last.service, "s");
    bench.new_life("w2");
    bench.pass(100);
    let last = told(&bench).pop().expect("it was told again");
    assert_eq!(last.worker, "w2");
}
