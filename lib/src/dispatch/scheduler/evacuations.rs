//! Evacuated availability zones: what a scheduler hears of them, passes on, and does about it.
//!
//! Load pattern: a third of the workers is to get nothing more from one moment on, and comes back all at once
//! later. What waits at executors there is handed back by them and placed elsewhere; executors of other zones take
//! their place in the cell at once, so that the scheduler judges jobs by the room that is left.

use std::collections::BTreeMap;

use super::Scheduler;
use super::fleet::ExecutorKey;
use super::jobs::Phase;
use crate::dispatch::model::JobNumber;
use crate::dispatch::zones::ZoneRecord;
use crate::event::Kind;
use crate::prelude::*;
use crate::protos::dispatch as proto;

impl Scheduler {
    /// The zones that the store lists as evacuated, each with the revision of its key, at revision `at`.
    pub fn set_evacuations(&mut self, now: Mono, listed: &BTreeMap<String, u64>, at: u64) {
        self.enter(now);
        for zone in self.zones.note_list(listed, at) {
            self.zone_changed(&zone, "the store");
        }
        self.zones_noted();
    }

    /// The store tells of one zone.
    pub fn set_evacuation(&mut self, now: Mono, zone: &str, record: ZoneRecord) {
        self.enter(now);
        self.note_zone(zone, record, "the store");
    }

    /// The zones that are evacuated, as far as it is known here.
    pub fn evacuated(&self) -> impl Iterator<Item = &str> {
        self.zones.evacuated()
    }

    /// A peer or an executor tells of a zone.
    pub(super) fn record_zone_state(&mut self, state: &proto::ZoneState, origin: &str) {
        self.note_zone(&state.zone, ZoneRecord::from_proto(state), origin);
    }

    fn note_zone(&mut self, zone: &str, record: ZoneRecord, origin: &str) {
        if self.zones.note(zone, record) {
            self.zone_changed(zone, origin);
        }
        self.zones_noted();
    }

    /// Passes on what is news with the next messages.
    fn zones_noted(&mut self) {
        if self.zones.edition() != self.zones_flushed {
            self.zones_flushed = self.zones.edition();
            self.sweep = true;
        }
    }

    /// A zone is evacuated, or is so no more.
    fn zone_changed(&mut self, zone: &str, origin: &str) {
        let evacuated = self.zones.is_evacuated(zone);
        let there = self.executors.iter().filter(|(_, e)| e.zone == zone);
        let keys: Vec<ExecutorKey> = there.map(|(key, _)| key).collect();
        let kind = if evacuated {
            Kind::ZoneEvacuated
        } else {
            Kind::ZoneBack
        };
        let detail = format!("{zone}, {} executors, from {origin}", keys.len());
        self.log(kind, detail);
        for key in keys {
            self.executors[key].evacuated = evacuated;
        }
        self.cell.stale = true;
        if evacuated && self.is_cut_off() {
            self.refuse_waiting();
        }
        self.place();
    }

    /// Refuses the jobs that nothing was started of: no executor is left that would take them.
    fn refuse_waiting(&mut self) {
        let fresh = self.jobs.iter();
        let fresh = fresh.filter(|(_, j)| !j.began && j.phase == Phase::Active);
        let numbers: Vec<JobNumber> = fresh.map(|(number, _)| *number).collect();
        for number in numbers {
            self.give_up(number, "no-executor");
        }
    }
}
