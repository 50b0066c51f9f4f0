//! Tests of the scheduler. The fixture feeds it links, updates of executors and peers, and callers' requests,
//! advances its clock, and collects the actions that it returns. The tests here cover the basic course of a
//! job; each submodule covers one part of the scheduler.

mod balance;
mod bulkheads;
mod call_ids;
mod cancels;
mod catalogs;
mod cells;
mod claims;
mod contention;
mod crashes;
mod evacuations;
mod handoff;
mod leaving;
mod links;
mod odd_numbers;
mod preemption;
mod recovery;
mod refusals;
mod slow_workers;
mod speeds;
mod startup_claims;

use std::rc::Rc;
use std::time::Duration;

use assert_matches::assert_matches;
use stackcourse_lib::dispatch::catalog::Catalog;
use stackcourse_lib::dispatch::catalog::Queue;
use stackcourse_lib::dispatch::model::Demand;
use stackcourse_lib::dispatch::model::EndKind;
use stackcourse_lib::dispatch::model::JobNumber;
use stackcourse_lib::dispatch::model::JobOutcome;
use stackcourse_lib::dispatch::model::JobRequest;
use stackcourse_lib::dispatch::model::Step;
use stackcourse_lib::dispatch::model::TaskName;
use stackcourse_lib::dispatch::policy::Policy;
use stackcourse_lib::dispatch::scheduler::Action;
use stackcourse_lib::dispatch::scheduler::CallerId;
use stackcourse_lib::dispatch::scheduler::Scheduler;
use stackcourse_lib::dispatch::scheduler::SchedulerSetup;
use stackcourse_lib::prelude::LinkId;
use stackcourse_lib::prelude::Mono;
use stackcourse_lib::protos::dispatch as proto;
use stackcourse_lib::protos::dispatch::frame::Body;

const EXECUTOR: LinkId = LinkId(1);
const PEER: LinkId = LinkId(2);
const OTHER_EXECUTOR: LinkId = LinkId(3);
const OTHER_PEER: LinkId = LinkId(4);

/// A scheduler with a clock under the control of the test, and the actions that it has returned.
struct Bench {
    scheduler: Scheduler,
    now: Mono,
    actions: Vec<Action>,
    /// The clock of the executors, which increases with each of their updates.
    clock_us: u64,
    /// The number of the last task end that an executor has reported.
    last_end: u64,
}

impl Bench {
    /// Returns a scheduler that has just started, with a catalog.
    fn new() -> Bench {
        let mut bench = Bench::without_catalog();
        bench.scheduler.set_catalog(bench.now, catalog(3));
        bench
    }

    fn without_catalog() -> Bench {
        Bench::with_policy(Policy::default())
    }

    fn with_policy(policy: Policy) -> Bench {
        let setup = SchedulerSetup {
            name: "s1".to_owned(),
            zone: "z".to_owned(),
            address: "a:1".to_owned(),
            incarnation: 1,
            silence: Duration::from_millis(700),
            lapse: Duration::from_millis(1300),
            started: Mono(1),
            seed: 1,
            policy,
        };
        Bench {
            scheduler: Scheduler::new(setup),
            now: Mono(1),
            actions: Vec::new(),
            clock_us: 1,
            last_end: 0,
        }
    }

    /// Returns a scheduler that has warmed up, with an executor that has free capacity for four tasks.
    fn ready() -> Bench {
        let mut bench = Bench::new();
        bench.link(EXECUTOR, "e1", true);
        for _ in 0..150 {
            bench.report(Vec::new());
            bench.advance(20);
        }
        bench.report(Vec::new());
        bench.actions.clear();
        bench
    }

    fn collect_actions(&mut self) {
        let actions = self.scheduler.take_actions();
        self.actions.extend(actions);
    }

    fn link(&mut self, link: LinkId, name: &str, executor: bool) {
        self.link_incarnation(1, link, name, executor);
    }

    fn link_incarnation(&mut self, incarnation: u64, link: LinkId, name: &str, executor: bool) {
        let greeting = proto::Greeting {
            executor,
            name: name.to_owned(),
            incarnation,
            ..proto::Greeting::default()
        };
        self.scheduler.link_up(self.now, link, &greeting);
        self.collect_actions();
    }

    /// Advances the clock, and runs the periodic work of the scheduler.
    fn advance(&mut self, ms: u64) {
        self.now = self.now + Duration::from_millis(ms);
        self.scheduler.tick(self.now);
        self.collect_actions();
    }

    /// Delivers an update of the executor on the link `EXECUTOR`.
    fn send_update(&mut self, update: proto::Update) {
        self.send_update_on(EXECUTOR, update);
    }

    /// Delivers an update of an executor, together with a worker report of four free cores.
    fn send_update_on(&mut self, link: LinkId, update: proto::Update) {
        self.clock_us += 1;
        let update = proto::Update {
            clock_us: self.clock_us,
            worker: Some(proto::WorkerReport {
                ready: true,
                free_cpu_milli: 4000,
                free_memory_mb: 1000,
                sequence: 1000,
                ..proto::WorkerReport::default()
            }),
            ..update
        };
        let body = Body::Update(update);
        self.scheduler.handle_message(self.now, link, body);
        self.collect_actions();
    }

    /// Delivers an update of the executor with its profile, which lists the holders of its leases.
    fn report(&mut self, leased: Vec<String>) {
        self.send_update(proto::Update {
            profile: Some(profile(leased)),
            ..proto::Update::default()
        });
    }

    /// Delivers the executor's report that an attempt of a task has ended.
    fn end_task(&mut self, task: TaskName, attempt: u32, kind: EndKind) {
        self.last_end += 1;
        let end = proto::TaskEnd {
            number: self.last_end,
            task: Some(task.proto(attempt)),
            kind: kind.code(),
            ran_us: 1000,
            ..proto::TaskEnd::default()
        };
        self.send_update(proto::Update {
            ends: vec![end],
            ..proto::Update::default()
        });
    }

    /// Delivers an update of the peer on the link `PEER`.
    fn send_peer_update(&mut self, update: proto::PeerUpdate) {
        self.send_peer_update_on(PEER, update);
    }

    fn send_peer_update_on(&mut self, link: LinkId, update: proto::PeerUpdate) {
        let body = Body::Peer(update);
        self.scheduler.handle_message(self.now, link, body);
        self.collect_actions();
    }

    /// Delivers a peer's announcement that it holds a job.
    fn announce_on(&mut self, link: LinkId, number: u64) {
        let update = proto::PeerUpdate {
            jobs: vec![number],
            ..proto::PeerUpdate::default()
        };
        self.send_peer_update_on(link, update);
    }

    /// Delivers a peer's report of the outcome of a job.
    fn end_job_on(&mut self, link: LinkId, job: u64, outcome: JobOutcome) {
        let outcome = outcome.code();
        let update = proto::PeerUpdate {
            ends: vec![proto::JobEnd { job, outcome }],
            ..proto::PeerUpdate::default()
        };
        self.send_peer_update_on(link, update);
    }

    /// Delivers the first executor's confirmation of the claim of job 7.
    fn confirm_claim(&mut self) {
        self.send_update(proto::Update {
            claimed: vec![7],
            ..proto::Update::default()
        });
    }

    /// Submits a job of one step with an estimate of 100 ms, whose tasks need one core each.
    fn submit(&mut self, caller: u64, number: u64, tasks: u32) {
        self.submit_estimated(caller, number, tasks, 100);
    }

    fn submit_estimated(&mut self, caller: u64, number: u64, tasks: u32, estimate_ms: u32) {
        let request = JobRequest {
            number: JobNumber(number),
            queue: "q".to_owned(),
            spec: Rc::from("x"),
            steps: vec![Step {
                count: tasks,
                demand: Demand {
                    cpu_milli: 1000,
                    memory_mb: 10,
                    gpu: 0,
                },
                estimate_ms,
                ..Step::default()
            }],
            patience_ms: 3000,
            call: Rc::default(),
        };
        self.scheduler.submit(self.now, CallerId(caller), request);
        self.collect_actions();
    }

    /// Returns the outcomes that were answered to callers.
    fn answers(&self) -> Vec<(u64, JobOutcome)> {
        let answers = self.actions.iter().filter_map(|a| match a {
            Action::Answer(caller, outcome) => Some((caller.0, *outcome)),
            _ => None,
        });
        answers.collect()
    }

    /// Returns the orders that were sent to executors.
    fn orders(&self) -> Vec<proto::Orders> {
        let orders = self.actions.iter().filter_map(|a| match a {
            Action::Send(_, body) => match &**body {
                Body::Orders(orders) => Some(orders.clone()),
                _ => None,
            },
            _ => None,
        });
        orders.collect()
    }

    /// Returns the jobs that a peer was asked to cancel.
    fn cancels(&self, link: LinkId) -> Vec<u64> {
        let sent = self.actions.iter().filter_map(|a| match a {
            Action::Send(to, body) if *to == link => match &**body {
                Body::Peer(update) => {
                    let kept = update.kept_cancels.iter().map(|c| c.job);
                    let told = update.cancel.iter().copied().chain(kept);
                    Some(told.collect::<Vec<u64>>())
                }
                _ => None,
            },
            _ => None,
        });
        sent.flatten().collect()
    }

    /// Returns the job, index and attempt of each task start that was sent to an executor.
    fn starts(&self) -> Vec<(u64, u32, u32)> {
        let orders = self.orders();
        let starts = orders.iter().flat_map(|o| o.starts.iter());
        let tasks = starts.flat_map(|s| s.tasks.iter().map(|t| (s.job, t.index, t.attempt)));
        tasks.collect()
    }
}

fn profile(leased: Vec<String>) -> proto::Profile {
    proto::Profile {
        service: "s".to_owned(),
        capacity: Some(proto::Demand {
            cpu_milli: 4000,
            memory_mb: 1000,
            gpu: 0,
        }),
        leased,
        ..proto::Profile::default()
    }
}

fn catalog(version: u64) -> Catalog {
    let queue = Queue {
        name: "q".to_owned(),
        service: "s".to_owned(),
        max_attempts: 2,
        extension: 1.6,
        objective_ms: 60,
        ..Queue::default()
    };
    Catalog {
        version,
        queues: vec![queue],
        ..Catalog::default()
    }
}

fn task(job: u64, index: u32) -> TaskName {
    TaskName {
        job: JobNumber(job),
        occurrence: 0,
        step: 0,
        index,
    }
}

#[test]
fn test_scheduler_job_completion() {
    let mut bench = Bench::ready();
    bench.submit(1, 7, 2);
    assert_eq!(bench.starts(), [(7, 0, 1), (7, 1, 1)]);
    bench.end_task(task(7, 0), 1, EndKind::Done);
    assert_eq!(bench.answers(), []);
    bench.end_task(task(7, 1), 1, EndKind::Done);
    assert_eq!(bench.answers(), [(1, JobOutcome::Completed)]);
}

#[test]
fn test_scheduler_resubmitted_job() {
    let mut bench = Bench::ready();
    bench.submit(1, 7, 1);
    bench.submit(2, 7, 1);
    bench.end_task(task(7, 0), 1, EndKind::Done);
    bench.submit(3, 7, 1);
    let expected: Vec<(u64, JobOutcome)> = (1..=3).map(|c| (c, JobOutcome::Completed)).collect();
    assert_eq!(bench.answers(), expected);
    assert_eq!(bench.starts().len(), 1);
}

#[test]
fn test_scheduler_max_attempts() {
    let mut bench = Bench::ready();
    bench.submit(1, 7, 1);
    bench.end_task(task(7, 0), 1, EndKind::Failed);
    assert_eq!(bench.answers(), []);
    assert_eq!(bench.starts(), [(7, 0, 1)], "not retried where it failed");
    let second = LinkId(9);
    bench.link(second, "e2", true);
    bench.send_update_on(
        second,
        proto::Update {
            profile: Some(profile(Vec::new())),
            ..proto::Update::default()
        },
    );
    assert_eq!(bench.starts(), [(7, 0, 1), (7, 0, 2)]);
    let end = proto::TaskEnd {
        number: 1,
        task: Some(task(7, 0).proto(2)),
        kind: EndKind::Failed.code(),
        ran_us: 1000,
        ..proto::TaskEnd::default()
    };
    bench.send_update_on(
        second,
        proto::Update {
            ends: vec![end],
            ..proto::Update::default()
        },
    );
    assert_eq!(bench.answers(), [(1, JobOutcome::Failed)]);
}

#[test]
fn test_scheduler_retry_after_unavailable_worker() {
    let mut bench = Bench::ready();
    bench.submit(1, 7, 1);
    bench.end_task(task(7, 0), 1, EndKind::Unavailable);
    bench.report(Vec::new());
    assert_eq!(bench.starts(), [(7, 0, 1), (7, 0, 2)]);
    bench.end_task(task(7, 0), 1, EndKind::Done);
    assert_eq!(
        bench.answers(),
        [],
        "the end of an earlier attempt is ignored"
    );
    bench.end_task(task(7, 0), 2, EndKind::Done);
    assert_eq!(bench.answers(), [(1, JobOutcome::Completed)]);
}

#[test]
fn test_scheduler_caller_left() {
    let mut bench = Bench::ready();
    bench.submit(1, 7, 2);
    bench
        .scheduler
        .caller_left(bench.now, CallerId(1), JobNumber(7));
    bench.collect_actions();
    let stops: usize = bench.orders().iter().map(|o| o.stops.len()).sum();
    assert_eq!(stops, 2);
}

#[test]
fn test_scheduler_leaving_deadline() {
    let mut bench = Bench::ready();
    let ends_at = bench.now + Duration::from_millis(400);
    bench.scheduler.leave(bench.now, ends_at);
    assert!(!bench.scheduler.is_ready());
    bench.submit(1, 1, 1);
    assert_eq!(bench.starts().len(), 1);
    bench.now = bench.now + Duration::from_millis(200);
    bench.submit(2, 2, 1);
    assert!(matches!(bench.answers()[..], [(2, JobOutcome::Refused(_))]));
}
