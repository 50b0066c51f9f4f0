//! The order in which a process chooses among other processes: those of its own zone first, then by a hash of
//! both names. Each process has a different order, so that all are chosen equally often.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The position of a process in the order of another one; the lowest comes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    other_zone: bool,
    hash: u64,
}

impl Rank {
    /// Returns the rank of `other` in the order of the process `own`.
    pub fn of(own: &str, other: &str, same_zone: bool) -> Rank {
        let seed = xxh3_64_with_seed(own.as_bytes(), 0);
        Rank {
            other_zone: !same_zone,
            hash: xxh3_64_with_seed(other.as_bytes(), seed),
        }
    }
}
