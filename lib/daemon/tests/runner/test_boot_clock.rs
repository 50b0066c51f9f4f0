//! The clock on which leases are measured.

use std::cell::Cell;
use std::time::Duration;

use stackcourse_daemon::boot_clock::BootClock;
use stackcourse_lib::clock::Mono;

thread_local! {
    static READING: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

fn set(ms: u64) {
    READING.set(Duration::from_millis(ms));
}

#[test]
fn test_boot_clock_counts_a_jump_of_its_readings() {
    set(5_000);
    let clock = BootClock::reading(|| READING.get());
    assert_eq!(clock.now(), Mono(1));
    set(5_010);
    assert_eq!(clock.now(), Mono(10_001));
    set(9_010);
    assert_eq!(clock.now(), Mono(4_010_001), "the machine was suspended");
}

#[test]
fn test_boot_clock_goes_on_from_the_time_since_boot() {
    let uptime = || {
        let text = std::fs::read_to_string("/proc/uptime").expect("the system tells its uptime");
        let seconds = text.split(' ').next().and_then(|s| s.parse::<f64>().ok());
        seconds.expect("seconds, with a fraction")
    };
    // The system tells hundredths of a second.
    const STEP: f64 = 0.011;
    let before = uptime();
    let clock = BootClock::start();
    let begun = uptime();
    std::thread::sleep(Duration::from_millis(120));
    let ending = uptime();
    let counted = clock.elapsed().as_secs_f64();
    let after = uptime();
    let bounds = ending - begun - STEP..=after - before + STEP;
    assert!(bounds.contains(&counted), "{counted} is not in {bounds:?}");
}
