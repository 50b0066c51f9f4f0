//! How an entry leaves.

use std::time::Duration;

use serde_json::Value;

use super::figure::Figure;
use super::figure::Row;
use super::figure::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// How an entry leaves.
    Leaving ("leaving") {
        /// It goes on taking jobs for so long at least, while the balancer takes note.
        still_open: ms = 2200, 0..=600_000;
        /// After that it ends once no job has come for so long.
        quiet: ms = 500, 0..=600_000;
        /// What it keeps of the time it has to end: for giving up what is left, and as a reserve.
        reserve: ms = 400, 0..=600_000;
        /// How long its last answers take to be sent.
        last_answers: ms = 120, 0..=600_000;
        /// A job that would outlast the process is handed to another scheduler, which runs it.
        hand_on: switch = true, ();
        /// A job that is taken while leaving may take this many times as long as expected. One that takes longer is given up with an answer.
        room_to_end: ratio = 1.35, 1.0..=10.0;
    }
}
