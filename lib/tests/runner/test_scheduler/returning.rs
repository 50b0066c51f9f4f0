//! A scheduler that has just started in a fleet that comes back: whom it waits for before it places jobs.

use stackcourse_lib::event::Kind;

use super::*;

/// The incarnation of the peer.
const PEER_LIFE: u64 = 2;
/// An incarnation that nobody has greeted with.
const STRANGER: u64 = 9;

fn recovering() -> Bench {
    let mut policy = Policy::default();
    policy.recovery.on = true;
    started(policy)
}

/// A scheduler that has just started, with a peer that the store answers and an executor.
fn started(policy: Policy) -> Bench {
    let mut bench = Bench::with_policy(policy);
    bench.scheduler.set_catalog(bench.now, catalog(3));
    bench.link(EXECUTOR, "e1", true);
    bench.link_incarnation(PEER_LIFE, PEER, "s2", false);
    bench.send_peer_update(proto::PeerUpdate {
        roster_read: true,
        ..proto::PeerUpdate::default()
    });
    bench
}

fn names(count: usize) -> Vec<String> {
    (1..=count).map(|n| format!("e{n}")).collect()
}

fn confirm(bench: &mut Bench) {
    bench.send_update(proto::Update {
        claimed: vec![7],
        profile: Some(profile(vec!["s1".to_owned(), "s2".to_owned()])),
        ..proto::Update::default()
    });
}

/// The second executor says once for whom things run there, and nothing more.
fn last_word(bench: &mut Bench, accounted: bool, owners: Vec<u64>) {
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

/// Lets time pass in which the first executor and the peer are heard.
fn pass_heard(bench: &mut Bench, ms: u64, silent: &[proto::SilentExecutor]) {
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

/// What a peer says of the second executor: for whom things run there, by its word of that moment of its clock.
fn silent(owners: Vec<u64>, clock_us: u64) -> proto::SilentExecutor {
    proto::SilentExecutor {
        name: "e2".to_owned(),
        owners,
        incarnation: 1,
        clock_us,
    }
}

fn to_peer(bench: &Bench) -> Vec<proto::PeerUpdate> {
    sent_on(bench, PEER)
}

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
fn test_scheduler_that_the_store_turns_away_has_a_peer_read_the_executors() {
    let mut bench = recovering();
    bench.submit_estimated(1, 7, 1, 900);
    pass_heard(&mut bench, 60, &[]);
    assert!(to_peer(&bench).iter().any(|u| u.roster_wanted));
    pass_heard(&mut bench, 100, &[]);
    assert_eq!(
        bench.starts(),
        [],
        "there may be executors it does not know"
    );
    bench.send_peer_update(proto::PeerUpdate {
        roster: names(1),
        ..proto::PeerUpdate::default()
    });
    assert_eq!(bench.starts(), [(7, 0, 1)]);
}

#[test]
fn test_scheduler_that_is_told_of_an_executor_it_has_not_met_waits_for_it() {
    let mut bench = recovering();
    bench.submit_estimated(1, 7, 1, 900);
    pass_heard(&mut bench, 60, &[]);
    bench.send_peer_update(proto::PeerUpdate {
        roster: names(2),
        ..proto::PeerUpdate::default()
    });
    pass_heard(&mut bench, 600, &[]);
    assert_eq!(bench.starts(), []);
}

#[test]
fn test_scheduler_asks_no_peer_for_the_executors_unless_it_is_to() {
    let mut bench = started(Policy::default());
    pass_heard(&mut bench, 600, &[]);
    assert!(to_peer(&bench).iter().all(|u| !u.roster_wanted));
}

#[test]
fn test_scheduler_reads_the_executors_anew_for_a_peer_that_has_started_since() {
    let mut bench = recovering();
    bench.scheduler.set_roster(bench.now, names(1));
    bench.advance(20);
    bench.link_incarnation(PEER_LIFE + 1, OTHER_PEER, "s3", false);
    let began = bench.now;
    let wanted = proto::PeerUpdate {
        roster_wanted: true,
        ..proto::PeerUpdate::default()
    };
    bench.send_peer_update_on(OTHER_PEER, wanted);
    bench.advance(20);
    let told = |b: &Bench| sent_on(b, OTHER_PEER).iter().any(|u| u.roster == names(1));
    assert!(!told(&bench), "it was read before s3 had started");
    assert!(bench.scheduler.wants_roster());
    bench.scheduler.set_roster_read(bench.now, began, names(1));
    bench.advance(20);
    assert!(told(&bench));
    assert!(!bench.scheduler.wants_roster());
}

/// A job that came just after the start, and an executor that is lost after its last word.
fn with_silent_executor(accounted: bool, owners: Vec<u64>) -> Bench {
    let mut bench = recovering();
    bench.scheduler.set_roster(bench.now, names(2));
    last_word(&mut bench, accounted, owners);
    bench.submit_estimated(1, 7, 1, 900);
    bench
}

#[test]
fn test_scheduler_does_not_wait_for_a_silent_executor_that_ran_for_those_it_has_met() {
    let mut bench = with_silent_executor(true, vec![1, PEER_LIFE]);
    pass_heard(&mut bench, 200, &[]);
    assert_eq!(bench.starts(), [], "it may only be late");
    pass_heard(&mut bench, 140, &[]);
    assert_eq!(bench.starts(), [(7, 0, 1)]);
}

#[test]
fn test_scheduler_does_not_wait_for_an_executor_whose_link_broke() {
    let mut bench = with_silent_executor(true, vec![1, PEER_LIFE]);
    bench.scheduler.link_down(bench.now, OTHER_EXECUTOR);
    pass_heard(&mut bench, 340, &[]);
    assert_eq!(bench.starts(), [(7, 0, 1)]);
}

#[test]
fn test_scheduler_waits_for_a_silent_executor_that_did_not_know_all_its_runs() {
    let mut bench = with_silent_executor(false, vec![1, PEER_LIFE]);
    pass_heard(&mut bench, 800, &[]);
    assert_eq!(bench.starts(), []);
}

#[test]
fn test_scheduler_waits_for_a_silent_executor_that_ran_for_somebody_it_has_not_met() {
    let mut bench = with_silent_executor(true, vec![1, PEER_LIFE, STRANGER]);
    pass_heard(&mut bench, 800, &[]);
    assert_eq!(bench.starts(), []);
}

#[test]
fn test_scheduler_waits_for_a_silent_executor_to_which_somebody_it_has_not_met_had_linked() {
    let mut bench = with_silent_executor(true, vec![1, PEER_LIFE]);
    let update = proto::Update {
        accounted: true,
        newcomers: vec![STRANGER],
        ..proto::Update::default()
    };
    bench.send_update_on(OTHER_EXECUTOR, update);
    pass_heard(&mut bench, 800, &[]);
    assert_eq!(bench.starts(), []);
}

#[test]
fn test_scheduler_waits_for_a_silent_executor_that_ran_for_a_peer_that_is_lost() {
    let mut bench = with_silent_executor(true, vec![1, PEER_LIFE]);
    bench.scheduler.link_down(bench.now, PEER);
    for _ in 0..40 {
        bench.advance(20);
        confirm(&mut bench);
    }
    assert_eq!(bench.starts(), []);
}

#[test]
fn test_scheduler_hears_from_a_peer_for_whom_an_executor_ran_that_it_never_met() {
    let mut bench = recovering();
    bench.scheduler.set_roster(bench.now, names(2));
    bench.submit_estimated(1, 7, 1, 900);
    pass_heard(&mut bench, 200, &[]);
    assert_eq!(bench.starts(), []);
    let silent = silent(vec![PEER_LIFE], 0);
    pass_heard(&mut bench, 40, &[silent]);
    assert_eq!(bench.starts(), [(7, 0, 1)]);
}

#[test]
fn test_scheduler_waits_if_any_peer_names_somebody_it_has_not_met() {
    let mut bench = recovering();
    bench.scheduler.set_roster(bench.now, names(2));
    bench.link_incarnation(PEER_LIFE + 1, OTHER_PEER, "s3", false);
    bench.submit_estimated(1, 7, 1, 900);
    for _ in 0..20 {
        pass_heard(&mut bench, 20, &[silent(vec![PEER_LIFE, STRANGER], 0)]);
        let update = proto::PeerUpdate {
            silent: vec![silent(vec![PEER_LIFE], 0)],
            ..proto::PeerUpdate::default()
        };
        bench.send_peer_update_on(OTHER_PEER, update);
    }
    assert_eq!(bench.starts(), []);
}

/// The stop of a run may not have reached its executor: a peer that links just after must not take the job for one that
/// nobody has had.
#[test]
fn test_scheduler_names_jobs_that_it_has_just_ended_to_a_peer_that_links() {
    let named = |ago: u64| {
        let mut bench = recovering();
        bench.scheduler.set_roster(bench.now, names(1));
        bench.submit_estimated(1, 7, 1, 900);
        pass_heard(&mut bench, 200, &[]);
        assert_eq!(bench.starts(), [(7, 0, 1)]);
        bench
            .scheduler
            .caller_left(bench.now, CallerId(1), JobNumber(7));
        pass_heard(&mut bench, ago, &[]);
        bench.link_incarnation(PEER_LIFE + 1, OTHER_PEER, "s3", false);
        bench.advance(20);
        sent_on(&bench, OTHER_PEER)[0].jobs.contains(&7)
    };
    assert!(named(20));
    assert!(!named(2000), "nothing of it can run any more");
}

#[test]
fn test_scheduler_forgets_what_a_peer_does_not_say_any_more() {
    let mut bench = recovering();
    bench.scheduler.set_roster(bench.now, names(2));
    let silent = silent(vec![PEER_LIFE], 0);
    pass_heard(&mut bench, 20, &[silent]);
    pass_heard(&mut bench, 300, &[]);
    bench.submit_estimated(1, 7, 1, 900);
    pass_heard(&mut bench, 300, &[]);
    assert_eq!(bench.starts(), []);
}

#[test]
fn test_scheduler_tells_peers_that_have_just_started_of_silent_executors() {
    let mut bench = with_silent_executor(true, vec![1]);
    pass_heard(&mut bench, 400, &[]);
    let told = |u: &proto::PeerUpdate| u.silent.iter().any(|s| s.name == "e2" && s.owners == [1]);
    assert!(to_peer(&bench).iter().any(told));
    bench.actions.clear();
    bench.send_peer_update(proto::PeerUpdate {
        settled: true,
        ..proto::PeerUpdate::default()
    });
    bench.advance(120);
    assert!(to_peer(&bench).iter().all(|u| u.silent.is_empty()));
}

/// Guards against callers that wait for an executor which was lost just after it came up: it had not accounted for its
/// runs here, but to a peer it had, and its link was not seen to be down.
#[test]
fn test_scheduler_believes_a_peer_that_heard_a_silent_executor_no_earlier() {
    let mut bench = with_silent_executor(false, vec![1, PEER_LIFE]);
    let later = bench.clock_us + 1;
    pass_heard(&mut bench, 400, &[silent(vec![1, PEER_LIFE], later)]);
    assert_eq!(bench.starts(), [(7, 0, 1)]);
}

/// Since then it has said here that something runs there which it does not know.
#[test]
fn test_scheduler_does_not_believe_a_peer_that_heard_a_silent_executor_earlier() {
    let mut bench = with_silent_executor(false, vec![1, PEER_LIFE]);
    let earlier = bench.clock_us - 1;
    pass_heard(&mut bench, 800, &[silent(vec![1, PEER_LIFE], earlier)]);
    assert_eq!(bench.starts(), []);
}

/// What jobs wait for after a start can be read in the log.
#[test]
fn test_scheduler_tells_for_what_claimed_jobs_wait() {
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
    let told = bench.actions.iter().filter_map(|a| match a {
        Action::Log(event) if event.kind == Kind::ClaimsPending => Some(event.detail.clone()),
        _ => None,
    });
    let told: Vec<String> = told.collect();
    assert_eq!(told.len(), 2, "{told:?}");
    assert!(told[0].ends_with("for the list of executors"), "{told:?}");
    assert!(
        told[1].ends_with("for executors not met e9 (1 in all)"),
        "{told:?}"
    );
}
