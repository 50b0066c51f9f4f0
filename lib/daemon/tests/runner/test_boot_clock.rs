//! The clock on which leases are measured.

use std::cell::Cell;
use std::time::Duration;

use stackcourse_daemon::boot_clock::BootClock;
use stackcourse_lib::clock::Mono;

thread_local! {
    static READING: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

fn set_reading(ms: u64) {
    READING.set(Duration::from_millis(ms));
}

#[test]
fn test_boot_clock_suspension() {
    set_reading(5_000);
    let clock = BootClock::with_source(|| READING.get());
    assert_eq!(clock.now(), Mono(1));
    set_reading(5_010);
    assert_eq!(clock.now(), Mono(10_001));
    set_reading(9_010);
    assert_eq!(clock.now(), Mono(4_010_001), "the machine was suspended");
}

#[test]
fn test_boot_clock_uptime() {
    let uptime = || {
        let text = std::fs::read_to_string("/proc/uptime").expect("the system uptime");
        let seconds = text.split(' ').next().and_then(|s| s.parse::<f64>().ok());
        seconds.expect("a number of seconds")
    };
    // The uptime has a resolution of 10 ms.
    const RESOLUTION: f64 = 0.011;
    let before_start = uptime();
    let clock = BootClock::start();
    let after_start = uptime();
    std::thread::sleep(Duration::from_millis(120));
    let before_reading = uptime();
    let counted = clock.elapsed().as_secs_f64();
    let after_reading = uptime();
    let bounds =
        before_reading - after_start - RESOLUTION..=after_reading - before_start + RESOLUTION;
    assert!(bounds.contains(&counted), "{counted} is not in {bounds:?}");
}
