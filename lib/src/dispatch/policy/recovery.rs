//! The policy after a loss of many processes.

use serde_json::Value;

use super::figure::Figure;
use super::figure::Row;
use super::figure::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// How a fleet that has just come back takes up its work.
    Recovery ("recovery") {
        /// Whether entries that have just started serve jobs before they have met every executor.
        on: switch = false, ();
    }
}
