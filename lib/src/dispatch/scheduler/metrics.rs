//! Metrics of a scheduler: counters, the ages of what its decisions rest on, and what it holds. Nothing here
//! affects decisions.

use std::collections::BTreeMap;

use super::Scheduler;
use crate::dispatch::timings::JobTimings;
use crate::prelude::*;

/// Counters for metrics.
#[derive(Clone, Debug, Default)]
pub struct SchedulerCounts {
    /// Jobs submitted here.
    pub submitted: u64,
    /// Jobs submitted again that joined a known one.
    pub joined: u64,
    /// Claims of jobs at the executors.
    pub claims: u64,
    /// Cancels that were forgotten early because more were kept than allowed.
    pub dropped_cancels: u64,
    /// Jobs handed off to peers where less work waits; those handed off while leaving are not counted.
    pub handoffs_sent: u64,
    /// Jobs that peers handed off to this scheduler, for either reason.
    pub handoffs_accepted: u64,
    /// Tasks placed.
    pub placed: u64,
    /// Jobs with tasks that waited although there was free capacity, because they would have been late there.
    pub held_back: u64,
    /// Attempts that did not complete their task, by how they ended.
    pub unfinished_attempts: BTreeMap<&'static str, u64>,
    /// Jobs ended, by outcome.
    pub outcomes: BTreeMap<&'static str, u64>,
    /// Refusals and failures, by cause.
    pub causes: BTreeMap<&'static str, u64>,
}

/// The ages of the information that decisions rest on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InformationAges {
    /// How long the catalog has been in force here.
    pub catalog: Duration,
    /// The age of the store's last confirmation that there is no newer catalog.
    pub catalog_checked: Duration,
    /// The age of the oldest report of an executor of the cell.
    pub executors: Duration,
    /// The age of the oldest message of a linked peer.
    pub peers: Duration,
}

impl Scheduler {
    /// Returns the counters.
    pub fn counts(&self) -> &SchedulerCounts {
        &self.counts
    }

    /// Returns how long jobs take.
    pub fn timings(&self) -> &JobTimings {
        &self.timings
    }

    /// Returns the ages of the information that decisions rest on.
    pub fn ages(&self, now: Mono) -> InformationAges {
        let executors = self
            .cell
            .executors
            .iter()
            .filter_map(|key| self.executors.get(*key));
        let peers = self.peers.values().filter(|p| p.link.is_some());
        let oldest =
            |last_heard: Option<Mono>| last_heard.map_or(Duration::ZERO, |at| now.since(at));
        let [since, checked] = self.catalog.times();
        InformationAges {
            catalog: now.since(since),
            catalog_checked: now.since(checked),
            executors: oldest(executors.map(|e| e.last_heard).min()),
            peers: oldest(peers.map(|p| p.last_heard).min()),
        }
    }

    /// Returns the numbers of jobs held, jobs that wait, linked executors and linked peers.
    pub fn gauges(&self) -> [usize; 4] {
        let linked = self.executors.values().filter(|e| e.link.is_some());
        let peers = self.peers.values().filter(|p| p.link.is_some());
        [
            self.jobs.len(),
            self.waiting.len(),
            linked.count(),
            peers.count(),
        ]
    }

    /// Returns the numbers of executors in the cell, and of those lent to it.
    pub fn cell_sizes(&self) -> [usize; 2] {
        let executors = self
            .cell
            .executors
            .iter()
            .filter_map(|key| self.executors.get(*key));
        let lent = executors.filter(|e| !e.core_member).count();
        [self.cell.executors.len(), lent]
    }
}
