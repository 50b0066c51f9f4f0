//! Steps of a box's clock: it is set ahead or back while a process carries its own time on.

use std::fmt;

/// A change by less is not told of: clocks are kept right by small corrections.
const LEAST_MS: u64 = 500;

/// A step of a box's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockStep {
    /// By how much it was set ahead; negative if back.
    pub by_ms: i64,
    /// How far it is ahead now of the time carried on.
    pub total_ms: i64,
}

impl fmt::Display for ClockStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ClockStep { by_ms, total_ms } = self;
        write!(f, "by {by_ms} ms, {total_ms} ms from the time carried on")
    }
}

/// Notices when a box's clock is set.
#[derive(Clone, Copy, Debug, Default)]
pub struct StepWatch {
    /// How far it was ahead when that was told last.
    reported_ms: Option<i64>,
}

impl StepWatch {
    /// Looks at how far the box's clock is ahead of the time carried on. Returns the step since
    /// the last one that was told, if there was one.
    pub fn detect_step(&mut self, ahead_ms: i64) -> Option<ClockStep> {
        let before = *self.reported_ms.get_or_insert(ahead_ms);
        if ahead_ms.abs_diff(before) < LEAST_MS {
            return None;
        }
        self.reported_ms = Some(ahead_ms);
        Some(ClockStep {
            by_ms: ahead_ms - before,
            total_ms: ahead_ms,
        })
    }

    /// The time carried on was changed: what the next look shows is no step.
    pub fn reset(&mut self) {
        self.reported_ms = None;
    }

    /// How far the box's clock was ahead when that was told last.
    pub fn reported_ms(&self) -> i64 {
        self.reported_ms.unwrap_or(0)
    }
}

#[cfg(test)]
mod tests;
