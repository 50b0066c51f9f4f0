//! What an executor makes of its worker: draining, silence, failures, new lives.

use super::*;

#[test]
fn test_executor_gives_nothing_to_a_draining_worker() {
    let mut bench = Bench::ready();
    bench.start(ONE, 1, &[0, 1]);
    bench.pass(95);
    bench.lists_at(95, &[run(1, 0, 1), run(1, 1, 1)], Vec::new());
    bench.start(ONE, 1, &[2]);
    assert_eq!(
        bench.ends(ONE),
        [],
        "it waits for a run that is about to end"
    );
    bench.heartbeat("w1", true, 2);
    assert_eq!(
        bench.ends(ONE),
        [(1, EndKind::Unavailable)],
        "what waited goes back"
    );
    bench.start(ONE, 2, &[0]);
    assert_eq!(bench.started().len(), 2);
    assert_eq!(bench.ends(ONE).len(), 2);
}

#[test]
fn test_executor_tells_of_a_worker_that_drains_when_it_is_met() {
    let mut bench = Bench::new();
    bench.heartbeat("w1", true, 1);
    let told = |a: &Action| matches!(a, Action::Log(e) if e.kind == Kind::WorkerDraining);
    assert!(bench.actions.iter().any(told));
}

#[test]
fn test_executor_survives_a_single_lost_answer_of_a_hold() {
    let mut bench = Bench::ready();
    bench.handle_hold_reply(HoldReply::NoAnswer);
    bench.start(ONE, 1, &[0]);
    assert_eq!(bench.started(), [run(1, 0, 1)]);
    bench.pass(250);
    bench.handle_hold_reply(HoldReply::NoAnswer);
    bench.start(ONE, 2, &[0]);
    assert_eq!(bench.started().len(), 1, "now it counts as silent");
}

#[test]
fn test_executor_does_not_ask_a_worker_that_resets_without_pause() {
    let mut bench = Bench::ready();
    let before = bench.holds();
    let mut answered = 0;
    for _ in 0..2000 {
        if bench.holds() > answered {
            answered = bench.holds();
            bench.handle_hold_reply(HoldReply::NoAnswer);
        }
        bench.pass(1);
    }
    let asked = bench.holds() - before;
    assert!(
        asked <= 60,
        "{asked} holds in two seconds, each a connection"
    );
    assert!(
        asked >= 20,
        "{asked} holds: it would be found late when it is back"
    );
}

#[test]
fn test_executor_does_not_forget_runs_that_a_start_has_kept_alive() {
    let mut bench = Bench::ready();
    bench.handle_hold_reply(HoldReply::NoAnswer);
    bench.now = bench.now + Duration::from_millis(3000);
    bench.link(ONE, "one");
    bench.start(ONE, 1, &[0]);
    assert_eq!(bench.started(), [run(1, 0, 1)]);
    bench.handle_hold_reply(HoldReply::NoAnswer);
    bench.pass(20);
    assert_eq!(bench.ends(ONE), [], "the start keeps it alive for a while");
    for _ in 0..15 {
        bench.orders(ONE, proto::Orders::default());
        bench.pass(20);
        bench.handle_hold_reply(HoldReply::NoAnswer);
    }
    assert_eq!(bench.ends(ONE), []);
    for _ in 0..60 {
        bench.orders(ONE, proto::Orders::default());
        bench.pass(20);
        bench.handle_hold_reply(HoldReply::NoAnswer);
    }
    assert_eq!(bench.ends(ONE), [(1, EndKind::Lost)]);
}

#[test]
fn test_executor_sees_soon_that_a_slow_worker_is_well_again() {
    let mut bench = Bench::ready();
    let times = [600, 600, 100, 100, 100, 100];
    for (job, ms) in times.into_iter().enumerate() {
        let name = run(job as u64 + 1, 0, 1);
        bench.start(ONE, name.task.job.0, &[0]);
        for _ in 0..ms / 50 {
            bench.pass(50);
            bench.orders(ONE, proto::Orders::default());
            bench.lists(&[name], Vec::new());
        }
        let end = finished(job as u64 + 1, name, RunEnd::Done);
        bench.lists(&[], vec![end]);
    }
    let last = bench.updates(ONE).pop().expect("an update");
    let pace = last.worker.expect("it reports").pace_percent;
    assert!(pace < 190, "{pace} % of the estimate");
}

#[test]
fn test_executor_trials_back_off() {
    let mut bench = Bench::ready();
    let mut tries = Vec::new();
    let mut number = 0;
    for step in 0..1200u64 {
        bench.pass(10);
        bench.orders(ONE, proto::Orders::default());
        if step % 10 != 0 {
            continue;
        }
        bench.heartbeat("w1", false, step + 2);
        bench.start(ONE, step + 1, &[0]);
        let begun = run(step + 1, 0, 1);
        if bench.started().last() == Some(&begun) {
            tries.push(step * 10);
            number += 1;
            bench
                .executor
                .handle_start_reply(bench.now, begun, OrderReply::Done(1));
            bench.lists(&[], vec![finished(number, begun, RunEnd::Failed)]);
        } else {
            bench.lists(&[], Vec::new());
        }
    }
    let gaps: Vec<u64> = tries.windows(2).map(|w| w[1] - w[0]).collect();
    assert!(
        gaps[..2].iter().all(|g| *g <= 100),
        "healthy at first: {gaps:?}"
    );
    assert!(*gaps.last().expect("some trials") >= 3000, "{gaps:?}");
}

#[test]
fn test_executor_begins_anew_with_a_new_life_of_its_worker() {
    let mut bench = Bench::ready();
    bench.start(ONE, 1, &[0]);
    bench
        .executor
        .handle_start_reply(bench.now, run(1, 0, 1), OrderReply::Done(1));
    bench.new_life("w2");
    assert_eq!(bench.ends(ONE), [(1, EndKind::Crashed)]);
    assert_matches!(bench.actions.last(), Some(_));
}

impl Bench {
    /// The worker says that it has room for so many tasks.
    fn resize(&mut self, room: u32, sequence: u64) {
        let heartbeat = WorkerHeartbeat {
            life: life_of("w1"),
            service: "s".to_owned(),
            draining: false,
            capacity: Demand {
                cpu_milli: room * 1000,
                memory_mb: 1000,
                gpu: 0,
            },
            labels: Vec::new(),
            sequence,
        };
        self.executor.handle_heartbeat(self.now, heartbeat);
        self.take();
    }
}

#[test]
fn test_executor_starts_nothing_that_a_smaller_room_does_not_hold() {
    let mut bench = Bench::ready();
    bench.start(ONE, 1, &[0]);
    bench.resize(1, 2);
    bench.start(ONE, 2, &[0]);
    assert_eq!(bench.started(), [run(1, 0, 1)], "what runs takes it all");
    assert_eq!(bench.ends(ONE), [(1, EndKind::NoRoom)]);
    bench.resize(2, 3);
    bench.start(ONE, 3, &[0]);
    assert_eq!(
        bench.started().len(),
        2,
        "room that is back is used at once"
    );
    let last = bench.updates(ONE).pop().and_then(|u| u.worker);
    assert_eq!(last.map(|w| w.free_cpu_milli), Some(0));
}

#[test]
fn test_executor_leaves_what_runs_where_the_room_has_shrunk_below_it() {
    let mut bench = Bench::ready();
    bench.start(ONE, 1, &[0, 1]);
    bench.resize(1, 2);
    assert_eq!(bench.stopped(), []);
    bench.pass(20);
    let last = bench.updates(ONE).pop().and_then(|u| u.worker);
    assert_eq!(last.map(|w| w.free_cpu_milli), Some(-1000));
    bench.lists(
        &[run(1, 1, 1)],
        vec![finished(1, run(1, 0, 1), RunEnd::Done)],
    );
    bench.start(ONE, 2, &[0]);
    assert_eq!(bench.started().len(), 2, "one still takes all that is left");
}

#[test]
fn test_executor_ignores_a_larger_room_that_is_told_late() {
    let mut bench = Bench::ready();
    bench.resize(1, 3);
    bench.resize(2, 2);
    bench.start(ONE, 1, &[0, 1]);
    assert_eq!(bench.started(), [run(1, 0, 1)]);
}

#[test]
fn test_executor_starts_nothing_under_a_room_that_it_heard_of_long_ago() {
    let mut bench = Bench::ready();
    bench.pass(3400);
    bench.link(TWO, "two");
    bench.start(TWO, 1, &[0]);
    assert_eq!(bench.started(), [], "the room may have shrunk meanwhile");
    bench.heartbeat("w1", false, 2);
    bench.start(TWO, 2, &[0]);
    assert_eq!(bench.started(), [run(2, 0, 1)]);
}

/// A scheduler takes it as a word on every job: it must not come before all runs are over, its forerunner's as well.
#[test]
fn test_executor_that_leaves_says_once_that_nothing_runs() {
    let mut bench = Bench::new();
    bench.heartbeat("w1", false, 1);
    bench.link(ONE, "one");
    bench.executor.leave(bench.now);
    bench.take();
    let departed = |bench: &Bench| bench.updates(ONE).iter().any(|u| u.departed);
    assert!(!departed(&bench), "the lists have not been read");
    bench.lists(&[run(9, 0, 4)], Vec::new());
    bench.pass(20);
    assert!(!departed(&bench), "a forerunner's run is there");
    assert!(!bench.executor.is_drained(bench.now));
    bench.lists(&[], Vec::new());
    bench.pass(20);
    assert!(departed(&bench));
    assert!(bench.executor.is_drained(bench.now));
}
