//! The monotonic clock by which leases, deadlines and timeouts are measured.
//!
//! It counts the time for which the machine was suspended. The system's ordinary monotonic clock does not: an
//! executor that resumes after a suspension would treat leases as valid that have expired elsewhere, and a
//! task would run twice.

use std::time::Duration;

use nix::time::ClockId;
use nix::time::clock_gettime;
use stackcourse_lib::clock::Mono;
use stackcourse_lib::clock::micros;

/// Reads a clock, as the time since an arbitrary start.
type ClockSource = fn() -> Duration;

/// A clock that counts from its creation.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    read: ClockSource,
    start: Duration,
}

impl BootClock {
    /// Starts a clock on the system's boot-time clock.
    pub fn start() -> BootClock {
        BootClock::with_source(since_boot)
    }

    /// Starts a clock on another source, for tests.
    pub fn with_source(read: ClockSource) -> BootClock {
        let start = read();
        BootClock { read, start }
    }

    /// Returns the time since the clock was started, suspensions included.
    pub fn elapsed(&self) -> Duration {
        (self.read)().saturating_sub(self.start)
    }

    /// Returns the current time in the form that state machines take. It is never zero.
    pub fn now(&self) -> Mono {
        Mono(micros(self.elapsed()) + 1)
    }
}

fn since_boot() -> Duration {
    // A process that can't tell how long it was suspended must not hold leases, so a missing clock is fatal.
    // Linux has this clock since 2.6.39.
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    Duration::from(time.expect("the system has a clock that counts suspended time"))
}
