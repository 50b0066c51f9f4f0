//! Detects steps of a box's clock, which may be set ahead or back while a process runs.
//!
//! A process advances its own time by the monotonic clock, so a step shows as a change of the difference
//! between the two.

use std::fmt;

/// The smallest change that counts as a step. Clock synchronization makes small corrections all the time.
const MIN_STEP_MS: u64 = 500;

/// A step of a box's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockStep {
    /// By how much the clock was set ahead; negative if it was set back.
    pub by_ms: i64,
    /// How far the clock is ahead of the process's time now.
    pub total_ms: i64,
}

impl fmt::Display for ClockStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ClockStep { by_ms, total_ms } = self;
        write!(f, "by {by_ms} ms, {total_ms} ms from the time carried on")
    }
}

/// Detects when a box's clock is set.
#[derive(Clone, Copy, Debug, Default)]
pub struct StepWatch {
    /// How far the clock was ahead at the last reported step, or at the first check if there was none.
    reported_ms: Option<i64>,
}

impl StepWatch {
    /// Compares how far the box's clock is ahead of the process's time with the last reported value. Returns
    /// the step, if the difference is large enough.
    pub fn detect_step(&mut self, ahead_ms: i64) -> Option<ClockStep> {
        let before = *self.reported_ms.get_or_insert(ahead_ms);
        if ahead_ms.abs_diff(before) < MIN_STEP_MS {
            return None;
        }
        self.reported_ms = Some(ahead_ms);
        Some(ClockStep {
            by_ms: ahead_ms - before,
            total_ms: ahead_ms,
        })
    }

    /// Restarts the detection after the process's time was changed, so that the change is not reported as a
    /// step.
    pub fn reset(&mut self) {
        self.reported_ms = None;
    }

    /// Returns how far the box's clock was ahead at the last reported step, or at the first check if there
    /// was none.
    pub fn reported_ms(&self) -> i64 {
        self.reported_ms.unwrap_or(0)
    }
}

#[cfg(test)]
mod tests;
