//! The clock that is handed to the state machines.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use stackcourse_lib::clock::Mono;
use stackcourse_lib::clock::Now;
use stackcourse_lib::clock::micros;
use stackcourse_lib::clock::millis;

use crate::boot_clock::BootClock;

/// Time between ticks of a state machine.
pub const TICK: Duration = Duration::from_millis(10);

/// A process's clock: the wall clock is read once and carried on by one that never steps back.
#[derive(Clone, Copy, Debug)]
pub struct Ticker {
    clock: BootClock,
    wall_ms: u64,
}

impl Ticker {
    /// A clock that starts now.
    pub fn start() -> Ticker {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        Ticker {
            clock: BootClock::start(),
            wall_ms: wall.map(millis).unwrap_or(0),
        }
    }

    /// The present. The monotonic reading is never zero.
    pub fn now(&self) -> Now {
        let gone = self.clock.elapsed();
        Now {
            mono: Mono(micros(gone) + 1),
            wall_ms: self.wall_ms + millis(gone),
        }
    }

    /// When the process started, in Unix milliseconds.
    pub fn born_ms(&self) -> u64 {
        self.wall_ms
    }
}
