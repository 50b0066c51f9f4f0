//! What a process tells of itself: its delay, and the traffic of its links.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use stackcourse_daemon::dispatch::lag::LoopLag;
use stackcourse_daemon::dispatch::processor::CpuUsage;
use stackcourse_daemon::dispatch::processor::share_percent;
use stackcourse_daemon::dispatch::traffic::Traffic;
use stackcourse_lib::protos::dispatch as proto;
use stackcourse_lib::protos::dispatch::frame::Body;

fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn test_lag_lines_are_bounded_and_lose_no_delay() {
    let lag = LoopLag::default();
    let begin = Instant::now();
    assert_eq!(lag.record(millis(5), begin), None);
    assert_eq!(lag.record(millis(300), begin), Some(millis(300)));
    // Longer delays within the same second wait for the next line, the longest is told.
    assert_eq!(lag.record(millis(900), begin + millis(400)), None);
    assert_eq!(lag.record(millis(250), begin + millis(800)), None);
    let later = begin + millis(1100);
    assert_eq!(lag.record(millis(1), later), Some(millis(900)));
    assert_eq!(lag.record(millis(1), later + millis(1100)), None);
    assert_eq!(lag.take(), [millis(1), millis(900)]);
    assert_eq!(lag.take(), [millis(1), millis(0)]);
}

#[test]
fn test_traffic_counts_what_waits_until_it_is_dropped() {
    let traffic = Rc::new(Traffic::default());
    let orders = Body::Orders(proto::Orders::default());
    let first = traffic.enqueue(&orders, vec![0; 10].into());
    let second = traffic.enqueue(&orders, vec![0; 5].into());
    assert_eq!(traffic.waiting(), [2, 15]);
    drop(first);
    assert_eq!(traffic.waiting(), [1, 5]);
    drop(second);
    assert_eq!(traffic.waiting(), [0, 0]);
    traffic.count_received(&Body::Peer(proto::PeerUpdate::default()), 7);
    assert_eq!(traffic.bytes(), [15, 7]);
    let of = |name: &str, mut counts: Vec<(&'static str, u64)>| {
        counts.retain(|(kind, _)| *kind == name);
        counts[0].1
    };
    assert_eq!(of("orders", traffic.sent().collect()), 2);
    assert_eq!(of("peer", traffic.received().collect()), 1);
}

#[test]
fn test_processor_use_is_a_share_of_what_the_process_may_use() {
    assert_eq!(share_percent(millis(60), millis(1000), 0.12), Some(50));
    assert_eq!(share_percent(millis(500), millis(1000), 0.5), Some(100));
    assert_eq!(share_percent(millis(1), millis(0), 0.5), None);
    let steady = share_percent(millis(1000), millis(1000), 0.5);
    assert_eq!(steady, None, "a clock that runs with time tells nothing");
}

#[test]
fn test_processor_use_is_read_once_a_second_where_the_share_is_known() {
    let known = CpuUsage::new(Some(1000.0));
    assert_eq!(known.sample(millis(5000)), None, "nothing to compare with");
    assert_eq!(known.sample(millis(5999)), None);
    assert!(known.sample(millis(6000)).is_some());
    assert_eq!(known.sample(millis(6999)), None);
    assert!(known.sample(millis(7000)).is_some());
    assert_eq!(CpuUsage::new(None).sample(millis(5000)), None);
}
