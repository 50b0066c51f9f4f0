//! When a task is held to take workers down.

use std::time::Duration;

use serde_json::Value;

use super::figure::Figure;
use super::figure::Row;
use super::figure::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// When a task is held to take workers down. `lib/src/dispatch/crashes.rs` tells why.
    Crashes ("crashes") {
        /// Runs that began within this time before a worker crashed are suspects.
        window: ms = 200, 0..=60_000;
        /// A task is given up after so many crashes if it is the only suspect of the last. One crash proves nothing.
        proven: count = 2, 1..=1000;
        /// A task is given up after so many crashes, suspect or not.
        most: count = 3, 1..=1000;
        /// The same, counting crashes that met a start without an answer: it may never have arrived.
        most_unsure: count = 5, 1..=1000;
    }
}
