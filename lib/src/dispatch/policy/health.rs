//! How slow, failing and hanging workers are told.

use std::time::Duration;

use serde_json::Value;

use super::figure::Figure;
use super::figure::Row;
use super::figure::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// How slow, failing and hanging workers are told, and when they are tried again.
    Health ("health") {
        /// A worker that takes this many times as long as the others gets tasks on trial only. Estimates are rough: with less, sound workers would be held to be slow.
        slow_ratio: ratio = 2.0, 1.0..=100.0;
        /// Such a worker gets a task on trial this often, for each scheduler that is linked: the more there are, the less each tries.
        slow_trial: ms = 200, 1..=60_000;
        /// A worker's pace is the middle of the newest readings of so many jobs, so that one job with a wrong estimate does not make it slow.
        pace_jobs: count = 7, 1..=100;
        /// Older readings do not count while there are newer ones, so that a worker that was slow is soon seen to be well again.
        pace_age: ms = 1000, 1..=60_000;
        /// A run's pace is read from its progress over this long, or a tenth of its estimate if that is longer. Two holds.
        pace_span: ms = 40, 1..=60_000;
        /// A run at a slow worker is stopped and run elsewhere if it would be late here and in time there.
        move_slow: switch = true, ();
        /// How long it takes to stop it and to start it elsewhere.
        move_time: ms = 25, 0..=60_000;
        /// So many failures of different jobs in a row make a worker suspect.
        failures: count = 3, 1..=1000;
        /// The shortest wait between tasks on trial at a suspect worker. It doubles with each trial that goes wrong.
        trial_first: ms = 400, 1..=60_000;
        /// The longest wait between them.
        trial_last: ms = 3200, 1..=600_000;
        /// A task without progress for this long, and a tenth of its estimate, hangs.
        stall: ms = 170, 1..=60_000;
    }
}
