//! Tasks are placed by when they would end at each worker.

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
const FULL: i64 = 0;
const ROOM: i64 = 4000;
const RACK: &str = "rack-1";

/// A scheduler with two workers at speed 1.2, of which one has the data, and one at 0.55.
fn uneven() -> Bench {
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
        bench.speeds(FULL, ROOM);
        bench.advance(20);
    }
    bench.speeds(FULL, ROOM);
    bench.actions.clear();
    bench
}

impl Bench {
    /// All report; the third worker is full.
    fn speeds(&mut self, fast: i64, slow: i64) {
        self.speed(FAST, 83, fast, Vec::new());
        self.speed(SLOW, 182, slow, Vec::new());
        self.speed(THIRD, 83, FULL, Vec::new());
    }

    fn speed(&mut self, link: LinkId, slowness: u32, free: i64, ends: Vec<proto::TaskEnd>) {
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
        self.scheduler.message(self.now, link, body);
        self.collect_actions();
    }

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

    fn logged(&self, kind: Kind) -> usize {
        let is = |a: &&Action| matches!(a, Action::Log(event) if event.kind == kind);
        self.actions.iter().filter(is).count()
    }
}

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
fn test_scheduler_keeps_a_long_task_off_a_slow_worker_that_has_room() {
    let mut bench = uneven();
    bench.submit(1, 7, 1);
    bench.submit_estimated(2, 8, 1, 800);
    for _ in 0..3 {
        bench.advance(100);
        bench.speeds(FULL, ROOM);
    }
    bench.submit(3, 9, 1);
    let short = [(7, 100), (9, 100)];
    assert_eq!(bench.jobs_at(SLOW), short, "also the one behind it");
    assert_eq!(bench.logged(Kind::JobHeldBack), 1);
    bench.speeds(ROOM, ROOM);
    assert_eq!(bench.jobs_at(FAST), [(8, 800)]);
}

/// A smaller job behind one that waits for a fast worker would take each piece of room there first.
#[test]
fn test_scheduler_keeps_fast_room_for_the_job_that_waits_for_it() {
    let mut bench = uneven();
    bench.speeds(900, ROOM);
    bench.submit_near(8, 1000, 800, "");
    bench.submit_near(9, 500, 900, "");
    assert_eq!(bench.starts(), []);
    bench.speeds(ROOM, ROOM);
    assert_eq!(bench.jobs_at(FAST), [(8, 800), (9, 900)]);
}

#[test]
fn test_scheduler_leaves_fast_workers_to_tasks_that_need_them() {
    let mut bench = uneven();
    bench.speeds(ROOM, ROOM);
    bench.submit(1, 7, 1);
    bench.submit_estimated(2, 8, 1, 800);
    assert_eq!(bench.jobs_at(SLOW), [(7, 100)]);
    assert_eq!(bench.jobs_at(FAST), [(8, 800)]);
}

#[test]
fn test_scheduler_tries_no_steady_worker_one_task_at_a_time() {
    let mut bench = uneven();
    bench.submit_estimated(1, 7, 3, 60);
    assert_eq!(bench.starts().len(), 3);
    assert_eq!(bench.logged(Kind::WorkerDegraded), 0);
}

/// The worker's speed falls to a third of what it was, and the scheduler hears of it.
#[test]
fn test_scheduler_tries_a_worker_that_is_slower_than_it_was() {
    let mut bench = uneven();
    bench.speed(SLOW, 560, ROOM, Vec::new());
    assert_eq!(bench.logged(Kind::WorkerDegraded), 1);
    bench.submit_estimated(1, 7, 3, 60);
    assert_eq!(bench.starts().len(), 1, "on trial");
    bench.speed(SLOW, 182, ROOM, Vec::new());
    assert_eq!(bench.logged(Kind::WorkerSpeedRestored), 1);
    assert_eq!(bench.starts().len(), 3);
}

#[test]
fn test_scheduler_learns_the_times_of_a_queue_apart_from_the_workers() {
    let mut bench = uneven();
    for job in 1..=60 {
        bench.submit(job, job, 1);
        bench.speed(SLOW, 182, ROOM, vec![done(job, job, 160)]);
    }
    bench.actions.clear();
    bench.submit(99, 99, 1);
    let (_, estimate) = bench.jobs_at(SLOW)[0];
    assert!((85..=115).contains(&estimate), "{estimate} ms");
}

/// The expected time of a run that is far from its data says so, so that it does not read as one of a slow worker.
#[test]
fn test_scheduler_expects_more_of_a_run_that_is_far_from_its_data() {
    let mut bench = uneven();
    bench.speeds(FULL, ROOM);
    bench.submit_near(7, 1000, 10, RACK);
    bench.submit_near(8, 1000, 10, "");
    assert_eq!(bench.jobs_at(SLOW), [(7, 20), (8, 10)]);
}

/// A worker that is gone does not count in the mean speed; one whose report is old gets nothing.
#[test]
fn test_scheduler_goes_by_no_old_report() {
    let mut bench = uneven();
    bench.speeds(ROOM, ROOM);
    for _ in 0..4 {
        bench.advance(100);
        bench.speed(SLOW, 182, ROOM, Vec::new());
    }
    bench.actions.clear();
    bench.submit_estimated(1, 7, 1, 800);
    assert_eq!(bench.jobs_at(FAST), [], "its report is old");
    bench.scheduler.link_down(bench.now, FAST);
    bench.scheduler.link_down(bench.now, THIRD);
    bench.collect_actions();
    bench.speed(SLOW, 182, ROOM, Vec::new());
    bench.submit(2, 8, 1);
    let mean = |a: &Action| matches!(a, Action::Log(e) if e.detail.contains("slowness 1.00"));
    assert!(bench.actions.iter().any(mean), "it is the mean now");
}
