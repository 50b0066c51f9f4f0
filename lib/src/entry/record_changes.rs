//! Changes the ownership record: joins, takes over from silent members, enrols and removes agents,
//! hands shards over, leaves. Each change is a compare-and-swap against the record as last read;
//! at most one is in progress at a time.

use super::Change;
use super::Entry;
use super::PendingOp;
use super::UnconfirmedSwap;
use super::links::ASKING_TIMEOUT;
use super::links::CUT_OFF_DELAY;
use crate::clock::millis;
use crate::event::Kind;
use crate::fleet::MAX_SILENCE;
use crate::ownership::Member;
use crate::ownership::OwnershipRecord;
use crate::ownership::RECORD_KEY;
use crate::ownership::Roster;
use crate::ownership::RosterAgent;
use crate::ownership::StartBounds;
use crate::prelude::*;
use crate::store::StoreOp;
use crate::store::StoreReply;

/// How long a new member may take to connect before it counts as silent.
const CONNECT_GRACE: Duration = Duration::from_secs(3);
/// The minimum time between two changes of the record by one entry.
pub(super) const CHANGE_INTERVAL: Duration = Duration::from_millis(100);
/// The time between checks whether the record should change, unless an input triggers one sooner.
const PLAN_INTERVAL: Duration = Duration::from_millis(50);
/// The extra delay before a takeover for each live member of a lower incarnation, so that entries
/// do not all try at once.
const RANK_DELAY: Duration = Duration::from_millis(250);

impl Entry {
    /// Starts a change of the record if one is needed.
    pub(super) fn plan_change(&mut self, now: Now) {
        self.read_record_if_due(now);
        let busy = self.change.is_some() || now.mono < self.change_due.max(self.plan_due);
        if busy || !self.is_read_fresh(now) {
            return;
        }
        self.plan_due = now.mono + PLAN_INTERVAL;
        let Some(read) = self.read.clone() else {
            return;
        };
        let mut next = (*read.record).clone();
        let mut roster = (*read.roster).clone();
        let revokes_right = self.apply_changes(now, &mut next, &mut roster);
        let new_roster = roster != *read.roster;
        if next == *read.record && !new_roster {
            return;
        }
        next.seq += 1;
        let base = read.index;
        let old_roster = next.roster.clone();
        if new_roster {
            next.roster = format!("roster/{}-{:016x}", next.seq, self.incarnation);
        }
        self.change_due = now.mono + CHANGE_INTERVAL;
        self.change = Some(Change {
            next,
            roster: new_roster.then_some(roster),
            base,
            revokes_right,
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
            return self.store(PendingOp::WriteRoster, op);
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
        self.store(PendingOp::SwapRecord, op);
    }

    pub(super) fn on_roster_written(&mut self, now: Now, reply: StoreReply) {
        if reply == StoreReply::Swapped(true) {
            return self.swap_record();
        }
        self.change = None;
        self.change_due = now.mono + CHANGE_INTERVAL * 3;
    }

    pub(super) fn on_record_swapped(&mut self, now: Now, reply: StoreReply) {
        let Some(change) = self.change.take() else {
            return;
        };
        self.read_due = now.mono;
        // The copy of the record is stale until the next read. A failed swap does not clear an
        // earlier unconfirmed one: that swap may have succeeded and made this one fail.
        if reply != StoreReply::Swapped(false) {
            self.unconfirmed = Some(UnconfirmedSwap {
                base: change.base,
                revokes_right: change.revokes_right,
            });
        }
        match reply {
            StoreReply::Swapped(true) if change.roster.is_some() => {
                let key = change.old_roster;
                if !key.is_empty() {
                    self.store(PendingOp::Remove, StoreOp::Remove { key });
                }
            }
            StoreReply::Swapped(true) => {}
            StoreReply::Swapped(false) => {
                let jitter = rand::Rng::random_range(&mut self.rng, 0..100);
                self.change_due = now.mono + Duration::from_millis(jitter);
            }
            _ => {
                // The swap may still succeed for as long as the record has not changed.
                self.log(Kind::WriteUnconfirmed, String::new());
            }
        }
    }

    /// Applies every change that this entry requires to `next` and `roster`. Returns whether any of
    /// them takes a right from another process.
    fn apply_changes(&mut self, now: Now, next: &mut OwnershipRecord, roster: &mut Roster) -> bool {
        self.forget_old(now, next, roster);
        let member = next.member(self.incarnation).is_some();
        if !member {
            if !self.leaving && self.can_join(now, next, roster) {
                next.join(self.as_member());
            }
            return false;
        }
        self.apply_handovers(next);
        self.enrol_agents(now, roster);
        let mut revokes_right = self.remove_silent_members(now, next);
        revokes_right |= self.remove_silent_agents(now, roster);
        let live = self.live_members(now, next);
        let owners = self.follower.config().limits.owners as usize;
        let may_own: Vec<u64> = live
            .iter()
            .copied()
            .filter(|inc| *inc != self.incarnation || !self.leaving)
            .collect();
        next.assign_unowned(&may_own, owners);
        self.remove_self_if_empty(next);
        revokes_right
    }

    /// Removes former owners and agents that are too old to matter. It does so only once the time
    /// of day is known to agree with the fleet's.
    fn forget_old(&self, now: Now, next: &mut OwnershipRecord, roster: &mut Roster) {
        if !self.clocks.is_proven() {
            return;
        }
        let lease = self.setup.tenure.lease;
        let slack = millis(self.setup.skew) * 2;
        let old = millis(self.setup.tenure.max_extension + lease * 2) + slack;
        next.forget_former_owners(now.wall_ms.saturating_sub(old));
        let horizon = millis(self.setup.horizon) + millis(self.setup.max_ahead) + slack;
        roster.forget(now.wall_ms.saturating_sub(horizon));
    }

    fn as_member(&self) -> Member {
        Member {
            name: self.setup.name.clone(),
            incarnation: self.incarnation,
            address: self.setup.address.clone(),
            http: self.setup.http.clone(),
            zone: self.setup.zone.clone(),
        }
    }

    /// Returns the members that can own shards: the responsive ones that are not leaving, including
    /// this one.
    pub(super) fn live_members(&self, now: Now, record: &OwnershipRecord) -> Vec<u64> {
        let peer = |inc: u64| self.peers.values().find(|p| p.incarnation == inc);
        let alive = |inc: u64| {
            let here = peer(inc).filter(|p| self.is_alive(now, p));
            here.is_some_and(|p| !p.leaving)
        };
        let members = record.members.iter().map(|m| m.incarnation);
        members
            .filter(|inc| (*inc == self.incarnation && !self.leaving) || alive(*inc))
            .collect()
    }

    /// Returns the bounds on what agents that are removed now may have started.
    fn start_bounds(&self, now: Now) -> StartBounds {
        let lease_ms = millis(self.setup.tenure.lease) * 2;
        StartBounds {
            until_ms: now.wall_ms + lease_ms,
            minted_ms: self.latest_taken_ms(now, self.is_known_to_all()) + lease_ms,
        }
    }

    /// Returns whether this entry knows every owner's lead and every owner sees its changes.
    fn sees_all_owners(&self, now: Now) -> bool {
        self.is_known_to_all() || self.remaining_extension(now).is_zero()
    }

    /// Enrols the linked agents that are not in the roster.
    fn enrol_agents(&mut self, now: Now, roster: &mut Roster) {
        let start_bounds = self.start_bounds(now);
        let sees_all = self.sees_all_owners(now);
        let mut names = Vec::new();
        for (_, worker) in self.fleet.iter() {
            let here = worker.link.is_some() && now.mono < worker.last_heard + MAX_SILENCE;
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
                born_ms: worker.started_ms(now),
            };
            if roster.enrol(agent, start_bounds) {
                names.push(worker.name.to_string());
            }
        }
        if !names.is_empty() {
            self.log(Kind::AgentEnrolled, names.join(", "));
        }
    }

    /// Removes silent members, which leaves their shards without an owner. It waits while a promise to
    /// a peer forbids takeovers.
    fn remove_silent_members(&mut self, now: Now, next: &mut OwnershipRecord) -> bool {
        if now.mono < self.promised_until {
            return false;
        }
        let live = self.live_members(now, next);
        let rank = live.iter().filter(|inc| **inc < self.incarnation).count() as u32;
        let delay = self.setup.suspect_timeout + RANK_DELAY * rank;
        let silent: Vec<(u64, String)> = next
            .members
            .iter()
            .filter(|m| m.incarnation != self.incarnation && self.is_silent(now, m, delay))
            .map(|m| (m.incarnation, m.name.clone()))
            .collect();
        for (incarnation, name) in &silent {
            self.log(Kind::TakeoverStarted, name.clone());
            next.remove_member(*incarnation, now.wall_ms);
        }
        !silent.is_empty()
    }

    /// Returns whether a member is to be taken over from: it is an earlier incarnation of this entry,
    /// has sent no heartbeats for `delay`, has been cut off from the store for long, or has lost its
    /// link or never had one.
    fn is_silent(&self, now: Now, member: &Member, delay: Duration) -> bool {
        let earlier_self = member.name == self.setup.name;
        if earlier_self {
            return true;
        }
        let seen = self.first_seen.get(&member.incarnation);
        let settled = seen.is_some_and(|at| now.mono >= *at + CONNECT_GRACE);
        let of = |p: &&super::Peer| p.incarnation == member.incarnation;
        match self.peers.values().find(of) {
            Some(peer) => {
                // The rank's delay is added to the silence that `is_alive` allows.
                let extra = delay.saturating_sub(self.setup.suspect_timeout);
                let before = Now {
                    mono: now.mono - extra,
                    ..now
                };
                let quiet = !self.is_alive(before, peer);
                let cut_off = peer.ask_span.is_some_and(|(since, last)| {
                    now.mono >= since + CUT_OFF_DELAY * 3 && now.mono < last + ASKING_TIMEOUT
                });
                quiet || cut_off
            }
            None => {
                let disconnected = self.disconnected_at.get(&member.incarnation);
                match disconnected {
                    // A link that was closed and not restored most likely means that the process
                    // has ended, so the wait is shorter.
                    Some(at) => now.mono >= *at + delay - self.setup.suspect_timeout * 2 / 3,
                    None => settled,
                }
            }
        }
    }

    /// Removes agents that have been silent for long from the roster, so that a later takeover does
    /// not wait for them. It requires that every owner knows this entry; an owner that does not may
    /// keep acting on promises without seeing the change.
    fn remove_silent_agents(&mut self, now: Now, roster: &mut Roster) -> bool {
        if now.mono < self.promised_until || !self.sees_all_owners(now) {
            return false;
        }
        let timeout = self.setup.removal_timeout;
        let listed = |inc: &u64| self.listed_since.get(inc).copied().unwrap_or(now.mono);
        let silent: Vec<u64> = roster
            .agents
            .iter()
            .map(|a| a.incarnation)
            .filter(|inc| {
                let worker = self
                    .fleet
                    .key_by_incarnation(*inc)
                    .and_then(|k| self.fleet.get(k));
                let heard = worker.map_or(Mono(0), |w| w.last_heard);
                now.mono >= heard.max(listed(inc)) + timeout
            })
            .collect();
        let start_bounds = self.start_bounds(now);
        for incarnation in &silent {
            roster.remove(*incarnation, start_bounds);
        }
        if !silent.is_empty() {
            self.log(Kind::AgentGone, format!("{} agents", silent.len()));
        }
        !silent.is_empty()
    }

    /// Removes this entry from the members once it is leaving and owns no shards.
    fn remove_self_if_empty(&mut self, next: &mut OwnershipRecord) {
        let me = self.incarnation;
        if self.leaving && next.owned(me).is_empty() {
            next.members.retain(|m| m.incarnation != me);
        }
    }
}
