//! Settings of the choice of a worker for a task.

use std::time::Duration;

use serde_json::Value;

use super::section::FieldDoc;
use super::section::FieldType;
use super::section::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// Which worker a task goes to. Scores are in thousandths of a free core.
    Placement ("placement") {
        /// What is added to the score of a worker in the scheduler's own zone.
        own_zone: ratio = 800.0, 0.0..=1_000_000.0;
        /// What is added to the score of a worker near the task's data.
        near_data: ratio = 6000.0, 0.0..=1_000_000.0;
        /// What is subtracted from the score of a worker that gets trial tasks only.
        trial_penalty: ratio = 2000.0, 0.0..=1_000_000.0;
        /// The range of a random addition to each score, so that schedulers with the same reports choose
        /// differently.
        jitter: ratio = 900.0, 0.0..=1_000_000.0;
        /// At most one part in this many of a step's ready tasks goes to a worker in one choice, which
        /// spreads a job over several workers if there is room.
        split: count = 4, 1..=10_000;
        /// Reports older than this are ignored. Equals three and a half heartbeats.
        report_age: ms = 350, 1..=60_000;
        /// The minimum time that a start is given to begin, so that the transfer to the executor does not use
        /// it up.
        least_slack: ms = 25, 0..=60_000;
        /// A task that cannot start within this time of its arrival at the executor is returned, so that it
        /// can be placed where there is room.
        room_wait: ms = 10, 0..=60_000;
    }
}
