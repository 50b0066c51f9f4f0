//! Which availability zones are evacuated: nothing more is started there until that is taken back.
//!
//! Processes hear of a zone from the store, and from each other where the store serves only some of them. Each
//! record carries the store's revision, and of two the later one holds, so an old reading that arrives late undoes
//! nothing, whoever brings it.

use std::collections::BTreeMap;

use crate::protos::dispatch as proto;

#[cfg(test)]
mod tests;

/// What the store holds of a zone, as of a revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneRecord {
    /// The store's revision of it.
    pub revision: u64,
    /// Whether the zone is evacuated.
    pub evacuated: bool,
}

impl ZoneRecord {
    /// Reads it from a message.
    pub fn from_proto(state: &proto::ZoneState) -> ZoneRecord {
        ZoneRecord {
            revision: state.revision,
            evacuated: state.evacuated,
        }
    }

    /// As it travels.
    pub fn proto(self, zone: &str) -> proto::ZoneState {
        proto::ZoneState {
            zone: zone.to_owned(),
            revision: self.revision,
            evacuated: self.evacuated,
        }
    }
}

/// The newest record of each zone that was ever evacuated, as far as it is known here.
#[derive(Clone, Debug, Default)]
pub struct Zones {
    records: BTreeMap<String, ZoneRecord>,
    edition: u64,
}

impl Zones {
    /// Takes a record of a zone unless a newer one is known. Returns whether the zone is evacuated now and was not
    /// before, or the other way round.
    pub fn note(&mut self, zone: &str, record: ZoneRecord) -> bool {
        let before = self.records.get(zone).copied().unwrap_or_default();
        if record.revision <= before.revision {
            return false;
        }
        self.records.insert(zone.to_owned(), record);
        self.edition += 1;
        record.evacuated != before.evacuated
    }

    /// Takes the store's whole list of evacuated zones, each with the revision of its key, as it stood at revision
    /// `at`: a zone that is not listed is not evacuated any more. Returns the zones that have changed.
    pub fn apply_list(&mut self, listed: &BTreeMap<String, u64>, at: u64) -> Vec<String> {
        let present = listed.iter().map(|(zone, revision)| {
            let record = ZoneRecord {
                revision: *revision,
                evacuated: true,
            };
            (zone.clone(), record)
        });
        let over = self.records.iter();
        let over = over.filter(|(zone, record)| record.evacuated && !listed.contains_key(*zone));
        let over = over.map(|(zone, _)| {
            let record = ZoneRecord {
                revision: at,
                evacuated: false,
            };
            (zone.clone(), record)
        });
        let records: Vec<(String, ZoneRecord)> = present.chain(over).collect();
        let changed = records
            .into_iter()
            .filter(|(zone, record)| self.note(zone, *record));
        changed.map(|(zone, _)| zone).collect()
    }

    /// Whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.records.get(zone).is_some_and(|r| r.evacuated)
    }

    /// The newest record of a zone, if there was ever one.
    pub fn record(&self, zone: &str) -> Option<ZoneRecord> {
        self.records.get(zone).copied()
    }

    /// Rises with each new record; 0 while there is none.
    pub fn edition(&self) -> u64 {
        self.edition
    }

    /// The zones that are evacuated, by name.
    pub fn evacuated(&self) -> impl Iterator<Item = &str> {
        let evacuated = self.records.iter().filter(|(_, r)| r.evacuated);
        evacuated.map(|(zone, _)| zone.as_str())
    }

    /// All records, as they travel.
    pub fn proto(&self) -> Vec<proto::ZoneState> {
        let records = self.records.iter();
        records.map(|(zone, record)| record.proto(zone)).collect()
    }
}
