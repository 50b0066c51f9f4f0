//! Leads: how far ahead of an entry's time ids may be minted after clocks were set ahead.
//!
//! An entry keeps the time of day of its start. If the clocks of boxes and callers are set ahead
//! later, ids are minted in its future. Accepting them is unsafe: when a shard is taken over while
//! one of the agents cannot be read back, ids minted after that moment count as never started, and
//! an id from the future would be one of them. An entry therefore accepts ids up to a *lead* ahead
//! of its time only after every other member has noted that lead, and an entry that takes a shard
//! over assumes the longest lead it knows. An entry that the former owner did not know as a member
//! may have missed a lead, and assumes the longest possible one.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Mono;
use crate::clock::Now;
use crate::clock::millis;

/// Leads are multiples of this, so that clock drift does not change them.
const GRANULARITY_MS: u64 = 1_000;
/// How long an id may wait for its lead to be noted by all members.
const NOTE_TIMEOUT: Duration = Duration::from_secs(1);
/// A peer whose last heartbeat is older than this does not count for the required lead.
const PEER_TIMEOUT: Duration = Duration::from_secs(15);

/// What a peer last reported of its clock and of leads.
#[derive(Clone, Copy, Debug)]
struct PeerLead {
    /// How far the clock of its box is ahead of its time.
    step_ms: u64,
    /// The lead that it may use.
    lead_ms: u64,
    /// The lead of this entry that it has noted.
    noted_ms: u64,
    /// When it reported this.
    last_heard: Mono,
}

/// The leads of an entry and its peers.
#[derive(Clone, Debug)]
pub struct Leads {
    /// The maximum lead; ids further ahead are refused even if clocks are set ahead by more.
    max_lead_ms: u64,
    /// How long a lead is kept after it was last needed.
    retention: Duration,
    /// How far the clock of this entry's box is ahead, rounded up.
    own_step_ms: u64,
    /// The lead that is reported to peers.
    lead_ms: u64,
    /// When a lead of this length was last needed.
    last_needed: Mono,
    /// Since when at least one member has not noted the lead.
    unnoted_since: Option<Mono>,
    peers: BTreeMap<u64, PeerLead>,
    /// The latest mint time of an id that was accepted under a lead which is no longer in effect.
    past_latest_ms: u64,
}

impl Leads {
    /// Creates an instance without a lead. `max_lead` limits leads, and is also how long a lead is
    /// kept after it was last needed.
    pub fn new(max_lead: Duration) -> Leads {
        Leads {
            max_lead_ms: millis(max_lead),
            retention: max_lead,
            own_step_ms: 0,
            lead_ms: 0,
            last_needed: Mono(0),
            unnoted_since: None,
            peers: BTreeMap::new(),
            past_latest_ms: 0,
        }
    }

    /// Updates the lead from the clock of this entry's box and from what peers have reported, and
    /// checks whether the `others` have noted it. Returns whether a longer lead has to be reported.
    pub fn observe(&mut self, now: Now, others: &[u64]) -> bool {
        let step = u64::try_from(now.step_ms()).unwrap_or(0);
        self.own_step_ms = if step < GRANULARITY_MS {
            0
        } else {
            step.next_multiple_of(GRANULARITY_MS).min(self.max_lead_ms)
        };
        let required_ms = self.required_ms(now.mono);
        let longer = required_ms > self.lead_ms;
        if longer {
            self.lead_ms = required_ms;
        }
        if required_ms >= self.lead_ms {
            self.last_needed = now.mono;
        } else if now.mono >= self.last_needed + self.retention {
            self.lower(now, required_ms);
        }
        let noted = self.in_force_ms(others) >= self.lead_ms;
        let since = self.unnoted_since.unwrap_or(now.mono);
        self.unnoted_since = (!noted).then_some(since);
        longer
    }

    /// Lowers the lead. Ids accepted under the former one still count in [`Leads::latest_id_ms`].
    fn lower(&mut self, now: Now, lead_ms: u64) {
        self.past_latest_ms = self.latest_id_ms(now);
        self.lead_ms = lead_ms;
        for peer in self.peers.values_mut() {
            peer.noted_ms = peer.noted_ms.min(lead_ms);
        }
    }

    /// Records what a peer reports of its clock, of its lead and of the lead of this entry that it
    /// has noted. Returns whether its lead is longer than before, so that it needs a prompt reply.
    pub fn handle_peer_lead(
        &mut self,
        now: Now,
        peer: u64,
        step_ms: u64,
        lead_ms: u64,
        noted_ms: u64,
    ) -> bool {
        let before = self.peers.get(&peer).map_or(0, |p| p.lead_ms);
        if lead_ms < before {
            self.past_latest_ms = self.latest_id_ms(now);
        }
        let peer_lead = PeerLead {
            step_ms: step_ms.min(self.max_lead_ms),
            lead_ms,
            noted_ms,
            last_heard: now.mono,
        };
        self.peers.insert(peer, peer_lead);
        lead_ms > before
    }

    /// Returns the lead that this entry may use: the shortest that any of the other members has
    /// noted.
    pub fn in_force_ms(&self, others: &[u64]) -> u64 {
        let noted = |inc: &u64| self.peers.get(inc).map_or(0, |p| p.noted_ms);
        let least = others.iter().map(noted).min();
        least.map_or(self.lead_ms, |least| least.min(self.lead_ms))
    }

    /// Returns the lead that is reported to peers. It is at least as long as the one in force.
    pub fn lead_ms(&self) -> u64 {
        self.lead_ms
    }

    /// Returns how far the clock of this entry's box is ahead, as reported to peers.
    pub fn own_step_ms(&self) -> u64 {
        self.own_step_ms
    }

    /// Returns the lead of a peer that this entry has noted.
    pub fn noted_ms(&self, peer: u64) -> u64 {
        self.peers.get(&peer).map_or(0, |p| p.lead_ms)
    }

    /// Returns whether the members are expected to note a longer lead shortly, so that it is worth
    /// waiting with an id that is beyond the lead in force.
    pub fn is_awaiting_peers(&self, now: Now) -> bool {
        self.unnoted_since
            .is_some_and(|since| now.mono < since + NOTE_TIMEOUT)
    }

    /// Returns the latest mint time, in Unix milliseconds, of an id that any entry may have
    /// accepted by now, not counting the allowance that always applies.
    pub fn latest_id_ms(&self, now: Now) -> u64 {
        let leads = self.peers.values().map(|p| p.lead_ms);
        let longest = leads.fold(self.lead_ms, u64::max);
        self.past_latest_ms.max(now.wall_ms + longest)
    }

    /// Returns the same if an entry may have raised its lead without this one being informed.
    pub fn max_latest_id_ms(&self, now: Now) -> u64 {
        self.latest_id_ms(now).max(now.wall_ms + self.max_lead_ms)
    }

    /// Drops the peers that have been silent for so long that the ids they accepted have expired.
    pub fn forget(&mut self, now: Now) {
        let retention = self.retention * 2;
        let is_expired = |p: &PeerLead| now.mono >= p.last_heard + retention;
        if self.peers.values().any(is_expired) {
            self.past_latest_ms = self.latest_id_ms(now);
            self.peers.retain(|_, p| !is_expired(p));
        }
    }

    fn required_ms(&self, now: Mono) -> u64 {
        let recent = self
            .peers
            .values()
            .filter(|p| now < p.last_heard + PEER_TIMEOUT);
        recent.map(|p| p.step_ms).fold(self.own_step_ms, u64::max)
    }
}

#[cfg(test)]
mod tests;
