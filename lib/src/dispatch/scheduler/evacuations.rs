//! Evacuated availability zones: how a scheduler learns of them, passes them on, and reacts.
//!
//! An evacuation makes a large part of the workers, such as a third, unavailable all at once, and its end
//! makes them available again all at once. Executors in the zone return their waiting tasks, which are placed
//! elsewhere. In the cell, executors of other zones replace them immediately, so that jobs are admitted by
//! the capacity that is left.

use std::collections::BTreeMap;

use super::Scheduler;
use super::executors::ExecutorKey;
use super::jobs::Phase;
use crate::dispatch::model::JobNumber;
use crate::dispatch::zones::ZoneRecord;
use crate::event::Kind;
use crate::prelude::*;
use crate::protos::dispatch as proto;

impl Scheduler {
    /// Applies the store's list of evacuated zones, read at revision `at`. Each zone has the revision of its
    /// key.
    pub fn set_evacuations(&mut self, now: Mono, listed: &BTreeMap<String, u64>, at: u64) {
        self.advance_clock(now);
        for zone in self.zones.apply_list(listed, at) {
            self.apply_zone_change(&zone, "the store");
        }
        self.schedule_zone_updates();
    }

    /// Applies the store's record of one zone.
    pub fn set_evacuation(&mut self, now: Mono, zone: &str, record: ZoneRecord) {
        self.advance_clock(now);
        self.record_zone(zone, record, "the store");
    }

    /// Returns the zones that are known to be evacuated.
    pub fn evacuated(&self) -> impl Iterator<Item = &str> {
        self.zones.evacuated()
    }

    /// Applies the record of a zone that a peer or an executor has sent.
    pub(super) fn record_zone_state(&mut self, state: &proto::ZoneState, origin: &str) {
        self.record_zone(&state.zone, ZoneRecord::from_proto(state), origin);
    }

    /// Records the state of a zone, and acts on it if it has changed. `origin` names the sender for the log.
    fn record_zone(&mut self, zone: &str, record: ZoneRecord, origin: &str) {
        if self.zones.update(zone, record) {
            self.apply_zone_change(zone, origin);
        }
        self.schedule_zone_updates();
    }

    /// Has new zone records sent to peers and executors with the next flush.
    fn schedule_zone_updates(&mut self) {
        if self.zones.edition() != self.zones_flushed {
            self.zones_flushed = self.zones.edition();
            self.flush_all = true;
        }
    }

    /// Marks the executors of a zone as evacuated or available, and refuses or places jobs accordingly.
    fn apply_zone_change(&mut self, zone: &str, origin: &str) {
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
        if evacuated && self.has_no_executor() {
            self.refuse_unstarted_jobs();
        }
        self.place();
    }

    /// Refuses the jobs that have not been started, because no executor is left that would accept them. Jobs
    /// that are being claimed are left out.
    fn refuse_unstarted_jobs(&mut self) {
        let unstarted = self.jobs.iter();
        let unstarted = unstarted.filter(|(_, j)| !j.began && j.phase == Phase::Active);
        let numbers: Vec<JobNumber> = unstarted.map(|(number, _)| *number).collect();
        for number in numbers {
            self.give_up(number, "no-executor");
        }
    }
}
