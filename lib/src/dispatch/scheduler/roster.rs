//! The roster: which executors there are according to the store, read here or by a peer. A scheduler that has
//! just started places nothing before it has met all of them.
//!
//! After the loss of all machines every process reads the store at once, and it rejects some of them. A peer
//! whose reading succeeded then reads the names for them. A reading that it began before the other scheduler
//! linked to it does not count, since executors may have been added since.

use rand::Rng;

use super::Scheduler;
use crate::event::Kind;
use crate::prelude::*;

/// The last request for the roster to a peer.
#[derive(Clone, Debug)]
struct Request {
    peer: String,
    at: Mono,
}

/// The state of reading the roster, and of requests for it.
#[derive(Clone, Debug, Default)]
pub(super) struct RosterSync {
    /// When the newest reading of the store was begun here, if any has succeeded.
    read: Option<Mono>,
    /// The request that was last sent to a peer.
    asked: Option<Request>,
    /// Peers that wait for a reading.
    wanted_by: Vec<String>,
}

impl RosterSync {
    /// Returns whether the store was read here.
    pub fn is_read(&self) -> bool {
        self.read.is_some()
    }

    /// Returns whether peers wait for a reading.
    pub fn is_wanted(&self) -> bool {
        !self.wanted_by.is_empty()
    }
}

impl Scheduler {
    /// Sets the roster. A scheduler that has just started places claimed jobs once it has met all executors
    /// in it; without a roster it waits for the end of its warm-up. An executor in the roster that can't be
    /// reached from here counts as one that a claim must reach.
    pub fn set_roster(&mut self, now: Mono, names: Vec<String>) {
        self.set_roster_read(now, now, names);
    }

    /// Sets the roster from a reading of the store that was begun at `began`.
    pub fn set_roster_read(&mut self, now: Mono, began: Mono, names: Vec<String>) {
        self.advance_clock(now);
        self.roster_sync.read = Some(began);
        self.apply_roster(names);
        self.send_rosters();
    }

    /// Adopts a roster; claims that waited for it may be settled.
    fn apply_roster(&mut self, names: Vec<String>) {
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

    /// Asks a peer to read the roster, if this scheduler has just started and has no complete one from the
    /// store.
    pub(super) fn request_roster(&mut self) {
        let policy = self.setup.policy.recovery;
        let missing = self.roster.is_none() || self.lacks_executors();
        let early = self.now.since(self.setup.started) < policy.roster_first;
        if !policy.on || early || !missing || !self.is_warming_up() || self.roster_sync.is_read() {
            return;
        }
        let open =
            |r: &Request| self.now.since(r.at) < policy.roster_again && self.is_linked(&r.peer);
        if !self.roster_sync.asked.as_ref().is_some_and(open) {
            self.send_roster_request();
        }
    }

    /// Sends the request to a random peer that has read the store, other than the last one if possible.
    fn send_roster_request(&mut self) {
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

    /// Handles the request of a peer that has just started.
    pub(super) fn handle_roster_request(&mut self, name: &str) {
        if !self.roster_sync.wanted_by.iter().any(|n| n == name) {
            self.roster_sync.wanted_by.push(name.to_owned());
        }
        self.send_rosters();
    }

    /// Sends the roster to the waiting peers whose link came up before its reading was begun.
    fn send_rosters(&mut self) {
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

    /// Handles a roster from a peer; ignored if it was not requested from that peer, or the store was read
    /// here meanwhile.
    pub(super) fn handle_roster(&mut self, name: &str, names: Vec<String>) {
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
        self.apply_roster(names);
    }
}
