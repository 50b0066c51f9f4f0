//! Settings of how processes connect to each other.

use std::time::Duration;

use serde_json::Value;

use super::section::FieldDoc;
use super::section::FieldType;
use super::section::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// How processes connect to each other.
    Links ("links") {
        /// The shortest wait between attempts to connect to a process. It doubles with each failed attempt.
        redial_first: ms = 50, 1..=60_000;
        /// The longest wait between them.
        redial_last: ms = 300, 1..=60_000;
        /// The timeout of the first attempt to connect. It doubles with each failed attempt. It is short
        /// because a machine that has just come up never sees an attempt made before that.
        connect_first: ms = 60, 1..=60_000;
        /// The longest timeout of an attempt to connect, and the timeout of the exchange of greetings.
        greeting: ms = 400, 1..=60_000;
        /// Of two schedulers that know each other, one waits this long for the other to connect first.
        yield_for: ms = 60, 0..=60_000;
    }
}
