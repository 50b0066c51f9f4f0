//! The clock from which the state machines get the current time.

use std::time::Duration;

use stackcourse_lib::clock::Mono;
use stackcourse_lib::clock::Now;
use stackcourse_lib::clock::micros;
use stackcourse_lib::clock::millis;

use crate::boot_clock::BootClock;
use crate::kernel::Kernel;
use crate::system_clock;

/// The time between ticks of a state machine.
pub const TICK: Duration = Duration::from_millis(10);

/// The name under which a process's clock is registered in the [`Kernel`].
pub const CLOCK: &str = "clock";

/// Reads the box's wall clock, in milliseconds since the Unix epoch.
type WallClockSource = fn() -> u64;

/// The clock of a process: reads the box's wall clock once and extrapolates it by a monotonic clock, so that
/// it never steps back on its own. Each reading also has the current time of the box's wall clock.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    clock: BootClock,
    box_clock: WallClockSource,
    /// The extrapolated wall-clock time at the start of `clock`.
    wall_ms: u64,
}

impl ProcessClock {
    /// Starts a clock.
    pub fn start() -> ProcessClock {
        ProcessClock::from_clock(BootClock::start())
    }

    /// Creates a clock that extrapolates the box's wall clock by `clock`, which may be running already.
    pub fn from_clock(clock: BootClock) -> ProcessClock {
        ProcessClock::with_source(clock, system_clock::unix_ms)
    }

    /// Creates a clock that extrapolates another source of the wall clock by `clock`, for tests.
    pub fn with_source(clock: BootClock, box_clock: WallClockSource) -> ProcessClock {
        ProcessClock {
            clock,
            box_clock,
            wall_ms: box_clock().saturating_sub(millis(clock.elapsed())),
        }
    }

    /// Returns the clock registered in the kernel, or starts a new one if there is none.
    pub fn from_kernel(kernel: &Kernel) -> ProcessClock {
        kernel.find(CLOCK).unwrap_or_else(|_| ProcessClock::start())
    }

    /// Returns the current time. Its monotonic part is never zero.
    pub fn now(&self) -> Now {
        let elapsed = self.clock.elapsed();
        Now {
            mono: Mono(micros(elapsed) + 1),
            wall_ms: self.wall_ms + millis(elapsed),
            box_ms: (self.box_clock)(),
        }
    }

    /// Shifts the extrapolated wall-clock time by `by_ms` milliseconds, forwards if positive.
    pub fn shift(&mut self, by_ms: i64) {
        self.wall_ms = self.wall_ms.saturating_add_signed(by_ms);
    }

    /// Returns the time since the monotonic clock was started, in milliseconds.
    pub fn up_ms(&self) -> u64 {
        millis(self.clock.elapsed())
    }
}
