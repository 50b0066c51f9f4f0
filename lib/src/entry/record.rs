//! Reading the ownership record, and what follows from it for this entry.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::Entry;
use super::Errand;
use super::ReadRecord;
use super::changing::CHANGE_PAUSE;
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
    /// A store operation has ended.
    pub fn store_done(&mut self, now: Now, tag: u64, reply: StoreReply) {
        self.begin(now);
        let Some(errand) = self.errands.remove(&tag) else {
            return;
        };
        match errand {
            Errand::ReadRecord { sent } => self.on_record_read(now, sent, reply),
            Errand::ReadRoster { sent } => self.on_roster_read(now, sent, reply),
            Errand::WriteRoster => self.on_roster_written(now, reply),
            Errand::SwapRecord => self.on_record_swapped(now, reply),
            Errand::WriteClaim(key) => self.on_claim_written(now, key, reply),
            Errand::ReadClaim(key) => self.on_claim_read(now, key, reply),
            Errand::Remove => {}
        }
        self.step(now);
    }

    /// Whether the store has answered a read of the record lately.
    pub(super) fn read_fresh(&self, now: Now) -> bool {
        let bound = self.setup.confirm * 2 + self.setup.confirm / 2;
        self.read_ok.is_some_and(|at| now.mono < at + bound)
    }

    /// Reads the record when it is time.
    pub(super) fn read_record(&mut self, now: Now) {
        if self.reading || now.mono < self.read_due {
            return;
        }
        self.reading = true;
        self.read_due = now.mono + self.setup.confirm;
        let op = StoreOp::Get {
            key: RECORD_KEY.to_owned(),
        };
        self.store(Errand::ReadRecord { sent: now.mono }, op);
    }

    fn on_record_read(&mut self, now: Now, sent: Mono, reply: StoreReply) {
        self.reading = false;
        let StoreReply::Value(value) = reply else {
            return self.note_away(now);
        };
        if !self.read_fresh(now) && self.read_ok.is_some() {
            self.log(Kind::StoreRecovered, String::new());
        }
        self.read_ok = Some(sent);
        let Some(Stored { value, index }) = value else {
            return self.on_record_absent(now);
        };
        match OwnershipRecord::parse(&value) {
            Ok(record) => self.fetch_roster(now, sent, record, index),
            Err(e) => self.log(Kind::BadRecord, e.to_string()),
        }
    }

    fn note_away(&mut self, now: Now) {
        let just = self.read_ok.map(|at| now.mono.since(at));
        if just.is_some_and(|age| age < self.setup.confirm * 3) {
            self.log(Kind::StoreUnavailable, String::new());
        }
    }

    /// There is no record yet: the first entry writes one.
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

    /// Reads the roster that goes with a record, unless it is the one at hand.
    fn fetch_roster(&mut self, now: Now, sent: Mono, record: OwnershipRecord, index: u64) {
        let known = self
            .read
            .as_ref()
            .filter(|r| r.record.roster == record.roster);
        if let Some(known) = known {
            let roster = known.roster.clone();
            return self.adopt(now, sent, record, index, roster);
        }
        if record.roster.is_empty() {
            return self.adopt(now, sent, record, index, Arc::new(Roster::default()));
        }
        let key = record.roster.clone();
        self.fetched = Some((record, index));
        self.reading = true;
        self.store(Errand::ReadRoster { sent }, StoreOp::Get { key });
    }

    fn on_roster_read(&mut self, now: Now, sent: Mono, reply: StoreReply) {
        self.reading = false;
        let Some((record, index)) = self.fetched.take() else {
            return;
        };
        let StoreReply::Value(Some(stored)) = reply else {
            // A newer record may have replaced it meanwhile: read again.
            self.read_due = now.mono + CHANGE_PAUSE;
            return;
        };
        match serde_json::from_slice::<Roster>(&stored.value) {
            Ok(roster) => self.adopt(now, sent, record, index, Arc::new(roster)),
            Err(e) => self.log(Kind::BadRecord, e.to_string()),
        }
    }

    /// Takes in the record as it stood when the read was sent or later.
    fn adopt(
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
        if self.doubt.is_some_and(|d| index != d.base) {
            self.doubt = None;
        }
        let changed = index != before || self.joined.is_none();
        let record = Arc::new(record);
        self.read = Some(ReadRecord {
            record: record.clone(),
            roster: roster.clone(),
            index,
        });
        if record.member(self.me).is_some() {
            let others = record.members.iter().map(|m| m.incarnation);
            let others = others.filter(|inc| *inc != self.me).collect();
            self.tenure.confirm(sent, others);
            self.begin(now);
            if self.joined.is_none() {
                self.joined = Some(now.mono);
                self.log(Kind::Joined, self.setup.name.clone());
            }
        } else if self.joined.is_some() {
            self.dropped(now);
        }
        if changed {
            self.plan_due = now.mono;
            self.note_members(now, &record);
            self.note_close(now);
            self.note_roster(now, &roster);
            self.compare_holdings(now, &record, &roster);
            self.drop_allocators();
            self.reroute(now);
            self.beat(now);
        }
    }

    /// Another entry took this one for dead. It joins anew under another incarnation, because the
    /// members that are told apart by it must know that its earlier right is over.
    fn dropped(&mut self, now: Now) {
        if self.leaving {
            self.joined = None;
            self.tenure.revoke();
            self.begin(now);
            return;
        }
        self.log(Kind::Dropped, self.setup.name.clone());
        self.tenure.revoke();
        self.begin(now);
        self.joined = None;
        self.me = rand::Rng::random(&mut self.rng);
        self.knew_me.clear();
    }

    fn note_members(&mut self, now: Now, record: &OwnershipRecord) {
        let present: BTreeSet<u64> = record.members.iter().map(|m| m.incarnation).collect();
        self.first_seen.retain(|inc, _| present.contains(inc));
        for inc in present {
            self.first_seen.entry(inc).or_insert(now.mono);
        }
    }

    fn note_roster(&mut self, now: Now, roster: &Roster) {
        self.listed.retain(|inc, _| roster.lists(*inc));
        for agent in &roster.agents {
            self.listed.entry(agent.incarnation).or_insert(now.mono);
        }
        for (_, worker) in self.fleet.iter_mut() {
            worker.enrolled = roster.lists(worker.incarnation);
        }
    }

    /// Compares what the record gives this entry with what it serves.
    fn compare_holdings(&mut self, now: Now, record: &OwnershipRecord, roster: &Roster) {
        let owned = record.owned(self.me);
        let gone: Vec<ShardId> = self
            .holdings
            .iter()
            .filter(|(s, h)| !owned.contains(&(**s, h.epoch)))
            .map(|(s, _)| *s)
            .collect();
        for shard in gone {
            self.lose_shard(now, shard);
        }
        let was_owner = self.owns();
        let mut claims = Vec::new();
        let mut handed = Vec::new();
        for (shard, epoch) in owned {
            if self.holdings.get(shard).is_some() {
                continue;
            }
            if self.receive_handed(now, shard, epoch) {
                handed.push((shard, epoch));
            } else {
                claims.push((shard, epoch));
            }
        }
        self.wake_agents(&handed);
        if !was_owner && self.owns() {
            self.send_parts(now);
        }
        self.incoming.retain(|s, i| {
            let slot = record.slot(*s);
            slot.epoch < i.epoch.0
        });
        if !claims.is_empty() {
            self.open_round(now, claims, record, roster);
        }
    }

    /// Lets go of a shard that another entry owns now.
    fn lose_shard(&mut self, now: Now, shard: ShardId) {
        let was = self.holdings.get(shard).map(|h| h.phase);
        if matches!(was, Some(Phase::HandedOver(_))) {
            self.counts.handovers += 1;
        }
        self.holdings.release(shard);
        self.handing.remove(&shard);
        self.untrack_shard(now, shard);
        self.refused.retain(|_, r| r.shard != shard);
        self.lost.retain(|_, l| l.shard != shard);
        for id in self.table.of_shard(shard) {
            let Some(job) = self.table.remove(id) else {
                continue;
            };
            for waiter in job.waiters {
                self.turn_away(now, waiter);
            }
        }
    }
}
