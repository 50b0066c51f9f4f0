//! The policy of urgent jobs that take the room of others.

use std::time::Duration;

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
        /// An urgent job takes the room of others no sooner than this long before a stop would come too late for it: room that becomes free by itself meanwhile costs nobody anything.
        margin: ms = 10, 0..=60_000;
        /// How long it may take until the room of a stopped run is confirmed to be free. Nothing is stopped for a task that would start too late after it.
        stop_time: ms = 50, 1..=60_000;
        /// What stops may throw away a second, as a share of the worker's room: work that is done twice is room that others wait for.
        waste_share: ratio = 0.05, 0.0..=1.0;
        /// The share of a worker's room that may be cleared at the same time, so that less urgent queues are still served.
        room_share: ratio = 0.5, 0.0..=1.0;
        /// How often one task may be stopped for others, so that each of them ends at last.
        stops: count = 1, 0..=1000;
    }
}
