//! The policy of urgent jobs that take the room of others.

use serde_json::Value;

use super::figure::Figure;
use super::figure::Row;
use super::figure::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// When runs of less urgent queues are stopped for urgent jobs.
    Preemption ("preemption") {
        /// Whether an urgent job that finds no room may stop runs of less urgent queues.
        on: switch = false, ();
    }
}
