//! Jobs that compete for too little room, at one scheduler beside peers that tell what waits at them.

use std::hash::Hash;
use std::hash::Hasher;

use xxhash_rust::xxh3::Xxh3;

use super::*;

/// Runs that must have ended before the scheduler concludes anything from them, with some to spare.
const KNOWN_RUNS: u64 = 40;

fn policy(on: bool) -> Policy {
    let mut policy = Policy::default();
    policy.contention.on = on;
    policy
}

/// Queues of three priorities.
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
    /// Like [`Bench::ready`], with queues of three priorities and a peer.
    fn contending(policy: Policy) -> Bench {
        let mut bench = Bench::with_policy(policy);
        bench.scheduler.set_catalog(bench.now, queues());
        bench.link(EXECUTOR, "e1", true);
        bench.link(PEER, "s2", false);
        for _ in 0..150 {
            bench.tell(&[]);
            bench.report(Vec::new());
            bench.advance(20);
        }
        bench.report(Vec::new());
        bench.actions.clear();
        bench
    }

    /// One whose executor is full with jobs of the most urgent queue, and that knows how long runs take.
    fn full(policy: Policy) -> Bench {
        let mut bench = Bench::contending(policy);
        for number in 0..KNOWN_RUNS {
            bench.submit_to("p0", 1000 + number, 1);
            bench.end_task_after(task(1000 + number, 0), Duration::from_millis(100));
        }
        bench.free(0);
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

    /// The executor reports so much free room, in thousandths of a core.
    fn free(&mut self, cpu_milli: i64) {
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
            .message(self.now, EXECUTOR, Body::Update(update));
        self.collect_actions();
        self.scheduler.tick(self.now);
        self.collect_actions();
    }

    /// The peer tells what waits at it: priorities and the room that they need.
    fn tell(&mut self, rows: &[(u32, u64)]) {
        self.tell_on(PEER, rows);
    }

    fn tell_on(&mut self, link: LinkId, rows: &[(u32, u64)]) {
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

    fn started(&self) -> Vec<u64> {
        let mut jobs: Vec<u64> = self.starts().iter().map(|s| s.0).collect();
        jobs.dedup();
        jobs
    }

    fn refused(&self) -> Vec<u64> {
        let refused = self.answers().into_iter();
        let refused = refused.filter(|(_, outcome)| matches!(outcome, JobOutcome::Refused(_)));
        refused.map(|(caller, _)| caller).collect()
    }

    fn refusals_for(&self, cause: &str) -> u64 {
        let causes = &self.scheduler.counts().causes;
        causes.get(cause).copied().unwrap_or_default()
    }
}

/// Draws for a replayed load, the same each time.
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

/// A load of twice the room of the executor for five seconds, of three priorities, beside a peer that tells a backlog:
/// a digest of what was started when, and of what callers were answered when.
fn replay(policy: Policy) -> u64 {
    let mut bench = Bench::contending(policy);
    let mut draws = Draws(7);
    let mut digest = Xxh3::new();
    let mut running: Vec<(Mono, TaskName, u32)> = Vec::new();
    for round in 0..500u64 {
        if round % 5 == 0 {
            bench.tell(&[(0, draws.below(6000)), (2, draws.below(6000))]);
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
        bench.free(4000 - 1000 * running.len() as i64);
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

/// What [`replay`] gave before schedulers told each other what waits.
const REPLAYED: u64 = 13_209_058_747_369_664_932;

#[test]
fn test_contention_off_decides_as_without_it() {
    assert_eq!(replay(policy(false)), REPLAYED);
}

#[test]
fn test_contention_on_decides_otherwise() {
    assert_ne!(replay(policy(true)), REPLAYED);
}

/// A patient job leaves room that urgent work at a peer waits for; the same job takes it where there is room for both.
#[test]
fn test_contention_yields_room_to_urgent_work_at_a_peer() {
    let mut bench = Bench::contending(policy(true));
    bench.tell(&[(0, 3500)]);
    bench.submit_to("p2", 7, 2);
    assert!(bench.started().is_empty());
    bench.submit_to("p0", 8, 2);
    assert_eq!(bench.started(), [8], "as urgent as what waits there");
    bench.actions.clear();
    bench.tell(&[]);
    bench.advance(10);
    assert_eq!(bench.started(), [7], "nothing waits there any more");
}

#[test]
fn test_contention_forgets_the_backlog_of_a_peer_whose_link_is_cut() {
    let mut bench = Bench::contending(policy(true));
    bench.tell(&[(0, 100_000)]);
    bench.submit_to("p2", 7, 2);
    assert!(bench.started().is_empty());
    bench.scheduler.link_down(bench.now, PEER);
    bench.advance(10);
    assert_eq!(bench.started(), [7]);
}

/// The peer dies without a word: its link stays up until it has been silent for long.
#[test]
fn test_contention_does_not_wait_for_a_peer_that_died_after_it_told_a_backlog() {
    let mut policy = policy(true);
    policy.admission.sure_share = 1.0;
    let mut bench = Bench::contending(policy);
    bench.tell(&[(0, 100_000)]);
    let told = bench.now;
    let mut number = 10;
    while bench.started().is_empty() {
        number += 1;
        bench.submit_to("p2", number, 1);
        bench.report(Vec::new());
        bench.advance(20);
        let waited = bench.now.since(told);
        assert!(waited < Duration::from_millis(400), "held for {waited:?}");
    }
}

/// What waits as urgent, or more so, leaves no room in time: the caller hears so at once, and that nothing has run.
#[test]
fn test_contention_refuses_at_once_what_a_backlog_leaves_no_time_for() {
    for on in [true, false] {
        let mut bench = Bench::full(policy(on));
        bench.tell(&[(0, 2000), (2, 90_000)]);
        bench.submit_to("p2", 7, 2);
        let expected: &[u64] = if on { &[7] } else { &[] };
        assert_eq!(bench.refused(), expected);
        assert_eq!(bench.refusals_for("backlog"), u64::from(on));
        bench.submit_to("p0", 8, 2);
        assert_eq!(bench.refused(), expected, "too little is ahead of it");
        assert_eq!(bench.starts(), []);
    }
}

/// Reports of the backlog that are older than some heartbeats refuse nobody, while the link is still up.
#[test]
fn test_contention_refuses_nobody_for_an_old_backlog() {
    let mut bench = Bench::full(policy(true));
    bench.tell(&[(0, 90_000)]);
    for _ in 0..25 {
        bench.free(0);
        bench.advance(20);
    }
    assert!(bench.scheduler.is_linked("s2"), "its link is up");
    bench.submit_to("p2", 7, 2);
    assert!(bench.refused().is_empty());
}

/// A job that may have run elsewhere is not refused for the backlog: it can't be said that it has not run.
#[test]
fn test_contention_does_not_refuse_a_job_that_may_have_run() {
    let mut bench = Bench::full(policy(true));
    bench.announce_on(PEER, 7);
    bench.scheduler.link_down(bench.now, PEER);
    bench.link(OTHER_PEER, "s3", false);
    bench.tell_on(OTHER_PEER, &[(0, 90_000)]);
    bench.submit_to("p2", 7, 2);
    assert!(bench.answers().is_empty());
}

/// Four tasks' room, of which three are in use: a job of three tasks does not fit, one of a single task does.
#[test]
fn test_contention_goes_on_behind_a_job_that_does_not_fit() {
    for on in [true, false] {
        let mut policy = policy(on);
        policy.admission.wide_share = 1.0;
        let mut bench = Bench::contending(policy);
        bench.free(1000);
        bench.submit_to("p1", 7, 3);
        bench.submit_to("p1", 8, 1);
        let expected: &[u64] = if on { &[8] } else { &[] };
        assert_eq!(bench.started(), expected);
    }
}

/// Priorities 1 and 2 are not one class: the more urgent goes first, though the other came before.
#[test]
fn test_contention_orders_all_priorities() {
    for on in [true, false] {
        let mut bench = Bench::contending(policy(on));
        bench.free(0);
        bench.submit_to("p2", 7, 2);
        bench.advance(1);
        bench.submit_to("p1", 8, 2);
        bench.free(2000);
        let expected = if on { [8] } else { [7] };
        assert_eq!(bench.started(), expected);
    }
}

#[test]
fn test_contention_tells_peers_what_waits() {
    let mut bench = Bench::contending(policy(true));
    bench.free(0);
    bench.submit_to("p2", 7, 3);
    bench.submit_to("p1", 8, 1);
    bench.actions.clear();
    for _ in 0..10 {
        bench.advance(10);
    }
    let told = bench.actions.iter().find_map(|action| match action {
        Action::Send(PEER, body) => match &**body {
            Body::Peer(update) => Some(update.backlog.clone()),
            _ => None,
        },
        _ => None,
    });
    let told = told.expect("a heartbeat");
    let rows: Vec<(u32, u64)> = told.iter().map(|b| (b.priority, b.cpu_milli)).collect();
    assert_eq!(rows, [(1, 1000), (2, 3000)]);
}
