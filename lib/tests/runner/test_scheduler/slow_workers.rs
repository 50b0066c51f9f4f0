//! Tests of slow workers: a run that would end late at one is stopped and placed elsewhere, once, if it would
//! end in time there.

use stackcourse_lib::dispatch::model::EndKind;
use stackcourse_lib::event::Kind;
use stackcourse_lib::prelude::LinkId;
use stackcourse_lib::protos::dispatch as proto;

use super::Action;
use super::Bench;
use super::EXECUTOR;
use super::profile;
use super::task;

const OTHERS: [LinkId; 2] = [LinkId(21), LinkId(22)];

/// Returns a scheduler with three executors at their usual pace, and a job of one task that runs at the first
/// one.
fn with_running_job() -> Bench {
    let mut bench = Bench::ready();
    for link in OTHERS {
        bench.link(link, &format!("e{}", link.0), true);
    }
    for link in OTHERS {
        bench.report_pace(link, 100, 0, Vec::new());
    }
    bench.report_pace(EXECUTOR, 100, 4000, Vec::new());
    bench.actions.clear();
    bench.submit_estimated(1, 9, 1, 400);
    assert_eq!(bench.starts(), [(9, 0, 1)]);
    bench.actions.clear();
    bench
}

impl Bench {
    /// Delivers an executor's report of its worker's pace and slow runs.
    fn report_pace(&mut self, link: LinkId, percent: u32, free: i64, slow: Vec<proto::SlowRun>) {
        let update = proto::Update {
            profile: Some(profile(Vec::new())),
            slow,
            ..proto::Update::default()
        };
        let report = proto::WorkerReport {
            ready: true,
            free_cpu_milli: free,
            free_memory_mb: 1000,
            sequence: 1000,
            pace_percent: percent,
            ..proto::WorkerReport::default()
        };
        self.report_on(link, report, update);
    }

    fn report_on(&mut self, link: LinkId, report: proto::WorkerReport, update: proto::Update) {
        self.clock_us += 1;
        let update = proto::Update {
            clock_us: self.clock_us,
            worker: Some(report),
            ..update
        };
        let body = proto::frame::Body::Update(update);
        self.scheduler.handle_message(self.now, link, body);
        self.collect_actions();
    }

    /// Returns how many runs were stopped.
    fn stops(&self) -> usize {
        self.orders().iter().map(|o| o.stops.len()).sum()
    }

    /// Returns whether an event of this kind was logged.
    fn has_logged(&self, kind: Kind) -> bool {
        let mut actions = self.actions.iter();
        actions.any(|a| matches!(a, Action::Log(event) if event.kind == kind))
    }
}

/// Returns the report of the slow run of job 9.
fn slow_run(remaining_ms: u32) -> Vec<proto::SlowRun> {
    vec![proto::SlowRun {
        task: Some(task(9, 0).proto(1)),
        remaining_ms,
    }]
}

#[test]
fn test_slow_run_moved() {
    let mut bench = with_running_job();
    bench.report_pace(OTHERS[0], 100, 4000, Vec::new());
    bench.report_pace(EXECUTOR, 500, 3000, slow_run(1900));
    assert_eq!(bench.stops(), 1);
    assert!(bench.has_logged(Kind::WorkerUnhealthy));
    assert!(bench.has_logged(Kind::TaskMoved));
    assert_eq!(bench.starts(), [], "the run must have ended first");
    bench.actions.clear();
    bench.end_task(task(9, 0), 1, EndKind::Stopped);
    assert_eq!(bench.starts(), [(9, 0, 2)]);
}

#[test]
fn test_slow_run_in_time() {
    let mut bench = with_running_job();
    bench.report_pace(OTHERS[0], 100, 4000, Vec::new());
    bench.report_pace(EXECUTOR, 500, 3000, slow_run(600));
    assert_eq!(bench.stops(), 0);
}

#[test]
fn test_slow_run_no_capacity_elsewhere() {
    let mut bench = with_running_job();
    bench.report_pace(EXECUTOR, 500, 3000, slow_run(1900));
    assert_eq!(bench.stops(), 0);
}

#[test]
fn test_slow_run_late_elsewhere() {
    let mut bench = with_running_job();
    bench.advance(300);
    bench.report_pace(OTHERS[0], 100, 4000, Vec::new());
    bench.report_pace(EXECUTOR, 500, 3000, slow_run(1900));
    assert_eq!(bench.stops(), 0);
}

#[test]
fn test_slow_run_moved_once() {
    let mut bench = with_running_job();
    bench.report_pace(OTHERS[0], 100, 4000, Vec::new());
    bench.report_pace(EXECUTOR, 500, 3000, slow_run(1900));
    bench.report_pace(EXECUTOR, 500, 3000, slow_run(1900));
    assert_eq!(bench.stops(), 1);
}
