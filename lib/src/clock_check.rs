//! Checks whether the time of day of a process agrees with that of its fleet.
//!
//! A process reads its box's clock once, when it starts, and that clock may be wrong at that moment. The
//! process therefore compares its time with that of the processes that it is linked to. Its time is *proven*
//! once it agrees with a proven one, or once a decision was based on it; from then on it never changes. Until
//! then the process adopts the time of the others, so that a fleet keeps the time of its first processes for
//! as long as any process with a proven time is left, however often the clocks of boxes are set.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Mono;
use crate::clock::Now;
use crate::clock::millis;

/// The last comparison with the clock of another process.
#[derive(Clone, Copy, Debug)]
struct Reading {
    /// How far that clock was ahead of this process's time.
    ahead_ms: i64,
    /// Whether the time of that process is proven.
    proven: bool,
}

/// The time of day of another process, as received with an answer.
#[derive(Clone, Copy, Debug)]
pub struct ClockAnswer {
    /// The time of that process when it answered, in milliseconds since the Unix epoch; 0 if it sent none.
    pub clock_ms: u64,
    /// When this process sent the message that was answered.
    pub sent: Mono,
    /// How long the other process held that message before it answered.
    pub held: Duration,
    /// Whether the time of that process is proven.
    pub proven: bool,
}

/// Compares the time of this process with the clocks of the processes that it is linked to.
#[derive(Clone, Debug)]
pub struct ClockCheck {
    /// The maximum difference between clocks that agree, and the maximum travel time of an answer that
    /// counts.
    bound_ms: u64,
    readings: BTreeMap<u64, Reading>,
    proven: bool,
}

impl ClockCheck {
    /// Returns a check without readings. Clocks that differ by at most `bound` agree.
    pub fn new(bound: Duration) -> ClockCheck {
        ClockCheck {
            bound_ms: millis(bound),
            readings: BTreeMap::new(),
            proven: false,
        }
    }

    /// Records the time in an answer of a process. Returns how far that time is ahead of this process's time,
    /// if the two disagree and did not disagree at the process's last reading.
    pub fn note(&mut self, now: Now, process: u64, answered: ClockAnswer) -> Option<i64> {
        let travel_ms = millis(now.mono.since(answered.sent).saturating_sub(answered.held));
        if answered.clock_ms == 0 || travel_ms > self.bound_ms {
            return None;
        }
        let reading = Reading {
            ahead_ms: answered.clock_ms as i64 + travel_ms as i64 / 2 - now.wall_ms as i64,
            proven: answered.proven,
        };
        let before = self.readings.insert(process, reading);
        let known = before.is_some_and(|b| self.differs(b.ahead_ms));
        (self.differs(reading.ahead_ms) && !known).then_some(reading.ahead_ms)
    }

    /// Drops the readings of processes for which `linked` is false.
    pub fn retain(&mut self, linked: impl Fn(u64) -> bool) {
        self.readings.retain(|process, _| linked(*process));
    }

    /// Marks the time of this process as proven, because a decision was based on it.
    pub fn prove(&mut self) {
        self.proven = true;
    }

    /// Returns whether the time of this process is proven.
    pub fn is_proven(&self) -> bool {
        self.proven
    }

    /// Returns by how much the time of this process is to be changed, if it is.
    ///
    /// It adopts the time on which a majority agrees: of the processes with a proven time, or, if there are
    /// none, of all processes including this one. Agreement with proven times proves the own time. A change
    /// drops all readings, since they compare with the previous time.
    pub fn take_correction(&mut self) -> Option<i64> {
        if self.proven {
            return None;
        }
        let proven = self.readings.values().filter(|r| r.proven);
        let mut votes: Vec<i64> = proven.map(|r| r.ahead_ms).collect();
        let from_proven = !votes.is_empty();
        if !from_proven {
            votes = self.readings.values().map(|r| r.ahead_ms).collect();
            votes.push(0);
        }
        votes.sort_unstable();
        let median = votes[votes.len() / 2];
        let agree = votes.iter().filter(|v| !self.differs(**v - median)).count();
        if agree * 2 <= votes.len() {
            return None;
        }
        self.proven = from_proven;
        let changed = self.differs(median);
        if changed {
            self.readings.clear();
        }
        changed.then_some(median)
    }

    /// Returns how far the clock with the largest difference is ahead; negative if it is behind.
    pub fn widest_ms(&self) -> i64 {
        let ahead = self.readings.values().map(|r| r.ahead_ms);
        ahead.max_by_key(|ms| ms.abs()).unwrap_or(0)
    }

    fn differs(&self, ahead_ms: i64) -> bool {
        ahead_ms.unsigned_abs() > self.bound_ms
    }
}

#[cfg(test)]
mod tests;
