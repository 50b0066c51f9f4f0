//! An executor that was started again asks its worker under the life that its earlier life knew.

use stackcourse_lib::dispatch::executor::Action;
use stackcourse_lib::dispatch::executor::HoldReply;
use stackcourse_lib::dispatch::executor::WorkerHeartbeat;
use stackcourse_lib::dispatch::model::Demand;

use super::Bench;
use super::ONE;
use super::life_of;
use super::run;

fn heartbeat(life: &str) -> WorkerHeartbeat {
    WorkerHeartbeat {
        life: life_of(life),
        service: "s".to_owned(),
        capacity: Demand {
            cpu_milli: 2000,
            memory_mb: 1000,
            gpu: 0,
        },
        sequence: 40,
        ..WorkerHeartbeat::default()
    }
}

/// An executor that has just started and knows of a life of its worker.
fn recalled() -> Bench {
    let mut bench = Bench::new();
    bench.executor.restore_worker(bench.now, heartbeat("w1"));
    bench.take();
    bench.link(ONE, "one");
    bench
}

fn is_ready(bench: &Bench) -> bool {
    let last = bench.updates(ONE).pop().expect("an update");
    last.worker.expect("it reports").ready
}

fn last_life_asked(bench: &Bench) -> Option<String> {
    let mut holds = bench.actions.iter().filter_map(|a| match a {
        Action::Hold(call) => Some(call.life.clone()),
        _ => None,
    });
    holds.next_back()
}

/// Its room may have shrunk while this process was away, for nobody knows how long. That nothing of before runs is known at
/// once, so that claims need not wait.
#[test]
fn test_executor_recalled_worker_gets_nothing_before_it_has_spoken() {
    let mut bench = recalled();
    assert_eq!(last_life_asked(&bench).as_deref(), Some("w1"));
    bench.claim(ONE, 7);
    bench.lists(&[], Vec::new());
    bench.pass(20);
    let claimed = bench.updates(ONE).into_iter().flat_map(|u| u.claimed);
    assert_eq!(claimed.collect::<Vec<_>>(), [7]);
    assert!(!is_ready(&bench));
    bench.start(ONE, 1, &[0]);
    assert_eq!(bench.started(), []);
    bench.heartbeat("w1", false, 1);
    bench.pass(20);
    assert!(is_ready(&bench));
    bench.start(ONE, 2, &[0]);
    assert_eq!(bench.started(), [run(2, 0, 1)]);
}

#[test]
fn test_executor_ends_what_runs_at_a_recalled_worker_first() {
    let mut bench = recalled();
    bench.lists(&[run(7, 0, 1)], Vec::new());
    bench.pass(20);
    assert_eq!(bench.stopped(), [run(7, 0, 1)]);
    assert!(!is_ready(&bench));
}

#[test]
fn test_executor_drops_a_life_that_is_over() {
    let mut bench = recalled();
    bench.handle_hold_reply(HoldReply::WrongLife);
    bench.pass(50);
    assert_eq!(last_life_asked(&bench).as_deref(), Some(""));
    assert!(!is_ready(&bench));
    bench.lists(&[], Vec::new());
    bench.heartbeat("w2", false, 1);
    bench.lists(&[], Vec::new());
    bench.pass(20);
    assert!(is_ready(&bench));
}

#[test]
fn test_executor_asks_again_when_a_recalled_worker_gave_no_answer() {
    let mut bench = recalled();
    bench.handle_hold_reply(HoldReply::NoAnswer);
    bench.pass(50);
    assert_eq!(bench.holds(), 2);
    assert_eq!(last_life_asked(&bench).as_deref(), Some("w1"));
}

#[test]
fn test_executor_hears_that_a_recalled_worker_is_leaving() {
    let mut bench = recalled();
    bench.lists(&[], Vec::new());
    bench.heartbeat("w1", true, 1);
    bench.pass(20);
    assert!(!is_ready(&bench));
}

/// The worker may have spoken up before the store has answered.
#[test]
fn test_executor_goes_by_what_the_worker_says_now() {
    let mut bench = Bench::ready();
    bench.executor.restore_worker(bench.now, heartbeat("w0"));
    bench.take();
    bench.pass(20);
    assert!(is_ready(&bench));
}

#[test]
fn test_executor_keeps_what_its_worker_says() {
    let mut bench = Bench::new();
    bench.heartbeat("w1", false, 1);
    bench.heartbeat("w1", false, 2);
    bench.heartbeat("w1", true, 3);
    let kept = bench.actions.iter().filter_map(|a| match a {
        Action::SaveHeartbeat(Some(heartbeat)) => Some(heartbeat.draining),
        _ => None,
    });
    let kept: Vec<bool> = kept.collect();
    assert_eq!(
        kept,
        [false, true],
        "what has not changed is not kept again"
    );
}
