//! What executors ask of their workers.

use std::time::Duration;

use serde_json::Value;

use super::figure::Figure;
use super::figure::Row;
use super::figure::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// What executors ask of their workers, and how often.
    Orders ("orders") {
        /// A hold waits this long at the worker. When its answer is lost, ends go unread for about twice as long.
        hold_wait: ms = 25, 0..=2000;
        /// An order that has got no answer for so long counts as unanswered. The worker is on the same box and answers within a few.
        answer: ms = 40, 1..=60_000;
        /// How much longer than asked for the answer to a hold may take.
        hold_extra: ms = 20, 0..=60_000;
        /// A start must begin within this time on the worker's clock.
        start_within: ms = 500, 1..=60_000;
        /// A stop that got no answer is sent again after this long.
        stop_again: ms = 40, 1..=60_000;
        /// Single answers can be lost; a worker that gives none for this long counts as silent.
        silent_after: ms = 200, 1..=60_000;
        /// A worker that can't be reached at all for this long is gone.
        gone_after: ms = 150, 1..=60_000;
        /// Nothing is started at a worker that has not said for so many of its heartbeats what room it has. Its room may have shrunk meanwhile.
        room_beats: ratio = 2.2, 1.0..=1000.0;
        /// A worker that has failed to answer once is asked again after this long.
        ask_soon: ms = 10, 1..=60_000;
        /// A worker that is silent is asked again after this long.
        ask_again: ms = 40, 1..=60_000;
        /// A worker that is silent and keeps nothing of ours alive is asked again after this long.
        ask_seldom: ms = 200, 1..=60_000;
    }
}
