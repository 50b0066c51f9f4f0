//! Workers that crash, and what is told of the runs that were there.

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
    /// The worker confirms the start of a job's first task.
    fn confirm(&mut self, job: u64) {
        let reply = OrderReply::Done(1);
        self.executor
            .handle_start_reply(self.now, run(job, 0, 1), reply);
        self.take();
    }

    /// Sends a task of which something is known.
    fn start_known(&mut self, link: LinkId, job: u64, crashes: proto::CrashRecord) {
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
        self.orders(link, orders);
    }

    /// What became of jobs, and what is known of their tasks.
    fn records(&self, link: LinkId) -> Vec<(u64, EndKind, Option<proto::CrashRecord>)> {
        let updates = self.updates(link);
        let ends = updates.iter().flat_map(|u| u.ends.iter());
        let row = |e: &proto::TaskEnd| {
            let kind = EndKind::from_code(e.kind).expect("a kind");
            (e.task.expect("a task").job, kind, e.crashes)
        };
        ends.map(row).collect()
    }
}

/// Lets a worker that refuses connections from now on be taken for gone.
fn crash(bench: &mut Bench) {
    bench.handle_hold_reply(HoldReply::NoAnswer);
    for _ in 0..20 {
        bench.pass(10);
        bench.handle_hold_reply(HoldReply::Unreachable);
    }
}

fn details(bench: &Bench, kind: Kind) -> Vec<String> {
    let told = bench.actions.iter().filter_map(|a| match a {
        Action::Log(event) if event.kind == kind => Some(event.detail.clone()),
        _ => None,
    });
    told.collect()
}

#[test]
fn test_executor_lists_what_ran_at_a_worker_that_is_gone() {
    let mut bench = Bench::ready();
    bench.start(ONE, 1, &[0]);
    bench.pass(70);
    bench.start(ONE, 2, &[0]);
    bench.pass(10);
    crash(&mut bench);
    let told = details(&bench, Kind::RunsLost);
    let [told] = told.as_slice() else {
        panic!("told {told:?}");
    };
    let runs = "2 runs, the youngest first: \
                0000000000000002.0.0.0 run 1 10 ms (suspect), \
                0000000000000001.0.0.0 run 1 80 ms (suspect)";
    assert!(told.contains("it is gone, silent for 150 ms"), "{told}");
    assert!(told.ends_with(runs), "{told}");
}

#[test]
fn test_executor_lists_what_ran_in_a_life_that_another_one_has_followed() {
    let mut bench = Bench::ready();
    bench.start(ONE, 1, &[0]);
    bench.pass(30);
    bench.new_life("w2");
    let told = details(&bench, Kind::RunsLost);
    assert_eq!(told.len(), 1);
    assert!(told[0].contains("w1: another life has registered"));
}

#[test]
fn test_executor_tells_which_runs_may_have_crashed_their_worker() {
    let mut bench = Bench::ready();
    bench.start(ONE, 1, &[0]);
    bench.pass(100);
    bench.lists_at(50, &[run(1, 0, 1)], Vec::new());
    bench.pass(150);
    bench.lists_at(60, &[run(1, 0, 1)], Vec::new());
    bench.start(ONE, 2, &[0]);
    bench.confirm(2);
    bench.pass(10);
    crash(&mut bench);
    let passenger = proto::CrashRecord {
        count: 1,
        ..proto::CrashRecord::default()
    };
    let told = [
        (1, EndKind::Crashed, Some(passenger)),
        (2, EndKind::Crashed, Some(SUSPECT)),
    ];
    assert_eq!(bench.records(ONE), told);
}

#[test]
fn test_executor_proves_a_suspect_by_a_second_crash() {
    let mut bench = Bench::ready();
    bench.start(ONE, 1, &[0]);
    bench.start_known(ONE, 2, SUSPECT);
    bench.confirm(1);
    bench.confirm(2);
    crash(&mut bench);
    let cause = (2, EndKind::Crashed, Some(PROVEN));
    assert_eq!(bench.records(ONE)[1], cause);
    assert_matches!(
        bench.records(ONE)[0].2,
        Some(r) if !r.suspect,
        "what began beside it is not suspected"
    );
}

/// The start of a task that crashes its worker at once gets no answer.
#[test]
fn test_executor_suspects_a_run_whose_start_got_no_answer() {
    let mut bench = Bench::ready();
    bench.start(ONE, 1, &[0]);
    bench
        .executor
        .handle_start_reply(bench.now, run(1, 0, 1), OrderReply::NoAnswer);
    crash(&mut bench);
    let unsure = proto::CrashRecord {
        count: 0,
        unsure: 1,
        ..SUSPECT
    };
    assert_eq!(bench.records(ONE), [(1, EndKind::Crashed, Some(unsure))]);
}

#[test]
fn test_executor_blames_nobody_for_a_worker_that_leaves() {
    let mut bench = Bench::ready();
    bench.start(ONE, 1, &[0]);
    bench.heartbeat("w1", true, 2);
    crash(&mut bench);
    assert_eq!(bench.records(ONE), [(1, EndKind::Lost, None)]);
}

#[test]
fn test_executor_blames_nobody_for_a_worker_that_is_only_silent() {
    let mut bench = Bench::ready();
    bench.start(ONE, 1, &[0]);
    for _ in 0..200 {
        bench.pass(10);
        bench.orders(ONE, proto::Orders::default());
        bench.handle_hold_reply(HoldReply::NoAnswer);
    }
    assert_eq!(bench.records(ONE), [(1, EndKind::Lost, None)]);
}

#[test]
fn test_executor_tries_one_suspect_at_a_time() {
    let mut bench = Bench::ready();
    bench.start_known(ONE, 1, SUSPECT);
    bench.start_known(ONE, 2, SUSPECT);
    bench.start(ONE, 3, &[0]);
    assert_eq!(bench.started(), [run(1, 0, 1), run(3, 0, 1)]);
    bench.pass(250);
    assert_eq!(bench.started().last(), Some(&run(2, 0, 1)));
}

#[test]
fn test_executor_does_not_start_a_task_that_is_the_cause() {
    let mut bench = Bench::ready();
    bench.start_known(ONE, 1, PROVEN);
    assert_eq!(bench.started(), []);
    assert_eq!(bench.records(ONE), [(1, EndKind::Crashed, Some(PROVEN))]);
}

/// A claimant may never have heard of the task: its scheduler was lost with what it knew.
#[test]
fn test_executor_tells_a_claimant_what_it_knows_of_the_tasks() {
    let mut bench = Bench::ready();
    bench.start(ONE, 1, &[0]);
    bench.confirm(1);
    crash(&mut bench);
    bench.link(TWO, "two");
    bench.claim(TWO, 1);
    for _ in 0..3 {
        bench.pass(400);
        bench.orders(TWO, proto::Orders::default());
    }
    let known = bench.updates(TWO).into_iter().flat_map(|u| u.crashed);
    let known: Vec<proto::CrashedTask> = known.collect();
    assert_eq!(known.len(), 1);
    assert_eq!(known[0].record, Some(SUSPECT));
    bench.new_life("w2");
    bench.start(TWO, 1, &[0]);
    bench.confirm(1);
    bench.pass(10);
    crash(&mut bench);
    assert_eq!(bench.records(TWO), [(1, EndKind::Crashed, Some(PROVEN))]);
}

#[test]
fn test_executor_remembers_a_bounded_number_of_tasks() {
    let mut bench = Bench::ready();
    for life in 0..600u64 {
        bench.start(ONE, 1000 + life, &[0, 1]);
        bench.pass(10);
        bench.new_life(&format!("x{life}"));
    }
    let proven = |r: &(u64, EndKind, Option<proto::CrashRecord>)| r.1 == EndKind::Crashed;
    assert!(bench.records(ONE).iter().filter(|r| proven(r)).count() >= 1000);
    bench.claim(ONE, 1000);
    bench.claim(ONE, 1599);
    let told = bench.updates(ONE).into_iter().flat_map(|u| u.crashed);
    let jobs: Vec<u64> = told.map(|t| t.task.expect("a task").job).collect();
    assert_eq!(jobs, [1599, 1599], "the oldest are forgotten");
}

/// A worker that is gone is asked on, and refuses on. While each refusal put off the time from which nothing can run there, no
/// job could be claimed until the worker was back.
#[test]
fn test_executor_confirms_claims_while_its_worker_is_gone() {
    let mut bench = Bench::ready();
    bench.start(ONE, 1, &[0]);
    bench.confirm(1);
    crash(&mut bench);
    bench.link(TWO, "two");
    bench.claim(TWO, 1);
    for _ in 0..12 {
        bench.pass(100);
        bench.orders(TWO, proto::Orders::default());
        bench.handle_hold_reply(HoldReply::Unreachable);
    }
    let claimed = bench.updates(TWO).into_iter().flat_map(|u| u.claimed);
    assert_eq!(claimed.collect::<Vec<u64>>(), [1]);
}
