//! Tests of contention control: jobs compete for too little capacity at one scheduler, while peers report the
//! backlog of jobs that wait there. Covers the order of placement, yielding to more urgent work at peers, and
//! refusals.

use std::hash::Hash;
use std::hash::Hasher;

use xxhash_rust::xxh3::Xxh3;

use super::*;

/// The number of ended runs after which the scheduler knows how fast capacity is released, with a margin.
const KNOWN_RUNS: u64 = 40;

fn policy(on: bool) -> Policy {
    let mut policy = Policy::default();
    policy.contention.on = on;
    policy
}

/// Returns a catalog with queues of three priorities besides the default one.
fn queues() -> Catalog {
    let mut catalog = catalog(3);
    for priority in 0..3 {
        let mut queue = catalog.queues[0].clone();
        queue.name = format!("p{priority}");
        queue.priority = priority;
        catalog.queues.push(queue);
    }
    catalog
}

impl Bench {
    /// Returns a scheduler like [`Bench::ready`], with queues of three priorities and a peer.
    fn contending(policy: Policy) -> Bench {
        let mut bench = Bench::with_policy(policy);
        bench.scheduler.set_catalog(bench.now, queues());
        bench.link(EXECUTOR, "e1", true);
        bench.link(PEER, "s2", false);
        for _ in 0..150 {
            bench.send_backlog(&[]);
            bench.report(Vec::new());
            bench.advance(20);
        }
        bench.report(Vec::new());
        bench.actions.clear();
        bench
    }

    /// Returns a scheduler whose executor is full, and that knows how fast capacity is released.
    fn full(policy: Policy) -> Bench {
        let mut bench = Bench::contending(policy);
        for number in 0..KNOWN_RUNS {
            bench.submit_to("p0", 1000 + number, 1);
            bench.end_task_after(task(1000 + number, 0), Duration::from_millis(100));
        }
        bench.report_free(0);
        bench.actions.clear();
        bench
    }

    fn submit_to(&mut self, queue: &str, number: u64, tasks: u32) {
        let request = JobRequest {
            number: JobNumber(number),
            queue: queue.to_owned(),
            spec: Rc::from("x"),
            steps: vec![Step {
                count: tasks,
                demand: Demand {
                    cpu_milli: 1000,
                    memory_mb: 10,
                    gpu: 0,
                },
                estimate_ms: 100,
                ..Step::default()
            }],
            patience_ms: 3000,
            call: Rc::default(),
        };
        self.scheduler.submit(self.now, CallerId(number), request);
        self.collect_actions();
    }

    fn end_task_after(&mut self, task: TaskName, ran: Duration) {
        self.last_end += 1;
        let end = proto::TaskEnd {
            number: self.last_end,
            task: Some(task.proto(1)),
            kind: EndKind::Done.code(),
            ran_us: ran.as_micros() as u64,
            ..proto::TaskEnd::default()
        };
        self.send_update(proto::Update {
            ends: vec![end],
            ..proto::Update::default()
        });
    }

    /// Delivers the executor's report of its free capacity, in thousandths of a core.
    fn report_free(&mut self, cpu_milli: i64) {
        self.clock_us += 1;
        let update = proto::Update {
            clock_us: self.clock_us,
            worker: Some(proto::WorkerReport {
                ready: true,
                free_cpu_milli: cpu_milli,
                free_memory_mb: 1000,
                sequence: 1000,
                ..proto::WorkerReport::default()
            }),
            ..proto::Update::default()
        };
        self.scheduler
            .handle_message(self.now, EXECUTOR, Body::Update(update));
        self.collect_actions();
        self.scheduler.tick(self.now);
        self.collect_actions();
    }

    /// Delivers the peer's backlog: priorities, and the capacity that the waiting jobs of each need.
    fn send_backlog(&mut self, rows: &[(u32, u64)]) {
        self.send_backlog_on(PEER, rows);
    }

    fn send_backlog_on(&mut self, link: LinkId, rows: &[(u32, u64)]) {
        let row = |(priority, cpu_milli): &(u32, u64)| proto::Backlog {
            priority: *priority,
            cpu_milli: *cpu_milli,
            work_milli: *cpu_milli / 10,
            oldest_ms: 10,
        };
        let update = proto::PeerUpdate {
            catalog_version: 3,
            settled: true,
            backlog: rows.iter().map(row).collect(),
            ..proto::PeerUpdate::default()
        };
        self.send_peer_update_on(link, update);
    }

    /// Returns the jobs of which tasks were started.
    fn started(&self) -> Vec<u64> {
        let mut jobs: Vec<u64> = self.starts().iter().map(|s| s.0).collect();
        jobs.dedup();
        jobs
    }

    /// Returns the callers whose jobs were refused.
    fn refused(&self) -> Vec<u64> {
        let refused = self.answers().into_iter();
        let refused = refused.filter(|(_, outcome)| matches!(outcome, JobOutcome::Refused(_)));
        refused.map(|(caller, _)| caller).collect()
    }

    /// Returns how many jobs were ended for a cause.
    fn refusals_for(&self, cause: &str) -> u64 {
        let causes = &self.scheduler.counts().causes;
        causes.get(cause).copied().unwrap_or_default()
    }
}

/// A deterministic random number generator, so that replays are the same each time.
struct Draws(u64);

impl Draws {
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
    }
}

/// Replays five seconds of a load of three priorities that needs twice the capacity of the executor, beside a
/// peer that reports a backlog. Returns a digest of all starts and answers and their times.
fn replay(policy: Policy) -> u64 {
    let mut bench = Bench::contending(policy);
    let mut draws = Draws(7);
    let mut digest = Xxh3::new();
    let mut running: Vec<(Mono, TaskName, u32)> = Vec::new();
    for round in 0..500u64 {
        if round % 5 == 0 {
            bench.send_backlog(&[(0, draws.below(6000)), (2, draws.below(6000))]);
        }
        if draws.below(5) == 0 {
            let queue = format!("p{}", draws.below(3));
            bench.submit_to(&queue, 2000 + round, 1 + draws.below(5) as u32);
        }
        let now = bench.now;
        let due = running.iter().filter(|r| r.0 <= now).copied();
        let due: Vec<(Mono, TaskName, u32)> = due.collect();
        running.retain(|r| r.0 > now);
        for (_, name, _) in &due {
            bench.end_task_after(*name, Duration::from_millis(100));
        }
        bench.report_free(4000 - 1000 * running.len() as i64);
        for (job, index, attempt) in bench.starts() {
            let ends = bench.now + Duration::from_millis(60 + draws.below(80));
            running.push((ends, task(job, index), attempt));
            (round, job, index, attempt).hash(&mut digest);
        }
        for (caller, outcome) in bench.answers() {
            (round, caller, outcome.code()).hash(&mut digest);
        }
        bench.actions.clear();
        bench.advance(10);
    }
    digest.finish()
}

/// The digest of [`replay`] with the decisions of a scheduler that has no contention control.
const BASELINE_DIGEST: u64 = 13_209_058_747_369_664_932;

#[test]
fn test_contention_off_same_decisions() {
    assert_eq!(replay(policy(false)), BASELINE_DIGEST);
}

#[test]
fn test_contention_on_other_decisions() {
    assert_ne!(replay(policy(true)), BASELINE_DIGEST);
}

/// A less urgent job leaves free capacity to urgent work that waits at a peer, and takes it once nothing
/// waits there.
#[test]
fn test_contention_yield_to_urgent_backlog() {
    let mut bench = Bench::contending(policy(true));
    bench.send_backlog(&[(0, 3500)]);
    bench.submit_to("p2", 7, 2);
    assert!(bench.started().is_empty());
    bench.submit_to("p0", 8, 2);
    assert_eq!(bench.started(), [8], "as urgent as the backlog there");
    bench.actions.clear();
    bench.send_backlog(&[]);
    bench.advance(10);
    assert_eq!(bench.started(), [7], "the backlog there is gone");
}

#[test]
fn test_contention_backlog_lost_link() {
    let mut bench = Bench::contending(policy(true));
    bench.send_backlog(&[(0, 100_000)]);
    bench.submit_to("p2", 7, 2);
    assert!(bench.started().is_empty());
    bench.scheduler.link_down(bench.now, PEER);
    bench.advance(10);
    assert_eq!(bench.started(), [7]);
}

/// The peer dies, but its link stays up until it has been silent for long.
#[test]
fn test_contention_backlog_dead_peer() {
    let mut policy = policy(true);
    policy.admission.sure_share = 1.0;
    let mut bench = Bench::contending(policy);
    bench.send_backlog(&[(0, 100_000)]);
    let reported_at = bench.now;
    let mut number = 10;
    while bench.started().is_empty() {
        number += 1;
        bench.submit_to("p2", number, 1);
        bench.report(Vec::new());
        bench.advance(20);
        let waited = bench.now.since(reported_at);
        assert!(waited < Duration::from_millis(400), "held for {waited:?}");
    }
}

/// If equally or more urgent work leaves no capacity in time, the caller is refused at once, and nothing has
/// run.
#[test]
fn test_contention_refusal_large_backlog() {
    for on in [true, false] {
        let mut bench = Bench::full(policy(on));
        bench.send_backlog(&[(0, 2000), (2, 90_000)]);
        bench.submit_to("p2", 7, 2);
        let expected: &[u64] = if on { &[7] } else { &[] };
        assert_eq!(bench.refused(), expected);
        assert_eq!(bench.refusals_for("backlog"), u64::from(on));
        bench.submit_to("p0", 8, 2);
        assert_eq!(bench.refused(), expected, "too little work is ahead of it");
        assert_eq!(bench.starts(), []);
    }
}

/// A backlog report that is older than some heartbeats refuses no job, even while the link is up.
#[test]
fn test_contention_no_refusal_stale_backlog() {
    let mut bench = Bench::full(policy(true));
    bench.send_backlog(&[(0, 90_000)]);
    for _ in 0..25 {
        bench.report_free(0);
        bench.advance(20);
    }
    assert!(bench.scheduler.is_linked("s2"), "its link is up");
    bench.submit_to("p2", 7, 2);
    assert!(bench.refused().is_empty());
}

/// A job that may have run elsewhere is not refused for the backlog, since a refusal promises that it has not
/// run.
#[test]
fn test_contention_no_refusal_resubmitted_job() {
    let mut bench = Bench::full(policy(true));
    bench.announce_on(PEER, 7);
    bench.scheduler.link_down(bench.now, PEER);
    bench.link(OTHER_PEER, "s3", false);
    bench.send_backlog_on(OTHER_PEER, &[(0, 90_000)]);
    bench.submit_to("p2", 7, 2);
    assert!(bench.answers().is_empty());
}

/// Of the capacity for four tasks, three quarters are in use: a job of three tasks does not fit, one of one
/// task does.
#[test]
fn test_contention_smaller_job_overtakes() {
    for on in [true, false] {
        let mut policy = policy(on);
        policy.admission.wide_share = 1.0;
        let mut bench = Bench::contending(policy);
        bench.report_free(1000);
        bench.submit_to("p1", 7, 3);
        bench.submit_to("p1", 8, 1);
        let expected: &[u64] = if on { &[8] } else { &[] };
        assert_eq!(bench.started(), expected);
    }
}

/// Priorities 1 and 2 are separate classes: the more urgent job is placed first, though it arrived later.
#[test]
fn test_contention_priority_order() {
    for on in [true, false] {
        let mut bench = Bench::contending(policy(on));
        bench.report_free(0);
        bench.submit_to("p2", 7, 2);
        bench.advance(1);
        bench.submit_to("p1", 8, 2);
        bench.report_free(2000);
        let expected = if on { [8] } else { [7] };
        assert_eq!(bench.started(), expected);
    }
}

#[test]
fn test_contention_backlog_sent_to_peers() {
    let mut bench = Bench::contending(policy(true));
    bench.report_free(0);
    bench.submit_to("p2", 7, 3);
    bench.submit_to("p1", 8, 1);
    bench.actions.clear();
    for _ in 0..10 {
        bench.advance(10);
    }
    let backlog = bench.actions.iter().find_map(|action| match action {
        Action::Send(PEER, body) => match &**body {
            Body::Peer(update) => Some(update.backlog.clone()),
            _ => None,
        },
        _ => None,
    });
    let backlog = backlog.expect("a heartbeat is sent");
    let rows: Vec<(u32, u64)> = backlog.iter().map(|b| (b.priority, b.cpu_milli)).collect();
    assert_eq!(rows, [(1, 1000), (2, 3000)]);
}
