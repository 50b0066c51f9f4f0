//! Settings of how a scheduler obtains the newest configuration.

use std::time::Duration;

use serde_json::Value;

use super::section::FieldDoc;
use super::section::FieldType;
use super::section::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// How a scheduler obtains the newest configuration.
    Catalogs ("catalog") {
        /// A scheduler that hears of a newer configuration waits this long for the store to deliver it before
        /// it asks a peer, whose link may be slow.
        store_first: ms = 200, 0..=60_000;
        /// A scheduler asks another peer after this long, which is enough for the largest configuration to
        /// pass a slow link.
        ask_again: ms = 800, 10..=60_000;
    }
}
