//! Workers that crash, and what is told of the runs that were there.

use super::*;

/// Lets a worker that refuses connections from now on be taken for gone.
fn crash(bench: &mut Bench) {
    bench.held(HoldReply::NoAnswer);
    for _ in 0..20 {
        bench.pass(10);
        bench.held(HoldReply::Unreachable);
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
                0000000000000002.0.0.0 run 1 10 ms, 0000000000000001.0.0.0 run 1 80 ms";
    assert!(told.contains("it is gone, silent for 150 ms"), "{told}");
    assert!(told.ends_with(runs), "{told}");
}

#[test]
fn test_executor_lists_what_ran_in_a_life_that_another_one_has_followed() {
    let mut bench = Bench::ready();
    bench.start(ONE, 1, &[0]);
    bench.pass(30);
    bench.beat("w2", false, 1);
    let told = details(&bench, Kind::RunsLost);
    assert_eq!(told.len(), 1);
    assert!(told[0].contains("w1: another life has registered"));
}
