//! Which executors there are, by the store: read here, or by a peer that the store answers.
//!
//! A scheduler that has just started places nothing before it has met all executors that the store names. After the
//! loss of all machines every process reads the store at once, and it turns some of them away. A peer reads the names
//! for them; what it had read before the other one started does not count, as executors may have come since.

use rand::Rng;

use super::Scheduler;
use crate::event::Kind;
use crate::prelude::*;

/// What was asked of a peer.
#[derive(Clone, Debug)]
struct Request {
    peer: String,
    at: Mono,
}

/// Where the names of the executors come from.
#[derive(Clone, Debug, Default)]
pub(super) struct RosterSync {
    /// When the newest reading of the store was begun here, if there was one.
    read: Option<Mono>,
    /// What was last asked of a peer.
    asked: Option<Request>,
    /// Peers that wait for a reading.
    wanted_by: Vec<String>,
}

impl RosterSync {
    /// Whether the store has told the names here.
    pub fn is_read(&self) -> bool {
        self.read.is_some()
    }

    /// Whether peers wait for a reading.
    pub fn is_wanted(&self) -> bool {
        !self.wanted_by.is_empty()
    }
}

impl Scheduler {
    /// Names the executors that there are. A scheduler that has just started begins to place jobs
    /// once it has met all of them; while it does not know them it waits for as long as runs can
    /// last that nobody renews. One that is there but can't be reached from here counts wherever a
    /// claim must reach all.
    pub fn set_roster(&mut self, now: Mono, names: Vec<String>) {
        self.set_roster_read(now, now, names);
    }

    /// The same, by a reading of the store that was begun earlier.
    pub fn set_roster_read(&mut self, now: Mono, began: Mono, names: Vec<String>) {
        self.enter(now);
        self.roster_sync.read = Some(began);
        self.take_roster(names);
        self.hand_out_rosters();
    }

    fn take_roster(&mut self, names: Vec<String>) {
        self.record_executors(&names);
        let roster = names.into_iter().collect();
        if self.roster.as_ref() != Some(&roster) {
            let unmet = roster
                .iter()
                .filter(|name| !self.is_linked_or_accounted(name))
                .count();
            let detail = format!("{} executors, {unmet} of them not met", roster.len());
            self.log(Kind::RosterKnown, detail);
        }
        self.roster = Some(roster);
        self.settle_claims();
        self.place();
    }

    /// Asks a peer to read the names, if the store has not told them here.
    pub(super) fn seek_roster(&mut self) {
        let policy = self.setup.policy.recovery;
        let missing = self.roster.is_none() || self.lacks_executors();
        let early = self.now.since(self.setup.started) < policy.roster_first;
        if !policy.on || early || !missing || !self.is_young() || self.roster_sync.is_read() {
            return;
        }
        let open =
            |r: &Request| self.now.since(r.at) < policy.roster_again && self.is_linked(&r.peer);
        if !self.roster_sync.asked.as_ref().is_some_and(open) {
            self.ask_for_roster();
        }
    }

    /// Asks one of the peers that the store answers, another one than the last time if there is one.
    fn ask_for_roster(&mut self) {
        let reading = self.peers.iter().filter(|(_, p)| p.has_read_roster());
        let names: Vec<&String> = reading.map(|(name, _)| name).collect();
        let last = self.roster_sync.asked.take().map(|r| r.peer);
        let others = names.iter().filter(|name| Some(**name) != last.as_ref());
        let others: Vec<&String> = others.copied().collect();
        let chosen = match others.len() {
            0 => last.filter(|name| names.contains(&name)),
            n => Some(others[self.rng.random_range(0..n)].clone()),
        };
        let Some(name) = chosen else {
            return;
        };
        if let Some(peer) = self.peers.get_mut(&name) {
            peer.outgoing.roster_wanted = true;
        }
        self.roster_sync.asked = Some(Request {
            peer: name,
            at: self.now,
        });
    }

    /// A peer that has just started asks for the names.
    pub(super) fn roster_wanted_by(&mut self, name: &str) {
        if !self.roster_sync.wanted_by.iter().any(|n| n == name) {
            self.roster_sync.wanted_by.push(name.to_owned());
        }
        self.hand_out_rosters();
    }

    /// Tells the peers that wait which executors there are, if that was read since they have started.
    fn hand_out_rosters(&mut self) {
        let (Some(read), Some(roster)) = (self.roster_sync.read, &self.roster) else {
            return;
        };
        let names: Vec<String> = roster.iter().cloned().collect();
        for name in std::mem::take(&mut self.roster_sync.wanted_by) {
            let Some(peer) = self.peers.get_mut(&name).filter(|p| p.link.is_some()) else {
                continue;
            };
            if read >= peer.linked_at {
                peer.outgoing.roster.clone_from(&names);
            } else {
                self.roster_sync.wanted_by.push(name);
            }
        }
    }

    /// A peer tells which executors there are.
    pub(super) fn hear_roster(&mut self, name: &str, names: Vec<String>) {
        let asked = self
            .roster_sync
            .asked
            .as_ref()
            .is_some_and(|r| r.peer == name);
        if names.is_empty() || !asked || self.roster_sync.is_read() {
            return;
        }
        let detail = format!("{} executors, from {name}", names.len());
        self.log(Kind::RosterFromPeer, detail);
        self.take_roster(names);
    }
}
