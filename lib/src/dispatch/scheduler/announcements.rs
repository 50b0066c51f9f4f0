//! Which peers have said that they have a job. Several may have said so of one: a peer that took
//! it and gave it up again must not hide the one that is at work on it.

use std::collections::BTreeMap;

use crate::dispatch::model::JobNumber;
use crate::prelude::*;

#[derive(Clone, Debug)]
struct Announcement {
    peer: String,
    at: Mono,
}

/// The announcements, by job.
#[derive(Clone, Debug, Default)]
pub(super) struct Announcements {
    by_job: BTreeMap<JobNumber, Vec<Announcement>>,
}

impl Announcements {
    /// Notes that a peer has a job.
    pub fn note(&mut self, number: JobNumber, peer: &str, at: Mono) {
        let known = self.by_job.entry(number).or_default();
        known.retain(|a| a.peer != peer);
        let peer = peer.to_owned();
        known.push(Announcement { peer, at });
    }

    /// Notes that a peer has a job no more; whether it had said that it has.
    pub fn withdraw(&mut self, number: JobNumber, peer: &str) -> bool {
        let Some(known) = self.by_job.get_mut(&number) else {
            return false;
        };
        let before = known.len();
        known.retain(|a| a.peer != peer);
        let had = known.len() < before;
        if known.is_empty() {
            self.by_job.remove(&number);
        }
        had
    }

    /// Whether some peer has said that it has a job.
    pub fn is_announced(&self, number: JobNumber) -> bool {
        self.by_job.contains_key(&number)
    }

    /// The peers that have said so, the last first.
    pub fn holders(&self, number: JobNumber) -> impl Iterator<Item = &str> {
        let known = self.by_job.get(&number);
        let known = known.into_iter().flatten().rev();
        known.map(|a| a.peer.as_str())
    }

    /// Forgets what was said before a time.
    pub fn forget_before(&mut self, bound: Mono) {
        self.by_job.retain(|_, known| {
            known.retain(|a| a.at > bound);
            !known.is_empty()
        });
    }
}
