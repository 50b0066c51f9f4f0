//! An executor whose availability zone is evacuated.

use super::*;

fn zone(name: &str, revision: u64, evacuated: bool) -> proto::Orders {
    proto::Orders {
        zone: Some(proto::ZoneState {
            zone: name.to_owned(),
            revision,
            evacuated,
        }),
        ..proto::Orders::default()
    }
}

fn is_ready(bench: &Bench, link: LinkId) -> bool {
    let last = bench.updates(link).pop().expect("an update");
    last.worker.expect("it reports").ready
}

/// One scheduler has heard of it; another one, which has not, gets its tasks back as not started.
#[test]
fn test_executor_starts_nothing_in_an_evacuated_zone_for_anybody() {
    let mut bench = Bench::ready();
    bench.link(TWO, "two");
    bench.orders(ONE, zone("z", 5, true));
    assert!(!is_ready(&bench, ONE));
    assert!(!is_ready(&bench, TWO), "all are told at once");
    bench.start(TWO, 1, &[0]);
    assert_eq!(bench.started(), []);
    assert_eq!(bench.ends(TWO), [(1, EndKind::Unavailable)]);
    let told = bench.updates(TWO).into_iter().filter_map(|u| u.zone);
    let told: Vec<proto::ZoneState> = told.collect();
    assert_eq!(told.len(), 1, "it tells who is behind, once: {told:?}");
    assert!(told[0].evacuated);
    let told = bench.updates(ONE).into_iter().filter_map(|u| u.zone);
    assert_eq!(told.count(), 0, "who has told it knows");
}

/// The orders that tell of it may bring tasks as well.
#[test]
fn test_executor_evacuation_goes_before_the_starts_beside_it() {
    let mut bench = Bench::ready();
    let starts = vec![proto::StartTasks {
        job: 1,
        tasks: vec![proto::TaskStart {
            attempt: 1,
            ..proto::TaskStart::default()
        }],
        slack_ms: 1000,
        ..proto::StartTasks::default()
    }];
    let orders = proto::Orders {
        starts,
        ..zone("z", 5, true)
    };
    bench.orders(ONE, orders);
    assert_eq!(bench.started(), []);
    assert_eq!(bench.ends(ONE), [(1, EndKind::Unavailable)]);
}

#[test]
fn test_executor_evacuation_ends_nothing_that_runs_and_returns_what_waits() {
    let mut bench = Bench::ready();
    bench.start(ONE, 1, &[0, 1]);
    bench.pass(95);
    bench.lists_at(95, &[run(1, 0, 1), run(1, 1, 1)], Vec::new());
    bench.start(ONE, 2, &[0]);
    assert_eq!(
        bench.ends(ONE),
        [],
        "it waits for a run that is about to end"
    );
    bench.orders(ONE, zone("z", 5, true));
    assert_eq!(bench.ends(ONE), [(1, EndKind::Unavailable)]);
    assert_eq!(bench.stopped(), []);
    bench.lists(&[], vec![finished(1, run(1, 0, 1), RunEnd::Done)]);
    assert_eq!(bench.ends(ONE)[1], (2, EndKind::Done));
    assert_eq!(bench.started().len(), 2);
}

#[test]
fn test_executor_takes_tasks_again_once_its_zone_is_taken_back() {
    let mut bench = Bench::ready();
    bench.orders(ONE, zone("z", 5, true));
    bench.orders(ONE, zone("z", 9, false));
    bench.orders(ONE, zone("z", 5, true));
    assert!(is_ready(&bench, ONE), "an old word undoes nothing");
    bench.start(ONE, 1, &[0]);
    assert_eq!(bench.started(), [run(1, 0, 1)]);
}

#[test]
fn test_executor_passes_over_words_on_other_zones() {
    let mut bench = Bench::ready();
    bench.orders(ONE, zone("elsewhere", 5, true));
    assert!(is_ready(&bench, ONE));
}
