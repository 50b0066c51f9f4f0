//! A restarted executor: it asks its worker under the incarnation that its predecessor saved in the store.

use stackcourse_lib::dispatch::executor::Action;
use stackcourse_lib::dispatch::executor::HoldReply;
use stackcourse_lib::dispatch::executor::WorkerHeartbeat;
use stackcourse_lib::dispatch::model::Demand;

use super::Bench;
use super::ONE;
use super::incarnation_of;
use super::run;

fn saved_heartbeat(id: &str) -> WorkerHeartbeat {
    WorkerHeartbeat {
        incarnation: incarnation_of(id),
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

/// Returns an executor that has just started and restored an incarnation of its worker.
fn restored() -> Bench {
    let mut bench = Bench::new();
    bench
        .executor
        .restore_worker(bench.now, saved_heartbeat("w1"));
    bench.collect_actions();
    bench.link_up(ONE, "one");
    bench
}

fn is_ready(bench: &Bench) -> bool {
    let last = bench.updates(ONE).pop().expect("an update");
    last.worker.expect("a worker report").ready
}

/// Returns the worker id that the last hold names.
fn last_hold_target(bench: &Bench) -> Option<String> {
    let mut holds = bench.actions.iter().filter_map(|a| match a {
        Action::Hold(call) => Some(call.incarnation.clone()),
        _ => None,
    });
    holds.next_back()
}

/// The worker's capacity may have shrunk while the executor was down, so nothing starts before a heartbeat.
/// Its lists already show that no earlier run is left, so claims are confirmed without waiting.
#[test]
fn test_executor_restored_worker_waits_for_heartbeat() {
    let mut bench = restored();
    assert_eq!(last_hold_target(&bench).as_deref(), Some("w1"));
    bench.claim(ONE, 7);
    bench.report_lists(&[], Vec::new());
    bench.advance(20);
    let claimed = bench.updates(ONE).into_iter().flat_map(|u| u.claimed);
    assert_eq!(claimed.collect::<Vec<_>>(), [7]);
    assert!(!is_ready(&bench));
    bench.order_start(ONE, 1, &[0]);
    assert_eq!(bench.sent_starts(), []);
    bench.send_heartbeat("w1", false, 1);
    bench.advance(20);
    assert!(is_ready(&bench));
    bench.order_start(ONE, 2, &[0]);
    assert_eq!(bench.sent_starts(), [run(2, 0, 1)]);
}

#[test]
fn test_executor_restored_worker_unknown_run() {
    let mut bench = restored();
    bench.report_lists(&[run(7, 0, 1)], Vec::new());
    bench.advance(20);
    assert_eq!(bench.sent_stops(), [run(7, 0, 1)]);
    assert!(!is_ready(&bench));
}

#[test]
fn test_executor_restored_incarnation_ended() {
    let mut bench = restored();
    bench.handle_hold_reply(HoldReply::WrongLife);
    bench.advance(50);
    assert_eq!(last_hold_target(&bench).as_deref(), Some(""));
    assert!(!is_ready(&bench));
    bench.report_lists(&[], Vec::new());
    bench.send_heartbeat("w2", false, 1);
    bench.report_lists(&[], Vec::new());
    bench.advance(20);
    assert!(is_ready(&bench));
}

#[test]
fn test_executor_restored_worker_unanswered_hold() {
    let mut bench = restored();
    bench.handle_hold_reply(HoldReply::NoAnswer);
    bench.advance(50);
    assert_eq!(bench.hold_count(), 2);
    assert_eq!(last_hold_target(&bench).as_deref(), Some("w1"));
}

#[test]
fn test_executor_restored_worker_draining() {
    let mut bench = restored();
    bench.report_lists(&[], Vec::new());
    bench.send_heartbeat("w1", true, 1);
    bench.advance(20);
    assert!(!is_ready(&bench));
}

/// A heartbeat may arrive before the store returns the saved one, which must not replace it.
#[test]
fn test_executor_restore_after_heartbeat() {
    let mut bench = Bench::ready();
    bench
        .executor
        .restore_worker(bench.now, saved_heartbeat("w0"));
    bench.collect_actions();
    bench.advance(20);
    assert!(is_ready(&bench));
}

#[test]
fn test_executor_saves_changed_heartbeat() {
    let mut bench = Bench::new();
    bench.send_heartbeat("w1", false, 1);
    bench.send_heartbeat("w1", false, 2);
    bench.send_heartbeat("w1", true, 3);
    let saved = bench.actions.iter().filter_map(|a| match a {
        Action::SaveHeartbeat(Some(heartbeat)) => Some(heartbeat.draining),
        _ => None,
    });
    let saved: Vec<bool> = saved.collect();
    assert_eq!(
        saved,
        [false, true],
        "an unchanged heartbeat is not saved again"
    );
}
