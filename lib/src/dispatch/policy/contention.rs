//! The policy of jobs that compete for too little room.

use std::time::Duration;

use serde_json::Value;

use super::figure::Figure;
use super::figure::Row;
use super::figure::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// Who waits, who is refused and who goes first while jobs compete for room.
    Contention ("contention") {
        /// Whether what waits at other schedulers counts here, and jobs that can't be reached in time are refused as they come.
        on: switch = false, ();
        /// What peers told of their backlogs counts for so long. Three and a half heartbeats.
        told_age: ms = 350, 1..=60_000;
        /// A job is refused as it comes if it would wait this many times as long as it can. Forecasts are rough, and a job that is refused wrongly is lost to its caller.
        refuse_margin: ratio = 1.5, 1.0..=100.0;
        /// And so long beyond that: what was told may be older than a heartbeat.
        refuse_after: ms = 20, 0..=60_000;
        /// A kind of jobs goes before more urgent ones while less of it is served than this part of what is served of all others. Without it wide and patient jobs would get nothing while urgent ones fill all room.
        least_served: ratio = 0.5, 0.0..=1.0;
        /// What became of jobs counts for about so long in that: longer than a burst, so that one kind does not pay for all of it.
        share_memory: ms = 4000, 100..=600_000;
        /// Others go past a job that does not fit until this share of the time that it can wait has passed.
        pass_share: ratio = 0.5, 0.0..=1.0;
        /// A round of placing ends after so many jobs that did not fit, so that a long queue costs little.
        round_misses: count = 4, 1..=1000;
        /// The part of the room that comes free which callers that return may fill; the rest is left to those that come for the first time.
        return_share: ratio = 0.5, 0.01..=1.0;
        /// Callers that are refused stay away for so long at most.
        return_most: ms = 4000, 1..=600_000;
    }
}
