//! Metrics of a process: the delay of its event loop, the traffic of its links and its use of the processor.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use stackcourse_daemon::dispatch::cpu_usage::CpuUsage;
use stackcourse_daemon::dispatch::cpu_usage::share_percent;
use stackcourse_daemon::dispatch::lag::LoopLag;
use stackcourse_daemon::dispatch::traffic::Traffic;
use stackcourse_lib::protos::dispatch as proto;
use stackcourse_lib::protos::dispatch::frame::Body;

fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn test_lag_log_interval() {
    let lag = LoopLag::default();
    let start = Instant::now();
    assert_eq!(lag.record(millis(5), start), None);
    assert_eq!(lag.record(millis(300), start), Some(millis(300)));
    // Further delays within the same second are held back; the next line reports the longest of them.
    assert_eq!(lag.record(millis(900), start + millis(400)), None);
    assert_eq!(lag.record(millis(250), start + millis(800)), None);
    let later = start + millis(1100);
    assert_eq!(lag.record(millis(1), later), Some(millis(900)));
    assert_eq!(lag.record(millis(1), later + millis(1100)), None);
    assert_eq!(lag.take(), [millis(1), millis(900)]);
    assert_eq!(lag.take(), [millis(1), millis(0)]);
}

#[test]
fn test_traffic_queued_frames() {
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
    let count_of = |name: &str, mut counts: Vec<(&'static str, u64)>| {
        counts.retain(|(kind, _)| *kind == name);
        counts[0].1
    };
    assert_eq!(count_of("orders", traffic.sent().collect()), 2);
    assert_eq!(count_of("peer", traffic.received().collect()), 1);
}

#[test]
fn test_processor_use_share() {
    assert_eq!(share_percent(millis(60), millis(1000), 0.12), Some(50));
    assert_eq!(share_percent(millis(500), millis(1000), 0.5), Some(100));
    assert_eq!(share_percent(millis(1), millis(0), 0.5), None);
    let steady = share_percent(millis(1000), millis(1000), 0.5);
    assert_eq!(
        steady, None,
        "a reading of the steady clock is not processor time"
    );
}

#[test]
fn test_processor_use_interval() {
    let known = CpuUsage::new(Some(1000.0));
    assert_eq!(
        known.sample(millis(5000)),
        None,
        "the first reading has no predecessor"
    );
    assert_eq!(known.sample(millis(5999)), None);
    assert!(known.sample(millis(6000)).is_some());
    assert_eq!(known.sample(millis(6999)), None);
    assert!(known.sample(millis(7000)).is_some());
    assert_eq!(CpuUsage::new(None).sample(millis(5000)), None);
}
