//! Who may decide about a job that may be at work elsewhere.

use std::time::Duration;

use serde_json::Value;

use super::figure::Figure;
use super::figure::Row;
use super::figure::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// When a job may be at work elsewhere, and who may decide about it. What they rest on is told in `docs/design/platform.md`.
    Claims ("claims") {
        /// A scheduler places nothing that it has to claim before this time after its start or a long pause.
        meeting: ms = 100, 0..=60_000;
        /// A peer that has not been heard for so long may have jobs that were not announced here.
        unheard: ms = 600, 1..=60_000;
        /// A peer whose link was lost within this time may have taken jobs that it could not announce; a caller whose connection broke with the link comes again at once.
        link_lost: ms = 500, 0..=60_000;
        /// A job may be handed in again elsewhere after so long at the earliest. Below the time after which callers hand a job in again.
        again_after: ms = 1200, 1..=60_000;
        /// A scheduler that has started or come back within this time may have had jobs in its life before.
        warm_up: ms = 1300, 1..=60_000;
        /// Claims of two schedulers within this time are at odds; a later one replaces the earlier.
        contest: ms = 2000, 1..=60_000;
        /// Claims and the outcomes of jobs are remembered for this long.
        memory: ms = 20_000, 1..=3_600_000;
        /// A process that has not run for this long was paused.
        pause: ms = 250, 1..=60_000;
        /// A process that has been gone for this long is forgotten.
        forgotten: ms = 30_000, 1..=3_600_000;
    }
}
