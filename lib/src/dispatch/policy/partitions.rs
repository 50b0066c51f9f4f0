//! How a large fleet is divided.

use std::time::Duration;

use serde_json::Value;

use super::figure::Figure;
use super::figure::Row;
use super::figure::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// How large a fleet is divided, and how jobs of other partitions are forwarded.
    Partitions ("partitions") {
        /// A fleet is divided until a partition has no more executors than this in the mean. Hashes leave its parts unequal by some of a hundred: the larger they are, the less that matters under load.
        executors: count = 256, 1..=100_000;
        /// It is divided no further than leaves each partition so many schedulers, of which most may be lost at once.
        schedulers: count = 8, 1..=100_000;
        /// A forwarded job is handed to another scheduler this long after the link to the first broke, so that its peers have noticed as well.
        again_broken: ms = 100, 1..=60_000;
        /// It is handed to another this long after it was sent, if nothing comes from the first. Not below `claims.again_after_ms`.
        again_silent: ms = 1300, 1..=60_000;
        /// A scheduler to which jobs are forwarded is heard at least this often meanwhile.
        heartbeat: ms = 200, 10..=10_000;
        /// One that is not heard for so long meanwhile is sent nothing more. Three heartbeats and a half.
        silence: ms = 700, 20..=60_000;
        /// One that could not be reached is tried again after this long.
        avoid: ms = 1000, 1..=60_000;
        /// Of each other partition so many schedulers are remembered, those that come first. Where half of all machines are lost, one in four thousand lists then has nobody left.
        candidates: count = 12, 1..=1000;
        /// A link over which nothing was forwarded for so long is closed.
        idle: ms = 30_000, 100..=3_600_000;
        /// The schedulers of one other partition are read again this often, one partition after the other.
        refresh: ms = 3000, 100..=600_000;
        /// Before a fleet is divided for the first time, its processes have so long to appear.
        appear: ms = 700, 0..=600_000;
        /// They are counted again this often, until two counts agree.
        count_again: ms = 400, 10..=60_000;
    }
}
