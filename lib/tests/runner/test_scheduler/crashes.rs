//! Tasks under which workers crash.

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

/// Four executors with room for four tasks each.
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
    /// The link on which a task was last sent.
    fn sent_on(&self, name: TaskName) -> LinkId {
        let sent = self.actions.iter().rev().find_map(|a| match a {
            Action::Send(link, body) => match &**body {
                proto::frame::Body::Orders(o) if holds(o, name) => Some(*link),
                _ => None,
            },
            _ => None,
        });
        sent.expect("it was sent")
    }

    /// The workers crash at which tasks run; each is reported with what is known of it.
    fn crash(&mut self, number: u64, ends: &[(TaskName, u32, proto::CrashRecord)]) {
        let link = self.sent_on(ends[0].0);
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

fn holds(orders: &proto::Orders, name: TaskName) -> bool {
    let of_job = orders.starts.iter().filter(|s| s.job == name.job.0);
    let mut tasks = of_job.flat_map(|s| s.tasks.iter());
    tasks.any(|t| t.index == name.index)
}

fn suspect(count: u32) -> proto::CrashRecord {
    proto::CrashRecord {
        count,
        suspect: true,
        proven: false,
        unsure: 0,
    }
}

const PROVEN: proto::CrashRecord = proto::CrashRecord {
    count: 2,
    suspect: true,
    proven: true,
    unsure: 0,
};

#[test]
fn test_scheduler_sends_on_what_is_known_of_a_task() {
    let mut bench = fleet();
    bench.submit(1, 7, 1);
    let first = bench.sent_on(task(7, 0));
    bench.crash(1, &[(task(7, 0), 1, suspect(1))]);
    assert_ne!(bench.sent_on(task(7, 0)), first);
    let orders = bench.orders();
    let started = orders.iter().flat_map(|o| o.starts.iter());
    let last = started.flat_map(|s| s.tasks.iter()).next_back();
    assert_eq!(last.and_then(|t| t.crashes), Some(suspect(1)));
    assert_eq!(bench.answers(), []);
}

#[test]
fn test_scheduler_fails_a_job_whose_task_is_the_cause_of_crashes() {
    let mut bench = fleet();
    bench.submit(1, 7, 1);
    bench.crash(1, &[(task(7, 0), 1, suspect(1))]);
    bench.crash(1, &[(task(7, 0), 2, PROVEN)]);
    assert_eq!(bench.answers(), [(1, JobOutcome::Failed)]);
    assert_eq!(bench.starts().len(), 2);
    let told = |a: &Action| matches!(a, Action::Log(e) if e.kind == Kind::TaskCrashes);
    assert!(bench.actions.iter().any(told));
    bench.submit(2, 7, 1);
    assert_eq!(bench.answers().last(), Some(&(2, JobOutcome::Failed)));
    assert_eq!(bench.starts().len(), 2, "its end is remembered");
}

#[test]
fn test_scheduler_gives_a_task_up_after_three_crashes_whatever_they_prove() {
    let mut bench = fleet();
    bench.submit(1, 7, 1);
    for count in 1..=3 {
        assert_eq!(bench.answers(), []);
        bench.crash(count, &[(task(7, 0), count as u32, suspect(count as u32))]);
    }
    assert_eq!(bench.answers(), [(1, JobOutcome::Failed)]);
}

#[test]
fn test_scheduler_sends_suspects_of_one_crash_to_different_workers() {
    let mut bench = fleet();
    bench.submit(1, 7, 2);
    bench.submit(2, 8, 1);
    let ends = [task(7, 0), task(7, 1)].map(|name| (name, 1, suspect(1)));
    for end in ends {
        bench.crash(u64::from(end.0.index) + 1, &[end]);
    }
    let places = [task(7, 0), task(7, 1)].map(|name| bench.sent_on(name));
    assert_ne!(places[0], places[1]);
}

/// Another scheduler has had the job, learned of the crashes, and is lost.
#[test]
fn test_scheduler_learns_from_a_claim_that_a_task_is_the_cause() {
    let mut bench = fleet();
    bench.link(PEER, "s2", false);
    bench.scheduler.link_down(bench.now, PEER);
    bench.collect_actions();
    bench.submit(1, 7, 1);
    assert_eq!(bench.starts(), [], "it is claimed first");
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
fn test_scheduler_bears_records_of_tasks_that_it_does_not_have() {
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
