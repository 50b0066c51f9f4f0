//! The order in which a scheduler takes executors into its cell.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// An executor's place in a scheduler's order; the lowest are its cell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    elsewhere: bool,
    hash: u64,
}

impl Rank {
    /// The rank of an executor for the scheduler of this name.
    pub fn of(scheduler: &str, executor: &str, same_zone: bool) -> Rank {
        let seed = xxh3_64_with_seed(scheduler.as_bytes(), 0);
        Rank {
            elsewhere: !same_zone,
            hash: xxh3_64_with_seed(executor.as_bytes(), seed),
        }
    }
}
