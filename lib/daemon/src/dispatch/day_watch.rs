//! Whether the box's clock is set while a process runs. Nothing is decided by it here; it is told so
//! that the times of log lines can be read.

use std::cell::Cell;
use std::time::Duration;

use stackcourse_lib::clock::Mono;
use stackcourse_lib::clock_step::ClockStep;
use stackcourse_lib::clock_step::StepWatch;

use crate::boot_clock::BootClock;
use crate::process_clock::ProcessClock;

/// Time between looks.
const PAUSE: Duration = Duration::from_secs(1);

/// Watches the box's clock.
#[derive(Debug)]
pub struct DayWatch {
    process_clock: ProcessClock,
    steps: Cell<StepWatch>,
    due: Cell<Mono>,
}

impl DayWatch {
    /// Watches from now on, against a clock that never steps.
    pub fn new(clock: BootClock) -> DayWatch {
        DayWatch {
            process_clock: ProcessClock::from_clock(clock),
            steps: Cell::default(),
            due: Cell::default(),
        }
    }

    /// Looks at the clock when it is time. Returns the step that is to be logged, if any is.
    pub fn look(&self, now: Mono) -> Option<ClockStep> {
        if now < self.due.get() {
            return None;
        }
        self.due.set(now + PAUSE);
        let mut steps = self.steps.get();
        let step = steps.look(self.process_clock.now().step_ms());
        self.steps.set(steps);
        step
    }

    /// How far the box's clock is ahead of the time at the start, carried on; in milliseconds.
    pub fn ahead_ms(&self) -> i64 {
        self.steps.get().told_ms()
    }
}
