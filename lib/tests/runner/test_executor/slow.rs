//! The pace of a worker, and runs that go slowly there.

use std::time::Duration;

use stackcourse_lib::dispatch::executor::RunName;
use stackcourse_lib::protos::dispatch as proto;

use super::Bench;
use super::ONE;
use super::run;

/// Runs of two jobs that have gained these percents after each 50 ms.
fn after(percents: &[u32]) -> (Bench, Vec<proto::SlowRun>) {
    let mut bench = Bench::ready();
    bench.start(ONE, 1, &[0]);
    bench.start(ONE, 2, &[0]);
    let running = [run(1, 0, 1), run(2, 0, 1)];
    for name in running {
        let done = stackcourse_lib::dispatch::executor::OrderReply::Done(0);
        bench.executor.handle_start_reply(bench.now, name, done);
    }
    for percent in percents {
        step(&mut bench, *percent, &running);
    }
    bench.pass(100);
    let updates = bench.updates(ONE);
    let slow = updates.iter().flat_map(|u| u.slow.iter().cloned());
    let slow = slow.collect();
    (bench, slow)
}

fn step(bench: &mut Bench, percent: u32, running: &[RunName]) {
    bench.now = bench.now + Duration::from_millis(50);
    bench.orders(ONE, proto::Orders::default());
    bench.lists_at(percent, running, Vec::new());
}

fn pace(bench: &Bench) -> u32 {
    let last = bench.updates(ONE).pop().expect("an update");
    last.worker.expect("it reports").pace_percent
}

#[test]
fn test_executor_reads_the_pace_from_progress() {
    let (bench, slow) = after(&[10]);
    assert_eq!(pace(&bench), 500, "10 % in 50 ms of an estimate of 100 ms");
    assert_eq!(slow.len(), 2);
    assert_eq!(slow[0].remaining_ms, 450);
}

#[test]
fn test_executor_names_no_run_of_a_worker_at_its_ordinary_pace() {
    let (bench, slow) = after(&[50]);
    assert_eq!(pace(&bench), 100);
    assert_eq!(slow, []);
}

/// Half of the jobs may just have a wrong estimate.
#[test]
fn test_executor_is_not_slow_by_one_job_of_two() {
    let mut bench = Bench::ready();
    bench.start(ONE, 1, &[0]);
    bench.lists_at(0, &[run(1, 0, 1)], Vec::new());
    step(&mut bench, 50, &[run(1, 0, 1)]);
    bench.start(ONE, 2, &[0]);
    bench.lists_at(0, &[run(2, 0, 1)], Vec::new());
    step(&mut bench, 5, &[run(2, 0, 1)]);
    bench.pass(100);
    assert_eq!(pace(&bench), 100);
}
