//! At which executors a scheduler places tasks.

use std::time::Duration;

use serde_json::Value;

use super::figure::Figure;
use super::figure::Row;
use super::figure::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// At which executors a scheduler places tasks. It is on standby at the others.
    Cells ("cells") {
        /// A scheduler places tasks at so many executors: those of its own zone first. A fleet of no more is one cell.
        size: count = 48, 1..=100_000;
        /// A cell is larger than that where schedulers are few, so that an executor is in the cells of so many on average and hardly any is in none.
        cover: count = 6, 1..=1000;
        /// Heartbeats on links on standby are this far apart.
        heartbeat: ms = 1000, 10..=60_000;
        /// A link on standby on which nothing arrives for so long is closed. Two heartbeats and a half.
        silence: ms = 2500, 20..=600_000;
        /// While jobs find no room, a scheduler places tasks at up to so many executors more.
        lent: count = 8, 0..=100_000;
        /// It goes on doing so for this long; a new draw then spreads the load of a cell that is short of room.
        lent_for: ms = 1000, 10..=600_000;
    }
}
