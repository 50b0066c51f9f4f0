//! Leads: ids that are minted ahead of an entry's time because clocks were set ahead.
//!
//! An entry carries on the time of day of its start. Where the clocks of boxes and callers are set
//! ahead later, ids come from its future. Such an id can't simply be taken: when a shard is taken
//! over without one of its witnesses, ids that were minted after that moment count as never
//! started, and an id from the future would be one of them. So an entry takes ids up to a *lead*
//! beyond its time only once every other member has noted that lead, and whoever takes a shard
//! over counts with the longest lead it knows of. An entry that was never named as a member by the
//! former owner may know of none, and counts with the longest there can be.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Mono;
use crate::clock::Now;
use crate::clock::millis;

/// Leads are whole multiples of this, so that a clock that drifts does not change them.
const GRAIN_MS: u64 = 1_000;
/// An id waits so long at the most for its lead to be noted by all members.
const NOTING: Duration = Duration::from_secs(1);
/// A peer that was not heard for this long has no callers whose ids need a lead.
const SILENT: Duration = Duration::from_secs(15);

/// What is known of a peer's lead.
#[derive(Clone, Copy, Debug)]
struct PeerLead {
    /// How far the clock of its box is ahead of its time.
    step_ms: u64,
    /// The lead that it may make use of.
    lead_ms: u64,
    /// This entry's lead that it has noted.
    noted_ms: u64,
    /// When it said so.
    heard: Mono,
}

/// The leads of an entry and its peers.
#[derive(Clone, Debug)]
pub struct Leads {
    /// The longest lead; a clock that is set ahead by more is not followed further.
    most_ms: u64,
    /// For how long a lead is kept that nobody needs any more.
    kept: Duration,
    /// How far the clock of the own box is ahead.
    own_step_ms: u64,
    /// The lead that peers are told of.
    lead_ms: u64,
    /// When a lead as long as this was needed last.
    needed: Mono,
    /// Since when members have not noted it.
    unnoted: Option<Mono>,
    peers: BTreeMap<u64, PeerLead>,
    /// No id minted later than this was taken under a lead that has been lowered since.
    reached_ms: u64,
}

impl Leads {
    /// An account with no lead of up to `most`, which is also how long one lasts after its need.
    pub fn new(most: Duration) -> Leads {
        Leads {
            most_ms: millis(most),
            kept: most,
            own_step_ms: 0,
            lead_ms: 0,
            needed: Mono(0),
            unnoted: None,
            peers: BTreeMap::new(),
            reached_ms: 0,
        }
    }

    /// Looks at the clock of the own box, and whether the `others` have noted the lead. Returns
    /// whether peers have to be told of a longer one.
    pub fn observe(&mut self, now: Now, others: &[u64]) -> bool {
        let step = u64::try_from(now.step_ms()).unwrap_or(0);
        self.own_step_ms = if step < GRAIN_MS {
            0
        } else {
            step.next_multiple_of(GRAIN_MS).min(self.most_ms)
        };
        let wanted = self.wanted(now.mono);
        let longer = wanted > self.lead_ms;
        if longer {
            self.lead_ms = wanted;
        }
        if wanted >= self.lead_ms {
            self.needed = now.mono;
        } else if now.mono >= self.needed + self.kept {
            self.lower(now, wanted);
        }
        let noted = self.in_force_ms(others) >= self.lead_ms;
        let since = self.unnoted.unwrap_or(now.mono);
        self.unnoted = (!noted).then_some(since);
        longer
    }

    fn lower(&mut self, now: Now, lead_ms: u64) {
        self.reached_ms = self.latest_id_ms(now);
        self.lead_ms = lead_ms;
        for peer in self.peers.values_mut() {
            peer.noted_ms = peer.noted_ms.min(lead_ms);
        }
    }

    /// Takes in what a peer says of its clock and its lead, and of this entry's lead that it has
    /// noted. Returns whether it has to be told at once that its lead is noted.
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
            self.reached_ms = self.latest_id_ms(now);
        }
        let heard = PeerLead {
            step_ms: step_ms.min(self.most_ms),
            lead_ms,
            noted_ms,
            heard: now.mono,
        };
        self.peers.insert(peer, heard);
        lead_ms > before
    }

    /// The lead that this entry may make use of beside these other members.
    pub fn in_force_ms(&self, others: &[u64]) -> u64 {
        let noted = |inc: &u64| self.peers.get(inc).map_or(0, |p| p.noted_ms);
        let least = others.iter().map(noted).min();
        least.map_or(self.lead_ms, |least| least.min(self.lead_ms))
    }

    /// The lead that peers are told of; at least as long as the one in force.
    pub fn lead_ms(&self) -> u64 {
        self.lead_ms
    }

    /// How far the clock of the own box is ahead, for peers.
    pub fn own_step_ms(&self) -> u64 {
        self.own_step_ms
    }

    /// A peer's lead as it was noted here.
    pub fn noted_ms(&self, peer: u64) -> u64 {
        self.peers.get(&peer).map_or(0, |p| p.lead_ms)
    }

    /// Whether an id that is further ahead than the lead in force may be within it in a moment.
    pub fn is_awaiting_peers(&self, now: Now) -> bool {
        self.unnoted.is_some_and(|since| now.mono < since + NOTING)
    }

    /// The time, in Unix milliseconds, up to which any entry may have taken ids by now, before
    /// what is always permitted.
    pub fn latest_id_ms(&self, now: Now) -> u64 {
        let leads = self.peers.values().map(|p| p.lead_ms);
        let longest = leads.fold(self.lead_ms, u64::max);
        self.reached_ms.max(now.wall_ms + longest)
    }

    /// The same, where an entry may have raised its lead unheard.
    pub fn max_latest_id_ms(&self, now: Now) -> u64 {
        self.latest_id_ms(now).max(now.wall_ms + self.most_ms)
    }

    /// Forgets peers that have been silent for so long that no id they took is accepted any more.
    pub fn forget(&mut self, now: Now) {
        let kept = self.kept * 2;
        let over = |p: &PeerLead| now.mono >= p.heard + kept;
        if self.peers.values().any(over) {
            self.reached_ms = self.latest_id_ms(now);
            self.peers.retain(|_, p| !over(p));
        }
    }

    fn wanted(&self, now: Mono) -> u64 {
        let heard = self.peers.values().filter(|p| now < p.heard + SILENT);
        heard.map(|p| p.step_ms).fold(self.own_step_ms, u64::max)
    }
}

#[cfg(test)]
mod tests;
