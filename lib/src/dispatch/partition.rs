//! The fleet divided into partitions, so that what a process sends, holds and computes does not grow with the fleet.
//!
//! Load pattern: hundreds of schedulers beside hundreds of executors. Where all are linked with all, links grow with the
//! square of the fleet, each job is announced to every scheduler and claimed at every executor, and a start of all
//! machines opens every link within seconds.
//!
//! A process belongs to the partition that the hash of its name gives, and a job to the one that the hash of its number
//! gives. Only schedulers and executors of one partition are linked, and only schedulers of its partition run a job, so
//! whatever keeps a task from running twice stays within a partition. An entry that is handed a job of another
//! partition forwards it there as any caller would hand it in (see [`forwarder`](super::forwarder)).
//!
//! How many partitions there are is written to the store once, so everybody divides alike. Which partition a name
//! belongs to depends on nothing else, so no two views of the members can differ about it.

use std::fmt;

use xxhash_rust::xxh3::xxh3_64;

use crate::dispatch::model::JobNumber;
use crate::dispatch::policy::Partitions as PartitionPolicy;

#[cfg(test)]
mod tests;

/// A fleet is divided by at most so many bits, into 256 partitions.
pub const MAX_BITS: u32 = 8;

/// A part of the fleet whose processes are linked with each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Partition(u64);

impl Partition {
    /// Its number, from 0.
    pub fn number(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Partition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Into how many partitions the fleet is divided: two to the power of some bits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Partitions {
    bits: u32,
}

impl Partitions {
    /// Two to the power of `bits` of them, if there may be so many.
    pub fn new(bits: u32) -> Option<Partitions> {
        (bits <= MAX_BITS).then_some(Partitions { bits })
    }

    /// As many as a fleet should have, by the names of its processes: the fewest in which no partition is too large in the
    /// mean, but no more than leave each enough schedulers to outlast the loss of most of them.
    pub fn for_fleet<S: AsRef<str>>(
        executors: &[S],
        schedulers: &[S],
        policy: &PartitionPolicy,
    ) -> Partitions {
        let (most, least) = (policy.executors as usize, policy.schedulers as usize);
        let suits = |bits: &u32| (executors.len() >> bits) <= most;
        let wanted = (0..=MAX_BITS).find(suits).unwrap_or(MAX_BITS);
        let divisions = (0..=wanted).rev().map(|bits| Partitions { bits });
        let mut allowed = divisions.filter(|p| p.sizes(schedulers).into_iter().all(|n| n >= least));
        allowed.next().unwrap_or_default()
    }

    /// How many of the processes with these names each partition has.
    pub fn sizes<S: AsRef<str>>(self, names: &[S]) -> Vec<usize> {
        let mut sizes = vec![0; self.count()];
        for name in names {
            sizes[self.of_name(name.as_ref()).0 as usize] += 1;
        }
        sizes
    }

    /// The bits by which the fleet is divided.
    pub fn bits(self) -> u32 {
        self.bits
    }

    /// How many there are.
    pub fn count(self) -> usize {
        1 << self.bits
    }

    /// All of them.
    pub fn all(self) -> impl Iterator<Item = Partition> {
        (0..1 << self.bits).map(Partition)
    }

    /// The partition of a process.
    pub fn of_name(self, name: &str) -> Partition {
        self.of_hash(name_hash(name))
    }

    /// The partition that runs a job.
    pub fn of_job(self, job: JobNumber) -> Partition {
        self.of_hash(xxh3_64(&job.0.to_be_bytes()))
    }

    /// The beginning of the paths of all processes of a partition. See [`path_of`].
    pub fn prefix(self, partition: Partition) -> String {
        digits(partition.0, self.bits)
    }

    fn of_hash(self, hash: u64) -> Partition {
        Partition(hash & ((1 << self.bits) - 1))
    }
}

/// Under which path a process stands in a list of all: its hash, then its name. Those of one partition stand under one
/// prefix, however many partitions there are.
pub fn path_of(name: &str) -> String {
    format!("{}/{name}", digits(name_hash(name), MAX_BITS))
}

/// The name of the process that stands under a path.
pub fn name_from_path(path: &str) -> Option<&str> {
    let (_, name) = path.split_once('/')?;
    (path_of(name) == path).then_some(name)
}

fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// The lowest bits of a hash as digits, the lowest first.
fn digits(hash: u64, bits: u32) -> String {
    let digit = |bit: u32| if hash >> bit & 1 == 1 { '1' } else { '0' };
    (0..bits).map(digit).collect()
}
