//! Numbers from executors, peers, callers and the configuration that no clock, counter or capacity reaches.

use super::*;

/// Returns the policies under which more of the numbers are used.
fn policies() -> [Policy; 2] {
    let mut all_on = Policy::default();
    all_on.recovery.on = true;
    all_on.speeds.on = true;
    all_on.contention.on = true;
    all_on.preemption.on = true;
    all_on.balance.on = true;
    [Policy::default(), all_on]
}

/// Returns a scheduler with a catalog, an executor and a peer.
fn linked(policy: Policy) -> Bench {
    let mut bench = Bench::with_policy(policy);
    bench.scheduler.set_catalog(bench.now, catalog(3));
    bench.link(EXECUTOR, "e1", true);
    bench.link(PEER, "s2", false);
    for _ in 0..150 {
        bench.report(Vec::new());
        bench.advance(20);
    }
    bench.report(Vec::new());
    bench
}

/// Submits jobs and lets time pass.
fn go_on(bench: &mut Bench, first: u64) {
    for number in first..first + 3 {
        bench.submit(number, number, 6);
        bench.advance(30);
    }
}

fn extreme_report(free: i64, percent: u32, tasks: &[(u64, u32, u32)]) -> proto::Update {
    let end = |(job, index, attempt): &(u64, u32, u32)| proto::TaskEnd {
        number: u64::MAX,
        task: Some(task(*job, *index).proto(*attempt)),
        kind: EndKind::Crashed.code(),
        ran_us: u64::MAX,
        waited_us: u64::MAX,
        crashes: Some(proto::CrashRecord {
            unsure: u32::MAX,
            ..proto::CrashRecord::default()
        }),
        blame: u32::MAX,
        ..proto::TaskEnd::default()
    };
    proto::Update {
        clock_us: u64::MAX,
        worker: Some(proto::WorkerReport {
            ready: true,
            free_cpu_milli: free,
            free_memory_mb: free,
            free_gpu: free,
            sequence: u64::MAX,
            pace_percent: percent,
            slowness_percent: percent,
            preemptible_cpu_milli: percent,
            ..proto::WorkerReport::default()
        }),
        ends: tasks.iter().map(end).collect(),
        profile: Some(proto::Profile {
            capacity: Some(proto::Demand {
                cpu_milli: percent,
                memory_mb: percent,
                gpu: percent,
            }),
            ..profile(Vec::new())
        }),
        slow: vec![proto::SlowRun {
            task: tasks.first().map(|(j, i, a)| task(*j, *i).proto(*a)),
            remaining_ms: u32::MAX,
        }],
        zone: Some(proto::ZoneState {
            zone: "elsewhere".to_owned(),
            revision: u64::MAX,
            evacuated: true,
        }),
        ..proto::Update::default()
    }
}

/// The report of an executor with extreme numbers must not end the process.
#[test]
fn test_scheduler_executor_extreme_numbers() {
    for policy in policies() {
        for free in [i64::MIN, i64::MIN + 1, i64::MAX] {
            for percent in [0, 1, u32::MAX] {
                let mut bench = linked(policy);
                bench.link(OTHER_EXECUTOR, "e2", true);
                go_on(&mut bench, 1);
                let starts = bench.starts();
                for link in [EXECUTOR, OTHER_EXECUTOR] {
                    let update = Body::Update(extreme_report(free, percent, &starts));
                    bench.scheduler.handle_message(bench.now, link, update);
                    bench.collect_actions();
                    go_on(&mut bench, 10 + link.0 * 10);
                }
            }
        }
    }
}

fn extreme_peer_update(most: u64) -> proto::PeerUpdate {
    let small = most.min(u64::from(u32::MAX)) as u32;
    let backlog = |priority: u32| proto::Backlog {
        priority,
        cpu_milli: most,
        work_milli: most,
        oldest_ms: small,
    };
    let blame = || proto::QueueBlame {
        queue: "q".to_owned(),
        blame: small,
    };
    proto::PeerUpdate {
        settled: true,
        backlog: vec![backlog(0), backlog(1), backlog(u32::MAX)],
        blames: vec![blame(), blame()],
        confined: vec![proto::ConfinedQueue {
            queue: "q".to_owned(),
            remaining_ms: small,
        }],
        busy_percent: small,
        handed: vec![proto::HandedJob {
            job: 900,
            queue: "q".to_owned(),
            steps: vec![proto::JobStep {
                count: 2,
                demand: Some(proto::Demand {
                    cpu_milli: small,
                    memory_mb: small,
                    gpu: 0,
                }),
                estimate_ms: small,
                spread: small,
                ..proto::JobStep::default()
            }],
            patience_ms: most,
            waited_ms: small,
            ..proto::HandedJob::default()
        }],
        silent: vec![proto::SilentExecutor {
            name: "e1".to_owned(),
            owners: vec![most],
            incarnation: 1,
            clock_us: most,
        }],
        kept_cancels: vec![proto::CancelledJob {
            job: 901,
            remaining_ms: small,
        }],
        zones: vec![proto::ZoneState {
            zone: "elsewhere".to_owned(),
            revision: most,
            evacuated: true,
        }],
        ..proto::PeerUpdate::default()
    }
}

/// The update of a peer with extreme numbers must not end the process.
#[test]
fn test_scheduler_peer_extreme_numbers() {
    for policy in policies() {
        for most in [u64::MAX, u64::MAX / 2, u64::from(u32::MAX)] {
            let mut bench = linked(policy);
            bench.link(OTHER_PEER, "s3", false);
            for link in [PEER, OTHER_PEER, PEER] {
                bench.send_peer_update_on(link, extreme_peer_update(most));
                bench.report(Vec::new());
                go_on(&mut bench, 10 + link.0 * 10);
            }
        }
    }
}

/// Submits a job of extreme numbers and checks that ordinary jobs go on.
fn submit_extreme_job(bench: &mut Bench) {
    bench.report(Vec::new());
    let step = Step {
        count: 2,
        demand: Demand {
            cpu_milli: u32::MAX,
            memory_mb: u32::MAX,
            gpu: u32::MAX,
        },
        estimate_ms: u32::MAX,
        spread: u32::MAX,
        ..Step::default()
    };
    let request = JobRequest {
        number: JobNumber(77),
        queue: "q".to_owned(),
        spec: Rc::from("x"),
        steps: vec![step; 400],
        patience_ms: u64::MAX,
        call: Rc::default(),
    };
    bench.scheduler.submit(bench.now, CallerId(77), request);
    bench.collect_actions();
    go_on(bench, 1);
    bench.report(Vec::new());
    assert!(!bench.starts().is_empty(), "ordinary jobs go on");
}

/// A job of extreme numbers must not end the process: any caller can submit one.
#[test]
fn test_scheduler_job_extreme_numbers() {
    for policy in policies() {
        submit_extreme_job(&mut linked(policy));
    }
}

/// Neither must a queue with them, which a configuration can have.
#[test]
fn test_scheduler_queue_extreme_numbers() {
    for policy in policies() {
        for extension in [-1.0, 0.0, 1e30, 1e300] {
            let mut bench = linked(policy);
            let mut next = catalog(9);
            next.queues[0].extension = extension;
            next.queues[0].objective_ms = u32::MAX;
            next.queues[0].priority = u32::MAX;
            next.queues[0].max_attempts = u32::MAX;
            bench.scheduler.set_catalog(bench.now, next);
            submit_extreme_job(&mut bench);
        }
    }
}

/// Returns a scheduler that has started tasks, with a second peer, and those tasks.
fn started(policy: Policy) -> (Bench, Vec<(u64, u32, u32)>) {
    let mut bench = linked(policy);
    bench.link(OTHER_PEER, "s3", false);
    go_on(&mut bench, 1);
    let starts = bench.starts();
    assert!(starts.len() > 1);
    (bench, starts)
}

/// The end or the progress of a task of a step that its job does not have ended the process.
#[test]
fn test_scheduler_executor_unknown_step() {
    let (mut bench, starts) = started(Policy::default());
    let (job, index, attempt) = starts[0];
    let mut odd = task(job, index).proto(attempt);
    odd.step = 9;
    let slow = proto::SlowRun {
        task: Some(odd),
        remaining_ms: 1,
    };
    bench.send_update(proto::Update {
        slow: vec![slow],
        ..proto::Update::default()
    });
    let end = proto::TaskEnd {
        number: 1_000_000,
        task: Some(odd),
        kind: EndKind::Done.code(),
        ran_us: 1000,
        ..proto::TaskEnd::default()
    };
    bench.send_update(proto::Update {
        ends: vec![end],
        ..proto::Update::default()
    });
    go_on(&mut bench, 10);
}

/// The sum of two shares of the blame for crashes, each of the largest size, ended the process.
#[test]
fn test_scheduler_executor_extreme_blames() {
    let (mut bench, starts) = started(Policy::default());
    let end = |n: usize| {
        let (job, index, attempt) = starts[n];
        proto::TaskEnd {
            number: 1_000_000 + n as u64,
            task: Some(task(job, index).proto(attempt)),
            kind: EndKind::Lost.code(),
            blame: u32::MAX,
            ..proto::TaskEnd::default()
        }
    };
    bench.send_update(proto::Update {
        ends: vec![end(0), end(1)],
        ..proto::Update::default()
    });
    go_on(&mut bench, 10);
}

/// The sum of what waits here and at a peer with the largest backlog ended the process.
#[test]
fn test_scheduler_peer_extreme_backlogs() {
    for priorities in [1, 2] {
        let mut policy = Policy::default();
        policy.balance.on = true;
        let mut bench = linked(policy);
        bench.link(OTHER_PEER, "s3", false);
        for number in 1..60 {
            let row = |priority| proto::Backlog {
                priority,
                cpu_milli: u64::MAX,
                work_milli: 1,
                oldest_ms: 1,
            };
            let update = proto::PeerUpdate {
                settled: true,
                busy_percent: 1,
                backlog: (0..priorities).map(row).collect(),
                ..proto::PeerUpdate::default()
            };
            bench.send_peer_update_on(OTHER_PEER, update);
            bench.report(Vec::new());
            bench.submit(number, number, 6);
            bench.advance(20);
        }
    }
}
