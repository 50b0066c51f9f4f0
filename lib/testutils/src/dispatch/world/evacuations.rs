//! Evacuated zones: the store's word on them, whom it reaches, and what must not be placed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use stackcourse_lib::prelude::LinkId;
use stackcourse_lib::protos::dispatch::frame::Body;

use super::*;

/// From so long after an evacuation was accepted on nothing is placed there, in microseconds.
const IN_FORCE_US: u64 = 5_000_000;
/// A scheduler that has run and been served by the store for so long has heard of it, in microseconds.
const SERVED_US: u64 = 1_000_000;

/// What the store holds of zones.
#[derive(Clone, Debug, Default)]
pub(super) struct Evacuations {
    revision: u64,
    /// The zones that are evacuated: the revision of that, and when it was accepted.
    zones: BTreeMap<String, (u64, u64)>,
    /// Schedulers that the store turns away.
    away: BTreeSet<usize>,
}

impl Evacuations {
    pub fn serves(&self, scheduler: usize) -> bool {
        !self.away.contains(&scheduler)
    }

    fn listed(&self) -> BTreeMap<String, u64> {
        let zones = self.zones.iter();
        zones
            .map(|(zone, (revision, _))| (zone.clone(), *revision))
            .collect()
    }
}

impl World {
    /// The store accepts that a zone is evacuated, or taken back, and tells the schedulers that it serves.
    pub fn set_evacuated(&mut self, zone: &str, evacuated: bool) {
        self.evacuations.revision += 1;
        let revision = self.evacuations.revision;
        if evacuated {
            let since = (revision, self.now);
            self.evacuations.zones.insert(zone.to_owned(), since);
        } else {
            self.evacuations.zones.remove(zone);
        }
        let word = ZoneRecord {
            revision,
            evacuated,
        };
        for n in 0..self.schedulers.len() {
            if self.evacuations.serves(n) {
                let life = self.life(Node::Scheduler(n));
                self.at(WATCH_US, Due::Zone(n, life, zone.to_owned(), word));
            }
        }
    }

    /// Whether the store says that a zone is evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuations.zones.contains_key(zone)
    }

    /// The zones that a scheduler knows to be evacuated.
    pub fn evacuated_at(&self, scheduler: usize) -> Vec<String> {
        let zones = self.schedulers[scheduler].scheduler.evacuated();
        zones.map(str::to_owned).collect()
    }

    /// The store turns these schedulers away and serves all others, which read everything anew: the history that
    /// they were away for is lost.
    pub fn turn_away(&mut self, schedulers: BTreeSet<usize>) {
        for n in 0..self.schedulers.len() {
            let (before, after) = (self.evacuations.serves(n), !schedulers.contains(&n));
            if before != after {
                self.schedulers[n].served_since = after.then_some(self.now);
            }
        }
        let back = self.evacuations.away.difference(&schedulers);
        let back: Vec<usize> = back.copied().collect();
        self.evacuations.away = schedulers;
        for n in back {
            let life = self.life(Node::Scheduler(n));
            self.at(ROSTER_US, Due::Roster(n, life));
        }
    }

    pub(super) fn tell_zone(&mut self, n: usize, life: u64, zone: &str, word: ZoneRecord) {
        if self.life(Node::Scheduler(n)) == life && self.evacuations.serves(n) {
            self.with_scheduler(n, |s, now| s.set_evacuation(now, zone, word));
        }
    }

    /// A scheduler has read everything that the store holds of zones.
    pub(super) fn tell_all_zones(&mut self, n: usize) {
        if self.evacuations.serves(n) {
            let (listed, at) = (self.evacuations.listed(), self.evacuations.revision);
            self.with_scheduler(n, |s, now| s.set_evacuations(now, &listed, at));
        }
    }

    /// A scheduler sends a message: it must not place tasks in a zone of which it knows, or should know by now, that
    /// it is evacuated.
    pub(super) fn hold_to_evacuations(&mut self, n: usize, link: LinkId, body: &Body) {
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
            let what = format!("scheduler {n} places tasks in {zone}, which is evacuated");
            self.witness.break_promise(what);
        }
    }
}
