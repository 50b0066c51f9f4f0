//! Links to peers that break, are doubled, or belong to another life: no caller is left waiting.

use super::*;

const SECOND: LinkId = LinkId(12);

/// A scheduler with a caller for job 7 of a peer, which is linked twice; `SECOND` is used.
fn following_over_two_links() -> Bench {
    let mut bench = Bench::ready();
    bench.link(PEER, "s2", false);
    bench.announce_on(PEER, 7);
    bench.link(SECOND, "s2", false);
    bench.send_peer_update_on(SECOND, proto::PeerUpdate::default());
    bench.submit_estimated(1, 7, 1, 900);
    bench.advance(20);
    assert_eq!(bench.follows(SECOND), [7]);
    bench.actions.clear();
    bench
}

impl Bench {
    /// The jobs that a peer was told to cancel.
    fn cancels(&self, link: LinkId) -> Vec<u64> {
        let sent = self.actions.iter().filter_map(|a| match a {
            Action::Send(to, body) if *to == link => match &**body {
                Body::Peer(update) => Some(update.cancel.clone()),
                _ => None,
            },
            _ => None,
        });
        sent.flatten().collect()
    }

    /// The jobs that a peer was asked to tell the end of.
    fn follows(&self, link: LinkId) -> Vec<u64> {
        let sent = self.actions.iter().filter_map(|a| match a {
            Action::Send(to, body) if *to == link => match &**body {
                Body::Peer(update) => Some(update.follow.clone()),
                _ => None,
            },
            _ => None,
        });
        sent.flatten().collect()
    }
}

/// Guards against a caller that waits until its deadline, since the peer that had its job was started again
/// and linked before its earlier link was seen to be down.
#[test]
fn test_scheduler_takes_over_what_it_followed_at_an_earlier_life_of_a_peer() {
    let mut bench = Bench::ready();
    bench.link(PEER, "s2", false);
    bench.announce_on(PEER, 7);
    bench.submit_estimated(1, 7, 1, 900);
    bench.advance(20);
    bench.actions.clear();
    bench.link_incarnation(2, SECOND, "s2", false);
    bench.send_peer_update_on(SECOND, proto::PeerUpdate::default());
    bench.advance(20);
    let claims: Vec<u64> = bench
        .orders()
        .iter()
        .flat_map(|o| o.claims.clone())
        .collect();
    assert_eq!(claims, [7], "it is claimed, to be run here");
    assert!(
        bench
            .actions
            .iter()
            .any(|a| matches!(a, Action::Close(PEER)))
    );
}

/// Guards against a caller that waits until its deadline, since the link on which a peer was asked for the end
/// of its job broke while another one was up.
#[test]
fn test_scheduler_asks_again_for_jobs_it_follows_when_the_used_link_breaks() {
    let mut bench = following_over_two_links();
    bench.scheduler.link_down(bench.now, SECOND);
    bench.advance(20);
    assert_eq!(bench.follows(PEER), [7]);
    bench.end_job_on(PEER, 7, JobOutcome::Completed);
    assert_eq!(bench.answers(), [(1, JobOutcome::Completed)]);
}

/// The peer may have told the end on a link that is not the one used here.
#[test]
fn test_scheduler_asks_again_for_jobs_it_follows_when_a_spare_link_breaks() {
    let mut bench = following_over_two_links();
    bench.scheduler.link_down(bench.now, PEER);
    bench.advance(20);
    assert_eq!(bench.follows(SECOND), [7]);
}

/// Guards against a handed job that nobody runs, since the link on which it went broke while another one was up.
#[test]
fn test_scheduler_runs_a_handed_job_that_a_broken_link_has_lost() {
    let mut bench = Bench::ready();
    for link in [PEER, SECOND] {
        bench.link(link, "s2", false);
    }
    let stays = proto::PeerUpdate {
        settled: true,
        ..proto::PeerUpdate::default()
    };
    bench.send_peer_update_on(SECOND, stays);
    let until = bench.now + Duration::from_millis(500);
    bench.scheduler.leave(bench.now, until);
    bench.submit_estimated(1, 7, 2, 900);
    bench.scheduler.link_down(bench.now, SECOND);
    bench.advance(20);
    assert_eq!(bench.follows(PEER), [7]);
    bench.end_job_on(PEER, 7, JobOutcome::Unknown);
    assert_eq!(
        bench.answers(),
        [(1, JobOutcome::Unknown)],
        "answered at once"
    );
}

/// The jobs that are at work here are told again over the link that is left.
#[test]
fn test_scheduler_names_its_jobs_again_when_the_used_link_breaks() {
    let mut bench = Bench::ready();
    bench.link(PEER, "s2", false);
    bench.link(SECOND, "s2", false);
    bench.submit_estimated(1, 9, 1, 900);
    bench.advance(200);
    bench.actions.clear();
    bench.scheduler.link_down(bench.now, SECOND);
    bench.advance(200);
    let named = bench.actions.iter().filter_map(|a| match a {
        Action::Send(PEER, body) => match &**body {
            Body::Peer(update) => Some(update.jobs.clone()),
            _ => None,
        },
        _ => None,
    });
    let named: Vec<u64> = named.flatten().collect();
    assert_eq!(named, [9]);
}

/// Guards against a job that runs on though its cancel was acknowledged, since the link on which it was passed
/// on broke.
#[test]
fn test_scheduler_passes_a_cancel_on_again_when_a_link_has_broken() {
    let mut bench = following_over_two_links();
    assert!(bench.scheduler.cancel(bench.now, JobNumber(7)));
    bench.advance(20);
    assert_eq!(bench.cancels(SECOND), [7]);
    bench.scheduler.link_down(bench.now, SECOND);
    bench.advance(20);
    assert_eq!(bench.cancels(PEER), [7]);
    bench.scheduler.link_down(bench.now, PEER);
    bench.link(SECOND, "s2", false);
    bench.advance(20);
    assert_eq!(bench.cancels(SECOND), [7, 7]);
    bench.advance(3_000);
    bench.link(PEER, "s2", false);
    bench.advance(20);
    assert_eq!(bench.cancels(PEER), [7], "long known by then");
}
