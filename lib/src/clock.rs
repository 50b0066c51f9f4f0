//! Points in time as the state machines see them.
//!
//! A state machine never reads a clock: the time is a parameter of each call.

use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;

/// A reading of this process's monotonic clock, in microseconds since an arbitrary start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Mono(pub u64);

impl Mono {
    /// Returns the time from `earlier` to this reading; zero if `earlier` is later.
    pub fn since(self, earlier: Mono) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time from this reading to `later`; zero if `later` has passed.
    pub fn until(self, later: Mono) -> Duration {
        later.since(self)
    }
}

impl Add<Duration> for Mono {
    type Output = Mono;

    fn add(self, duration: Duration) -> Mono {
        Mono(self.0.saturating_add(micros(duration)))
    }
}

impl Sub<Duration> for Mono {
    type Output = Mono;

    fn sub(self, duration: Duration) -> Mono {
        Mono(self.0.saturating_sub(micros(duration)))
    }
}

/// Converts a duration to whole microseconds, saturating.
pub fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Converts a duration to whole milliseconds, saturating.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// The present time, as passed to a state machine.
///
/// A process reads the time of day once when it starts and advances it by the monotonic clock, so that within
/// one incarnation a step of the box's clock doesn't change it. The reading of the box's clock is passed
/// along with it; that clock may be set ahead or back at any moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// The reading of the monotonic clock.
    pub mono: Mono,
    /// The process's time of day, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// The reading of the box's clock, in milliseconds since the Unix epoch.
    pub box_ms: u64,
}

impl Now {
    /// Returns the present time on a box whose clock has not been set since the process started.
    pub fn steady(mono: Mono, wall_ms: u64) -> Now {
        Now {
            mono,
            wall_ms,
            box_ms: wall_ms,
        }
    }

    /// Returns how far the box's clock is ahead of the process's time, in milliseconds; negative if it is
    /// behind.
    pub fn step_ms(self) -> i64 {
        self.box_ms as i64 - self.wall_ms as i64
    }
}
