//! Tests of the executor's state machine: starts and stops, leases, and orders that the worker does not
//! answer.
//!
//! The fixture [`Bench`] plays the worker and the schedulers and collects the executor's actions. The
//! submodules cover one concern of the executor each.

mod accounting;
mod cancels;
mod claims;
mod crashes;
mod evacuation;
mod idle;
mod incarnations;
mod leases;
mod odd_numbers;
mod orders;
mod pace;
mod preemption;
mod renewals;
mod restarts;
mod restore;
mod speeds;
mod standby;
mod worker;

use std::time::Duration;

use assert_matches::assert_matches;
use stackcourse_lib::dispatch::executor::Action;
use stackcourse_lib::dispatch::executor::Executor;
use stackcourse_lib::dispatch::executor::ExecutorSetup;
use stackcourse_lib::dispatch::executor::FinishedRow;
use stackcourse_lib::dispatch::executor::HoldCall;
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

/// An executor whose worker has room for two tasks, the current time, and the actions it has requested.
struct Bench {
    executor: Executor,
    now: Mono,
    actions: Vec<Action>,
    /// The newest hold.
    last_hold: Option<HoldCall>,
}

impl Bench {
    /// Returns an executor with a link to one scheduler and a worker that has sent a heartbeat and runs
    /// nothing.
    fn ready() -> Bench {
        Bench::ready_with(Policy::default())
    }

    fn ready_with(policy: Policy) -> Bench {
        let mut bench = Bench::with_policy(policy);
        bench.send_heartbeat("w1", false, 1);
        bench.report_lists(&[], Vec::new());
        bench.link_up(ONE, "one");
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
            max_hold: Duration::from_millis(2000),
            heartbeat: Duration::from_millis(1500),
            policy,
        };
        Bench {
            executor: Executor::new(setup),
            now: Mono(1),
            actions: Vec::new(),
            last_hold: None,
        }
    }

    fn collect_actions(&mut self) {
        for action in self.executor.take_actions() {
            if let Action::Hold(call) = &action {
                self.last_hold = Some(call.clone());
            }
            self.actions.push(action);
        }
    }

    fn send_heartbeat(&mut self, id: &str, draining: bool, sequence: u64) {
        let heartbeat = WorkerHeartbeat {
            incarnation: incarnation_of(id),
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
        self.collect_actions();
    }

    fn report_lists(&mut self, running: &[RunName], finished: Vec<FinishedRow>) {
        let percent = (self.now.0 / 20_000 % 99) as u32;
        self.report_lists_at(percent, running, finished);
    }

    fn report_lists_at(&mut self, percent: u32, running: &[RunName], finished: Vec<FinishedRow>) {
        let reply = self.lists(percent, running, finished);
        self.handle_hold_reply(reply);
    }

    fn lists(&self, percent: u32, running: &[RunName], finished: Vec<FinishedRow>) -> HoldReply {
        let row = |run: &RunName| RunningRow { run: *run, percent };
        HoldReply::Lists {
            born: None,
            clock_ms: 1000 + self.now.0 / 1000,
            running: running.iter().map(row).collect(),
            finished,
        }
    }

    fn handle_hold_reply(&mut self, reply: HoldReply) {
        self.reply_to(self.last_number(), reply);
    }

    /// Answers the hold with this number, which need not be the newest.
    fn reply_to(&mut self, number: u64, reply: HoldReply) {
        self.executor.handle_hold_reply(self.now, number, reply);
        self.collect_actions();
    }

    fn last_number(&self) -> u64 {
        self.last_hold.as_ref().map_or(0, |call| call.number)
    }

    fn link_up(&mut self, link: LinkId, name: &str) {
        let greeting = proto::Greeting {
            name: name.to_owned(),
            incarnation: 7,
            ..proto::Greeting::default()
        };
        self.executor.link_up(self.now, link, &greeting);
        self.collect_actions();
    }

    fn send_orders(&mut self, link: LinkId, orders: proto::Orders) {
        let orders = proto::Orders {
            echo_us: self.now.0,
            ..orders
        };
        self.executor.handle_orders(self.now, link, orders);
        self.collect_actions();
    }

    fn order_start(&mut self, link: LinkId, job: u64, indexes: &[u32]) {
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
        self.send_orders(link, orders);
    }

    fn claim(&mut self, link: LinkId, job: u64) {
        let orders = proto::Orders {
            claims: vec![job],
            ..proto::Orders::default()
        };
        self.send_orders(link, orders);
    }

    fn advance(&mut self, ms: u64) {
        self.now = self.now + Duration::from_millis(ms);
        self.executor.tick(self.now);
        self.collect_actions();
    }

    fn hold_count(&self) -> usize {
        let holds = self.actions.iter().filter(|a| matches!(a, Action::Hold(_)));
        holds.count()
    }

    fn sent_starts(&mut self) -> Vec<RunName> {
        let starts = self.actions.iter().filter_map(|a| match a {
            Action::Start(call) => Some(call.run),
            _ => None,
        });
        starts.collect()
    }

    fn sent_stops(&mut self) -> Vec<RunName> {
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
        let end = |e: &proto::TaskEnd| (e.number, EndKind::from_code(e.kind).expect("end kind"));
        ends.map(end).collect()
    }
}

/// Returns an incarnation of a worker that does not report when it started.
fn incarnation_of(id: &str) -> WorkerIncarnation {
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
fn test_executor_starts_within_capacity() {
    let mut bench = Bench::ready();
    bench.order_start(ONE, 1, &[0, 1, 2]);
    assert_eq!(bench.sent_starts(), [run(1, 0, 1), run(1, 1, 1)]);
    bench
        .executor
        .handle_start_reply(bench.now, run(1, 0, 1), OrderReply::Done(1));
    bench
        .executor
        .handle_start_reply(bench.now, run(1, 1, 1), OrderReply::Done(1));
    bench.report_lists(
        &[run(1, 1, 1)],
        vec![finished(1, run(1, 0, 1), RunEnd::Done)],
    );
    assert_eq!(
        bench.sent_starts().len(),
        2,
        "the task that does not fit is returned"
    );
    bench.order_start(ONE, 2, &[0, 1]);
    assert_eq!(
        bench.sent_starts().len(),
        3,
        "the ended run frees room for one task"
    );
    let rejected = (1, EndKind::NoRoom);
    let ended = [rejected, (2, EndKind::Done), (3, EndKind::NoRoom)];
    assert_eq!(bench.ends(ONE), ended);
}

#[test]
fn test_executor_no_room() {
    let mut bench = Bench::ready();
    bench.order_start(ONE, 1, &[0, 1]);
    bench.link_up(TWO, "two");
    bench.order_start(TWO, 2, &[0]);
    assert_eq!(bench.sent_starts(), [run(1, 0, 1), run(1, 1, 1)]);
    assert_eq!(bench.ends(TWO), [(1, EndKind::NoRoom)]);
    let free = |u: proto::Update| u.worker.expect("a worker report").free_cpu_milli;
    let last = bench.updates(TWO).pop().expect("an update");
    assert_eq!(
        free(last),
        0,
        "the update with the end reports the free capacity"
    );
}

#[test]
fn test_executor_queues_behind_ending_run() {
    let mut bench = Bench::ready();
    bench.order_start(ONE, 1, &[0, 1]);
    bench.advance(95);
    bench.report_lists_at(95, &[run(1, 0, 1), run(1, 1, 1)], Vec::new());
    bench.order_start(ONE, 2, &[0]);
    assert_eq!(bench.ends(ONE), [], "a run is about to end");
    bench.report_lists(
        &[run(1, 1, 1)],
        vec![finished(1, run(1, 0, 1), RunEnd::Done)],
    );
    assert_eq!(bench.sent_starts().len(), 3);
}

#[test]
fn test_executor_profile_sent_on_change() {
    let mut bench = Bench::ready();
    let profiles = |bench: &Bench| -> Vec<proto::Profile> {
        let updates = bench.updates(ONE);
        updates.into_iter().filter_map(|u| u.profile).collect()
    };
    assert_eq!(profiles(&bench).len(), 1, "sent on a new link");
    for _ in 0..4 {
        bench.send_orders(ONE, proto::Orders::default());
        bench.advance(100);
    }
    assert_eq!(profiles(&bench).len(), 1);
    bench.link_up(TWO, "two");
    bench.advance(100);
    let last = profiles(&bench).pop().expect("another profile");
    assert_eq!(last.leased, ["one", "two"]);
    assert_eq!(last.service, "s");
    bench.start_incarnation("w2");
    bench.advance(100);
    let last = profiles(&bench).pop().expect("another profile");
    assert_eq!(last.worker, "w2");
}
