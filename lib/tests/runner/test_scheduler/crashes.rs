//! Tests of tasks under which workers crash: crash records are passed on with retries, suspects are kept
//! apart, and a task that crashes workers ends its job.

use stackcourse_lib::dispatch::model::EndKind;
use stackcourse_lib::dispatch::model::JobOutcome;
use stackcourse_lib::dispatch::model::TaskName;
use stackcourse_lib::event::Kind;
use stackcourse_lib::prelude::LinkId;
use stackcourse_lib::protos::dispatch as proto;

use super::Action;
use super::Bench;
use super::EXECUTOR;
use super::PEER;
use super::profile;
use super::task;

const OTHERS: [LinkId; 3] = [LinkId(21), LinkId(22), LinkId(23)];

/// Returns a scheduler with four executors that have free capacity for four tasks each.
fn fleet() -> Bench {
    let mut bench = Bench::ready();
    for link in OTHERS {
        bench.link(link, &format!("e{}", link.0), true);
        let update = proto::Update {
            profile: Some(profile(Vec::new())),
            ..proto::Update::default()
        };
        bench.send_update_on(link, update);
    }
    bench.actions.clear();
    bench
}

impl Bench {
    /// Returns the link on which a task was last sent.
    fn last_link(&self, name: TaskName) -> LinkId {
        let sent = self.actions.iter().rev().find_map(|a| match a {
            Action::Send(link, body) => match &**body {
                proto::frame::Body::Orders(o) if starts_task(o, name) => Some(*link),
                _ => None,
            },
            _ => None,
        });
        sent.expect("the task was sent")
    }

    /// Delivers the report that a worker crashed under these attempts of tasks, with their crash records.
    fn crash(&mut self, number: u64, ends: &[(TaskName, u32, proto::CrashRecord)]) {
        let link = self.last_link(ends[0].0);
        let end = |(name, attempt, record): &(TaskName, u32, proto::CrashRecord)| proto::TaskEnd {
            number,
            task: Some(name.proto(*attempt)),
            kind: EndKind::Crashed.code(),
            ran_us: 10_000,
            crashes: Some(*record),
            ..proto::TaskEnd::default()
        };
        let update = proto::Update {
            ends: ends.iter().map(end).collect(),
            ..proto::Update::default()
        };
        self.send_update_on(link, update);
    }
}

/// Returns whether orders start a task.
fn starts_task(orders: &proto::Orders, name: TaskName) -> bool {
    let of_job = orders.starts.iter().filter(|s| s.job == name.job.0);
    let mut tasks = of_job.flat_map(|s| s.tasks.iter());
    tasks.any(|t| t.index == name.index)
}

/// Returns the record of a suspect after this many crashes.
fn suspect(count: u32) -> proto::CrashRecord {
    proto::CrashRecord {
        count,
        suspect: true,
        proven: false,
        unsure: 0,
    }
}

/// The record of a task that is proven to crash workers.
const PROVEN: proto::CrashRecord = proto::CrashRecord {
    count: 2,
    suspect: true,
    proven: true,
    unsure: 0,
};

#[test]
fn test_crash_record_sent_with_retry() {
    let mut bench = fleet();
    bench.submit(1, 7, 1);
    let first = bench.last_link(task(7, 0));
    bench.crash(1, &[(task(7, 0), 1, suspect(1))]);
    assert_ne!(bench.last_link(task(7, 0)), first);
    let orders = bench.orders();
    let started = orders.iter().flat_map(|o| o.starts.iter());
    let last = started.flat_map(|s| s.tasks.iter()).next_back();
    assert_eq!(last.and_then(|t| t.crashes), Some(suspect(1)));
    assert_eq!(bench.answers(), []);
}

#[test]
fn test_crash_proven_cause() {
    let mut bench = fleet();
    bench.submit(1, 7, 1);
    bench.crash(1, &[(task(7, 0), 1, suspect(1))]);
    bench.crash(1, &[(task(7, 0), 2, PROVEN)]);
    assert_eq!(bench.answers(), [(1, JobOutcome::Failed)]);
    assert_eq!(bench.starts().len(), 2);
    let logged = |a: &Action| matches!(a, Action::Log(e) if e.kind == Kind::TaskCrashes);
    assert!(bench.actions.iter().any(logged));
    bench.submit(2, 7, 1);
    assert_eq!(bench.answers().last(), Some(&(2, JobOutcome::Failed)));
    assert_eq!(bench.starts().len(), 2, "its outcome is remembered");
}

#[test]
fn test_crash_max_count() {
    let mut bench = fleet();
    bench.submit(1, 7, 1);
    for count in 1..=3 {
        assert_eq!(bench.answers(), []);
        bench.crash(count, &[(task(7, 0), count as u32, suspect(count as u32))]);
    }
    assert_eq!(bench.answers(), [(1, JobOutcome::Failed)]);
}

#[test]
fn test_crash_suspects_separated() {
    let mut bench = fleet();
    bench.submit(1, 7, 2);
    bench.submit(2, 8, 1);
    let ends = [task(7, 0), task(7, 1)].map(|name| (name, 1, suspect(1)));
    for end in ends {
        bench.crash(u64::from(end.0.index) + 1, &[end]);
    }
    let links = [task(7, 0), task(7, 1)].map(|name| bench.last_link(name));
    assert_ne!(links[0], links[1]);
}

/// The scheduler that ran the job before knew of the crashes, and was lost.
#[test]
fn test_crash_record_from_claim() {
    let mut bench = fleet();
    bench.link(PEER, "s2", false);
    bench.scheduler.link_down(bench.now, PEER);
    bench.collect_actions();
    bench.submit(1, 7, 1);
    assert_eq!(bench.starts(), [], "it must be claimed first");
    let update = proto::Update {
        claimed: vec![7],
        crashed: vec![proto::CrashedTask {
            task: Some(task(7, 0).proto(0)),
            record: Some(PROVEN),
        }],
        ..proto::Update::default()
    };
    bench.send_update_on(EXECUTOR, update);
    assert_eq!(bench.answers(), [(1, JobOutcome::Failed)]);
    assert_eq!(bench.starts(), []);
}

#[test]
fn test_crash_record_of_unknown_task() {
    let mut bench = fleet();
    let crashed = |task| proto::CrashedTask {
        task,
        record: Some(PROVEN),
    };
    let update = proto::Update {
        crashed: vec![crashed(None), crashed(Some(task(99, 3).proto(0)))],
        ..proto::Update::default()
    };
    bench.send_update_on(EXECUTOR, update);
    bench.submit(1, 7, 1);
    assert_eq!(bench.starts(), [(7, 0, 1)]);
}
