//! Settings of the orders that executors send to their workers.

use std::time::Duration;

use serde_json::Value;

use super::section::FieldDoc;
use super::section::FieldType;
use super::section::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// What executors ask of their workers, and how often.
    Orders ("orders") {
        /// How long the worker may keep a hold open before it answers. If the answer is lost, ended runs go
        /// unnoticed for about twice as long.
        hold_wait: ms = 25, 0..=2000;
        /// The same while nothing runs at the worker, if it is longer; off with 0. A start does not wait for it:
        /// a shorter hold is sent at once.
        idle_wait: ms = 0, 0..=300;
        /// An order without an answer for this long counts as unanswered. The worker is on the same box and
        /// answers within a few milliseconds.
        answer: ms = 40, 1..=60_000;
        /// The timeout of a hold in addition to the time that the worker may keep it open.
        hold_extra: ms = 20, 0..=60_000;
        /// A start must begin within this time on the worker's clock.
        start_within: ms = 500, 1..=60_000;
        /// A stop without an answer is sent again after this long.
        stop_again: ms = 40, 1..=60_000;
        /// A worker that has not answered for this long counts as silent. Single answers can be lost.
        silent_after: ms = 200, 1..=60_000;
        /// A worker that cannot be reached is gone once it has not answered for this long.
        gone_after: ms = 150, 1..=60_000;
        /// Nothing is started at a worker that has not reported its capacity for this many of its heartbeats,
        /// because its capacity may have shrunk since.
        room_beats: ratio = 2.2, 1.0..=1000.0;
        /// The wait before a worker that has just failed to answer is asked again.
        ask_soon: ms = 10, 1..=60_000;
        /// The wait before a silent worker is asked again.
        ask_again: ms = 40, 1..=60_000;
        /// The wait before a silent worker is asked again once all of its runs must have ended, because no
        /// order keeps them alive any more.
        ask_seldom: ms = 200, 1..=60_000;
    }
}
