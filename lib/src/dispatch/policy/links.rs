//! How processes connect to each other.

use std::time::Duration;

use serde_json::Value;

use super::figure::Figure;
use super::figure::Row;
use super::figure::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// How processes connect to each other.
    Links ("links") {
        /// The shortest wait between tries to reach a process. It doubles with each that fails.
        redial_first: ms = 50, 1..=60_000;
        /// The longest wait between them.
        redial_last: ms = 300, 1..=60_000;
        /// How long the first try to connect may take: a machine that has just come up never sees one that was made before. It doubles with each that fails.
        connect_first: ms = 60, 1..=60_000;
        /// How long the last tries to connect may take, and the exchange of greetings.
        greeting: ms = 400, 1..=60_000;
        /// Of two schedulers that know each other, one has so long to connect first.
        yield_for: ms = 60, 0..=60_000;
    }
}
