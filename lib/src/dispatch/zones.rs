//! Which availability zones are evacuated. Nothing is started in an evacuated zone until the evacuation is
//! lifted.
//!
//! Processes learn of a zone from the store, and from each other where the store serves only some of them.
//! Each record carries the store's revision and only a newer one replaces it, so an old reading that arrives
//! late has no effect, whichever process sends it.

use std::collections::BTreeMap;

use crate::protos::dispatch as proto;

#[cfg(test)]
mod tests;

/// The state of a zone in the store, as of a revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneRecord {
    /// The store's revision of the state.
    pub revision: u64,
    /// Whether the zone is evacuated.
    pub evacuated: bool,
}

impl ZoneRecord {
    /// Reads a record from a message.
    pub fn from_proto(state: &proto::ZoneState) -> ZoneRecord {
        ZoneRecord {
            revision: state.revision,
            evacuated: state.evacuated,
        }
    }

    /// Converts the record to its message.
    pub fn proto(self, zone: &str) -> proto::ZoneState {
        proto::ZoneState {
            zone: zone.to_owned(),
            revision: self.revision,
            evacuated: self.evacuated,
        }
    }
}

/// The newest known record of each zone that has ever been evacuated.
#[derive(Clone, Debug, Default)]
pub struct Zones {
    records: BTreeMap<String, ZoneRecord>,
    edition: u64,
}

impl Zones {
    /// Stores the record of a zone if it is newer than the known one. Returns whether that starts or lifts
    /// the zone's evacuation.
    pub fn update(&mut self, zone: &str, record: ZoneRecord) -> bool {
        let before = self.records.get(zone).copied().unwrap_or_default();
        if record.revision <= before.revision {
            return false;
        }
        self.records.insert(zone.to_owned(), record);
        self.edition += 1;
        record.evacuated != before.evacuated
    }

    /// Applies the store's complete list of evacuated zones as of revision `at`, each with the revision of
    /// its key. A zone that is not listed is no longer evacuated. Returns the zones whose evacuation starts
    /// or is lifted.
    pub fn apply_list(&mut self, listed: &BTreeMap<String, u64>, at: u64) -> Vec<String> {
        let current = listed.iter().map(|(zone, revision)| {
            let record = ZoneRecord {
                revision: *revision,
                evacuated: true,
            };
            (zone.clone(), record)
        });
        let lifted = self.records.iter();
        let lifted =
            lifted.filter(|(zone, record)| record.evacuated && !listed.contains_key(*zone));
        let lifted = lifted.map(|(zone, _)| {
            let record = ZoneRecord {
                revision: at,
                evacuated: false,
            };
            (zone.clone(), record)
        });
        let records: Vec<(String, ZoneRecord)> = current.chain(lifted).collect();
        let changed = records
            .into_iter()
            .filter(|(zone, record)| self.update(zone, *record));
        changed.map(|(zone, _)| zone).collect()
    }

    /// Returns whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.records.get(zone).is_some_and(|r| r.evacuated)
    }

    /// Returns the newest record of a zone, if there is one.
    pub fn record(&self, zone: &str) -> Option<ZoneRecord> {
        self.records.get(zone).copied()
    }

    /// Returns a number that rises with each new record; 0 while there is none.
    pub fn edition(&self) -> u64 {
        self.edition
    }

    /// Returns the evacuated zones, ordered by name.
    pub fn evacuated(&self) -> impl Iterator<Item = &str> {
        let evacuated = self.records.iter().filter(|(_, r)| r.evacuated);
        evacuated.map(|(zone, _)| zone.as_str())
    }

    /// Converts all records to messages.
    pub fn proto(&self) -> Vec<proto::ZoneState> {
        let records = self.records.iter();
        records.map(|(zone, record)| record.proto(zone)).collect()
    }
}
