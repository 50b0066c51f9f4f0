//! The policy of entries that are not alike.

use serde_json::Value;

use super::figure::Figure;
use super::figure::Row;
use super::figure::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// When an entry hands fresh jobs to another one.
    Balance ("balance") {
        /// Whether an entry short of processor time hands jobs to one that has some left.
        on: switch = false, ();
    }
}
