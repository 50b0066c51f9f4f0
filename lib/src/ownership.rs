//! The ownership record, which assigns each shard to an entry and is kept in the platform's store.
//!
//! The record is changed only by compare-and-swap, and each change of a shard's owner raises the
//! shard's epoch. This module defines the record, the roster of agents that belongs to it, and the
//! pure functions that derive the next version; [`crate::entry`] decides when to apply them.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::shard::Epoch;
use crate::shard::ShardId;

/// The key of the record in the store.
pub const RECORD_KEY: &str = "ownership";

/// An entry process in the record. A restarted entry joins as a new member with a new incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The entry's name.
    pub name: String,
    /// A random number drawn each time the entry joins.
    pub incarnation: u64,
    /// The address for peers, as ip:port.
    pub address: String,
    /// The address for callers, as ip:port.
    pub http: String,
    /// Its availability zone.
    pub zone: String,
}

/// A former owner whose right may not have expired yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerOwner {
    /// The incarnation of the former owner.
    pub owner: u64,
    /// When the shard was taken from it, in Unix milliseconds by the clock of the entry that did so.
    pub at_ms: u64,
}

/// The ownership of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardSlot {
    /// The owner's incarnation; 0 for none.
    pub owner: u64,
    /// The number of changes of the owner.
    pub epoch: u64,
    /// The former owners that did not give the shard up themselves.
    #[serde(rename = "cut", default, skip_serializing_if = "Vec::is_empty")]
    pub former_owners: Vec<FormerOwner>,
}

/// The ownership record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnershipRecord {
    /// The version number; each change raises it.
    pub seq: u64,
    /// The members, ordered by name and incarnation.
    pub members: Vec<Member>,
    /// The ownership of each shard, indexed by shard number.
    pub shards: Vec<ShardSlot>,
    /// The key of the roster in force; empty for an empty roster.
    pub roster: String,
}

/// The reason why a record cannot be used.
#[derive(Debug, Error)]
pub enum RecordError {
    /// The value is not JSON of the expected structure.
    #[error("the ownership record can't be read")]
    Malformed(#[from] serde_json::Error),
    /// The record has no shards.
    #[error("the ownership record has no shards")]
    NoShards,
}

impl OwnershipRecord {
    /// Creates a record without members, with `shards` shards that have no owner.
    pub fn new(shards: u32) -> OwnershipRecord {
        OwnershipRecord {
            seq: 0,
            members: Vec::new(),
            shards: vec![ShardSlot::default(); shards.max(1) as usize],
            roster: String::new(),
        }
    }

    /// Parses a record from its value in the store.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a record or the record has no shards.
    pub fn parse(value: &[u8]) -> Result<OwnershipRecord, RecordError> {
        let record: OwnershipRecord = serde_json::from_slice(value)?;
        if record.shards.is_empty() {
            return Err(RecordError::NoShards);
        }
        Ok(record)
    }

    /// Returns the value of the record in the store.
    pub fn value(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a record is JSON")
    }

    /// Returns the number of shards.
    pub fn count(&self) -> u32 {
        self.shards.len() as u32
    }

    /// Returns the member with this incarnation.
    pub fn member(&self, incarnation: u64) -> Option<&Member> {
        self.members.iter().find(|m| m.incarnation == incarnation)
    }

    /// Returns the ownership of a shard.
    pub fn slot(&self, shard: ShardId) -> &ShardSlot {
        &self.shards[shard.0 as usize]
    }

    /// Returns the shards that an entry owns and their epochs.
    pub fn owned(&self, incarnation: u64) -> Vec<(ShardId, Epoch)> {
        let slots = self.shards.iter().enumerate();
        let owned = slots.filter(|(_, s)| s.owner == incarnation && incarnation != 0);
        owned
            .map(|(i, s)| (ShardId(i as u32), Epoch(s.epoch)))
            .collect()
    }

    /// Adds a member, unless its incarnation is listed already.
    pub fn join(&mut self, member: Member) {
        if self.member(member.incarnation).is_some() {
            return;
        }
        self.members.push(member);
        self.members
            .sort_by(|a, b| (&a.name, a.incarnation).cmp(&(&b.name, b.incarnation)));
    }

    /// Removes a member that is presumed dead and leaves its shards without an owner.
    /// [`OwnershipRecord::assign_unowned`] assigns them to other members.
    pub fn remove_member(&mut self, incarnation: u64, at_ms: u64) {
        for slot in self.shards.iter_mut().filter(|s| s.owner == incarnation) {
            slot.owner = 0;
            slot.epoch += 1;
            slot.former_owners.push(FormerOwner {
                owner: incarnation,
                at_ms,
            });
        }
        self.members.retain(|m| m.incarnation != incarnation);
    }

    /// Transfers a shard to `to`. Its owner has agreed and has stopped serving it, so the former
    /// owners need not be waited for.
    pub fn transfer_shard(&mut self, shard: ShardId, to: u64) {
        let slot = &mut self.shards[shard.0 as usize];
        slot.owner = to;
        slot.epoch += 1;
        slot.former_owners.clear();
    }

    /// Assigns each shard without an owner to the member with the fewest shards among those that
    /// [`OwnershipRecord::targets`] selects.
    pub fn assign_unowned(&mut self, live: &[u64], owners: usize) {
        let targets = self.targets(live, owners);
        if targets.is_empty() {
            return;
        }
        let mut counts = self.shard_counts(&targets);
        for slot in self.shards.iter_mut().filter(|s| s.owner == 0) {
            let least = least_loaded(&counts);
            slot.owner = least;
            slot.epoch += 1;
            *counts.entry(least).or_default() += 1;
        }
    }

    /// Drops the former owners whose shard was taken before `before_ms`. The caller chooses that
    /// time such that their right has certainly expired.
    pub fn forget_former_owners(&mut self, before_ms: u64) {
        for slot in &mut self.shards {
            slot.former_owners.retain(|c| c.at_ms >= before_ms);
        }
    }

    /// Returns the shards to move and their next owners, so that the shards are balanced over the
    /// members that [`OwnershipRecord::targets`] selects.
    pub fn plan_moves(&self, live: &[u64], owners: usize) -> Vec<(ShardId, u64)> {
        let targets = self.targets(live, owners);
        if targets.is_empty() {
            return Vec::new();
        }
        let mut counts = self.shard_counts(&targets);
        let max_count = self.shards.len().div_ceil(targets.len());
        let mut moves = Vec::new();
        for (i, slot) in self.shards.iter().enumerate() {
            let count = counts.get(&slot.owner).copied();
            let stays = count.is_some_and(|n| n <= max_count);
            if slot.owner == 0 || stays {
                continue;
            }
            let least = least_loaded(&counts);
            if let Some(n) = counts.get_mut(&slot.owner) {
                *n -= 1;
            }
            *counts.entry(least).or_default() += 1;
            moves.push((ShardId(i as u32), least));
        }
        moves
    }

    /// Returns the live members that should own shards: the `owners` members that own most already,
    /// with ties broken by name, or all live members if `owners` is 0.
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

    fn shard_counts(&self, targets: &[u64]) -> BTreeMap<u64, usize> {
        let count = |t: &u64| (*t, self.owned(*t).len());
        targets.iter().map(count).collect()
    }
}

fn least_loaded(counts: &BTreeMap<u64, usize>) -> u64 {
    let least = counts.iter().min_by_key(|(inc, n)| (**n, **inc));
    least.map(|(inc, _)| *inc).unwrap_or(0)
}

/// An agent that owners may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterAgent {
    /// The agent's name.
    pub name: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// The number of tasks that it runs at once.
    pub slots: u32,
    /// When it started, in Unix milliseconds by the clock of the entry that enrolled it.
    pub born_ms: u64,
}

/// An agent incarnation that owners may no longer use and that cannot be asked what it started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GoneAgent {
    /// The agent's name.
    pub name: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// The number of tasks that it ran at once.
    pub slots: u32,
    /// The latest time at which it may have started a task, in Unix milliseconds.
    pub until_ms: u64,
    /// The latest mint time of a job that may have started there, in Unix milliseconds.
    #[serde(default)]
    pub minted_ms: u64,
}

/// Bounds on what an agent may have started before it was removed.
#[derive(Clone, Copy, Debug)]
pub struct StartBounds {
    /// The latest time at which it may have started a task, in Unix milliseconds.
    pub until_ms: u64,
    /// The latest mint time of a job that may have started there, in Unix milliseconds.
    pub minted_ms: u64,
}

/// The list of all agent incarnations that may have started tasks within the horizon.
///
/// An owner uses only agents that the roster lists, so a new owner knows which agents it must read
/// back. Rosters are immutable: each version is stored under its own key, and the ownership record
/// names the one in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// The agents that may be used, ordered by name.
    pub agents: Vec<RosterAgent>,
    /// The agents that are gone; kept until the horizon has passed.
    pub gone: Vec<GoneAgent>,
}

impl Roster {
    /// Returns whether an incarnation may be used.
    pub fn lists(&self, incarnation: u64) -> bool {
        self.agents.iter().any(|a| a.incarnation == incarnation)
    }

    /// Returns whether another incarnation of the agent may be used.
    pub fn lists_other(&self, name: &str, incarnation: u64) -> bool {
        let other = |a: &RosterAgent| a.name == name && a.incarnation != incarnation;
        self.agents.iter().any(other)
    }

    /// Adds an agent and moves other incarnations of the same name to the agents that are gone.
    /// Does nothing if the agent or a later incarnation is listed. Returns whether it was added.
    pub fn enrol(&mut self, agent: RosterAgent, bounds: StartBounds) -> bool {
        let later = |a: &RosterAgent| a.name == agent.name && a.born_ms > agent.born_ms;
        if self.lists(agent.incarnation) || self.agents.iter().any(later) {
            return false;
        }
        self.move_to_gone(|a| a.name == agent.name, bounds);
        self.gone.retain(|g| g.incarnation != agent.incarnation);
        self.agents.push(agent);
        self.agents.sort_by(|a, b| a.name.cmp(&b.name));
        true
    }

    /// Moves an agent that has been silent to those that are gone.
    pub fn remove(&mut self, incarnation: u64, bounds: StartBounds) {
        self.move_to_gone(|a| a.incarnation == incarnation, bounds);
    }

    /// Drops the gone agents whose start and mint times all lie before `before_ms`.
    pub fn forget(&mut self, before_ms: u64) {
        let last_ms = |g: &GoneAgent| g.until_ms.max(g.minted_ms);
        self.gone.retain(|g| last_ms(g) >= before_ms);
    }

    /// Returns the latest mint time, in Unix milliseconds, of a job that may have started at an
    /// agent that is gone, or 0 if none is gone. `allowance_ms` is how far ids may be ahead of the
    /// time at any moment.
    pub fn clear_ms(&self, allowance_ms: u64) -> u64 {
        let last_ms = |g: &GoneAgent| (g.until_ms + allowance_ms).max(g.minted_ms);
        self.gone.iter().map(last_ms).max().unwrap_or(0)
    }

    fn move_to_gone(&mut self, which: impl Fn(&RosterAgent) -> bool, bounds: StartBounds) {
        let all = std::mem::take(&mut self.agents);
        let (gone, kept): (Vec<_>, Vec<_>) = all.into_iter().partition(which);
        self.agents = kept;
        self.gone.extend(gone.into_iter().map(|a| GoneAgent {
            name: a.name,
            incarnation: a.incarnation,
            slots: a.slots,
            until_ms: bounds.until_ms,
            minted_ms: bounds.minted_ms,
        }));
    }
}

#[cfg(test)]
mod tests;
