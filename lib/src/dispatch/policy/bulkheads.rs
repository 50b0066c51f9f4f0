//! When the tasks of a queue are confined to a part of the workers.

use std::time::Duration;

use serde_json::Value;

use super::figure::Figure;
use super::figure::Row;
use super::figure::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// When the tasks of a queue are confined to a part of the workers. `lib/src/dispatch/scheduler/bulkhead.rs` tells why.
    Bulkheads ("bulkheads") {
        /// Whether queues are confined at all.
        on: switch = true, ();
        /// Runs that began within this time before a crash share it. With much more, runs that have nothing to do with it share it and no queue stands out.
        evidence: ms = 15, 0..=60_000;
        /// Crashes are counted over this long.
        span: ms = 3000, 1..=600_000;
        /// A queue is confined once so many crashes fall to it. One proves nothing; with 1 crashes that nobody is to blame for confine one.
        crashes: ratio = 2.0, 0.0..=1000.0;
        /// At least this share of all crashes must fall to it.
        most_of: ratio = 0.6, 0.0..=1.0;
        /// And it must have so much of what its part of the starts does not explain: crashes that nobody is to blame for fall to queues by their starts.
        beyond: ratio = 0.3, 0.0..=1.0;
        /// It is not confined where all others together have less than this part of the starts.
        least_others: ratio = 0.02, 0.0..=1.0;
        /// The share of the workers that it is confined to.
        share: ratio = 0.34, 0.0..=1.0;
        /// It is confined until there was no reason to for so long.
        open_after: ms = 3000, 1..=600_000;
    }
}
