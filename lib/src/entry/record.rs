//! Reads the ownership record and its roster, and applies them: confirms the right to act, updates
//! members and agents, and releases, receives or takes over shards. Older reads are ignored.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::Entry;
use super::PendingOp;
use super::ReadRecord;
use super::record_changes::CHANGE_INTERVAL;
use crate::event::Kind;
use crate::ownership::OwnershipRecord;
use crate::ownership::RECORD_KEY;
use crate::ownership::Roster;
use crate::prelude::*;
use crate::store::StoreOp;
use crate::store::StoreReply;
use crate::store::Stored;
use crate::takeover::Phase;

impl Entry {
    /// Handles the result of a store operation.
    pub fn handle_store_reply(&mut self, now: Now, tag: u64, reply: StoreReply) {
        self.observe_time(now);
        let Some(pending) = self.pending_ops.remove(&tag) else {
            return;
        };
        match pending {
            PendingOp::ReadRecord { sent } => self.on_record_read(now, sent, reply),
            PendingOp::ReadRoster { sent } => self.on_roster_read(now, sent, reply),
            PendingOp::WriteRoster => self.on_roster_written(now, reply),
            PendingOp::SwapRecord => self.on_record_swapped(now, reply),
            PendingOp::WriteClaim(key) => self.on_claim_written(now, key, reply),
            PendingOp::ReadClaim(key) => self.on_claim_read(now, key, reply),
            PendingOp::Remove => {}
        }
        self.advance(now);
    }

    /// Returns whether the store has recently answered a read of the record.
    pub(super) fn is_read_fresh(&self, now: Now) -> bool {
        let bound = self.setup.read_interval * 2 + self.setup.read_interval / 2;
        self.last_read.is_some_and(|at| now.mono < at + bound)
    }

    /// Reads the record if a read is due and none is in progress.
    pub(super) fn read_record_if_due(&mut self, now: Now) {
        if self.reading || now.mono < self.read_due {
            return;
        }
        self.reading = true;
        self.read_due = now.mono + self.setup.read_interval;
        let op = StoreOp::Get {
            key: RECORD_KEY.to_owned(),
        };
        self.store(PendingOp::ReadRecord { sent: now.mono }, op);
    }

    fn on_record_read(&mut self, now: Now, sent: Mono, reply: StoreReply) {
        self.reading = false;
        let StoreReply::Value(value) = reply else {
            return self.note_failed_read(now);
        };
        if !self.is_read_fresh(now) && self.last_read.is_some() {
            self.log(Kind::StoreRecovered, String::new());
        }
        self.last_read = Some(sent);
        let Some(Stored { value, index }) = value else {
            return self.on_record_absent(now);
        };
        match OwnershipRecord::parse(&value) {
            Ok(record) => self.fetch_roster(now, sent, record, index),
            Err(e) => self.log(Kind::BadRecord, e.to_string()),
        }
    }

    fn note_failed_read(&mut self, now: Now) {
        let age = self.last_read.map(|at| now.mono.since(at));
        if age.is_some_and(|age| age < self.setup.read_interval * 3) {
            self.log(Kind::StoreUnavailable, String::new());
        }
    }

    /// Starts a new record if none exists and this entry has never read one.
    fn on_record_absent(&mut self, now: Now) {
        if self.read.is_none() && !self.leaving {
            let record = OwnershipRecord::new(self.setup.shards);
            self.read = Some(ReadRecord {
                record: Arc::new(record),
                roster: Arc::new(Roster::default()),
                index: 0,
            });
            self.plan_change(now);
        }
    }

    /// Adopts a record together with its roster, which is read from the store unless it is at hand.
    fn fetch_roster(&mut self, now: Now, sent: Mono, record: OwnershipRecord, index: u64) {
        let known = self
            .read
            .as_ref()
            .filter(|r| r.record.roster == record.roster);
        if let Some(known) = known {
            let roster = known.roster.clone();
            return self.adopt_record(now, sent, record, index, roster);
        }
        if record.roster.is_empty() {
            return self.adopt_record(now, sent, record, index, Arc::new(Roster::default()));
        }
        let key = record.roster.clone();
        self.fetched = Some((record, index));
        self.reading = true;
        self.store(PendingOp::ReadRoster { sent }, StoreOp::Get { key });
    }

    fn on_roster_read(&mut self, now: Now, sent: Mono, reply: StoreReply) {
        self.reading = false;
        let Some((record, index)) = self.fetched.take() else {
            return;
        };
        let StoreReply::Value(Some(stored)) = reply else {
            // A newer record may have replaced the roster, so the record is read again.
            self.read_due = now.mono + CHANGE_INTERVAL;
            return;
        };
        match serde_json::from_slice::<Roster>(&stored.value) {
            Ok(roster) => self.adopt_record(now, sent, record, index, Arc::new(roster)),
            Err(e) => self.log(Kind::BadRecord, e.to_string()),
        }
    }

    /// Adopts a record that was current at some time after `sent`, the time at which its read was sent.
    fn adopt_record(
        &mut self,
        now: Now,
        sent: Mono,
        record: OwnershipRecord,
        index: u64,
        roster: Arc<Roster>,
    ) {
        let before = self.read.as_ref().map_or(0, |r| r.index);
        if index < before {
            return;
        }
        if self.unconfirmed.is_some_and(|d| index != d.base) {
            self.unconfirmed = None;
        }
        let changed = index != before || self.joined_at.is_none();
        let record = Arc::new(record);
        self.read = Some(ReadRecord {
            record: record.clone(),
            roster: roster.clone(),
            index,
        });
        if record.member(self.incarnation).is_some() {
            let others = record.members.iter().map(|m| m.incarnation);
            let others = others.filter(|inc| *inc != self.incarnation).collect();
            self.tenure.confirm(sent, others);
            self.observe_time(now);
            if self.joined_at.is_none() {
                self.joined_at = Some(now.mono);
                self.log(Kind::Joined, self.setup.name.clone());
            }
        } else if self.joined_at.is_some() {
            self.handle_removal(now);
        }
        if changed {
            self.plan_due = now.mono;
            self.update_members(now, &record);
            self.update_neighbours(now);
            self.apply_roster(now, &roster);
            self.compare_owned_shards(now, &record, &roster);
            self.drop_allocators();
            self.reroute(now);
            self.send_heartbeats(now);
        }
    }

    /// Handles this entry's removal from the members, which follows when another entry took it for dead
    /// or when it has left. Unless it is leaving, it rejoins under a new incarnation, so that the other
    /// members can tell its new right to act from the one that has ended.
    fn handle_removal(&mut self, now: Now) {
        if self.leaving {
            self.joined_at = None;
            self.tenure.revoke();
            self.observe_time(now);
            return;
        }
        self.log(Kind::Dropped, self.setup.name.clone());
        self.tenure.revoke();
        self.observe_time(now);
        self.joined_at = None;
        self.incarnation = rand::Rng::random(&mut self.rng);
        self.acknowledged_by.clear();
    }

    fn update_members(&mut self, now: Now, record: &OwnershipRecord) {
        let present: BTreeSet<u64> = record.members.iter().map(|m| m.incarnation).collect();
        self.first_seen.retain(|inc, _| present.contains(inc));
        for inc in present {
            self.first_seen.entry(inc).or_insert(now.mono);
        }
    }

    fn apply_roster(&mut self, now: Now, roster: &Roster) {
        self.listed_since.retain(|inc, _| roster.lists(*inc));
        for agent in &roster.agents {
            self.listed_since
                .entry(agent.incarnation)
                .or_insert(now.mono);
        }
        for (_, worker) in self.fleet.iter_mut() {
            worker.enrolled = roster.lists(worker.incarnation);
        }
    }

    /// Compares the shards that the record assigns to this entry with those it holds: releases the
    /// ones that are gone, and receives or takes over the new ones.
    fn compare_owned_shards(&mut self, now: Now, record: &OwnershipRecord, roster: &Roster) {
        let owned = record.owned(self.incarnation);
        let gone: Vec<ShardId> = self
            .owned_shards
            .iter()
            .filter(|(s, h)| !owned.contains(&(**s, h.epoch)))
            .map(|(s, _)| *s)
            .collect();
        for shard in gone {
            self.release_shard(now, shard);
        }
        let was_owner = self.is_owner();
        let mut claims = Vec::new();
        let mut handed = Vec::new();
        for (shard, epoch) in owned {
            if self.owned_shards.get(shard).is_some() {
                continue;
            }
            if self.receive_shard(now, shard, epoch) {
                handed.push((shard, epoch));
            } else {
                claims.push((shard, epoch));
            }
        }
        self.announce_received(&handed);
        if !was_owner && self.is_owner() {
            self.send_parts(now);
        }
        self.incoming.retain(|s, i| {
            let slot = record.slot(*s);
            slot.epoch < i.epoch.0
        });
        if !claims.is_empty() {
            self.start_takeover(now, claims, record, roster);
        }
    }

    /// Releases a shard that another entry owns now, and redirects the waiters of its jobs.
    fn release_shard(&mut self, now: Now, shard: ShardId) {
        let was = self.owned_shards.get(shard).map(|h| h.phase);
        if matches!(was, Some(Phase::HandedOver(_))) {
            self.counts.handovers += 1;
        }
        self.owned_shards.release(shard);
        self.outgoing.remove(&shard);
        self.untrack_shard(now, shard);
        self.recent_refusals.retain(|_, r| r.shard != shard);
        self.lost.retain(|_, l| l.shard != shard);
        for id in self.table.of_shard(shard) {
            let Some(job) = self.table.remove(id) else {
                continue;
            };
            for waiter in job.waiters {
                self.redirect_waiter(now, waiter);
            }
        }
    }
}
