//! Tests of placement by worker speed: tasks are placed by when they would end at each worker, slow workers
//! take the tasks that end in time there, and workers that are slower than usual get trial tasks only.

use std::rc::Rc;

use stackcourse_lib::dispatch::model::Demand;
use stackcourse_lib::dispatch::model::EndKind;
use stackcourse_lib::dispatch::model::JobNumber;
use stackcourse_lib::dispatch::model::JobRequest;
use stackcourse_lib::dispatch::model::Step;
use stackcourse_lib::dispatch::policy::Policy;
use stackcourse_lib::dispatch::scheduler::CallerId;
use stackcourse_lib::event::Kind;
use stackcourse_lib::prelude::LinkId;
use stackcourse_lib::protos::dispatch as proto;

use super::Action;
use super::Bench;
use super::catalog;
use super::profile;
use super::task;

const FAST: LinkId = LinkId(31);
const SLOW: LinkId = LinkId(32);
const THIRD: LinkId = LinkId(33);
/// Free capacity of a full and of an idle worker, in thousandths of a core.
const FULL: i64 = 0;
const IDLE: i64 = 4000;
const RACK: &str = "rack-1";

/// Returns a scheduler with two workers at speed 1.2, of which the first is near the data, and one at 0.55.
fn with_uneven_speeds() -> Bench {
    let mut policy = Policy::default();
    policy.speeds.on = true;
    policy.speeds.far_factor = 2.0;
    policy.placement.jitter = 1.0;
    let mut bench = Bench::with_policy(policy);
    bench.scheduler.set_catalog(bench.now, catalog(3));
    for (link, name) in [(FAST, "fast"), (SLOW, "slow"), (THIRD, "third")] {
        bench.link(link, name, true);
    }
    for _ in 0..150 {
        bench.report_speeds(FULL, IDLE);
        bench.advance(20);
    }
    bench.report_speeds(FULL, IDLE);
    bench.actions.clear();
    bench
}

impl Bench {
    /// Delivers the reports of all workers. The third one is always full.
    fn report_speeds(&mut self, fast: i64, slow: i64) {
        self.report_speed(FAST, 83, fast, Vec::new());
        self.report_speed(SLOW, 182, slow, Vec::new());
        self.report_speed(THIRD, 83, FULL, Vec::new());
    }

    /// Delivers the report of one worker. Slowness is in percent.
    fn report_speed(&mut self, link: LinkId, slowness: u32, free: i64, ends: Vec<proto::TaskEnd>) {
        self.clock_us += 1;
        let mut profile = profile(Vec::new());
        if link == FAST {
            profile.labels.push(RACK.to_owned());
        }
        let update = proto::Update {
            clock_us: self.clock_us,
            profile: Some(profile),
            worker: Some(proto::WorkerReport {
                ready: true,
                free_cpu_milli: free,
                free_memory_mb: 1000,
                sequence: 1000,
                pace_percent: slowness,
                slowness_percent: slowness,
                ..proto::WorkerReport::default()
            }),
            ends,
            ..proto::Update::default()
        };
        let body = proto::frame::Body::Update(update);
        self.scheduler.handle_message(self.now, link, body);
        self.collect_actions();
    }

    /// Submits a job of one task whose data is near a rack; with an empty name, near all workers.
    fn submit_near(&mut self, number: u64, cpu_milli: u32, estimate_ms: u32, rack: &str) {
        let request = JobRequest {
            number: JobNumber(number),
            queue: "q".to_owned(),
            spec: Rc::from("x"),
            steps: vec![Step {
                count: 1,
                demand: Demand {
                    cpu_milli,
                    memory_mb: 10,
                    gpu: 0,
                },
                estimate_ms,
                rack: rack.to_owned(),
                ..Step::default()
            }],
            patience_ms: 3000,
            call: Rc::default(),
        };
        self.scheduler.submit(self.now, CallerId(number), request);
        self.collect_actions();
    }

    /// Returns the job and the expected time of each start that was sent to a worker.
    fn jobs_at(&self, link: LinkId) -> Vec<(u64, u32)> {
        let sent = self.actions.iter().filter_map(|a| match a {
            Action::Send(to, body) if *to == link => match &**body {
                proto::frame::Body::Orders(orders) => Some(orders.clone()),
                _ => None,
            },
            _ => None,
        });
        let starts = sent.flat_map(|o| o.starts);
        starts.map(|s| (s.job, s.estimate_ms)).collect()
    }

    /// Returns how many events of a kind were logged.
    fn logged(&self, kind: Kind) -> usize {
        let is = |a: &&Action| matches!(a, Action::Log(event) if event.kind == kind);
        self.actions.iter().filter(is).count()
    }
}

/// Returns the report of a completed task.
fn done(number: u64, job: u64, ran_ms: u64) -> proto::TaskEnd {
    proto::TaskEnd {
        number,
        task: Some(task(job, 0).proto(1)),
        kind: EndKind::Done.code(),
        ran_us: ran_ms * 1000,
        ..proto::TaskEnd::default()
    }
}

#[test]
fn test_speed_long_task_held_back() {
    let mut bench = with_uneven_speeds();
    bench.submit(1, 7, 1);
    bench.submit_estimated(2, 8, 1, 800);
    for _ in 0..3 {
        bench.advance(100);
        bench.report_speeds(FULL, IDLE);
    }
    bench.submit(3, 9, 1);
    let short = [(7, 100), (9, 100)];
    assert_eq!(
        bench.jobs_at(SLOW),
        short,
        "the job behind it is placed, too"
    );
    assert_eq!(bench.logged(Kind::JobHeldBack), 1);
    bench.report_speeds(IDLE, IDLE);
    assert_eq!(bench.jobs_at(FAST), [(8, 800)]);
}

/// Guards against a smaller job that takes the free capacity of a fast worker each time before the job that
/// waits for it.
#[test]
fn test_speed_capacity_kept_for_held_back_job() {
    let mut bench = with_uneven_speeds();
    bench.report_speeds(900, IDLE);
    bench.submit_near(8, 1000, 800, "");
    bench.submit_near(9, 500, 900, "");
    assert_eq!(bench.starts(), []);
    bench.report_speeds(IDLE, IDLE);
    assert_eq!(bench.jobs_at(FAST), [(8, 800), (9, 900)]);
}

#[test]
fn test_speed_short_task_on_slow_worker() {
    let mut bench = with_uneven_speeds();
    bench.report_speeds(IDLE, IDLE);
    bench.submit(1, 7, 1);
    bench.submit_estimated(2, 8, 1, 800);
    assert_eq!(bench.jobs_at(SLOW), [(7, 100)]);
    assert_eq!(bench.jobs_at(FAST), [(8, 800)]);
}

#[test]
fn test_speed_no_trials_on_steady_worker() {
    let mut bench = with_uneven_speeds();
    bench.submit_estimated(1, 7, 3, 60);
    assert_eq!(bench.starts().len(), 3);
    assert_eq!(bench.logged(Kind::WorkerDegraded), 0);
}

/// The worker's speed falls to a third of its usual one, as its reports show.
#[test]
fn test_speed_trials_on_degraded_worker() {
    let mut bench = with_uneven_speeds();
    bench.report_speed(SLOW, 560, IDLE, Vec::new());
    assert_eq!(bench.logged(Kind::WorkerDegraded), 1);
    bench.submit_estimated(1, 7, 3, 60);
    assert_eq!(bench.starts().len(), 1, "one trial task");
    bench.report_speed(SLOW, 182, IDLE, Vec::new());
    assert_eq!(bench.logged(Kind::WorkerSpeedRestored), 1);
    assert_eq!(bench.starts().len(), 3);
}

#[test]
fn test_speed_time_ratio_of_queue() {
    let mut bench = with_uneven_speeds();
    for job in 1..=60 {
        bench.submit(job, job, 1);
        bench.report_speed(SLOW, 182, IDLE, vec![done(job, job, 160)]);
    }
    bench.actions.clear();
    bench.submit(99, 99, 1);
    let (_, estimate) = bench.jobs_at(SLOW)[0];
    assert!((85..=115).contains(&estimate), "{estimate} ms");
}

/// The expected time of a run far from its data includes the distance, so that it does not make the worker
/// look slow.
#[test]
fn test_speed_run_far_from_data() {
    let mut bench = with_uneven_speeds();
    bench.report_speeds(FULL, IDLE);
    bench.submit_near(7, 1000, 10, RACK);
    bench.submit_near(8, 1000, 10, "");
    assert_eq!(bench.jobs_at(SLOW), [(7, 20), (8, 10)]);
}

/// A worker whose report is old gets no tasks, and one that is lost does not count in the mean speed.
#[test]
fn test_speed_stale_report() {
    let mut bench = with_uneven_speeds();
    bench.report_speeds(IDLE, IDLE);
    for _ in 0..4 {
        bench.advance(100);
        bench.report_speed(SLOW, 182, IDLE, Vec::new());
    }
    bench.actions.clear();
    bench.submit_estimated(1, 7, 1, 800);
    assert_eq!(bench.jobs_at(FAST), [], "its report is old");
    bench.scheduler.link_down(bench.now, FAST);
    bench.scheduler.link_down(bench.now, THIRD);
    bench.collect_actions();
    bench.report_speed(SLOW, 182, IDLE, Vec::new());
    bench.submit(2, 8, 1);
    let mean = |a: &Action| matches!(a, Action::Log(e) if e.detail.contains("slowness 1.00"));
    assert!(bench.actions.iter().any(mean), "its speed is the mean now");
}
