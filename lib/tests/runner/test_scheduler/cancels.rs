//! Tests of cancelled jobs: a cancel that was acknowledged holds wherever the job runs or comes back.

use super::*;
use stackcourse_lib::dispatch::cancels::CancelReply;
use stackcourse_lib::event::Kind;

const NUMBER: JobNumber = JobNumber(7);

impl Bench {
    fn cancel(&mut self) -> CancelReply {
        let reply = self.scheduler.cancel(self.now, NUMBER);
        self.collect_actions();
        reply
    }

    /// Runs on for a while with the executor linked, and without a word from peers.
    fn run_on(&mut self, ms: u64) {
        for _ in 0..ms / 20 {
            self.report(Vec::new());
            self.advance(20);
        }
    }

    /// Returns the jobs that executors were told to be cancelled.
    fn cancels_told(&self) -> Vec<u64> {
        let orders = self.orders().into_iter();
        let told = orders.flat_map(|o| {
            let kept = o.kept_cancels.iter().map(|c| c.job).collect::<Vec<u64>>();
            o.cancel.into_iter().chain(kept)
        });
        told.collect()
    }

    /// Returns the outcomes of jobs that a peer was told.
    fn outcomes_told(&self, link: LinkId) -> Vec<JobOutcome> {
        let sent = self.actions.iter().filter_map(|a| match a {
            Action::Send(to, body) if *to == link => match &**body {
                Body::Peer(update) => Some(update.ends.clone()),
                _ => None,
            },
            _ => None,
        });
        let ends = sent.flatten();
        ends.map(|e| JobOutcome::from_code(e.outcome)).collect()
    }

    /// Delivers an executor's report that a job is cancelled, with the ends of its tasks, as the executor
    /// sends both.
    fn report_cancelled(&mut self, remaining_ms: u32, tasks: &[u32]) {
        let cancelled = proto::CancelledJob {
            job: NUMBER.0,
            remaining_ms,
        };
        let end = |index: &u32| proto::TaskEnd {
            number: u64::from(*index) + 1,
            task: Some(task(NUMBER.0, *index).proto(1)),
            kind: EndKind::Claimed.code(),
            ..proto::TaskEnd::default()
        };
        self.send_update(proto::Update {
            cancelled: vec![cancelled],
            ends: tasks.iter().map(end).collect(),
            ..proto::Update::default()
        });
    }

    /// Returns a scheduler with a caller that waits for a job of a peer.
    fn following() -> Bench {
        let mut bench = Bench::ready();
        bench.link(PEER, "s2", false);
        bench.announce_on(PEER, NUMBER.0);
        bench.submit(1, NUMBER.0, 1);
        bench
    }
}

/// A cancelled job of a peer that freezes must not be run here once the peer is given up.
#[test]
fn test_cancel_peer_freezes() {
    let mut bench = Bench::following();
    assert_eq!(bench.cancel(), CancelReply::Accepted);
    assert_eq!(bench.answers(), [(1, JobOutcome::Cancelled)]);
    bench.actions.clear();
    bench.run_on(4000);
    assert_eq!(bench.starts(), []);
    assert_eq!(bench.cancels_told(), [7], "executors end its runs");
    bench.submit(2, NUMBER.0, 1);
    assert_eq!(bench.answers(), [(2, JobOutcome::Cancelled)]);
}

/// A job that is cancelled at one scheduler must not be taken up by another one where it comes again.
#[test]
fn test_cancel_of_peer_refuses_job() {
    let mut bench = Bench::ready();
    bench.link(PEER, "s2", false);
    let update = proto::PeerUpdate {
        cancel: vec![NUMBER.0],
        ..proto::PeerUpdate::default()
    };
    bench.send_peer_update(update);
    bench.submit(1, NUMBER.0, 1);
    assert_eq!(bench.answers(), [(1, JobOutcome::Cancelled)]);
    assert_eq!(bench.starts(), []);
}

/// A peer that takes the job up later is told of the cancel when it links, whenever that is.
#[test]
fn test_cancel_told_on_new_link() {
    let mut bench = Bench::ready();
    bench.submit(1, NUMBER.0, 1);
    assert_eq!(bench.cancel(), CancelReply::Accepted);
    bench.run_on(10_000);
    bench.link(PEER, "s2", false);
    bench.advance(20);
    assert_eq!(bench.cancels(PEER), [7]);
}

/// A job whose caller has left runs elsewhere if it was submitted again there. The first scheduler, which
/// remembers it as ended, must pass its cancel on.
#[test]
fn test_cancel_of_moved_job() {
    let mut bench = Bench::ready();
    bench.link(PEER, "s2", false);
    bench.submit(1, NUMBER.0, 1);
    let caller = CallerId(1);
    bench.scheduler.caller_left(bench.now, caller, NUMBER);
    bench.announce_on(PEER, NUMBER.0);
    assert_eq!(bench.cancel(), CancelReply::Accepted);
    bench.advance(20);
    assert_eq!(bench.cancels(PEER), [7]);
}

/// The same for a job that was refused here and taken elsewhere.
#[test]
fn test_cancel_of_refused_job() {
    let mut bench = Bench::ready();
    bench.link(PEER, "s2", false);
    bench.scheduler.link_down(bench.now, EXECUTOR);
    bench.submit(1, NUMBER.0, 1);
    assert_matches!(bench.answers()[..], [(1, JobOutcome::Refused(_))]);
    bench.announce_on(PEER, NUMBER.0);
    assert_eq!(bench.cancel(), CancelReply::Accepted);
    assert_eq!(bench.cancel(), CancelReply::Accepted);
    bench.advance(20);
    assert_eq!(bench.cancels(PEER), [7]);
    bench.actions.clear();
    bench.submit(2, NUMBER.0, 1);
    assert_eq!(bench.answers(), [(2, JobOutcome::Cancelled)]);
}

/// Stops that were lost with a link are sent again: the executor lists the run, and nobody wants it.
#[test]
fn test_cancel_stop_lost_with_link() {
    let mut bench = Bench::ready();
    bench.submit(1, NUMBER.0, 1);
    assert_eq!(bench.starts(), [(7, 0, 1)]);
    assert_eq!(bench.cancel(), CancelReply::Accepted);
    bench.scheduler.link_down(bench.now, EXECUTOR);
    bench.actions.clear();
    bench.link(EXECUTOR, "e1", true);
    let held = proto::HeldTasks {
        tasks: vec![task(NUMBER.0, 0).proto(1)],
    };
    bench.send_update(proto::Update {
        held: Some(held),
        ..proto::Update::default()
    });
    bench.advance(20);
    let stops: Vec<_> = bench.orders().into_iter().flat_map(|o| o.stops).collect();
    assert_eq!(stops, [task(NUMBER.0, 0).proto(1)]);
}

/// More cancels than are kept are never dropped in silence.
#[test]
fn test_cancel_memory_is_bounded() {
    let mut policy = Policy::default();
    policy.claims.cancels = 2;
    let mut bench = Bench::with_policy(policy);
    bench.scheduler.set_catalog(bench.now, catalog(3));
    bench.link(PEER, "s2", false);
    let update = proto::PeerUpdate {
        cancel: vec![1, 2, 3],
        ..proto::PeerUpdate::default()
    };
    bench.send_peer_update(update);
    let dropped = bench
        .actions
        .iter()
        .filter(|a| matches!(a, Action::Log(event) if event.kind == Kind::CancelDropped));
    assert_eq!(dropped.count(), 1);
    assert_eq!(bench.scheduler.counts().dropped_cancels, 1);
}

/// An executor sees each start, so each one must know of a cancel, wherever the job runs.
#[test]
fn test_cancel_told_to_executors() {
    let mut bench = Bench::ready();
    bench.link(OTHER_EXECUTOR, "e2", true);
    bench.send_update_on(OTHER_EXECUTOR, proto::Update::default());
    bench.advance(20);
    bench.submit(1, NUMBER.0, 1);
    assert_eq!(bench.cancel(), CancelReply::Accepted);
    bench.run_on(100);
    let told = bench.orders().into_iter().filter(|o| o.cancel == [7]);
    assert_eq!(told.count(), 2, "each executor once, with its next orders");
}

/// An executor that may lack the cancel of a job that runs for a lost peer is told without delay.
#[test]
fn test_cancel_of_unreachable_job_is_urgent() {
    let mut bench = Bench::following();
    bench.run_on(100);
    bench.scheduler.link_down(bench.now, PEER);
    bench.collect_actions();
    bench.actions.clear();
    assert_eq!(bench.cancel(), CancelReply::Accepted);
    bench.advance(20);
    assert_eq!(bench.cancels_told(), [7]);
}

/// The same while the peer is still linked, but was not heard for some time: it may be frozen.
#[test]
fn test_cancel_of_silent_holder_is_urgent() {
    let mut bench = Bench::following();
    bench.run_on(400);
    bench.actions.clear();
    assert_eq!(bench.cancel(), CancelReply::Accepted);
    bench.advance(20);
    assert_eq!(bench.cancels_told(), [7]);
    bench.run_on(100);
    assert_eq!(bench.cancels_told(), [7], "once");
}

/// A job that is over may come again at an entry that does not know that: its cancel is kept as well.
#[test]
fn test_cancel_of_ended_job_is_told() {
    let mut bench = Bench::ready();
    bench.submit(1, NUMBER.0, 1);
    bench.end_task(task(NUMBER.0, 0), 1, EndKind::Done);
    assert_eq!(bench.answers(), [(1, JobOutcome::Completed)]);
    assert_eq!(bench.cancel(), CancelReply::Accepted);
    bench.run_on(100);
    assert_eq!(bench.cancels_told(), [7]);
    bench.submit(2, NUMBER.0, 1);
    let again = (2, JobOutcome::Completed);
    assert_eq!(bench.answers().last(), Some(&again), "it is complete");
}

/// The scheduler that has a job and was frozen during its cancel learns of it from the first executor.
#[test]
fn test_cancel_learned_by_holder() {
    let mut bench = Bench::ready();
    bench.link(PEER, "s2", false);
    bench.submit(1, NUMBER.0, 2);
    bench.actions.clear();
    bench.report_cancelled(16_000, &[0, 1]);
    assert_eq!(bench.answers(), [(1, JobOutcome::Cancelled)], "at once");
    bench.run_on(2000);
    assert_eq!(bench.starts(), [], "no task is placed again");
    assert_eq!(bench.cancels(PEER), [7], "peers may not know it either");
    assert_eq!(bench.cancels_told(), [7], "nor may other executors");
    bench.submit(2, NUMBER.0, 1);
    assert_eq!(bench.answers().last(), Some(&(2, JobOutcome::Cancelled)));
}

/// A scheduler that has just started claims each job, and must not run one whose claim is answered so.
#[test]
fn test_cancel_learned_by_claimant() {
    let mut bench = Bench::new();
    bench.link(EXECUTOR, "e1", true);
    bench.submit(1, NUMBER.0, 1);
    bench.report_cancelled(16_000, &[]);
    assert_eq!(bench.answers(), [(1, JobOutcome::Cancelled)]);
    bench.run_on(2000);
    assert_eq!(bench.starts(), []);
}

/// Callers who follow a job elsewhere are answered when the scheduler that has it learns of the cancel.
#[test]
fn test_cancel_learned_for_followers() {
    let mut bench = Bench::ready();
    bench.link(PEER, "s2", false);
    bench.submit(1, NUMBER.0, 1);
    bench.send_peer_update(proto::PeerUpdate {
        follow: vec![NUMBER.0],
        ..proto::PeerUpdate::default()
    });
    bench.report_cancelled(16_000, &[0]);
    bench.advance(20);
    assert_eq!(bench.outcomes_told(PEER), [JobOutcome::Cancelled]);
}

/// A scheduler to which a job was handed off learns of the cancel like the one that accepted it, and tells it.
#[test]
fn test_cancel_learned_after_handoff() {
    let mut bench = Bench::ready();
    bench.link(PEER, "s2", false);
    let request = JobRequest {
        number: NUMBER,
        queue: "q".to_owned(),
        spec: Rc::from("x"),
        steps: vec![Step {
            count: 1,
            estimate_ms: 100,
            ..Step::default()
        }],
        patience_ms: 3000,
        call: Rc::default(),
    };
    bench.send_peer_update(proto::PeerUpdate {
        handed: vec![request.proto()],
        ..proto::PeerUpdate::default()
    });
    assert_eq!(bench.starts(), [(7, 0, 1)]);
    bench.report_cancelled(16_000, &[0]);
    bench.advance(20);
    assert_eq!(bench.outcomes_told(PEER), [JobOutcome::Cancelled]);
}

/// Cancels that were on the way on a broken link are told again on the next one; cancels from peers only if the
/// executor asks, since it has just started or was cut off.
#[test]
fn test_cancel_told_on_executor_link() {
    let mut bench = Bench::ready();
    bench.link(PEER, "s2", false);
    bench.submit(1, NUMBER.0, 1);
    assert_eq!(bench.cancel(), CancelReply::Accepted);
    bench.send_peer_update(proto::PeerUpdate {
        cancel: vec![8],
        ..proto::PeerUpdate::default()
    });
    bench.advance(5000);
    bench.actions.clear();
    bench.link(OTHER_EXECUTOR, "e2", true);
    bench.advance(20);
    assert_eq!(bench.cancels_told(), [7]);
    bench.send_update_on(
        OTHER_EXECUTOR,
        proto::Update {
            cancels_wanted: true,
            ..proto::Update::default()
        },
    );
    bench.advance(20);
    assert_eq!(bench.cancels_told(), [7, 7, 8]);
    let orders = bench.orders();
    let kept = orders.iter().flat_map(|o| o.kept_cancels.iter());
    assert!(kept.into_iter().all(|c| c.remaining_ms <= 15_000));
}

/// The time that remains of a cancel goes along, so that schedulers that link again and again do not keep it forever.
#[test]
fn test_cancel_time_goes_along() {
    let mut bench = Bench::ready();
    bench.link(PEER, "s2", false);
    bench.send_peer_update(proto::PeerUpdate {
        kept_cancels: vec![proto::CancelledJob {
            job: NUMBER.0,
            remaining_ms: 1000,
        }],
        ..proto::PeerUpdate::default()
    });
    bench.run_on(500);
    bench.link(OTHER_PEER, "s3", false);
    bench.advance(20);
    assert_eq!(bench.cancels(OTHER_PEER), [7]);
    bench.run_on(600);
    bench.submit(1, NUMBER.0, 1);
    assert_eq!(bench.answers(), [], "the job is new by now");
    assert_eq!(bench.starts(), [(7, 0, 1)]);
}

/// A scheduler that no other process is linked to can tell nobody, and would take the cancel with it: it
/// promises nothing, but tells the next one that links.
#[test]
fn test_cancel_unlinked_promises_nothing() {
    let mut bench = Bench::ready();
    bench.submit(1, NUMBER.0, 1);
    bench.scheduler.link_down(bench.now, EXECUTOR);
    assert_eq!(bench.cancel(), CancelReply::Uncertain);
    assert_eq!(bench.answers(), [(1, JobOutcome::Cancelled)]);
    bench.link(EXECUTOR, "e1", true);
    bench.advance(20);
    assert_eq!(bench.cancels_told(), [7]);
    assert_eq!(bench.cancel(), CancelReply::Accepted);
}

/// A job that nobody has told of can't be cancelled.
#[test]
fn test_cancel_of_unknown_job() {
    let mut bench = Bench::ready();
    assert_eq!(bench.cancel(), CancelReply::UnknownJob);
}
