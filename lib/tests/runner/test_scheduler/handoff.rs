//! A scheduler that leaves hands on what would outlast it.

use super::*;

/// A scheduler that ends in 500 ms, with a peer that stays in its zone and one elsewhere.
fn leaving() -> Bench {
    let mut bench = Bench::ready();
    bench.link_peer(PEER, "s2", "z");
    bench.link_peer(OTHER_PEER, "s3", "elsewhere");
    for link in [PEER, OTHER_PEER] {
        bench.send_peer_update_on(link, stays());
    }
    bench
        .scheduler
        .leave(bench.now, bench.now + Duration::from_millis(500));
    bench.collect_actions();
    bench.actions.clear();
    bench
}

fn stays() -> proto::PeerUpdate {
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

    fn ends_told(&self, link: LinkId) -> Vec<(u64, JobOutcome)> {
        let told = self.actions.iter().filter_map(|a| match a {
            Action::Send(to, body) if *to == link => match &**body {
                Body::Peer(update) => Some(update.ends.clone()),
                _ => None,
            },
            _ => None,
        });
        let told = told.flatten();
        told.map(|e| (e.job, JobOutcome::from_code(e.outcome)))
            .collect()
    }
}

/// It was refused, though a peer had room for it.
#[test]
fn test_scheduler_leaving_hands_on_what_would_outlast_it() {
    let mut bench = leaving();
    bench.submit_estimated(1, 7, 2, 900);
    let handed = bench.handed();
    assert_eq!(handed.len(), 1);
    assert_eq!(handed[0].0, PEER, "the one of its own zone");
    assert_eq!((handed[0].1.job, handed[0].1.steps[0].count), (7, 2));
    assert_eq!(bench.starts(), [], "it runs there only");
    assert_eq!(bench.answers(), []);
    assert!(!bench.scheduler.is_idle(), "it waits for the answer");
    bench.end_job_on(PEER, 7, JobOutcome::Completed);
    assert_eq!(bench.answers(), [(1, JobOutcome::Completed)]);
}

#[test]
fn test_scheduler_leaving_runs_what_ends_in_time() {
    let mut bench = leaving();
    bench.submit_estimated(1, 7, 2, 100);
    assert_eq!(bench.handed(), []);
    assert_eq!(bench.starts().len(), 2);
}

/// Its caller comes again, and finds it at the peer.
#[test]
fn test_scheduler_that_ends_says_nothing_certain_of_what_it_has_handed_on() {
    let mut bench = leaving();
    bench.submit_estimated(1, 7, 2, 900);
    bench.scheduler.abandon(bench.now);
    bench.collect_actions();
    assert_eq!(bench.answers(), [(1, JobOutcome::Unknown)]);
}

#[test]
fn test_scheduler_leaving_without_a_peer_that_stays_refuses() {
    let mut bench = leaving();
    bench.send_peer_update_on(PEER, proto::PeerUpdate::default());
    bench.send_peer_update_on(
        OTHER_PEER,
        proto::PeerUpdate {
            leaving: true,
            ..stays()
        },
    );
    bench.submit_estimated(1, 7, 2, 900);
    assert_eq!(bench.handed(), []);
    assert_matches!(bench.answers()[..], [(1, JobOutcome::Refused(_))]);
}

/// The peer that has the job is lost: it may have begun it, so it can't be said that it has not run.
#[test]
fn test_scheduler_leaving_does_not_deny_what_a_lost_peer_may_have_begun() {
    let mut bench = leaving();
    bench.submit_estimated(1, 7, 2, 900);
    bench.scheduler.link_down(bench.now, PEER);
    bench.collect_actions();
    assert_eq!(bench.answers(), [(1, JobOutcome::Unknown)]);
}

#[test]
fn test_scheduler_runs_what_a_peer_hands_on_and_tells_it_the_end() {
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
    assert_eq!(bench.starts().len(), 2, "handed on twice, it runs once");
    bench.end_task(task(7, 0), 1, EndKind::Done);
    bench.end_task(task(7, 1), 1, EndKind::Done);
    bench.advance(20);
    let told = (7, JobOutcome::Completed);
    assert_eq!(bench.ends_told(PEER), [told, told], "to both that asked");
    bench.send_peer_update(update);
    assert_eq!(bench.starts().len(), 2, "it has ended");
    assert_eq!(bench.ends_told(PEER).len(), 3);
}

#[test]
fn test_scheduler_refuses_a_handed_job_that_nobody_can_follow() {
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
    assert_matches!(bench.ends_told(PEER)[..], [(9, JobOutcome::Refused(_))]);
}

/// A third scheduler has the job: handed on, it is not begun a second time.
#[test]
fn test_scheduler_does_not_run_a_handed_job_that_another_peer_has() {
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
    assert_eq!(bench.ends_told(PEER), [(7, JobOutcome::Unknown)]);
}
