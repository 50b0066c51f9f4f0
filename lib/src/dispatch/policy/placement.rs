//! Which worker a task goes to.

use std::time::Duration;

use serde_json::Value;

use super::figure::Figure;
use super::figure::Row;
use super::figure::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// Which worker a task goes to. Scores are in thousandths of a free core.
    Placement ("placement") {
        /// What a worker in the own zone is ahead of others.
        own_zone: ratio = 800.0, 0.0..=1_000_000.0;
        /// What a worker near the task's data is ahead of others.
        near_data: ratio = 6000.0, 0.0..=1_000_000.0;
        /// What a worker on trial is behind others.
        trial_penalty: ratio = 2000.0, 0.0..=1_000_000.0;
        /// The choice among workers is spread by this, so that schedulers with the same reports choose differently.
        jitter: ratio = 900.0, 0.0..=1_000_000.0;
        /// A job's tasks go to at least so many workers, if there is room.
        split: count = 4, 1..=10_000;
        /// Reports older than this do not count. Three and a half heartbeats.
        report_age: ms = 350, 1..=60_000;
        /// A start may be this late at least, so that the way to the executor does not use it up.
        least_slack: ms = 25, 0..=60_000;
        /// A task that can't start within this time of its arrival at the executor is handed back, to go where there is room.
        room_wait: ms = 10, 0..=60_000;
    }
}
