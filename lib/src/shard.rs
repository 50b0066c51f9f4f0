//! Shards: the fixed number of parts into which job ids are hashed. Each shard has one owner, an
//! entry, and an epoch that rises with each change of the owner.

use xxhash_rust::xxh3::xxh3_64;

use crate::job_id::JobId;

/// The number of a shard, from 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ShardId(pub u32);

/// The number of changes of a shard's owner. An agent refuses any start under an epoch lower than
/// the highest one it has seen for the shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Epoch(pub u64);

impl ShardId {
    /// Returns the shard of a job among `count` shards.
    pub fn of(job: JobId, count: u32) -> ShardId {
        ShardId((xxh3_64(job.as_bytes()) % u64::from(count.max(1))) as u32)
    }

    /// Returns the shard, among `count` shards, whose owner decides about a name such as a team's.
    pub fn of_name(name: &str, count: u32) -> ShardId {
        ShardId((xxh3_64(name.as_bytes()) % u64::from(count.max(1))) as u32)
    }
}

/// Returns the digest of a job's service and body, which reveals an id that is reused for another
/// body or service.
pub fn body_digest(service: &str, body: &[u8]) -> u64 {
    xxh3_64(body) ^ xxh3_64(service.as_bytes()).rotate_left(1)
}
