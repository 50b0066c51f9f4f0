//! Changing the ownership record: joining, taking over, enrolling agents, leaving.

use super::Change;
use super::Doubt;
use super::Entry;
use super::Errand;
use super::links::ASKING_BREAK;
use super::links::CUT_OFF;
use crate::clock::millis;
use crate::event::Kind;
use crate::fleet::SILENCE;
use crate::ownership::Member;
use crate::ownership::OwnershipRecord;
use crate::ownership::RECORD_KEY;
use crate::ownership::Roster;
use crate::ownership::RosterAgent;
use crate::ownership::StartBounds;
use crate::prelude::*;
use crate::store::StoreOp;
use crate::store::StoreReply;

/// How long a new member may take to reach its peers before it counts as silent.
const SETTLING: Duration = Duration::from_secs(3);
/// The least time between two changes of the record by one entry.
pub(super) const CHANGE_PAUSE: Duration = Duration::from_millis(100);
/// Time between looks whether the record should change, unless something has happened.
const PLAN_PAUSE: Duration = Duration::from_millis(50);
/// How much later each further entry takes over, so that they do not all try at once.
const RANK_PAUSE: Duration = Duration::from_millis(250);

impl Entry {
    /// Changes the record if there is reason to.
    pub(super) fn plan_change(&mut self, now: Now) {
        self.read_record(now);
        let busy = self.change.is_some() || now.mono < self.change_due.max(self.plan_due);
        if busy || !self.read_fresh(now) {
            return;
        }
        self.plan_due = now.mono + PLAN_PAUSE;
        let Some(read) = self.read.clone() else {
            return;
        };
        let mut next = (*read.record).clone();
        let mut roster = (*read.roster).clone();
        let reducing = self.wanted(now, &mut next, &mut roster);
        let new_roster = roster != *read.roster;
        if next == *read.record && !new_roster {
            return;
        }
        next.seq += 1;
        let base = read.index;
        let old_roster = next.roster.clone();
        if new_roster {
            next.roster = format!("roster/{}-{:016x}", next.seq, self.me);
        }
        self.change_due = now.mono + CHANGE_PAUSE;
        self.change = Some(Change {
            next,
            roster: new_roster.then_some(roster),
            base,
            reducing,
            old_roster,
        });
        self.write_change();
    }

    /// Writes the roster first if it is new, then swaps the record that names it.
    fn write_change(&mut self) {
        let Some(change) = &self.change else {
            return;
        };
        if let Some(roster) = &change.roster {
            let value = serde_json::to_vec(roster).expect("a roster is JSON");
            let op = StoreOp::Swap {
                key: change.next.roster.clone(),
                index: 0,
                value: value.into(),
            };
            return self.store(Errand::WriteRoster, op);
        }
        self.swap_record();
    }

    fn swap_record(&mut self) {
        let Some(change) = &self.change else {
            return;
        };
        let op = StoreOp::Swap {
            key: RECORD_KEY.to_owned(),
            index: change.base,
            value: change.next.value().into(),
        };
        self.store(Errand::SwapRecord, op);
    }

    pub(super) fn on_roster_written(&mut self, now: Now, reply: StoreReply) {
        if reply == StoreReply::Swapped(true) {
            return self.swap_record();
        }
        self.change = None;
        self.change_due = now.mono + CHANGE_PAUSE * 3;
    }

    pub(super) fn on_record_swapped(&mut self, now: Now, reply: StoreReply) {
        let Some(change) = self.change.take() else {
            return;
        };
        self.read_due = now.mono;
        // Until the record has been read again, what is known of it is out of date. A swap that
        // failed settles nothing: an earlier one, whose answer was lost, may be the reason.
        if reply != StoreReply::Swapped(false) {
            self.doubt = Some(Doubt {
                base: change.base,
                reducing: change.reducing,
            });
        }
        match reply {
            StoreReply::Swapped(true) if change.roster.is_some() => {
                let key = change.old_roster;
                if !key.is_empty() {
                    self.store(Errand::Remove, StoreOp::Remove { key });
                }
            }
            StoreReply::Swapped(true) => {}
            StoreReply::Swapped(false) => {
                let jitter = rand::Rng::random_range(&mut self.rng, 0..100);
                self.change_due = now.mono + Duration::from_millis(jitter);
            }
            _ => {
                // It may still take effect, until the record has moved on.
                self.log(Kind::WriteUnconfirmed, String::new());
            }
        }
    }

    /// Everything that this entry wants changed. Returns whether it takes a right from another.
    fn wanted(&mut self, now: Now, next: &mut OwnershipRecord, roster: &mut Roster) -> bool {
        self.forget_old(now, next, roster);
        let member = next.member(self.me).is_some();
        if !member {
            if !self.leaving && self.knows_time(now, next, roster) {
                next.join(self.as_member());
            }
            return false;
        }
        self.want_handed(next);
        self.want_enrolled(now, roster);
        let mut reducing = self.want_cut(now, next);
        reducing |= self.want_struck(now, roster);
        let live = self.live(now, next);
        let owners = self.follower.config().limits.owners as usize;
        let may_own: Vec<u64> = live
            .iter()
            .copied()
            .filter(|inc| *inc != self.me || !self.leaving)
            .collect();
        next.assign_unowned(&may_own, owners);
        self.want_gone(next);
        reducing
    }

    /// Forgets what is too old to matter, by a time of day that the fleet goes by.
    fn forget_old(&self, now: Now, next: &mut OwnershipRecord, roster: &mut Roster) {
        if !self.clocks.is_proven() {
            return;
        }
        let lease = self.setup.tenure.lease;
        let slack = millis(self.setup.skew) * 2;
        let old = millis(self.setup.tenure.max_extension + lease * 2) + slack;
        next.forget_former_owners(now.wall_ms.saturating_sub(old));
        let horizon = millis(self.setup.horizon) + millis(self.setup.ahead) + slack;
        roster.forget(now.wall_ms.saturating_sub(horizon));
    }

    fn as_member(&self) -> Member {
        Member {
            name: self.setup.name.clone(),
            incarnation: self.me,
            address: self.setup.address.clone(),
            http: self.setup.http.clone(),
            zone: self.setup.zone.clone(),
        }
    }

    /// The members that can own shards, this one among them.
    pub(super) fn live(&self, now: Now, record: &OwnershipRecord) -> Vec<u64> {
        let peer = |inc: u64| self.peers.values().find(|p| p.incarnation == inc);
        let alive = |inc: u64| {
            let here = peer(inc).filter(|p| self.alive(now, p));
            here.is_some_and(|p| !p.leaving)
        };
        let members = record.members.iter().map(|m| m.incarnation);
        members
            .filter(|inc| (*inc == self.me && !self.leaving) || alive(*inc))
            .collect()
    }

    /// Bounds on what agents that are struck now may have started.
    fn parting(&self, now: Now) -> StartBounds {
        let lease_ms = millis(self.setup.tenure.lease) * 2;
        StartBounds {
            until_ms: now.wall_ms + lease_ms,
            minted_ms: self.taken_up_to_ms(now, self.is_known_to_all()) + lease_ms,
        }
    }

    /// Whether every owner's lead is noted here, and every owner sees what this entry changes.
    fn sees_all_owners(&self, now: Now) -> bool {
        self.is_known_to_all() || self.ride_left(now).is_zero()
    }

    /// Agents that are linked and not in the roster are enrolled.
    fn want_enrolled(&mut self, now: Now, roster: &mut Roster) {
        let parting = self.parting(now);
        let sees_all = self.sees_all_owners(now);
        let mut names = Vec::new();
        for (_, worker) in self.fleet.iter() {
            let here = worker.link.is_some() && now.mono < worker.heard + SILENCE;
            if !here || worker.leaving {
                continue;
            }
            if !sees_all && roster.lists_other(&worker.name, worker.incarnation) {
                continue;
            }
            let agent = RosterAgent {
                name: worker.name.to_string(),
                incarnation: worker.incarnation,
                slots: worker.room.slots,
                born_ms: worker.born_ms(now),
            };
            if roster.enrol(agent, parting) {
                names.push(worker.name.to_string());
            }
        }
        if !names.is_empty() {
            self.log(Kind::AgentEnrolled, names.join(", "));
        }
    }

    /// Members that have been silent are taken over from.
    fn want_cut(&mut self, now: Now, next: &mut OwnershipRecord) -> bool {
        if now.mono < self.promised_out {
            return false;
        }
        let live = self.live(now, next);
        let rank = live.iter().filter(|inc| **inc < self.me).count() as u32;
        let pause = self.setup.suspect + RANK_PAUSE * rank;
        let silent: Vec<(u64, String)> = next
            .members
            .iter()
            .filter(|m| m.incarnation != self.me && self.silent(now, m, pause))
            .map(|m| (m.incarnation, m.name.clone()))
            .collect();
        for (incarnation, name) in &silent {
            self.log(Kind::TakeoverStarted, name.clone());
            next.cut(*incarnation, now.wall_ms);
        }
        !silent.is_empty()
    }

    fn silent(&self, now: Now, member: &Member, pause: Duration) -> bool {
        let own_earlier = member.name == self.setup.name;
        if own_earlier {
            return true;
        }
        let seen = self.first_seen.get(&member.incarnation);
        let settled = seen.is_some_and(|at| now.mono >= *at + SETTLING);
        let of = |p: &&super::Peer| p.incarnation == member.incarnation;
        match self.peers.values().find(of) {
            Some(peer) => {
                // The rank's pause comes on top of the silence that is expected of it.
                let extra = pause.saturating_sub(self.setup.suspect);
                let before = Now {
                    mono: now.mono - extra,
                    ..now
                };
                let quiet = !self.alive(before, peer);
                let asks = peer.asking.is_some_and(|(since, last)| {
                    now.mono >= since + CUT_OFF * 3 && now.mono < last + ASKING_BREAK
                });
                quiet || asks
            }
            None => {
                let heard = self.last_heard.get(&member.incarnation);
                match heard {
                    // Its link was closed and has not come back: most likely the process is gone.
                    Some(at) => now.mono >= *at + pause - self.setup.suspect * 2 / 3,
                    None => settled,
                }
            }
        }
    }

    /// Agents that have been silent for long are struck, so that a later takeover need not wait
    /// for them. Every owner must know this entry, or may ride on without seeing the change.
    fn want_struck(&mut self, now: Now, roster: &mut Roster) -> bool {
        if now.mono < self.promised_out || !self.sees_all_owners(now) {
            return false;
        }
        let strike = self.setup.strike;
        let listed = |inc: &u64| self.listed.get(inc).copied().unwrap_or(now.mono);
        let silent: Vec<u64> = roster
            .agents
            .iter()
            .map(|a| a.incarnation)
            .filter(|inc| {
                let worker = self.fleet.of(*inc).and_then(|k| self.fleet.get(k));
                let heard = worker.map_or(Mono(0), |w| w.heard);
                now.mono >= heard.max(listed(inc)) + strike
            })
            .collect();
        let parting = self.parting(now);
        for incarnation in &silent {
            roster.remove(*incarnation, parting);
        }
        if !silent.is_empty() {
            self.log(Kind::AgentGone, format!("{} agents", silent.len()));
        }
        !silent.is_empty()
    }

    /// A leaving entry without shards strikes itself.
    fn want_gone(&mut self, next: &mut OwnershipRecord) {
        let me = self.me;
        if self.leaving && next.owned(me).is_empty() {
            next.members.retain(|m| m.incarnation != me);
        }
    }
}
