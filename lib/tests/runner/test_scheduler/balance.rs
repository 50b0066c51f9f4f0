//! Tests of load balancing between schedulers: jobs that wait here are handed off to peers at which less
//! waits, each job once at most. A job whose peer is lost, or that is submitted again, must not run twice.

use super::*;

/// The number of submitted jobs. Each has four tasks of one core, and the executor has free capacity for one
/// job.
const JOBS: u64 = 9;

fn policy(on: bool) -> Policy {
    let mut policy = Policy::default();
    policy.balance.on = on;
    policy
}

/// Returns the update of a peer at which this much waits, in thousandths of a core.
fn load_update(waiting: u64) -> proto::PeerUpdate {
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

/// Returns a scheduler that has two peers and at which all but one of the submitted jobs wait.
fn overloaded(on: bool, waiting: [u64; 2]) -> Bench {
    let mut bench = settled(on);
    bench.send_loads(waiting);
    for number in 1..=JOBS {
        bench.submit_estimated(number, number, 4, 100);
    }
    bench.send_loads(waiting);
    bench
}

/// Returns the same scheduler before any job is submitted.
fn settled(on: bool) -> Bench {
    let mut bench = Bench::with_policy(policy(on));
    bench.scheduler.set_catalog(bench.now, catalog(3));
    bench.link(EXECUTOR, "e1", true);
    bench.link(PEER, "s2", false);
    bench.link(OTHER_PEER, "s3", false);
    for _ in 0..150 {
        bench.report(Vec::new());
        bench.send_loads([0, 0]);
        bench.advance(20);
    }
    bench.report(Vec::new());
    bench.actions.clear();
    bench
}

impl Bench {
    /// Delivers the updates of both peers, at which this much waits.
    fn send_loads(&mut self, waiting: [u64; 2]) {
        self.send_peer_update_on(PEER, load_update(waiting[0]));
        self.send_peer_update_on(OTHER_PEER, load_update(waiting[1]));
    }

    /// Advances the clock until waiting jobs are handed off, while there is no free capacity.
    fn wait_for_handoff(&mut self) {
        self.advance(20);
    }

    /// Returns the jobs that were handed off to a peer.
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

    /// Returns all jobs that were handed off.
    fn handed_off(&self) -> Vec<u64> {
        let handed = [self.handed_to(PEER), self.handed_to(OTHER_PEER)].concat();
        handed.iter().map(|h| h.job).collect()
    }

    /// Returns the first job that was handed off, and the link to its peer.
    fn first_handed(&self) -> (LinkId, u64) {
        let of = |link| self.handed_to(link).first().map(|h| (link, h.job));
        of(PEER)
            .or_else(|| of(OTHER_PEER))
            .expect("one job is handed off")
    }

    /// Returns the outcomes that were answered to a caller.
    fn outcomes_of(&self, caller: u64) -> Vec<JobOutcome> {
        let answers = self.answers().into_iter();
        let answers = answers.filter(|(c, _)| *c == caller);
        answers.map(|(_, outcome)| outcome).collect()
    }
}

/// Eight jobs wait here and none at two peers: a third of them stays.
#[test]
fn test_balance_handoff() {
    let mut bench = overloaded(true, [0, 0]);
    bench.wait_for_handoff();
    let handed = bench.handed_off();
    assert_eq!(handed.len(), 5, "{handed:?}");
    assert!(!handed.contains(&1), "a job that has begun stays");
    let (link, number) = bench.first_handed();
    let job = bench.handed_to(link).remove(0);
    assert_eq!(job.waited_ms, 20);
    bench.end_job_on(link, number, JobOutcome::Completed);
    assert_eq!(bench.outcomes_of(number), [JobOutcome::Completed]);
}

#[test]
fn test_balance_off() {
    let mut bench = overloaded(false, [0, 0]);
    bench.wait_for_handoff();
    assert_eq!(bench.handed_off(), [0; 0]);
    let reported = bench.actions.iter().any(|a| match a {
        Action::Send(_, body) => match &**body {
            Body::Peer(update) => !update.backlog.is_empty() || update.busy_percent > 0,
            _ => false,
        },
        _ => false,
    });
    assert!(!reported, "its load is not reported either");
}

/// While balancing is off, the loads of peers change no message and no start.
#[test]
fn test_balance_off_same_decisions() {
    let run = |waiting| {
        let mut bench = overloaded(false, waiting);
        for _ in 0..20 {
            bench.advance(20);
            bench.report(Vec::new());
        }
        bench.actions
    };
    assert_eq!(run([0, 0]), run([90_000, 5_000]));
}

#[test]
fn test_balance_even_load() {
    let mut bench = overloaded(true, [32_000, 32_000]);
    bench.wait_for_handoff();
    assert_eq!(bench.handed_off(), [0; 0]);
}

#[test]
fn test_balance_unavailable_peers() {
    let mut bench = overloaded(true, [0, 0]);
    bench.send_peer_update(proto::PeerUpdate {
        busy_percent: 90,
        ..load_update(0)
    });
    bench.send_peer_update_on(
        OTHER_PEER,
        proto::PeerUpdate {
            leaving: true,
            ..load_update(0)
        },
    );
    bench.wait_for_handoff();
    assert_eq!(bench.handed_off(), [0; 0]);
    let mut bench = settled(true);
    bench.advance(250);
    for number in 1..=JOBS {
        bench.submit_estimated(number, number, 4, 300);
    }
    bench.wait_for_handoff();
    assert_eq!(bench.handed_off(), [0; 0], "the peers may be cut off");
}

/// A job is handed off once at most: the receiver lacks capacity, too, and would pass it on.
#[test]
fn test_balance_single_handoff() {
    let mut bench = overloaded(true, [0, 0]);
    bench.wait_for_handoff();
    let (link, _) = bench.first_handed();
    let handed = bench.handed_to(link);
    let mut receiver = settled(true);
    receiver.submit_estimated(1, 100, 4, 100);
    receiver.send_peer_update(proto::PeerUpdate {
        handed,
        ..load_update(0)
    });
    receiver.send_loads([0, 0]);
    receiver.wait_for_handoff();
    receiver.wait_for_handoff();
    assert_eq!(receiver.handed_off(), [0; 0]);
}

/// The objective of a job counts from its arrival at the first scheduler: the peer refuses it at the same
/// time as that scheduler would.
#[test]
fn test_balance_waited_time() {
    let mut bench = overloaded(true, [0, 0]);
    bench.wait_for_handoff();
    let (link, number) = bench.first_handed();
    let handed = bench.handed_to(link).remove(0);
    let refused_after = |waited_ms: u32| {
        let mut receiver = settled(true);
        receiver.submit_estimated(1, 100, 4, 100);
        let job = proto::HandedJob {
            waited_ms,
            ..handed.clone()
        };
        receiver.send_peer_update(proto::PeerUpdate {
            handed: vec![job],
            ..load_update(0)
        });
        let mut ms = 0;
        while !receiver.has_refused(number) {
            receiver.advance(1);
            ms += 1;
        }
        ms
    };
    assert_eq!(refused_after(0), refused_after(30) + 30);
}

impl Bench {
    /// Returns whether a refusal of the job was reported to a peer.
    fn has_refused(&self, number: u64) -> bool {
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
fn test_balance_refusal_by_peer() {
    let mut bench = overloaded(true, [0, 0]);
    bench.wait_for_handoff();
    let (link, number) = bench.first_handed();
    bench.end_job_on(link, number, JobOutcome::Refused(700));
    assert_eq!(bench.outcomes_of(number), [JobOutcome::Refused(700)]);
}

/// A peer that dies or is cut off may have begun the job: it is claimed before it runs here, and never
/// refused.
#[test]
fn test_balance_lost_peer() {
    let mut bench = overloaded(true, [0, 0]);
    bench.wait_for_handoff();
    let (link, number) = bench.first_handed();
    bench.actions.clear();
    bench.scheduler.link_down(bench.now, link);
    bench.collect_actions();
    assert_eq!(bench.starts(), [], "it must be claimed first");
    for _ in 0..400 {
        bench.advance(20);
    }
    let outcomes = bench.outcomes_of(number);
    let refused = outcomes.iter().any(|o| matches!(o, JobOutcome::Refused(_)));
    assert_eq!(outcomes.len(), 1);
    assert!(!refused, "{outcomes:?}");
}

/// A job that is submitted again before the peer has announced it is followed at the peer.
#[test]
fn test_balance_resubmitted_job() {
    let mut bench = overloaded(true, [0, 0]);
    bench.wait_for_handoff();
    let (link, number) = bench.first_handed();
    bench.actions.clear();
    bench.report(Vec::new());
    bench.submit_estimated(50, number, 4, 100);
    assert!(bench.starts().iter().all(|s| s.0 != number));
    bench.end_job_on(link, number, JobOutcome::Completed);
    assert_eq!(bench.outcomes_of(50), [JobOutcome::Completed]);
    assert_eq!(bench.outcomes_of(number), [JobOutcome::Completed]);
}

/// When the caller of a job leaves, the peer is notified and cancels the job.
#[test]
fn test_balance_caller_left() {
    let mut bench = overloaded(true, [0, 0]);
    bench.wait_for_handoff();
    let (link, number) = bench.first_handed();
    let handed = bench.handed_to(link);
    bench.actions.clear();
    let caller = CallerId(number);
    bench
        .scheduler
        .caller_left(bench.now, caller, JobNumber(number));
    bench.collect_actions();
    let unfollowed = bench.actions.iter().any(|a| match a {
        Action::Send(to, body) if *to == link => match &**body {
            Body::Peer(update) => update.unfollow == [number],
            _ => false,
        },
        _ => false,
    });
    assert!(unfollowed);
    let unfollow = handed.iter().map(|h| h.job).collect();
    let mut receiver = settled(true);
    receiver.send_peer_update(proto::PeerUpdate {
        handed,
        ..load_update(0)
    });
    assert!(!receiver.scheduler.is_idle());
    receiver.send_peer_update(proto::PeerUpdate {
        unfollow,
        ..load_update(0)
    });
    assert!(receiver.scheduler.is_idle());
}
