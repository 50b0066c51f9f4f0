//! Which availability zones are evacuated: nothing more is started there until that is taken back.
//!
//! Processes hear of a zone from the store, and from each other where the store serves only some of them. Each
//! word carries the revision at which the store said so, and of two the later one holds, so an old reading that
//! arrives late undoes nothing, whoever brings it.

use std::collections::BTreeMap;

use crate::protos::dispatch as proto;

#[cfg(test)]
mod tests;

/// What the store has said of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneWord {
    /// The store's revision of it.
    pub revision: u64,
    /// Whether the zone is evacuated.
    pub evacuated: bool,
}

impl ZoneWord {
    /// Reads it from a message.
    pub fn from_proto(state: &proto::ZoneState) -> ZoneWord {
        ZoneWord {
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

/// The newest word on each zone that was ever evacuated, as far as it is known here.
#[derive(Clone, Debug, Default)]
pub struct Zones {
    words: BTreeMap<String, ZoneWord>,
    edition: u64,
}

impl Zones {
    /// Takes a word on a zone unless a newer one is known. Returns whether the zone is evacuated now and was not
    /// before, or the other way round.
    pub fn note(&mut self, zone: &str, word: ZoneWord) -> bool {
        let before = self.words.get(zone).copied().unwrap_or_default();
        if word.revision <= before.revision {
            return false;
        }
        self.words.insert(zone.to_owned(), word);
        self.edition += 1;
        word.evacuated != before.evacuated
    }

    /// Takes the store's whole list of evacuated zones, each with the revision of its key, as it stood at revision
    /// `at`: a zone that is not listed is not evacuated any more. Returns the zones that have changed.
    pub fn note_list(&mut self, listed: &BTreeMap<String, u64>, at: u64) -> Vec<String> {
        let listed_words = listed.iter().map(|(zone, revision)| {
            let word = ZoneWord {
                revision: *revision,
                evacuated: true,
            };
            (zone.clone(), word)
        });
        let over = self.words.iter();
        let over = over.filter(|(zone, word)| word.evacuated && !listed.contains_key(*zone));
        let over = over.map(|(zone, _)| {
            let word = ZoneWord {
                revision: at,
                evacuated: false,
            };
            (zone.clone(), word)
        });
        let words: Vec<(String, ZoneWord)> = listed_words.chain(over).collect();
        let changed = words
            .into_iter()
            .filter(|(zone, word)| self.note(zone, *word));
        changed.map(|(zone, _)| zone).collect()
    }

    /// Whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.words.get(zone).is_some_and(|w| w.evacuated)
    }

    /// The newest word on a zone, if there was ever one.
    pub fn word(&self, zone: &str) -> Option<ZoneWord> {
        self.words.get(zone).copied()
    }

    /// Rises with each new word; 0 while there is none.
    pub fn edition(&self) -> u64 {
        self.edition
    }

    /// The zones that are evacuated, by name.
    pub fn evacuated(&self) -> impl Iterator<Item = &str> {
        let evacuated = self.words.iter().filter(|(_, w)| w.evacuated);
        evacuated.map(|(zone, _)| zone.as_str())
    }

    /// All words, as they travel.
    pub fn proto(&self) -> Vec<proto::ZoneState> {
        let words = self.words.iter();
        words.map(|(zone, word)| word.proto(zone)).collect()
    }
}
