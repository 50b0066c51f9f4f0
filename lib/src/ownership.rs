//! The ownership record: which entry owns which shard, kept in the platform's store.
//!
//! The record is changed only by compare-and-swap, and each change of a shard's owner raises the
//! shard's epoch. This module holds the record and the pure functions that make the next record
//! from the present one; [`crate::entry`] decides when.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::shard::Epoch;
use crate::shard::ShardId;

/// The record's key in the store.
pub const RECORD_KEY: &str = "ownership";

/// An entry in the record. One process is one member: a restart joins under a new incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The entry's name.
    pub name: String,
    /// Drawn at random each time the entry joins.
    pub incarnation: u64,
    /// Where its peers reach it, as ip:port.
    pub address: String,
    /// Where callers reach it, as ip:port.
    pub http: String,
    /// Its availability zone.
    pub zone: String,
}

/// A former owner whose right may not have lapsed yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cut {
    /// Its incarnation.
    pub owner: u64,
    /// When the shard was taken from it, in Unix milliseconds of the entry that did.
    pub at_ms: u64,
}

/// One shard's owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardSlot {
    /// The owner's incarnation; 0 for none.
    pub owner: u64,
    /// How often the owner has changed.
    pub epoch: u64,
    /// Former owners that did not give the shard up themselves.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cut: Vec<Cut>,
}

/// The ownership record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnershipRecord {
    /// Raised by each change.
    pub seq: u64,
    /// The entries, by name and incarnation.
    pub members: Vec<Member>,
    /// The shards in order.
    pub shards: Vec<ShardSlot>,
    /// The key of the roster of agents that goes with this record; empty for an empty roster.
    pub roster: String,
}

/// Why a record can't be used.
#[derive(Debug, Error)]
pub enum RecordError {
    /// It is not JSON of this shape.
    #[error("the ownership record can't be read")]
    Malformed(#[from] serde_json::Error),
    /// It has no shards.
    #[error("the ownership record has no shards")]
    NoShards,
}

impl OwnershipRecord {
    /// A record without members, with `shards` shards that nobody owns.
    pub fn new(shards: u32) -> OwnershipRecord {
        OwnershipRecord {
            seq: 0,
            members: Vec::new(),
            shards: vec![ShardSlot::default(); shards.max(1) as usize],
            roster: String::new(),
        }
    }

    /// Reads a record from its value.
    ///
    /// # Errors
    ///
    /// When it is not a record.
    pub fn parse(value: &[u8]) -> Result<OwnershipRecord, RecordError> {
        let record: OwnershipRecord = serde_json::from_slice(value)?;
        if record.shards.is_empty() {
            return Err(RecordError::NoShards);
        }
        Ok(record)
    }

    /// The record's value.
    pub fn value(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a record is JSON")
    }

    /// How many shards there are.
    pub fn count(&self) -> u32 {
        self.shards.len() as u32
    }

    /// The member of an incarnation.
    pub fn member(&self, incarnation: u64) -> Option<&Member> {
        self.members.iter().find(|m| m.incarnation == incarnation)
    }

    /// The slot of a shard.
    pub fn slot(&self, shard: ShardId) -> &ShardSlot {
        &self.shards[shard.0 as usize]
    }

    /// The shards of an owner, with their epochs.
    pub fn owned(&self, incarnation: u64) -> Vec<(ShardId, Epoch)> {
        let slots = self.shards.iter().enumerate();
        let mine = slots.filter(|(_, s)| s.owner == incarnation && incarnation != 0);
        mine.map(|(i, s)| (ShardId(i as u32), Epoch(s.epoch)))
            .collect()
    }

    /// Adds a member.
    pub fn join(&mut self, member: Member) {
        if self.member(member.incarnation).is_some() {
            return;
        }
        self.members.push(member);
        self.members
            .sort_by(|a, b| (&a.name, a.incarnation).cmp(&(&b.name, b.incarnation)));
    }

    /// Takes every shard from a member that is believed dead and strikes the member.
    /// The shards are left without owner; [`OwnershipRecord::assign_unowned`] gives them away.
    pub fn cut(&mut self, incarnation: u64, at_ms: u64) {
        for slot in self.shards.iter_mut().filter(|s| s.owner == incarnation) {
            slot.owner = 0;
            slot.epoch += 1;
            slot.cut.push(Cut {
                owner: incarnation,
                at_ms,
            });
        }
        self.members.retain(|m| m.incarnation != incarnation);
    }

    /// Gives a shard to `to` with the consent of its present owner, who has stopped serving it.
    pub fn transfer_shard(&mut self, shard: ShardId, to: u64) {
        let slot = &mut self.shards[shard.0 as usize];
        slot.owner = to;
        slot.epoch += 1;
        slot.cut.clear();
    }

    /// Gives the shards without owner to the entries that should own shards.
    pub fn assign_unowned(&mut self, live: &[u64], owners: usize) {
        let targets = self.targets(live, owners);
        if targets.is_empty() {
            return;
        }
        let mut load = self.load(&targets);
        for slot in self.shards.iter_mut().filter(|s| s.owner == 0) {
            let least = least_loaded(&load);
            slot.owner = least;
            slot.epoch += 1;
            *load.entry(least).or_default() += 1;
        }
    }

    /// Forgets former owners whose right has surely lapsed by `before_ms`.
    pub fn forget_former_owners(&mut self, before_ms: u64) {
        for slot in &mut self.shards {
            slot.cut.retain(|c| c.at_ms >= before_ms);
        }
    }

    /// The moves that even the shards out over the entries that should own them.
    pub fn plan_moves(&self, live: &[u64], owners: usize) -> Vec<(ShardId, u64)> {
        let targets = self.targets(live, owners);
        if targets.is_empty() {
            return Vec::new();
        }
        let mut load = self.load(&targets);
        let most = self.shards.len().div_ceil(targets.len());
        let mut moves = Vec::new();
        for (i, slot) in self.shards.iter().enumerate() {
            let held = load.get(&slot.owner).copied();
            let stays = held.is_some_and(|n| n <= most);
            if slot.owner == 0 || stays {
                continue;
            }
            let least = least_loaded(&load);
            if let Some(n) = load.get_mut(&slot.owner) {
                *n -= 1;
            }
            *load.entry(least).or_default() += 1;
            moves.push((ShardId(i as u32), least));
        }
        moves
    }

    /// Which of the live entries should own shards: those that own most already, then by name.
    pub fn targets(&self, live: &[u64], owners: usize) -> Vec<u64> {
        let mut members: Vec<&Member> = self
            .members
            .iter()
            .filter(|m| live.contains(&m.incarnation))
            .collect();
        members.sort_by_key(|m| {
            let owned = self.owned(m.incarnation).len();
            (std::cmp::Reverse(owned), &m.name, m.incarnation)
        });
        let count = if owners == 0 { members.len() } else { owners };
        let chosen = members.iter().take(count);
        chosen.map(|m| m.incarnation).collect()
    }

    fn load(&self, targets: &[u64]) -> BTreeMap<u64, usize> {
        let count = |t: &u64| (*t, self.owned(*t).len());
        targets.iter().map(count).collect()
    }
}

fn least_loaded(load: &BTreeMap<u64, usize>) -> u64 {
    let least = load.iter().min_by_key(|(inc, n)| (**n, **inc));
    least.map(|(inc, _)| *inc).unwrap_or(0)
}

/// An agent that owners may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterAgent {
    /// The agent's name.
    pub name: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// How many tasks it runs at once.
    pub slots: u32,
    /// When it started, in Unix milliseconds of the entry that enrolled it.
    pub born_ms: u64,
}

/// An agent incarnation that owners may no longer use and that can't be asked what it started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GoneAgent {
    /// The agent's name.
    pub name: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// How many tasks it ran at once.
    pub slots: u32,
    /// Until when it may have started tasks, in Unix milliseconds.
    pub until_ms: u64,
    /// Up to which mint time jobs may have started there, in Unix milliseconds.
    #[serde(default)]
    pub minted_ms: u64,
}

/// Bounds on what an agent that is gone may have started.
#[derive(Clone, Copy, Debug)]
pub struct StartBounds {
    /// Until when it may have started tasks, in Unix milliseconds.
    pub until_ms: u64,
    /// Up to which mint time the jobs of these may be, in Unix milliseconds.
    pub minted_ms: u64,
}

/// Every agent incarnation that may have started tasks within the horizon.
///
/// An owner uses an agent only if it stands here, so a new owner knows from the roster whom it
/// must read back. A roster never changes: each version has a key of its own, and the record
/// names the one in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Agents that may be used, by name.
    pub agents: Vec<RosterAgent>,
    /// Those that are gone, until the horizon has passed.
    pub gone: Vec<GoneAgent>,
}

impl Roster {
    /// Whether an incarnation may be used.
    pub fn lists(&self, incarnation: u64) -> bool {
        self.agents.iter().any(|a| a.incarnation == incarnation)
    }

    /// Whether another incarnation of the name may be used.
    pub fn lists_other(&self, name: &str, incarnation: u64) -> bool {
        let other = |a: &RosterAgent| a.name == name && a.incarnation != incarnation;
        self.agents.iter().any(other)
    }

    /// Adds an agent. An earlier incarnation of the same name is gone; beside a later one the
    /// agent is not added. Returns whether it was.
    pub fn enrol(&mut self, agent: RosterAgent, parting: StartBounds) -> bool {
        let later = |a: &RosterAgent| a.name == agent.name && a.born_ms > agent.born_ms;
        if self.lists(agent.incarnation) || self.agents.iter().any(later) {
            return false;
        }
        self.strike(|a| a.name == agent.name, parting);
        self.gone.retain(|g| g.incarnation != agent.incarnation);
        self.agents.push(agent);
        self.agents.sort_by(|a, b| a.name.cmp(&b.name));
        true
    }

    /// Strikes an agent that has been silent.
    pub fn remove(&mut self, incarnation: u64, parting: StartBounds) {
        self.strike(|a| a.incarnation == incarnation, parting);
    }

    /// Forgets agents that were gone before `before_ms`, with no job of a later mint time.
    pub fn forget(&mut self, before_ms: u64) {
        let last_ms = |g: &GoneAgent| g.until_ms.max(g.minted_ms);
        self.gone.retain(|g| last_ms(g) >= before_ms);
    }

    /// Up to which mint time jobs may have started at agents that are gone, in Unix milliseconds;
    /// `allowance_ms` is how far ahead of the time ids may always be. Zero if none is gone.
    pub fn clear_ms(&self, allowance_ms: u64) -> u64 {
        let last_ms = |g: &GoneAgent| (g.until_ms + allowance_ms).max(g.minted_ms);
        self.gone.iter().map(last_ms).max().unwrap_or(0)
    }

    fn strike(&mut self, which: impl Fn(&RosterAgent) -> bool, parting: StartBounds) {
        let all = std::mem::take(&mut self.agents);
        let (gone, kept): (Vec<_>, Vec<_>) = all.into_iter().partition(which);
        self.agents = kept;
        self.gone.extend(gone.into_iter().map(|a| GoneAgent {
            name: a.name,
            incarnation: a.incarnation,
            slots: a.slots,
            until_ms: parting.until_ms,
            minted_ms: parting.minted_ms,
        }));
    }
}

#[cfg(test)]
mod tests;
