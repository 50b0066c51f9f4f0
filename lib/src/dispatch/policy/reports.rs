//! What processes tell each other.

use std::time::Duration;

use serde_json::Value;

use super::figure::Figure;
use super::figure::Row;
use super::figure::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// What processes tell each other, and how often.
    Reports ("reports") {
        /// Updates of an executor to one scheduler are at least this far apart, unless they tell of ends.
        gap: ms = 15, 1..=10_000;
        /// The same for each scheduler that is linked, so that reports do not grow with their number.
        gap_each: ms = 3, 0..=1000;
        /// Heartbeats on links are this far apart.
        heartbeat: ms = 100, 10..=10_000;
        /// Claims that go to all executors are gathered for so long.
        claim_gap: ms = 10, 0..=1000;
        /// Announcements of jobs to peers are gathered for so long.
        news_gap: ms = 15, 0..=1000;
        /// The same for each peer that is linked, and no longer than until the next heartbeat, so that their number does not decide how many messages a scheduler takes in.
        news_each: ms = 2, 0..=1000;
    }
}
