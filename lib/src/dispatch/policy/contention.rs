//! Settings of how jobs share room when there is too little of it.

use std::time::Duration;

use serde_json::Value;

use super::section::FieldDoc;
use super::section::FieldType;
use super::section::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// Which jobs wait, are refused or go first when there is too little room for all.
    Contention ("contention") {
        /// Whether work that waits at other schedulers is taken into account, and jobs that cannot be reached
        /// in time are refused on arrival.
        on: switch = false, ();
        /// How long the backlog that a peer has reported is used. Equals three and a half heartbeats.
        told_age: ms = 350, 1..=60_000;
        /// A job is refused on arrival if its predicted wait exceeds this many times the time that it can
        /// wait, plus `refuse_after_ms`. Predictions are rough, and a job that is refused wrongly is lost to
        /// its caller.
        refuse_margin: ratio = 1.5, 1.0..=100.0;
        /// The time added to that limit, because a reported backlog may be older than a heartbeat.
        refuse_after: ms = 20, 0..=60_000;
        /// Jobs of one kind go before more urgent ones while the served share of that kind is below this
        /// fraction of the served share of all others. Without it large and less urgent jobs get nothing
        /// while urgent ones fill all room.
        least_served: ratio = 0.5, 0.0..=1.0;
        /// The time constant with which served and refused jobs are forgotten in that comparison: longer than
        /// a burst, so that one kind does not bear all of its cost.
        share_memory: ms = 4000, 100..=600_000;
        /// Other jobs may overtake a job that does not fit until this share of the time that it can wait has
        /// passed.
        pass_share: ratio = 0.5, 0.0..=1.0;
        /// A placement round ends after this many jobs that did not fit, which bounds its cost while many
        /// jobs wait.
        round_misses: count = 4, 1..=1000;
        /// The share of the room that becomes free that retrying callers may fill. The rest is left to new
        /// ones.
        return_share: ratio = 0.5, 0.01..=1.0;
        /// The longest time after which a refused caller is told to retry.
        return_most: ms = 4000, 1..=600_000;
    }
}
