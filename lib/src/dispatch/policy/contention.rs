//! The policy of jobs that compete for too little room.

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
    }
}
