//! The platform's key-value store as the state machines see it: operations and replies are values.
//!
//! A state machine requests a [`StoreOp`] and receives a [`StoreReply`] later, or never. The daemons execute
//! the operations on a real store through the `Store` trait of `stackcourse-daemon`.

use bytes::Bytes;

/// An operation on the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreOp {
    /// Reads a key.
    Get {
        /// The key.
        key: String,
    },
    /// Writes a key if its index is still `index` (compare-and-swap); 0 requires that the key is absent.
    Swap {
        /// The key.
        key: String,
        /// The index at which the key was read last.
        index: u64,
        /// The new value.
        value: Bytes,
    },
    /// Removes a key that is no longer needed. Nothing depends on its success.
    Remove {
        /// The key.
        key: String,
    },
}

/// A value with the index of its last change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// The value.
    pub value: Bytes,
    /// The store's index of the last change of the key; above 0.
    pub index: u64,
}

/// The result of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// The value of the key; `None` if the key is absent.
    Value(Option<Stored>),
    /// Whether the swap was made.
    Swapped(bool),
    /// No answer: a read has no result, and a swap may or may not have been made.
    Lost,
}
