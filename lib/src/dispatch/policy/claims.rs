//! Settings of claims, by which schedulers agree on who runs a job that may already run elsewhere.

use std::time::Duration;

use serde_json::Value;

use super::section::FieldDoc;
use super::section::FieldType;
use super::section::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// When a job may already run elsewhere, and which scheduler may decide about it.
    /// `docs/design/platform.md` explains what the values rest on.
    Claims ("claims") {
        /// For this long after its start or a long pause a scheduler places no job that it must claim first.
        meeting: ms = 100, 0..=60_000;
        /// A peer that has been silent for this long may have jobs that were not announced here.
        unheard: ms = 600, 1..=60_000;
        /// A peer whose link was lost within this time may have accepted jobs that it could not announce. A
        /// caller whose connection broke together with the link submits its job again at once.
        link_lost: ms = 500, 0..=60_000;
        /// The earliest time after which a job may be submitted again at another entry. Must be below the
        /// time after which callers resubmit a job.
        again_after: ms = 1200, 1..=60_000;
        /// A scheduler that has started or resumed within this time may have had jobs before that it no
        /// longer knows of.
        warm_up: ms = 1300, 1..=60_000;
        /// Claims of two schedulers to one job within this time conflict, and the first scheduler by name
        /// wins. A later claim replaces the earlier one.
        contest: ms = 2000, 1..=60_000;
        /// How long claims and the outcomes of jobs are remembered.
        memory: ms = 20_000, 1..=3_600_000;
        /// The maximum number of cancelled jobs that schedulers and executors remember, for the same time. It
        /// bounds the memory that they take, and the first messages on links.
        cancels: count = 4000, 1..=1_000_000;
        /// A process that has not run for this long counts as having been paused.
        pause: ms = 250, 1..=60_000;
        /// A process that has been gone for this long is forgotten.
        forgotten: ms = 30_000, 1..=3_600_000;
    }
}
