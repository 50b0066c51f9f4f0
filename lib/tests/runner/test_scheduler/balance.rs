//! Jobs that wait where callers are many run where they are few.

use super::*;

/// What waits here in the tests below: jobs of four tasks of a core each, of which one has room.
const JOBS: u64 = 9;

fn policy(on: bool) -> Policy {
    let mut policy = Policy::default();
    policy.balance.on = on;
    policy
}

/// What a peer says at which so much waits, in thousandths of a core.
fn says(waiting: u64) -> proto::PeerUpdate {
    let row = proto::Backlog {
        cpu_milli: waiting,
        ..proto::Backlog::default()
    };
    proto::PeerUpdate {
        settled: true,
        backlog: vec![row],
        ..proto::PeerUpdate::default()
    }
}

/// A scheduler with two peers, whose executor has room for one of the jobs that come.
fn crowded(on: bool, waiting: [u64; 2]) -> Bench {
    let mut bench = settled(on);
    bench.say(waiting);
    for number in 1..=JOBS {
        bench.submit_estimated(number, number, 4, 100);
    }
    bench.say(waiting);
    bench
}

/// The same before any job has come.
fn settled(on: bool) -> Bench {
    let mut bench = Bench::with_policy(policy(on));
    bench.scheduler.set_catalog(bench.now, catalog(3));
    bench.link(EXECUTOR, "e1", true);
    bench.link(PEER, "s2", false);
    bench.link(OTHER_PEER, "s3", false);
    for _ in 0..150 {
        bench.report(Vec::new());
        bench.say([0, 0]);
        bench.advance(20);
    }
    bench.report(Vec::new());
    bench.actions.clear();
    bench
}

impl Bench {
    fn say(&mut self, waiting: [u64; 2]) {
        self.send_peer_update_on(PEER, says(waiting[0]));
        self.send_peer_update_on(OTHER_PEER, says(waiting[1]));
    }

    /// Lets the time pass after which jobs are handed on, without room for them.
    fn wait_for_turn(&mut self) {
        self.advance(20);
    }

    /// Jobs handed to a peer.
    fn handed_to(&self, link: LinkId) -> Vec<proto::HandedJob> {
        let handed = self.actions.iter().filter_map(|a| match a {
            Action::Send(to, body) if *to == link => match &**body {
                Body::Peer(update) => Some(update.handed.clone()),
                _ => None,
            },
            _ => None,
        });
        handed.flatten().collect()
    }

    fn handed_on(&self) -> Vec<u64> {
        let handed = [self.handed_to(PEER), self.handed_to(OTHER_PEER)].concat();
        handed.iter().map(|h| h.job).collect()
    }

    /// The peer and the number of the first job that was handed on.
    fn first_handed(&self) -> (LinkId, u64) {
        let of = |link| self.handed_to(link).first().map(|h| (link, h.job));
        of(PEER)
            .or_else(|| of(OTHER_PEER))
            .expect("one is handed on")
    }

    fn outcomes_of(&self, caller: u64) -> Vec<JobOutcome> {
        let answers = self.answers().into_iter();
        let answers = answers.filter(|(c, _)| *c == caller);
        answers.map(|(_, outcome)| outcome).collect()
    }
}

/// Eight jobs wait here and nothing at two peers: a third of them stays.
#[test]
fn test_balance_hands_on_what_waits_above_the_mean() {
    let mut bench = crowded(true, [0, 0]);
    bench.wait_for_turn();
    let handed = bench.handed_on();
    assert_eq!(handed.len(), 5, "{handed:?}");
    assert!(!handed.contains(&1), "what has begun stays");
    let (link, number) = bench.first_handed();
    let job = bench.handed_to(link).remove(0);
    assert_eq!(job.waited_ms, 20);
    bench.end_job_on(link, number, JobOutcome::Completed);
    assert_eq!(bench.outcomes_of(number), [JobOutcome::Completed]);
}

#[test]
fn test_balance_hands_on_nothing_while_switched_off() {
    let mut bench = crowded(false, [0, 0]);
    bench.wait_for_turn();
    assert_eq!(bench.handed_on(), [0; 0]);
    let told = bench.actions.iter().any(|a| match a {
        Action::Send(_, body) => match &**body {
            Body::Peer(update) => !update.backlog.is_empty() || update.busy_percent > 0,
            _ => false,
        },
        _ => false,
    });
    assert!(!told, "nor does it tell of its load");
}

/// What peers say of their loads changes nothing then: each message and each start is the same.
#[test]
fn test_balance_switched_off_decides_as_if_nothing_was_told() {
    let run = |waiting| {
        let mut bench = crowded(false, waiting);
        for _ in 0..20 {
            bench.advance(20);
            bench.report(Vec::new());
        }
        bench.actions
    };
    assert_eq!(run([0, 0]), run([90_000, 5_000]));
}

#[test]
fn test_balance_keeps_jobs_while_as_much_waits_elsewhere() {
    let mut bench = crowded(true, [32_000, 32_000]);
    bench.wait_for_turn();
    assert_eq!(bench.handed_on(), [0; 0]);
}

#[test]
fn test_balance_passes_by_peers_that_are_busy_leave_or_were_not_heard() {
    let mut bench = crowded(true, [0, 0]);
    bench.send_peer_update(proto::PeerUpdate {
        busy_percent: 90,
        ..says(0)
    });
    bench.send_peer_update_on(
        OTHER_PEER,
        proto::PeerUpdate {
            leaving: true,
            ..says(0)
        },
    );
    bench.wait_for_turn();
    assert_eq!(bench.handed_on(), [0; 0]);
    let mut bench = settled(true);
    bench.advance(250);
    for number in 1..=JOBS {
        bench.submit_estimated(number, number, 4, 300);
    }
    bench.wait_for_turn();
    assert_eq!(bench.handed_on(), [0; 0], "they may be cut off");
}

/// One hop only: the receiver waits for room, too, and would hand it on.
#[test]
fn test_balance_hands_on_nothing_that_was_handed_here() {
    let mut bench = crowded(true, [0, 0]);
    bench.wait_for_turn();
    let (link, _) = bench.first_handed();
    let handed = bench.handed_to(link);
    let mut receiver = settled(true);
    receiver.submit_estimated(1, 100, 4, 100);
    receiver.send_peer_update(proto::PeerUpdate { handed, ..says(0) });
    receiver.say([0, 0]);
    receiver.wait_for_turn();
    receiver.wait_for_turn();
    assert_eq!(receiver.handed_on(), [0; 0]);
}

/// Its objective counts from when it came to the first scheduler: it is refused as soon as there.
#[test]
fn test_balance_counts_the_time_that_a_job_has_waited_elsewhere() {
    let mut bench = crowded(true, [0, 0]);
    bench.wait_for_turn();
    let (link, number) = bench.first_handed();
    let fresh = bench.handed_to(link).remove(0);
    let refused_after = |waited_ms: u32| {
        let mut receiver = settled(true);
        receiver.submit_estimated(1, 100, 4, 100);
        let job = proto::HandedJob {
            waited_ms,
            ..fresh.clone()
        };
        receiver.send_peer_update(proto::PeerUpdate {
            handed: vec![job],
            ..says(0)
        });
        let mut ms = 0;
        while !receiver.told_refused(number) {
            receiver.advance(1);
            ms += 1;
        }
        ms
    };
    assert_eq!(refused_after(0), refused_after(30) + 30);
}

impl Bench {
    fn told_refused(&self, number: u64) -> bool {
        self.actions.iter().any(|a| match a {
            Action::Send(_, body) => match &**body {
                Body::Peer(update) => update.ends.iter().any(|e| {
                    let outcome = JobOutcome::from_code(e.outcome);
                    e.job == number && matches!(outcome, JobOutcome::Refused(_))
                }),
                _ => false,
            },
            _ => false,
        })
    }
}

#[test]
fn test_balance_passes_a_refusal_on() {
    let mut bench = crowded(true, [0, 0]);
    bench.wait_for_turn();
    let (link, number) = bench.first_handed();
    bench.end_job_on(link, number, JobOutcome::Refused(700));
    assert_eq!(bench.outcomes_of(number), [JobOutcome::Refused(700)]);
}

/// The peer dies or is cut off: it may have begun the job, so it is claimed before it runs here, and never denied.
#[test]
fn test_balance_claims_what_a_lost_peer_was_handed() {
    let mut bench = crowded(true, [0, 0]);
    bench.wait_for_turn();
    let (link, number) = bench.first_handed();
    bench.actions.clear();
    bench.scheduler.link_down(bench.now, link);
    bench.collect_actions();
    assert_eq!(bench.starts(), [], "not before it is claimed");
    for _ in 0..400 {
        bench.advance(20);
    }
    let outcomes = bench.outcomes_of(number);
    let denied = outcomes.iter().any(|o| matches!(o, JobOutcome::Refused(_)));
    assert_eq!(outcomes.len(), 1);
    assert!(!denied, "{outcomes:?}");
}

/// A caller that comes again before the peer has announced the job waits for the one there.
#[test]
fn test_balance_does_not_run_here_what_comes_again() {
    let mut bench = crowded(true, [0, 0]);
    bench.wait_for_turn();
    let (link, number) = bench.first_handed();
    bench.actions.clear();
    bench.report(Vec::new());
    bench.submit_estimated(50, number, 4, 100);
    assert!(bench.starts().iter().all(|s| s.0 != number));
    bench.end_job_on(link, number, JobOutcome::Completed);
    assert_eq!(bench.outcomes_of(50), [JobOutcome::Completed]);
    assert_eq!(bench.outcomes_of(number), [JobOutcome::Completed]);
}

/// The peer is told, and gives the job up.
#[test]
fn test_balance_gives_up_what_no_caller_waits_for() {
    let mut bench = crowded(true, [0, 0]);
    bench.wait_for_turn();
    let (link, number) = bench.first_handed();
    let handed = bench.handed_to(link);
    bench.actions.clear();
    let caller = CallerId(number);
    bench
        .scheduler
        .caller_left(bench.now, caller, JobNumber(number));
    bench.collect_actions();
    let told = bench.actions.iter().any(|a| match a {
        Action::Send(to, body) if *to == link => match &**body {
            Body::Peer(update) => update.unfollow == [number],
            _ => false,
        },
        _ => false,
    });
    assert!(told);
    let unfollow = handed.iter().map(|h| h.job).collect();
    let mut receiver = settled(true);
    receiver.send_peer_update(proto::PeerUpdate { handed, ..says(0) });
    assert!(!receiver.scheduler.is_idle());
    receiver.send_peer_update(proto::PeerUpdate {
        unfollow,
        ..says(0)
    });
    assert!(receiver.scheduler.is_idle());
}
