//! Settings of load balancing between entries.

use std::time::Duration;

use serde_json::Value;

use super::section::FieldDoc;
use super::section::FieldType;
use super::section::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// When an entry hands off waiting jobs to another one. `lib/src/dispatch/balance.rs` gives the reasons.
    Balance ("balance") {
        /// Whether an entry with more waiting work than others hands off jobs to them.
        on: switch = false, ();
        /// A job is handed off once it has waited this long. By then every executor of the cell has reported
        /// its free room.
        wait: ms = 20, 0..=60_000;
        /// A job that must begin sooner than this stays: sending it to another entry and from there to an
        /// executor would use up that time.
        least_left: ms = 5, 0..=60_000;
        /// Jobs are handed off while more than this many times the mean waits at the entry. A smaller
        /// difference is not worth the transfer.
        uneven: ratio = 1.2, 1.0..=100.0;
        /// The maximum number of jobs handed off in one round, so that a long queue does not saturate a slow
        /// link.
        round_jobs: count = 16, 1..=10_000;
        /// An entry that uses more than this share of its processor time gets no jobs from others: it would
        /// be late with those it already has.
        busy: ratio = 0.85, 0.0..=1.0;
    }
}
