//! Whether the time of day that a process carries on is that of its fleet.
//!
//! A process reads its box's clock once, when it starts, and that clock may be wrong just then. So
//! it compares its time with that of the processes it is linked to. Its time is *proven* once it
//! agrees with a proven one, or once something was decided by it; from then on it never changes.
//! Until then the process goes by the time of the others: a fleet keeps the time of its first
//! processes for as long as any is left, however often boxes' clocks are set.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Mono;
use crate::clock::Now;
use crate::clock::millis;

/// What one process's clock said.
#[derive(Clone, Copy, Debug)]
struct Reading {
    /// How far it was ahead of this process's time.
    ahead_ms: i64,
    /// Whether that process's time is proven.
    proven: bool,
}

/// A peer's time of day in an answer of its.
#[derive(Clone, Copy, Debug)]
pub struct ClockAnswer {
    /// What it carried on when it answered, in Unix milliseconds.
    pub clock_ms: u64,
    /// When the message that it answers was sent.
    pub sent: Mono,
    /// For how long it had that message before it answered.
    pub held: Duration,
    /// Whether its time is proven.
    pub proven: bool,
}

/// What the clocks of linked processes said last.
#[derive(Clone, Debug)]
pub struct ClockCheck {
    /// Clocks that differ by less are alike; an answer that was under way for longer tells nothing.
    bound_ms: u64,
    readings: BTreeMap<u64, Reading>,
    proven: bool,
}

impl ClockCheck {
    /// No readings yet. Clocks that differ by less than `bound` are alike.
    pub fn new(bound: Duration) -> ClockCheck {
        ClockCheck {
            bound_ms: millis(bound),
            readings: BTreeMap::new(),
            proven: false,
        }
    }

    /// Notes what a process's clock said in an answer. Returns how far it is ahead of the own
    /// time, if that is more than clocks may differ and was not known yet.
    pub fn note(&mut self, now: Now, process: u64, answered: ClockAnswer) -> Option<i64> {
        let way_ms = millis(now.mono.since(answered.sent).saturating_sub(answered.held));
        if answered.clock_ms == 0 || way_ms > self.bound_ms {
            return None;
        }
        let reading = Reading {
            ahead_ms: answered.clock_ms as i64 + way_ms as i64 / 2 - now.wall_ms as i64,
            proven: answered.proven,
        };
        let before = self.readings.insert(process, reading);
        let known = before.is_some_and(|b| self.differs(b.ahead_ms));
        (self.differs(reading.ahead_ms) && !known).then_some(reading.ahead_ms)
    }

    /// Keeps what was noted of these processes only.
    pub fn retain(&mut self, linked: impl Fn(u64) -> bool) {
        self.readings.retain(|process, _| linked(*process));
    }

    /// Something was decided by the own time.
    pub fn prove(&mut self) {
        self.proven = true;
    }

    /// Whether the own time is proven.
    pub fn is_proven(&self) -> bool {
        self.proven
    }

    /// By how much the own time is to change: to that of the processes whose time is proven, else
    /// to that of most processes, this one among them. What was noted before is forgotten then.
    pub fn take_correction(&mut self) -> Option<i64> {
        if self.proven {
            return None;
        }
        let proven = self.readings.values().filter(|r| r.proven);
        let mut votes: Vec<i64> = proven.map(|r| r.ahead_ms).collect();
        let led = !votes.is_empty();
        if !led {
            votes = self.readings.values().map(|r| r.ahead_ms).collect();
            votes.push(0);
        }
        votes.sort_unstable();
        let middle = votes[votes.len() / 2];
        let agree = votes.iter().filter(|v| !self.differs(**v - middle)).count();
        if agree * 2 <= votes.len() {
            return None;
        }
        self.proven = led;
        let shifted = self.differs(middle);
        if shifted {
            self.readings.clear();
        }
        shifted.then_some(middle)
    }

    /// How far the clock that differs most is ahead.
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
