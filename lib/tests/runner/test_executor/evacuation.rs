//! An executor in an evacuated availability zone: it rejects starts, returns its queue and lets runs finish.

use super::*;

fn zone_state(name: &str, revision: u64, evacuated: bool) -> proto::Orders {
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
    last.worker.expect("a worker report").ready
}

/// Only one scheduler knows of the evacuation. The executor returns the tasks of the others as not started
/// and reports the evacuation to them.
#[test]
fn test_executor_evacuated_zone_rejects_starts() {
    let mut bench = Bench::ready();
    bench.link_up(TWO, "two");
    bench.send_orders(ONE, zone_state("z", 5, true));
    assert!(!is_ready(&bench, ONE));
    assert!(
        !is_ready(&bench, TWO),
        "the executor reports to all schedulers at once"
    );
    bench.order_start(TWO, 1, &[0]);
    assert_eq!(bench.sent_starts(), []);
    assert_eq!(bench.ends(TWO), [(1, EndKind::Unavailable)]);
    let states = bench.updates(TWO).into_iter().filter_map(|u| u.zone);
    let states: Vec<proto::ZoneState> = states.collect();
    assert_eq!(states.len(), 1, "sent once: {states:?}");
    assert!(states[0].evacuated);
    let states = bench.updates(ONE).into_iter().filter_map(|u| u.zone);
    assert_eq!(states.count(), 0, "not sent back to its source");
}

/// Orders that announce the evacuation may contain starts as well; these must not be accepted.
#[test]
fn test_executor_evacuation_with_starts() {
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
        ..zone_state("z", 5, true)
    };
    bench.send_orders(ONE, orders);
    assert_eq!(bench.sent_starts(), []);
    assert_eq!(bench.ends(ONE), [(1, EndKind::Unavailable)]);
}

#[test]
fn test_executor_evacuation_returns_queue() {
    let mut bench = Bench::ready();
    bench.order_start(ONE, 1, &[0, 1]);
    bench.advance(95);
    bench.report_lists_at(95, &[run(1, 0, 1), run(1, 1, 1)], Vec::new());
    bench.order_start(ONE, 2, &[0]);
    assert_eq!(
        bench.ends(ONE),
        [],
        "the task waits for a run that is about to end"
    );
    bench.send_orders(ONE, zone_state("z", 5, true));
    assert_eq!(bench.ends(ONE), [(1, EndKind::Unavailable)]);
    assert_eq!(bench.sent_stops(), []);
    bench.report_lists(&[], vec![finished(1, run(1, 0, 1), RunEnd::Done)]);
    assert_eq!(bench.ends(ONE)[1], (2, EndKind::Done));
    assert_eq!(bench.sent_starts().len(), 2);
}

#[test]
fn test_executor_evacuation_revoked() {
    let mut bench = Bench::ready();
    bench.send_orders(ONE, zone_state("z", 5, true));
    bench.send_orders(ONE, zone_state("z", 9, false));
    bench.send_orders(ONE, zone_state("z", 5, true));
    assert!(is_ready(&bench, ONE), "an older revision changes nothing");
    bench.order_start(ONE, 1, &[0]);
    assert_eq!(bench.sent_starts(), [run(1, 0, 1)]);
}

#[test]
fn test_executor_evacuation_of_other_zone() {
    let mut bench = Bench::ready();
    bench.send_orders(ONE, zone_state("elsewhere", 5, true));
    assert!(is_ready(&bench, ONE));
}
