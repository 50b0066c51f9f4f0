//! Settings of the orderly shutdown of an entry.

use std::time::Duration;

use serde_json::Value;

use super::section::FieldDoc;
use super::section::FieldType;
use super::section::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// How an entry shuts down.
    Leaving ("leaving") {
        /// How long the entry keeps accepting connections, so that the load balancer can notice that it is no
        /// longer ready.
        still_open: ms = 2200, 0..=600_000;
        /// After that it exits once it holds no job and none has arrived for this long.
        quiet: ms = 500, 0..=600_000;
        /// The part of the time granted for the shutdown that is kept for giving up the remaining jobs, and
        /// as a margin.
        reserve: ms = 400, 0..=600_000;
        /// How long the process waits for its last answers to be sent.
        last_answers: ms = 120, 0..=600_000;
        /// Whether a job that would outlast the process is handed off to another scheduler, which runs it. A job
        /// that could not end there in time either is refused.
        hand_on: switch = true, ();
        /// A job that arrives during the shutdown is run here if this many times its expected time is left.
        /// One that takes longer than that is given up with an answer.
        room_to_end: ratio = 1.35, 1.0..=10.0;
    }
}
