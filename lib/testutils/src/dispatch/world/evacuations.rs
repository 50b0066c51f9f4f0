//! Evacuated zones in a simulated world.
//!
//! Keeps the store's records of zones, delivers them to the schedulers that the store serves, and checks that
//! no task is placed in a zone that its scheduler knows, or must know by now, to be evacuated.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use stackcourse_lib::prelude::LinkId;
use stackcourse_lib::protos::dispatch::frame::Body;

use super::*;

/// The time after which an accepted evacuation must be in force, in microseconds.
const IN_FORCE_US: u64 = 5_000_000;
/// The time after which a scheduler that runs and is served by the store must know all zones, in
/// microseconds.
const SERVED_US: u64 = 1_000_000;

/// The store's records of zones.
#[derive(Clone, Debug, Default)]
pub(super) struct Evacuations {
    revision: u64,
    /// The evacuated zones: the revision, and when it was accepted.
    zones: BTreeMap<String, (u64, u64)>,
    /// The schedulers that the store does not serve: they receive no zone records.
    unserved: BTreeSet<usize>,
}

impl Evacuations {
    /// Returns whether the store serves a scheduler.
    pub fn serves(&self, scheduler: usize) -> bool {
        !self.unserved.contains(&scheduler)
    }

    /// Returns the evacuated zones with their revisions.
    fn listed(&self) -> BTreeMap<String, u64> {
        let zones = self.zones.iter();
        zones
            .map(|(zone, (revision, _))| (zone.clone(), *revision))
            .collect()
    }
}

impl World {
    /// Makes the store accept that a zone is evacuated, or no longer so, and tell the schedulers that it
    /// serves.
    pub fn set_evacuated(&mut self, zone: &str, evacuated: bool) {
        self.evacuations.revision += 1;
        let revision = self.evacuations.revision;
        if evacuated {
            let since = (revision, self.now);
            self.evacuations.zones.insert(zone.to_owned(), since);
        } else {
            self.evacuations.zones.remove(zone);
        }
        let record = ZoneRecord {
            revision,
            evacuated,
        };
        for n in 0..self.schedulers.len() {
            if self.evacuations.serves(n) {
                let incarnation = self.incarnation(Node::Scheduler(n));
                self.schedule(
                    WATCH_DELAY_US,
                    Event::Zone(n, incarnation, zone.to_owned(), record),
                );
            }
        }
    }

    /// Returns whether a zone is evacuated according to the store.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuations.zones.contains_key(zone)
    }

    /// Returns the zones that a scheduler knows to be evacuated.
    pub fn evacuated_at(&self, scheduler: usize) -> Vec<String> {
        let zones = self.schedulers[scheduler].scheduler.evacuated();
        zones.map(str::to_owned).collect()
    }

    /// Makes the store withhold zone records from these schedulers and serve all others. Those that it serves
    /// again read the roster and all zones, because they missed the changes meanwhile.
    pub fn set_unserved(&mut self, schedulers: BTreeSet<usize>) {
        for n in 0..self.schedulers.len() {
            let (before, after) = (self.evacuations.serves(n), !schedulers.contains(&n));
            if before != after {
                self.schedulers[n].served_since = after.then_some(self.now);
            }
        }
        let served_again = self.evacuations.unserved.difference(&schedulers);
        let served_again: Vec<usize> = served_again.copied().collect();
        self.evacuations.unserved = schedulers;
        for n in served_again {
            let incarnation = self.incarnation(Node::Scheduler(n));
            self.schedule(ROSTER_DELAY_US, Event::Roster(n, incarnation));
        }
    }

    pub(super) fn deliver_zone(
        &mut self,
        n: usize,
        incarnation: u64,
        zone: &str,
        record: ZoneRecord,
    ) {
        if self.incarnation(Node::Scheduler(n)) == incarnation && self.evacuations.serves(n) {
            self.with_scheduler(n, |s, now| s.set_evacuation(now, zone, record));
        }
    }

    /// Delivers all zone records from the store to a scheduler.
    pub(super) fn deliver_all_zones(&mut self, n: usize) {
        if self.evacuations.serves(n) {
            let (listed, at) = (self.evacuations.listed(), self.evacuations.revision);
            self.with_scheduler(n, |s, now| s.set_evacuations(now, &listed, at));
        }
    }

    /// Checks a message of a scheduler: it must not place tasks in a zone that it knows, or must know by now,
    /// to be evacuated.
    pub(super) fn check_evacuations(&mut self, n: usize, link: LinkId, body: &Body) {
        let Body::Orders(orders) = body else {
            return;
        };
        let wire = self.network.wires.get(&link);
        let other = wire.map(|w| w.other(Node::Scheduler(n)).0);
        let Some(Node::Executor(executor)) = other.filter(|_| !orders.starts.is_empty()) else {
            return;
        };
        let zone = self.zone_of(executor);
        let node = &self.schedulers[n];
        let knows = node.scheduler.evacuated().any(|z| z == zone);
        let served = |at: u64| self.now.saturating_sub(at) >= SERVED_US;
        let since = self.evacuations.zones.get(&zone).map(|(_, since)| *since);
        let in_force = since.is_some_and(|since| self.now.saturating_sub(since) >= IN_FORCE_US);
        if knows || (in_force && node.served_since.is_some_and(served)) {
            let what = format!("scheduler {n} places tasks in the evacuated zone {zone}");
            self.witness.report_violation(what);
        }
    }
}
