//! Tests of a scheduler that has just started while the whole fleet restarts: how it learns the roster, which
//! silent executors it waits for before it places claimed jobs, and what it tells peers about them.

use stackcourse_lib::event::Kind;

use super::*;

/// The incarnation of the peer.
const PEER_INCARNATION: u64 = 2;
/// The incarnation of a scheduler that has not linked.
const UNKNOWN_INCARNATION: u64 = 9;

/// Returns a scheduler that has just started, with recovery on.
fn recovering() -> Bench {
    let mut policy = Policy::default();
    policy.recovery.on = true;
    started(policy)
}

/// Returns a scheduler that has just started, with an executor and a peer that has read the roster.
fn started(policy: Policy) -> Bench {
    let mut bench = Bench::with_policy(policy);
    bench.scheduler.set_catalog(bench.now, catalog(3));
    bench.link(EXECUTOR, "e1", true);
    bench.link_incarnation(PEER_INCARNATION, PEER, "s2", false);
    bench.send_peer_update(proto::PeerUpdate {
        roster_read: true,
        ..proto::PeerUpdate::default()
    });
    bench
}

/// Returns the names of the first executors.
fn names(count: usize) -> Vec<String> {
    (1..=count).map(|n| format!("e{n}")).collect()
}

/// Delivers the first executor's confirmation of the claim of job 7.
fn confirm(bench: &mut Bench) {
    bench.send_update(proto::Update {
        claimed: vec![7],
        profile: Some(profile(vec!["s1".to_owned(), "s2".to_owned()])),
        ..proto::Update::default()
    });
}

/// Links the second executor and delivers its first update: the incarnations of the schedulers for which
/// tasks may run there, and whether it knows all its runs.
fn link_second_executor(bench: &mut Bench, accounted: bool, owners: Vec<u64>) {
    bench.link(OTHER_EXECUTOR, "e2", true);
    let update = proto::Update {
        profile: Some(proto::Profile {
            owners,
            ..profile(vec!["s1".to_owned(), "s2".to_owned()])
        }),
        accounted,
        ..proto::Update::default()
    };
    bench.send_update_on(OTHER_EXECUTOR, update);
}

/// Advances the clock while the first executor and the peer are heard.
fn advance_heard(bench: &mut Bench, ms: u64, silent: &[proto::SilentExecutor]) {
    for _ in 0..ms / 20 {
        bench.advance(20);
        confirm(bench);
        bench.send_peer_update(proto::PeerUpdate {
            silent: silent.to_vec(),
            roster_read: true,
            ..proto::PeerUpdate::default()
        });
    }
}

/// Returns a peer's report of the silent second executor: the schedulers for which tasks may run there, and
/// the time of the executor's clock at which the peer last heard it.
fn silent(owners: Vec<u64>, clock_us: u64) -> proto::SilentExecutor {
    proto::SilentExecutor {
        name: "e2".to_owned(),
        owners,
        incarnation: 1,
        clock_us,
    }
}

/// Returns the updates that were sent to the peer.
fn to_peer(bench: &Bench) -> Vec<proto::PeerUpdate> {
    sent_on(bench, PEER)
}

/// Returns the peer updates that were sent on a link.
fn sent_on(bench: &Bench, link: LinkId) -> Vec<proto::PeerUpdate> {
    let sent = bench.actions.iter().filter_map(|a| match a {
        Action::Send(on, body) if *on == link => match &**body {
            Body::Peer(update) => Some(update.clone()),
            _ => None,
        },
        _ => None,
    });
    sent.collect()
}

#[test]
fn test_recovery_roster_from_peer() {
    let mut bench = recovering();
    bench.submit_estimated(1, 7, 1, 900);
    advance_heard(&mut bench, 60, &[]);
    assert!(to_peer(&bench).iter().any(|u| u.roster_wanted));
    advance_heard(&mut bench, 100, &[]);
    assert_eq!(bench.starts(), [], "there may be unknown executors");
    bench.send_peer_update(proto::PeerUpdate {
        roster: names(1),
        ..proto::PeerUpdate::default()
    });
    assert_eq!(bench.starts(), [(7, 0, 1)]);
}

#[test]
fn test_recovery_roster_from_peer_unlinked_executor() {
    let mut bench = recovering();
    bench.submit_estimated(1, 7, 1, 900);
    advance_heard(&mut bench, 60, &[]);
    bench.send_peer_update(proto::PeerUpdate {
        roster: names(2),
        ..proto::PeerUpdate::default()
    });
    advance_heard(&mut bench, 600, &[]);
    assert_eq!(bench.starts(), []);
}

#[test]
fn test_recovery_off_no_roster_request() {
    let mut bench = started(Policy::default());
    advance_heard(&mut bench, 600, &[]);
    assert!(to_peer(&bench).iter().all(|u| !u.roster_wanted));
}

#[test]
fn test_recovery_roster_read_again_for_peer() {
    let mut bench = recovering();
    bench.scheduler.set_roster(bench.now, names(1));
    bench.advance(20);
    bench.link_incarnation(PEER_INCARNATION + 1, OTHER_PEER, "s3", false);
    let began = bench.now;
    let wanted = proto::PeerUpdate {
        roster_wanted: true,
        ..proto::PeerUpdate::default()
    };
    bench.send_peer_update_on(OTHER_PEER, wanted);
    bench.advance(20);
    let sent = |b: &Bench| sent_on(b, OTHER_PEER).iter().any(|u| u.roster == names(1));
    assert!(!sent(&bench), "it was read before s3 linked");
    assert!(bench.scheduler.wants_roster());
    bench.scheduler.set_roster_read(bench.now, began, names(1));
    bench.advance(20);
    assert!(sent(&bench));
    assert!(!bench.scheduler.wants_roster());
}

/// Returns a scheduler that has just started and has a job, with a second executor that is silent after its
/// first update.
fn with_silent_executor(accounted: bool, owners: Vec<u64>) -> Bench {
    let mut bench = recovering();
    bench.scheduler.set_roster(bench.now, names(2));
    link_second_executor(&mut bench, accounted, owners);
    bench.submit_estimated(1, 7, 1, 900);
    bench
}

#[test]
fn test_recovery_silent_executor_linked_owners() {
    let mut bench = with_silent_executor(true, vec![1, PEER_INCARNATION]);
    advance_heard(&mut bench, 200, &[]);
    assert_eq!(bench.starts(), [], "its next update may only be late");
    advance_heard(&mut bench, 140, &[]);
    assert_eq!(bench.starts(), [(7, 0, 1)]);
}

#[test]
fn test_recovery_silent_executor_lost_link() {
    let mut bench = with_silent_executor(true, vec![1, PEER_INCARNATION]);
    bench.scheduler.link_down(bench.now, OTHER_EXECUTOR);
    advance_heard(&mut bench, 340, &[]);
    assert_eq!(bench.starts(), [(7, 0, 1)]);
}

#[test]
fn test_recovery_silent_executor_unaccounted_runs() {
    let mut bench = with_silent_executor(false, vec![1, PEER_INCARNATION]);
    advance_heard(&mut bench, 800, &[]);
    assert_eq!(bench.starts(), []);
}

#[test]
fn test_recovery_silent_executor_unknown_owner() {
    let mut bench = with_silent_executor(true, vec![1, PEER_INCARNATION, UNKNOWN_INCARNATION]);
    advance_heard(&mut bench, 800, &[]);
    assert_eq!(bench.starts(), []);
}

#[test]
fn test_recovery_silent_executor_unknown_newcomer() {
    let mut bench = with_silent_executor(true, vec![1, PEER_INCARNATION]);
    let update = proto::Update {
        accounted: true,
        newcomers: vec![UNKNOWN_INCARNATION],
        ..proto::Update::default()
    };
    bench.send_update_on(OTHER_EXECUTOR, update);
    advance_heard(&mut bench, 800, &[]);
    assert_eq!(bench.starts(), []);
}

#[test]
fn test_recovery_silent_executor_lost_owner() {
    let mut bench = with_silent_executor(true, vec![1, PEER_INCARNATION]);
    bench.scheduler.link_down(bench.now, PEER);
    for _ in 0..40 {
        bench.advance(20);
        confirm(&mut bench);
    }
    assert_eq!(bench.starts(), []);
}

#[test]
fn test_recovery_peer_report_unlinked_executor() {
    let mut bench = recovering();
    bench.scheduler.set_roster(bench.now, names(2));
    bench.submit_estimated(1, 7, 1, 900);
    advance_heard(&mut bench, 200, &[]);
    assert_eq!(bench.starts(), []);
    let silent = silent(vec![PEER_INCARNATION], 0);
    advance_heard(&mut bench, 40, &[silent]);
    assert_eq!(bench.starts(), [(7, 0, 1)]);
}

#[test]
fn test_recovery_peer_reports_unknown_owner() {
    let mut bench = recovering();
    bench.scheduler.set_roster(bench.now, names(2));
    bench.link_incarnation(PEER_INCARNATION + 1, OTHER_PEER, "s3", false);
    bench.submit_estimated(1, 7, 1, 900);
    for _ in 0..20 {
        advance_heard(
            &mut bench,
            20,
            &[silent(vec![PEER_INCARNATION, UNKNOWN_INCARNATION], 0)],
        );
        let update = proto::PeerUpdate {
            silent: vec![silent(vec![PEER_INCARNATION], 0)],
            ..proto::PeerUpdate::default()
        };
        bench.send_peer_update_on(OTHER_PEER, update);
    }
    assert_eq!(bench.starts(), []);
}

/// The stop of a run may not have reached its executor yet: a peer that links just after the job has ended
/// must not conclude that no scheduler has run it.
#[test]
fn test_recovery_ended_jobs_announced() {
    let is_listed = |ago: u64| {
        let mut bench = recovering();
        bench.scheduler.set_roster(bench.now, names(1));
        bench.submit_estimated(1, 7, 1, 900);
        advance_heard(&mut bench, 200, &[]);
        assert_eq!(bench.starts(), [(7, 0, 1)]);
        bench
            .scheduler
            .caller_left(bench.now, CallerId(1), JobNumber(7));
        advance_heard(&mut bench, ago, &[]);
        bench.link_incarnation(PEER_INCARNATION + 1, OTHER_PEER, "s3", false);
        bench.advance(20);
        sent_on(&bench, OTHER_PEER)[0].jobs.contains(&7)
    };
    assert!(is_listed(20));
    assert!(!is_listed(2000), "no run of it can be left");
}

#[test]
fn test_recovery_peer_report_expired() {
    let mut bench = recovering();
    bench.scheduler.set_roster(bench.now, names(2));
    let silent = silent(vec![PEER_INCARNATION], 0);
    advance_heard(&mut bench, 20, &[silent]);
    advance_heard(&mut bench, 300, &[]);
    bench.submit_estimated(1, 7, 1, 900);
    advance_heard(&mut bench, 300, &[]);
    assert_eq!(bench.starts(), []);
}

#[test]
fn test_recovery_silent_executors_sent_to_starting_peer() {
    let mut bench = with_silent_executor(true, vec![1]);
    advance_heard(&mut bench, 400, &[]);
    let reports =
        |u: &proto::PeerUpdate| u.silent.iter().any(|s| s.name == "e2" && s.owners == [1]);
    assert!(to_peer(&bench).iter().any(reports));
    bench.actions.clear();
    bench.send_peer_update(proto::PeerUpdate {
        settled: true,
        ..proto::PeerUpdate::default()
    });
    bench.advance(120);
    assert!(to_peer(&bench).iter().all(|u| u.silent.is_empty()));
}

/// Guards against callers that wait for an executor that was lost just after it started. It had accounted for
/// its runs to a peer, but not here, and the loss of its link was not noticed.
#[test]
fn test_recovery_later_peer_report() {
    let mut bench = with_silent_executor(false, vec![1, PEER_INCARNATION]);
    let later = bench.clock_us + 1;
    advance_heard(&mut bench, 400, &[silent(vec![1, PEER_INCARNATION], later)]);
    assert_eq!(bench.starts(), [(7, 0, 1)]);
}

/// The executor has reported here later that it does not know all its runs.
#[test]
fn test_recovery_earlier_peer_report() {
    let mut bench = with_silent_executor(false, vec![1, PEER_INCARNATION]);
    let earlier = bench.clock_us - 1;
    advance_heard(
        &mut bench,
        800,
        &[silent(vec![1, PEER_INCARNATION], earlier)],
    );
    assert_eq!(bench.starts(), []);
}

/// Operators can read in the log what claimed jobs wait for after a start.
#[test]
fn test_recovery_pending_claims_logged() {
    let mut bench = Bench::new();
    bench.link(EXECUTOR, "e1", true);
    bench.report(Vec::new());
    bench.submit_estimated(1, 7, 1, 2000);
    for _ in 0..18 {
        bench.advance(20);
    }
    let roster = vec!["e1".to_owned(), "e9".to_owned()];
    bench.scheduler.set_roster(bench.now, roster);
    for _ in 0..18 {
        bench.advance(20);
    }
    let logged = bench.actions.iter().filter_map(|a| match a {
        Action::Log(event) if event.kind == Kind::ClaimsPending => Some(event.detail.clone()),
        _ => None,
    });
    let logged: Vec<String> = logged.collect();
    assert_eq!(logged.len(), 2, "{logged:?}");
    assert!(
        logged[0].ends_with("for the list of executors"),
        "{logged:?}"
    );
    assert!(
        logged[1].ends_with("for executors not met e9 (1 in all)"),
        "{logged:?}"
    );
}
