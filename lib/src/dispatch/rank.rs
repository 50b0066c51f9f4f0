//! The order in which a process chooses among others: those of its zone first, and each process in another order, so
//! that all are chosen alike.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A process's place in the order of another one; the lowest come first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    elsewhere: bool,
    hash: u64,
}

impl Rank {
    /// The rank of `other` for the process `own`.
    pub fn of(own: &str, other: &str, same_zone: bool) -> Rank {
        let seed = xxh3_64_with_seed(own.as_bytes(), 0);
        Rank {
            elsewhere: !same_zone,
            hash: xxh3_64_with_seed(other.as_bytes(), seed),
        }
    }
}
