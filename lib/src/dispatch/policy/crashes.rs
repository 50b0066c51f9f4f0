//! Settings of when a task counts as the cause of worker crashes.

use std::time::Duration;

use serde_json::Value;

use super::section::FieldDoc;
use super::section::FieldType;
use super::section::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// When a task counts as the cause of worker crashes. `lib/src/dispatch/crashes.rs` gives the reasons.
    Crashes ("crashes") {
        /// A run that began within this time before its worker crashed is a suspect.
        window: ms = 200, 0..=60_000;
        /// A task is given up after this many crashes if it is the only suspect of the last one. One crash
        /// proves nothing.
        proven: count = 2, 1..=1000;
        /// A task is given up after this many crashes, whether it is a suspect or not.
        most: count = 3, 1..=1000;
        /// The same limit if crashes also count during which a start of the task was still unanswered: the
        /// start may never have arrived.
        most_unsure: count = 5, 1..=1000;
    }
}
