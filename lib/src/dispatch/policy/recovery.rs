//! Settings of the restart of a fleet after the loss of many processes.

use std::time::Duration;

use serde_json::Value;

use super::section::FieldDoc;
use super::section::FieldType;
use super::section::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// How a fleet that has just restarted resumes its work.
    Recovery ("recovery") {
        /// Whether entries that have just started serve jobs before they have met every executor.
        on: switch = false, ();
        /// An entry that has not learned the roster from the store this long after its start asks a peer to
        /// read it. Until then its own reading may still arrive.
        roster_first: ms = 50, 0..=60_000;
        /// The entry asks another peer after this long. A peer needs part of that to notice the request.
        roster_again: ms = 300, 10..=60_000;
        /// An executor that has been silent for this long is not waited for if it is known for which
        /// schedulers it may run tasks. Equals two and a half heartbeats.
        silent: ms = 250, 10..=60_000;
    }
}
