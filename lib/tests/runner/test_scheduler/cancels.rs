//! Tests of cancelled jobs: a cancel that was acknowledged holds wherever the job runs or comes back.

use super::*;
use stackcourse_lib::event::Kind;

const NUMBER: JobNumber = JobNumber(7);

impl Bench {
    fn cancel(&mut self) -> bool {
        let known = self.scheduler.cancel(self.now, NUMBER);
        self.collect_actions();
        known
    }

    /// Runs on for a while with the executor linked, and without a word from peers.
    fn run_on(&mut self, ms: u64) {
        for _ in 0..ms / 20 {
            self.report(Vec::new());
            self.advance(20);
        }
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
    assert!(bench.cancel());
    assert_eq!(bench.answers(), [(1, JobOutcome::Cancelled)]);
    bench.actions.clear();
    bench.run_on(4000);
    assert_eq!(bench.starts(), []);
    let claims = bench.orders().into_iter().flat_map(|o| o.claims);
    assert_eq!(claims.collect::<Vec<u64>>(), [7], "executors end its runs");
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
    assert!(bench.cancel());
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
    assert!(bench.cancel());
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
    assert!(bench.cancel());
    assert!(bench.cancel());
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
    assert!(bench.cancel());
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
