//! The policy after a loss of many processes.

use std::time::Duration;

use serde_json::Value;

use super::figure::Figure;
use super::figure::Row;
use super::figure::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// How a fleet that has just come back takes up its work.
    Recovery ("recovery") {
        /// Whether entries that have just started serve jobs before they have met every executor.
        on: switch = false, ();
        /// One that the store has not told which executors there are asks a peer to read it this long after its start. Before that its own reading may still come.
        roster_first: ms = 50, 0..=60_000;
        /// It asks another peer after this long. A peer needs part of that to notice the question.
        roster_again: ms = 300, 10..=60_000;
        /// An executor that is not heard for so long is not waited for if it is known for whom it may run something. Two and a half heartbeats.
        silent: ms = 250, 10..=60_000;
    }
}
