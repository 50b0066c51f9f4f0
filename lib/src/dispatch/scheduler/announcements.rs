//! Records which peers have announced that they hold a job.
//!
//! Several peers may have announced the same job, and all of them are kept: a peer that accepted a job and
//! gave it up again must not hide the one that is running it. Announcements expire by their age.

use std::collections::BTreeMap;

use crate::dispatch::model::JobNumber;
use crate::prelude::*;

/// A peer's announcement of a job.
#[derive(Clone, Debug)]
struct Announcement {
    peer: String,
    at: Mono,
}

/// The announcements by job, each list with the newest last.
#[derive(Clone, Debug, Default)]
pub(super) struct Announcements {
    by_job: BTreeMap<JobNumber, Vec<Announcement>>,
}

impl Announcements {
    /// Records that a peer holds a job.
    pub fn record(&mut self, number: JobNumber, peer: &str, at: Mono) {
        let known = self.by_job.entry(number).or_default();
        known.retain(|a| a.peer != peer);
        let peer = peer.to_owned();
        known.push(Announcement { peer, at });
    }

    /// Removes the announcement of a job by a peer. Returns whether there was one.
    pub fn withdraw(&mut self, number: JobNumber, peer: &str) -> bool {
        let Some(known) = self.by_job.get_mut(&number) else {
            return false;
        };
        let before = known.len();
        known.retain(|a| a.peer != peer);
        let removed = known.len() < before;
        if known.is_empty() {
            self.by_job.remove(&number);
        }
        removed
    }

    /// Returns whether a peer has announced a job.
    pub fn is_announced(&self, number: JobNumber) -> bool {
        self.by_job.contains_key(&number)
    }

    /// Returns the peers that have announced a job, the most recent first.
    pub fn holders(&self, number: JobNumber) -> impl Iterator<Item = &str> {
        let known = self.by_job.get(&number);
        let known = known.into_iter().flatten().rev();
        known.map(|a| a.peer.as_str())
    }

    /// Drops the announcements made at or before the given time.
    pub fn forget_before(&mut self, bound: Mono) {
        self.by_job.retain(|_, known| {
            known.retain(|a| a.at > bound);
            !known.is_empty()
        });
    }
}
