//! The executor: room, leases, claims, and orders that get no answer.

mod recall;
mod slow;

use std::time::Duration;

use assert_matches::assert_matches;
use stackcourse_lib::dispatch::executor::Action;
use stackcourse_lib::dispatch::executor::Executor;
use stackcourse_lib::dispatch::executor::ExecutorSetup;
use stackcourse_lib::dispatch::executor::FinishedRow;
use stackcourse_lib::dispatch::executor::HoldReply;
use stackcourse_lib::dispatch::executor::OrderReply;
use stackcourse_lib::dispatch::executor::RunName;
use stackcourse_lib::dispatch::executor::RunningRow;
use stackcourse_lib::dispatch::executor::StartRefusal;
use stackcourse_lib::dispatch::executor::WorkerBeat;
use stackcourse_lib::dispatch::executor::WorkerEnd;
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
        bench.beat("w1", false, 1);
        bench.lists(&[], Vec::new());
        bench.link(ONE, "one");
        bench
    }

    fn new() -> Bench {
        let setup = ExecutorSetup {
            name: "e".to_owned(),
            zone: "z".to_owned(),
            incarnation: 1,
            started: Mono(1),
            fence: 5,
            lease: Duration::from_millis(700),
            worker_hold: Duration::from_millis(1000),
            policy: Policy::default(),
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

    fn beat(&mut self, life: &str, draining: bool, sequence: u64) {
        let beat = WorkerBeat {
            life: life.to_owned(),
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
        self.executor.beat(self.now, beat);
        self.take();
    }

    fn lists(&mut self, running: &[RunName], finished: Vec<FinishedRow>) {
        let percent = (self.now.0 / 20_000 % 99) as u32;
        self.lists_at(percent, running, finished);
    }

    fn lists_at(&mut self, percent: u32, running: &[RunName], finished: Vec<FinishedRow>) {
        let row = |run: &RunName| RunningRow { run: *run, percent };
        let reply = HoldReply::Lists {
            clock_ms: 1000 + self.now.0 / 1000,
            running: running.iter().map(row).collect(),
            finished,
        };
        self.held(reply);
    }

    fn held(&mut self, reply: HoldReply) {
        self.executor.held(self.now, reply);
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
        self.executor.orders(self.now, link, orders);
        self.take();
    }

    fn start(&mut self, link: LinkId, job: u64, indexes: &[u32]) {
        let task = |index: &u32| proto::TaskStart {
            index: *index,
            attempt: 1,
            checkpoint: String::new(),
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
            Action::Send(to, Body::Update(update)) if *to == link => Some(update.clone()),
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

fn run(job: u64, index: u32, run: u32) -> RunName {
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

fn finished(number: u64, run: RunName, end: WorkerEnd) -> FinishedRow {
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
        .started(bench.now, run(1, 0, 1), OrderReply::Done(1));
    bench
        .executor
        .started(bench.now, run(1, 1, 1), OrderReply::Done(1));
    bench.lists(
        &[run(1, 1, 1)],
        vec![finished(1, run(1, 0, 1), WorkerEnd::Done)],
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
        vec![finished(1, run(1, 0, 1), WorkerEnd::Done)],
    );
    assert_eq!(bench.started().len(), 3);
}

#[test]
fn test_executor_holds_the_room_of_an_unanswered_start() {
    let mut bench = Bench::ready();
    bench.start(ONE, 1, &[0, 1]);
    bench
        .executor
        .started(bench.now, run(1, 0, 1), OrderReply::NoAnswer);
    bench
        .executor
        .started(bench.now, run(1, 1, 1), OrderReply::Done(1));
    bench.take();
    assert_eq!(bench.stopped(), [run(1, 0, 1)]);
    bench.lists(&[run(1, 1, 1)], Vec::new());
    bench.start(ONE, 2, &[0]);
    assert_eq!(bench.started().len(), 2, "the stop is not confirmed");
    bench
        .executor
        .stopped(bench.now, run(1, 0, 1), OrderReply::Done(1));
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
        .started(bench.now, run(1, 0, 1), OrderReply::NoAnswer);
    bench.take();
    assert_eq!(bench.stopped(), []);
}

#[test]
fn test_executor_repeats_a_stop_until_it_is_confirmed() {
    let mut bench = Bench::ready();
    bench.start(ONE, 1, &[0]);
    bench
        .executor
        .started(bench.now, run(1, 0, 1), OrderReply::NoAnswer);
    bench.pass(50);
    bench.pass(50);
    assert!(bench.stopped().len() >= 2, "{:?}", bench.stopped());
}

#[test]
fn test_executor_numbers_a_run_above_one_that_ended() {
    let mut bench = Bench::ready();
    bench.start(ONE, 1, &[0]);
    let old = OrderReply::Refused(StartRefusal::Old);
    bench.executor.started(bench.now, run(1, 0, 1), old);
    bench.take();
    assert_eq!(bench.started(), [run(1, 0, 1), run(1, 0, 2)]);
}

#[test]
fn test_executor_raises_its_fence_when_the_worker_saw_a_higher_one() {
    let mut bench = Bench::ready();
    bench.start(ONE, 1, &[0]);
    let fenced = OrderReply::Refused(StartRefusal::Fence);
    bench.executor.started(bench.now, run(1, 0, 1), fenced);
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
    bench.beat("w1", false, 1);
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
        .started(bench.now, run(1, 0, 1), OrderReply::Done(1));
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
    bench.executor.orders(bench.now, ONE, orders);
    bench.now = bench.now + Duration::from_millis(100);
    let late = proto::Orders {
        echo_us: 1,
        sequence: 2,
        starts: vec![proto::StartTasks {
            job: 1,
            tasks: vec![proto::TaskStart {
                index: 0,
                attempt: 1,
                checkpoint: String::new(),
            }],
            slack_ms: 1000,
            ..proto::StartTasks::default()
        }],
        ..proto::Orders::default()
    };
    bench.executor.orders(bench.now, ONE, late);
    bench.take();
    assert_eq!(
        bench.started(),
        [],
        "the sender was paused for longer than its lease"
    );
}

#[test]
fn test_executor_gives_nothing_to_a_draining_worker() {
    let mut bench = Bench::ready();
    bench.start(ONE, 1, &[0, 1]);
    bench.pass(95);
    bench.lists_at(95, &[run(1, 0, 1), run(1, 1, 1)], Vec::new());
    bench.start(ONE, 1, &[2]);
    assert_eq!(
        bench.ends(ONE),
        [],
        "it waits for a run that is about to end"
    );
    bench.beat("w1", true, 2);
    assert_eq!(
        bench.ends(ONE),
        [(1, EndKind::Unavailable)],
        "what waited goes back"
    );
    bench.start(ONE, 2, &[0]);
    assert_eq!(bench.started().len(), 2);
    assert_eq!(bench.ends(ONE).len(), 2);
}

#[test]
fn test_executor_tells_of_a_worker_that_drains_when_it_is_met() {
    let mut bench = Bench::new();
    bench.beat("w1", true, 1);
    let told = |a: &Action| matches!(a, Action::Log(e) if e.kind == Kind::WorkerDraining);
    assert!(bench.actions.iter().any(told));
}

#[test]
fn test_executor_survives_a_single_lost_answer_of_a_hold() {
    let mut bench = Bench::ready();
    bench.held(HoldReply::NoAnswer);
    bench.start(ONE, 1, &[0]);
    assert_eq!(bench.started(), [run(1, 0, 1)]);
    bench.pass(250);
    bench.held(HoldReply::NoAnswer);
    bench.start(ONE, 2, &[0]);
    assert_eq!(bench.started().len(), 1, "now it counts as silent");
}

#[test]
fn test_executor_does_not_ask_a_worker_that_resets_without_pause() {
    let mut bench = Bench::ready();
    let before = bench.holds();
    let mut answered = 0;
    for _ in 0..2000 {
        if bench.holds() > answered {
            answered = bench.holds();
            bench.held(HoldReply::NoAnswer);
        }
        bench.pass(1);
    }
    let asked = bench.holds() - before;
    assert!(
        asked <= 60,
        "{asked} holds in two seconds, each a connection"
    );
    assert!(
        asked >= 20,
        "{asked} holds: it would be found late when it is back"
    );
}

#[test]
fn test_executor_confirms_a_claim_when_nothing_is_left() {
    let mut bench = Bench::ready();
    bench.link(TWO, "two");
    bench.start(ONE, 1, &[0]);
    bench
        .executor
        .started(bench.now, run(1, 0, 1), OrderReply::Done(1));
    bench.claim(TWO, 1);
    assert_eq!(bench.stopped(), [run(1, 0, 1)]);
    let claimed = |b: &Bench| b.updates(TWO).iter().any(|u| u.claimed == [1]);
    assert!(!claimed(&bench));
    bench.lists(&[], vec![finished(1, run(1, 0, 1), WorkerEnd::Stopped)]);
    assert!(claimed(&bench));
    bench.start(ONE, 1, &[1]);
    assert_eq!(
        bench.started().len(),
        1,
        "the job belongs to another scheduler"
    );
    let kinds: Vec<EndKind> = bench.ends(ONE).iter().map(|e| e.1).collect();
    assert_eq!(kinds, [EndKind::Claimed, EndKind::Claimed]);
}

#[test]
fn test_executor_prefers_the_first_by_name_of_two_claims() {
    let mut bench = Bench::ready();
    bench.link(TWO, "two");
    bench.claim(TWO, 1);
    bench.claim(ONE, 1);
    assert!(bench.updates(TWO).iter().any(|u| u.denied == [1]));
    bench.claim(TWO, 1);
    assert_eq!(
        bench
            .updates(ONE)
            .iter()
            .filter(|u| !u.denied.is_empty())
            .count(),
        0
    );
}

#[test]
fn test_executor_confirms_a_claim_before_its_worker_has_said_anything() {
    let mut bench = Bench::new();
    bench.link(ONE, "one");
    bench.claim(ONE, 1);
    bench.pass(20);
    assert!(bench.updates(ONE).iter().all(|u| u.claimed.is_empty()));
    bench.lists(&[run(1, 0, 1)], Vec::new());
    assert_eq!(bench.stopped(), [run(1, 0, 1)], "an earlier executor's run");
    assert!(bench.updates(ONE).iter().all(|u| u.claimed.is_empty()));
    bench.pass(40);
    bench.lists(&[], Vec::new());
    let last = bench.updates(ONE).pop().expect("an update");
    assert_eq!(last.claimed, [1], "nothing is left, and nothing can start");
}

#[test]
fn test_executor_does_not_take_a_probe_for_a_later_life() {
    let mut bench = Bench::new();
    bench.link(ONE, "one");
    bench.claim(ONE, 1);
    bench.beat("w1", false, 1);
    bench.lists(&[], Vec::new());
    assert!(bench.updates(ONE).iter().all(|u| u.claimed.is_empty()));
    bench.lists(&[], Vec::new());
    let last = bench.updates(ONE).pop().expect("an update");
    assert_eq!(last.claimed, [1]);
}

#[test]
fn test_executor_tells_a_claimant_that_a_later_claim_has_replaced_its_own() {
    let mut bench = Bench::ready();
    bench.link(TWO, "two");
    bench.claim(ONE, 1);
    for _ in 0..30 {
        bench.orders(ONE, proto::Orders::default());
        bench.orders(TWO, proto::Orders::default());
        bench.pass(100);
    }
    bench.claim(TWO, 1);
    let denied = |link| bench.updates(link).iter().any(|u| u.denied == [1]);
    assert!(denied(ONE), "it may still wait for other executors");
    assert!(!denied(TWO));
}

#[test]
fn test_executor_does_not_confirm_before_it_knows_its_worker() {
    let mut bench = Bench::new();
    bench.link(ONE, "one");
    bench.claim(ONE, 1);
    assert!(bench.updates(ONE).iter().all(|u| u.claimed.is_empty()));
    for _ in 0..12 {
        bench.orders(ONE, proto::Orders::default());
        bench.pass(100);
    }
    assert!(
        bench.updates(ONE).iter().any(|u| u.claimed == [1]),
        "by now nothing can run"
    );
}

#[test]
fn test_executor_numbers_ends_over_all_sessions() {
    let mut bench = Bench::ready();
    bench.start(ONE, 1, &[0]);
    bench
        .executor
        .started(bench.now, run(1, 0, 1), OrderReply::Done(1));
    bench.lists(&[], vec![finished(1, run(1, 0, 1), WorkerEnd::Done)]);
    bench.pass(800);
    bench.lists(&[], Vec::new());
    bench.link(TWO, "one");
    bench.start(TWO, 2, &[0]);
    bench
        .executor
        .started(bench.now, run(2, 0, 1), OrderReply::Done(1));
    bench.lists(&[], vec![finished(2, run(2, 0, 1), WorkerEnd::Done)]);
    assert_eq!(bench.ends(ONE), [(1, EndKind::Done)]);
    assert_eq!(bench.ends(TWO), [(2, EndKind::Done)]);
}

#[test]
fn test_executor_trials_back_off() {
    let mut bench = Bench::ready();
    let mut tries = Vec::new();
    let mut number = 0;
    for step in 0..1200u64 {
        bench.pass(10);
        bench.orders(ONE, proto::Orders::default());
        if step % 10 != 0 {
            continue;
        }
        bench.start(ONE, step + 1, &[0]);
        let begun = run(step + 1, 0, 1);
        if bench.started().last() == Some(&begun) {
            tries.push(step * 10);
            number += 1;
            bench
                .executor
                .started(bench.now, begun, OrderReply::Done(1));
            bench.lists(&[], vec![finished(number, begun, WorkerEnd::Failed)]);
        } else {
            bench.lists(&[], Vec::new());
        }
    }
    let gaps: Vec<u64> = tries.windows(2).map(|w| w[1] - w[0]).collect();
    assert!(
        gaps[..2].iter().all(|g| *g <= 100),
        "healthy at first: {gaps:?}"
    );
    assert!(*gaps.last().expect("some trials") >= 3000, "{gaps:?}");
}

#[test]
fn test_executor_begins_anew_with_a_new_life_of_its_worker() {
    let mut bench = Bench::ready();
    bench.start(ONE, 1, &[0]);
    bench
        .executor
        .started(bench.now, run(1, 0, 1), OrderReply::Done(1));
    bench.beat("w2", false, 1);
    assert_eq!(bench.ends(ONE), [(1, EndKind::Lost)]);
    assert_matches!(bench.actions.last(), Some(_));
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
    bench.beat("w2", false, 2);
    bench.pass(100);
    let last = told(&bench).pop().expect("it was told again");
    assert_eq!(last.worker, "w2");
}

#[test]
fn test_executor_does_not_forget_runs_that_a_start_has_kept_alive() {
    let mut bench = Bench::ready();
    bench.held(HoldReply::NoAnswer);
    bench.now = bench.now + Duration::from_millis(3000);
    bench.link(ONE, "one");
    bench.start(ONE, 1, &[0]);
    assert_eq!(bench.started(), [run(1, 0, 1)]);
    bench.held(HoldReply::NoAnswer);
    bench.pass(20);
    assert_eq!(bench.ends(ONE), [], "the start keeps it alive for a while");
    for _ in 0..15 {
        bench.orders(ONE, proto::Orders::default());
        bench.pass(20);
        bench.held(HoldReply::NoAnswer);
    }
    assert_eq!(bench.ends(ONE), []);
    for _ in 0..60 {
        bench.orders(ONE, proto::Orders::default());
        bench.pass(20);
        bench.held(HoldReply::NoAnswer);
    }
    assert_eq!(bench.ends(ONE), [(1, EndKind::Lost)]);
}

#[test]
fn test_executor_sees_soon_that_a_slow_worker_is_well_again() {
    let mut bench = Bench::ready();
    let times = [600, 600, 100, 100, 100, 100];
    for (job, ms) in times.into_iter().enumerate() {
        let name = run(job as u64 + 1, 0, 1);
        bench.start(ONE, name.task.job.0, &[0]);
        for _ in 0..ms / 50 {
            bench.pass(50);
            bench.orders(ONE, proto::Orders::default());
            bench.lists(&[name], Vec::new());
        }
        let end = finished(job as u64 + 1, name, WorkerEnd::Done);
        bench.lists(&[], vec![end]);
    }
    let last = bench.updates(ONE).pop().expect("an update");
    let pace = last.worker.expect("it reports").pace_percent;
    assert!(pace < 190, "{pace} % of the estimate");
}
