//! When a job begins, is refused or is given up.

use std::time::Duration;

use rand::Rng;
use serde_json::Value;

use super::figure::Figure;
use super::figure::Row;
use super::figure::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// When a job begins, and when it is refused or given up.
    Admission ("admission") {
        /// The share of a job's spare time that may pass before it begins. Jobs that begin later keep others from being in time.
        sure_share: ratio = 0.6, 0.0..=1.0;
        /// How long the slowest ordinary worker takes against the mean one; what is left of `extension` above it is spare time.
        slow_allowance: ratio = 1.25, 1.0..=10.0;
        /// A job is worth something to its caller up to this many times its objective.
        late_factor: ratio = 3.0, 1.0..=10.0;
        /// What of the objective passes on the way from the caller and back to it.
        travel: ms = 12, 0..=10_000;
        /// A fresh job begins once this share of its tasks finds room; the rest goes before all others.
        begin_share: ratio = 0.6, 0.0..=1.0;
        /// A job that takes more than this share of all workers is placed piece by piece.
        wide_share: ratio = 0.15, 0.0..=1.0;
        /// A late job of which no more than this share waits is finished before others begin, since little of it is left to do.
        finish_share: ratio = 0.25, 0.0..=1.0;
        /// A late job of which more waits is given up after this long.
        late_wait: ms = 60, 0..=60_000;
        /// Jobs looked at in one round of placing, so that a long queue costs little.
        round_jobs: count = 24, 1..=10_000;
        /// Callers that are refused come back after this long at the earliest.
        retry_base: ms = 400, 0..=60_000;
        /// They are spread over this long.
        retry_spread: ms = 800, 1..=60_000;
        /// The weight of the newest reading in what is learned of the times of a queue's tasks.
        learn_weight: ratio = 0.05, 0.0..=1.0;
    }
}

impl Admission {
    /// When a caller that is refused comes back, in milliseconds. Callers are spread, so that they do not all come at once.
    pub fn come_back_ms(&self, rng: &mut impl Rng) -> u32 {
        let [base, spread] = [self.retry_base, self.retry_spread];
        let [base, spread] = [base, spread].map(|span| crate::clock::millis(span) as u32);
        base + rng.random_range(0..spread)
    }
}
