//! The policy of entries that are not alike.

use std::time::Duration;

use serde_json::Value;

use super::figure::Figure;
use super::figure::Row;
use super::figure::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// When an entry hands jobs that wait to another one. `lib/src/dispatch/balance.rs` tells why.
    Balance ("balance") {
        /// Whether an entry at which more waits than at others hands jobs on, to be run there.
        on: switch = false, ();
        /// A job is handed on once it has waited this long: by then every executor of the cell has said what room it has.
        wait: ms = 20, 0..=60_000;
        /// A job that must begin sooner than this stays: the way to another entry and from there to an executor uses that up.
        least_left: ms = 5, 0..=60_000;
        /// Jobs are handed on where more than this many times the mean waits. Less is not worth the way.
        uneven: ratio = 1.2, 1.0..=100.0;
        /// At most so many jobs are handed on in a round, so that a long queue does not fill a small link.
        round_jobs: count = 16, 1..=10_000;
        /// An entry that uses more than this share of its processor time is handed nothing: what it has begun would be late.
        busy: ratio = 0.85, 0.0..=1.0;
    }
}
