//! Settings of how a large fleet is divided into partitions.

use std::time::Duration;

use serde_json::Value;

use super::section::FieldDoc;
use super::section::FieldType;
use super::section::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// How a large fleet is divided, and how jobs of other partitions are forwarded.
    Partitions ("partitions") {
        /// A fleet is divided until its partitions have at most this many executors on average. Hashing makes
        /// their sizes differ by several percent, which matters less under load the larger they are.
        executors: count = 256, 1..=100_000;
        /// A fleet is not divided any further once a partition would have fewer schedulers than this, since
        /// most of them may be lost at once.
        schedulers: count = 8, 1..=100_000;
        /// A forwarded job is sent to another scheduler this long after the link to the first one broke, so
        /// that the peers of the first one have noticed as well.
        again_broken: ms = 100, 1..=60_000;
        /// A forwarded job is sent to another scheduler this long after it was sent if the first one stays
        /// silent. Must not be below `claims.again_after_ms`.
        again_silent: ms = 1300, 1..=60_000;
        /// A scheduler that has forwarded jobs sends a message at least this often.
        heartbeat: ms = 200, 10..=10_000;
        /// A scheduler that has been silent for this long is sent no more jobs. Equals three and a half
        /// heartbeats.
        silence: ms = 700, 20..=60_000;
        /// How long a scheduler that could not be reached is avoided.
        avoid: ms = 1000, 1..=60_000;
        /// The number of schedulers of each other partition that are kept, in order of preference. If half of
        /// all machines are lost, one in four thousand such lists has nobody left.
        candidates: count = 12, 1..=1000;
        /// A link over which nothing has been forwarded for this long is closed.
        idle: ms = 30_000, 100..=3_600_000;
        /// The interval at which the schedulers of one other partition are read again, one partition after
        /// the other.
        refresh: ms = 3000, 100..=600_000;
        /// How long processes have to register, at least, before a fleet is divided for the first time.
        appear: ms = 700, 0..=600_000;
        /// The processes are counted again after one to two times this long, until two counts agree.
        count_again: ms = 400, 10..=60_000;
    }
}
