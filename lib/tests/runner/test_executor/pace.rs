//! The pace of a worker, measured from the progress of its runs, and reports of slow runs.

use std::time::Duration;

use stackcourse_lib::dispatch::executor::RunName;
use stackcourse_lib::protos::dispatch as proto;

use super::Bench;
use super::ONE;
use super::run;

/// Runs two jobs that reach these percentages at intervals of 50 ms. Returns the slow runs that were
/// reported.
fn run_with_progress(percents: &[u32]) -> (Bench, Vec<proto::SlowRun>) {
    let mut bench = Bench::ready();
    bench.order_start(ONE, 1, &[0]);
    bench.order_start(ONE, 2, &[0]);
    let running = [run(1, 0, 1), run(2, 0, 1)];
    for name in running {
        let reply = stackcourse_lib::dispatch::executor::OrderReply::Done(0);
        bench.executor.handle_start_reply(bench.now, name, reply);
    }
    for percent in percents {
        advance_progress(&mut bench, *percent, &running);
    }
    bench.advance(100);
    let updates = bench.updates(ONE);
    let slow = updates.iter().flat_map(|u| u.slow.iter().cloned());
    let slow = slow.collect();
    (bench, slow)
}

fn advance_progress(bench: &mut Bench, percent: u32, running: &[RunName]) {
    bench.now = bench.now + Duration::from_millis(50);
    bench.send_orders(ONE, proto::Orders::default());
    bench.report_lists_at(percent, running, Vec::new());
}

fn pace_percent(bench: &Bench) -> u32 {
    let last = bench.updates(ONE).pop().expect("an update");
    last.worker.expect("a worker report").pace_percent
}

#[test]
fn test_executor_pace_from_progress() {
    let (bench, slow) = run_with_progress(&[10]);
    assert_eq!(
        pace_percent(&bench),
        500,
        "10 % in 50 ms of an estimate of 100 ms"
    );
    assert_eq!(slow.len(), 2);
    assert_eq!(slow[0].remaining_ms, 450);
}

#[test]
fn test_executor_normal_pace() {
    let (bench, slow) = run_with_progress(&[50]);
    assert_eq!(pace_percent(&bench), 100);
    assert_eq!(slow, []);
}

/// A wrong estimate can make one job look slow. The worker must not count as slow because of one job out of
/// two.
#[test]
fn test_executor_one_slow_job_of_two() {
    let mut bench = Bench::ready();
    bench.order_start(ONE, 1, &[0]);
    bench.report_lists_at(0, &[run(1, 0, 1)], Vec::new());
    advance_progress(&mut bench, 50, &[run(1, 0, 1)]);
    bench.order_start(ONE, 2, &[0]);
    bench.report_lists_at(0, &[run(2, 0, 1)], Vec::new());
    advance_progress(&mut bench, 5, &[run(2, 0, 1)]);
    bench.advance(100);
    assert_eq!(pace_percent(&bench), 100);
}
