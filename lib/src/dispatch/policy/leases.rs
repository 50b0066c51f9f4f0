//! Settings of the leases under which schedulers use executors and workers keep runs alive.

use std::time::Duration;

use serde_json::Value;

use super::section::FieldDoc;
use super::section::FieldType;
use super::section::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// How long leases last. A task is placed again elsewhere once `lapse` has passed, so whatever still runs
    /// for the scheduler must end by itself before that.
    Leases ("leases") {
        /// A scheduler's lease at an executor, counted from the clock reading that the scheduler echoes.
        lease: ms = 700, 10..=60_000;
        /// How long the worker keeps runs alive after a renewal. Its clock may run 2 % slow.
        worker_hold: ms = 550, 10..=60_000;
        /// A link on which nothing arrives for this long is closed.
        silence: ms = 700, 10..=60_000;
        /// An executor that has not been heard from for this long no longer runs anything for this scheduler.
        lapse: ms = 1300, 10..=60_000;
    }
}
