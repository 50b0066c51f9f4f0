//! Tests of preemption: urgent jobs find no free capacity, and their tasks are placed at executors that may
//! stop runs for them. Runs are stopped as late as possible, and only if the whole job gains from it.

use std::time::Duration;

use stackcourse_lib::dispatch::catalog::Catalog;
use stackcourse_lib::dispatch::catalog::Queue;
use stackcourse_lib::dispatch::model::EndKind;
use stackcourse_lib::dispatch::model::JobOutcome;
use stackcourse_lib::dispatch::policy::Policy;
use stackcourse_lib::prelude::LinkId;
use stackcourse_lib::protos::dispatch as proto;

use super::Bench;
use super::EXECUTOR;
use super::OTHER_EXECUTOR;
use super::catalog;
use super::profile;
use super::task;

/// The estimate of the jobs here, in milliseconds. It leaves enough time to stop a run.
const ESTIMATE_MS: u32 = 100;
/// The time after its arrival within which such a job must start to end in time, in milliseconds: 0.6 of its
/// work, and 60 ms less the travel time to the caller and back.
const LATEST_MS: u64 = 108;

/// Returns a scheduler with two executors without free capacity, of which the second can preempt more.
fn full(on: bool, priority: u32) -> Bench {
    let mut policy = Policy::default();
    policy.preemption.on = on;
    let mut bench = Bench::with_policy(policy);
    let queue = Queue {
        priority,
        max_attempts: 3,
        ..catalog(3).queues.remove(0)
    };
    let catalog = Catalog {
        queues: vec![queue],
        ..catalog(3)
    };
    bench.scheduler.set_catalog(bench.now, catalog);
    bench.link(EXECUTOR, "e1", true);
    bench.link(OTHER_EXECUTOR, "e2", true);
    for _ in 0..150 {
        bench.report_capacity(0, [1000, 2500]);
        bench.advance(20);
    }
    bench.report_capacity(0, [1000, 2500]);
    bench.actions.clear();
    bench
}

impl Bench {
    /// Delivers the reports of both executors: their free capacity, and what each can preempt, in thousandths
    /// of a core.
    fn report_capacity(&mut self, free: i64, preemptible: [u32; 2]) {
        for (link, preemptible) in [EXECUTOR, OTHER_EXECUTOR].into_iter().zip(preemptible) {
            self.clock_us += 1;
            let report = proto::WorkerReport {
                ready: true,
                free_cpu_milli: free,
                free_memory_mb: 1000,
                sequence: 1000,
                preemptible_cpu_milli: preemptible,
                ..proto::WorkerReport::default()
            };
            let update = proto::Update {
                clock_us: self.clock_us,
                worker: Some(report),
                profile: Some(profile(Vec::new())),
                ..proto::Update::default()
            };
            let body = proto::frame::Body::Update(update);
            self.scheduler.handle_message(self.now, link, body);
            self.collect_actions();
        }
    }

    /// Returns how many tasks were sent to an executor that may stop runs for them.
    fn preempting(&self, to: LinkId) -> usize {
        let sent = self.actions.iter().filter_map(|a| match a {
            stackcourse_lib::dispatch::scheduler::Action::Send(link, body) if *link == to => {
                match &**body {
                    proto::frame::Body::Orders(orders) => Some(orders.starts.clone()),
                    _ => None,
                }
            }
            _ => None,
        });
        let starts = sent.flatten().filter(|s| s.preempts);
        starts.map(|s| s.tasks.len()).sum()
    }

    /// Advances the clock until the last moment at which a stop would still be in time.
    fn wait(&mut self) {
        for _ in 0..LATEST_MS / 10 - 5 {
            self.report_capacity(0, [1000, 2500]);
            self.advance(10);
        }
    }
}

#[test]
fn test_preemption_placement() {
    let mut bench = full(true, 0);
    bench.submit_estimated(1, 7, 3, ESTIMATE_MS);
    assert_eq!(bench.starts(), [], "capacity may still become free");
    bench.wait();
    assert_eq!(bench.preempting(OTHER_EXECUTOR), 2, "most capacity first");
    assert_eq!(bench.preempting(EXECUTOR), 1);
}

#[test]
fn test_preemption_low_priority_or_off() {
    for (on, priority) in [(true, 1), (false, 0)] {
        let mut bench = full(on, priority);
        bench.submit_estimated(1, 7, 3, ESTIMATE_MS);
        bench.wait();
        assert_eq!(bench.starts(), [], "on: {on}, priority {priority}");
    }
}

/// Stopping a run would take longer than the job can wait.
#[test]
fn test_preemption_late_job() {
    let mut bench = full(true, 0);
    bench.submit_estimated(1, 7, 1, 1);
    for _ in 0..5 {
        bench.report_capacity(0, [1000, 2500]);
        bench.advance(10);
    }
    assert_eq!(bench.starts(), []);
}

/// After an executor has refused, the job must not ask to preempt again with each report.
#[test]
fn test_preemption_no_repeated_request() {
    let mut bench = full(true, 0);
    bench.submit_estimated(1, 7, 1, ESTIMATE_MS);
    bench.wait();
    let end = proto::TaskEnd {
        number: 1,
        task: Some(task(7, 0).proto(1)),
        kind: EndKind::NoRoom.code(),
        ..proto::TaskEnd::default()
    };
    let body = proto::frame::Body::Update(proto::Update {
        clock_us: 1_000_000,
        ends: vec![end],
        worker: Some(proto::WorkerReport {
            ready: true,
            preemptible_cpu_milli: 2500,
            sequence: 1000,
            ..proto::WorkerReport::default()
        }),
        ..proto::Update::default()
    });
    bench
        .scheduler
        .handle_message(bench.now, OTHER_EXECUTOR, body);
    bench.collect_actions();
    bench.advance(2);
    bench.report_capacity(0, [1000, 2500]);
    assert_eq!(bench.starts().len(), 1);
}

/// Runs stopped for a part of a job would be stopped in vain.
#[test]
fn test_preemption_insufficient_capacity() {
    let mut bench = full(true, 0);
    bench.submit_estimated(1, 7, 4, ESTIMATE_MS);
    bench.wait();
    assert_eq!(bench.starts(), []);
}

/// A preempted task runs again from its checkpoint, does not count as failed, and is not preempted again.
#[test]
fn test_preemption_victim_retried() {
    let mut bench = full(true, 2);
    bench.report_capacity(4000, [0, 0]);
    bench.submit_estimated(1, 7, 1, ESTIMATE_MS);
    let stops = |bench: &Bench| -> Vec<u32> {
        let orders = bench.orders();
        let starts = orders.iter().flat_map(|o| o.starts.iter());
        let tasks = starts.flat_map(|s| s.tasks.iter().map(|t| t.stops));
        tasks.collect()
    };
    assert_eq!(stops(&bench), [1]);
    let [one, two] = [EXECUTOR, OTHER_EXECUTOR].map(|link| {
        let to = |a: &&stackcourse_lib::dispatch::scheduler::Action| {
            matches!(a, stackcourse_lib::dispatch::scheduler::Action::Send(l, body)
                if *l == link && matches!(&**body, proto::frame::Body::Orders(o) if !o.starts.is_empty()))
        };
        bench.actions.iter().filter(to).count()
    });
    assert_eq!(one + two, 1);
    let at = if one == 1 { EXECUTOR } else { OTHER_EXECUTOR };
    let end = |attempt: u32, kind: EndKind| proto::TaskEnd {
        number: u64::from(attempt),
        task: Some(task(7, 0).proto(attempt)),
        kind: kind.code(),
        checkpoint: "half".to_owned(),
        ran_us: 1000,
        ..proto::TaskEnd::default()
    };
    let update = |end: proto::TaskEnd| proto::Update {
        ends: vec![end],
        ..proto::Update::default()
    };
    bench.now = bench.now + Duration::from_millis(5);
    bench.send_update_on(at, update(end(1, EndKind::Preempted)));
    assert_eq!(bench.starts(), [(7, 0, 1), (7, 0, 2)]);
    assert_eq!(stops(&bench), [1, 0]);
    let orders = bench.orders();
    let starts = orders.iter().flat_map(|o| o.starts.iter());
    let last = starts.last().expect("the task is started again");
    assert_eq!(last.tasks[0].checkpoint, "half");
    assert_eq!(bench.answers(), Vec::<(u64, JobOutcome)>::new());
}
