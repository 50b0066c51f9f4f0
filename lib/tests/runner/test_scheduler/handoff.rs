//! Tests of the handoff of jobs that would outlast a scheduler that is leaving: a peer runs them, and reports
//! the end to the leaving scheduler. No job runs at two schedulers, and none that may have begun is refused.

use super::*;

/// Returns a scheduler that ends in 1100 ms, with one peer in its zone and one elsewhere that both accept
/// jobs.
fn leaving() -> Bench {
    let mut bench = Bench::ready();
    bench.link_peer(PEER, "s2", "z");
    bench.link_peer(OTHER_PEER, "s3", "elsewhere");
    for link in [PEER, OTHER_PEER] {
        bench.send_peer_update_on(link, accepting_update());
    }
    bench
        .scheduler
        .leave(bench.now, bench.now + Duration::from_millis(1100));
    bench.collect_actions();
    bench.actions.clear();
    bench
}

/// Returns the update of a peer that accepts jobs.
fn accepting_update() -> proto::PeerUpdate {
    proto::PeerUpdate {
        settled: true,
        ..proto::PeerUpdate::default()
    }
}

impl Bench {
    fn link_peer(&mut self, link: LinkId, name: &str, zone: &str) {
        let greeting = proto::Greeting {
            name: name.to_owned(),
            zone: zone.to_owned(),
            incarnation: 1,
            ..proto::Greeting::default()
        };
        self.scheduler.link_up(self.now, link, &greeting);
        self.collect_actions();
    }

    /// Returns the jobs that were handed off, and the links on which they were sent.
    fn handed(&self) -> Vec<(LinkId, proto::HandedJob)> {
        let handed = self.actions.iter().filter_map(|a| match a {
            Action::Send(link, body) => match &**body {
                Body::Peer(update) => Some(update.handed.iter().map(|h| (*link, h.clone()))),
                _ => None,
            },
            _ => None,
        });
        handed.flatten().collect()
    }

    /// Returns the outcomes of jobs that were reported to a peer.
    fn ends_sent(&self, link: LinkId) -> Vec<(u64, JobOutcome)> {
        let sent = self.actions.iter().filter_map(|a| match a {
            Action::Send(to, body) if *to == link => match &**body {
                Body::Peer(update) => Some(update.ends.clone()),
                _ => None,
            },
            _ => None,
        });
        let sent = sent.flatten();
        sent.map(|e| (e.job, JobOutcome::from_code(e.outcome)))
            .collect()
    }
}

/// Guards against a refusal although a peer has the capacity for the job.
#[test]
fn test_handoff_of_long_job() {
    let mut bench = leaving();
    bench.submit_estimated(1, 7, 2, 900);
    let handed = bench.handed();
    assert_eq!(handed.len(), 1);
    assert_eq!(handed[0].0, PEER, "the peer in its own zone");
    assert_eq!((handed[0].1.job, handed[0].1.steps[0].count), (7, 2));
    assert_eq!(bench.starts(), [], "it runs at the peer only");
    assert_eq!(bench.answers(), []);
    assert!(!bench.scheduler.is_idle(), "it waits for the outcome");
    bench.end_job_on(PEER, 7, JobOutcome::Completed);
    assert_eq!(bench.answers(), [(1, JobOutcome::Completed)]);
}

#[test]
fn test_handoff_short_job_kept() {
    let mut bench = leaving();
    bench.submit_estimated(1, 7, 2, 100);
    assert_eq!(bench.handed(), []);
    assert_eq!(bench.starts().len(), 2);
}

/// The caller submits the job again, and finds it at the peer.
#[test]
fn test_handoff_outcome_on_exit() {
    let mut bench = leaving();
    bench.submit_estimated(1, 7, 2, 900);
    bench.scheduler.abandon(bench.now);
    bench.collect_actions();
    assert_eq!(bench.answers(), [(1, JobOutcome::Unknown)]);
}

/// Guards against callers that are told that the outcome is unknown although nothing of their job ran: the peer could
/// not end it in time either.
#[test]
fn test_handoff_job_without_time() {
    let mut bench = leaving();
    bench.submit_estimated(1, 7, 2, 1050);
    assert_eq!(bench.handed(), []);
    assert_eq!(bench.starts(), []);
    assert_matches!(bench.answers()[..], [(1, JobOutcome::Refused(_))]);
}

#[test]
fn test_handoff_no_available_peer() {
    let mut bench = leaving();
    bench.send_peer_update_on(PEER, proto::PeerUpdate::default());
    bench.send_peer_update_on(
        OTHER_PEER,
        proto::PeerUpdate {
            leaving: true,
            ..accepting_update()
        },
    );
    bench.submit_estimated(1, 7, 2, 900);
    assert_eq!(bench.handed(), []);
    assert_matches!(bench.answers()[..], [(1, JobOutcome::Refused(_))]);
}

/// A lost peer may have begun the job, and a refusal would promise that it has not run.
#[test]
fn test_handoff_lost_peer() {
    let mut bench = leaving();
    bench.submit_estimated(1, 7, 2, 900);
    bench.scheduler.link_down(bench.now, PEER);
    bench.collect_actions();
    assert_eq!(bench.answers(), [(1, JobOutcome::Unknown)]);
}

#[test]
fn test_handoff_receiver() {
    let mut bench = leaving();
    bench.submit_estimated(1, 7, 2, 900);
    let job = bench.handed().remove(0).1;
    let mut bench = Bench::ready();
    bench.link_peer(PEER, "s1", "z");
    let update = proto::PeerUpdate {
        handed: vec![job.clone()],
        leaving: true,
        ..proto::PeerUpdate::default()
    };
    bench.send_peer_update(update.clone());
    assert_eq!(bench.starts(), [(7, 0, 1), (7, 1, 1)]);
    bench.send_peer_update(update.clone());
    assert_eq!(bench.starts().len(), 2, "handed off twice, it runs once");
    bench.end_task(task(7, 0), 1, EndKind::Done);
    bench.end_task(task(7, 1), 1, EndKind::Done);
    bench.advance(20);
    let end = (7, JobOutcome::Completed);
    assert_eq!(bench.ends_sent(PEER), [end, end], "once for each handoff");
    bench.send_peer_update(update);
    assert_eq!(bench.starts().len(), 2, "the job has ended");
    assert_eq!(bench.ends_sent(PEER).len(), 3);
}

#[test]
fn test_handoff_invalid_request() {
    let mut bench = Bench::ready();
    bench.link_peer(PEER, "s2", "z");
    let handed = vec![proto::HandedJob {
        job: 9,
        queue: "q".to_owned(),
        ..proto::HandedJob::default()
    }];
    bench.send_peer_update(proto::PeerUpdate {
        handed,
        ..proto::PeerUpdate::default()
    });
    assert_matches!(bench.ends_sent(PEER)[..], [(9, JobOutcome::Refused(_))]);
}

/// A third scheduler holds the job: the receiver of the handoff does not start it a second time.
#[test]
fn test_handoff_job_of_third_scheduler() {
    let mut bench = Bench::ready();
    bench.link_peer(PEER, "s2", "z");
    bench.link_peer(OTHER_PEER, "s3", "z");
    bench.announce_on(OTHER_PEER, 7);
    let mut leaving = leaving();
    leaving.submit_estimated(1, 7, 2, 900);
    let handed = vec![leaving.handed().remove(0).1];
    bench.send_peer_update(proto::PeerUpdate {
        jobs: vec![7],
        handed,
        ..proto::PeerUpdate::default()
    });
    assert_eq!(bench.starts(), []);
    assert_eq!(bench.ends_sent(PEER), [(7, JobOutcome::Unknown)]);
}
