//! Settings of job admission: when a job begins, is refused or is given up.

use std::time::Duration;

use rand::Rng;
use serde_json::Value;

use super::section::FieldDoc;
use super::section::FieldType;
use super::section::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// When a job begins, and when it is refused or given up.
    Admission ("admission") {
        /// The share of a job's spare time that may pass before it begins. A job that begins later is likely
        /// to be late, and keeps others from being in time.
        sure_share: ratio = 0.6, 0.0..=1.0;
        /// How many times the mean time a task takes at the slowest ordinary worker. The part of a queue's
        /// `extension` above it is spare time.
        slow_allowance: ratio = 1.25, 1.0..=10.0;
        /// A job is given up once this many times its objective has passed: its result is then worth nothing
        /// to its caller.
        late_factor: ratio = 3.0, 1.0..=10.0;
        /// The longest time that a job waits to begin, whatever estimate its caller gives.
        longest_wait: ms = 5_000, 1..=86_400_000;
        /// The longest time until a job is given up, whatever estimate its caller gives.
        longest_life: ms = 60_000, 1..=86_400_000;
        /// The part of the objective that passes on the network between the caller and the entry, in both
        /// directions.
        travel: ms = 12, 0..=10_000;
        /// A job begins once this share of its ready tasks finds room. The rest is then placed before all
        /// jobs that have not begun.
        begin_share: ratio = 0.6, 0.0..=1.0;
        /// A job whose ready tasks need more than this share of the capacity of all workers of the cell is
        /// placed task by task, as room becomes free.
        wide_share: ratio = 0.15, 0.0..=1.0;
        /// A late job that has begun, and of which at most this share of the tasks waits, is placed before
        /// jobs that have not begun, since little of it is left to do.
        finish_share: ratio = 0.25, 0.0..=1.0;
        /// A late job that has begun, and of which more than `finish_share` waits, is given up after this
        /// long.
        late_wait: ms = 60, 0..=60_000;
        /// The maximum number of jobs that one placement round looks at, which bounds its cost while many
        /// jobs wait.
        round_jobs: count = 24, 1..=10_000;
        /// The shortest time after which a refused caller is told to retry.
        retry_base: ms = 400, 0..=60_000;
        /// Retries are spread evenly over this time after the shortest one, so that callers do not return all
        /// at once.
        retry_spread: ms = 800, 1..=60_000;
        /// The weight of the newest run in the learned ratio of actual to estimated run times of a queue.
        learn_weight: ratio = 0.05, 0.0..=1.0;
    }
}

impl Admission {
    /// Returns the time after which a refused caller is told to retry, in milliseconds. It is random, so that
    /// callers do not all return at once.
    pub fn retry_delay_ms(&self, rng: &mut impl Rng) -> u32 {
        let [base, spread] = [self.retry_base, self.retry_spread];
        let [base, spread] = [base, spread].map(|span| crate::clock::millis(span) as u32);
        base + rng.random_range(0..spread)
    }
}
