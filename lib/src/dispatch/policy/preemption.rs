//! Settings of preemption, by which urgent jobs take the room of less urgent ones.

use std::time::Duration;

use serde_json::Value;

use super::section::FieldDoc;
use super::section::FieldType;
use super::section::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// When runs of less urgent queues are stopped for urgent jobs.
    Preemption ("preemption") {
        /// Whether an urgent job that finds no room may stop runs of less urgent queues.
        on: switch = false, ();
        /// An urgent job preempts others at most this long before a stop would come too late for it: room
        /// that becomes free by itself until then costs nothing.
        margin: ms = 10, 0..=60_000;
        /// The time until the room of a stopped run is confirmed to be free. Nothing is stopped for a task
        /// that would then start too late.
        stop_time: ms = 50, 1..=60_000;
        /// How much work stops may discard a second, as a share of the worker's capacity: work that is done
        /// twice takes room that others wait for.
        waste_share: ratio = 0.05, 0.0..=1.0;
        /// The share of a worker's capacity that may be cleared at the same time, so that less urgent queues
        /// are still served.
        room_share: ratio = 0.5, 0.0..=1.0;
        /// How often one task may be stopped for others, so that every task ends eventually.
        stops: count = 1, 0..=1000;
    }
}
