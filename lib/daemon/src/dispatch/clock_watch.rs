//! Detection of steps of the box's clock while a process runs.
//!
//! Steps are logged, so that readers can interpret the times in the log; no decision depends on them.

use std::cell::Cell;
use std::time::Duration;

use stackcourse_lib::clock::Mono;
use stackcourse_lib::clock_step::ClockStep;
use stackcourse_lib::clock_step::StepWatch;

use crate::boot_clock::BootClock;
use crate::process_clock::ProcessClock;

/// The time between two checks of the clock.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Compares the box's clock with a clock that never steps.
#[derive(Debug)]
pub struct ClockWatch {
    process_clock: ProcessClock,
    steps: Cell<StepWatch>,
    next_check: Cell<Mono>,
}

impl ClockWatch {
    /// Starts watching, with `clock` as the clock that never steps.
    pub fn new(clock: BootClock) -> ClockWatch {
        ClockWatch {
            process_clock: ProcessClock::from_clock(clock),
            steps: Cell::default(),
            next_check: Cell::default(),
        }
    }

    /// Checks the clock if a check is due. Returns the step to log, if there is one.
    pub fn check(&self, now: Mono) -> Option<ClockStep> {
        if now < self.next_check.get() {
            return None;
        }
        self.next_check.set(now + CHECK_INTERVAL);
        let mut steps = self.steps.get();
        let step = steps.detect_step(self.process_clock.now().step_ms());
        self.steps.set(steps);
        step
    }

    /// Returns by how many milliseconds the box's clock is ahead of the time at the start plus the time
    /// elapsed since, as of the last reported step.
    pub fn ahead_ms(&self) -> i64 {
        self.steps.get().reported_ms()
    }
}
