//! Which of the jobs that wait at an entry are run by another one, and by which.
//!
//! Load pattern: all entries place tasks at the same workers, and each that has work waiting gets about the same part
//! of the room that becomes free. Callers come to the entries of their own zone, so that an entry of a busy zone takes
//! half as many jobs again as another; in a burst nothing waits at the latter, while the former refuses what found no
//! room in time.
//!
//! Decision: what waits above the mean goes to entries below it, each as likely as it is far below. Entries that do so
//! at the same time then bring the others to the mean together, without agreeing on anything. A job is never handed to an
//! entry where more would wait than here.

use rand::Rng;
use rand::seq::IndexedRandom;

/// Another entry that takes jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<K> {
    /// Which one it is.
    pub key: K,
    /// What waits there, in thousandths of a core.
    pub waiting: u64,
}

/// What waits at an entry and at those that may take some of it.
#[derive(Clone, Debug)]
pub struct Balancer<K> {
    own: u64,
    mean: u64,
    others: Vec<Candidate<K>>,
}

impl<K: Copy> Balancer<K> {
    /// Compares what waits here with what waits elsewhere, in thousandths of a core.
    pub fn new(own: u64, others: Vec<Candidate<K>>) -> Balancer<K> {
        let sum: u64 = own + others.iter().map(|c| c.waiting).sum::<u64>();
        let mean = sum / (others.len() as u64 + 1);
        Balancer { own, mean, others }
    }

    /// Whether what waits here is more than `ratio` times the mean.
    pub fn is_overloaded(&self, ratio: f64) -> bool {
        self.own as f64 > self.mean as f64 * ratio
    }

    /// Who runs a job of `size` that waits here; nobody if it stays. What is handed on counts from then on.
    pub fn assign(&mut self, size: u64, rng: &mut impl Rng) -> Option<K> {
        let left = self.own.checked_sub(size)?;
        // Half of the job may go below the mean: it is nearer to it then than with the job.
        if left + size / 2 < self.mean {
            return None;
        }
        let (mean, own) = (self.mean, self.own);
        let suited = |c: &&mut Candidate<K>| c.waiting < mean && c.waiting + size <= own;
        let mut suited: Vec<&mut Candidate<K>> = self.others.iter_mut().filter(suited).collect();
        let weights: Vec<u64> = suited.iter().map(|c| mean - c.waiting).collect();
        let places: Vec<usize> = (0..suited.len()).collect();
        let place = *places.choose_weighted(rng, |p| weights[*p]).ok()?;
        let chosen = &mut suited[place];
        chosen.waiting += size;
        let key = chosen.key;
        self.own = left;
        Some(key)
    }
}

#[cfg(test)]
mod tests;
