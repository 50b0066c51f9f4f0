//! Which of the jobs that wait at an entry are handed off to another entry, and to which one.
//!
//! Load pattern: all entries place tasks at the same workers, and each entry with waiting work gets about the
//! same part of the room that becomes free. Callers use the entries of their own zone, so an entry of a busy
//! zone takes 1.5 times as many jobs as another. In a burst nothing waits at the other one, while this one
//! refuses jobs that find no room in time.
//!
//! Decision: the work above the mean goes to entries below the mean, with probabilities proportional to their
//! distance from it. Entries that hand off at the same time bring the others to the mean together without
//! coordination. A job is never handed off to an entry where more would wait than here.

use rand::Rng;
use rand::seq::IndexedRandom;

/// Another entry that accepts jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<K> {
    /// The caller's key for the entry.
    pub key: K,
    /// The work that waits there, in thousandths of a core.
    pub waiting: u64,
}

/// The work that waits at an entry and at those that may take some of it.
#[derive(Clone, Debug)]
pub struct Balancer<K> {
    own: u64,
    mean: u64,
    others: Vec<Candidate<K>>,
}

impl<K: Copy> Balancer<K> {
    /// Creates a balancer for an entry at which `own` thousandths of a core wait.
    pub fn new(own: u64, others: Vec<Candidate<K>>) -> Balancer<K> {
        let waiting = others.iter().map(|c| c.waiting);
        let sum = waiting.fold(own, u64::saturating_add);
        let mean = sum / (others.len() as u64 + 1);
        Balancer { own, mean, others }
    }

    /// Returns whether more than `ratio` times the mean waits here.
    pub fn is_overloaded(&self, ratio: f64) -> bool {
        self.own as f64 > self.mean as f64 * ratio
    }

    /// Chooses the entry that runs a waiting job of `size`, or `None` if the job stays here. A job that is
    /// handed off counts as waiting there from then on.
    pub fn assign(&mut self, size: u64, rng: &mut impl Rng) -> Option<K> {
        let left = self.own.checked_sub(size)?;
        // The entry may end up below the mean by up to half of the job: that is nearer to the mean than
        // before.
        if left + size / 2 < self.mean {
            return None;
        }
        let (mean, own) = (self.mean, self.own);
        let fits = |waiting: u64| waiting.checked_add(size).is_some_and(|sum| sum <= own);
        let eligible = |c: &&mut Candidate<K>| c.waiting < mean && fits(c.waiting);
        let mut eligible: Vec<&mut Candidate<K>> =
            self.others.iter_mut().filter(eligible).collect();
        let weights: Vec<u64> = eligible.iter().map(|c| mean - c.waiting).collect();
        let indices: Vec<usize> = (0..eligible.len()).collect();
        let index = *indices.choose_weighted(rng, |p| weights[*p]).ok()?;
        let chosen = &mut eligible[index];
        chosen.waiting += size;
        let key = chosen.key;
        self.own = left;
        Some(key)
    }
}

#[cfg(test)]
mod tests;
