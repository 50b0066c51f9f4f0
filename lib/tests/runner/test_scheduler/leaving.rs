//! Tests of the last moments of a scheduler that is leaving. Once it has answered all callers for the last time,
//! whatever still comes is answered at once, and a refusal is true.

use stackcourse_lib::dispatch::cancels::CancelReply;

use super::*;

/// Returns a scheduler that has answered all callers for the last time, with a peer that accepts jobs.
fn closed() -> Bench {
    let mut bench = with_peer();
    bench.close();
    bench.actions.clear();
    bench
}

/// Returns a scheduler with a peer that accepts jobs.
fn with_peer() -> Bench {
    let mut bench = Bench::ready();
    bench.link(PEER, "s2", false);
    bench.send_peer_update(accepting_update());
    bench.actions.clear();
    bench
}

fn accepting_update() -> proto::PeerUpdate {
    proto::PeerUpdate {
        settled: true,
        ..proto::PeerUpdate::default()
    }
}

impl Bench {
    /// Lets the scheduler leave and answer all callers for the last time, long before its time is over.
    fn close(&mut self) {
        let ends_at = self.now + Duration::from_secs(3);
        self.scheduler.leave(self.now, ends_at);
        self.scheduler.abandon(self.now);
        self.collect_actions();
    }

    fn handed_jobs(&self) -> usize {
        let handed = self.actions.iter().map(|a| match a {
            Action::Send(_, body) => match &**body {
                Body::Peer(update) => update.handed.len(),
                _ => 0,
            },
            _ => 0,
        });
        handed.sum()
    }

    /// Returns the outcomes that were reported to the peer.
    fn reported_ends(&self) -> Vec<(u64, JobOutcome)> {
        let sent = self.actions.iter().filter_map(|a| match a {
            Action::Send(PEER, body) => match &**body {
                Body::Peer(update) => Some(update.ends.clone()),
                _ => None,
            },
            _ => None,
        });
        let ends = sent.flatten();
        ends.map(|e| (e.job, JobOutcome::from_code(e.outcome)))
            .collect()
    }
}

/// Guards against callers without an answer: nobody sweeps the callers of a job that is handed off after the last
/// answers.
#[test]
fn test_leaving_long_job_after_last_answers() {
    let mut bench = closed();
    bench.submit_estimated(1, 7, 1, 9000);
    assert_matches!(bench.answers()[..], [(1, JobOutcome::Refused(_))]);
    assert_eq!(bench.handed_jobs(), 0, "a refusal is true");
    assert!(bench.scheduler.is_idle());
}

/// Guards against callers without an answer: a job that is started after the last answers does not end before the
/// process.
#[test]
fn test_leaving_short_job_after_last_answers() {
    let mut bench = closed();
    bench.submit(1, 7, 1);
    assert_matches!(bench.answers()[..], [(1, JobOutcome::Refused(_))]);
    assert_eq!(bench.starts(), [], "a refusal is true");
    assert!(bench.scheduler.is_idle());
}

/// Guards against callers without an answer, and against the refusal of a job that a peer runs.
#[test]
fn test_leaving_job_of_peer_after_last_answers() {
    let mut bench = closed();
    bench.announce_on(PEER, 7);
    bench.submit(1, 7, 1);
    assert_eq!(bench.answers(), [(1, JobOutcome::Unknown)]);
    assert!(bench.scheduler.is_idle());
}

/// Guards against the refusal of a job that a peer may run although it has not announced it.
#[test]
fn test_leaving_lost_peer_after_last_answers() {
    let mut bench = closed();
    bench.scheduler.link_down(bench.now, PEER);
    bench.submit(1, 7, 1);
    assert_eq!(bench.answers(), [(1, JobOutcome::Unknown)]);
}

/// Guards against the refusal of a job that was handed off: the peer runs it.
#[test]
fn test_leaving_handed_job_after_last_answers() {
    let mut bench = with_peer();
    let ends_at = bench.now + Duration::from_millis(1100);
    bench.scheduler.leave(bench.now, ends_at);
    bench.submit_estimated(1, 7, 1, 900);
    assert_eq!(bench.handed_jobs(), 1);
    bench.scheduler.abandon(bench.now);
    bench.collect_actions();
    bench.submit_estimated(2, 7, 1, 900);
    let unknown = JobOutcome::Unknown;
    assert_eq!(bench.answers(), [(1, unknown), (2, unknown)]);
}

/// A job that has ended is answered with its outcome to the last.
#[test]
fn test_leaving_ended_job_after_last_answers() {
    let mut bench = with_peer();
    bench.submit(1, 7, 1);
    bench.end_task(task(7, 0), 1, EndKind::Done);
    bench.close();
    bench.submit(2, 7, 1);
    let completed = JobOutcome::Completed;
    assert_eq!(bench.answers(), [(1, completed), (2, completed)]);
    let state = bench.scheduler.job_state(JobNumber(7));
    assert_eq!(state, Some(Ok(completed)));
}

/// Guards against a peer whose callers wait for a job that it handed off to a process that ends.
#[test]
fn test_leaving_handoff_received_after_last_answers() {
    let mut bench = closed();
    let handed = proto::HandedJob {
        job: 7,
        queue: "q".to_owned(),
        steps: vec![proto::JobStep {
            count: 1,
            estimate_ms: 100,
            ..proto::JobStep::default()
        }],
        patience_ms: 3000,
        ..proto::HandedJob::default()
    };
    bench.send_peer_update(proto::PeerUpdate {
        handed: vec![handed],
        ..accepting_update()
    });
    bench.advance(100);
    assert_matches!(bench.reported_ends()[..], [(7, JobOutcome::Refused(_))]);
    assert_eq!(bench.starts(), [], "a refusal is true");
    assert!(bench.scheduler.is_idle());
}

/// Guards against a cancel that was acknowledged and that nobody heard of: there may be no later update.
#[test]
fn test_leaving_cancel_after_last_answers() {
    let mut bench = with_peer();
    bench.submit(1, 7, 1);
    bench.end_task(task(7, 0), 1, EndKind::Done);
    bench.close();
    bench.actions.clear();
    let reply = bench.scheduler.cancel(bench.now, JobNumber(7));
    bench.collect_actions();
    assert_eq!(reply, CancelReply::Accepted);
    assert_eq!(bench.cancels(PEER), [7]);
    bench.advance(20);
    let told = bench.orders().iter().any(|o| o.cancel.contains(&7));
    assert!(told, "the executor is told before the next heartbeat");
}

/// Guards against a caller without an answer: the job comes again before the peer that runs it has announced it.
#[test]
fn test_leaving_handed_job_joined() {
    let mut bench = with_peer();
    let ends_at = bench.now + Duration::from_millis(1100);
    bench.scheduler.leave(bench.now, ends_at);
    bench.submit_estimated(1, 7, 1, 900);
    bench.submit_estimated(2, 7, 1, 900);
    assert_eq!(bench.handed_jobs(), 1, "handed off once");
    bench.end_job_on(PEER, 7, JobOutcome::Completed);
    let completed = JobOutcome::Completed;
    assert_eq!(bench.answers(), [(1, completed), (2, completed)]);
}

/// Guards against the refusal of a job that a lost peer may run: it waits for claims when all is given up.
#[test]
fn test_leaving_claimed_job_at_last_answers() {
    let mut bench = with_peer();
    bench.announce_on(PEER, 7);
    bench.scheduler.link_down(bench.now, PEER);
    bench.submit(1, 7, 1);
    assert_eq!(bench.answers(), []);
    bench.close();
    assert_eq!(bench.answers(), [(1, JobOutcome::Unknown)]);
}

/// Guards against a job that is followed at a peer which has refused it, so that its caller learns nothing.
#[test]
fn test_leaving_handoff_refused_by_peer() {
    let mut bench = with_peer();
    let ends_at = bench.now + Duration::from_millis(1100);
    bench.scheduler.leave(bench.now, ends_at);
    bench.submit_estimated(1, 7, 1, 900);
    bench.end_job_on(PEER, 7, JobOutcome::Refused(100));
    bench.send_peer_update(accepting_update());
    assert_matches!(bench.answers()[..], [(1, JobOutcome::Refused(_))]);
    bench.actions.clear();
    bench.submit_estimated(2, 7, 1, 900);
    assert_eq!(bench.handed_jobs(), 1, "handed off again");
}
