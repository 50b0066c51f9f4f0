//! Worker crashes: which runs the executor suspects or proves as the cause, and what it reports about them.

use super::*;

const SUSPECT: proto::CrashRecord = proto::CrashRecord {
    count: 1,
    suspect: true,
    proven: false,
    unsure: 0,
};
const PROVEN: proto::CrashRecord = proto::CrashRecord {
    count: 2,
    suspect: true,
    proven: true,
    unsure: 0,
};

impl Bench {
    /// Confirms the start of a job's first task on behalf of the worker.
    fn confirm_start_of_job(&mut self, job: u64) {
        let reply = OrderReply::Done(1);
        self.executor
            .handle_start_reply(self.now, run(job, 0, 1), reply);
        self.collect_actions();
    }

    /// Orders the start of a task with an earlier crash record.
    fn order_start_with_record(&mut self, link: LinkId, job: u64, crashes: proto::CrashRecord) {
        let task = proto::TaskStart {
            attempt: 1,
            crashes: Some(crashes),
            ..proto::TaskStart::default()
        };
        let start = proto::StartTasks {
            job,
            demand: Some(proto::Demand {
                cpu_milli: 100,
                ..proto::Demand::default()
            }),
            tasks: vec![task],
            slack_ms: 5000,
            ..proto::StartTasks::default()
        };
        let orders = proto::Orders {
            starts: vec![start],
            ..proto::Orders::default()
        };
        self.send_orders(link, orders);
    }

    /// Returns the job, end kind and crash record of each reported end.
    fn crash_records(&self, link: LinkId) -> Vec<(u64, EndKind, Option<proto::CrashRecord>)> {
        let updates = self.updates(link);
        let ends = updates.iter().flat_map(|u| u.ends.iter());
        let row = |e: &proto::TaskEnd| {
            let kind = EndKind::from_code(e.kind).expect("end kind");
            (e.task.expect("a task").job, kind, e.crashes)
        };
        ends.map(row).collect()
    }
}

/// Makes the worker refuse connections until the executor considers it gone.
fn crash_worker(bench: &mut Bench) {
    bench.handle_hold_reply(HoldReply::NoAnswer);
    for _ in 0..20 {
        bench.advance(10);
        bench.handle_hold_reply(HoldReply::Unreachable);
    }
}

/// Returns the details of all log events of a kind.
fn log_details(bench: &Bench, kind: Kind) -> Vec<String> {
    let logged = bench.actions.iter().filter_map(|a| match a {
        Action::Log(event) if event.kind == kind => Some(event.detail.clone()),
        _ => None,
    });
    logged.collect()
}

#[test]
fn test_executor_logs_lost_runs() {
    let mut bench = Bench::ready();
    bench.order_start(ONE, 1, &[0]);
    bench.advance(70);
    bench.order_start(ONE, 2, &[0]);
    bench.advance(10);
    crash_worker(&mut bench);
    let details = log_details(&bench, Kind::RunsLost);
    let [detail] = details.as_slice() else {
        panic!("expected one event: {details:?}");
    };
    let runs = "2 runs, the youngest first: \
                0000000000000002.0.0.0 run 1 10 ms (suspect), \
                0000000000000001.0.0.0 run 1 80 ms (suspect)";
    assert!(detail.contains("it is gone, silent for 160 ms"), "{detail}");
    assert!(detail.ends_with(runs), "{detail}");
}

#[test]
fn test_executor_logs_runs_of_replaced_incarnation() {
    let mut bench = Bench::ready();
    bench.order_start(ONE, 1, &[0]);
    bench.advance(30);
    bench.start_incarnation("w2");
    let details = log_details(&bench, Kind::RunsLost);
    assert_eq!(details.len(), 1);
    assert!(details[0].contains("w1: another incarnation has registered"));
}

#[test]
fn test_executor_crash_suspects() {
    let mut bench = Bench::ready();
    bench.order_start(ONE, 1, &[0]);
    bench.advance(100);
    bench.report_lists_at(50, &[run(1, 0, 1)], Vec::new());
    bench.advance(150);
    bench.report_lists_at(60, &[run(1, 0, 1)], Vec::new());
    bench.order_start(ONE, 2, &[0]);
    bench.confirm_start_of_job(2);
    bench.advance(10);
    crash_worker(&mut bench);
    let bystander = proto::CrashRecord {
        count: 1,
        ..proto::CrashRecord::default()
    };
    let expected = [
        (1, EndKind::Crashed, Some(bystander)),
        (2, EndKind::Crashed, Some(SUSPECT)),
    ];
    assert_eq!(bench.crash_records(ONE), expected);
}

#[test]
fn test_executor_second_crash_proves_suspect() {
    let mut bench = Bench::ready();
    bench.order_start(ONE, 1, &[0]);
    bench.order_start_with_record(ONE, 2, SUSPECT);
    bench.confirm_start_of_job(1);
    bench.confirm_start_of_job(2);
    crash_worker(&mut bench);
    let cause = (2, EndKind::Crashed, Some(PROVEN));
    assert_eq!(bench.crash_records(ONE)[1], cause);
    assert_matches!(
        bench.crash_records(ONE)[0].2,
        Some(r) if !r.suspect,
        "the run that started beside it is not suspected"
    );
}

/// A task that crashes its worker immediately leaves its own start unanswered; the run must still be
/// suspected.
#[test]
fn test_executor_unanswered_start_is_suspect() {
    let mut bench = Bench::ready();
    bench.order_start(ONE, 1, &[0]);
    bench
        .executor
        .handle_start_reply(bench.now, run(1, 0, 1), OrderReply::NoAnswer);
    crash_worker(&mut bench);
    let unsure = proto::CrashRecord {
        count: 0,
        unsure: 1,
        ..SUSPECT
    };
    assert_eq!(
        bench.crash_records(ONE),
        [(1, EndKind::Crashed, Some(unsure))]
    );
}

#[test]
fn test_executor_draining_worker_no_blame() {
    let mut bench = Bench::ready();
    bench.order_start(ONE, 1, &[0]);
    bench.send_heartbeat("w1", true, 2);
    crash_worker(&mut bench);
    assert_eq!(bench.crash_records(ONE), [(1, EndKind::Lost, None)]);
}

#[test]
fn test_executor_silent_worker_no_blame() {
    let mut bench = Bench::ready();
    bench.order_start(ONE, 1, &[0]);
    for _ in 0..200 {
        bench.advance(10);
        bench.send_orders(ONE, proto::Orders::default());
        bench.handle_hold_reply(HoldReply::NoAnswer);
    }
    assert_eq!(bench.crash_records(ONE), [(1, EndKind::Lost, None)]);
}

#[test]
fn test_executor_one_suspect_at_a_time() {
    let mut bench = Bench::ready();
    bench.order_start_with_record(ONE, 1, SUSPECT);
    bench.order_start_with_record(ONE, 2, SUSPECT);
    bench.order_start(ONE, 3, &[0]);
    assert_eq!(bench.sent_starts(), [run(1, 0, 1), run(3, 0, 1)]);
    bench.advance(250);
    assert_eq!(bench.sent_starts().last(), Some(&run(2, 0, 1)));
}

#[test]
fn test_executor_rejects_proven_task() {
    let mut bench = Bench::ready();
    bench.order_start_with_record(ONE, 1, PROVEN);
    assert_eq!(bench.sent_starts(), []);
    assert_eq!(
        bench.crash_records(ONE),
        [(1, EndKind::Crashed, Some(PROVEN))]
    );
}

/// The scheduler that knew of a task's crashes may be lost. Without a report from the executor, the claimant
/// would run the task as if it had never crashed a worker.
#[test]
fn test_executor_reports_crashes_to_claimant() {
    let mut bench = Bench::ready();
    bench.order_start(ONE, 1, &[0]);
    bench.confirm_start_of_job(1);
    crash_worker(&mut bench);
    bench.link_up(TWO, "two");
    bench.claim(TWO, 1);
    for _ in 0..3 {
        bench.advance(400);
        bench.send_orders(TWO, proto::Orders::default());
    }
    let known = bench.updates(TWO).into_iter().flat_map(|u| u.crashed);
    let known: Vec<proto::CrashedTask> = known.collect();
    assert_eq!(known.len(), 1);
    assert_eq!(known[0].record, Some(SUSPECT));
    bench.start_incarnation("w2");
    bench.order_start(TWO, 1, &[0]);
    bench.confirm_start_of_job(1);
    bench.advance(10);
    crash_worker(&mut bench);
    assert_eq!(
        bench.crash_records(TWO),
        [(1, EndKind::Crashed, Some(PROVEN))]
    );
}

#[test]
fn test_executor_crash_memory_bounded() {
    let mut bench = Bench::ready();
    for incarnation in 0..600u64 {
        bench.order_start(ONE, 1000 + incarnation, &[0, 1]);
        bench.advance(10);
        bench.start_incarnation(&format!("x{incarnation}"));
    }
    let is_crashed = |r: &(u64, EndKind, Option<proto::CrashRecord>)| r.1 == EndKind::Crashed;
    assert!(
        bench
            .crash_records(ONE)
            .iter()
            .filter(|r| is_crashed(r))
            .count()
            >= 1000
    );
    bench.claim(ONE, 1000);
    bench.claim(ONE, 1599);
    let reported = bench.updates(ONE).into_iter().flat_map(|u| u.crashed);
    let jobs: Vec<u64> = reported.map(|t| t.task.expect("a task").job).collect();
    assert_eq!(jobs, [1599, 1599], "the oldest records are dropped");
}

/// The executor keeps asking a worker that refuses connections. If each refusal postponed the time after
/// which no run can be left, no job could be claimed until the worker returned.
#[test]
fn test_executor_claim_confirmed_worker_unreachable() {
    let mut bench = Bench::ready();
    bench.order_start(ONE, 1, &[0]);
    bench.confirm_start_of_job(1);
    crash_worker(&mut bench);
    bench.link_up(TWO, "two");
    bench.claim(TWO, 1);
    for _ in 0..12 {
        bench.advance(100);
        bench.send_orders(TWO, proto::Orders::default());
        bench.handle_hold_reply(HoldReply::Unreachable);
    }
    let claimed = bench.updates(TWO).into_iter().flat_map(|u| u.claimed);
    assert_eq!(claimed.collect::<Vec<u64>>(), [1]);
}

/// A task whose start gets no answer is stopped, and can crash its worker after the stop was confirmed. Not
/// counted, such crashes would go on for as long as the worker loses answers.
#[test]
fn test_executor_stopped_run_is_suspect() {
    let mut bench = Bench::ready();
    bench.order_start(ONE, 1, &[0]);
    let name = run(1, 0, 1);
    bench
        .executor
        .handle_start_reply(bench.now, name, OrderReply::NoAnswer);
    bench
        .executor
        .handle_stop_reply(bench.now, name, OrderReply::Done(1));
    bench.collect_actions();
    crash_worker(&mut bench);
    let unsure = proto::CrashRecord {
        suspect: true,
        unsure: 1,
        ..proto::CrashRecord::default()
    };
    let expected = [(1, EndKind::Crashed, Some(unsure))];
    assert_eq!(bench.crash_records(ONE), expected);
}
