//! The policy of workers that are not alike.

use serde_json::Value;

use super::figure::Figure;
use super::figure::Row;
use super::figure::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// How fast workers are, and what follows for where tasks go.
    Speeds ("speeds") {
        /// Whether tasks are placed by when they would end at each worker, and each worker's speed is learned.
        on: switch = false, ();
    }
}
