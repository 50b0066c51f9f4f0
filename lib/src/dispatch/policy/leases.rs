//! How long rights last.

use std::time::Duration;

use serde_json::Value;

use super::figure::Figure;
use super::figure::Row;
use super::figure::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// How long rights last. A task is placed again elsewhere once `lapse` has passed, so what runs for a scheduler must end by itself before that.
    Leases ("leases") {
        /// A scheduler's lease at an executor, from the reading that it echoes.
        lease: ms = 700, 10..=60_000;
        /// The worker keeps runs alive for so long after a renewal. Its clock may be 2 % slow.
        worker_hold: ms = 550, 10..=60_000;
        /// A link on which nothing arrives for so long is closed.
        silence: ms = 700, 10..=60_000;
        /// So long after an executor was last heard of, nothing runs there any more for this scheduler.
        lapse: ms = 1300, 10..=60_000;
    }
}
