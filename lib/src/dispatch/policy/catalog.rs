//! How a scheduler comes by the newest configuration.

use std::time::Duration;

use serde_json::Value;

use super::figure::Figure;
use super::figure::Row;
use super::figure::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// How a scheduler comes by the newest configuration.
    Catalogs ("catalog") {
        /// One that hears of a newer configuration leaves the store so long to tell it before it asks a peer, whose link may be slow.
        store_first: ms = 200, 0..=60_000;
        /// It asks another peer after this long, in which the largest configuration passes a slow link.
        ask_again: ms = 800, 10..=60_000;
    }
}
