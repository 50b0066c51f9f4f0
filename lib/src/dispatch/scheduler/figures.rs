//! What a scheduler tells of itself: counters, ages of what it believes, what it holds.

use std::collections::BTreeMap;

use super::Scheduler;
use crate::dispatch::timings::JobTimings;
use crate::prelude::*;

/// Counters, for metrics.
#[derive(Clone, Debug, Default)]
pub struct SchedulerCounts {
    /// Jobs handed in.
    pub submitted: u64,
    /// Jobs that were handed in again and joined one that is known.
    pub joined: u64,
    /// Jobs that were claimed at the executors before they ran.
    pub claims: u64,
    /// Jobs handed to peers at which less waits.
    pub handed: u64,
    /// Jobs taken that peers have handed here.
    pub taken: u64,
    /// Tasks placed.
    pub placed: u64,
    /// Jobs of which tasks waited although there was room, since they would have been late there.
    pub held_back: u64,
    /// Tasks placed again, by why the earlier try ended.
    pub again: BTreeMap<&'static str, u64>,
    /// Jobs ended, by outcome.
    pub outcomes: BTreeMap<&'static str, u64>,
    /// Refusals and failures, by cause.
    pub causes: BTreeMap<&'static str, u64>,
}

/// How old what a scheduler believes is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BeliefAges {
    /// The catalog, since it came into force here.
    pub catalog: Duration,
    /// The store's word that there is no newer one.
    pub catalog_checked: Duration,
    /// The oldest report of an executor of the cell.
    pub executors: Duration,
    /// The oldest word of a linked peer.
    pub peers: Duration,
}

impl Scheduler {
    /// The counters.
    pub fn counts(&self) -> &SchedulerCounts {
        &self.counts
    }

    /// How long jobs take.
    pub fn timings(&self) -> &JobTimings {
        &self.timings
    }

    /// How old what is believed is: the catalog, since when it is in force; the oldest reports of
    /// executors and the oldest words of peers that are linked.
    pub fn ages(&self, now: Mono) -> BeliefAges {
        let executors = self
            .cell
            .executors
            .iter()
            .filter_map(|key| self.executors.get(*key));
        let peers = self.peers.values().filter(|p| p.link.is_some());
        let oldest =
            |last_heard: Option<Mono>| last_heard.map_or(Duration::ZERO, |at| now.since(at));
        let [since, checked] = self.catalog.times();
        BeliefAges {
            catalog: now.since(since),
            catalog_checked: now.since(checked),
            executors: oldest(executors.map(|e| e.last_heard).min()),
            peers: oldest(peers.map(|p| p.last_heard).min()),
        }
    }

    /// Jobs held, jobs that wait, linked executors, linked peers.
    pub fn load(&self) -> [usize; 4] {
        let linked = self.executors.values().filter(|e| e.link.is_some());
        let peers = self.peers.values().filter(|p| p.link.is_some());
        [
            self.jobs.len(),
            self.waiting.len(),
            linked.count(),
            peers.count(),
        ]
    }

    /// Executors in the cell, and those of them that are lent to it.
    pub fn cell(&self) -> [usize; 2] {
        let executors = self
            .cell
            .executors
            .iter()
            .filter_map(|key| self.executors.get(*key));
        let lent = executors.filter(|e| !e.core_member).count();
        [self.cell.executors.len(), lent]
    }
}
