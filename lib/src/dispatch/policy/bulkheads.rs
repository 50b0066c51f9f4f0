//! Settings of bulkheads, which confine the tasks of a queue that crashes workers.

use std::time::Duration;

use serde_json::Value;

use super::section::FieldDoc;
use super::section::FieldType;
use super::section::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// When the tasks of a queue are confined to a part of the workers.
    /// `lib/src/dispatch/scheduler/bulkhead.rs` gives the reasons.
    Bulkheads ("bulkheads") {
        /// Whether queues are confined at all.
        on: switch = true, ();
        /// A crash is attributed to the jobs whose runs began within this time before it. With a much larger
        /// value unrelated runs share it, and no queue stands out.
        evidence: ms = 15, 0..=60_000;
        /// Crashes are counted over this time.
        span: ms = 3000, 1..=600_000;
        /// A queue is confined once this many crashes are attributed to it. One crash proves nothing: with 1,
        /// crashes that no queue causes confine one.
        crashes: ratio = 2.0, 0.0..=1000.0;
        /// The queue must also account for at least this share of all crashes.
        most_of: ratio = 0.6, 0.0..=1.0;
        /// It must also account for this share of the crashes that its part of the starts does not explain:
        /// crashes that no queue causes are attributed to queues in proportion to their starts.
        beyond: ratio = 0.3, 0.0..=1.0;
        /// A queue is not confined where all other queues together have no more than this share of the
        /// starts.
        least_others: ratio = 0.02, 0.0..=1.0;
        /// The share of the workers that a queue is confined to.
        share: ratio = 0.34, 0.0..=1.0;
        /// A queue is released once there has been no reason to confine it for this long.
        open_after: ms = 3000, 1..=600_000;
    }
}
