//! Settings of a scheduler's cell, the executors at which it places tasks.

use std::time::Duration;

use serde_json::Value;

use super::section::FieldDoc;
use super::section::FieldType;
use super::section::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// At which executors a scheduler places tasks. It is on standby at the others.
    Cells ("cells") {
        /// The number of executors in a cell; those of the scheduler's own zone come first. A fleet of no
        /// more executors is a single cell.
        size: count = 48, 1..=100_000;
        /// Cells are larger than `size` where schedulers are few, so that each executor is in this many cells
        /// on average and hardly any is in none.
        cover: count = 6, 1..=1000;
        /// The interval between heartbeats on standby links.
        heartbeat: ms = 1000, 10..=60_000;
        /// A standby link on which nothing arrives for this long is closed. Equals two and a half heartbeats.
        silence: ms = 2500, 20..=600_000;
        /// The maximum number of additional executors at which a scheduler places tasks while jobs find no
        /// room in its cell.
        lent: count = 8, 0..=100_000;
        /// How long the additional executors are used. Others are then drawn, which spreads the load of a
        /// cell that is short of room.
        lent_for: ms = 1000, 10..=600_000;
    }
}
