//! A worker that is started again under the id that it had.
//!
//! Four workers were down for two seconds and came back under their ids. Each then counts its heartbeats and the ends
//! of its runs from 1 again, but the executor told lives apart by the id alone, so it compared the new counts with
//! the old ones. The first heartbeat was dropped ("i-026e9baab9 number 1, after 17", SC426), and in the same
//! millisecond the worker took tasks again (SC421) without a life having ended (SC423). One of them said soon after that
//! it leaves; that was acknowledged, dropped as old as well, and tasks were started there 2.0 s later. At another one
//! 2,370 ends had been taken note of before: of the next 1,858 runs not one counted as done, since their ends had lower
//! numbers, and each ran again elsewhere, until the executor itself was started anew 37 s later.

use super::*;

impl Bench {
    /// The worker says something in the life that began at a time.
    fn beat_born(&mut self, born: u64, draining: bool, sequence: u64) {
        let heartbeat = WorkerHeartbeat {
            life: WorkerIncarnation {
                id: "w1".to_owned(),
                born: Some(born),
            },
            service: "s".to_owned(),
            draining,
            capacity: Demand {
                cpu_milli: 2000,
                memory_mb: 1000,
                gpu: 0,
            },
            sequence,
            ..WorkerHeartbeat::default()
        };
        self.executor.handle_heartbeat(self.now, heartbeat);
        self.take();
    }

    /// The worker's lists in the life that began at a time.
    fn lists_born(&mut self, born: u64, running: &[RunName], finished: Vec<FinishedRow>) {
        let row = |run: &RunName| RunningRow {
            run: *run,
            percent: 0,
        };
        self.handle_hold_reply(HoldReply::Lists {
            born: Some(born),
            clock_ms: 1000,
            running: running.iter().map(row).collect(),
            finished,
        });
    }

    /// A worker that began at 100 and has ended nine runs.
    fn used() -> Bench {
        let mut bench = Bench::new();
        bench.beat_born(100, false, 17);
        bench.lists_born(100, &[], Vec::new());
        bench.link(ONE, "one");
        bench.start(ONE, 1, &[0]);
        let reply = OrderReply::Done(1);
        bench
            .executor
            .handle_start_reply(bench.now, run(1, 0, 1), reply);
        let end = finished(9, run(1, 0, 1), RunEnd::Done);
        bench.lists_born(100, &[], vec![end]);
        bench
    }

    /// The same, gone for a moment and back in the life that began at a time.
    fn restarted(born: u64) -> Bench {
        let mut bench = Bench::used();
        for _ in 0..20 {
            bench.handle_hold_reply(HoldReply::Unreachable);
            bench.orders(ONE, proto::Orders::default());
            bench.pass(100);
        }
        bench.beat_born(born, false, 1);
        for _ in 0..3 {
            bench.lists_born(born, &[], Vec::new());
        }
        bench.pass(20);
        bench
    }
}

#[test]
fn test_executor_goes_by_the_counts_of_a_restarted_worker() {
    let mut bench = Bench::restarted(200);
    bench.start(ONE, 2, &[0]);
    let reply = OrderReply::Done(1);
    bench
        .executor
        .handle_start_reply(bench.now, run(2, 0, 1), reply);
    let end = finished(1, run(2, 0, 1), RunEnd::Done);
    bench.lists_born(200, &[], vec![end]);
    let ends = bench.ends(ONE);
    bench.beat_born(200, true, 2);
    bench.start(ONE, 3, &[0]);
    let before = [run(1, 0, 1), run(2, 0, 1)];
    assert_eq!(bench.started(), before, "it has said that it leaves");
    assert_eq!(ends, [(1, EndKind::Done), (2, EndKind::Done)]);
}

/// A life that began earlier by the time of day is the later one if the worker's clock was set back meanwhile.
#[test]
fn test_executor_believes_a_restarted_worker_whose_clock_was_set_back() {
    let mut bench = Bench::restarted(50);
    bench.start(ONE, 2, &[0]);
    let reply = OrderReply::Done(1);
    bench
        .executor
        .handle_start_reply(bench.now, run(2, 0, 1), reply);
    let end = finished(1, run(2, 0, 1), RunEnd::Done);
    bench.lists_born(50, &[], vec![end]);
    assert_eq!(bench.ends(ONE)[1], (2, EndKind::Done));
}

/// A heartbeat of the life before that was held up on the way says that it leaves, and has a higher number.
#[test]
fn test_executor_late_heartbeat_of_the_life_before_changes_nothing() {
    let mut bench = Bench::restarted(200);
    bench.start(ONE, 2, &[0]);
    let reply = OrderReply::Done(1);
    bench
        .executor
        .handle_start_reply(bench.now, run(2, 0, 1), reply);
    bench.beat_born(100, true, 18);
    for _ in 0..2 {
        bench.lists_born(200, &[run(2, 0, 1)], Vec::new());
    }
    bench.start(ONE, 3, &[0]);
    assert_eq!(bench.started().len(), 3);
    assert_eq!(bench.ends(ONE).len(), 1, "nothing has ended");
    assert_eq!(bench.executor.counts().rejected_heartbeats, 1);
}

/// Orders are sent between the restart and the first word of the new life, and reach it.
#[test]
fn test_executor_keeps_a_run_that_a_restarted_worker_began_before_it_was_known() {
    let mut bench = Bench::used();
    bench.start(ONE, 2, &[0]);
    bench.start(ONE, 3, &[0]);
    for job in [2, 3] {
        let reply = OrderReply::Done(1);
        bench
            .executor
            .handle_start_reply(bench.now, run(job, 0, 1), reply);
    }
    bench.beat_born(200, false, 1);
    for _ in 0..2 {
        bench.lists_born(200, &[run(3, 0, 1)], Vec::new());
    }
    bench.pass(20);
    assert_eq!(bench.ends(ONE)[1..], [(2, EndKind::Crashed)]);
    assert_eq!(bench.stopped(), []);
    let end = finished(1, run(3, 0, 1), RunEnd::Done);
    bench.lists_born(200, &[], vec![end]);
    assert_eq!(bench.ends(ONE)[2..], [(3, EndKind::Done)]);
}

/// Its lists tell of the new life first. It may be of another kind, with less room.
#[test]
fn test_executor_starts_nothing_in_a_life_that_has_not_said_what_it_has() {
    let mut bench = Bench::used();
    bench.handle_hold_reply(HoldReply::NoAnswer);
    for _ in 0..2 {
        bench.lists_born(200, &[], Vec::new());
    }
    bench.start(ONE, 2, &[0]);
    assert_eq!(bench.started().len(), 1);
    bench.beat_born(200, false, 1);
    bench.start(ONE, 3, &[0]);
    assert_eq!(bench.started().len(), 2);
}

/// The worker has started again while a hold is under way: calls reach a life whose room is not known.
#[test]
fn test_executor_starts_nothing_while_it_asks_which_life_it_is() {
    let mut bench = Bench::used();
    bench.beat_born(200, false, 1);
    bench.start(ONE, 2, &[0]);
    assert_eq!(bench.started().len(), 1);
}

/// The word that the life before has left comes late. What runs now would be begun elsewhere at the same time.
#[test]
fn test_executor_late_leave_of_the_life_before_ends_no_run() {
    let mut bench = Bench::restarted(200);
    bench.start(ONE, 2, &[0]);
    let reply = OrderReply::Done(1);
    bench
        .executor
        .handle_start_reply(bench.now, run(2, 0, 1), reply);
    for leaves in [false, true] {
        bench.beat_born(200, leaves, 2);
        bench.executor.handle_worker_left(bench.now, "w1");
        bench.lists_born(200, &[run(2, 0, 1)], Vec::new());
        bench.pass(20);
        assert_eq!(bench.ends(ONE).len(), 1, "only that of before");
    }
}

/// What was kept of a worker in the store is of the life before: its room may have been another.
#[test]
fn test_executor_recalls_no_life_that_is_over_under_the_same_id() {
    let mut bench = Bench::new();
    let heartbeat = WorkerHeartbeat {
        life: WorkerIncarnation {
            id: "w1".to_owned(),
            born: Some(100),
        },
        service: "s".to_owned(),
        ..WorkerHeartbeat::default()
    };
    bench.executor.restore_worker(bench.now, heartbeat);
    bench.take();
    bench.lists_born(200, &[], Vec::new());
    bench.link(ONE, "one");
    bench.start(ONE, 1, &[0]);
    assert_eq!(bench.started(), []);
    bench.beat_born(200, false, 1);
    for _ in 0..2 {
        bench.lists_born(200, &[], Vec::new());
    }
    bench.start(ONE, 2, &[0]);
    assert_eq!(bench.started(), [run(2, 0, 1)]);
}

/// In one life a worker that leaves does not come back, so that its word counts also if it was held up.
#[test]
fn test_executor_takes_note_of_a_late_word_that_the_worker_leaves() {
    let mut bench = Bench::used();
    bench.beat_born(100, true, 16);
    bench.start(ONE, 2, &[0]);
    assert_eq!(bench.started().len(), 1);
}

/// The token begins with the time of day, and the clock was set back by an hour while the executor was away.
#[test]
fn test_executor_passes_the_fence_of_its_earlier_life_within_some_calls() {
    let seen = 3_600_000;
    let mut bench = Bench::new();
    bench.beat_born(100, false, 1);
    let mut refused = 0;
    while last_fence(&bench) <= seen {
        refused += 1;
        assert!(refused <= 20, "refused {refused} times");
        bench.handle_hold_reply(HoldReply::Fenced);
        bench.pass(1);
    }
}

fn last_fence(bench: &Bench) -> u64 {
    let holds = bench.actions.iter().rev().find_map(|a| match a {
        Action::Hold(call) => Some(call.fence),
        _ => None,
    });
    holds.expect("a hold")
}
