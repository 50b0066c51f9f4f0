//! Settings of how slow, failing and stalled workers are detected.

use std::time::Duration;

use serde_json::Value;

use super::section::FieldDoc;
use super::section::FieldType;
use super::section::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// How slow, failing and stalled workers are detected, and when they are tried again.
    Health ("health") {
        /// A worker that takes this many times as long as the others gets trial tasks only. Estimates are
        /// rough: with a smaller value healthy workers would count as slow.
        slow_ratio: ratio = 2.0, 1.0..=100.0;
        /// The interval between trial tasks at a slow worker, multiplied by the number of schedulers that
        /// place tasks there, so that each of them tries less often.
        slow_trial: ms = 200, 1..=60_000;
        /// A worker's pace is the median of the newest readings of this many jobs, so that one job with a
        /// wrong estimate does not make it count as slow.
        pace_jobs: count = 7, 1..=100;
        /// Readings older than this are dropped as newer ones arrive, so that a worker that has recovered is
        /// soon recognized.
        pace_age: ms = 1000, 1..=60_000;
        /// A run's pace is read from its progress over this time, or over a tenth of its estimate if that is
        /// longer. It spans about two holds.
        pace_span: ms = 40, 1..=60_000;
        /// Whether a run at a slow worker is stopped and run elsewhere if it would be late here and in time
        /// there.
        move_slow: switch = true, ();
        /// The time it takes to stop a run and to start it elsewhere.
        move_time: ms = 25, 0..=60_000;
        /// The number of consecutive failures of different jobs that make a worker suspect.
        failures: count = 3, 1..=1000;
        /// The shortest interval between trial tasks at a suspect worker. It doubles with each failed trial.
        trial_first: ms = 400, 1..=60_000;
        /// The longest interval between them.
        trial_last: ms = 3200, 1..=600_000;
        /// A run without progress for this long, plus a tenth of its estimate, counts as stalled.
        stall: ms = 170, 1..=60_000;
    }
}
