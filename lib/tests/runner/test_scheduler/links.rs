//! Tests of links to peers that break, are duplicated, or belong to another incarnation: what may have been
//! lost with a link is sent again, and no caller is left waiting.

use super::*;
use stackcourse_lib::dispatch::cancels::CancelReply;

const SECOND: LinkId = LinkId(12);

/// Returns a scheduler with two links to a peer, of which `SECOND` is in use, and a caller that waits for job
/// 7 of that peer.
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
    /// Returns the jobs whose ends a peer was asked to report.
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

/// Guards against a caller that waits until its deadline because the peer that held its job was restarted and
/// linked again before the loss of the earlier link was noticed.
#[test]
fn test_link_restarted_peer() {
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
    assert_eq!(claims, [7], "it is claimed, to run here");
    assert!(
        bench
            .actions
            .iter()
            .any(|a| matches!(a, Action::Close(PEER)))
    );
}

/// Guards against a caller that waits until its deadline because the link on which the peer was asked to
/// report the end of its job broke while another one was up.
#[test]
fn test_link_follows_repeated_used_link_lost() {
    let mut bench = following_over_two_links();
    bench.scheduler.link_down(bench.now, SECOND);
    bench.advance(20);
    assert_eq!(bench.follows(PEER), [7]);
    bench.end_job_on(PEER, 7, JobOutcome::Completed);
    assert_eq!(bench.answers(), [(1, JobOutcome::Completed)]);
}

/// The peer may have reported the end on the link that is not in use here.
#[test]
fn test_link_follows_repeated_spare_link_lost() {
    let mut bench = following_over_two_links();
    bench.scheduler.link_down(bench.now, PEER);
    bench.advance(20);
    assert_eq!(bench.follows(SECOND), [7]);
}

/// Guards against a job that no scheduler runs because the link on which it was handed off broke while
/// another one was up.
#[test]
fn test_link_handoff_lost() {
    let mut bench = Bench::ready();
    for link in [PEER, SECOND] {
        bench.link(link, "s2", false);
    }
    let accepting = proto::PeerUpdate {
        settled: true,
        ..proto::PeerUpdate::default()
    };
    bench.send_peer_update_on(SECOND, accepting);
    let until = bench.now + Duration::from_millis(1100);
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

/// The jobs that are held here are announced again on the link that is left.
#[test]
fn test_link_jobs_announced_again() {
    let mut bench = Bench::ready();
    bench.link(PEER, "s2", false);
    bench.link(SECOND, "s2", false);
    bench.submit_estimated(1, 9, 1, 900);
    bench.advance(200);
    bench.actions.clear();
    bench.scheduler.link_down(bench.now, SECOND);
    bench.advance(200);
    let announced = bench.actions.iter().filter_map(|a| match a {
        Action::Send(PEER, body) => match &**body {
            Body::Peer(update) => Some(update.jobs.clone()),
            _ => None,
        },
        _ => None,
    });
    let announced: Vec<u64> = announced.flatten().collect();
    assert_eq!(announced, [9]);
}

/// Guards against a job that runs on although its cancel was acknowledged, because the link on which the
/// cancel was passed on broke.
#[test]
fn test_link_cancel_repeated() {
    let mut bench = following_over_two_links();
    let reply = bench.scheduler.cancel(bench.now, JobNumber(7));
    assert_eq!(reply, CancelReply::Accepted);
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
    assert_eq!(bench.cancels(PEER), [7, 7], "the job may still come back");
    bench.advance(20_000);
    bench.link(SECOND, "s2", false);
    bench.advance(20);
    assert_eq!(bench.cancels(SECOND), [7, 7], "the job is forgotten");
}

#[test]
fn test_scheduler_links_closed_after_pause() {
    let mut bench = Bench::ready();
    bench.now = bench.now + Duration::from_secs(3);
    bench.report(Vec::new());
    bench.submit(1, 7, 1);
    assert!(bench.actions.contains(&Action::Close(EXECUTOR)));
    assert_eq!(
        bench.starts(),
        [],
        "reports queued during the pause are ignored"
    );
}

/// Guards against updates that repeat the names of all executors whenever one links: in a fleet of ten
/// schedulers, the messages grew with the square of the number of executors that join at once.
#[test]
fn test_scheduler_executor_announcements() {
    let mut bench = Bench::ready();
    bench.link(PEER, "s2", false);
    bench.advance(20);
    let names = |bench: &mut Bench| -> Vec<String> {
        let sent = bench.actions.drain(..).filter_map(|action| match action {
            Action::Send(PEER, body) => Some(*body),
            _ => None,
        });
        let names = sent.flat_map(|body| match body {
            Body::Peer(update) => update.executors,
            _ => Vec::new(),
        });
        names.collect()
    };
    assert_eq!(names(&mut bench), ["e1"], "the first message lists all");
    bench.link(OTHER_EXECUTOR, "e2", true);
    bench.advance(20);
    assert_eq!(names(&mut bench), ["e2"], "later ones list only new names");
    bench.advance(200);
    assert_eq!(names(&mut bench), [""; 0]);
}
