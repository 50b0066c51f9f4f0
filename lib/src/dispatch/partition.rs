//! Divides a large fleet into partitions, so that the links, messages and work of a process do not grow with
//! the fleet.
//!
//! Load pattern: hundreds of schedulers and hundreds of executors. If all were linked with all, the number of
//! links would grow with the square of the fleet, each job would be announced to every scheduler and claimed
//! at every executor, and a simultaneous start of all machines would open every link within seconds.
//!
//! The hash of a process's name selects its partition, and the hash of a job's number selects the partition
//! that runs it. Only schedulers and executors of one partition are linked, and only schedulers of its
//! partition run a job, so the protocol that keeps a task from running twice stays within one partition. An
//! entry that receives a job of another partition forwards it there as any caller would submit it (see
//! [`forwarder`](super::forwarder)).
//!
//! The number of partitions is written to the store once, so all processes use the same one. The partition of
//! a name depends on nothing else, so processes with different views of the members still agree on it.

use std::fmt;

use xxhash_rust::xxh3::xxh3_64;

use crate::dispatch::model::JobNumber;
use crate::dispatch::policy::Partitions as PartitionPolicy;

#[cfg(test)]
mod tests;

/// The largest number of bits by which a fleet is divided, for 256 partitions.
pub const MAX_BITS: u32 = 8;

/// A part of the fleet whose schedulers and executors are linked with each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Partition(u64);

impl Partition {
    /// Returns the number of the partition, from 0.
    pub fn number(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Partition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The division of the fleet into a number of partitions that is a power of two.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Partitions {
    bits: u32,
}

impl Partitions {
    /// Creates a division into two to the power of `bits` partitions; `None` if `bits` exceeds [`MAX_BITS`].
    pub fn new(bits: u32) -> Option<Partitions> {
        (bits <= MAX_BITS).then_some(Partitions { bits })
    }

    /// Chooses the division for a fleet with these processes: the smallest number of partitions that keeps
    /// their mean size within the limit of the policy, but never so many that a partition has too few
    /// schedulers to survive the loss of most of them.
    pub fn for_fleet<S: AsRef<str>>(
        executors: &[S],
        schedulers: &[S],
        policy: &PartitionPolicy,
    ) -> Partitions {
        let (max_executors, min_schedulers) =
            (policy.executors as usize, policy.schedulers as usize);
        let is_small = |bits: &u32| (executors.len() >> bits) <= max_executors;
        let wanted = (0..=MAX_BITS).find(is_small).unwrap_or(MAX_BITS);
        let divisions = (0..=wanted).rev().map(|bits| Partitions { bits });
        let mut allowed =
            divisions.filter(|p| p.sizes(schedulers).into_iter().all(|n| n >= min_schedulers));
        allowed.next().unwrap_or_default()
    }

    /// Returns how many of the processes with these names belong to each partition, by its number.
    pub fn sizes<S: AsRef<str>>(self, names: &[S]) -> Vec<usize> {
        let mut sizes = vec![0; self.count()];
        for name in names {
            sizes[self.of_name(name.as_ref()).0 as usize] += 1;
        }
        sizes
    }

    /// Returns the number of bits by which the fleet is divided.
    pub fn bits(self) -> u32 {
        self.bits
    }

    /// Returns the number of partitions.
    pub fn count(self) -> usize {
        1 << self.bits
    }

    /// Returns all partitions, in the order of their numbers.
    pub fn all(self) -> impl Iterator<Item = Partition> {
        (0..1 << self.bits).map(Partition)
    }

    /// Returns the partition of the process with this name.
    pub fn of_name(self, name: &str) -> Partition {
        self.of_hash(name_hash(name))
    }

    /// Returns the partition that runs a job.
    pub fn of_job(self, job: JobNumber) -> Partition {
        self.of_hash(xxh3_64(&job.0.to_be_bytes()))
    }

    /// Returns the common prefix of the paths of all processes of a partition. See [`path_of`].
    pub fn prefix(self, partition: Partition) -> String {
        binary_digits(partition.0, self.bits)
    }

    fn of_hash(self, hash: u64) -> Partition {
        Partition(hash & ((1 << self.bits) - 1))
    }
}

/// Returns the path of a process in the list of all processes: the bits of its hash, then its name. The
/// processes of a partition share a prefix for every number of partitions.
pub fn path_of(name: &str) -> String {
    format!("{}/{name}", binary_digits(name_hash(name), MAX_BITS))
}

/// Returns the name of the process that a path belongs to; `None` if the hash in it is not that of the name.
pub fn name_from_path(path: &str) -> Option<&str> {
    let (_, name) = path.split_once('/')?;
    (path_of(name) == path).then_some(name)
}

fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Returns the lowest bits of a hash as binary digits, the lowest bit first.
fn binary_digits(hash: u64, bits: u32) -> String {
    let digit = |bit: u32| if hash >> bit & 1 == 1 { '1' } else { '0' };
    (0..bits).map(digit).collect()
}
