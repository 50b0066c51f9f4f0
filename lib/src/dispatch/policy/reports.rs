//! Settings of the messages between executors and schedulers.

use std::time::Duration;

use serde_json::Value;

use super::section::FieldDoc;
use super::section::FieldType;
use super::section::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// What processes report to each other, and how often.
    Reports ("reports") {
        /// The minimum interval between an executor's updates to one scheduler, except for updates that
        /// report ended runs.
        gap: ms = 15, 1..=10_000;
        /// The same for each linked scheduler, so that the number of reports does not grow with the number of
        /// schedulers.
        gap_each: ms = 3, 0..=1000;
        /// The interval between heartbeats on links.
        heartbeat: ms = 100, 10..=10_000;
        /// Claims that go to all executors are batched for this long.
        claim_gap: ms = 10, 0..=1000;
        /// Announcements of jobs to peers are batched for this long.
        news_gap: ms = 15, 0..=1000;
        /// The same for each linked peer, but at most until the next heartbeat, so that the number of
        /// messages a scheduler receives does not depend on the number of peers.
        news_each: ms = 2, 0..=1000;
    }
}
